package ashwood

import (
	"math"
	"slices"
	"time"
)

// handleReservationResult records whether a reservation is held. After a first refusal it asks one
// other decode server.
func (s *Scheduler) handleReservationResult(e ReservationResult) {
	request := s.requests[e.ID]
	if request == nil || request.done || request.reservation == nil || request.reservation.ID != e.Server {
		return
	}
	if request.reservationHeld = e.Held; e.Held {
		return
	}
	request.tried[request.reservation], request.reservation = true, nil
	if request.reservationsAsked < 2 && request.inFlight > 0 && request.stateHolder == nil {
		s.requestReservation(request, request.attempts[len(request.attempts)-1].server)
	}
}

// handleAnswerStarted records the start of an answer. The request's KV state and reservation are used
// up then.
func (s *Scheduler) handleAnswerStarted(e AnswerStarted) {
	request, attempt := s.findInFlight(e.ID, e.Attempt, e.Server)
	if request == nil || attempt.answerStarted || !attempt.decodes {
		return
	}
	s.recordProgress(request, attempt, e.Latency)
	s.tenantImpatience[request.Tenant] -= ewmaWeight * s.tenantImpatience[request.Tenant]
	attempt.answerStarted, request.done, request.stateHolder, request.reservation = true, true, nil, nil
	attempt.server.recordResponse(s.now)
	attempt.server.queuedTokens -= attempt.workTokens
}

// answerStalled tells whether a started answer that has been silent since silentSince is taken to have
// stalled. There are two cases. First, the server has since started to answer a later attempt: an
// answer that was preempted for want of memory would have continued before that one started. Second,
// the silence is suspicious and the server reports an empty queue: at a hung server, the work of all
// nodes would queue up. A silence is suspicious if other answers of the server have continued since.
// With many nodes, which seldom have other answers there, it is also suspicious if the answer has
// brought only one event. If the result probe is true, the caller should probe the server to get that
// report.
func (s *Scheduler) answerStalled(
	request *trackedRequest, index int, server *trackedServer,
	silentSince, othersProgressAt time.Duration, oneEvent bool) (stalled, probe bool) {
	queued, reported := server.report[ReportQueue]
	suspicious := oneEvent && s.settings.Nodes > manyNodes || othersProgressAt-silentSince >= stallConfirmation/2
	probe = suspicious && s.settings.Limits.Probes && s.now-silentSince < 2*stallConfirmation
	if s.justRecovered(server) {
		return false, false
	}
	idle := reported && queued < 1 && server.reportAt-silentSince >= stallConfirmation
	return request != nil && index < len(request.attempts) &&
		server.latestStartedSend[request.attempts[index].stage] > silentSince || probe && idle, probe
}

// handleOutcome records how an attempt ended, and makes the next one or ends the request.
func (s *Scheduler) handleOutcome(e Outcome) {
	request, attempt := s.findInFlight(e.ID, e.Attempt, e.Server)
	if request == nil {
		return
	}
	server := attempt.server
	attempt.inFlight, request.idleSince, request.inFlight = false, s.now, request.inFlight-1
	if e.Status == StatusServed || e.Status == StatusPrefilled ||
		e.Status == StatusRejected || e.Status == StatusServerError {
		server.recordResponse(s.now)
	}
	if !attempt.answerStarted {
		server.queuedTokens -= attempt.workTokens
	}
	if attempt.decodes {
		server.decodeTokens -= request.PromptTokens
	} else {
		server.pendingPrefills--
	}
	s.recordReport(server, e.Report)
	s.recordOutcome(request, attempt, e)
	for _, h := range []*health{&server.health, server.zonePath} {
		if h.trialRequest == request.ID {
			h.trialRequest = ""
		}
	}
	switch {
	case e.RequestDone && !request.done || request.done && !attempt.answerStarted:
		s.closeRequest(request) // also if a prefill has finished after the request's end
	case request.done:
		s.removeRequest(request)
	default:
		s.advance(request)
	}
}

// provesNotRun reports whether a status proves that an attempt has had no effect.
func provesNotRun(status Status) bool {
	return slices.Contains([]Status{StatusRejected, StatusNotSent, StatusConnectFailed, StatusPrefilled}, status)
}

