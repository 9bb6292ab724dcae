package engine

// hold is what the fleet holds for one request: a read under way, a state that
// waits at its reader, moves, or has moved to a place, and a place held ahead.
// A state is in one place only: reader and landed are never both set.
type hold struct {
	id      string
	tokens  float64
	kept    int
	read    *job    // that is out
	reader  *box    // whose memory has the state
	pinned  float64 // tokens there
	place   *box    // that holds a slot and memory
	ahead   float64 // share of the read that was still to come when the place was held
	landed  bool    // the state has moved to the place
	moving  *move
	wanted  *job // the attempt that waits for the state
	touched float64
}

// stateless tells that there is nothing to fetch.
func (h *hold) stateless() bool { return h == nil || h.reader == nil && !h.landed }

// Reserve asks a writer to hold a place for a request that is being read.
// EventHeld, EventNotHeld or, after 300 ms, EventUnknown follows; nothing from
// a box that hangs.
func (f *Fleet) Reserve(id, request string) (Call, error) {
	b, err := f.live(id)
	if err != nil {
		return 0, err
	}
	f.lastID++
	call := f.lastID
	b.extraMs += b.kind.ProbeMs
	if b.condition.Hung {
		return call, nil
	}
	answer := func(kind EventKind) { f.emit(Event{Kind: kind, Call: call, Engine: id, Report: f.report(b)}) }
	h := f.holds[request]
	switch {
	case h == nil || h.read == nil || h.read.left || b.kind.Role != RoleDecode:
		life := b.life
		f.after(unknownAfter, func() {
			if b.life == life {
				answer(EventUnknown)
			}
		})
	case b.condition.Draining || b.condition.Refusing || len(b.queue) > 0 || b.slotsTaken() >= b.kind.Slots || !b.room(h.tokens):
		answer(EventNotHeld)
	default:
		f.leavePlace(h)
		h.place, h.ahead = b, h.read.todo()/max(1, h.tokens-h.read.kept)
		b.places = append(b.places, h)
		b.pinned += h.tokens
		answer(EventHeld)
	}
	return call, nil
}

const unknownAfter = 300 // ms until a place asked for without a read out is answered

// Release lets go of what a box holds for a request and no attempt waits for.
func (f *Fleet) Release(id, request string) error {
	b, err := f.live(id)
	if err != nil {
		return err
	}
	h := f.holds[request]
	if h == nil || h.wanted != nil {
		return nil
	}
	if h.place == b {
		f.leavePlace(h)
	}
	if h.reader == b {
		f.leaveReader(h)
	}
	f.forget(h)
	return nil
}

// Held tells whether a box holds a state or a place for a request that no
// attempt at it waits for.
func (f *Fleet) Held(id, request string) bool {
	b, h := f.boxes[id], f.holds[request]
	return h != nil && b != nil && h.wanted == nil && (h.reader == b || h.place == b)
}

// leavePlace gives a place up, with the state if that has moved there.
func (f *Fleet) leavePlace(h *hold) {
	b := h.place
	if b == nil {
		return
	}
	if h.moving != nil && h.moving.to == b && h.wanted == nil {
		f.stopMove(h)
	}
	b.places = remove(b.places, h)
	b.pinned -= h.tokens
	h.place, h.landed = nil, false
	f.kick(b)
}

// leaveReader frees a state at its reader.
func (f *Fleet) leaveReader(h *hold) {
	b := h.reader
	if b == nil {
		return
	}
	f.stopMove(h)
	b.states = remove(b.states, h)
	b.pinned -= h.pinned
	h.reader, h.pinned = nil, 0
	f.kick(b)
}

// letGo frees all that is held for a request.
func (f *Fleet) letGo(h *hold) {
	f.leavePlace(h)
	f.leaveReader(h)
	if j := h.wanted; j != nil {
		f.lostState(j)
	}
	f.forget(h)
}

func (f *Fleet) forget(h *hold) {
	if h.read == nil && h.place == nil && h.reader == nil && h.wanted == nil && f.holds[h.id] == h {
		delete(f.holds, h.id)
	}
}

// expire frees a state that nobody has taken for long: its gateway has died.
func (f *Fleet) expire(h *hold) {
	h.touched = f.now
	var look func()
	look = func() {
		if f.holds[h.id] != h {
			return
		}
		if h.read != nil || h.wanted != nil {
			h.touched = f.now
		}
		if left := h.touched + f.cfg.StateTTLMs - f.now; left > 0 {
			f.after(left, look)
			return
		}
		f.letGo(h)
	}
	f.after(f.cfg.StateTTLMs, look)
}

// move begins to carry so many tokens of a state to a writer.
func (f *Fleet) move(h *hold, to *box, tokens float64) {
	from := h.reader
	l, work := from.cell, tokens
	switch {
	case from.spec.Zone == to.spec.Zone && from.spec.Cell == to.spec.Cell:
		l = from.port
	case from.spec.Zone != to.spec.Zone:
		work *= f.cfg.Links.ZoneSlower
	}
	l.settle(f.now)
	h.moving = &move{hold: h, to: to, left: work}
	l.begin(h.moving)
	f.relink(l)
}

// stopMove ends a move that has not arrived.
func (f *Fleet) stopMove(h *hold) {
	m := h.moving
	if m == nil {
		return
	}
	h.moving = nil
	m.link.settle(f.now)
	m.link.end(m)
	f.relink(m.link)
}

// relink sets the event of a link's next end.
func (f *Fleet) relink(l *link) {
	l.epoch++
	if len(l.moves) == 0 {
		return
	}
	epoch := l.epoch
	f.after(l.next()-f.now, func() {
		if l.epoch != epoch {
			return
		}
		l.settle(f.now)
		for _, m := range l.done() {
			l.end(m)
			f.arrived(m)
		}
		f.relink(l)
	})
}

// arrived ends a move: the reader's memory is let go.
func (f *Fleet) arrived(m *move) {
	h := m.hold
	h.moving = nil
	f.leaveReader(h)
	if j := h.wanted; j != nil && j.box == m.to && len(j.box.fetching) > 0 {
		f.fetched(j)
		return
	}
	h.landed = true
}

// Holding lists the boxes that hold a state or a place for a request which no
// attempt waits for.
func (f *Fleet) Holding(request string) (boxes []string) {
	h := f.holds[request]
	if h == nil || h.wanted != nil || h.read != nil {
		return nil
	}
	if h.reader != nil {
		boxes = append(boxes, h.reader.spec.ID)
	}
	if h.place != nil {
		boxes = append(boxes, h.place.spec.ID)
	}
	return boxes
}

// HeldCount is the number of requests for which something is held or under way.
func (f *Fleet) HoldCount() int { return len(f.holds) }
