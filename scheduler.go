// Package ashwood is the decision module of a gateway for language-model fleets. For one node it
// decides which server prefills a prompt (prefix-cache-aware routing) and which one decodes the
// answer (free memory nearby), and when requests are retried, refused or cancelled. It does no I/O:
// a Scheduler receives events and returns actions, and a Router makes it usable by many goroutines.
//
// The decisions and their tuned values are in this file, outcomes.go, health.go and choose.go,
// in ending.go (shutdown of the node) and silence.go (servers that stop responding). The
// interface is in types.go and facade.go, the state in state.go.
package ashwood

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ashwood.example/ashwood/internal/trend"
)

// Values of prefix matching and load comparison (docs/design.md).
const (
	blockTokens    = 16               // tokens in a prefix block
	maxBlocks      = 200000           // blocks in the prefix table
	blockExpiry    = 60 * time.Second // since last use
	maxLoadGap     = 16               // requests; a larger gap between servers overrides prefix matches
	loadDeviations = 2                // standard deviations by which a match's load may exceed the mean
)

// Values of health checks, backoff, slow start and load probes. Everything else follows from the
// settings or is learned at run time.
const (
	ewmaWeight           = 0.2                   // of a new sample in moving averages
	ejectFailureRate     = 0.35                  // ejected above this plus half of the peers' failure rate
	ejectLatencyRatio    = 3                     // ejected above this multiple of the peers' latency
	maxEjectedShare      = 0.5                   // of a role's servers
	minBackoff           = time.Second           // from ejection to trial; doubles with each failed trial
	maxBackoff           = 8 * time.Second       // upper limit of the backoff
	retryInterval        = 40 * time.Millisecond // between tries to choose a server for a waiting request
	slowStartMargin      = 0.6                   // share of the slow-start budget that is used
	chanceAllowance      = 1.5                   // half of the 3*sqrt(n)+3 sends that rule 4 allows for chance
	manyNodes            = 8                     // above this, a node sends each server too little to count
	minNearMemory        = 0.35                  // of the most free memory anywhere, for a nearer server
	negligibleWait       = 0.1                   // of the shortest aim: too short to change zone or server for
	transferWaitFactor   = 2.5                   // times negligibleWait: too short to move KV state for
	slowRejectionDivisor = 20                    // of the aim: slower rejections concern one class and tenant
	maxTransferDelay     = 0.5                   // of the shortest aim: with more, KV state stays in its cell

	affinitySpread     = 3                       // targets of a prefix per server that its traffic needs
	minBlindAffinity   = 0.2                     // of the servers: targets of a prefix without load reports
	minSlowStartSpeed  = 0.1                     // least share of its full speed that a server starts with
	maxProbesPerChoice = 3                       // load probes sent at once
	loadProbeWait      = 12 * time.Millisecond   // for a probe's answer, over a new connection to any zone
	maxProbeRounds     = 2                       // the second probes others if the first got no answer
	loadProbeInterval  = 500 * time.Millisecond  // per server, where only probes report load
	stallConfirmation  = 3500 * time.Millisecond // silence in which work would queue up at a hung server
)

// New returns a scheduler. Settings left at zero mean: no limit on attempts, one node, and one
// second for the slow-start window and duration and the release timeout.
func New(settings Settings, seed int64) (*Scheduler, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return newScheduler(settings.withDefaults(), seed), nil
}

// handleMembershipUpdate applies a membership update, and watches again if that is needed.
func (s *Scheduler) handleMembershipUpdate(e MembershipUpdate) {
	if e.Form == MembershipFailed && s.settings.Subscribe { // with jitter, so that nodes don't retry at once
		s.setTimer(time.Duration((0.5+s.rng.Float64()/2)*float64(minBackoff)), pendingTimer{purpose: timerWatch})
	}
	if e.Form == MembershipSnapshot || e.Form == MembershipStale {
		for _, server := range s.sortedServers {
			server.active, server.State = false, StateRemoved
		}
	}
	for _, entry := range e.Entries {
		s.applyEntry(entry)
	}
	slices.SortFunc(s.sortedServers, func(a, b *trackedServer) int { return cmp.Compare(a.ID, b.ID) })
	if e.Form == MembershipStale && s.settings.Subscribe {
		s.emit(Watch{})
	}
}

