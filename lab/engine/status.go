package engine

import "math"

// Probe asks an engine for its load. ok is false if it does not answer.
func (f *Fleet) Probe(id string) (r Report, ok bool) {
	eng, err := f.reachable(id)
	if err != nil || eng.condition.Hung {
		return Report{}, false
	}
	eng.overheadMs += eng.kind.ProbeMs
	return f.report(eng), true
}

// Connect opens a connection; ErrTooManyConnections if the engine's table is full.
func (f *Fleet) Connect(id string) error {
	eng, err := f.reachable(id)
	if err != nil {
		return err
	}
	if eng.conns >= eng.kind.MaxConns {
		return ErrTooManyConnections
	}
	eng.conns++
	eng.overheadMs += eng.kind.HandshakeMs
	return nil
}

// Disconnect closes a connection that Connect opened since the engine's last start.
func (f *Fleet) Disconnect(id string) {
	if eng := f.engines[id]; eng != nil && eng.conns > 0 {
		eng.conns--
	}
}

// Cold tells whether an engine has not warmed up since its last start.
func (f *Fleet) Cold(id string) bool {
	eng := f.engines[id]
	return eng != nil && f.warmShare(eng) < 1
}

// Condition returns an engine's condition; false for an unknown engine.
func (f *Fleet) Condition(id string) (Condition, bool) {
	eng := f.engines[id]
	if eng == nil {
		return Condition{}, false
	}
	return eng.condition, true
}

// StartedAt returns the time of an engine's last start, -Inf for long ago.
func (f *Fleet) StartedAt(id string) float64 {
	if eng := f.engines[id]; eng != nil {
		return eng.startedAt
	}
	return math.Inf(-1)
}