// recordOutcome records what an outcome says about its server and its request.
func (s *Scheduler) recordOutcome(request *trackedRequest, attempt *trackedAttempt, e Outcome) {
	if attempt.decodes && request.firstRun == nil && !provesNotRun(e.Status) {
		request.firstRun = attempt
	}
	switch e.Status {
	case StatusServed:
		if !attempt.answerStarted {
			s.recordProgress(request, attempt, e.Latency)
		}
		attempt.server.lastProgressAt = s.now
	case StatusPrefilled:
		s.recordProgress(request, attempt, e.Latency)
		s.recordPrefilled(request, attempt, e.Detail)
	case StatusRejected:
		if attempt.decodes && e.Detail == 1 {
			s.releaseHolds(request) // the KV state is gone: repeat the prefill
			clear(request.tried)
		} else if e.Latency > request.class.Aim/slowRejectionDivisor {
			attempt.server.rejectsUntil[request.throttleKey()] = s.now + maxBackoff
		} else {
			s.pauseSends(attempt.server)
		}
	case StatusConnectFailed:
		if request.reservationHeld && attempt.server == request.reservation {
			// The KV state may already be there: try this server once more.
			request.tried[attempt.server], request.reservationHeld = false, false
		}
		if s.settings.Nodes > manyNodes && e.Latency >= retryInterval && attempt.server.Zone != s.settings.Zone {
			request.stayInZone = true // a whole zone may be unreachable: don't wait for it again
		}
		s.pauseSends(attempt.server)
		s.updateHealth(attempt.server, request, false)
	case StatusServerError, StatusConnectionLost:
		s.updateHealth(attempt.server, request, false)
	case StatusTimedOut, StatusCancelled:
		// If a client leaves a started answer, the latency says nothing about the wait before it.
		if !attempt.answerStarted && !attempt.overtaken() {
			s.stageLatency[attempt.stage].Observe(s.now, e.Latency, attempt.queuedTokens)
		}
		if e.Status == StatusTimedOut {
			s.updateHealth(attempt.server, request, false)
		}
	}
}

// recordPrefilled records the KV state of a finished prefill and updates the prefix table. A server
// that had far fewer tokens cached than the table was sure of has lost its cache (a flush, or a restart
// that was not reported).
func (s *Scheduler) recordPrefilled(request *trackedRequest, attempt *trackedAttempt, cachedTokens float64) {
	if cachedTokens < attempt.cachedTokens/2 {
		s.prefixTable.DropOlderThan(attempt.server.prefixRuns, attempt.sentAt)
	}
	s.prefixTable.Record(s.now, attempt.server.prefixRuns, request.prefixParts(), true)
	request.stateHolder = attempt.server
	clear(request.tried)
	if !request.reservationHeld && s.now-attempt.sentAt > s.settings.Limits.ConnectTimeout {
		request.reservation = nil // the reservation was not confirmed: its server may be unreachable
	}
}

// pauseSends stops sends to a full or dead server for a time that doubles until the server takes a
// request again. Such a server rejects at once, and attempts would be wasted on it.
func (s *Scheduler) pauseSends(server *trackedServer) {
	if s.now < server.pausedUntil { // sent before the pause: a burst of rejections counts as one
		return
	}
	server.pauseLength = min(
		max(server.pauseLength*2, retryInterval*time.Duration(max(s.settings.Nodes/2, 1))), maxBackoff/4)
	server.pausedUntil = s.now + server.pauseLength
}

// handleTimer does what an expired timer was set for.
func (s *Scheduler) handleTimer(e TimerFired) {
	timer, ok := s.takeTimer(e.Token)
	if !ok {
		return
	}
	request := s.requests[timer.requestID]
	switch {
	case timer.purpose == timerWatch:
		s.emit(Watch{})
	case timer.purpose == timerShutdown:
		s.giveUpUnanswered()
	case request == nil || request.done:
	case timer.purpose == timerAdvance:
		s.advance(request)
	case timer.purpose == timerLiveness:
		s.checkLiveness(request, timer.attempt)
	case request.attempts[timer.purpose].inFlight:
		s.handleOverdue(request, timer.purpose)
	}
}