// handleRequest admits a request and takes its first step.
func (s *Scheduler) handleRequest(e Request) {
	if s.requests[e.ID] != nil {
		return
	}
	class := s.classes[e.Class]
	if class == nil {
		s.emit(Refuse{ID: e.ID, RetryAfter: s.settings.Limits.MaxRetryAfter, Reason: ReasonUnknownClass})
		return
	}
	request := &trackedRequest{
		Request: e, class: class, arrivedAt: s.now, idleSince: s.now, tried: map[*trackedServer]bool{},
		deadline: min(s.now+e.TimeLeft, s.shutdownAt),
	}
	s.requests[e.ID] = request
	if rate := s.tenantRate[e.Tenant]; rate != nil {
		rate.Add(s.now, time.Second, 1)
	}
	if request.PromptTokens > s.maxPromptTokens {
		s.giveUp(request, ReasonPromptTooLong)
		return
	}
	s.recordArrival(request)
	s.setTimer(request.deadline-s.now, pendingTimer{requestID: e.ID, purpose: timerAdvance})
	s.creditChanceAllowance()
	s.advance(request)
}

// recordArrival adds a request to the averages of arriving prompts. Engines never get prompts that fit
// none of them, so these don't count.
func (s *Scheduler) recordArrival(request *trackedRequest) {
	class, tokens := request.class, request.PromptTokens
	s.classTokens[class] = cmp.Or(s.classTokens[class], tokens)
	s.classTokens[class] += ewmaWeight * (tokens - s.classTokens[class])
	s.meanPromptTokens += ewmaWeight * (tokens - s.meanPromptTokens)
	s.arrivingTokens.Add(s.now, time.Second, tokens)
}

// advance makes the next attempt for a request that has none in flight, or gives it up.
func (s *Scheduler) advance(request *trackedRequest) {
	switch {
	case request.done || request.inFlight > 0:
	case s.now >= request.deadline || !s.maySend(request):
		s.giveUp(request, ReasonExhausted)
	case request.stateHolder != nil:
		s.sendToDecode(request)
	default:
		s.sendToPrefill(request)
	}
}

// sendToDecode sends a request whose KV state is ready to a decode server. If none takes it, the
// state is released in time (rule 5).
func (s *Scheduler) sendToDecode(request *trackedRequest) {
	if decode := s.pickDecode(request, request.stateHolder); decode != nil {
		s.sendAttempt(request, decode, true)
	} else if s.now-request.idleSince < s.settings.Rules.ReleaseTimeout/2 {
		s.setTimer(min(retryInterval, s.settings.Rules.ReleaseTimeout/8),
			pendingTimer{requestID: request.ID, purpose: timerAdvance})
	} else {
		s.giveUp(request, ReasonNoDecodeServer)
	}
}

// sendToPrefill probes the likely servers if own counts say little about their load, then chooses a
// server, and sends the request there unless admission control refuses it.
func (s *Scheduler) sendToPrefill(request *trackedRequest) {
	if s.unseenShare > 0 && request.probeRounds < maxProbeRounds && s.settings.Reports != ReportNone {
		request.probeRounds++
		candidates := s.probeCandidates(request, s.answeringProbes(s.eligibleServers(request, isPrefill)))
		if s.probeLoad(func(server *trackedServer) bool { return slices.Contains(candidates, server) }) {
			s.setTimer(loadProbeWait, pendingTimer{requestID: request.ID, purpose: timerAdvance})
			return
		}
	}
	server, decodes := s.pickPrefill(request)
	reason := Reason("")
	if server != nil && len(request.attempts) == 0 {
		reason = s.checkAdmission(request, server)
	}
	switch {
	case reason != "":
		s.giveUp(request, reason)
	case server == nil && s.now-request.arrivedAt > request.class.Aim:
		s.giveUp(request, ReasonNoPrefillServer)
	case server == nil:
		if request.reservation != nil {
			s.releaseHolds(request)
		}
		clear(request.tried)
		s.setTimer(retryInterval, pendingTimer{requestID: request.ID, purpose: timerAdvance})
	default:
		s.sendAttempt(request, server, decodes)
		if s.settings.Reservations && !decodes && request.reservation == nil {
			s.requestReservation(request, server)
		}
	}
}

