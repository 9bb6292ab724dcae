package engine

// sendReader takes an attempt to read a prompt.
func (f *Fleet) sendReader(j *job) {
	b := j.box
	if b.full() {
		f.away(j, EventAway, "full")
		return
	}
	f.prepare(j)
	b.queue = append(b.queue, j)
	f.kick(b)
}

// prepare makes the record of what will be held for a request that is to be
// read. What an earlier read of it left goes.
func (f *Fleet) prepare(j *job) {
	if j.box.kind.Role != RolePrefill {
		return
	}
	if old := f.holds[j.Request]; old != nil {
		old.read = nil // its end finds that it was read anew
		f.letGo(old)
	}
	j.hold = &hold{id: j.Request, tokens: j.Prompt.Tokens, read: j}
	f.holds[j.Request] = j.hold
	f.expire(j.hold)
}

// beginRead lets the head of the queue in if it has a slot and memory.
func (f *Fleet) beginRead(b *box, j *job) bool {
	if len(b.running) >= b.kind.Slots {
		return false
	}
	if j.Prompt.Tokens > b.kind.MemoryTokens { // it would wait for ever
		b.queue = b.queue[1:]
		f.dropRead(j)
		f.away(j, EventAway, "longer than the memory")
		return true
	}
	if !b.room(j.Prompt.Tokens) {
		return false
	}
	b.queue = b.queue[1:]
	j.kept = max(0, min(b.cache.find(j.Prompt), j.Prompt.Tokens-1)) // the last token is always read
	b.pin(j, j.Prompt.Tokens)
	b.claim()
	b.running = append(b.running, j)
	return true
}

// planRead settles what is read in the next step, and gives its length on a box
// of speed 1.
func (f *Fleet) planRead(b *box) (ms float64) {
	left, pairs := b.kind.Chunk, 0.0
	for _, j := range b.running {
		j.planned = min(j.todo(), left)
		left -= j.planned
		pairs += j.planned * (j.kept + j.read)
	}
	return b.kind.StepMs + (b.kind.Chunk-left)*1000/b.kind.PrefillPerS + pairs/1e6*b.kind.PairsMsPerM
}

// endRead counts what was read, and ends reads that are whole.
func (f *Fleet) endRead(b *box) {
	rest := b.running[:0]
	var whole []*job
	for _, j := range b.running {
		j.read += j.planned
		if j.planned = 0; j.todo() > 0 {
			rest = append(rest, j)
		} else {
			whole = append(whole, j)
		}
	}
	clear(b.running[len(rest):])
	b.running = rest
	for _, j := range whole {
		f.parsed(j)
	}
}

// parsed turns a read that is whole into a state that waits, or moves to the
// place held for it.
func (f *Fleet) parsed(j *job) {
	b, h := j.box, j.hold
	b.cache.keep(j.Prompt, max(0, b.kind.MemoryTokens-b.pinned-b.cache.used))
	if j.fails {
		f.dropRead(j)
		f.finish(j, Event{Kind: EventError})
		return
	}
	if h.read != j || j.left && h.place == nil { // read anew elsewhere, or given up
		f.dropRead(j)
		f.finish(j, Event{Kind: EventRead, Kept: int(j.kept)})
		return
	}
	h.read, h.reader, h.kept, h.pinned = nil, b, int(j.kept), j.pinned
	j.pinned = 0 // the state has it now
	b.states = append(b.states, h)
	if h.place != nil {
		f.move(h, h.place, h.tokens*(1-f.cfg.Links.FlowsAhead*h.ahead))
	}
	h.touched = f.now
	f.finish(j, Event{Kind: EventRead, Kept: int(j.kept)})
}

// dropRead lets go of what a read has taken.
func (f *Fleet) dropRead(j *job) {
	j.box.pin(j, -j.pinned)
	if h := j.hold; h != nil && h.read == j {
		h.read = nil
		f.letGo(h)
	}
}

// Keep has a reader begin with a prompt's text as if it had read it, where its
// memory has room.
func (f *Fleet) Keep(id string, p Prompt) error {
	b := f.boxes[id]
	if b == nil {
		return ErrNoBox
	}
	if b.kind.Role == RolePrefill {
		b.cache.keep(p, max(0, b.kind.MemoryTokens-b.pinned-b.cache.used))
	}
	return nil
}
