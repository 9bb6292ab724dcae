// Package ashwood decides, for one node, where prompts are read and answers
// are written: prefix-cache-aware routing over readers (prefill), then the
// roomiest nearby writer (decode). This file, outcomes.go, health.go and choose.go
// hold every decision and tuned value, ending.go what becomes of requests when the node ends,
// silence.go what becomes of attempts at servers that give no sign;
// the interface is in types.go, what is remembered in state.go.
package ashwood

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ashwood.example/ashwood/internal/trend"
)

// The design's values (docs/design.md).
const (
	blockTokens    = 16               // tokens in a prefix block
	maxBlocks      = 200000           // blocks in the table
	blockExpiry    = 60 * time.Second // since last use
	maxLoadGap     = 16               // counts further apart than this ignore matches
	loadDeviations = 2                // a match may exceed the mean count by this many deviations
)

// Values of the guards that the design leaves open; all else follows from the settings or is learned.
const (
	ewmaWeight           = 0.2                   // weight of a new sample
	ejectFailureRate     = 0.35                  // failing share, above half of peers', at which a server is ejected
	ejectLatencyRatio    = 3                     // times peers' latency at which a server is ejected
	maxEjectedShare      = 0.5                   // of a role's servers at most that are ejected
	minBackoff           = time.Second           // from ejection to trial; doubles with each failed trial
	maxBackoff           = 8 * time.Second       //
	retryInterval        = 40 * time.Millisecond // between looks for a server while a request waits
	slowStartMargin      = 0.6                   // of the slow-start budget that is used
	chanceAllowance      = 1.5                   // half of the 3 root n + 3 sends that the rule grants to chance
	manyNodes            = 8                     // of which each sends a server too little to count
	minNearMemory        = 0.35                  // of the best room anywhere that a nearer writer needs
	negligibleWait       = 0.1                   // of the shortest aim, no reason to leave a zone or a roomy writer
	transferWaitFactor   = 2.5                   // times that: no reason to have a state leave its cell
	slowRejectionDivisor = 20                    // of the aim, from which a refusal is of this kind alone
	maxTransferDelay     = 0.5                   // of the shortest aim, from which on states stay in their cell

	affinitySpread     = 3                       // homes of a prefix, in parts of what its share of traffic needs
	minBlindAffinity   = 0.2                     // of readers, a prefix's homes at least where no load is told
	minSlowStartSpeed  = 0.1                     // of its speed that a server in slow start has at the least
	maxProbesPerChoice = 3                       // for one choice
	loadProbeWait      = 12 * time.Millisecond   // for an answer before a choice, over a new connection to any zone
	maxProbeRounds     = 2                       // before a choice: the others where the first do not answer
	loadProbeInterval  = 500 * time.Millisecond  // where load is told on probes alone
	stallConfirmation  = 3500 * time.Millisecond // of silence, in which work comes to wait where a server hangs
)

// New makes a scheduler. Figures left at zero mean: no cap on attempts, one
// node, and a fall window, cold time and release time of one second.
func New(set Settings, seed int64) (*Scheduler, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	return newScheduler(set.withDefaults(), seed), nil
}

