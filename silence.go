package ashwood

import (
	"maps"
	"slices"
	"time"
)

// This file decides about servers that stop responding. A successful write to a server does not show
// that it is alive; only a later response does. While an attempt waits, its silent server is probed. If
// there is no response to the probe either, requests that may be repeated are sent elsewhere. A server
// that responds to probes but is slow with its answers is not silent; it only costs a probe now and then.

const (
	// livenessWait is how long a server with an attempt may be silent until it is probed, and
	// livenessTimeout how long the probe may take. A server answers between the steps of its work,
	// about 0.25 s apart while it prefills long prompts and about 0.02 s while it decodes; a busy one
	// is later still. Half of livenessTimeout cost 0.06 of the share of worth served in time,
	// under overload, on four randomly drawn days of traffic. A prefill often takes some 0.3 s; probing
	// earlier for it cost 0.005 to 0.008 of that share.
	livenessWaitPrefill    = 600 * time.Millisecond
	livenessWaitDecode     = 150 * time.Millisecond
	livenessTimeoutPrefill = 800 * time.Millisecond
	livenessTimeoutDecode  = 400 * time.Millisecond
	// maxTimerLateness is how late the check of an unanswered probe may be. If it is later, this
	// node was delayed itself, and the answer may already have arrived.
	maxTimerLateness = 150 * time.Millisecond
	// livenessInterval replaces livenessWait once the server has responded after the send: the attempt
	// has then arrived there.
	livenessInterval = time.Second
	// A server that responds after a silence of more than recoverySilence counts as recovered. For
	// recoveryGrace after that, none of its started answers counts as stalled, since they don't all
	// continue at the same moment.
	recoverySilence = time.Second
	recoveryGrace   = 100 * time.Millisecond
)

// livenessTimes returns the liveness wait and timeout of the server's role.
func (t *trackedServer) livenessTimes() (wait, timeout time.Duration) {
	if t.role == RolePrefill {
		return livenessWaitPrefill, livenessTimeoutPrefill
	}
	return livenessWaitDecode, livenessTimeoutDecode
}

// recordResponse records that the server has sent something back.
func (t *trackedServer) recordResponse(now time.Duration) {
	if now-t.lastResponseAt > recoverySilence {
		t.recoveredAt = now
	}
	t.lastResponseAt = now
}

// justRecovered tells whether a server has resumed responding less than recoveryGrace ago.
func (s *Scheduler) justRecovered(server *trackedServer) bool {
	return s.now-server.recoveredAt < recoveryGrace
}

// watchLiveness starts the liveness checks of an attempt, if probes and cancels are allowed.
func (s *Scheduler) watchLiveness(request *trackedRequest, index int) {
	if s.settings.Limits.Probes && s.settings.Limits.Cancel {
		wait, _ := request.attempts[index].server.livenessTimes()
		s.setTimer(wait, pendingTimer{requestID: request.ID, purpose: timerLiveness, attempt: index})
	}
}

// checkLiveness probes the server of an unanswered attempt if it has been silent for too long, and
// schedules the next check. If a probe is unanswered by its timeout, the server is abandoned.
func (s *Scheduler) checkLiveness(request *trackedRequest, index int) {
	attempt := request.attempts[index]
	if !attempt.inFlight || attempt.answerStarted || attempt.serverSilent {
		return
	}
	server := attempt.server
	wait, timeout := server.livenessTimes()
	checkAfter := func(d time.Duration) {
		s.setTimer(d, pendingTimer{requestID: request.ID, purpose: timerLiveness, attempt: index})
	}
	sinceProbe := s.now - server.livenessProbedAt
	switch pending := server.livenessProbedAt > attempt.sentAt &&
		server.lastResponseAt < server.livenessProbedAt; {
	case pending && sinceProbe < timeout:
		checkAfter(timeout - sinceProbe)
		return
	case pending && sinceProbe <= timeout+maxTimerLateness:
		s.abandonSilentServer(server)
		return
	}
	if server.lastResponseAt > attempt.sentAt+wait/2 { // responses before that may have been sent earlier
		wait = livenessInterval
	}
	if quiet := s.now - max(server.lastResponseAt, attempt.sentAt); quiet < wait {
		checkAfter(wait - quiet)
		return
	}
	if sinceProbe >= timeout+maxTimerLateness {
		server.livenessProbedAt = s.now
		s.emit(Probe{server.ID})
	}
	checkAfter(timeout)
}

// recordProbeResponse records a response to a probe, whatever it says.
func (s *Scheduler) recordProbeResponse(server *trackedServer, status Status) {
	if status == StatusServed || status == StatusServerError || status == StatusRejected {
		server.recordResponse(s.now)
	}
}

// abandonSilentServer handles the attempts at a server that has not responded since they were sent: it
// cancels those that another attempt may follow. Those that must not be repeated keep waiting.
func (s *Scheduler) abandonSilentServer(server *trackedServer) {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		request := s.requests[id]
		for index, attempt := range request.attempts {
			if attempt.server != server || !attempt.inFlight || attempt.answerStarted ||
				attempt.serverSilent || attempt.sentAt >= server.livenessProbedAt {
				continue
			}
			attempt.serverSilent = true
			server.failureRate = 1 // not just one failed sample: the server answers nothing
			s.updateHealth(server, request, false)
			if !request.done {
				s.cancelForRetry(request, index)
			}
		}
	}
}
