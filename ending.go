package ashwood

import (
	"maps"
	"slices"
)

// This file decides what becomes of requests when the node is told that it ends. Whatever it
// has taken gets an answer while it can still give one: a deadline beyond the node's own end
// is a promise that it can't keep, to clients and to servers.

// ending cuts the deadlines of all requests, those to come too, to the node's own. Told again,
// only an earlier time counts.
func (s *Scheduler) handleShutdown(e Shutdown) {
	if e.Deadline >= s.shutdownAt {
		return
	}
	s.shutdownAt = e.Deadline
	for _, r := range s.requests {
		r.deadline = min(r.deadline, s.shutdownAt)
	}
	s.setTimer(max(s.shutdownAt-s.now, 0), pendingTimer{purpose: timerShutdown})
}

// endRequests gives up each request whose answer has not begun, whether or not an attempt is
// out for it. One at a writer may run yet; a read has no effect, however it ends.
func (s *Scheduler) giveUpUnanswered() {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		if r.done {
			continue
		}
		for _, a := range r.attempts {
			if a.inFlight && a.decodes && r.firstRun == nil {
				r.firstRun = a
			}
		}
		s.giveUp(r, ReasonShutdown)
	}
}
