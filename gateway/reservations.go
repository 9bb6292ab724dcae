package gateway

import (
	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/release"
)

// This file tracks the reservations that decode engines may hold for a request, and releases them beside a prefill.

// reservationState is what the gateway knows about a reservation that an engine may hold.
type reservationState int

const (
	reservationConfirmed      reservationState = iota
	reservationWithoutPrefill                  // the engine knows of no prefill, but may hold a reservation
	reservationUnanswered                      // no answer in time
)

// addReservation adds an engine that may hold a reservation since a call at askedAt, during the prefill. The
// engine has confirmed it, has not answered, or knows of no prefill, which then has not arrived. The reservation has its
// own deadline, unless an attempt was answered since.
func (h *requestHolds) addReservation(engine ashwood.Server, askedAt float64, answer reservationState) {
	limit := h.releaser.gateway.holdLimit
	h.mu.Lock()
	h.prefillMissing = h.prefillMissing || answer == reservationWithoutPrefill
	h.prefillKnown = h.prefillKnown || answer == reservationConfirmed
	if answer == reservationUnanswered {
		h.unproven = append(h.unproven, engine)
	} else {
		h.reserved = append(h.reserved, engine)
	}
	if deadline := max(askedAt, h.answeredAt) + limit; limit > 0 && deadline < h.deadline && !h.finished {
		timerAt, duringPrefill := deadline, h.inFlight != nil && h.inFlight.prefill
		if duringPrefill && answer != reservationWithoutPrefill && h.releaser.gateway.probesAllowed {
			timerAt = min(askedAt+prefillCheckAfter, deadline)
		}
		h.armTimer(deadline, timerAt)
	}
	h.mu.Unlock()
	h.add(engine, holdReservation)
}

// addLateReservation adds a decode engine that answered a reservation call only after the prefill.
// The call may have arrived there after the first token of the answer, which then did not free
// the reservation. It is released separately once the answer has begun.
func (h *requestHolds) addLateReservation(engine ashwood.Server, askedAt float64) {
	h.mu.Lock()
	answerBegun, uncertain := h.answerBegun, h.isUncertain(engine.ID)
	if !answerBegun {
		h.lateReservations = append(h.lateReservations, engine)
	}
	h.mu.Unlock()
	if answerBegun {
		h.releaser.gateway.holdLog.began(h.key(engine.ID), holdReservation)
		h.releaser.releaseInBackground(h.id, []ashwood.Server{engine}, uncertain)
	} else {
		h.addReservation(engine, askedAt, reservationUnanswered) // whatever it answered, that was for an earlier attempt
	}
}

// releaseUnproven sends a release to engines that may hold a reservation, although the prefill in flight may have arrived.
// Substitutes get none: an engine that takes no call need not hold anything, and a release anywhere drops the KV state of a
// running prefill.
func (h *requestHolds) releaseUnproven(engines []ashwood.Server, attemptAt ashwood.ServerID) {
	if len(engines) == 0 {
		return
	}
	h.mu.Lock()
	h.unconfirmed = append(h.unconfirmed, engines...)
	h.mu.Unlock()
	h.releaser.gateway.holdLog.releasedWithAttemptInFlight(h.key(attemptAt), len(engines))
	h.releaser.enqueue(h.id, engines, true, func(release.EndReason) {})
}
