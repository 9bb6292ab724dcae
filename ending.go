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
func (s *Scheduler) ending(e Shutdown) {
	if e.Deadline >= s.endsAt {
		return
	}
	s.endsAt = e.Deadline
	for _, r := range s.reqs {
		r.deadline = min(r.deadline, s.endsAt)
	}
	s.after(max(s.endsAt-s.now, 0), timer{what: endRequests})
}

// endRequests gives up each request whose answer has not begun, whether or not an attempt is
// out for it. One at a writer may run yet; a read has no effect, however it ends.
func (s *Scheduler) endRequests() {
	for _, id := range slices.Sorted(maps.Keys(s.reqs)) {
		r := s.reqs[id]
		if r.done {
			continue
		}
		for _, a := range r.attempts {
			if a.out && a.write && r.ran == nil {
				r.ran = a
			}
		}
		s.giveUp(r, ReasonShutdown)
	}
}
