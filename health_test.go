package ashwood

import (
	"fmt"
	"testing"
	"time"
)

// A full or dead server answers at once; without a growing pause requests
// burn all their attempts on it.
func TestPause_RepeatedRefusals(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	lastPause := time.Duration(0)
	for i := 0; i < 4; i++ {
		gateway.now = max(gateway.now, gateway.scheduler.servers["r1"].pausedUntil)
		gateway.scheduler.now = gateway.now
		gateway.scheduler.pauseSends(gateway.scheduler.servers["r1"])
		pause := gateway.scheduler.servers["r1"].pausedUntil - gateway.now
		if pause <= lastPause {
			t.Fatalf("pause %v after %v", pause, lastPause)
		}
		lastPause = pause
	}
	gateway.requestChat("a", 1, 0)
	gateway.expectSentTo("")
	gateway.now += lastPause
	timer, _ := firstAction[SetTimer](gateway)
	_ = timer
	gateway.requestChat("b", 2, 0)
	gateway.expectSentTo("r1")
}

// Refusals of what was sent before the first of them came, as in a burst, are
// one sign and not many: seven at once used to close a writer for two seconds,
// longer than a read state may wait for it.
func TestPause_BurstOfRefusals(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	pauses := map[time.Duration]bool{}
	for i := range 7 {
		gateway.requestChat(fmt.Sprint(i), uint64(i), 0)
		gateway.expectSentTo("r1")
	}
	for i := range 7 {
		gateway.endAttempt(fmt.Sprint(i), 0, "r1", TurnedAway)
		pauses[gateway.scheduler.servers["r1"].pausedUntil-gateway.now] = true
	}
	if len(pauses) != 1 || pauses[0] {
		t.Errorf("pauses %v, want the first alone", pauses)
	}
}

func failRequests(gateway *testGateway, server string, times int) {
	for i := 0; i < times; i++ {
		gateway.scheduler.now = gateway.now
		gateway.scheduler.judge(gateway.scheduler.servers[ServerID(server)], &request{Request: Request{ID: "x"}}, false)
	}
}

// A server that fails fast looks idle; two failures in a row eject it, where
// three cost far more, and it comes back by a single trial.
func TestEjection_FailingServer(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), prefillServer("r3"), decodeServer("w1", 0))
	failRequests(gateway, "r1", 2)
	if !gateway.scheduler.servers["r1"].ejected {
		t.Fatal("not ejected after two failures")
	}
	for i := uint64(0); i < 20; i++ {
		gateway.requestChat(fmt.Sprint(i), i, 0)
		if a, _ := firstAction[Attempt](gateway); a.Server == "r1" {
			t.Fatal("an ejected server was sent a request")
		}
	}
	gateway.now += backoffFirst
	gateway.requestChat("trial", 100, 0)
	gateway.expectSentTo("r1")
	gateway.requestChat("next", 101, 0)
	if a, _ := firstAction[Attempt](gateway); a.Server == "r1" {
		t.Fatal("more than a single trial")
	}
	gateway.endAttempt("trial", 0, "r1", Parsed)
	if gateway.scheduler.servers["r1"].ejected {
		t.Error("not readmitted after its trial")
	}
}

func TestEjection_AllServersFail(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), prefillServer("r3"), prefillServer("r4"), decodeServer("w1", 0))
	for i := 0; i < 20; i++ {
		for _, v := range []string{"r1", "r2", "r3", "r4"} {
			failRequests(gateway, v, 1)
		}
	}
	ejected := 0
	for _, v := range gateway.scheduler.order {
		if v.ejected {
			ejected++
		}
	}
	if ejected > 2 {
		t.Errorf("%d of 4 readers ejected", ejected)
	}
}

