package ashwood

import (
	"fmt"
	"testing"
	"time"
)

// Rule 1: each request gets exactly one final answer, within its deadline. Here there is no server, or none of one stage.
func TestFinalAnswer_NoServer(t *testing.T) {
	for _, servers := range [][]Server{nil, {prefillServer("r1")}, {decodeServer("w1", 0)}} {
		gateway := newGateway(t, testSettings(), servers...)
		gateway.requestChat("a", 1, 0)
		answers := runUntilIdle(gateway, 5*time.Second)
		if answers != 1 {
			t.Errorf("servers %v: %d final answers within the deadline, want 1", servers, answers)
		}
	}
}

// runUntilIdle runs timers and ends prefills until none is left within a duration, and counts final answers.
func runUntilIdle(gateway *testGateway, d time.Duration) (answers int) {
	var timers []SetTimer
	for end := gateway.now + d; ; {
		for _, a := range gateway.actions {
			switch a := a.(type) {
			case SetTimer:
				timers = append(timers, a)
			case Refuse, Fail:
				answers++
			case Send:
				timers = append(timers, SetTimer{At: gateway.now + ms})
			}
		}
		nextIndex := -1
		for i, timer := range timers {
			if timer.At <= end && (nextIndex < 0 || timer.At < timers[nextIndex].At) {
				nextIndex = i
			}
		}
		if nextIndex < 0 {
			return answers
		}
		timer := timers[nextIndex]
		timers = append(timers[:nextIndex], timers[nextIndex+1:]...)
		gateway.now = max(gateway.now, timer.At)
		if timer.Token == 0 {
			gateway.endAttempt("a", 0, "r1", StatusPrefilled)
		} else {
			gateway.handle(TimerFired{timer.Token})
		}
	}
}

// Rule 2: a request is repeated only as far as the effect of its class allows.
func TestRetry_ClassEffects(t *testing.T) {
	tests := []struct {
		class  string
		status Status
		want   string // server of the next attempt, or "fail"
	}{
		{"chat", StatusServerError, "w2"},
		{"pay", StatusServerError, "fail"}, {"pay", StatusTimedOut, "fail"}, {"pay", StatusCancelled, "fail"},
		{"pay", StatusConnectFailed, "w2"}, {"pay", StatusRejected, "w2"},
		{"order", StatusServerError, "fail"}, // w2 is not in the group
		{"order", StatusConnectFailed, "w2"},
	}
	for _, tt := range tests {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 1))
		gateway.handle(Request{ID: "a", Class: tt.class, Session: 1, PromptTokens: 100, TimeLeft: 700 * ms})
		gateway.endAttempt("a", 0, "r1", StatusPrefilled)
		gateway.expectSentTo("w1")
		gateway.endAttempt("a", 1, "w1", tt.status)
		if tt.want == "w2" {
			gateway.expectSentTo("w2")
			continue
		}
		expectNoAction[Send](gateway)
		for i := 0; i < 40 && len(gateway.scheduler.requests) > 0; i++ { // it may wait for a server of the group for a while
			gateway.now += 50 * ms
			if timer, ok := firstAction[SetTimer](gateway); ok {
				gateway.handle(TimerFired{timer.Token})
			}
		}
		expectAction[Fail](gateway)
		expectNoAction[Refuse](gateway)
	}
}

// Repeats of a token request stay within its group, which drops them, and its window.
func TestRetry_TokenGroupAndWindow(t *testing.T) {
	req := &trackedRequest{class: &Class{Effect: TokenEffect, Group: ScopeZone, Window: time.Second}}
	req.firstRun = &trackedAttempt{server: &trackedServer{Server: Server{Zone: "a", Cell: 1}}}
	same, other := &trackedServer{Server: Server{Zone: "a", Cell: 2}}, &trackedServer{Server: Server{Zone: "b", Cell: 1}}
	if !req.mayRunOn(same, 999*ms) || req.mayRunOn(same, time.Second) || req.mayRunOn(other, 0) {
		t.Error("zone group: a repeat may run outside the zone or the window, or not within them")
	}
	req.class.Group = ScopeCell
	if req.mayRunOn(same, 0) || !req.mayRunOn(other, 0) {
		t.Error("cell group: a repeat may run outside the cell, or not within it")
	}
}

func TestRetry_AttemptLimit(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), prefillServer("r3"),
		prefillServer("r4"), prefillServer("r5"), decodeServer("w1", 0))
	gateway.requestChat("a", 1, 0)
	for i := 0; i < 4; i++ {
		a, ok := firstAction[Send](gateway)
		if !ok {
			t.Fatalf("no attempt %d", i)
		}
		gateway.endAttempt("a", i, string(a.Server), StatusServerError)
	}
	expectAction[Refuse](gateway)
	expectNoAction[Send](gateway)
}

// Rule 3: a server that drains, is gone or is missing in a snapshot gets no new work.
func TestDrain_NoNewWork(t *testing.T) {
	for _, state := range []ServerState{StateDraining, StateRemoved} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
		draining := prefillServer("r1")
		draining.State = state
		gateway.handle(MembershipUpdate{Form: MembershipDelta, Entries: []Server{draining}})
		for i := uint64(0); i < 20; i++ {
			gateway.requestChat(fmt.Sprint(i), i, i)
			gateway.expectSentTo("r2")
			server := gateway.scheduler.servers["r2"]
			server.pendingPrefills = 0
		}
	}
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	gateway.handle(MembershipUpdate{Form: MembershipSnapshot, Entries: []Server{decodeServer("w1", 0)}}) // a snapshot without r1: it is gone
	gateway.requestChat("a", 1, 0)
	gateway.expectSentTo("")
}

