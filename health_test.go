package ashwood

import (
	"fmt"
	"testing"
	"time"
)

// A full or dead server answers at once; without a growing pause requests
// burn all their attempts on it.
func TestRefusingServerIsShunned(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0))
	last := time.Duration(0)
	for i := 0; i < 4; i++ {
		n.now = max(n.now, n.s.servers["r1"].pausedUntil)
		n.s.now = n.now
		n.s.pauseSends(n.s.servers["r1"])
		pause := n.s.servers["r1"].pausedUntil - n.now
		if pause <= last {
			t.Fatalf("pause %v after %v", pause, last)
		}
		last = pause
	}
	n.ask("a", 1, 0)
	n.sentTo("")
	n.now += last
	x, _ := pick[SetTimer](n)
	_ = x
	n.ask("b", 2, 0)
	n.sentTo("r1")
}

// Refusals of what was sent before the first of them came, as in a burst, are
// one sign and not many: seven at once used to close a writer for two seconds,
// longer than a read state may wait for it.
func TestABurstOfRefusalsIsOnePause(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0))
	pauses := map[time.Duration]bool{}
	for i := range 7 {
		n.ask(fmt.Sprint(i), uint64(i), 0)
		n.sentTo("r1")
	}
	for i := range 7 {
		n.end(fmt.Sprint(i), 0, "r1", StatusRejected)
		pauses[n.s.servers["r1"].pausedUntil-n.now] = true
	}
	if len(pauses) != 1 || pauses[0] {
		t.Errorf("pauses %v, want the first alone", pauses)
	}
}

func fail(n *node, v string, times int) {
	for i := 0; i < times; i++ {
		n.s.now = n.now
		n.s.updateHealth(n.s.servers[ServerID(v)], &trackedRequest{Request: Request{ID: "x"}}, false)
	}
}

// A server that fails fast looks idle; two failures in a row eject it, where
// three cost far more, and it comes back by a single trial.
func TestFailingServerIsEjectedAndTried(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), reader("r2"), reader("r3"), writer("w1", 0))
	fail(n, "r1", 2)
	if !n.s.servers["r1"].ejected {
		t.Fatal("not ejected after two failures")
	}
	for i := uint64(0); i < 20; i++ {
		n.ask(fmt.Sprint(i), i, 0)
		if a, _ := pick[Send](n); a.Server == "r1" {
			t.Fatal("an ejected server was sent a request")
		}
	}
	n.now += minBackoff
	n.ask("trial", 100, 0)
	n.sentTo("r1")
	n.ask("next", 101, 0)
	if a, _ := pick[Send](n); a.Server == "r1" {
		t.Fatal("more than a single trial")
	}
	n.end("trial", 0, "r1", StatusPrefilled)
	if n.s.servers["r1"].ejected {
		t.Error("not readmitted after its trial")
	}
}

func TestTroubleOfAllEjectsAtMostHalf(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), reader("r2"), reader("r3"), reader("r4"), writer("w1", 0))
	for i := 0; i < 20; i++ {
		for _, v := range []string{"r1", "r2", "r3", "r4"} {
			fail(n, v, 1)
		}
	}
	gone := 0
	for _, v := range n.s.sortedServers {
		if v.ejected {
			gone++
		}
	}
	if gone > 2 {
		t.Errorf("%d of 4 readers ejected", gone)
	}
}

// A zone that fails as a whole while the own zone is well is a bad path.
func TestBadPathIsLeftAsAWhole(t *testing.T) {
	list := []Server{reader("r1"), reader("r2"), reader("r3"), writer("w1", 0)}
	for _, id := range []string{"f1", "f2"} {
		v := reader(id)
		v.Zone = "b"
		list = append(list, v)
	}
	n := newNode(t, settings(), list...)
	for i := 0; i < 6; i++ {
		fail(n, "f1", 1)
		fail(n, "f2", 1)
	}
	if !n.s.zonePaths["b"].ejected {
		t.Error("the path to a lost zone is still trusted")
	}
	n = newNode(t, settings(), list...)
	fail(n, "f1", 12)
	if n.s.zonePaths["b"].ejected {
		t.Error("one bad server condemns its zone")
	}
}

// Of many nodes, each meets few engines of a zone that is cut off: a request that met a silent
// connect there goes on in its own zone, and one that met a refused connect goes where it would.
func TestRequestLeavesASilentZone(t *testing.T) {
	for _, tt := range []struct {
		nodes   int
		latency time.Duration
		home    bool
	}{{300, 100 * ms, true}, {300, ms, false}, {4, 100 * ms, false}} {
		home := 0
		for key := range uint64(20) {
			set, list := settings(), []Server{reader("own")}
			set.Nodes, set.Reservations = tt.nodes, false
			for i := range 20 {
				far := reader(fmt.Sprint("far", i))
				far.Zone = "b"
				list = append(list, far)
			}
			n := newNode(t, set, list...)
			for _, v := range n.s.sortedServers { // its own zone's is busy, so that it goes to another first
				v.report, v.reportAt = Report{ReportInFlight: 0}, n.now
			}
			n.s.servers["own"].report = Report{ReportInFlight: 10}
			n.ask("q", key+1, key+1)
			a, _ := pick[Send](n)
			if a.Server == "own" {
				t.Errorf("%d nodes: sent to the busy reader", tt.nodes)
			}
			n.do(Outcome{ID: "q", Server: a.Server, Status: StatusConnectFailed, Latency: tt.latency})
			if a, _ := pick[Send](n); a.Server == "own" {
				home++
			}
		}
		if tt.home != (home >= 15) {
			t.Errorf("%d nodes, after %v: %d of 20 went on in their own zone", tt.nodes, tt.latency, home)
		}
	}
}

