package ashwood

import (
	"math"
	"slices"
	"time"
)

// placeNote tries the next roomiest writer once when a place is refused.
func (s *Scheduler) handleReservationResult(e ReservationResult) {
	r := s.requests[e.ID]
	if r == nil || r.done || r.reservation == nil || r.reservation.ID != e.Server {
		return
	}
	if r.reservationHeld = e.Held; e.Held {
		return
	}
	r.tried[r.reservation], r.reservation = true, nil
	if r.reservationsAsked < 2 && r.inFlight > 0 && r.stateHolder == nil {
		s.requestReservation(r, r.attempts[len(r.attempts)-1].server)
	}
}

func (s *Scheduler) handleAnswerStarted(e AnswerStarted) {
	r, a := s.findInFlight(e.ID, e.Attempt, e.Server)
	if r == nil || a.answerStarted || !a.decodes {
		return
	}
	s.recordProgress(r, a, e.Latency)
	s.tenantImpatience[r.Tenant] -= ewmaWeight * s.tenantImpatience[r.Tenant]
	a.answerStarted, r.done, r.stateHolder, r.reservation = true, true, nil, nil
	a.server.recordResponse(s.now)
	a.server.queuedTokens -= a.workTokens
}

// stopped tells of an answer, silent since a time, that will not go on although its
// server is at work: that has begun what was sent later, and an answer that it took
// back for want of memory would have been before it in the queue. Else it stops where
// nothing waits, by the server's word, if its other answers have gone on, or, of many nodes,
// which seldom have any there, with no second event: all nodes' work waits where it hangs.
func (s *Scheduler) answerStalled(
	r *trackedRequest, n int, v *trackedServer, since, others time.Duration, first bool) (over, ask bool) {
	waits, told := v.report[ReportQueue]
	sign := first && s.settings.Nodes > manyNodes || others-since >= stallConfirmation/2
	ask = sign && s.settings.Limits.Probes && s.now-since < 2*stallConfirmation
	if s.justRecovered(v) {
		return false, false
	}
	idle := told && waits < 1 && v.reportAt-since >= stallConfirmation
	return r != nil && n < len(r.attempts) && v.latestStartedSend[r.attempts[n].stage] > since || ask && idle, ask
}

func (s *Scheduler) handleOutcome(e Outcome) {
	r, a := s.findInFlight(e.ID, e.Attempt, e.Server)
	if r == nil {
		return
	}
	v := a.server
	a.inFlight, r.idleSince, r.inFlight = false, s.now, r.inFlight-1
	if e.Status == StatusServed || e.Status == StatusPrefilled || e.Status == StatusRejected || e.Status == StatusServerError {
		v.recordResponse(s.now)
	}
	if !a.answerStarted {
		v.queuedTokens -= a.workTokens
	}
	if a.decodes {
		v.decodeTokens -= r.PromptTokens
	} else {
		v.pendingPrefills--
	}
	s.recordReport(v, e.Report)
	s.recordOutcome(r, a, e)
	for _, h := range []*health{&v.health, v.zonePath} {
		if h.trialRequest == r.ID {
			h.trialRequest = ""
		}
	}
	switch {
	case e.RequestDone && !r.done || r.done && !a.answerStarted: // also a read that came in after the end
		s.closeRequest(r)
	case r.done:
		delete(s.requests, r.ID)
	default:
		s.advance(r)
	}
}

// result takes in what an outcome tells of its server and its request.
func (s *Scheduler) recordOutcome(r *trackedRequest, a *trackedAttempt, e Outcome) {
	proof := []Status{StatusRejected, StatusNotSent, StatusConnectFailed, StatusPrefilled} // that it never ran
	if a.decodes && r.firstRun == nil && !slices.Contains(proof, e.Status) {
		r.firstRun = a
	}
	switch e.Status {
	case StatusServed:
		if !a.answerStarted {
			s.recordProgress(r, a, e.Latency)
		}
		a.server.lastProgressAt = s.now
	case StatusPrefilled:
		s.recordProgress(r, a, e.Latency)
		s.recordPrefilled(r, a, e.Detail)
	case StatusRejected:
		if a.decodes && e.Detail == 1 {
			s.releaseHolds(r) // no state to fetch: read again
			clear(r.tried)
		} else if e.Latency > r.class.Aim/slowRejectionDivisor {
			a.server.rejectsUntil[r.throttleKey()] = s.now + maxBackoff
		} else {
			s.pauseSends(a.server)
		}
	case StatusConnectFailed:
		if r.reservationHeld && a.server == r.reservation { // the state may have moved there: once more
			r.tried[a.server], r.reservationHeld = false, false
		}
		if s.settings.Nodes > manyNodes && e.Latency >= retryInterval && a.server.Zone != s.settings.Zone {
			r.stayInZone = true // a whole zone may be silent: the next try is not to wait for it too
		}
		s.pauseSends(a.server)
		s.updateHealth(a.server, r, false)
	case StatusServerError, StatusConnectionLost:
		s.updateHealth(a.server, r, false)
	case StatusTimedOut, StatusCancelled: // a client that leaves a begun answer tells nothing of the wait before it
		if !a.answerStarted && !a.overtaken() {
			s.stageLatency[a.stage].Observe(s.now, e.Latency, a.queuedTokens)
		}
		if e.Status == StatusTimedOut {
			s.updateHealth(a.server, r, false)
		}
	}
}

