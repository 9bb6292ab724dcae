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
	blockTokens = 16               // tokens in a prefix block
	maxBlocks   = 200000           // blocks in the table
	blockExpiry = 60 * time.Second // since last use
	countGap    = 16               // counts further apart than this ignore matches
	deviations  = 2                // a match may exceed the mean count by this many deviations
)

// Values of the guards that the design leaves open; all else follows from the settings or is learned.
const (
	ewma            = 0.2                   // weight of a new sample
	failLimit       = 0.35                  // failing share, above half of peers', at which a server is ejected
	slowLimit       = 3                     // times peers' latency at which a server is ejected
	ejectShare      = 0.5                   // of a role's servers at most that are ejected
	backoffFirst    = time.Second           // from ejection to trial; doubles with each failed trial
	backoffMax      = 8 * time.Second       //
	retryPause      = 40 * time.Millisecond // between looks for a server while a request waits
	slowStartMargin = 0.6                   // of the slow-start budget that is used
	chanceShare     = 1.5                   // half of the 3 root n + 3 sends that the rule grants to chance
	manyNodes       = 8                     // of which each sends a server too little to count
	nearRoom        = 0.35                  // of the best room anywhere that a nearer writer needs
	slightWait      = 0.1                   // of the shortest aim, no reason to leave a zone or a roomy writer
	moveWait        = 2.5                   // times that: no reason to have a state leave its cell
	slowRefusal     = 20                    // of the aim, from which a refusal is of this kind alone
	transferLimit   = 0.5                   // of the shortest aim, from which on states stay in their cell

	spread          = 3                       // homes of a prefix, in parts of what its share of traffic needs
	blindShare      = 0.2                     // of readers, a prefix's homes at least where no load is told
	leastStartSpeed = 0.1                     // of its speed that a server in slow start has at the least
	probesAtOnce    = 3                       // for one choice
	probeWait       = 12 * time.Millisecond   // for an answer before a choice, over a new connection to any zone
	pollRounds      = 2                       // before a choice: the others where the first do not answer
	probeEvery      = 500 * time.Millisecond  // where load is told on probes alone
	stopSure        = 3500 * time.Millisecond // of silence, in which work comes to wait where a server hangs
)

// New makes a scheduler. Figures left at zero mean: no cap on attempts, one
// node, and a fall window, cold time and release time of one second.
func New(set Settings, seed int64) (*Scheduler, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	return empty(set.withDefaults(), seed), nil
}