// An overdue attempt costs a silent server trust and, later, the attempt; a
// server that finishes other work keeps both.
func TestOverdueAttempts(t *testing.T) {
	for _, busy := range []bool{false, true} {
		n := newNode(t, settings(), reader("r1"), reader("r2"), writer("w1", 0))
		n.ask("a", 1, 0)
		a, _ := pick[Send](n)
		v := n.s.servers[a.Server]
		for i := 0; i < 2; i++ {
			n.now += 500 * ms
			if busy {
				v.lastProgressAt = n.now
			}
			n.s.now, n.s.actions = n.now, nil
			n.s.handleOverdue(n.s.requests["a"], 0)
			n.out = n.s.actions
		}
		if _, cancelled := pick[Cancel](n); cancelled == busy || (v.failureRate > 0) == busy {
			t.Errorf("busy %v: cancelled %v, fail %v", busy, cancelled, v.failureRate)
		}
	}
}

// A connection may fall silent while its engine works on. What it has begun that
// was sent later tells; the attempt is called off without harm to the engine, but
// for an order that may have run.
func TestOvertakenAttempts(t *testing.T) {
	for _, tt := range []struct {
		name          string
		class         string
		writes, later bool
		cancelled     bool
	}{
		{"read", "pay", false, true, true},
		{"read, the other was sent before", "pay", false, false, false},
		{"order written", "pay", true, true, false},
		{"written", "chat", true, true, true},
	} {
		n := newNode(t, settings(), reader("r1"), writer("w1", 0))
		send := func(id string) {
			n.do(Request{ID: RequestID(id), Class: tt.class, PromptTokens: 320, TimeLeft: 5 * time.Second})
			n.sentTo("r1")
			if tt.writes {
				n.end(id, 0, "r1", StatusPrefilled)
				n.sentTo("w1")
			}
			n.now += ms
		}
		answer := func(id string) {
			if tt.writes {
				n.do(AnswerStarted{ID: RequestID(id), Attempt: 1, Server: "w1", Latency: 50 * ms})
			} else {
				n.end(id, 0, "r1", StatusPrefilled)
			}
		}
		if !tt.later {
			send("other")
		}
		send("lost")
		if tt.later {
			send("other")
		}
		answer("other")
		attempt := len(n.s.requests["lost"].attempts) - 1
		v := n.s.requests["lost"].attempts[attempt].server
		n.now += 600 * ms
		n.s.now, n.s.actions = n.now, nil
		n.s.handleOverdue(n.s.requests["lost"], attempt)
		n.out = n.s.actions
		if _, got := pick[Cancel](n); got != tt.cancelled || v.failureRate > 0 {
			t.Errorf("%s: cancelled %v, trust lost %v", tt.name, got, v.failureRate)
		}
	}
}

// All writers may be slow at once, behind a link that clogs. Calling attempts off
// would only begin anew elsewhere, and close engines that are at work.
func TestSharedSlownessIsNoFaultOfOne(t *testing.T) {
	for _, shared := range []bool{true, false} {
		n := newNode(t, settings(), reader("r1"), writer("w1", 0), writer("w2", 0), writer("w3", 0))
		n.s.stageLatency[stageDecode].Observe(n.now, 50*ms, 320)
		for i, id := range []string{"a", "b", "c"} {
			n.ask(id, uint64(i), 0)
			n.end(id, 0, "r1", StatusPrefilled)
		}
		out := func(id string) *trackedAttempt { return n.s.requests[RequestID(id)].attempts[1] }
		if out("a").server == out("b").server || out("b").server == out("c").server || out("a").server == out("c").server {
			t.Fatal("not one attempt at each writer")
		}
		n.now += 600 * ms
		if !shared {
			out("b").server.lastProgressAt, out("c").server.lastProgressAt = n.now-ms, n.now-ms
		}
		n.s.now, n.s.actions = n.now, nil
		n.s.handleOverdue(n.s.requests["a"], 1)
		n.out = n.s.actions
		if _, left := pick[Cancel](n); left == shared || out("a").server.failureRate > 0 {
			t.Errorf("shared %v: called off %v, trust lost %v", shared, left, out("a").server.failureRate)
		}
	}
}

// What is overdue follows the pace as it is, not as it was at the send.
func TestOverdueFollowsThePace(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), reader("r2"), writer("w1", 0))
	n.ask("a", 1, 0)
	for range 30 {
		n.s.stageLatency[stagePrefill].Observe(n.now, 2*time.Second, 320)
	}
	n.now += 1500 * ms
	n.s.now, n.s.actions = n.now, nil
	n.s.handleOverdue(n.s.requests["a"], 0)
	n.out = n.s.actions
	lacks[Cancel](n)
	wants[SetTimer](n)
	if r := n.s.servers["r1"].failureRate + n.s.servers["r2"].failureRate; r > 0 {
		t.Errorf("trust lost: %v", r)
	}
}
