package ashwood

import (
	"maps"
	"slices"
	"time"
)

// This file decides about servers that give no sign. That an attempt was written to one says
// nothing of it: only what it has sent back since does. An attempt that waits is looked after by
// probes of its server; where those go unanswered too, what may be sent again is sent elsewhere.
// A slow answer of a server that answers probes is no silence, and costs a probe now and then.

const (
	// signWait is how long nothing is heard from a server with an attempt until it is probed.
	signWait = 200 * time.Millisecond
	// signAnswer is for how long a probe is unanswered at the least to count as such: one that
	// fails sooner tells of a connection, or of this node. A server that works on long prompts
	// answers after some 250 ms.
	signAnswer = 300 * time.Millisecond
	// signHeldUp is for how long at the most: beyond, this node was held up itself, and the
	// answer may have been there.
	signHeldUp = 600 * time.Millisecond
	// signEvery is how long nothing is heard from a server until it is probed again, once it has
	// given a sign of an attempt: that has arrived.
	signEvery = time.Second
	// backAfter is the silence behind which a server that is heard counts as back, and backWait is
	// what its open answers then have to go on as well: they do not all at the same moment.
	backAfter = time.Second
	backWait  = 100 * time.Millisecond
)

// hear notes that a server has sent something back.
func (v *server) hear(now time.Duration) {
	if now-v.heardAt > backAfter {
		v.backAt = now
	}
	v.heardAt = now
}

// justBack tells of a server that is heard again after a silence, but not for long yet.
func (s *Scheduler) justBack(v *server) bool { return s.now-v.backAt < backWait }

// watchSign has an attempt looked after, where that is of use.
func (s *Scheduler) watchSign(r *request, n int) {
	if s.set.Limits.Probes && s.set.Limits.Cancel {
		s.after(signWait, timer{id: r.ID, what: lookForSign, attempt: n})
	}
}

// lookForSign probes the server of an attempt that has no answer, once nothing has been heard
// from it for a while, and looks again.
func (s *Scheduler) lookForSign(r *request, n int) {
	a := r.attempts[n]
	if !a.out || a.begun {
		return
	}
	v, wait := a.srv, signWait
	if v.heardAt > a.sent+signWait/2 { // not of what was under way already
		wait = signEvery
	}
	if quiet := s.now - max(v.heardAt, a.sent); quiet < wait {
		s.after(wait-quiet, timer{id: r.ID, what: lookForSign, attempt: n})
		return
	}
	if s.now-v.signAsked >= signHeldUp {
		v.signAsked = s.now
		s.act(Probe{v.ID})
	}
	s.after(signWait, timer{id: r.ID, what: lookForSign, attempt: n})
}

// signed takes in whether a probe of a server was answered, in whatever way.
func (s *Scheduler) signed(v *server, status Status) {
	took := s.now - v.signAsked
	switch {
	case status == Served || status == ServerError || status == TurnedAway:
		v.hear(s.now)
	case v.heardAt < v.signAsked && took >= signAnswer && took <= signHeldUp:
		s.silent(v)
	}
}

// silent leaves the attempts at a server that has given no sign since they were sent, where
// another may follow; those that may not be repeated wait on.
func (s *Scheduler) silent(v *server) {
	for _, id := range slices.Sorted(maps.Keys(s.reqs)) {
		r := s.reqs[id]
		for n, a := range r.attempts {
			if a.srv != v || !a.out || a.begun || a.silent || a.sent >= v.signAsked {
				continue
			}
			a.silent = true
			v.fail = 1 // no chance result among others: all that was asked of it
			s.judge(v, r, false)
			if !r.done {
				s.leave(r, n)
			}
		}
	}
}