// members follows the server list.
func (s *Scheduler) members(e MembershipUpdate) {
	if e.Form == MembershipFailed && s.set.Subscribe { // by and by, and not all nodes at once
		s.after(time.Duration((0.5+s.rng.Float64()/2)*float64(backoffFirst)), timer{what: watchAgain})
	}
	if e.Form == MembershipSnapshot || e.Form == MembershipStale {
		for _, v := range s.order {
			v.listed, v.State = false, StateRemoved
		}
	}
	for _, entry := range e.Entries {
		s.enter(entry)
	}
	slices.SortFunc(s.order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	if e.Form == MembershipStale && s.set.Subscribe {
		s.act(Watch{})
	}
}

func (s *Scheduler) request(e Request) {
	if s.reqs[e.ID] != nil {
		return
	}
	c := s.classes[e.Class]
	if c == nil {
		s.act(Refuse{ID: e.ID, RetryAfter: s.set.Limits.MaxRetryAfter, Reason: ReasonUnknownClass})
		return
	}
	r := &request{
		Request: e, class: c, arrived: s.now, idle: s.now, tried: map[*server]bool{},
		deadline: min(s.now+e.TimeLeft, s.endsAt),
	}
	s.reqs[e.ID] = r
	s.cost[c] = cmp.Or(s.cost[c], e.PromptTokens)
	s.cost[c] += ewma * (e.PromptTokens - s.cost[c])
	s.prompt += ewma * (e.PromptTokens - s.prompt)
	s.coming.Add(s.now, time.Second, e.PromptTokens)
	if q := s.asked[e.Tenant]; q != nil {
		q.Add(s.now, time.Second, 1)
	}
	s.after(r.deadline-s.now, timer{id: e.ID, what: lookAgain})
	s.creditChance()
	if r.PromptTokens > s.longest {
		s.giveUp(r, ReasonPromptTooLong)
		return
	}
	s.advance(r)
}

// advance takes a request with no attempt out a step further, or ends it.
func (s *Scheduler) advance(r *request) {
	switch {
	case r.done || r.out > 0:
	case s.now >= r.deadline || !s.maySend(r):
		s.giveUp(r, ReasonExhausted)
	case r.state != nil:
		s.toWriter(r)
	default:
		s.toReader(r)
	}
}

// toWriter hands a read state over. Rule 5: it is let go in time although no writer takes it.
func (s *Scheduler) toWriter(r *request) {
	if w := s.pickWriter(r, r.state); w != nil {
		s.send(r, w, true)
	} else if s.now-r.idle < s.set.Rules.ReleaseTimeout/2 {
		s.after(min(retryPause, s.set.Rules.ReleaseTimeout/8), timer{id: r.ID, what: lookAgain})
	} else {
		s.giveUp(r, ReasonNoDecodeServer)
	}
}

func (s *Scheduler) toReader(r *request) {
	if s.crowd > 0 && r.polls < pollRounds && s.set.Reports != ReportNone { // own counts tell nothing of them
		r.polls++
		candidates := s.candidates(r, s.answering(s.pool(r, reads)))
		if s.poll(func(v *server) bool { return slices.Contains(candidates, v) }) {
			s.after(probeWait, timer{id: r.ID, what: lookAgain})
			return
		}
	}
	v, write := s.pickReader(r)
	why := Reason("")
	if v != nil && len(r.attempts) == 0 {
		why = s.refusalBeforeSend(r, v)
	}
	switch {
	case why != "":
		s.giveUp(r, why)
	case v == nil && s.now-r.arrived > r.class.Aim:
		s.giveUp(r, ReasonNoPrefillServer)
	case v == nil:
		if r.ahead != nil {
			s.releaseHeld(r)
		}
		clear(r.tried)
		s.after(retryPause, timer{id: r.ID, what: lookAgain})
	default:
		s.send(r, v, write)
		if s.set.Reservations && !write && r.ahead == nil {
			s.askAhead(r, v)
		}
	}
}

// refusalBeforeSend tells of a request that would come too late even at the servers
// chosen, or for which the writers' reported memory is spoken for (a full writer
// reads answers anew). All classes answer to the shortest aim, longer for long prompts as
// the settings say, or the patient would keep queues too long. It may hurt after a slow spell.
func (s *Scheduler) refusalBeforeSend(r *request, v *server) Reason {
	least, room, queued, told := math.Inf(1), 0.0, 0.0, false
	matched, _ := s.match(r, v)
	wait := s.delay(v, reading, r.PromptTokens-matched)
	free := s.rooms(RoleWrite)
	for _, w := range s.order {
		if w.role == RoleRead {
			queued += w.queue
		} else if s.usable(r, w) && s.trusted(w) {
			told = told || w.report != nil
			room += free(w)
			least = min(least, s.delay(w, stageOf(true, v, w), r.PromptTokens))
		}
	}
	// What is being read will want room too: here what waits, at the others what comes in while a read takes.
	each := s.coming.Add(s.now, time.Second, 0) * s.pace[reading].Y / float64(time.Second)
	room -= trend.Fleet(s.set.Nodes, queued, each, s.prompt)
	aim := float64(s.minAim) + float64(r.class.AimPer1K)*r.PromptTokens/1000
	limit := (aim - s.impatience[r.Tenant]) * (1 + r.class.Worth/s.topWorth) / 2
	if q := s.quota[r.Tenant]; q > 0 { // the further over its share, the smaller its part of the aim
		limit *= min(1, max(s.set.OverShareWorth, q/max(s.asked[r.Tenant].Add(s.now, time.Second, 0), q/2)))
	}
	full := told && room < r.PromptTokens
	if full && s.set.Reports == ReportProbe { // or refusing would go on for want of news
		s.poll(func(w *server) bool { return w.role != RoleRead })
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
func (s *Scheduler) delay(v *server, at stage, tokens float64) float64 {
	p := &s.pace[at]
	if v.queue > 0 {
		return p.Expect(v.queue + tokens)
	}
	return s.crowd * s.crowd * p.Expect(tokens) * math.Exp(-float64(s.now-p.Last)/float64(2*s.minAim))
}

func (s *Scheduler) releaseHeld(r *request) {
	s.act(Release{r.ID})
	r.state, r.ahead, r.held = nil, nil, false
}

// maySend tells whether the attempt cap and the class's effect leave another attempt.
func (s *Scheduler) maySend(r *request) bool {
	left := s.set.Limits.MaxAttempts == 0 || len(r.attempts) < s.set.Limits.MaxAttempts
	return left && (r.ran == nil || r.class.Effect != SideEffect)
}

// mayRunOn keeps rule 2 for Token requests: after an attempt that may have
// run, only its group of servers, and only within the window, gets another.
func (r *request) mayRunOn(v *server, now time.Duration) bool {
	a := r.ran
	if a == nil || r.class.Effect == Pure {
		return true
	}
	same := r.class.Group != ScopeZone && r.class.Group != ScopeCell ||
		r.class.Group == ScopeZone && v.Zone == a.srv.Zone || r.class.Group == ScopeCell && v.Cell == a.srv.Cell
	return r.class.Effect == TokenEffect && same && now-a.sent < r.class.Window
}

// giveUp gives the final answer: a refusal where repeating is harmless.
func (s *Scheduler) giveUp(r *request, why Reason) {
	c := r.class
	if r.ran == nil || c.Effect == Pure || c.Effect == TokenEffect && c.Group == ScopeAll {
		s.act(Refuse{ID: r.ID, RetryAfter: s.set.Limits.MaxRetryAfter, Reason: why})
	} else {
		s.act(Fail{ID: r.ID, Reason: why})
	}
	s.end(r)
}

// end closes a request and lets go of whatever is held for it; what is still
// out is called off, and its outcome releases again (rule 5 on every path).
func (s *Scheduler) end(r *request) {
	r.done = true
	s.releaseHeld(r)
	for i, a := range r.attempts {
		if a.out && !a.begun && s.set.Limits.Cancel {
			s.act(Cancel{r.ID, i})
		}
	}
	if r.out == 0 {
		delete(s.reqs, r.ID)
	}
}

func (s *Scheduler) send(r *request, v *server, write bool) {
	a := &attempt{srv: v, write: write, out: true, sent: s.now, tokens: r.PromptTokens}
	if a.stage = stageOf(write, r.state, v); r.state == nil {
		var matched float64
		matched, a.kept = s.match(r, v)
		a.tokens = max(r.PromptTokens-matched, 0)
		s.table.Record(s.now, v.runs, r.parts(), false)
	}
	v.queue += a.tokens
	a.queue = v.queue
	if write {
		v.held += r.PromptTokens
		v.sentSince += r.PromptTokens
	} else {
		v.reads++
		if s.set.Reports == ReportProbe { // for the choice at the read's end
			any := s.rng.Float64() >= s.crowd
			s.poll(func(w *server) bool { return any || w.Cell == v.Cell && w.role != RoleRead })
		}
	}
	for _, h := range []*health{&v.health, v.path} {
		if h.ejected {
			h.trial = r.ID
		}
	}
	if s.inSlowStart(v) {
		v.sends.Add(s.now, s.cost[r.class])
		v.credit.Spend()
	}
	r.attempts, r.out, r.tried[v] = append(r.attempts, a), r.out+1, true
	s.act(Send{ID: r.ID, Server: v.ID, Timeout: r.deadline - s.now})
	s.after(s.limit(r, a), timer{id: r.ID, what: len(r.attempts) - 1})
	s.watchSign(r, len(r.attempts)-1)
}

// limit is the time after which an attempt is overdue, as like work goes now.
func (s *Scheduler) limit(r *request, a *attempt) time.Duration {
	limit := r.class.Aim / 2
	if p := &s.pace[a.stage]; p.N > 0 {
		limit = time.Duration(p.Expect(a.queue) + 4*p.Dev)
	}
	return max(limit, s.set.Limits.ConnectTimeout, retryPause)
}

// poll asks for the load that a choice depends on, and tells whether it did. Tied
// to own traffic: many nodes watching all servers would cost more than they learn.
func (s *Scheduler) poll(want func(*server) bool) (asked bool) {
	left := probesAtOnce
	for _, i := range s.rng.Perm(len(s.order)) {
		v := s.order[i]
		if left > 0 && s.set.Limits.Probes && v.listed && s.now-max(v.polled, v.reportAt) >= probeEvery && want(v) {
			v.polled, asked, left = s.now, true, left-1
			s.act(Probe{v.ID})
		}
	}
	return asked
}

func (s *Scheduler) askAhead(r *request, reader *server) {
	if w := s.pickWriter(r, reader); w != nil && !s.inSlowStart(w) && !w.ejected {
		r.ahead, r.held = w, false
		r.asked++
		s.act(Reserve{r.ID, w.ID})
	}
}
