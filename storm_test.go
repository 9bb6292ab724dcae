package ashwood

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// ruleChecker passes seeded random events to a scheduler and checks its actions against the rules: one final answer in
// time (rule 1), no repeat of what may have run (rule 2), nothing to servers that drain (rule 3), and release of what
// servers hold (rule 5).
type ruleChecker struct {
	t            *testing.T
	rng          *rand.Rand
	gateway      *testGateway
	actions      []Action
	timers       []SetTimer
	requests     map[RequestID]*requestRecord
	states       map[ServerID]ServerState
	requestCount int
}

// requestRecord is what the checker knows of a request.
type requestRecord struct {
	class        string
	deadline     time.Duration
	attempts     []ServerID
	inFlight     map[int]bool // by number of the attempt
	mayHaveRun   bool         // a decode server may have run it
	answerBegun  bool
	finalAnswers int
	ended        bool          // served, or the client has left
	hasHolds     bool          // KV state or a reservation
	lastActivity time.Duration // the last outcome or, if later, the request for a reservation
}

var randomEventServers = []Server{
	prefillServer("r1"), prefillServer("r2"), prefillServer("r3"),
	decodeServer("w1", 0), decodeServer("w2", 0), decodeServer("w3", 1),
	{ID: "m1", Zone: "b", Cell: 2, Kind: "mixed", State: StateActive},
}

// isPrefillID reports whether a server of randomEventServers is a prefill server.
func isPrefillID(v ServerID) bool { return v[0] == 'r' }

// runRandomEvents plays 2500 steps with new requests and 500 without, ends everything, and returns all actions.
func runRandomEvents(t *testing.T, seed int64, settings Settings) []Action {
	checker := &ruleChecker{t: t, rng: rand.New(rand.NewSource(seed)), gateway: newGateway(t, settings, randomEventServers...),
		requests: map[RequestID]*requestRecord{}, states: map[ServerID]ServerState{}}
	for _, server := range randomEventServers {
		checker.states[server.ID] = StateActive
	}
	checker.checkActions()
	for i := 0; i < 3000; i++ {
		checker.step(i < 2500)
	}
	for checker.gateway.now += time.Minute; len(checker.timers) > 0; {
		checker.fireTimer(0)
		checker.endAllAttempts()
	}
	checker.endAllAttempts()
	for id, record := range checker.requests {
		if !record.ended && record.finalAnswers != 1 {
			t.Errorf("seed %d: rule 1: request %s got %d final answers, want 1", seed, id, record.finalAnswers)
		}
		if record.hasHolds {
			t.Errorf("seed %d: rule 5: what is held for request %s was never released", seed, id)
		}
	}
	return checker.actions
}

// Under random events, legal and stray, the rules hold, for one gateway and for many, and with settings that are absurd but
// can be served. Everything runs on one goroutine, so a short run is enough for the race detector, which makes it ten times
// slower.
func TestHandle_RandomEvents(t *testing.T) {
	const plain = "one gateway"
	for name, change := range map[string]func(*Settings){
		plain: func(*Settings) {},
		"many gateways with probes": func(s *Settings) {
			s.Nodes, s.Limits.Probes = 300, true
		},
		"no reports, no retry-after, no cancel": func(s *Settings) {
			s.Nodes, s.Reports, s.Limits = 20, ReportNone, Limits{MaxAttempts: 4}
		},
		"no slow start": func(s *Settings) {
			s.Nodes, s.Rules = 300, Rules{ReleaseTimeout: time.Second}
		},
		"slow start without a share": func(s *Settings) {
			s.Nodes, s.Rules.SlowStartCapacity = 300, 0
		},
		"memory of one token": func(s *Settings) {
			for i := range s.Kinds {
				s.Kinds[i].MemoryTokens = 1
			}
		},
		"memory unknown": func(s *Settings) {
			for i := range s.Kinds {
				s.Kinds[i].MemoryTokens = 0
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			seeds, short := int64(4), int64(1)
			if name == plain {
				seeds, short = 20, 2
			}
			if testing.Short() {
				seeds = short
			}
			settings := testSettings()
			change(&settings)
			for seed := range seeds {
				runRandomEvents(t, seed+1, settings)
			}
		})
	}
}

func (c *ruleChecker) handle(e Event) {
	c.gateway.handle(e)
	c.checkActions()
}

