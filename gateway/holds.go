package gateway

import (
	"maps"
	"math"
	"slices"
	"sync"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/metrics"
	"ashwood.example/ashwood/internal/release"
)

// requestHolds tracks the engines that may hold KV state or a reservation for a running request.
//
// Holds have a deadline. It counts from the last answer by which an engine showed that an attempt has
// ended, or from the reservation call. Nothing that the gateway writes stops it: written bytes may not
// have arrived, and a silent engine may read them much later. At the deadline, all engines are sent a
// release except the one with the attempt in flight. An engine drops only what no attempt waits for:
// if the decode attempt has arrived, the release costs one call, and if it has not, the KV state.
// A running prefill does not wait for its KV state, so a release drops that state in advance. A reservation is
// therefore released during a prefill only if the prefill engine gives no sign. A sign shows that the engine runs, not that
// the prefill has arrived: its connection alone may be dead. Where no answer to a reservation call shows it either, the engine
// with the reservation is sent a release at the deadline all the same.
//
// A release is uncertain if its engine may receive it before it notices that an attempt or a reservation
// call was cancelled, or may read a cancelled call later. Uncertain releases are repeated.
type requestHolds struct {
	releaser *releaser
	id       ashwood.RequestID

	releasing        sync.Mutex // held while expired holds are released
	mu               sync.Mutex
	holders          map[ashwood.ServerID]ashwood.Server
	lateReservations []ashwood.Server                    // reservations answered after the prefill
	unconfirmed      []ashwood.Server                    // engines whose release during the request is uncertain or undelivered; released again at its end
	uncertain        bool                                // an engine may not have noticed that an attempt or a call has ended
	abandoned        map[ashwood.ServerID]ashwood.Server // engines at which an attempt or a call was cancelled; they may hold something later
	answerBegun      bool                                // the first piece of the answer has arrived
	finished         bool                                // the request has its final answer
	inFlight         *inFlightAttempt                    // nil = none
	answeredAt       float64                             // ms of the clock; when an attempt was last answered
	prefillMissing   bool                                // an engine asked for a reservation knows of no prefill
	prefillKnown     bool                                // an engine that holds a reservation knows of the prefill
	reserved         []ashwood.Server                    // engines that answered a reservation call for the prefill in flight
	unproven         []ashwood.Server                    // engines that may hold a reservation and have not shown that they know of that prefill
	deadline         float64                             // ms of the clock; +Inf = nothing is held, or it has been released
	timerAt          float64                             // when releaseExpired runs: at the deadline, up to arrivalTimeout later, or earlier during a prefill
	stopTimer        func() bool                         // stops the timer of releaseExpired
}

// newHolds returns the empty holds of a request.
func (r *releaser) newHolds(id ashwood.RequestID) *requestHolds {
	return &requestHolds{
		releaser: r, id: id, holders: map[ashwood.ServerID]ashwood.Server{}, stopTimer: func() bool { return true }, deadline: math.Inf(1), timerAt: math.Inf(1),
	}
}

// armTimer sets the hold deadline and the time at which releaseExpired runs. The caller holds the lock.
func (h *requestHolds) armTimer(deadline, at float64) {
	h.stopTimer()
	h.deadline, h.timerAt = deadline, at
	h.stopTimer = func() bool { return true }
	if !math.IsInf(at, 1) {
		h.stopTimer = h.releaser.gateway.clock.AfterFunc(max(at-h.releaser.gateway.clock.Now(), 0), func() {
			h.releaser.gateway.runInBackground(h.releaseExpired)
		})
	}
}

