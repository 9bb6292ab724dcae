package ashwood

import (
	"fmt"
	"testing"
	"time"
)

// A full or dead server answers at once. Without a pause that grows with each refusal, requests would use up all their
// attempts on it.
func TestPause_RepeatedRefusals(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	lastPause := time.Duration(0)
	for i := 0; i < 4; i++ {
		gateway.now = max(gateway.now, gateway.scheduler.servers["r1"].pausedUntil)
		gateway.scheduler.now = gateway.now
		gateway.scheduler.pauseSends(gateway.scheduler.servers["r1"])
		pause := gateway.scheduler.servers["r1"].pausedUntil - gateway.now
		if pause <= lastPause {
			t.Fatalf("pause of %v after one of %v, want a longer one", pause, lastPause)
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

// Refusals of requests that were sent before the first refusal came, as in a burst, count as one. When each of seven
// counted, they paused a decode server for two seconds, longer than KV state may wait for it.
func TestPause_BurstOfRefusals(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	pauses := map[time.Duration]bool{}
	for i := range 7 {
		gateway.requestChat(fmt.Sprint(i), uint64(i), 0)
		gateway.expectSentTo("r1")
	}
	for i := range 7 {
		gateway.endAttempt(fmt.Sprint(i), 0, "r1", StatusRejected)
		pauses[gateway.scheduler.servers["r1"].pausedUntil-gateway.now] = true
	}
	if len(pauses) != 1 || pauses[0] {
		t.Errorf("pauses %v, want only that of the first refusal", pauses)
	}
}

// failRequests has a number of requests fail at a server.
func failRequests(gateway *testGateway, server string, times int) {
	for i := 0; i < times; i++ {
		gateway.scheduler.now = gateway.now
		gateway.scheduler.updateHealth(gateway.scheduler.servers[ServerID(server)], &trackedRequest{Request: Request{ID: "x"}}, false)
	}
}

// A server that fails at once looks idle and draws more requests. Two failures in a row eject it, as waiting for three
// costs far more. After the backoff it is tried again with a single request.
func TestEjection_FailingServer(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), prefillServer("r3"), decodeServer("w1", 0))
	failRequests(gateway, "r1", 2)
	if !gateway.scheduler.servers["r1"].ejected {
		t.Fatal("server not ejected after two failures")
	}
	for i := uint64(0); i < 20; i++ {
		gateway.requestChat(fmt.Sprint(i), i, 0)
		if a, _ := firstAction[Send](gateway); a.Server == "r1" {
			t.Fatal("an ejected server was sent a request before its backoff ended")
		}
	}
	gateway.now += minBackoff
	gateway.requestChat("trial", 100, 0)
	gateway.expectSentTo("r1")
	gateway.requestChat("next", 101, 0)
	if a, _ := firstAction[Send](gateway); a.Server == "r1" {
		t.Fatal("a second request was sent to an ejected server during its trial")
	}
	gateway.endAttempt("trial", 0, "r1", StatusPrefilled)
	if gateway.scheduler.servers["r1"].ejected {
		t.Error("server still ejected after its trial succeeded")
	}
}

// Trouble that all servers share ejects at most half of them.
func TestEjection_AllServersFail(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), prefillServer("r3"), prefillServer("r4"), decodeServer("w1", 0))
	for i := 0; i < 20; i++ {
		for _, v := range []string{"r1", "r2", "r3", "r4"} {
			failRequests(gateway, v, 1)
		}
	}
	ejected := 0
	for _, v := range gateway.scheduler.sortedServers {
		if v.ejected {
			ejected++
		}
	}
	if ejected > 2 {
		t.Errorf("%d of 4 prefill servers ejected, want at most 2", ejected)
	}
}