// A zone that fails as a whole while the own zone is well is a bad path.
func TestEjection_ZoneUnreachable(t *testing.T) {
	servers := []Server{prefillServer("r1"), prefillServer("r2"), prefillServer("r3"), decodeServer("w1", 0)}
	for _, id := range []string{"f1", "f2"} {
		remote := prefillServer(id)
		remote.Zone = "b"
		servers = append(servers, remote)
	}
	gateway := newGateway(t, testSettings(), servers...)
	for i := 0; i < 6; i++ {
		failRequests(gateway, "f1", 1)
		failRequests(gateway, "f2", 1)
	}
	if !gateway.scheduler.zones["b"].ejected {
		t.Error("the path to a lost zone is still trusted")
	}
	gateway = newGateway(t, testSettings(), servers...)
	failRequests(gateway, "f1", 12)
	if gateway.scheduler.zones["b"].ejected {
		t.Error("one bad server condemns its zone")
	}
}

// Of many nodes, each meets few engines of a zone that is cut off: a request that met a silent
// connect there goes on in its own zone, and one that met a refused connect goes where it would.
func TestRetry_ConnectTimeoutInOtherZone(t *testing.T) {
	for _, tt := range []struct {
		nodes      int
		latency    time.Duration
		leavesZone bool
	}{{300, 100 * ms, true}, {300, ms, false}, {4, 100 * ms, false}} {
		inOwnZone := 0
		for key := range uint64(20) {
			settings, servers := testSettings(), []Server{prefillServer("own")}
			settings.Nodes, settings.Ahead = tt.nodes, false
			for i := range 20 {
				remote := prefillServer(fmt.Sprint("far", i))
				remote.Zone = "b"
				servers = append(servers, remote)
			}
			gateway := newGateway(t, settings, servers...)
			for _, v := range gateway.scheduler.order { // its own zone's is busy, so that it goes to another first
				v.report, v.reportAt = Report{ReportInFlight: 0}, gateway.now
			}
			gateway.scheduler.servers["own"].report = Report{ReportInFlight: 10}
			gateway.requestChat("q", key+1, key+1)
			a, _ := firstAction[Attempt](gateway)
			if a.Server == "own" {
				t.Errorf("%d nodes: sent to the busy reader", tt.nodes)
			}
			gateway.handle(Outcome{ID: "q", Server: a.Server, Status: NoConnection, Latency: tt.latency})
			if a, _ := firstAction[Attempt](gateway); a.Server == "own" {
				inOwnZone++
			}
		}
		if tt.leavesZone != (inOwnZone >= 15) {
			t.Errorf("%d nodes, after %v: %d of 20 went on in their own zone", tt.nodes, tt.latency, inOwnZone)
		}
	}
}

// An overdue attempt costs a silent server trust and, later, the attempt; a
// server that finishes other work keeps both.
func TestOverdueAttempt_SilentOrBusyServer(t *testing.T) {
	for _, busy := range []bool{false, true} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
		gateway.requestChat("a", 1, 0)
		attempt, _ := firstAction[Attempt](gateway)
		server := gateway.scheduler.servers[attempt.Server]
		for i := 0; i < 2; i++ {
			gateway.now += 500 * ms
			if busy {
				server.alive = gateway.now
			}
			gateway.scheduler.now, gateway.scheduler.out = gateway.now, nil
			gateway.scheduler.overdue(gateway.scheduler.reqs["a"], 0)
			gateway.actions = gateway.scheduler.out
		}
		if _, cancelled := firstAction[Cancel](gateway); cancelled == busy || (server.fail > 0) == busy {
			t.Errorf("busy %v: cancelled %v, fail %v", busy, cancelled, server.fail)
		}
	}
}