// releaseExpired releases what is held at the deadline. It also runs before each send, so
// that a send waits for a release that is under way; a timer that fires late finds nothing expired.
func (h *requestHolds) releaseExpired() {
	h.releasing.Lock()
	defer h.releasing.Unlock()
	h.mu.Lock()
	attempt, now := h.inFlight, h.releaser.gateway.clock.Now()
	expired := now >= h.timerAt
	besidePrefill := attempt != nil && attempt.prefill && !h.prefillMissing
	unknownPrefill := besidePrefill && len(h.unproven) > 0 && !h.prefillKnown
	var unproven []ashwood.Server
	if expired { // engines with cancelled calls may hold something since their last release
		maps.Copy(h.holders, h.abandoned)
	}
	switch {
	case !expired:
	case unknownPrefill && now < h.deadline:
		h.armTimer(h.deadline, h.deadline)
	case besidePrefill:
		if unknownPrefill {
			unproven, h.unproven = h.unproven, nil
		}
		h.armTimer(h.deadline, math.Inf(1))
	default:
		h.armTimer(math.Inf(1), math.Inf(1))
	}
	by, prefillKnown := h.deadline+arrivalTimeout, h.prefillKnown
	h.mu.Unlock()
	switch {
	case !expired:
	case attempt == nil:
		h.release(false)
	case besidePrefill:
		h.releaseUnproven(unproven, attempt.engine.ID)
		h.releaser.gateway.runInBackground(func() { h.releaseUnlessPrefillArrived(attempt, prefillKnown, by) })
	default:
		h.releaseAllExcept(attempt.engine.ID)
	}
}

// releaseUnlessPrefillArrived releases the holds of other engines if the prefill engine gives no sign,
// before the time by if possible.
func (h *requestHolds) releaseUnlessPrefillArrived(attempt *inFlightAttempt, prefillKnown bool, by float64) {
	if h.releaser.gateway.prefillArrived(attempt, prefillKnown, by) {
		return
	}
	h.releasing.Lock()
	defer h.releasing.Unlock()
	h.mu.Lock()
	inFlight := h.inFlight == attempt
	h.mu.Unlock()
	if inFlight {
		h.releaseAllExcept(attempt.engine.ID)
	}
}

// releaseAllExcept sends a release to all holders except the engine with the attempt in flight. They stay
// holders: if the attempt has arrived, they keep what it waits for. At engines where an attempt was
// cancelled before, the release is uncertain until the request is sent somewhere else.
func (h *requestHolds) releaseAllExcept(attemptAt ashwood.ServerID) {
	h.mu.Lock()
	var certain, uncertain []ashwood.Server
	for id, engine := range h.holders {
		_, abandoned := h.abandoned[id]
		switch {
		case id == attemptAt:
		case abandoned:
			uncertain = append(uncertain, engine)
		default:
			certain = append(certain, engine)
		}
	}
	h.unconfirmed = append(h.unconfirmed, uncertain...)
	h.reserved, h.unproven = nil, nil
	h.mu.Unlock()
	if len(certain)+len(uncertain) == 0 {
		return
	}
	h.releaser.gateway.holdLog.releasedWithAttemptInFlight(h.key(attemptAt), len(certain)+len(uncertain))
	h.releaseAndWait(certain, uncertain)
}

// add adds a holder. After the final answer, it is sent a release at once. If an attempt was written
// to the engine, add reports whether releases now wait for a sign that the attempt has arrived.
func (h *requestHolds) add(engine ashwood.Server, reason holdReason) (paused bool) {
	h.mu.Lock()
	finished, uncertain := h.finished, h.isUncertain(engine.ID)
	if !finished {
		h.holders[engine.ID] = engine
	}
	h.mu.Unlock()
	if !finished {
		h.releaser.withdraw(h.id, engine.ID)
		paused = reason == holdAttempt && h.pauseReleases(true)
	}
	h.releaser.gateway.holdLog.began(h.key(engine.ID), reason)
	if finished {
		h.releaser.releaseInBackground(h.id, []ashwood.Server{engine}, uncertain)
	}
	return paused
}

func (h *requestHolds) key(engine ashwood.ServerID) release.Key {
	return release.Key{Engine: engine, Request: h.id}
}