// checkAdmission returns why a request should be refused before its first attempt, or "". It is
// refused if its first token would come too late even at the best servers, or if the decode servers
// report no free memory (a full decode server has to repeat the prefill of answers). All classes are
// held to the shortest aim, plus the time that the settings add for long prompts: otherwise classes
// with longer aims would keep queues too long. After a slow period it may refuse too many requests.
func (s *Scheduler) checkAdmission(request *trackedRequest, prefill *trackedServer) Reason {
	minDecodeDelay, available, queued, reported := math.Inf(1), 0.0, 0.0, false
	matched, _ := s.matchPrefix(request, prefill)
	prefillDelay := s.expectedDelay(prefill, stagePrefill, request.PromptTokens-matched)
	free := s.freeMemory(RoleDecode)
	for _, decode := range s.sortedServers {
		if decode.role == RolePrefill {
			queued += decode.queuedTokens
		} else if s.usable(request, decode) && s.healthy(decode) {
			reported = reported || decode.report != nil
			available += free(decode)
			minDecodeDelay = min(minDecodeDelay,
				s.expectedDelay(decode, stageOf(true, prefill, decode), request.PromptTokens))
		}
	}
	// Prompts in prefill will need decode memory too: this node's queue, and for other nodes what
	// arrives during one prefill.
	arriving := s.arrivingTokens.Add(s.now, time.Second, 0) *
		s.stageLatency[stagePrefill].Mean / float64(time.Second)
	available -= trend.FleetTotal(s.settings.Nodes, queued, arriving, s.meanPromptTokens)
	aim := float64(s.minAim) + float64(request.class.AimPer1K)*request.PromptTokens/1000
	limit := (aim - s.tenantImpatience[request.Tenant]) * (1 + request.class.Worth/s.maxWorth) / 2
	if quota := s.tenantQuota[request.Tenant]; quota > 0 { // the further over its quota, the lower its limit
		limit *= min(1, max(s.settings.OverShareWorth,
			quota/max(s.tenantRate[request.Tenant].Add(s.now, time.Second, 0), quota/2)))
	}
	full := reported && available < request.PromptTokens
	if full && s.settings.Reports == ReportProbe { // without a new report, refusals would never end
		s.probeLoad(func(decode *trackedServer) bool { return decode.role != RolePrefill })
	}
	switch {
	case full:
		return ReasonNoMemory
	case !math.IsInf(minDecodeDelay, 1) && prefillDelay+minDecodeDelay > limit:
		return ReasonTooLate
	}
	return ""
}

// expectedDelay returns the expected time, in ns, until a server has done a stage of a new request.
// If no request of this node waits there, those of other nodes may: the estimate is then the
// stage's expected latency, scaled down by the age of its last sample and for small numbers of nodes.
func (s *Scheduler) expectedDelay(server *trackedServer, stage stage, tokens float64) float64 {
	latency := &s.stageLatency[stage]
	if server.queuedTokens > 0 {
		return latency.Expect(server.queuedTokens + tokens)
	}
	return s.unseenShare * s.unseenShare * latency.Expect(tokens) *
		math.Exp(-float64(s.now-latency.Last)/float64(2*s.minAim))
}

// releaseHolds releases all KV state and reservations held for a request.
func (s *Scheduler) releaseHolds(request *trackedRequest) {
	s.emit(Release{request.ID})
	request.stateHolder, request.reservation, request.reservationHeld = nil, nil, false
}

// maySend tells whether the attempt limit and the class's effect allow another attempt.
func (s *Scheduler) maySend(request *trackedRequest) bool {
	attemptLeft := s.settings.Limits.MaxAttempts == 0 || len(request.attempts) < s.settings.Limits.MaxAttempts
	return attemptLeft && (request.firstRun == nil || request.class.Effect != SideEffect)
}

// mayRunOn enforces rule 2 for TokenEffect requests: after an attempt that may have run, another
// one may go only to the same group of servers, and only within the window.
func (r *trackedRequest) mayRunOn(server *trackedServer, now time.Duration) bool {
	ran := r.firstRun
	if ran == nil || r.class.Effect == Pure {
		return true
	}
	sameGroup := r.class.Group != ScopeZone && r.class.Group != ScopeCell ||
		r.class.Group == ScopeZone && server.Zone == ran.server.Zone ||
		r.class.Group == ScopeCell && server.Cell == ran.server.Cell
	return r.class.Effect == TokenEffect && sameGroup && now-ran.sentAt < r.class.Window
}

// giveUp gives a request its final answer: a refusal if trying again is safe, else a failure.
func (s *Scheduler) giveUp(request *trackedRequest, reason Reason) {
	class := request.class
	if request.firstRun == nil || class.Effect == Pure ||
		class.Effect == TokenEffect && class.Group == ScopeAll {
		s.emit(Refuse{ID: request.ID, RetryAfter: s.settings.Limits.MaxRetryAfter, Reason: reason})
	} else {
		s.emit(Fail{ID: request.ID, Reason: reason})
	}
	s.closeRequest(request)
}