// step advances the time and brings a random event; a new request only while admitting.
func (c *ruleChecker) step(admitting bool) {
	c.gateway.now += time.Duration(c.rng.Intn(20)) * ms
	for i := 0; i < len(c.timers); {
		if c.timers[i].At <= c.gateway.now {
			c.fireTimer(i)
		} else {
			i++
		}
	}
	c.endAtDeadline()
	switch k := c.rng.Intn(20); {
	case k < 5 && admitting:
		c.requestCount++
		id := RequestID(fmt.Sprint("q", c.requestCount))
		class := []string{"chat", "order", "pay"}[c.rng.Intn(3)]
		timeLeft := time.Duration(300+c.rng.Intn(4000)) * ms
		c.requests[id] = &requestRecord{class: class, deadline: c.gateway.now + timeLeft, inFlight: map[int]bool{}, lastActivity: c.gateway.now}
		c.handle(Request{ID: id, Class: class, Session: uint64(c.rng.Intn(9)), Prefix: uint64(c.rng.Intn(4)),
			PrefixTokens: 200, PromptTokens: float64(c.rng.Intn(4000)), TimeLeft: timeLeft})
	case k < 14:
		if id, number, ok := c.randomInFlight(); ok {
			c.endRandomly(id, number)
		}
	case k == 14:
		server := randomEventServers[c.rng.Intn(len(randomEventServers))]
		server.State = ServerState(1 + c.rng.Intn(3))
		if c.rng.Intn(2) == 0 {
			server.State = StateActive
			server.Started = c.gateway.now
		}
		c.states[server.ID] = server.State
		c.handle(MembershipUpdate{Form: MembershipDelta, Entries: []Server{server}})
	case k == 15:
		c.handle(TimerFired{c.rng.Uint64()})
		c.handle(Outcome{ID: "none", Server: "r1", Status: StatusPrefilled})
		c.handle(ProbeResult{Server: "w1", Status: StatusServed, Report: Report{ReportMemory: c.rng.Float64()}})
	case k == 16:
		if id, _, ok := c.randomInFlight(); ok && !c.requests[id].ended && !c.requests[id].answerBegun && c.requests[id].finalAnswers == 0 {
			c.requests[id].ended = true
			c.handle(ClientDisconnected{id})
		}
	case k == 17:
		if id, number, ok := c.randomInFlight(); ok && isPrefillID(c.requests[id].attempts[number]) {
			c.handle(ReservationResult{ID: id, Attempt: number, Server: "w1", Held: c.rng.Intn(2) == 0})
		}
	}
}

// endAtDeadline ends attempts in flight at the client's deadline, which limits their timeouts, and checks rule 5.
func (c *ruleChecker) endAtDeadline() {
	for i := 1; i <= c.requestCount; i++ {
		record := c.requests[RequestID(fmt.Sprint("q", i))]
		for number := range record.attempts {
			if record.inFlight[number] && !record.answerBegun && c.gateway.now >= record.deadline {
				c.endAttempt(RequestID(fmt.Sprint("q", i)), number, StatusTimedOut)
			}
		}
		if record.hasHolds && len(record.inFlight) == 0 && c.gateway.now-record.lastActivity > c.gateway.scheduler.settings.Rules.ReleaseTimeout+40*ms {
			c.t.Errorf("rule 5: what is held for q%d not released %v after its last outcome", i, c.gateway.now-record.lastActivity)
			record.hasHolds = false
		}
	}
}

// randomInFlight returns the request and number of a random attempt in flight.
func (c *ruleChecker) randomInFlight() (RequestID, int, bool) {
	for tries := 0; tries < 10 && c.requestCount > 0; tries++ {
		id := RequestID(fmt.Sprint("q", max(1, c.requestCount-c.rng.Intn(30))))
		record := c.requests[id]
		for number := range record.attempts {
			if record.inFlight[number] {
				return id, number, true
			}
		}
	}
	return "", 0, false
}

// endAllAttempts ends all attempts in flight without an answer.
func (c *ruleChecker) endAllAttempts() {
	for i := 1; i <= c.requestCount; i++ {
		id := RequestID(fmt.Sprint("q", i))
		for number := 0; number < len(c.requests[id].attempts); number++ {
			if c.requests[id].inFlight[number] {
				c.endAttempt(id, number, StatusTimedOut)
			}
		}
	}
}

// endRandomly begins the answer of an attempt, or ends the attempt with a random status.
func (c *ruleChecker) endRandomly(id RequestID, number int) {
	record := c.requests[id]
	status := []Status{StatusServerError, StatusRejected, StatusConnectFailed, StatusConnectionLost, StatusPrefilled, StatusServed}[c.rng.Intn(6)]
	prefill := isPrefillID(record.attempts[number])
	if prefill && (status == StatusServed || c.rng.Intn(2) == 0) {
		status = StatusPrefilled
	}
	if !prefill && (status == StatusPrefilled || c.rng.Intn(2) == 0) {
		status = StatusServed
	}
	if status == StatusServed && !record.answerBegun && record.finalAnswers == 0 && !record.ended {
		record.answerBegun, record.ended, record.hasHolds = true, true, false
		c.handle(AnswerStarted{ID: id, Attempt: number, Server: record.attempts[number], Latency: 20 * ms})
		return
	}
	c.endAttempt(id, number, status)
}

