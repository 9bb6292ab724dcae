package engine

import "math"

// Probe asks a box for its load. ok is false from one that does not answer.
func (f *Fleet) Probe(id string) (r Report, ok bool) {
	b, err := f.live(id)
	if err != nil || b.condition.Hung {
		return Report{}, false
	}
	b.extraMs += b.kind.ProbeMs
	return f.report(b), true
}

// Connect takes up a connection; ErrFull where the box holds no more.
func (f *Fleet) Connect(id string) error {
	b, err := f.live(id)
	if err != nil {
		return err
	}
	if b.conns >= b.kind.MaxConns {
		return ErrFull
	}
	b.conns++
	b.extraMs += b.kind.HandshakeMs
	return nil
}

// Disconnect ends a connection that Connect took up in the box's present life.
func (f *Fleet) Disconnect(id string) {
	if b := f.boxes[id]; b != nil && b.conns > 0 {
		b.conns--
	}
}

// Cold tells whether a box has not warmed up since its last start.
func (f *Fleet) Cold(id string) bool {
	b := f.boxes[id]
	return b != nil && f.warmth(b) < 1
}

// Condition tells how a box is.
func (f *Fleet) Condition(id string) (Condition, bool) {
	b := f.boxes[id]
	if b == nil {
		return Condition{}, false
	}
	return b.condition, true
}

// ColdSince is the time of a box's last start, -Inf for long ago.
func (f *Fleet) StartedAt(id string) float64 {
	if b := f.boxes[id]; b != nil {
		return b.coldSince
	}
	return math.Inf(-1)
}