// handleOverdue checks an attempt that has been in flight far longer than expected. A server that has
// made progress since the send is busy, and cancelling would lose a position in its queue. A server
// without any progress gets a failure sample, and later the attempt is cancelled if another one may
// follow. With many nodes, a server has little work from each, so its silence proves nothing until most
// of the class's aim has passed. If the server has started to answer a later attempt, it has not
// received this one: the connection is dead.
func (s *Scheduler) handleOverdue(request *trackedRequest, index int) {
	attempt, limit := request.attempts[index], s.overdueAfter(request, request.attempts[index])
	waited := s.now - attempt.sentAt
	switch s.setTimer(max(limit-waited, limit/2), pendingTimer{requestID: request.ID, purpose: index}); {
	case waited < limit: // the expected latency has risen since the timer was set
	case attempt.overtaken() && (!attempt.decodes || waited >= 2*limit): // small KV states overtake large ones
		s.cancelForRetry(request, index)
	case attempt.server.lastProgressAt > attempt.sentAt || s.sharedSlowness(attempt.server):
		if attempt.decodes && !attempt.overtaken() { // the wait so far is a lower bound of the latency
			s.stageLatency[attempt.stage].Observe(s.now, waited, attempt.queuedTokens)
		}
	case float64(waited) < math.Pow(s.unseenShare, 4)*float64(request.class.Aim):
	case waited < 2*limit:
		s.updateHealth(attempt.server, request, false)
	default:
		s.cancelForRetry(request, index)
	}
}

// sharedSlowness tells whether a server's silence is less than ejectLatencyRatio times the median
// silence of its peers that have work from this node. Another server would then be just as slow, and
// the work done so far would be lost.
func (s *Scheduler) sharedSlowness(server *trackedServer) bool {
	oldest := s.oldestUnanswered(server.role)
	silence := func(server *trackedServer) time.Duration {
		return s.now - max(oldest[server], server.lastProgressAt)
	}
	var peers []time.Duration
	for peer := range oldest {
		if peer != server && peer.active {
			peers = append(peers, silence(peer))
		}
	}
	slices.Sort(peers)
	return len(peers) > 0 && silence(server) < ejectLatencyRatio*peers[len(peers)/2]
}

// cancelForRetry cancels an attempt if another one may follow.
func (s *Scheduler) cancelForRetry(request *trackedRequest, index int) {
	if s.maySend(request) && s.settings.Limits.Cancel &&
		(request.class.Effect == Pure || !request.attempts[index].decodes) {
		s.emit(Cancel{request.ID, index})
	}
}

// recordProgress records that a server has started or finished an answer: its latency, its latency
// relative to other servers, and its health.
func (s *Scheduler) recordProgress(request *trackedRequest, attempt *trackedAttempt, latency time.Duration) {
	server, stageLatency := attempt.server, &s.stageLatency[attempt.stage]
	server.pauseLength, server.lastProgressAt, server.latestStartedSend[attempt.stage] =
		0, s.now, max(server.latestStartedSend[attempt.stage], attempt.sentAt)
	if !s.inSlowStart(server) { // counts work done, not sent: rejections must not raise the slow-start budget
		server.warmThroughput.Add(s.now, s.settings.Rules.SlowStartWindow, s.classTokens[request.class])
		s.creditSlowStart(server)
	}
	if expected := stageLatency.Expect(attempt.queuedTokens); expected > 0 {
		server.latencyRatio += ewmaWeight * (min(float64(latency)/expected, 10) - server.latencyRatio)
	}
	stageLatency.Observe(s.now, latency, attempt.queuedTokens)
	s.updateHealth(server, request, true)
}

// handleClientDisconnected ends a request whose client has left, and learns how long clients wait.
func (s *Scheduler) handleClientDisconnected(e ClientDisconnected) {
	if request := s.requests[e.ID]; request != nil && !request.done {
		s.tenantImpatience[request.Tenant] += ewmaWeight *
			(max(float64(s.minAim-s.now+request.arrivedAt), 0) - s.tenantImpatience[request.Tenant])
		s.closeRequest(request)
	}
}

// handleProbeResult records a probe's result. Sends to an overloaded server are paused.
func (s *Scheduler) handleProbeResult(e ProbeResult) {
	server := s.servers[e.Server]
	if server == nil {
		return
	}
	s.recordProbeResponse(server, e.Status)
	if e.Status == StatusServed {
		if s.recordReport(server, e.Report); s.overloaded(server) { // a low load does not prove that it is not hung
			s.pauseSends(server)
		}
	}
}