// endAttempt ends an attempt with a status.
func (c *ruleChecker) endAttempt(id RequestID, number int, status Status) {
	record := c.requests[id]
	delete(record.inFlight, number)
	record.lastActivity = c.gateway.now
	switch {
	case status == StatusPrefilled:
		record.hasHolds = true
	case !isPrefillID(record.attempts[number]) && status != StatusRejected && status != StatusConnectFailed && status != StatusNotSent:
		record.mayHaveRun = true
	}
	if status == StatusServed {
		record.ended, record.hasHolds = true, false
	}
	c.handle(Outcome{ID: id, Attempt: number, Server: record.attempts[number], Status: status, RequestDone: record.ended || record.finalAnswers > 0,
		Latency: 30 * ms, Report: Report{ReportMemory: c.rng.Float64() / 2}})
}

// fireTimer fires and removes the i-th pending timer.
func (c *ruleChecker) fireTimer(i int) {
	timer := c.timers[i]
	c.timers = append(c.timers[:i], c.timers[i+1:]...)
	c.handle(TimerFired{timer.Token})
}

// checkActions checks the actions of the last event and keeps its timers.
func (c *ruleChecker) checkActions() {
	actions := c.gateway.actions
	c.actions = append(c.actions, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case SetTimer:
			if a.At <= c.gateway.now {
				c.t.Errorf("timer %v is set for the past", a)
			}
			if c.gateway.now < 2*time.Hour && len(c.timers) < 20000 {
				c.timers = append(c.timers, a)
			}
		case Send:
			c.checkAttempt(a)
		case Reserve:
			c.expectActive(a.Server)
			c.requests[a.ID].hasHolds, c.requests[a.ID].lastActivity = true, c.gateway.now
		case Release:
			c.requests[a.ID].hasHolds = false
		case Cancel:
			if record := c.requests[a.ID]; a.Attempt >= len(record.attempts) {
				c.t.Errorf("cancel of attempt %d, which was never made", a.Attempt)
			}
		case Refuse:
			c.checkFinalAnswer(a.ID)
			if record := c.requests[a.ID]; record.class != "chat" && record.mayHaveRun {
				c.t.Errorf("rule 2: request %s refused although it may have run", a.ID)
			}
		case Fail:
			c.checkFinalAnswer(a.ID)
		}
	}
}

// expectActive checks rule 3 for a server that gets work.
func (c *ruleChecker) expectActive(v ServerID) {
	if c.states[v] != StateActive {
		c.t.Errorf("rule 3: server %s gets work in state %v", v, c.states[v])
	}
}

// checkAttempt checks rules 1 to 3, the attempt limit and the timeout for a new attempt, and keeps it.
func (c *ruleChecker) checkAttempt(a Send) {
	record := c.requests[a.ID]
	c.expectActive(a.Server)
	switch {
	case record.ended || record.finalAnswers > 0:
		c.t.Errorf("rule 1: request %s sent after its end", a.ID)
	case len(record.inFlight) > 0:
		c.t.Errorf("rule 2: a second attempt of request %s while one is in flight", a.ID)
	case record.mayHaveRun && record.class == "pay":
		c.t.Errorf("rule 2: request %s sent again although it may have run", a.ID)
	case len(record.attempts) >= 4:
		c.t.Errorf("request %s has more than 4 attempts", a.ID)
	case a.Timeout <= 0:
		c.t.Errorf("request %s sent with timeout %v", a.ID, a.Timeout)
	}
	if !isPrefillID(a.Server) {
		record.hasHolds = false
	}
	record.inFlight[len(record.attempts)] = true
	record.attempts = append(record.attempts, a.Server)
}

// checkFinalAnswer checks that a final answer is the first one, and in time.
func (c *ruleChecker) checkFinalAnswer(id RequestID) {
	record := c.requests[id]
	if record.finalAnswers++; record.finalAnswers > 1 || record.ended {
		c.t.Errorf("rule 1: request %s got a second final answer, or one after its end", id)
	}
	if c.gateway.now > record.deadline+20*ms && c.gateway.now < time.Hour+time.Minute {
		c.t.Errorf("rule 1: request %s got its final answer %v after its deadline", id, c.gateway.now-record.deadline)
	}
}