// A connection may fall silent while its engine works on. What it has begun that
// was sent later tells; the attempt is called off without harm to the engine, but
// for an order that may have run.
func TestOverdueAttempt_LaterSendAnsweredFirst(t *testing.T) {
	for _, tt := range []struct {
		name                string
		class               string
		decoding, sentLater bool
		cancelled           bool
	}{
		{"read", "pay", false, true, true},
		{"read, the other was sent before", "pay", false, false, false},
		{"order written", "pay", true, true, false},
		{"written", "chat", true, true, true},
	} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
		send := func(id string) {
			gateway.handle(Request{ID: RequestID(id), Class: tt.class, PromptTokens: 320, TimeLeft: 5 * time.Second})
			gateway.expectSentTo("r1")
			if tt.decoding {
				gateway.endAttempt(id, 0, "r1", Parsed)
				gateway.expectSentTo("w1")
			}
			gateway.now += ms
		}
		answer := func(id string) {
			if tt.decoding {
				gateway.handle(First{ID: RequestID(id), Attempt: 1, Server: "w1", Latency: 50 * ms})
			} else {
				gateway.endAttempt(id, 0, "r1", Parsed)
			}
		}
		if !tt.sentLater {
			send("other")
		}
		send("lost")
		if tt.sentLater {
			send("other")
		}
		answer("other")
		number := len(gateway.scheduler.reqs["lost"].attempts) - 1
		server := gateway.scheduler.reqs["lost"].attempts[number].srv
		gateway.now += 600 * ms
		gateway.scheduler.now, gateway.scheduler.out = gateway.now, nil
		gateway.scheduler.overdue(gateway.scheduler.reqs["lost"], number)
		gateway.actions = gateway.scheduler.out
		if _, got := firstAction[Cancel](gateway); got != tt.cancelled || server.fail > 0 {
			t.Errorf("%s: cancelled %v, trust lost %v", tt.name, got, server.fail)
		}
	}
}

// All writers may be slow at once, behind a link that clogs. Calling attempts off
// would only begin anew elsewhere, and close engines that are at work.
func TestOverdueAttempt_AllServersSlow(t *testing.T) {
	for _, shared := range []bool{true, false} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 0), decodeServer("w3", 0))
		gateway.scheduler.pace[writing].Observe(gateway.now, 50*ms, 320)
		for i, id := range []string{"a", "b", "c"} {
			gateway.requestChat(id, uint64(i), 0)
			gateway.endAttempt(id, 0, "r1", Parsed)
		}
		attemptOf := func(id string) *attempt { return gateway.scheduler.reqs[RequestID(id)].attempts[1] }
		if attemptOf("a").srv == attemptOf("b").srv || attemptOf("b").srv == attemptOf("c").srv || attemptOf("a").srv == attemptOf("c").srv {
			t.Fatal("not one attempt at each writer")
		}
		gateway.now += 600 * ms
		if !shared {
			attemptOf("b").srv.alive, attemptOf("c").srv.alive = gateway.now-ms, gateway.now-ms
		}
		gateway.scheduler.now, gateway.scheduler.out = gateway.now, nil
		gateway.scheduler.overdue(gateway.scheduler.reqs["a"], 1)
		gateway.actions = gateway.scheduler.out
		if _, cancelled := firstAction[Cancel](gateway); cancelled == shared || attemptOf("a").srv.fail > 0 {
			t.Errorf("shared %v: called off %v, trust lost %v", shared, cancelled, attemptOf("a").srv.fail)
		}
	}
}

// What is overdue follows the pace as it is, not as it was at the send.
func TestOverdueAttempt_LatencyRisesAfterSend(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
	gateway.requestChat("a", 1, 0)
	for range 30 {
		gateway.scheduler.pace[reading].Observe(gateway.now, 2*time.Second, 320)
	}
	gateway.now += 1500 * ms
	gateway.scheduler.now, gateway.scheduler.out = gateway.now, nil
	gateway.scheduler.overdue(gateway.scheduler.reqs["a"], 0)
	gateway.actions = gateway.scheduler.out
	expectNoAction[Cancel](gateway)
	expectAction[SetTimer](gateway)
	if trustLost := gateway.scheduler.servers["r1"].fail + gateway.scheduler.servers["r2"].fail; trustLost > 0 {
		t.Errorf("trust lost: %v", trustLost)
	}
}
