package engine

// tokensPerEvent is how many tokens of an answer one event carries; the first token
// has an event of its own.
const tokensPerEvent = 4

// memoryMargin is the share of a decode engine's memory that has to be free beyond
// what an answer takes at its admission; otherwise the newest answer would be
// admitted and preempted again and again.
const memoryMargin = 0.01

// enqueueDecode queues an attempt at a decode engine, which fetches the KV state and
// generates the answer.
func (f *Fleet) enqueueDecode(j *job) {
	eng, h := j.engine, f.holds[j.Request]
	if h.hasNoState() || h.transferred && h.reservedAt != eng || h.waiter != nil {
		f.reject(j, EventNoState, "")
		return
	}
	j.hold = h
	if h.reservedAt == eng { // the attempt takes over its slot and memory
		h.waiter = j
		eng.reservations = remove(eng.reservations, h)
		j.pinned = h.tokens
		eng.fetching = append(eng.fetching, j)
		landed := h.transferred
		h.reservedAt, h.transferred = nil, false
		if landed {
			f.startDecode(j)
		}
		return
	}
	if eng.isFull() {
		f.reject(j, EventRejected, "full")
		return
	}
	f.cancelReservation(h)
	if h.hasNoState() { // it was freed with the reservation
		f.reject(j, EventNoState, "")
		return
	}
	h.waiter = j
	eng.queue = append(eng.queue, j)
	f.startStep(eng)
}

// admitDecode admits the head of the queue if a slot and memory are free; the attempt
// then fetches its KV state, or computes again what was preempted.
func (f *Fleet) admitDecode(eng *engine, j *job) bool {
	margin := memoryMargin * eng.kind.MemoryTokens
	need := j.Prompt.Tokens
	if j.recompute {
		need += float64(j.produced)
	}
	switch {
	case !j.recompute && (j.hold == nil || j.hold.prefillEngine == nil): // lost while it waited, or queued while the engine hung
		eng.queue = eng.queue[1:]
		f.reject(j, EventNoState, "")
		return true
	case need >= eng.kind.MemoryTokens:
		eng.queue = eng.queue[1:]
		f.reject(j, EventRejected, "longer than the memory")
		return true
	case eng.slotsTaken() >= eng.kind.Slots || !eng.fits(need+margin) && (len(eng.running) > 0 || !eng.fits(need)):
		return false
	}
	eng.queue = eng.queue[1:]
	eng.pin(j, need)
	if j.recompute {
		eng.running = append(eng.running, j)
		return true
	}
	eng.fetching = append(eng.fetching, j)
	f.startTransfer(j.hold, eng, j.hold.tokens)
	return true
}

// startDecode starts an answer whose KV state has arrived.
func (f *Fleet) startDecode(j *job) {
	eng := j.engine
	eng.fetching = remove(eng.fetching, j)
	eng.running = append(eng.running, j)
	f.startStep(eng)
}

// planDecodeStep decides what the next step does: a token for each running answer,
// and a chunk of what is computed again. Where memory would run out, the newest
// answer is preempted and goes back into the queue.
func (f *Fleet) planDecodeStep(eng *engine) (ms float64) {
	for len(eng.running) > 0 && eng.pinned+float64(len(eng.running)) > eng.kind.MemoryTokens {
		newest := eng.running[len(eng.running)-1]
		eng.running = eng.running[:len(eng.running)-1]
		eng.pin(newest, -newest.pinned)
		newest.prefilled, newest.cachedTokens, newest.recompute = 0, 0, true
		eng.queue = append([]*job{newest}, eng.queue...)
	}
	budget, context, pairs := eng.kind.Chunk, 0.0, 0.0
	for _, j := range eng.running {
		j.plannedTokens, j.decodes = 0, false
		if remaining := j.remainingPrefill(); remaining > 0 {
			j.plannedTokens = min(remaining, budget)
			budget -= j.plannedTokens
			pairs += j.plannedTokens * j.prefilled
			continue
		}
		j.decodes = true
		eng.pin(j, 1)
		context += j.pinned
	}
	return eng.kind.StepMs + float64(len(eng.running))*eng.kind.PerSeqMs + context/1000*eng.kind.ContextMsPerK +
		(eng.kind.Chunk-budget)*1000/eng.kind.PrefillPerS + pairs/1e6*eng.kind.AttentionMsPerM
}

