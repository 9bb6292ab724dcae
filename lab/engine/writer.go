package engine

// tokensAnEvent is how many tokens of an answer come in one event; the first
// comes by itself.
const tokensAnEvent = 4

// memoryMargin is the share of a writer's memory that has to be free beyond what
// an answer takes when it is let in; else the newest would go in and out.
const memoryMargin = 0.01

// sendWriter takes an attempt to fetch a state and write the answer.
func (f *Fleet) sendWriter(j *job) {
	b, h := j.box, f.holds[j.Request]
	if h.stateless() || h.landed && h.place != b || h.wanted != nil {
		f.away(j, EventNoState, "")
		return
	}
	j.hold = h
	if h.place == b { // its slot and memory are this attempt's now
		h.wanted = j
		b.places = remove(b.places, h)
		j.pinned = h.tokens
		b.fetching = append(b.fetching, j)
		landed := h.landed
		h.place, h.landed = nil, false
		if landed {
			f.fetched(j)
		}
		return
	}
	if b.full() {
		f.away(j, EventAway, "full")
		return
	}
	f.leavePlace(h)
	if h.stateless() { // it went with the place
		f.away(j, EventNoState, "")
		return
	}
	h.wanted = j
	b.queue = append(b.queue, j)
	f.kick(b)
}

// beginWrite lets the head of the queue in if it has a slot and memory; it then
// fetches its state, or reads anew what ran out of memory.
func (f *Fleet) beginWrite(b *box, j *job) bool {
	margin := memoryMargin * b.kind.MemoryTokens
	need := j.Prompt.Tokens
	if j.reread {
		need += float64(j.produced)
	}
	switch {
	case !j.reread && (j.hold == nil || j.hold.reader == nil): // lost while it waited, or taken in while the box hung
		b.queue = b.queue[1:]
		f.away(j, EventNoState, "")
		return true
	case need >= b.kind.MemoryTokens:
		b.queue = b.queue[1:]
		f.away(j, EventAway, "longer than the memory")
		return true
	case b.slotsTaken() >= b.kind.Slots || !b.room(need+margin) && (len(b.running) > 0 || !b.room(need)):
		return false
	}
	b.queue = b.queue[1:]
	b.pin(j, need)
	if j.reread {
		b.running = append(b.running, j)
		return true
	}
	b.fetching = append(b.fetching, j)
	f.move(j.hold, b, j.hold.tokens)
	return true
}

// fetched lets an answer begin whose state has come.
func (f *Fleet) fetched(j *job) {
	b := j.box
	b.fetching = remove(b.fetching, j)
	b.running = append(b.running, j)
	f.kick(b)
}

// planWrite settles what the next step does: a token for each answer that runs,
// and a chunk of what is read anew. Where memory would run out, the newest
// answer goes back into the queue.
func (f *Fleet) planWrite(b *box) (ms float64) {
	for len(b.running) > 0 && b.pinned+float64(len(b.running)) > b.kind.MemoryTokens {
		newest := b.running[len(b.running)-1]
		b.running = b.running[:len(b.running)-1]
		b.pin(newest, -newest.pinned)
		newest.read, newest.kept, newest.reread = 0, 0, true
		b.queue = append([]*job{newest}, b.queue...)
	}
	left, context, pairs := b.kind.Chunk, 0.0, 0.0
	for _, j := range b.running {
		j.planned, j.decodes = 0, false
		if todo := j.todo(); todo > 0 {
			j.planned = min(todo, left)
			left -= j.planned
			pairs += j.planned * j.read
			continue
		}
		j.decodes = true
		b.pin(j, 1)
		context += j.pinned
	}
	return b.kind.StepMs + float64(len(b.running))*b.kind.PerSeqMs + context/1000*b.kind.ContextMsPerK +
		(b.kind.Chunk-left)*1000/b.kind.PrefillPerS + pairs/1e6*b.kind.PairsMsPerM
}

// endWrite passes on what a step has made, and ends answers that are whole.
func (f *Fleet) endWrite(b *box) {
	rest := b.running[:0]
	var over []*job
	for _, j := range b.running {
		j.read += j.planned
		j.planned = 0
		if j.decodes {
			j.decodes = false
			j.produced++
			j.unsent++
		}
		if f.advance(j) {
			rest = append(rest, j)
		} else {
			over = append(over, j)
		}
	}
	clear(b.running[len(rest):])
	b.running = rest
	for _, j := range over {
		b.pin(j, -j.pinned)
	}
}

// advance passes tokens on; false once the answer needs its box no more.
func (f *Fleet) advance(j *job) bool {
	if j.produced == 0 || j.unsent == 0 {
		return true
	}
	if j.left { // a stream that nobody reads ends
		f.finish(j, Event{})
		return false
	}
	if j.fails {
		f.finish(j, Event{Kind: EventError})
		return false
	}
	first := j.hold != nil
	if first {
		f.begun(j)
	}
	end := j.produced >= j.length
	if first || end || j.unsent >= tokensAnEvent {
		f.emit(Event{Kind: EventTokens, Call: j.call, Engine: j.box.spec.ID, Tokens: j.unsent, Fate: j.fate})
		j.unsent = 0
	}
	switch {
	case end:
		f.finish(j, Event{Kind: EventEnd, Tokens: j.produced, Kept: j.found})
	case j.fate == FateBreaks && j.produced >= j.breakAt:
		f.finish(j, Event{Kind: EventLost})
	case j.fate == FateStops && j.produced >= j.breakAt, j.fate >= FateSpoilHead:
		delete(f.calls, j.call) // the wire has what it needs; nothing more comes
	default:
		return true
	}
	return false
}

// begun is the answer's first token: all else that is held goes.
func (f *Fleet) begun(j *job) {
	h := j.hold
	if h == nil {
		return
	}
	j.hold, j.found = nil, h.kept
	h.wanted = nil
	f.letGo(h)
}

// Cancel gives an attempt up. What stops depends on the box; no event follows.
func (f *Fleet) Cancel(call Call) {
	j := f.calls[call]
	if j == nil || j.left {
		return
	}
	j.left = true
	b, mode := j.box, j.box.kind.Cancel
	waits := false
	for _, other := range b.queue {
		waits = waits || other == j
	}
	for _, other := range b.fetching {
		if other == j { // a request that waits for its state is dropped at once
			f.dropFetch(j)
			return
		}
	}
	if b.condition.Hung { // it notices later, if at all: advance and admit see that it has left
		if waits && b.kind.Role == RoleDecode && j.hold != nil {
			j.hold.wanted, j.hold = nil, nil
		}
		return
	}
	if waits && mode == CancelIgnored || !waits && mode != CancelHonours {
		return
	}
	b.queue, b.running = remove(b.queue, j), remove(b.running, j)
	if b.kind.Role == RolePrefill {
		f.dropRead(j)
	} else {
		b.pin(j, -j.pinned)
	}
	f.finish(j, Event{})
	f.kick(b)
}

// dropFetch takes an attempt off that waits for its state; the state stays where it is.
func (f *Fleet) dropFetch(j *job) {
	b, h := j.box, j.hold
	b.fetching = remove(b.fetching, j)
	f.stopMove(h)
	b.pin(j, -j.pinned)
	f.finish(j, Event{})
	f.forget(h)
	f.kick(b)
}