// A zone of which all servers fail, while those of the gateway's own zone do not, is ejected as a whole: the path to it
// is broken. One failing server ejects no zone.
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
	if !gateway.scheduler.zonePaths["b"].ejected {
		t.Error("a zone of which all servers fail is not ejected")
	}
	gateway = newGateway(t, testSettings(), servers...)
	failRequests(gateway, "f1", 12)
	if gateway.scheduler.zonePaths["b"].ejected {
		t.Error("one failing server ejected its zone")
	}
}

// Each of many gateways sends to few engines of a zone that is cut off, so it can't eject the zone. A request whose
// connect timed out in another zone goes on in the gateway's own zone; one whose connect was refused at once may go to
// any zone.
func TestRetry_ConnectTimeoutInOtherZone(t *testing.T) {
	for _, tt := range []struct {
		nodes      int
		latency    time.Duration
		leavesZone bool
	}{{300, 100 * ms, true}, {300, ms, false}, {4, 100 * ms, false}} {
		inOwnZone := 0
		for key := range uint64(20) {
			settings, servers := testSettings(), []Server{prefillServer("own")}
			settings.Nodes, settings.Reservations = tt.nodes, false
			for i := range 20 {
				remote := prefillServer(fmt.Sprint("far", i))
				remote.Zone = "b"
				servers = append(servers, remote)
			}
			gateway := newGateway(t, settings, servers...)
			// The server of its own zone is busy, so the first attempt goes to another zone.
			for _, v := range gateway.scheduler.sortedServers {
				v.report, v.reportAt = Report{ReportInFlight: 0}, gateway.now
			}
			gateway.scheduler.servers["own"].report = Report{ReportInFlight: 10}
			gateway.requestChat("q", key+1, key+1)
			a, _ := firstAction[Send](gateway)
			if a.Server == "own" {
				t.Errorf("%d gateways: first attempt sent to the busy server", tt.nodes)
			}
			gateway.handle(Outcome{ID: "q", Server: a.Server, Status: StatusConnectFailed, Latency: tt.latency})
			if a, _ := firstAction[Send](gateway); a.Server == "own" {
				inOwnZone++
			}
		}
		if tt.leavesZone != (inOwnZone >= 15) {
			t.Errorf("%d gateways, connect failed after %v: %d of 20 second attempts in the own zone, want 15 or more: %v",
				tt.nodes, tt.latency, inOwnZone, tt.leavesZone)
		}
	}
}

// An overdue attempt counts against a server from which nothing is received and, later, is cancelled. At a server that
// finishes other work it does neither.
func TestOverdueAttempt_SilentOrBusyServer(t *testing.T) {
	for _, busy := range []bool{false, true} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
		gateway.requestChat("a", 1, 0)
		attempt, _ := firstAction[Send](gateway)
		server := gateway.scheduler.servers[attempt.Server]
		for i := 0; i < 2; i++ {
			gateway.now += 500 * ms
			if busy {
				server.lastProgressAt = gateway.now
			}
			gateway.scheduler.now, gateway.scheduler.actions = gateway.now, nil
			gateway.scheduler.handleOverdue(gateway.scheduler.requests["a"], 0)
			gateway.actions = gateway.scheduler.actions
		}
		if _, cancelled := firstAction[Cancel](gateway); cancelled == busy || (server.failureRate > 0) == busy {
			t.Errorf("server busy with other work %v: cancelled %v, failure rate %v", busy, cancelled, server.failureRate)
		}
	}
}

