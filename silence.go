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
	livenessWaitPrefill    = 600 * time.Millisecond
	livenessWaitDecode     = 150 * time.Millisecond
	livenessTimeoutPrefill = 800 * time.Millisecond
	livenessTimeoutDecode  = 400 * time.Millisecond
	// signHeldUp is by how much later an unanswered probe is looked at at the most: beyond, this
	// node was held up itself, and the answer may have been there.
	maxTimerLateness = 150 * time.Millisecond
	// signEvery is how long nothing is heard from a server until it is probed again, once it has
	// given a sign of an attempt: that has arrived.
	livenessInterval = time.Second
	// backAfter is the silence behind which a server that is heard counts as back, and backWait is
	// what its open answers then have to go on as well: they do not all at the same moment.
	recoverySilence = time.Second
	recoveryGrace   = 100 * time.Millisecond
)

// signTimes are those of a server's role.
func (v *trackedServer) livenessTimes() (wait, answer time.Duration) {
	if v.role == RoleRead {
		return livenessWaitPrefill, livenessTimeoutPrefill
	}
	return livenessWaitDecode, livenessTimeoutDecode
}

// hear notes that a server has sent something back.
func (v *trackedServer) recordResponse(now time.Duration) {
	if now-v.lastResponseAt > recoverySilence {
		v.recoveredAt = now
	}
	v.lastResponseAt = now
}

// justBack tells of a server that is heard again after a silence, but not for long yet.
func (s *Scheduler) justRecovered(v *trackedServer) bool { return s.now-v.recoveredAt < recoveryGrace }

// watchSign has an attempt looked after, where that is of use.
func (s *Scheduler) watchLiveness(r *trackedRequest, n int) {
	if s.settings.Limits.Probes && s.settings.Limits.Cancel {
		wait, _ := r.attempts[n].server.livenessTimes()
		s.setTimer(wait, pendingTimer{requestID: r.ID, purpose: timerLiveness, attempt: n})
	}
}

// lookForSign probes the server of an attempt that has no answer, once nothing has been heard
// from it for a while, and looks again when the probe should have been answered.
func (s *Scheduler) checkLiveness(r *trackedRequest, n int) {
	a := r.attempts[n]
	if !a.inFlight || a.answerStarted || a.serverSilent {
		return
	}
	v := a.server
	wait, answer := v.livenessTimes()
	again := func(d time.Duration) {
		s.setTimer(d, pendingTimer{requestID: r.ID, purpose: timerLiveness, attempt: n})
	}
	asked := s.now - v.livenessProbedAt
	switch pending := v.livenessProbedAt > a.sentAt && v.lastResponseAt < v.livenessProbedAt; {
	case pending && asked < answer:
		again(answer - asked)
		return
	case pending && asked <= answer+maxTimerLateness:
		s.abandonSilentServer(v)
		return
	}
	if v.lastResponseAt > a.sentAt+wait/2 { // not of what was under way already
		wait = livenessInterval
	}
	if quiet := s.now - max(v.lastResponseAt, a.sentAt); quiet < wait {
		again(wait - quiet)
		return
	}
	if asked >= answer+maxTimerLateness {
		v.livenessProbedAt = s.now
		s.emit(Probe{v.ID})
	}
	again(answer)
}

// signed takes in that a server has answered a probe, in whatever way.
func (s *Scheduler) recordProbeResponse(v *trackedServer, status Status) {
	if status == StatusServed || status == StatusServerError || status == StatusRejected {
		v.recordResponse(s.now)
	}
}

// silent leaves the attempts at a server that has given no sign since they were sent, where
// another may follow; those that may not be repeated wait on.
func (s *Scheduler) abandonSilentServer(v *trackedServer) {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		for n, a := range r.attempts {
			if a.server != v || !a.inFlight || a.answerStarted || a.serverSilent || a.sentAt >= v.livenessProbedAt {
				continue
			}
			a.serverSilent = true
			v.failureRate = 1 // no chance result among others: all that was asked of it
			s.updateHealth(v, r, false)
			if !r.done {
				s.cancelForRetry(r, n)
			}
		}
	}
}
