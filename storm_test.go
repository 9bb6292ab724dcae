package ashwood

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// world checks the rules on a scheduler's actions under seeded events.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	n       *node
	all     []Action
	timers  []SetTimer
	reqs    map[RequestID]*told
	state   map[ServerID]ServerState
	started int
}

type told struct {
	class    string
	deadline time.Duration
	attempts []ServerID
	out      map[int]bool
	ran      bool // a writer may have run it
	begun    bool
	final    int
	over     bool
	holds    bool // a state or a place
	idle     time.Duration
}

var stormServers = []Server{
	reader("r1"), reader("r2"), reader("r3"), writer("w1", 0), writer("w2", 0), writer("w3", 1),
	{ID: "m1", Zone: "b", Cell: 2, Kind: "mixed", State: StateActive},
}

func isReading(v ServerID) bool { return v[0] == 'r' }

func storm(t *testing.T, seed int64, set Settings) []Action {
	w := &world{t: t, rng: rand.New(rand.NewSource(seed)), n: newNode(t, set, stormServers...),
		reqs: map[RequestID]*told{}, state: map[ServerID]ServerState{}}
	for _, v := range stormServers {
		w.state[v.ID] = StateActive
	}
	w.take()
	for i := 0; i < 3000; i++ {
		w.step(i < 2500)
	}
	for w.n.now += time.Minute; len(w.timers) > 0; {
		w.fire(0)
		w.finishAll()
	}
	w.finishAll()
	for id, r := range w.reqs {
		if !r.over && r.final != 1 {
			t.Errorf("seed %d: rule 1: request %s has %d final answers", seed, id, r.final)
		}
		if r.holds {
			t.Errorf("seed %d: rule 5: request %s still holds something", seed, id)
		}
	}
	return w.all
}

// TestStorm throws legal and stray events at the module and checks the rules, for one gateway
// and for many, and with settings that are absurd but can be served.
// One goroutine does it all, so that the race detector, which makes it ten
// times slower, sees enough in a short run.
func TestStorm(t *testing.T) {
	const plain = "one gateway"
	for name, change := range map[string]func(*Settings){
		plain: func(*Settings) {},
		"many gateways that probe": func(s *Settings) {
			s.Nodes, s.Limits.Probes = 300, true
		},
		"no report, no retry, no cancel": func(s *Settings) {
			s.Nodes, s.Reports, s.Limits = 20, ReportNone, Limits{MaxAttempts: 4}
		},
		"nothing of slow start": func(s *Settings) {
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
		"memory that is not told": func(s *Settings) {
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
			set := settings()
			change(&set)
			for seed := range seeds {
				storm(t, seed+1, set)
			}
		})
	}
}

func (w *world) do(e Event) {
	w.n.do(e)
	w.take()
}

func (w *world) step(open bool) {
	w.n.now += time.Duration(w.rng.Intn(20)) * ms
	for i := 0; i < len(w.timers); {
		if w.timers[i].At <= w.n.now {
			w.fire(i)
		} else {
			i++
		}
	}
	w.overdue()
	switch k := w.rng.Intn(20); {
	case k < 5 && open:
		w.started++
		id := RequestID(fmt.Sprint("q", w.started))
		class := []string{"chat", "order", "pay"}[w.rng.Intn(3)]
		left := time.Duration(300+w.rng.Intn(4000)) * ms
		w.reqs[id] = &told{class: class, deadline: w.n.now + left, out: map[int]bool{}, idle: w.n.now}
		w.do(Request{ID: id, Class: class, Session: uint64(w.rng.Intn(9)), Prefix: uint64(w.rng.Intn(4)),
			PrefixTokens: 200, PromptTokens: float64(w.rng.Intn(4000)), TimeLeft: left})
	case k < 14:
		if id, n, ok := w.anyOut(); ok {
			w.finish(id, n)
		}
	case k == 14:
		v := stormServers[w.rng.Intn(len(stormServers))]
		v.State = ServerState(1 + w.rng.Intn(3))
		if w.rng.Intn(2) == 0 {
			v.State = StateActive
			v.Started = w.n.now
		}
		w.state[v.ID] = v.State
		w.do(MembershipUpdate{Form: MembershipDelta, Entries: []Server{v}})
	case k == 15:
		w.do(TimerFired{w.rng.Uint64()})
		w.do(Outcome{ID: "none", Server: "r1", Status: StatusPrefilled})
		w.do(ProbeResult{Server: "w1", Status: StatusServed, Report: Report{ReportMemory: w.rng.Float64()}})
	case k == 16:
		if id, _, ok := w.anyOut(); ok && !w.reqs[id].over && !w.reqs[id].begun && w.reqs[id].final == 0 {
			w.reqs[id].over = true
			w.do(ClientDisconnected{id})
		}
	case k == 17:
		if id, n, ok := w.anyOut(); ok && isReading(w.reqs[id].attempts[n]) {
			w.do(ReservationResult{ID: id, Attempt: n, Server: "w1", Held: w.rng.Intn(2) == 0})
		}
	}
}

