package ashwood

import (
	"fmt"
	"testing"
	"time"
)

// Rule 1: with nobody to send to, one refusal comes in time.
func TestFinalAnswer_NoServer(t *testing.T) {
	for _, servers := range [][]Server{nil, {prefillServer("r1")}, {decodeServer("w1", 0)}} {
		gateway := newGateway(t, testSettings(), servers...)
		gateway.requestChat("a", 1, 0)
		answers := runUntilIdle(gateway, 5*time.Second)
		if answers != 1 {
			t.Errorf("list %v: %d final answers in time, want 1", servers, answers)
		}
	}
}

// run lets timers fire and reads end for a while and counts final answers.
func runUntilIdle(gateway *testGateway, d time.Duration) (answers int) {
	var timers []SetTimer
	for end := gateway.now + d; ; {
		for _, a := range gateway.actions {
			switch a := a.(type) {
			case SetTimer:
				timers = append(timers, a)
			case Refuse, Fail:
				answers++
			case Attempt:
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
			gateway.endAttempt("a", 0, "r1", Parsed)
		} else {
			gateway.handle(Timer{timer.Token})
		}
	}
}

func TestRetry_ClassEffects(t *testing.T) {
	tests := []struct {
		class  string
		status Status
		want   string // where the next attempt goes; refuse or fail otherwise
	}{
		{"chat", ServerError, "w2"},
		{"pay", ServerError, "fail"}, {"pay", NoAnswer, "fail"}, {"pay", CalledOff, "fail"},
		{"pay", NoConnection, "w2"}, {"pay", TurnedAway, "w2"},
		{"order", ServerError, "fail"}, // w2 is not of the group
		{"order", NoConnection, "w2"},
	}
	for _, tt := range tests {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 1))
		gateway.handle(Request{ID: "a", Class: tt.class, Session: 1, PromptTokens: 100, TimeLeft: 700 * ms})
		gateway.endAttempt("a", 0, "r1", Parsed)
		gateway.expectSentTo("w1")
		gateway.endAttempt("a", 1, "w1", tt.status)
		if tt.want == "w2" {
			gateway.expectSentTo("w2")
			continue
		}
		expectNoAction[Attempt](gateway)
		for i := 0; i < 40 && len(gateway.scheduler.reqs) > 0; i++ { // it may look for a server of the group for a while
			gateway.now += 50 * ms
			if timer, ok := firstAction[SetTimer](gateway); ok {
				gateway.handle(Timer{timer.Token})
			}
		}
		expectAction[Fail](gateway)
		expectNoAction[Refuse](gateway)
	}
}

func TestRetry_TokenGroupAndWindow(t *testing.T) {
	req := &request{class: &Class{Effect: Token, Group: ScopeZone, Window: time.Second}}
	req.ran = &attempt{srv: &server{Server: Server{Zone: "a", Cell: 1}}}
	same, other := &server{Server: Server{Zone: "a", Cell: 2}}, &server{Server: Server{Zone: "b", Cell: 1}}
	if !req.mayRunOn(same, 999*ms) || req.mayRunOn(same, time.Second) || req.mayRunOn(other, 0) {
		t.Error("zone group or window not kept")
	}
	req.class.Group = ScopeCell
	if req.mayRunOn(same, 0) || !req.mayRunOn(other, 0) {
		t.Error("cell group not kept")
	}
}

func TestRetry_AttemptLimit(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), prefillServer("r3"), prefillServer("r4"), prefillServer("r5"), decodeServer("w1", 0))
	gateway.requestChat("a", 1, 0)
	for i := 0; i < 4; i++ {
		a, ok := firstAction[Attempt](gateway)
		if !ok {
			t.Fatalf("attempt %d missing", i)
		}
		gateway.endAttempt("a", i, string(a.Server), ServerError)
	}
	expectAction[Refuse](gateway)
	expectNoAction[Attempt](gateway)
}

func TestDrain_NoNewWork(t *testing.T) {
	for _, state := range []ServerState{StateFading, StateOff} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
		draining := prefillServer("r1")
		draining.State = state
		gateway.handle(Members{Form: ListPatch, Entries: []Server{draining}})
		for i := uint64(0); i < 20; i++ {
			gateway.requestChat(fmt.Sprint(i), i, i)
			gateway.expectSentTo("r2")
			server := gateway.scheduler.servers["r2"]
			server.reads = 0
		}
	}
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	gateway.handle(Members{Form: ListWhole, Entries: []Server{decodeServer("w1", 0)}}) // absent = gone
	gateway.requestChat("a", 1, 0)
	gateway.expectSentTo("")
}

