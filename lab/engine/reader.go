package engine

// enqueuePrefill queues an attempt at a prefill engine.
func (f *Fleet) enqueuePrefill(j *job) {
	eng := j.engine
	if eng.isFull() {
		f.reject(j, EventRejected, "full")
		return
	}
	f.createHold(j)
	eng.queue = append(eng.queue, j)
	f.startStep(eng)
}

// createHold creates the hold of a request that is to be prefilled. What an earlier
// prefill of it left is freed.
func (f *Fleet) createHold(j *job) {
	if j.engine.kind.Role != RolePrefill {
		return
	}
	if old := f.holds[j.Request]; old != nil {
		old.prefill = nil // its end finds that it was replaced
		f.releaseAll(old)
	}
	j.hold = &hold{request: j.Request, tokens: j.Prompt.Tokens, prefill: j}
	f.holds[j.Request] = j.hold
	f.scheduleExpiry(j.hold)
}

// admitPrefill admits the head of the queue if a slot and memory are free.
func (f *Fleet) admitPrefill(eng *engine, j *job) bool {
	if len(eng.running) >= eng.kind.Slots {
		return false
	}
	if j.Prompt.Tokens > eng.kind.MemoryTokens { // it would wait for ever
		eng.queue = eng.queue[1:]
		f.dropPrefill(j)
		f.reject(j, EventRejected, "longer than the memory")
		return true
	}
	if !eng.fits(j.Prompt.Tokens) {
		return false
	}
	eng.queue = eng.queue[1:]
	j.cachedTokens = max(0, min(eng.cache.cachedTokens(j.Prompt), j.Prompt.Tokens-1)) // the last token is always computed
	eng.pin(j, j.Prompt.Tokens)
	eng.evictForPinned()
	eng.running = append(eng.running, j)
	return true
}

// planPrefillStep decides what the next step computes, and returns its length on an
// engine of speed 1.
func (f *Fleet) planPrefillStep(eng *engine) (ms float64) {
	budget, pairs := eng.kind.Chunk, 0.0
	for _, j := range eng.running {
		j.plannedTokens = min(j.remainingPrefill(), budget)
		budget -= j.plannedTokens
		pairs += j.plannedTokens * (j.cachedTokens + j.prefilled)
	}
	return eng.kind.StepMs + (eng.kind.Chunk-budget)*1000/eng.kind.PrefillPerS + pairs/1e6*eng.kind.AttentionMsPerM
}

// endPrefillStep counts what was computed, and ends complete prefills.
func (f *Fleet) endPrefillStep(eng *engine) {
	unfinished := eng.running[:0]
	var finished []*job
	for _, j := range eng.running {
		j.prefilled += j.plannedTokens
		if j.plannedTokens = 0; j.remainingPrefill() > 0 {
			unfinished = append(unfinished, j)
		} else {
			finished = append(finished, j)
		}
	}
	clear(eng.running[len(unfinished):])
	eng.running = unfinished
	for _, j := range finished {
		f.prefillDone(j)
	}
}

// prefillDone turns a complete prefill into a KV state that waits, or is transferred
// to the request's reservation.
func (f *Fleet) prefillDone(j *job) {
	eng, h := j.engine, j.hold
	eng.cache.add(j.Prompt, max(0, eng.kind.MemoryTokens-eng.pinned-eng.cache.used))
	if j.fails {
		f.dropPrefill(j)
		f.finish(j, Event{Kind: EventError})
		return
	}
	if h.prefill != j || j.abandoned && h.reservedAt == nil { // prefilled again elsewhere, or cancelled
		f.dropPrefill(j)
		f.finish(j, Event{Kind: EventPrefilled, CachedTokens: int(j.cachedTokens)})
		return
	}
	h.prefill, h.prefillEngine, h.cachedTokens, h.pinned = nil, eng, int(j.cachedTokens), j.pinned
	j.pinned = 0 // now counted by the KV state
	eng.kvStates = append(eng.kvStates, h)
	if h.reservedAt != nil {
		f.startTransfer(h, h.reservedAt, h.tokens*(1-f.cfg.Links.EarlyShare*h.unreadShare))
	}
	h.touchedAt = f.now
	f.finish(j, Event{Kind: EventPrefilled, CachedTokens: int(j.cachedTokens)})
}

// dropPrefill frees what a prefill has taken.
func (f *Fleet) dropPrefill(j *job) {
	j.engine.pin(j, -j.pinned)
	if h := j.hold; h != nil && h.prefill == j {
		h.prefill = nil
		f.releaseAll(h)
	}
}

// PreloadCache has a prefill engine start with a prompt in its cache, as far as its
// memory has room.
func (f *Fleet) PreloadCache(id string, p Prompt) error {
	eng := f.engines[id]
	if eng == nil {
		return ErrUnknownEngine
	}
	if eng.kind.Role == RolePrefill {
		eng.cache.add(p, max(0, eng.kind.MemoryTokens-eng.pinned-eng.cache.used))
	}
	return nil
}
