// Package ashwood decides, for one node, where prompts are read and answers
// are written: prefix-cache-aware routing over readers (prefill), then the
// roomiest nearby writer (decode). This file holds every decision, table and
// tuned value; the interface (settings, events, actions) is in types.go.
package ashwood

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ashwood.example/ashwood/internal/prefix"
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
	ewma         = 0.2                   // weight of a new sample
	failLimit    = 0.35                  // failing share, above half of peers', at which a server is ejected
	slowLimit    = 3                     // times peers' latency at which a server is ejected
	ejectShare   = 0.5                   // of a role's servers at most that are ejected
	backoffFirst = time.Second           // from ejection to trial; doubles with each failed trial
	backoffMax   = 8 * time.Second       //
	retryPause   = 40 * time.Millisecond // between looks for a server while a request waits
	coldMargin   = 0.6                   // of the cold budget that is used
	manyNodes    = 8                     // of which each sends a server too little to count
	usualLoad    = 0.6                   // of what servers can do
	readSpare    = 1.5                   // times what writers can do, that readers can
	nearRoom     = 0.5                   // of the best room anywhere that a nearer writer needs
	slowRefusal  = 20                    // of the aim, from which a refusal is of this kind alone
	tollLimit    = 0.5
	spread       = 3                       // readers for a prefix, in parts of what its share of traffic needs
	probesAtOnce = 2                       // for one choice
	probeWait    = 5 * time.Millisecond    // for an answer before a choice
	probeEvery   = 500 * time.Millisecond  // where load is told on probes alone
	stopSure     = 3500 * time.Millisecond // of silence, in which work comes to wait where a server hangs
)

// New makes a scheduler. Figures left at zero mean: no cap on attempts, one
// node, and a fall window, cold time and release time of one second.
func New(set Settings, seed int64) (*Scheduler, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	set.Nodes, set.Classes = max(set.Nodes, 1), slices.Clone(set.Classes)
	for _, d := range []*time.Duration{&set.Rules.FallWindow, &set.Rules.ColdTime, &set.Rules.Release} {
		if *d <= 0 {
			*d = time.Second
		}
	}
	s := empty(set, seed)
	s.minAim, s.topWorth = math.MaxInt64, math.SmallestNonzeroFloat64
	for i := range set.Classes {
		c := &set.Classes[i]
		s.classes[c.Name] = c
		s.topWorth, s.minAim = max(s.topWorth, c.Worth), min(s.minAim, c.Aim)
	}
	for _, t := range set.Tenants {
		s.quota[t.Name], s.asked[t.Name] = t.QuotaPerSec/float64(set.Nodes), &trend.Rate{}
	}
	s.crowd = max(1-2/float64(set.Nodes), 0)
	return s, nil
}

// Handle takes in one event and appends the actions to out. Events come in
// the order of their times; stray ones are ignored.
func (s *Scheduler) Handle(now time.Duration, e Event, out []Action) []Action {
	s.now, s.out = max(now, s.now), out
	switch e := e.(type) {
	case Members:
		s.members(e)
	case Request:
		s.request(e)
	case First:
		s.first(e)
	case PlaceNote:
		s.placeNote(e)
	case Outcome:
		s.outcome(e)
	case Gone:
		if r := s.reqs[e.ID]; r != nil && !r.done {
			s.haste[r.Tenant] += ewma * (max(float64(s.minAim-s.now+r.arrived), 0) - s.haste[r.Tenant])
			s.end(r)
		}
	case Timer:
		s.timer(e)
	case Probed:
		if v := s.servers[e.Server]; v != nil && e.Status == Served {
			if s.heard(v, e.Report); s.swamped(v) { // but else it proves nothing about a hang
				s.shun(v)
			}
		}
	}
	out, s.out = s.out, nil
	return out
}