// A draining holder of a place gets nothing, though its place was held.
func TestDrain_ReservationHolder(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 0))
	gateway.requestChat("a", 1, 0)
	reservation, _ := firstAction[Ahead](gateway)
	gateway.handle(PlaceNote{ID: "a", Server: reservation.Server, Held: true})
	draining := decodeServer(string(reservation.Server), 0)
	draining.State = StateFading
	gateway.handle(Members{Form: ListPatch, Entries: []Server{draining}})
	gateway.endAttempt("a", 0, "r1", Parsed)
	if a, _ := firstAction[Attempt](gateway); a.Server == reservation.Server || a.Server == "" {
		t.Errorf("sent to %q", a.Server)
	}
}

// Rule 4, and what broke it first: rejected sends swelled the learned rate,
// and with it the budget, until cold servers were pushed over.
func TestSlowStartBudget_RefusedSends(t *testing.T) {
	cold := prefillServer("r1")
	cold.Started = time.Hour
	settings := testSettings()
	settings.Limits.MaxAttempts = 0
	gateway := newGateway(t, settings, cold, decodeServer("w1", 0))
	sends := 0
	for i := uint64(0); i < 50; i++ {
		gateway.requestChat(fmt.Sprint(i), i, 0)
		if a, ok := firstAction[Attempt](gateway); ok {
			sends++
			gateway.endAttempt(fmt.Sprint(i), 0, string(a.Server), TurnedAway)
			gateway.scheduler.servers["r1"].pausedUntil = 0
		}
		gateway.now += 10 * ms
	}
	if sends != 1 {
		t.Errorf("%d sends to a cold server in half a window without any known capacity, want 1", sends)
	}
	gateway.now += settings.Rules.ColdTime
	gateway.requestChat("late", 1, 0)
	gateway.expectSentTo("r1")
}

// In a rolling deploy few warm servers are left; what all did before must not
// be taken for what each of these few can do.
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
		restarted, req := gateway.scheduler.servers["r4"], &request{class: gateway.scheduler.classes["chat"]}
		gateway.scheduler.now, gateway.scheduler.cost[req.class] = gateway.now, 1
		for _, peer := range gateway.scheduler.order {
			peer.done.Add(gateway.now, time.Second, 200)
		}
		for ; sends < 1000 && gateway.scheduler.slowStartAllows(restarted, req); sends++ {
			restarted.sends.Add(gateway.now, 1)
		}
		return sends
	}
	if few, many := budget(1), budget(4); few != many || few < 2 {
		t.Errorf("budget of %d sends with one warm peer, %d with four", few, many)
	}
}

// Rule 5: each way to an end lets go of what is held.
func TestRelease_RequestEnds(t *testing.T) {
	begin := func() *testGateway {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
		gateway.requestChat("a", 1, 0)
		return gateway
	}
	gateway := begin() // the client leaves during the read, whose state comes in later
	gateway.handle(Gone{"a"})
	expectAction[Release](gateway)
	gateway.endAttempt("a", 0, "r1", Parsed)
	expectAction[Release](gateway)
	gateway = begin() // all writers are gone when the read ends
	gateway.handle(Members{Form: ListWhole, Entries: []Server{prefillServer("r1")}})
	gateway.endAttempt("a", 0, "r1", Parsed)
	if runUntilIdle(gateway, 900*ms) != 1 {
		t.Error("no final answer within the release time")
	}
	expectAction[Release](gateway)
	gateway = begin() // the writer fails for good
	gateway.endAttempt("a", 0, "r1", Parsed)
	gateway.handle(Outcome{ID: "a", Attempt: 1, Server: "w1", Status: NoAnswer, Done: true})
	expectAction[Release](gateway)
	gateway = begin() // the reader turns the request away while a place is held, and no other is there
	holder := gateway.scheduler.reqs["a"].ahead
	gateway.handle(PlaceNote{ID: "a", Server: holder.ID, Held: true})
	gateway.endAttempt("a", 0, "r1", TurnedAway)
	expectAction[Release](gateway)
	gateway = begin() // the time is over
	gateway.now += 5 * time.Second
	gateway.endAttempt("a", 0, "r1", NoAnswer)
	expectAction[Refuse](gateway)
	expectAction[Release](gateway)
}