// closeRequest ends a request, releases the KV state and reservations held for it and, if allowed,
// cancels its attempts in flight. The outcome of each of them leads to one more release, so that rule 5
// holds on every path.
func (s *Scheduler) closeRequest(request *trackedRequest) {
	request.done = true
	s.releaseHolds(request)
	for index, attempt := range request.attempts {
		if attempt.inFlight && !attempt.answerStarted && s.settings.Limits.Cancel {
			s.emit(Cancel{request.ID, index})
		}
	}
	if request.inFlight == 0 {
		s.removeRequest(request)
	}
}

// sendAttempt sends a request to a server and records the attempt.
func (s *Scheduler) sendAttempt(request *trackedRequest, server *trackedServer, decodes bool) {
	attempt := &trackedAttempt{
		server: server, decodes: decodes, inFlight: true, sentAt: s.now, workTokens: request.PromptTokens,
	}
	if attempt.stage = stageOf(decodes, request.stateHolder, server); request.stateHolder == nil {
		var matched float64
		matched, attempt.cachedTokens = s.matchPrefix(request, server)
		attempt.workTokens = max(request.PromptTokens-matched, 0)
		s.prefixTable.Record(s.now, server.prefixRuns, request.prefixParts(), false)
	}
	server.queuedTokens += attempt.workTokens
	attempt.queuedTokens = server.queuedTokens
	if decodes {
		server.decodeTokens += request.PromptTokens
		server.sentSinceReport += request.PromptTokens
	} else {
		server.pendingPrefills++
		if s.settings.Reports == ReportProbe { // for the choice of a decode server after the prefill
			all := s.rng.Float64() >= s.unseenShare
			s.probeLoad(func(other *trackedServer) bool {
				return all || other.Cell == server.Cell && other.role != RolePrefill
			})
		}
	}
	for _, h := range []*health{&server.health, server.zonePath} {
		if h.ejected {
			h.trialRequest = request.ID
		}
	}
	if s.inSlowStart(server) {
		server.slowStartSends.Add(s.now, s.classTokens[request.class])
		server.slowStartCredit.Spend()
	}
	request.attempts, request.inFlight, request.tried[server] =
		append(request.attempts, attempt), request.inFlight+1, true
	s.emit(Send{ID: request.ID, Server: server.ID, Timeout: request.deadline - s.now})
	s.setTimer(s.overdueAfter(request, attempt),
		pendingTimer{requestID: request.ID, purpose: len(request.attempts) - 1})
	s.watchLiveness(request, len(request.attempts)-1)
}

// overdueAfter returns the time after which an attempt is overdue: the expected latency plus four
// times the mean error, or half the aim before any sample, but at least the connect timeout.
func (s *Scheduler) overdueAfter(request *trackedRequest, attempt *trackedAttempt) time.Duration {
	limit := request.class.Aim / 2
	if latency := &s.stageLatency[attempt.stage]; latency.Count > 0 {
		limit = time.Duration(latency.Expect(attempt.queuedTokens) + 4*latency.MeanError)
	}
	return max(limit, s.settings.Limits.ConnectTimeout, retryInterval)
}

// probeLoad probes wanted servers whose last report is old, and returns whether it sent a probe. Probes
// are tied to own requests: if many nodes probed all servers all the time, it would cost more than
// they learn.
func (s *Scheduler) probeLoad(wanted func(*trackedServer) bool) (asked bool) {
	remaining := maxProbesPerChoice
	for _, i := range s.rng.Perm(len(s.sortedServers)) {
		server := s.sortedServers[i]
		if remaining > 0 && s.settings.Limits.Probes && server.active &&
			s.now-max(server.loadProbedAt, server.reportAt) >= loadProbeInterval && wanted(server) {
			server.loadProbedAt, asked, remaining = s.now, true, remaining-1
			s.emit(Probe{server.ID})
		}
	}
	return asked
}

// requestReservation asks a decode server for a reservation while the prompt is in prefill.
func (s *Scheduler) requestReservation(request *trackedRequest, prefill *trackedServer) {
	if decode := s.pickDecode(request, prefill); decode != nil && !s.inSlowStart(decode) && !decode.ejected {
		request.reservation, request.reservationHeld = decode, false
		request.reservationsAsked++
		s.emit(Reserve{request.ID, decode.ID})
	}
}
