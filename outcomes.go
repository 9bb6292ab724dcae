package ashwood

import (
	"math"
	"slices"
	"time"
)

// placeNote tries the next roomiest writer once when a place is refused.
func (s *Scheduler) placeNote(e ReservationResult) {
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

func (s *Scheduler) first(e AnswerStarted) {
	r, a := s.find(e.ID, e.Attempt, e.Server)
	if r == nil || a.begun || !a.write {
		return
	}
	s.worked(r, a, e.Latency)
	s.impatience[r.Tenant] -= ewma * s.impatience[r.Tenant]
	a.begun, r.done, r.state, r.ahead = true, true, nil, nil
	a.srv.hear(s.now)
	a.srv.queue -= a.tokens
}

// stopped tells of an answer, silent since a time, that will not go on although its
// server is at work: that has begun what was sent later, and an answer that it took
// back for want of memory would have been before it in the queue. Else it stops where
// nothing waits, by the server's word, if its other answers have gone on, or, of many nodes,
// which seldom have any there, with no second event: all nodes' work waits where it hangs.
func (s *Scheduler) stopped(
	r *request, n int, v *server, since, others time.Duration, first bool) (over, ask bool) {
	waits, told := v.report[ReportQueue]
	sign := first && s.set.Nodes > manyNodes || others-since >= stopSure/2
	ask = sign && s.set.Limits.Probes && s.now-since < 2*stopSure
	if s.justBack(v) {
		return false, false
	}
	idle := told && waits < 1 && v.reportAt-since >= stopSure
	return r != nil && n < len(r.attempts) && v.began[r.attempts[n].stage] > since || ask && idle, ask
}

func (s *Scheduler) outcome(e Outcome) {
	r, a := s.find(e.ID, e.Attempt, e.Server)
	if r == nil {
		return
	}
	v := a.srv
	a.out, r.idle, r.out = false, s.now, r.out-1
	if e.Status == StatusServed || e.Status == StatusPrefilled ||
		e.Status == StatusRejected || e.Status == StatusServerError {
		v.hear(s.now)
	}
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
	case e.RequestDone && !r.done || r.done && !a.begun: // also a read that came in after the end
		s.end(r)
	case r.done:
		delete(s.reqs, r.ID)
	default:
		s.advance(r)
	}
}

// result takes in what an outcome tells of its server and its request.
func (s *Scheduler) result(r *request, a *attempt, e Outcome) {
	proof := []Status{StatusRejected, StatusNotSent, StatusConnectFailed, StatusPrefilled} // that it never ran
	if a.write && r.ran == nil && !slices.Contains(proof, e.Status) {
		r.ran = a
	}
	switch e.Status {
	case StatusServed:
		if !a.begun {
			s.worked(r, a, e.Latency)
		}
		a.srv.alive = s.now
	case StatusPrefilled:
		s.worked(r, a, e.Latency)
		s.parsed(r, a, e.Detail)
	case StatusRejected:
		if a.write && e.Detail == 1 {
			s.releaseHeld(r) // no state to fetch: read again
			clear(r.tried)
		} else if e.Latency > r.class.Aim/slowRefusal {
			a.srv.refuses[r.kind()] = s.now + backoffMax
		} else {
			s.pauseSends(a.srv)
		}
	case StatusConnectFailed:
		if r.held && a.srv == r.ahead { // the state may have moved there: once more
			r.tried[a.srv], r.held = false, false
		}
		if s.set.Nodes > manyNodes && e.Latency >= retryPause && a.srv.Zone != s.set.Zone {
			r.near = true // a whole zone may be silent: the next try is not to wait for it too
		}
		s.pauseSends(a.srv)
		s.judge(a.srv, r, false)
	case StatusServerError, StatusConnectionLost:
		s.judge(a.srv, r, false)
	case StatusTimedOut, StatusCancelled:
		// If a client leaves a started answer, the latency says nothing about the wait before it.
		if !a.begun && !a.overtaken() {
			s.pace[a.stage].Observe(s.now, e.Latency, a.queue)
		}
		if e.Status == StatusTimedOut {
			s.judge(a.srv, r, false)
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

// pauseSends leaves a full or dead server alone for a while that doubles until it takes
// a request: it answers at once, and attempts would be burnt on it.
func (s *Scheduler) pauseSends(v *server) {
	if s.now < v.pausedUntil { // sent before the pause: a burst of refusals tells no more than one
		return
	}
	v.pause = min(max(v.pause*2, retryPause*time.Duration(max(s.set.Nodes/2, 1))), backoffMax/4)
	v.pausedUntil = s.now + v.pause
}

func (s *Scheduler) timer(e TimerFired) {
	t, ok := s.timers[e.Token]
	if !ok {
		return
	}
	delete(s.timers, e.Token)
	r := s.reqs[t.id]
	switch {
	case t.what == watchAgain:
		s.act(Watch{})
	case t.what == endRequests:
		s.endRequests()
	case r == nil || r.done:
	case t.what == lookAgain:
		s.advance(r)
	case t.what == lookForSign:
		s.lookForSign(r, t.attempt)
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
	switch s.after(max(limit-wait, limit/2), timer{id: r.ID, what: n}); {
	case wait < limit: // the pace has changed since
	case a.overtaken() && (!a.write || wait >= 2*limit): // at writers, small states overtake
		s.leave(r, n)
	case a.srv.alive > a.sent || s.shared(a.srv):
		if a.write && !a.overtaken() { // it will have taken longer yet
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
	oldest := s.oldestWaits(v.role)
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
	v.pause, v.alive, v.began[a.stage] = 0, s.now, max(v.began[a.stage], a.sent)
	if !s.inSlowStart(v) { // taken, not sent: a storm of rejects must not swell the cold budget
		v.done.Add(s.now, s.set.Rules.SlowStartWindow, s.cost[r.class])
		s.creditSlowStart(v)
	}
	if want := p.Expect(a.queue); want > 0 {
		v.ratio += ewma * (min(float64(latency)/want, 10) - v.ratio)
	}
	p.Observe(s.now, latency, a.queue)
	s.judge(v, r, true)
}

func (s *Scheduler) gone(e ClientDisconnected) {
	if r := s.reqs[e.ID]; r != nil && !r.done {
		s.impatience[r.Tenant] += ewma * (max(float64(s.minAim-s.now+r.arrived), 0) - s.impatience[r.Tenant])
		s.end(r)
	}
}

func (s *Scheduler) probed(e ProbeResult) {
	v := s.servers[e.Server]
	if v == nil {
		return
	}
	s.signed(v, e.Status)
	if e.Status == StatusServed {
		if s.heard(v, e.Report); s.overloaded(v) { // but else it proves nothing about a hang
			s.pauseSends(v)
		}
	}
}
