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
	// signWait is how long nothing is heard from a server with an attempt until it is probed, and
	// signAnswer how long the probe may take. A server answers between the steps of its work, some
	// 0.25 s apart where it reads long prompts and some 0.02 s where it writes; a busy one is late
	// by more. With half of signAnswer, overload cost 0.06 of G on four drawn days. Reads often take
	// some 0.3 s; to probe sooner for them cost 0.005 to 0.008 of G.
	signWaitRead    = 600 * time.Millisecond
	signWaitWrite   = 150 * time.Millisecond
	signAnswerRead  = 800 * time.Millisecond
	signAnswerWrite = 400 * time.Millisecond
	// signHeldUp is by how much later an unanswered probe is looked at at the most: beyond, this
	// node was held up itself, and the answer may have been there.
	signHeldUp = 150 * time.Millisecond
	// signEvery is how long nothing is heard from a server until it is probed again, once it has
	// given a sign of an attempt: that has arrived.
	signEvery = time.Second
	// backAfter is the silence behind which a server that is heard counts as back, and backWait is
	// what its open answers then have to go on as well: they do not all at the same moment.
	backAfter = time.Second
	backWait  = 100 * time.Millisecond
)

// signTimes are those of a server's role.
func (v *server) signTimes() (wait, answer time.Duration) {
	if v.role == RoleRead {
		return signWaitRead, signAnswerRead
	}
	return signWaitWrite, signAnswerWrite
}

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
		wait, _ := r.attempts[n].srv.signTimes()
		s.after(wait, timer{id: r.ID, what: lookForSign, attempt: n})
	}
}

// lookForSign probes the server of an attempt that has no answer, once nothing has been heard
// from it for a while, and looks again when the probe should have been answered.
func (s *Scheduler) lookForSign(r *request, n int) {
	a := r.attempts[n]
	if !a.out || a.begun || a.silent {
		return
	}
	v := a.srv
	wait, answer := v.signTimes()
	again := func(d time.Duration) { s.after(d, timer{id: r.ID, what: lookForSign, attempt: n}) }
	asked := s.now - v.signAsked
	switch pending := v.signAsked > a.sent && v.heardAt < v.signAsked; {
	case pending && asked < answer:
		again(answer - asked)
		return
	case pending && asked <= answer+signHeldUp:
		s.silent(v)
		return
	}
	if v.heardAt > a.sent+wait/2 { // not of what was under way already
		wait = signEvery
	}
	if quiet := s.now - max(v.heardAt, a.sent); quiet < wait {
		again(wait - quiet)
		return
	}
	if asked >= answer+signHeldUp {
		v.signAsked = s.now
		s.act(Probe{v.ID})
	}
	again(answer)
}

// signed takes in that a server has answered a probe, in whatever way.
func (s *Scheduler) signed(v *server, status Status) {
	if status == StatusServed || status == StatusServerError || status == StatusRejected {
		v.hear(s.now)
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