// members follows the server list. A server that is not on gets nothing more
// from this moment (rule 3); a new start time empties its blocks and record.
func (s *Scheduler) members(e Members) {
	if e.Form == ListBroken && s.set.Subscribe { // by and by, and not all nodes at once
		s.after(time.Duration((0.5+s.rng.Float64()/2)*float64(backoffFirst)), timer{what: watchAgain})
	}
	if e.Form == ListWhole || e.Form == ListStale {
		for _, v := range s.order {
			v.listed = false
		}
	}
	for _, entry := range e.Entries {
		v := s.servers[entry.ID]
		if v == nil {
			v = newServer(entry.ID)
			s.servers[entry.ID], s.order = v, append(s.order, v)
		}
		if entry.Started > v.Started {
			v.health, v.ratio, v.shunUntil, v.report, v.done = health{}, 1, 0, nil, trend.Rate{}
			v.sends, v.since, v.luck = nil, s.now, s.rng.Float64()
			v.turns = v.luck
			s.table.Void(v.runs, s.now+1)
		}
		if s.zones[entry.Zone] == nil {
			s.zones[entry.Zone] = &health{}
		}
		v.Server, v.path, v.listed = entry, s.zones[entry.Zone], entry.State == StateOn
		for _, k := range s.set.Kinds {
			if k.Name == entry.Kind {
				v.role, v.memory = k.Role, max(k.MemoryTokens, 1)
			}
		}
		v.listed = v.listed && v.role != 0
	}
	slices.SortFunc(s.order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	if e.Form == ListStale && s.set.Subscribe {
		s.act(Watch{})
	}
}

func (s *Scheduler) request(e Request) {
	if s.reqs[e.ID] != nil {
		return
	}
	c := s.classes[e.Class]
	if c == nil {
		s.act(Refuse{ID: e.ID, RetryAfter: s.pause(), Why: WhyUnknown})
		return
	}
	r := &request{
		Request: e, class: c, arrived: s.now, idle: s.now, deadline: s.now + e.TimeLeft, tried: map[*server]bool{},
	}
	s.reqs[e.ID] = r
	s.cost[c] = cmp.Or(s.cost[c], e.PromptTokens)
	s.cost[c] += ewma * (e.PromptTokens - s.cost[c])
	s.prompt += ewma * (e.PromptTokens - s.prompt)
	s.coming.Add(s.now, time.Second, e.PromptTokens)
	if q := s.asked[e.Tenant]; q != nil {
		q.Add(s.now, time.Second, 1)
	}
	s.after(e.TimeLeft, timer{e.ID, lookAgain})
	s.takeTurns()
	s.advance(r)
}

// takeTurns brings the turns at cold servers nearer with each request, where many
// nodes share them: a turn is one send. Over the fleet a server gets so no more than
// its equal share of the requests by what it can do while cold, whoever prefers it.
func (s *Scheduler) takeTurns() {
	share := s.set.Rules.FallMultiple * s.set.Rules.ColdFrom / usualLoad
	// For writers, engines that are gone count too: of the listed alone was too much.
	_, readers := s.mean(RoleRead, func(*server) (float64, bool) { return 0, true })
	for _, v := range s.order {
		if n := float64(len(s.order)) - readers; v.listed && s.cold(v) {
			if v.role == RoleRead {
				n = readers / readSpare
			}
			v.turns = min(v.turns+share/n, 2)
		}
	}
}

// advance takes a request with no attempt out a step further, or ends it.
func (s *Scheduler) advance(r *request) {
	switch {
	case r.done || r.out > 0:
	case s.now >= r.deadline || !s.maySend(r):
		s.giveUp(r, WhySpent)
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
	} else if s.now-r.idle < s.set.Rules.Release/2 {
		s.after(min(retryPause, s.set.Rules.Release/8), timer{r.ID, lookAgain})
	} else {
		s.giveUp(r, WhyNoWriter)
	}
}

func (s *Scheduler) toReader(r *request) {
	if s.crowd > 0 && !r.polled && s.set.Reports != ReportNone { // own counts tell nothing of its homes
		r.polled = true
		homes := s.homes(r, s.pool(r, reads))
		if s.poll(func(v *server) bool { return slices.Contains(homes, v) }) {
			s.after(probeWait, timer{r.ID, lookAgain})
			return
		}
	}
	v, write := s.pickReader(r)
	why := Why("")
	if v != nil && len(r.attempts) == 0 {
		why = s.hopeless(r, v)
	}
	switch {
	case why != "":
		s.giveUp(r, why)
	case v == nil && s.now-r.arrived > r.class.Aim:
		s.giveUp(r, WhyNoReader)
	case v == nil:
		if r.ahead != nil {
			s.letGo(r)
		}
		clear(r.tried)
		s.after(retryPause, timer{r.ID, lookAgain})
	default:
		s.send(r, v, write)
		if s.set.Ahead && !write && r.ahead == nil {
			s.askAhead(r, v)
		}
	}
}

// hopeless tells of a request that would come too late even at the servers
// chosen, or for which the writers' reported memory is spoken for (a full writer
// reads answers anew). All classes answer to the shortest aim, or the patient would
// keep queues too long. It may hurt after a slow spell, until the pace has aged.
func (s *Scheduler) hopeless(r *request, v *server) Why {
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
	limit := (float64(s.minAim) - s.haste[r.Tenant]) * (1 + r.class.Worth/s.topWorth) / 2
	if q := s.quota[r.Tenant]; q > 0 { // the further over its share, the smaller its part of the aim
		limit *= min(1, max(s.set.OverShareWorth, q/max(s.asked[r.Tenant].Add(s.now, time.Second, 0), q/2)))
	}
	full := told && room < r.PromptTokens
	if full && s.set.Reports == ReportProbe { // or refusing would go on for want of news
		s.poll(func(w *server) bool { return w.role != RoleRead })
	}
	switch {
	case full:
		return WhyNoRoom
	case !math.IsInf(least, 1) && wait+least > limit:
		return WhyTooLate
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

func stageOf(write bool, from, to *server) stage {
	switch {
	case !write:
		return reading
	case from != nil && from.Cell != to.Cell:
		return writingFar
	}
	return writing
}

func (s *Scheduler) letGo(r *request) {
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
	return r.class.Effect == Token && same && now-a.sent < r.class.Window
}

// giveUp gives the final answer: a refusal where repeating is harmless.
func (s *Scheduler) giveUp(r *request, why Why) {
	c := r.class
	if r.ran == nil || c.Effect == Pure || c.Effect == Token && c.Group == ScopeAll {
		s.act(Refuse{ID: r.ID, RetryAfter: s.pause(), Why: why})
	} else {
		s.act(Fail{ID: r.ID, Why: why})
	}
	s.end(r)
}

// pause is how long a refused client is to stay away: as long as it would heed,
// since what refuses (memory spoken for, a dead stage) lasts longer than that.
func (s *Scheduler) pause() time.Duration {
	if !s.set.Limits.RetryAfter {
		return 0
	}
	return s.set.Limits.MaxRetryAfter
}

// end closes a request and lets go of whatever is held for it; what is still
// out is called off, and its outcome releases again (rule 5 on every path).
func (s *Scheduler) end(r *request) {
	r.done = true
	s.letGo(r)
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
	if s.cold(v) {
		v.sends = append(v.sends, stamp{s.now, s.cost[r.class]})
		v.turns--
	}
	r.attempts, r.out, r.tried[v] = append(r.attempts, a), r.out+1, true
	s.act(Attempt{ID: r.ID, Server: v.ID, Timeout: r.deadline - s.now})
	s.after(s.limit(r, a), timer{r.ID, len(r.attempts) - 1})
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
	if w := s.pickWriter(r, reader); w != nil && !s.cold(w) && !w.ejected {
		r.ahead, r.held = w, false
		r.asked++
		s.act(Ahead{r.ID, w.ID})
	}
}

// placeNote tries the next roomiest writer once when a place is refused.
func (s *Scheduler) placeNote(e PlaceNote) {
	r := s.reqs[e.ID]
	if r == nil || r.done || r.ahead == nil || r.ahead.ID != e.Server {
		return
	}
	if r.held = e.Held; e.Held {
		return
	}
	r.tried[r.ahead], r.ahead = true, nil
	if r.asked < 2 && r.out > 0 && r.state == nil {
		s.askAhead(r, r.attempts[len(r.attempts)-1].srv)
	}
}

func (s *Scheduler) first(e First) {
	r, a := s.find(e.ID, e.Attempt, e.Server)
	if r == nil || a.begun || !a.write {
		return
	}
	s.worked(r, a, e.Latency)
	s.haste[r.Tenant] -= ewma * s.haste[r.Tenant]
	a.begun, r.done, r.state, r.ahead = true, true, nil, nil
	a.srv.queue -= a.tokens
}

// stopped tells of an answer, silent since a time, that will not go on although its
// server is at work: that has begun what was sent later, and an answer that it took
// back for want of memory would have been before it in the queue. Many nodes seldom
// have other work there: one with no second event stops where nothing waits, by the
// server's word; where that hangs, all nodes' work has come to wait.
func (s *Scheduler) stopped(id RequestID, n int, since time.Duration, first bool) (over, ask bool) {
	r := s.reqs[id]
	if r == nil || n >= len(r.attempts) {
		return false, false
	}
	v := r.attempts[n].srv
	waits, told := v.report[ReportQueue]
	ask = first && s.set.Nodes > manyNodes && s.set.Limits.Probes && s.now-since < 2*stopSure
	idle := told && waits < 1 && v.reportAt-since >= stopSure
	return v.began[r.attempts[n].stage] > since || ask && idle, ask
}

func (s *Scheduler) outcome(e Outcome) {
	r, a := s.find(e.ID, e.Attempt, e.Server)
	if r == nil {
		return
	}
	v := a.srv
	a.out, r.idle, r.out = false, s.now, r.out-1
	if !a.begun {
		v.queue -= a.tokens
	}
	if a.write {
		v.held -= r.PromptTokens
	} else {
		v.reads--
	}
	s.heard(v, e.Report)
	s.result(r, a, e)
	for _, h := range []*health{&v.health, v.path} {
		if h.trial == r.ID {
			h.trial = ""
		}
	}
	switch {
	case e.Done && !r.done || r.done && !a.begun: // also a read that came in after the end
		s.end(r)
	case r.done:
		delete(s.reqs, r.ID)
	default:
		s.advance(r)
	}
}

// result takes in what an outcome tells of its server and its request.
func (s *Scheduler) result(r *request, a *attempt, e Outcome) {
	proof := []Status{TurnedAway, NotSent, NoConnection, Parsed} // that it never ran
	if a.write && r.ran == nil && !slices.Contains(proof, e.Status) {
		r.ran = a
	}
	switch e.Status {
	case Served:
		if !a.begun {
			s.worked(r, a, e.Latency)
		}
		a.srv.alive = s.now
	case Parsed:
		s.worked(r, a, e.Latency)
		s.parsed(r, a, e.Note)
	case TurnedAway:
		if a.write && e.Note == 1 {
			s.letGo(r) // no state to fetch: read again
			clear(r.tried)
		} else if e.Latency > r.class.Aim/slowRefusal {
			a.srv.refuses[r.kind()] = s.now + backoffMax
		} else {
			s.shun(a.srv)
		}
	case NoConnection:
		if r.held && a.srv == r.ahead { // the state may have moved there: once more
			r.tried[a.srv], r.held = false, false
		}
		if s.set.Nodes > manyNodes && e.Latency >= retryPause && a.srv.Zone != s.set.Zone {
			r.near = true // a whole zone may be silent: the next try is not to wait for it too
		}
		s.shun(a.srv)
		s.judge(a.srv, r, false)
	case ServerError, ConnectionLost:
		s.judge(a.srv, r, false)
	case NoAnswer:
		s.pace[a.stage].Observe(s.now, e.Latency, a.queue)
		s.judge(a.srv, r, false)
	case CalledOff:
		if !a.begun && !a.lost { // a client that leaves a begun answer tells nothing of the wait before it
			s.pace[a.stage].Observe(s.now, e.Latency, a.queue)
		}
	}
}

// parsed takes in the truth about a reader's cache. One that kept far less than
// it surely held has forgotten what it held before (a flush, an untold restart).
func (s *Scheduler) parsed(r *request, a *attempt, kept float64) {
	if kept < a.kept/2 {
		s.table.Void(a.srv.runs, a.sent)
	}
	s.table.Record(s.now, a.srv.runs, r.parts(), true)
	r.state = a.srv
	clear(r.tried)
	if !r.held && s.now-a.sent > s.set.Limits.ConnectTimeout {
		r.ahead = nil // no word of the place: the writer may not be heard
	}
}

// kind is what a throttle may tell requests apart by: a full server says so at
// once, one that takes its time has room and refuses this kind alone.
func (r *request) kind() [2]string { return [2]string{r.Class, r.Tenant} }

// shun leaves a full or dead server alone for a while that doubles until it takes
// a request: it answers at once, and attempts would be burnt on it.
func (s *Scheduler) shun(v *server) {
	if s.now < v.shunUntil { // sent before the pause: a burst of refusals tells no more than one
		return
	}
	v.shun = min(max(v.shun*2, retryPause*time.Duration(max(s.set.Nodes/2, 1))), backoffMax/4)
	v.shunUntil = s.now + v.shun
}

func (s *Scheduler) timer(e Timer) {
	t, ok := s.timers[e.Token]
	if !ok {
		return
	}
	delete(s.timers, e.Token)
	r := s.reqs[t.id]
	switch {
	case t.what == watchAgain:
		s.act(Watch{})
	case r == nil || r.done:
	case t.what == lookAgain:
		s.advance(r)
	case r.attempts[t.what].out:
		s.overdue(r, t.what)
	}
}

// overdue looks at an attempt out far longer than peers take. A server that has
// finished anything since is busy, and leaving would lose a place in its queue;
// one silent all along loses trust, and the attempt is called off while another
// can earn. With little own work there, silence is no sign: it gets its aim. One
// that has begun what was sent later has not got it: its connection fell silent.
func (s *Scheduler) overdue(r *request, n int) {
	a, limit := r.attempts[n], s.limit(r, r.attempts[n])
	wait := s.now - a.sent
	switch s.after(max(limit-wait, limit/2), timer{r.ID, n}); {
	case wait < limit: // the pace has changed since
	case a.srv.began[a.stage] > a.sent && (!a.write || wait >= 2*limit): // at writers, small states overtake
		a.lost = !a.write
		s.leave(r, n)
	case a.srv.alive > a.sent || s.shared(a.srv):
		if a.write { // it will have taken longer yet
			s.pace[a.stage].Observe(s.now, wait, a.queue)
		}
	case float64(wait) < math.Pow(s.crowd, 4)*float64(r.class.Aim):
	case wait < 2*limit:
		s.judge(a.srv, r, false)
	default:
		s.leave(r, n)
	}
}

// shared tells whether the peers of a silent server with work of this node are not
// much livelier. Leaving it would only begin anew elsewhere what is slow everywhere.
func (s *Scheduler) shared(v *server) bool {
	oldest := map[*server]time.Duration{}
	for _, r := range s.reqs {
		for _, a := range r.attempts {
			if a.out && !a.begun && a.srv.role == v.role && (oldest[a.srv] == 0 || a.sent < oldest[a.srv]) {
				oldest[a.srv] = a.sent
			}
		}
	}
	silence := func(v *server) time.Duration { return s.now - max(oldest[v], v.alive) }
	var peers []time.Duration
	for o := range oldest {
		if o != v && o.listed {
			peers = append(peers, silence(o))
		}
	}
	slices.Sort(peers)
	return len(peers) > 0 && silence(v) < slowLimit*peers[len(peers)/2]
}

// leave calls an attempt off where another can earn.
func (s *Scheduler) leave(r *request, n int) {
	if s.maySend(r) && s.set.Limits.Cancel && (r.class.Effect == Pure || !r.attempts[n].write) {
		s.act(Cancel{r.ID, n})
	}
}

// worked feeds the pace of a stage and the server's standing against it.
func (s *Scheduler) worked(r *request, a *attempt, latency time.Duration) {
	v, p := a.srv, &s.pace[a.stage]
	v.shun, v.alive, v.began[a.stage] = 0, s.now, max(v.began[a.stage], a.sent)
	if !s.cold(v) { // taken, not sent: a storm of rejects must not swell the cold budget
		v.done.Add(s.now, s.set.Rules.FallWindow, s.cost[r.class])
	}
	if want := p.Expect(a.queue); want > 0 {
		v.ratio += ewma * (min(float64(latency)/want, 10) - v.ratio)
	}
	p.Observe(s.now, latency, a.queue)
	s.judge(v, r, true)
}

// toll is how much longer an answer takes to begin where its state has to leave
// the reader's cell, less with the age of what is known of it.
func (s *Scheduler) toll() float64 {
	far := &s.pace[writingFar]
	return max(far.Y-s.pace[writing].Y, 0) * math.Exp(-float64(s.now-far.Last)/float64(4*s.minAim))
}

// judge moves the health of a server and of the path to its zone: one where all
// fails is left as a whole. Peers are the yardstick: shared trouble ejects nobody.
func (s *Scheduler) judge(v *server, r *request, ok bool) {
	v.sample(ok)
	if v.Zone != s.set.Zone {
		all := !slices.ContainsFunc(s.order, func(o *server) bool {
			return o.listed && (o.Zone == v.Zone && o.fail < failLimit/2 || o.Zone == s.set.Zone && o.fail > failLimit)
		})
		v.path.sample(ok)
		v.path.judge(s.now, r.ID, ok, !ok && all && v.path.fail > 2*failLimit)
	}
	peers, gone, fails, ratios := 0.0, 1.0, 0.0, []float64{}
	for _, o := range s.order {
		if o == v || !o.listed || o.role != v.role {
			continue
		}
		peers++
		fails += o.fail
		ratios = append(ratios, o.ratio)
		if o.ejected {
			gone++
		}
	}
	var bad bool
	if peers > 0 && gone <= ejectShare*(peers+1) {
		slices.Sort(ratios)
		bad = ok && v.ratio > slowLimit*max(ratios[len(ratios)/2], 1) || !ok && v.fail > failLimit+fails/peers/2
	}
	if was := v.ejected; v.judge(s.now, r.ID, ok, bad) && was {
		v.ratio = 1
	}
}

// sample takes in one result.
func (h *health) sample(ok bool) {
	h.fail *= 1 - ewma
	if !ok {
		h.fail += ewma
	}
}

// judge ejects on bad and tells whether all is well. What is ejected comes
// back by a single trial, later each time that the trial fails.
func (h *health) judge(now time.Duration, id RequestID, ok, bad bool) bool {
	switch {
	case h.ejected && h.trial != id:
		return false
	case h.ejected && ok:
		h.ejected, h.fail = false, min(h.fail, failLimit*0.7)
	case h.ejected || bad:
		h.ejected = true
		h.backoff = max(min(h.backoff*2, backoffMax), backoffFirst)
		h.until = now + h.backoff
	case h.fail < failLimit/4:
		h.backoff = 0
	}
	return !h.ejected
}

func (h *health) due(now time.Duration) bool { return h.ejected && now >= h.until && h.trial == "" }

// swamped tells of a reader that by its own word holds far more than its peers: it
// hangs, or has been found by too many at once.
func (s *Scheduler) swamped(v *server) bool {
	told, n := s.mean(v.role, func(o *server) (float64, bool) {
		return o.report[ReportInFlight], o != v && len(o.report) > 0
	})
	return s.set.Nodes > manyNodes && v.role == RoleRead && n > 0 && v.report[ReportInFlight]-told > countGap
}

// usable tells whether a request may go to a server at this moment.
func (s *Scheduler) usable(r *request, v *server) bool {
	return v.listed && !r.tried[v] && r.mayRunOn(v, s.now) && s.now >= v.shunUntil && s.coldRoom(v, r)
}

func (s *Scheduler) trusted(v *server) bool { return !v.ejected && !v.path.ejected }

// pool lists the servers of a stage that a request may use: the one whose single
// trial is due, cold writers whose turn it is (readers are chosen by what they have
// kept), else the trusted, else, when none is left, all.
func (s *Scheduler) pool(r *request, match func(Role) bool) (good []*server) {
	var rest, turn []*server
	for _, v := range s.order {
		switch z := v.path; {
		case !match(v.role) || !s.usable(r, v):
		case s.trusted(v) && s.set.Nodes > manyNodes && s.cold(v) && v.role != RoleRead:
			turn = append(turn, v)
		case s.trusted(v) && s.now >= v.refuses[r.kind()] && !(r.near && v.Zone != s.set.Zone):
			good = append(good, v)
		case !s.trusted(v) && (v.due(s.now) || !v.ejected) && (z.due(s.now) || !z.ejected) && len(r.attempts) <= 1:
			return []*server{v}
		default:
			rest = append(rest, v)
		}
	}
	for _, some := range [][]*server{turn, good} {
		if len(some) > 0 {
			return some
		}
	}
	return rest
}

func reads(r Role) bool  { return r == RoleRead }
func mixed(r Role) bool  { return r == RoleBoth }
func writes(r Role) bool { return r != RoleRead }

// pickReader is the design's reader rule. Without a reader, a mixed server
// serves in one stage, and failing that a writer where writers read.
func (s *Scheduler) pickReader(r *request) (v *server, write bool) {
	if p := s.pool(r, reads); len(p) > 0 {
		return s.byPrefix(r, s.paired(r, p)), false
	}
	if p := s.pool(r, mixed); len(p) > 0 {
		return s.byPrefix(r, p), true
	}
	if p := s.pool(r, writes); s.set.WritersRead && len(p) > 0 {
		return s.roomiest(p, nil), true
	}
	return nil, false
}

// paired leaves of a pool the readers in whose cell a writer has room, near to the
// best anywhere, while states that leave their cell are slow to move: all of a
// cell's share its one link, which clogs where its writers are gone or full.
func (s *Scheduler) paired(r *request, pool []*server) []*server {
	room, best, cells := s.rooms(RoleWrite), 0.0, map[int]float64{}
	for _, w := range s.order {
		if w.role == RoleWrite && s.trusted(w) && s.usable(r, w) {
			cells[w.Cell] = max(cells[w.Cell], room(w))
			best = max(best, room(w))
		}
	}
	unpaired := func(v *server) bool { return cells[v.Cell] < best*nearRoom }
	near := slices.DeleteFunc(slices.Clone(pool), unpaired)
	if len(near) == 0 || s.toll() < tollLimit*float64(s.minAim) {
		return pool
	}
	return near
}

// counts estimates the unfinished reads at readers on the fleet's scale, or
// what is reported if that is more and new, and how far chance may put it off. Of
// many nodes, own counts are chance: reports tell, with age the less, and the mean.
func (s *Scheduler) counts(role Role) (count func(*server) float64, chance float64) {
	mean, _ := s.mean(role, func(v *server) (float64, bool) { return float64(v.reads), true })
	told, heard := s.mean(role, func(v *server) (float64, bool) { return v.running(), len(v.report) > 0 })
	if s.set.Nodes > manyNodes && heard > 0 {
		return func(v *server) float64 {
			if len(v.report) == 0 {
				return told
			}
			return told + (v.running()-told)*math.Exp(-float64(s.now-v.reportAt)/float64(4*s.minAim))
		}, 1
	}
	return func(v *server) float64 {
		n := trend.Fleet(s.set.Nodes, float64(v.reads), mean, 1)
		if len(v.report) > 0 && s.now-v.reportAt < probeEvery {
			n = max(n*(1-s.crowd), v.running())
		}
		return n
	}, s.crowd * float64(s.set.Nodes-1) * mean / math.Sqrt(1+mean)
}

// byPrefix is the gap test, then matches up to the cap, then the fewest-running
// server. A reader among the prefix's homes counts as holding it: all nodes
// send there, so that it does whether this node has or not.
func (s *Scheduler) byPrefix(r *request, pool []*server) *server {
	count, chance := s.counts(pool[0].role)
	key := cmp.Or(r.Prefix, r.Session)
	fewest, best := pool[0], (*server)(nil)
	var sum, sq, most, top float64
	for _, v := range pool {
		n, least := count(v), count(fewest)
		sum, sq, most = sum+n, sq+n*n, max(most, n)
		if here := v.Zone == s.set.Zone; n < least || n == least && (here && fewest.Zone != s.set.Zone ||
			here == (fewest.Zone == s.set.Zone) && v.score(key) > fewest.score(key)) {
			fewest = v
		}
	}
	if most-count(fewest) > max(countGap, deviations*chance) {
		return fewest
	}
	n := float64(len(pool))
	limit := sum/n + deviations*max(math.Sqrt(max(sq/n-sum/n*sum/n, 0)), chance)
	homes := s.homes(r, pool)
	for _, v := range pool {
		share, _ := s.match(r, v)
		if slices.Contains(homes, v) {
			share = max(share, r.PrefixTokens, 1)
		}
		if share == 0 || count(v) > limit+1e-9 || best != nil && share < top {
			continue
		}
		if best == nil || share > top || count(v) < count(best)-chance ||
			count(v) <= count(best)+chance && v.score(r.Session) > best.score(r.Session) {
			best, top = v, share
		}
	}
	return cmp.Or(best, fewest)
}

// homes are the two readers to which a prefix's and then the session's key hash,
// the prefix's among more readers the more traffic begins with it.
func (s *Scheduler) homes(r *request, pool []*server) []*server {
	uses, n := 0.0, float64(len(pool))
	for _, v := range pool {
		uses += s.table.Used(v.runs, prefix.Key{Hash: r.Prefix})
	}
	want, need := 2, spread*n*max(uses-1, 0)/(s.table.Uses()+n) // what was seen once may be chance
	for float64(want) < need {
		want *= 2 // so that nodes mostly agree and a session finds its earlier turns
	}
	homes := slices.Clone(pool)
	for _, key := range []uint64{cmp.Or(r.Prefix, r.Session), r.Session} {
		slices.SortFunc(homes, func(a, b *server) int { return cmp.Compare(b.score(key), a.score(key)) })
		homes, want = homes[:min(want, len(homes))], 2
	}
	return homes
}

// pickWriter is the design's writer rule: the holder, else the roomiest.
func (s *Scheduler) pickWriter(r *request, reader *server) *server {
	h := r.ahead
	if r.state != nil && h != nil && h.listed && !r.tried[h] && r.mayRunOn(h, s.now) && s.coldRoom(h, r) {
		return h
	}
	return s.roomiest(s.pool(r, writes), reader)
}

// roomiest prefers the reader's cell, then its zone, while room there is not
// far below the best anywhere. Equals are drawn for, or all nodes would follow
// one old report to the same writer. Many nodes know so little of a writer that
// each would take those with the largest memory: they draw for all, by their room.
func (s *Scheduler) roomiest(pool []*server, reader *server) *server {
	if len(pool) == 0 {
		return nil
	}
	room := s.rooms(pool[0].role)
	var best [3]*server // anywhere, in the zone, in the cell
	var most, sum [3]float64
	first := s.rng.Intn(len(pool))
	for i := range pool {
		v := pool[(first+i)%len(pool)]
		n := room(v)
		for near := range best {
			more := best[near] == nil || n > most[near]
			if more {
				most[near] = n
			}
			if sum[near] += max(n, 1); s.set.Nodes > manyNodes {
				more = s.rng.Float64()*sum[near] < max(n, 1)
			}
			if more {
				best[near] = v
			}
			if reader == nil || near == 0 && v.Zone != reader.Zone || near == 1 && v.Cell != reader.Cell {
				break
			}
		}
	}
	for near := 2; near > 0; near-- {
		if best[near] != nil && most[near] >= max(most[0], 0)*nearRoom {
			return best[near]
		}
	}
	return best[0]
}

// rooms estimates the memory free at writers, less where one is slow: the lower
// of what it reported less prompts sent since, and of what own requests suggest.
// With age its cell's mean counts instead: some cells have too few writers.
func (s *Scheduler) rooms(role Role) func(*server) float64 {
	wanted := func(v *server) (float64, bool) { // held, and waited for
		x, ok := v.report[ReportMemory]
		return x + v.report[ReportQueue]*s.prompt/max(v.memory, 1), ok
	}
	used, heard := s.mean(role, wanted)
	held, _ := s.mean(role, func(v *server) (float64, bool) { return v.held, true })
	cell, told := map[int]float64{}, map[int]float64{}
	for _, v := range s.order {
		if x, ok := wanted(v); ok && v.listed && v.role == role {
			cell[v.Cell], told[v.Cell] = cell[v.Cell]+x, told[v.Cell]+1
		}
	}
	return func(v *server) float64 {
		room := v.memory - trend.Fleet(s.set.Nodes, v.held, held, s.prompt)
		if heard > 0 {
			x := (cell[v.Cell] + used) / (told[v.Cell] + 1)
			if own, ok := wanted(v); ok {
				x += (own - x) * math.Exp(-float64(s.now-v.reportAt)/float64(4*s.minAim))
			}
			room = min(v.memory-v.held, v.memory*(1-x)-v.sentSince)
		}
		return min(room, room/max(v.ratio, 1))
	}
}

// cold tells whether a server may still be warming up.
func (s *Scheduler) cold(v *server) bool {
	return v.Started > 0 && s.now-v.Started < s.set.Rules.ColdTime
}

// coldRoom keeps rule 4: this node's part of what a cold server can take, from
// what warm ones finish. Under one request a window it is one in so many
// windows, the first at a time drawn by seed, so that the sum keeps to it.
func (s *Scheduler) coldRoom(v *server, r *request) bool {
	if !s.cold(v) || s.set.Rules.FallMultiple == 0 {
		return true
	}
	if s.set.Nodes > manyNodes {
		return v.turns >= 1
	}
	rules, cost := s.set.Rules, max(s.cost[r.class], 1)
	each, _ := s.mean(v.role, func(o *server) (float64, bool) {
		return o.done.Add(s.now, rules.FallWindow, 0), !s.cold(o)
	})
	budget, nodes := each*rules.FallWindow.Seconds()*rules.FallMultiple*rules.ColdFrom, float64(s.set.Nodes)
	k := max(budget*nodes/cost, 1) // of all nodes; their draws may by chance fall together, by three deviations
	part := min(coldMargin, 1-s.crowd+math.Pow(math.Sqrt(9+4*k)-3, 2)/4/k)
	budget = max(budget*part, cost*max(1/nodes, math.Pow(1-s.crowd, 2))) // one at least; many nodes share it
	span := time.Duration(float64(rules.FallWindow) * max(1, cost/budget))
	sent := cost
	for _, st := range v.sends {
		if s.now-st.at < span {
			sent += st.cost
		}
	}
	return sent <= max(budget, cost) && s.now-v.since >= time.Duration(v.luck*float64(span-rules.FallWindow))
}