// members follows the server list.
func (s *Scheduler) handleMembershipUpdate(e MembershipUpdate) {
	if e.Form == MembershipFailed && s.settings.Subscribe { // by and by, and not all nodes at once
		s.setTimer(time.Duration((0.5+s.rng.Float64()/2)*float64(minBackoff)), pendingTimer{purpose: timerWatch})
	}
	if e.Form == MembershipSnapshot || e.Form == MembershipStale {
		for _, v := range s.sortedServers {
			v.active, v.State = false, StateRemoved
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

func (s *Scheduler) handleRequest(e Request) {
	if s.requests[e.ID] != nil {
		return
	}
	c := s.classes[e.Class]
	if c == nil {
		s.emit(Refuse{ID: e.ID, RetryAfter: s.settings.Limits.MaxRetryAfter, Reason: ReasonUnknownClass})
		return
	}
	r := &trackedRequest{
		Request: e, class: c, arrivedAt: s.now, idleSince: s.now, tried: map[*trackedServer]bool{},
		deadline: min(s.now+e.TimeLeft, s.shutdownAt),
	}
	s.requests[e.ID] = r
	s.classTokens[c] = cmp.Or(s.classTokens[c], e.PromptTokens)
	s.classTokens[c] += ewmaWeight * (e.PromptTokens - s.classTokens[c])
	s.meanPromptTokens += ewmaWeight * (e.PromptTokens - s.meanPromptTokens)
	s.arrivingTokens.Add(s.now, time.Second, e.PromptTokens)
	if q := s.tenantRate[e.Tenant]; q != nil {
		q.Add(s.now, time.Second, 1)
	}
	s.setTimer(r.deadline-s.now, pendingTimer{requestID: e.ID, purpose: timerAdvance})
	s.creditChanceAllowance()
	if r.PromptTokens > s.maxPromptTokens {
		s.giveUp(r, ReasonPromptTooLong)
		return
	}
	s.advance(r)
}

// advance takes a request with no attempt out a step further, or ends it.
func (s *Scheduler) advance(r *trackedRequest) {
	switch {
	case r.done || r.inFlight > 0:
	case s.now >= r.deadline || !s.maySend(r):
		s.giveUp(r, ReasonExhausted)
	case r.stateHolder != nil:
		s.sendToDecode(r)
	default:
		s.sendToPrefill(r)
	}
}

// toWriter hands a read state over. Rule 5: it is let go in time although no writer takes it.
func (s *Scheduler) sendToDecode(r *trackedRequest) {
	if w := s.pickDecode(r, r.stateHolder); w != nil {
		s.sendAttempt(r, w, true)
	} else if s.now-r.idleSince < s.settings.Rules.ReleaseTimeout/2 {
		s.setTimer(min(retryInterval, s.settings.Rules.ReleaseTimeout/8), pendingTimer{requestID: r.ID, purpose: timerAdvance})
	} else {
		s.giveUp(r, ReasonNoDecodeServer)
	}
}

func (s *Scheduler) sendToPrefill(r *trackedRequest) {
	if s.unseenShare > 0 && r.probeRounds < maxProbeRounds && s.settings.Reports != ReportNone { // own counts tell nothing of them
		r.probeRounds++
		candidates := s.probeCandidates(r, s.answeringProbes(s.eligibleServers(r, isPrefill)))
		if s.probeLoad(func(v *trackedServer) bool { return slices.Contains(candidates, v) }) {
			s.setTimer(loadProbeWait, pendingTimer{requestID: r.ID, purpose: timerAdvance})
			return
		}
	}
	v, write := s.pickPrefill(r)
	why := Reason("")
	if v != nil && len(r.attempts) == 0 {
		why = s.checkAdmission(r, v)
	}
	switch {
	case why != "":
		s.giveUp(r, why)
	case v == nil && s.now-r.arrivedAt > r.class.Aim:
		s.giveUp(r, ReasonNoPrefillServer)
	case v == nil:
		if r.reservation != nil {
			s.releaseHolds(r)
		}
		clear(r.tried)
		s.setTimer(retryInterval, pendingTimer{requestID: r.ID, purpose: timerAdvance})
	default:
		s.sendAttempt(r, v, write)
		if s.settings.Reservations && !write && r.reservation == nil {
			s.requestReservation(r, v)
		}
	}
}

// refusalBeforeSend tells of a request that would come too late even at the servers
// chosen, or for which the writers' reported memory is spoken for (a full writer
// reads answers anew). All classes answer to the shortest aim, longer for long prompts as
// the settings say, or the patient would keep queues too long. It may hurt after a slow spell.
func (s *Scheduler) checkAdmission(r *trackedRequest, v *trackedServer) Reason {
	least, room, queued, told := math.Inf(1), 0.0, 0.0, false
	matched, _ := s.matchPrefix(r, v)
	wait := s.expectedDelay(v, stagePrefill, r.PromptTokens-matched)
	free := s.freeMemory(RoleWrite)
	for _, w := range s.sortedServers {
		if w.role == RoleRead {
			queued += w.queuedTokens
		} else if s.usable(r, w) && s.healthy(w) {
			told = told || w.report != nil
			room += free(w)
			least = min(least, s.expectedDelay(w, stageOf(true, v, w), r.PromptTokens))
		}
	}
	// What is being read will want room too: here what waits, at the others what comes in while a read takes.
	each := s.arrivingTokens.Add(s.now, time.Second, 0) * s.stageLatency[stagePrefill].Mean / float64(time.Second)
	room -= trend.FleetTotal(s.settings.Nodes, queued, each, s.meanPromptTokens)
	aim := float64(s.minAim) + float64(r.class.AimPer1K)*r.PromptTokens/1000
	limit := (aim - s.tenantImpatience[r.Tenant]) * (1 + r.class.Worth/s.maxWorth) / 2
	if q := s.tenantQuota[r.Tenant]; q > 0 { // the further over its share, the smaller its part of the aim
		limit *= min(1, max(s.settings.OverShareWorth, q/max(s.tenantRate[r.Tenant].Add(s.now, time.Second, 0), q/2)))
	}
	full := told && room < r.PromptTokens
	if full && s.settings.Reports == ReportProbe { // or refusing would go on for want of news
		s.probeLoad(func(w *trackedServer) bool { return w.role != RoleRead })
	}
	switch {
	case full:
		return ReasonNoMemory
	case !math.IsInf(least, 1) && wait+least > limit:
		return ReasonTooLate
	}
	return ""
}

// delay is the wait to expect behind what waits at a server. Where nothing of
// this node does, other nodes' may: then the latest latencies speak, less with age.
func (s *Scheduler) expectedDelay(v *trackedServer, at stage, tokens float64) float64 {
	p := &s.stageLatency[at]
	if v.queuedTokens > 0 {
		return p.Expect(v.queuedTokens + tokens)
	}
	return s.unseenShare * s.unseenShare * p.Expect(tokens) * math.Exp(-float64(s.now-p.Last)/float64(2*s.minAim))
}

func (s *Scheduler) releaseHolds(r *trackedRequest) {
	s.emit(Release{r.ID})
	r.stateHolder, r.reservation, r.reservationHeld = nil, nil, false
}

// maySend tells whether the attempt cap and the class's effect leave another attempt.
func (s *Scheduler) maySend(r *trackedRequest) bool {
	left := s.settings.Limits.MaxAttempts == 0 || len(r.attempts) < s.settings.Limits.MaxAttempts
	return left && (r.firstRun == nil || r.class.Effect != SideEffect)
}

// mayRunOn keeps rule 2 for Token requests: after an attempt that may have
// run, only its group of servers, and only within the window, gets another.
func (r *trackedRequest) mayRunOn(v *trackedServer, now time.Duration) bool {
	a := r.firstRun
	if a == nil || r.class.Effect == Pure {
		return true
	}
	same := r.class.Group != ScopeZone && r.class.Group != ScopeCell ||
		r.class.Group == ScopeZone && v.Zone == a.server.Zone || r.class.Group == ScopeCell && v.Cell == a.server.Cell
	return r.class.Effect == TokenEffect && same && now-a.sentAt < r.class.Window
}

// giveUp gives the final answer: a refusal where repeating is harmless.
func (s *Scheduler) giveUp(r *trackedRequest, why Reason) {
	c := r.class
	if r.firstRun == nil || c.Effect == Pure || c.Effect == TokenEffect && c.Group == ScopeAll {
		s.emit(Refuse{ID: r.ID, RetryAfter: s.settings.Limits.MaxRetryAfter, Reason: why})
	} else {
		s.emit(Fail{ID: r.ID, Reason: why})
	}
	s.closeRequest(r)
}

// end closes a request and lets go of whatever is held for it; what is still
// out is called off, and its outcome releases again (rule 5 on every path).
func (s *Scheduler) closeRequest(r *trackedRequest) {
	r.done = true
	s.releaseHolds(r)
	for i, a := range r.attempts {
		if a.inFlight && !a.answerStarted && s.settings.Limits.Cancel {
			s.emit(Cancel{r.ID, i})
		}
	}
	if r.inFlight == 0 {
		delete(s.requests, r.ID)
	}
}

func (s *Scheduler) sendAttempt(r *trackedRequest, v *trackedServer, write bool) {
	a := &trackedAttempt{server: v, decodes: write, inFlight: true, sentAt: s.now, workTokens: r.PromptTokens}
	if a.stage = stageOf(write, r.stateHolder, v); r.stateHolder == nil {
		var matched float64
		matched, a.cachedTokens = s.matchPrefix(r, v)
		a.workTokens = max(r.PromptTokens-matched, 0)
		s.prefixTable.Record(s.now, v.prefixRuns, r.prefixParts(), false)
	}
	v.queuedTokens += a.workTokens
	a.queuedTokens = v.queuedTokens
	if write {
		v.decodeTokens += r.PromptTokens
		v.sentSinceReport += r.PromptTokens
	} else {
		v.pendingPrefills++
		if s.settings.Reports == ReportProbe { // for the choice at the read's end
			any := s.rng.Float64() >= s.unseenShare
			s.probeLoad(func(w *trackedServer) bool { return any || w.Cell == v.Cell && w.role != RoleRead })
		}
	}
	for _, h := range []*health{&v.health, v.zonePath} {
		if h.ejected {
			h.trialRequest = r.ID
		}
	}
	if s.inSlowStart(v) {
		v.slowStartSends.Add(s.now, s.classTokens[r.class])
		v.slowStartCredit.Spend()
	}
	r.attempts, r.inFlight, r.tried[v] = append(r.attempts, a), r.inFlight+1, true
	s.emit(Send{ID: r.ID, Server: v.ID, Timeout: r.deadline - s.now})
	s.setTimer(s.overdueAfter(r, a), pendingTimer{requestID: r.ID, purpose: len(r.attempts) - 1})
	s.watchLiveness(r, len(r.attempts)-1)
}

// limit is the time after which an attempt is overdue, as like work goes now.
func (s *Scheduler) overdueAfter(r *trackedRequest, a *trackedAttempt) time.Duration {
	limit := r.class.Aim / 2
	if p := &s.stageLatency[a.stage]; p.Count > 0 {
		limit = time.Duration(p.Expect(a.queuedTokens) + 4*p.MeanError)
	}
	return max(limit, s.settings.Limits.ConnectTimeout, retryInterval)
}

// poll asks for the load that a choice depends on, and tells whether it did. Tied
// to own traffic: many nodes watching all servers would cost more than they learn.
func (s *Scheduler) probeLoad(want func(*trackedServer) bool) (asked bool) {
	left := maxProbesPerChoice
	for _, i := range s.rng.Perm(len(s.sortedServers)) {
		v := s.sortedServers[i]
		if left > 0 && s.settings.Limits.Probes && v.active && s.now-max(v.loadProbedAt, v.reportAt) >= loadProbeInterval && want(v) {
			v.loadProbedAt, asked, left = s.now, true, left-1
			s.emit(Probe{v.ID})
		}
	}
	return asked
}

func (s *Scheduler) requestReservation(r *trackedRequest, reader *trackedServer) {
	if w := s.pickDecode(r, reader); w != nil && !s.inSlowStart(w) && !w.ejected {
		r.reservation, r.reservationHeld = w, false
		r.reservationsAsked++
		s.emit(Reserve{r.ID, w.ID})
	}
}