// markAbandoned records that an attempt or a reservation call was cancelled. Its engine may
// notice that only after a release, and a silent engine may read and execute what was
// written to it much later.
func (h *requestHolds) markAbandoned(engine ashwood.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.uncertain = true
	if h.abandoned == nil {
		h.abandoned = map[ashwood.ServerID]ashwood.Server{}
	}
	h.abandoned[engine.ID] = engine
}

// markAnswerBegun records the first piece of the answer, with which engines drop all other holds. They do not
// drop what they may hold later for cancelled attempts and calls, so these engines are sent a release.
func (h *requestHolds) markAnswerBegun() {
	h.mu.Lock()
	lateReservations, uncertain, unconfirmed := h.lateReservations, h.uncertain, h.unconfirmed
	abandoned := slices.Collect(maps.Values(h.abandoned))
	h.answerBegun, h.lateReservations, h.unconfirmed, h.inFlight = true, nil, nil, nil
	h.armTimer(math.Inf(1), math.Inf(1))
	holders := slices.Collect(maps.Keys(h.holders))
	h.mu.Unlock()
	h.releaser.attemptArrived(h.id, unconfirmed)
	for _, engine := range holders {
		h.releaser.gateway.holdLog.ended(h.key(engine), metrics.HoldTaken)
	}
	h.releaser.releaseInBackground(h.id, lateReservations, uncertain)
	h.releaser.releaseInBackground(h.id, abandoned, true)
}

// isUncertain reports whether a release at an engine has to be repeated: the engine may notice the end of an attempt or a
// call only after the release, or may read a cancelled one later. The caller holds the lock.
func (h *requestHolds) isUncertain(engine ashwood.ServerID) bool {
	_, abandoned := h.abandoned[engine]
	return h.uncertain || abandoned
}

// takeHolders removes and returns all holders, for a release. The final one includes the engines whose
// release during the request is unconfirmed.
func (h *requestHolds) takeHolders(final bool) (certain, uncertain []ashwood.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finished = h.finished || final
	if final {
		h.armTimer(math.Inf(1), math.Inf(1))
		for _, engine := range h.unconfirmed {
			h.holders[engine.ID] = engine
		}
	}
	for id, engine := range h.holders {
		if h.isUncertain(id) {
			uncertain = append(uncertain, engine)
		} else {
			certain = append(certain, engine)
		}
	}
	clear(h.holders)
	h.reserved, h.unproven = nil, nil
	if !final {
		h.unconfirmed = append(h.unconfirmed, uncertain...)
		h.uncertain = false
	}
	return certain, uncertain
}

// release sends a release to all holders. While the request is running, release blocks for a
// short time, so that the release does not overtake the next send.
func (h *requestHolds) release(final bool) {
	certain, uncertain := h.takeHolders(final)
	if final {
		h.releaser.releaseInBackground(h.id, certain, false)
		h.releaser.releaseInBackground(h.id, uncertain, true)
		return
	}
	h.releaseAndWait(certain, uncertain)
	h.noteUndelivered(certain)
}

// noteUndelivered has the engines that have not received their release yet released again at the end of the
// request: a release that arrives together with the next attempt does not drop what that attempt waits for.
func (h *requestHolds) noteUndelivered(engines []ashwood.Server) {
	undelivered := h.releaser.undelivered(h.id, engines)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unconfirmed = append(h.unconfirmed, undelivered...)
}

// releaseAndWait releases at engines, some of them uncertain, and waits a short time for the outcome.
func (h *requestHolds) releaseAndWait(certain, uncertain []ashwood.Server) {
	var releases sync.WaitGroup
	if len(certain) > 0 {
		releases.Go(h.releaser.startRelease(h.id, certain, false))
	}
	if len(uncertain) > 0 {
		releases.Go(h.releaser.startRelease(h.id, uncertain, true))
	}
	releases.Wait()
}
