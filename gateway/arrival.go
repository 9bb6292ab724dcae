package gateway

import "ashwood.example/ashwood"

// This file tracks an attempt from the write of its last byte to its end. Whether it has arrived is unknown
// until its engine answers. A release must not overtake an attempt on its way, and must not wait for an
// attempt that never arrives.

// arrivalTimeout is the time in ms in which an attempt that was written shortly before the hold deadline
// may reach its engine. A release that overtakes it would drop the request's KV state.
const arrivalTimeout = 100

// prefillCheckAfter is the time in ms from a reservation call until the prefill engine is checked, if the
// prefill has no answer yet. A busy engine may take 250 ms to answer, and the reservation has to be released in time.
const prefillCheckAfter = 300

// prefillCheckTimeout is the time in ms in which the prefill engine must then answer a probe.
const prefillCheckTimeout = 200

// inFlightAttempt is an attempt whose last byte has been written and that has not ended.
type inFlightAttempt struct {
	engine    ashwood.Server
	prefill   bool
	writtenAt float64
}

// attemptSent records that an attempt has been written to an engine. Whether it has arrived is unknown.
func (h *requestHolds) attemptSent(engine ashwood.Server, prefill bool) {
	now := h.releaser.gateway.clock.Now()
	attempt := &inFlightAttempt{engine: engine, prefill: prefill, writtenAt: now}
	h.mu.Lock()
	h.inFlight, h.prefillMissing, h.prefillKnown = attempt, false, false
	h.unproven, h.reserved = append(h.unproven, h.reserved...), nil // they told of an earlier prefill
	if arrivesBy := now + arrivalTimeout; arrivesBy > h.timerAt {
		h.armTimer(h.deadline, min(arrivesBy, h.deadline+arrivalTimeout))
	}
	h.mu.Unlock()
	if h.add(engine, holdAttempt) {
		h.resumeUnlessArrived(attempt)
	}
}

// pauseReleases holds back repeated and fallback releases while an attempt is being written or is on its way.
// With paused false it resumes them: the attempt was not written, or its engine gives no sign that it has
// arrived. It reports whether any such release is pending.
func (h *requestHolds) pauseReleases(paused bool) (pending bool) {
	repeats := h.releaser.pauseRepeats(h.id, h.unconfirmedEngines(), paused)
	return h.releaser.pauseFallback(h.id, paused) || repeats
}

// unconfirmedEngines returns the engines whose release during the request is uncertain or undelivered.
func (h *requestHolds) unconfirmedEngines() []ashwood.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unconfirmed
}

// isInFlight reports whether an attempt has neither ended nor been followed by another.
func (h *requestHolds) isInFlight(attempt *inFlightAttempt) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight == attempt
}

// resumeUnlessArrived resumes paused releases if the attempt gives no sign that it has arrived. At a decode
// engine, a release never drops what an attempt waits for. At a prefill engine, it would drop the KV state
// of a running prefill, so releases resume only if that engine does not answer a probe.
func (h *requestHolds) resumeUnlessArrived(attempt *inFlightAttempt) {
	delay := float64(arrivalTimeout)
	if attempt.prefill {
		delay = prefillCheckAfter
	}
	h.releaser.gateway.clock.AfterFunc(delay, func() {
		h.releaser.gateway.runInBackground(func() {
			if !h.isInFlight(attempt) || attempt.prefill && h.releaser.gateway.prefillArrived(attempt, false, attempt.writtenAt+prefillCheckAfter+prefillCheckTimeout) {
				return
			}
			if h.isInFlight(attempt) {
				h.pauseReleases(false)
			}
		})
	})
}

// attemptEnded records that the last written attempt has ended. Only an answer of its engine restarts
// the hold deadline: without one, the attempt may never have arrived.
func (h *requestHolds) attemptEnded(answered bool) {
	if answered { // the attempt has arrived, and earlier holds now belong to it
		h.releaser.attemptArrived(h.id, h.unconfirmedEngines())
	} else {
		h.pauseReleases(false)
	}
	h.restartDeadline(answered)
}

// attemptRejected records that the engine has answered the last written attempt without accepting it. Releases
// that were pending before stay pending.
func (h *requestHolds) attemptRejected() {
	h.pauseReleases(false)
	h.restartDeadline(true)
}

// restartDeadline restarts the hold deadline after an attempt has ended. Without an answer,
// an earlier deadline stays.
func (h *requestHolds) restartDeadline(answered bool) {
	limit := h.releaser.gateway.holdLimit
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight = nil
	if limit <= 0 {
		return
	}
	now := h.releaser.gateway.clock.Now()
	deadline := now + limit
	if answered {
		h.answeredAt = now
	} else {
		deadline = min(deadline, h.deadline)
	}
	h.armTimer(deadline, deadline)
}