// Rule 3: a decode server that drains gets no attempt, although it has granted a reservation.
func TestDrain_ReservationHolder(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 0))
	gateway.requestChat("a", 1, 0)
	reservation, _ := firstAction[Reserve](gateway)
	gateway.handle(ReservationResult{ID: "a", Server: reservation.Server, Held: true})
	draining := decodeServer(string(reservation.Server), 0)
	draining.State = StateDraining
	gateway.handle(MembershipUpdate{Form: MembershipDelta, Entries: []Server{draining}})
	gateway.endAttempt("a", 0, "r1", StatusPrefilled)
	if a, _ := firstAction[Send](gateway); a.Server == reservation.Server || a.Server == "" {
		t.Errorf("sent to %q, want the decode server that does not drain", a.Server)
	}
}

// Rule 4: servers in slow start get at most the slow-start budget. When sends that a server rejected counted towards
// the rate that servers are seen to handle, the budget grew with them until cold servers were overloaded.
func TestSlowStartBudget_RefusedSends(t *testing.T) {
	starting := prefillServer("r1")
	starting.Started = time.Hour
	settings := testSettings()
	settings.Limits.MaxAttempts = 0
	gateway := newGateway(t, settings, starting, decodeServer("w1", 0))
	sends := 0
	for i := uint64(0); i < 50; i++ {
		gateway.requestChat(fmt.Sprint(i), i, 0)
		if a, ok := firstAction[Send](gateway); ok {
			sends++
			gateway.endAttempt(fmt.Sprint(i), 0, string(a.Server), StatusRejected)
			gateway.scheduler.servers["r1"].pausedUntil = 0
		}
		gateway.now += 10 * ms
	}
	if sends != 1 {
		t.Errorf("%d sends to a server in slow start in half a window while no capacity is known, want 1", sends)
	}
	gateway.now += settings.Rules.SlowStartDuration
	gateway.requestChat("late", 1, 0)
	gateway.expectSentTo("r1")
}

// Rule 4: in a rolling deploy few warm servers are left. What all servers finished before must not count as what each of
// these few can do.
func TestSlowStartBudget_RollingDeploy(t *testing.T) {
	budget := func(warm int) (sends int) {
		var servers []Server
		for i := 0; i < 5; i++ {
			peer := prefillServer(fmt.Sprint("r", i))
			if i >= warm {
				peer.Started = time.Hour
			}
			servers = append(servers, peer)
		}
		gateway := newGateway(t, testSettings(), servers...)
		restarted, req := gateway.scheduler.servers["r4"], &trackedRequest{class: gateway.scheduler.classes["chat"]}
		gateway.scheduler.now, gateway.scheduler.classTokens[req.class] = gateway.now, 1
		for _, peer := range gateway.scheduler.sortedServers {
			peer.warmThroughput.Add(gateway.now, time.Second, 200)
		}
		for ; sends < 1000 && gateway.scheduler.slowStartAllows(restarted, req); sends++ {
			restarted.slowStartSends.Add(gateway.now, 1)
		}
		return sends
	}
	if few, many := budget(1), budget(4); few != many || few < 2 {
		t.Errorf("slow-start budget of %d sends with one warm peer, %d with four; want the same, and at least 2", few, many)
	}
}

// Rule 5: what servers hold for a request is released, in whichever way the request ends.
func TestRelease_RequestEnds(t *testing.T) {
	begin := func() *testGateway {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
		gateway.requestChat("a", 1, 0)
		return gateway
	}
	gateway := begin() // the client leaves during prefill, which leaves KV state later
	gateway.handle(ClientDisconnected{"a"})
	expectAction[Release](gateway)
	gateway.endAttempt("a", 0, "r1", StatusPrefilled)
	expectAction[Release](gateway)
	gateway = begin() // all decode servers are gone when the prefill ends
	gateway.handle(MembershipUpdate{Form: MembershipSnapshot, Entries: []Server{prefillServer("r1")}})
	gateway.endAttempt("a", 0, "r1", StatusPrefilled)
	if runUntilIdle(gateway, 900*ms) != 1 {
		t.Error("no final answer within the release time")
	}
	expectAction[Release](gateway)
	gateway = begin() // the decode server fails for good
	gateway.endAttempt("a", 0, "r1", StatusPrefilled)
	gateway.handle(Outcome{ID: "a", Attempt: 1, Server: "w1", Status: StatusTimedOut, RequestDone: true})
	expectAction[Release](gateway)
	gateway = begin() // the only prefill server turns the request away while a reservation is held
	holder := gateway.scheduler.requests["a"].reservation
	gateway.handle(ReservationResult{ID: "a", Server: holder.ID, Held: true})
	gateway.endAttempt("a", 0, "r1", StatusRejected)
	expectAction[Release](gateway)
	gateway = begin() // the deadline passes
	gateway.now += 5 * time.Second
	gateway.endAttempt("a", 0, "r1", StatusTimedOut)
	expectAction[Refuse](gateway)
	expectAction[Release](gateway)
}