// A connection may go silent while its engine works on, which shows when the engine has begun to answer a later request.
// The attempt is then cancelled, without counting against the engine, unless it is a side effect that may have run.
func TestOverdueAttempt_LaterSendAnsweredFirst(t *testing.T) {
	for _, tt := range []struct {
		name                string
		class               string
		decoding, sentLater bool
		cancelled           bool
	}{
		{"prefill", "pay", false, true, true},
		{"prefill, the other was sent before", "pay", false, false, false},
		{"side effect, decode", "pay", true, true, false},
		{"pure, decode", "chat", true, true, true},
	} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
		send := func(id string) {
			gateway.handle(Request{ID: RequestID(id), Class: tt.class, PromptTokens: 320, TimeLeft: 5 * time.Second})
			gateway.expectSentTo("r1")
			if tt.decoding {
				gateway.endAttempt(id, 0, "r1", StatusPrefilled)
				gateway.expectSentTo("w1")
			}
			gateway.now += ms
		}
		answer := func(id string) {
			if tt.decoding {
				gateway.handle(AnswerStarted{ID: RequestID(id), Attempt: 1, Server: "w1", Latency: 50 * ms})
			} else {
				gateway.endAttempt(id, 0, "r1", StatusPrefilled)
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
		number := len(gateway.scheduler.requests["lost"].attempts) - 1
		server := gateway.scheduler.requests["lost"].attempts[number].server
		gateway.now += 600 * ms
		gateway.scheduler.now, gateway.scheduler.actions = gateway.now, nil
		gateway.scheduler.handleOverdue(gateway.scheduler.requests["lost"], number)
		gateway.actions = gateway.scheduler.actions
		if _, got := firstAction[Cancel](gateway); got != tt.cancelled || server.failureRate > 0 {
			t.Errorf("%s: cancelled %v, failure rate %v", tt.name, got, server.failureRate)
		}
	}
}

// All decode servers may be slow at once, behind a congested link. Cancelling attempts would only repeat their work
// elsewhere, and eject engines that are at work.
func TestOverdueAttempt_AllServersSlow(t *testing.T) {
	for _, shared := range []bool{true, false} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 0), decodeServer("w3", 0))
		gateway.scheduler.stageLatency[stageDecode].Observe(gateway.now, 50*ms, 320)
		for i, id := range []string{"a", "b", "c"} {
			gateway.requestChat(id, uint64(i), 0)
			gateway.endAttempt(id, 0, "r1", StatusPrefilled)
		}
		attemptOf := func(id string) *trackedAttempt { return gateway.scheduler.requests[RequestID(id)].attempts[1] }
		if attemptOf("a").server == attemptOf("b").server || attemptOf("b").server == attemptOf("c").server || attemptOf("a").server == attemptOf("c").server {
			t.Fatal("the three attempts are not at three decode servers")
		}
		gateway.now += 600 * ms
		if !shared {
			attemptOf("b").server.lastProgressAt, attemptOf("c").server.lastProgressAt = gateway.now-ms, gateway.now-ms
		}
		gateway.scheduler.now, gateway.scheduler.actions = gateway.now, nil
		gateway.scheduler.handleOverdue(gateway.scheduler.requests["a"], 1)
		gateway.actions = gateway.scheduler.actions
		if _, cancelled := firstAction[Cancel](gateway); cancelled == shared || attemptOf("a").server.failureRate > 0 {
			t.Errorf("all servers slow %v: cancelled %v, failure rate %v", shared, cancelled, attemptOf("a").server.failureRate)
		}
	}
}

// When an attempt is overdue depends on the latency estimate at that moment, not on the one when it was sent: here
// latency has risen to 2 s in the meantime.
func TestOverdueAttempt_LatencyRisesAfterSend(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
	gateway.requestChat("a", 1, 0)
	for range 30 {
		gateway.scheduler.stageLatency[stagePrefill].Observe(gateway.now, 2*time.Second, 320)
	}
	gateway.now += 1500 * ms
	gateway.scheduler.now, gateway.scheduler.actions = gateway.now, nil
	gateway.scheduler.handleOverdue(gateway.scheduler.requests["a"], 0)
	gateway.actions = gateway.scheduler.actions
	expectNoAction[Cancel](gateway)
	expectAction[SetTimer](gateway)
	if trustLost := gateway.scheduler.servers["r1"].failureRate + gateway.scheduler.servers["r2"].failureRate; trustLost > 0 {
		t.Errorf("failure rates add up to %v, want 0", trustLost)
	}
}