// endDecodeStep sends on what a step has generated, and ends complete answers.
func (f *Fleet) endDecodeStep(eng *engine) {
	unfinished := eng.running[:0]
	var finished []*job
	for _, j := range eng.running {
		j.prefilled += j.plannedTokens
		j.plannedTokens = 0
		if j.decodes {
			j.decodes = false
			j.produced++
			j.unsent++
		}
		if f.sendTokens(j) {
			unfinished = append(unfinished, j)
		} else {
			finished = append(finished, j)
		}
	}
	clear(eng.running[len(unfinished):])
	eng.running = unfinished
	for _, j := range finished {
		eng.pin(j, -j.pinned)
	}
}

// sendTokens emits the tokens of an answer; false once the answer no longer needs its
// engine.
func (f *Fleet) sendTokens(j *job) bool {
	if j.produced == 0 || j.unsent == 0 {
		return true
	}
	if j.abandoned { // a stream that nobody reads ends
		f.finish(j, Event{})
		return false
	}
	if j.fails {
		f.finish(j, Event{Kind: EventError})
		return false
	}
	first := j.hold != nil
	if first {
		f.answerStarted(j)
	}
	complete := j.produced >= j.answerLength
	if first || complete || j.unsent >= tokensPerEvent {
		f.emit(Event{Kind: EventTokens, Call: j.call, Engine: j.engine.spec.ID, Tokens: j.unsent, StreamFault: j.streamFault})
		j.unsent = 0
	}
	switch {
	case complete:
		f.finish(j, Event{Kind: EventEnd, Tokens: j.produced, CachedTokens: j.prefillCached})
	case j.streamFault == StreamBreaks && j.produced >= j.faultAt:
		f.finish(j, Event{Kind: EventLost})
	case j.streamFault == StreamStalls && j.produced >= j.faultAt, j.streamFault >= StreamMalformedHead:
		delete(f.calls, j.call) // the transport produces the rest of the fault; nothing more comes
	default:
		return true
	}
	return false
}

// answerStarted frees all that is still held, at the answer's first token.
func (f *Fleet) answerStarted(j *job) {
	h := j.hold
	if h == nil {
		return
	}
	j.hold, j.prefillCached = nil, h.cachedTokens
	h.waiter = nil
	f.releaseAll(h)
}

// Cancel cancels an attempt. What stops depends on the engine; no event follows.
func (f *Fleet) Cancel(call Call) {
	j := f.calls[call]
	if j == nil || j.abandoned {
		return
	}
	j.abandoned = true
	eng, mode := j.engine, j.engine.kind.Cancel
	queued := false
	for _, other := range eng.queue {
		queued = queued || other == j
	}
	for _, other := range eng.fetching {
		if other == j { // an attempt that waits for its KV state is dropped at once
			f.dropFetch(j)
			return
		}
	}
	if eng.condition.Hung { // noticed later, if at all: sendTokens and admit check abandoned
		if queued && eng.kind.Role == RoleDecode && j.hold != nil {
			j.hold.waiter, j.hold = nil, nil
		}
		return
	}
	if queued && mode == CancelIgnored || !queued && mode != CancelHonoured {
		return
	}
	eng.queue, eng.running = remove(eng.queue, j), remove(eng.running, j)
	if eng.kind.Role == RolePrefill {
		f.dropPrefill(j)
	} else {
		eng.pin(j, -j.pinned)
	}
	f.finish(j, Event{})
	f.startStep(eng)
}

// dropFetch drops an attempt that waits for its KV state; the KV state stays where it
// is.
func (f *Fleet) dropFetch(j *job) {
	eng, h := j.engine, j.hold
	eng.fetching = remove(eng.fetching, j)
	f.stopTransfer(h)
	eng.pin(j, -j.pinned)
	f.finish(j, Event{})
	f.deleteIfEmpty(h)
	f.startStep(eng)
}