// parsed takes in the truth about a reader's cache. One that kept far less than
// it surely held has forgotten what it held before (a flush, an untold restart).
func (s *Scheduler) recordPrefilled(r *trackedRequest, a *trackedAttempt, kept float64) {
	if kept < a.cachedTokens/2 {
		s.prefixTable.DropOlderThan(a.server.prefixRuns, a.sentAt)
	}
	s.prefixTable.Record(s.now, a.server.prefixRuns, r.prefixParts(), true)
	r.stateHolder = a.server
	clear(r.tried)
	if !r.reservationHeld && s.now-a.sentAt > s.settings.Limits.ConnectTimeout {
		r.reservation = nil // no word of the place: the writer may not be heard
	}
}

// pauseSends leaves a full or dead server alone for a while that doubles until it takes
// a request: it answers at once, and attempts would be burnt on it.
func (s *Scheduler) pauseSends(v *trackedServer) {
	if s.now < v.pausedUntil { // sent before the pause: a burst of refusals tells no more than one
		return
	}
	v.pauseLength = min(max(v.pauseLength*2, retryInterval*time.Duration(max(s.settings.Nodes/2, 1))), maxBackoff/4)
	v.pausedUntil = s.now + v.pauseLength
}

func (s *Scheduler) handleTimer(e TimerFired) {
	t, ok := s.timers[e.Token]
	if !ok {
		return
	}
	delete(s.timers, e.Token)
	r := s.requests[t.requestID]
	switch {
	case t.purpose == timerWatch:
		s.emit(Watch{})
	case t.purpose == timerShutdown:
		s.giveUpUnanswered()
	case r == nil || r.done:
	case t.purpose == timerAdvance:
		s.advance(r)
	case t.purpose == timerLiveness:
		s.checkLiveness(r, t.attempt)
	case r.attempts[t.purpose].inFlight:
		s.handleOverdue(r, t.purpose)
	}
}

// overdue looks at an attempt out far longer than peers take. A server that has
// finished anything since is busy, and leaving would lose a place in its queue;
// one silent all along loses trust, and the attempt is called off while another
// can earn. With little own work there, silence is no sign: it gets its aim. One
// that has begun what was sent later has not got it: its connection fell silent.
func (s *Scheduler) handleOverdue(r *trackedRequest, n int) {
	a, limit := r.attempts[n], s.overdueAfter(r, r.attempts[n])
	wait := s.now - a.sentAt
	switch s.setTimer(max(limit-wait, limit/2), pendingTimer{requestID: r.ID, purpose: n}); {
	case wait < limit: // the pace has changed since
	case a.overtaken() && (!a.decodes || wait >= 2*limit): // at writers, small states overtake
		s.cancelForRetry(r, n)
	case a.server.lastProgressAt > a.sentAt || s.sharedSlowness(a.server):
		if a.decodes && !a.overtaken() { // it will have taken longer yet
			s.stageLatency[a.stage].Observe(s.now, wait, a.queuedTokens)
		}
	case float64(wait) < math.Pow(s.unseenShare, 4)*float64(r.class.Aim):
	case wait < 2*limit:
		s.updateHealth(a.server, r, false)
	default:
		s.cancelForRetry(r, n)
	}
}

// shared tells whether the peers of a silent server with work of this node are not
// much livelier. Leaving it would only begin anew elsewhere what is slow everywhere.
func (s *Scheduler) sharedSlowness(v *trackedServer) bool {
	oldest := s.oldestUnanswered(v.role)
	silence := func(v *trackedServer) time.Duration { return s.now - max(oldest[v], v.lastProgressAt) }
	var peers []time.Duration
	for o := range oldest {
		if o != v && o.active {
			peers = append(peers, silence(o))
		}
	}
	slices.Sort(peers)
	return len(peers) > 0 && silence(v) < ejectLatencyRatio*peers[len(peers)/2]
}

// leave calls an attempt off where another can earn.
func (s *Scheduler) cancelForRetry(r *trackedRequest, n int) {
	if s.maySend(r) && s.settings.Limits.Cancel && (r.class.Effect == Pure || !r.attempts[n].decodes) {
		s.emit(Cancel{r.ID, n})
	}
}

// worked feeds the pace of a stage and the server's standing against it.
func (s *Scheduler) recordProgress(r *trackedRequest, a *trackedAttempt, latency time.Duration) {
	v, p := a.server, &s.stageLatency[a.stage]
	v.pauseLength, v.lastProgressAt, v.latestStartedSend[a.stage] = 0, s.now, max(v.latestStartedSend[a.stage], a.sentAt)
	if !s.inSlowStart(v) { // taken, not sent: a storm of rejects must not swell the cold budget
		v.warmThroughput.Add(s.now, s.settings.Rules.SlowStartWindow, s.classTokens[r.class])
		s.creditSlowStart(v)
	}
	if want := p.Expect(a.queuedTokens); want > 0 {
		v.latencyRatio += ewmaWeight * (min(float64(latency)/want, 10) - v.latencyRatio)
	}
	p.Observe(s.now, latency, a.queuedTokens)
	s.updateHealth(v, r, true)
}

func (s *Scheduler) handleClientDisconnected(e ClientDisconnected) {
	if r := s.requests[e.ID]; r != nil && !r.done {
		s.tenantImpatience[r.Tenant] += ewmaWeight * (max(float64(s.minAim-s.now+r.arrivedAt), 0) - s.tenantImpatience[r.Tenant])
		s.closeRequest(r)
	}
}

func (s *Scheduler) handleProbeResult(e ProbeResult) {
	v := s.servers[e.Server]
	if v == nil {
		return
	}
	s.recordProbeResponse(v, e.Status)
	if e.Status == StatusServed {
		if s.recordReport(v, e.Report); s.overloaded(v) { // but else it proves nothing about a hang
			s.pauseSends(v)
		}
	}
}
