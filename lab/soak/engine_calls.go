package soak

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// This file handles the calls to an engine other than attempts: reservations, releases and probes.

// reserve answers a reservation call: refused, held, or, if no prefill runs for the request, neither.
func (e *engine) reserve(w http.ResponseWriter, r *http.Request) {
	id, receivedAt, scenario, checker := r.PathValue("id"), time.Now(), e.testbed.scenario, e.testbed.checker
	checker.countReservation()
	switch {
	case !e.work(r.Context(), 0):
		abort()
	case e.chance(reservationRefusalShare):
		w.WriteHeader(http.StatusConflict)
	case scenario.BlindReservations || checker.prefillRunning(id):
		checker.holdBegun(id, e.index, hold{reservation: true, callerGone: connOf(r).closedByCaller(), since: receivedAt})
		w.WriteHeader(http.StatusOK)
	case e.work(r.Context(), noPrefillWait):
		if scenario.UnknownHeld {
			checker.holdBegun(id, e.index, hold{reservation: true, callerGone: connOf(r).closedByCaller(), since: receivedAt})
		}
		time.Sleep(e.currentDelay())
		w.WriteHeader(http.StatusNoContent)
	default:
		abort()
	}
}

// currentDelay returns by how much the engine's answers are late now.
func (e *engine) currentDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answerDelay
}

// release drops the holds for a request. An engine that hangs drops them and does not answer.
func (e *engine) release(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	running := e.resumed
	e.mu.Unlock()
	<-running
	e.testbed.checker.releaseReceived(strings.TrimPrefix(r.URL.Path, roomsPath), e.index)
	if !e.work(r.Context(), 0) {
		abort()
	}
	w.WriteHeader(http.StatusNoContent)
}

// probe answers with the load report.
func (e *engine) probe(w http.ResponseWriter, r *http.Request) {
	e.testbed.checker.countProbe()
	switch {
	case !e.testbed.scenario.Probes:
		w.WriteHeader(http.StatusNotFound)
	case !e.work(r.Context(), 0):
		abort()
	default:
		w.Header().Set(headerReport, e.report())
		_, _ = io.WriteString(w, e.report()) // the caller may have closed the connection
	}
}
