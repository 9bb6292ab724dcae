package ashwood

import (
	"maps"
	"slices"
)

// This file decides what happens to requests when the node shuts down. Each admitted request gets
// an answer while the node can still give one: it can't keep a deadline beyond its own end, neither
// to clients nor to servers.

// handleShutdown limits the deadlines of all present and future requests to the node's own. A
// repeated announcement counts only if its deadline is earlier.
func (s *Scheduler) handleShutdown(e Shutdown) {
	if e.Deadline >= s.shutdownAt {
		return
	}
	s.shutdownAt = e.Deadline
	for _, request := range s.requests {
		request.deadline = min(request.deadline, s.shutdownAt)
	}
	s.setTimer(max(s.shutdownAt-s.now, 0), pendingTimer{purpose: timerShutdown})
}

// giveUpUnanswered gives up each request whose answer has not started, even if an attempt is in
// flight. An attempt at a decode server may still run; a prefill has no effect, however it ends.
func (s *Scheduler) giveUpUnanswered() {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		request := s.requests[id]
		if request.done {
			continue
		}
		for _, attempt := range request.attempts {
			if attempt.inFlight && attempt.decodes && request.firstRun == nil {
				request.firstRun = attempt
			}
		}
		s.giveUp(request, ReasonShutdown)
	}
}