// overdue ends attempts at the client's deadline, as time-outs are cut to it.
func (w *world) overdue() {
	for i := 1; i <= w.started; i++ {
		r := w.reqs[RequestID(fmt.Sprint("q", i))]
		for n := range r.attempts {
			if r.out[n] && !r.begun && w.n.now >= r.deadline {
				w.finishAs(RequestID(fmt.Sprint("q", i)), n, StatusTimedOut)
			}
		}
		if r.holds && len(r.out) == 0 && w.n.now-r.idle > w.n.s.settings.Rules.ReleaseTimeout+40*ms {
			w.t.Errorf("rule 5: q%d held something %v after its last outcome", i, w.n.now-r.idle)
			r.holds = false
		}
	}
}

func (w *world) anyOut() (RequestID, int, bool) {
	for tries := 0; tries < 10 && w.started > 0; tries++ {
		id := RequestID(fmt.Sprint("q", max(1, w.started-w.rng.Intn(30))))
		r := w.reqs[id]
		for n := range r.attempts {
			if r.out[n] {
				return id, n, true
			}
		}
	}
	return "", 0, false
}

func (w *world) finishAll() {
	for i := 1; i <= w.started; i++ {
		id := RequestID(fmt.Sprint("q", i))
		for n := 0; n < len(w.reqs[id].attempts); n++ {
			if w.reqs[id].out[n] {
				w.finishAs(id, n, StatusTimedOut)
			}
		}
	}
}

func (w *world) finish(id RequestID, n int) {
	r := w.reqs[id]
	st := []Status{StatusServerError, StatusRejected, StatusConnectFailed, StatusConnectionLost, StatusPrefilled, StatusServed}[w.rng.Intn(6)]
	reading := isReading(r.attempts[n])
	if reading && (st == StatusServed || w.rng.Intn(2) == 0) {
		st = StatusPrefilled
	}
	if !reading && (st == StatusPrefilled || w.rng.Intn(2) == 0) {
		st = StatusServed
	}
	if st == StatusServed && !r.begun && r.final == 0 && !r.over {
		r.begun, r.over, r.holds = true, true, false
		w.do(AnswerStarted{ID: id, Attempt: n, Server: r.attempts[n], Latency: 20 * ms})
		return
	}
	w.finishAs(id, n, st)
}

func (w *world) finishAs(id RequestID, n int, st Status) {
	r := w.reqs[id]
	delete(r.out, n)
	r.idle = w.n.now
	switch {
	case st == StatusPrefilled:
		r.holds = true
	case !isReading(r.attempts[n]) && st != StatusRejected && st != StatusConnectFailed && st != StatusNotSent:
		r.ran = true
	}
	if st == StatusServed {
		r.over, r.holds = true, false
	}
	w.do(Outcome{ID: id, Attempt: n, Server: r.attempts[n], Status: st, RequestDone: r.over || r.final > 0,
		Latency: 30 * ms, Report: Report{ReportMemory: w.rng.Float64() / 2}})
}

func (w *world) fire(i int) {
	x := w.timers[i]
	w.timers = append(w.timers[:i], w.timers[i+1:]...)
	w.do(TimerFired{x.Token})
}

func (w *world) take() {
	out := w.n.out
	w.all = append(w.all, out...)
	for _, a := range out {
		switch a := a.(type) {
		case SetTimer:
			if a.At <= w.n.now {
				w.t.Errorf("a timer for the past: %v", a)
			}
			if w.n.now < 2*time.Hour && len(w.timers) < 20000 {
				w.timers = append(w.timers, a)
			}
		case Send:
			w.attempt(a)
		case Reserve:
			w.mustBeOn(a.Server)
			w.reqs[a.ID].holds, w.reqs[a.ID].idle = true, w.n.now
		case Release:
			w.reqs[a.ID].holds = false
		case Cancel:
			if r := w.reqs[a.ID]; a.Attempt >= len(r.attempts) {
				w.t.Errorf("cancel of attempt %d, never made", a.Attempt)
			}
		case Refuse:
			w.final(a.ID)
			if r := w.reqs[a.ID]; r.class != "chat" && r.ran {
				w.t.Errorf("rule 2: refusal of %s, which may have run", a.ID)
			}
		case Fail:
			w.final(a.ID)
		}
	}
}

func (w *world) mustBeOn(v ServerID) {
	if w.state[v] != StateActive {
		w.t.Errorf("rule 3: %s is %v", v, w.state[v])
	}
}

func (w *world) attempt(a Send) {
	r := w.reqs[a.ID]
	w.mustBeOn(a.Server)
	switch {
	case r.over || r.final > 0:
		w.t.Errorf("rule 1: %s sent after its end", a.ID)
	case len(r.out) > 0:
		w.t.Errorf("rule 2: a second copy of %s", a.ID)
	case r.ran && r.class == "pay":
		w.t.Errorf("rule 2: %s may have run already", a.ID)
	case len(r.attempts) >= 4:
		w.t.Errorf("attempt cap passed by %s", a.ID)
	case a.Timeout <= 0:
		w.t.Errorf("%s sent with time-out %v", a.ID, a.Timeout)
	}
	if !isReading(a.Server) {
		r.holds = false
	}
	r.out[len(r.attempts)] = true
	r.attempts = append(r.attempts, a.Server)
}

func (w *world) final(id RequestID) {
	r := w.reqs[id]
	if r.final++; r.final > 1 || r.over {
		w.t.Errorf("rule 1: %s got a second final answer", id)
	}
	if w.n.now > r.deadline+20*ms && w.n.now < time.Hour+time.Minute {
		w.t.Errorf("rule 1: %s answered %v late", id, w.n.now-r.deadline)
	}
}
