package ashwood

import (
	"fmt"
	"testing"
	"time"
)

// Rule 1: with nobody to send to, one refusal comes in time.
func TestRule1AnswerInTime(t *testing.T) {
	for _, list := range [][]Server{nil, {reader("r1")}, {writer("w1", 0)}} {
		n := newNode(t, settings(), list...)
		n.ask("a", 1, 0)
		answers := run(n, 5*time.Second)
		if answers != 1 {
			t.Errorf("list %v: %d final answers in time, want 1", list, answers)
		}
	}
}

// run lets timers fire and reads end for a while and counts final answers.
func run(n *node, d time.Duration) (answers int) {
	var timers []SetTimer
	for end := n.now + d; ; {
		for _, a := range n.out {
			switch a := a.(type) {
			case SetTimer:
				timers = append(timers, a)
			case Refuse, Fail:
				answers++
			case Send:
				timers = append(timers, SetTimer{At: n.now + ms})
			}
		}
		next := -1
		for i, x := range timers {
			if x.At <= end && (next < 0 || x.At < timers[next].At) {
				next = i
			}
		}
		if next < 0 {
			return answers
		}
		x := timers[next]
		timers = append(timers[:next], timers[next+1:]...)
		n.now = max(n.now, x.At)
		if x.Token == 0 {
			n.end("a", 0, "r1", StatusPrefilled)
		} else {
			n.do(TimerFired{x.Token})
		}
	}
}

func TestRule2Effects(t *testing.T) {
	tests := []struct {
		class  string
		status Status
		want   string // where the next attempt goes; refuse or fail otherwise
	}{
		{"chat", StatusServerError, "w2"},
		{"pay", StatusServerError, "fail"}, {"pay", StatusTimedOut, "fail"}, {"pay", StatusCancelled, "fail"},
		{"pay", StatusConnectFailed, "w2"}, {"pay", StatusRejected, "w2"},
		{"order", StatusServerError, "fail"}, // w2 is not of the group
		{"order", StatusConnectFailed, "w2"},
	}
	for _, tt := range tests {
		n := newNode(t, settings(), reader("r1"), writer("w1", 0), writer("w2", 1))
		n.do(Request{ID: "a", Class: tt.class, Session: 1, PromptTokens: 100, TimeLeft: 700 * ms})
		n.end("a", 0, "r1", StatusPrefilled)
		n.sentTo("w1")
		n.end("a", 1, "w1", tt.status)
		if tt.want == "w2" {
			n.sentTo("w2")
			continue
		}
		lacks[Send](n)
		for i := 0; i < 40 && len(n.s.requests) > 0; i++ { // it may look for a server of the group for a while
			n.now += 50 * ms
			if x, ok := pick[SetTimer](n); ok {
				n.do(TimerFired{x.Token})
			}
		}
		wants[Fail](n)
		lacks[Refuse](n)
	}
}

func TestTokenRepeatsStayInGroupAndWindow(t *testing.T) {
	r := &trackedRequest{class: &Class{Effect: TokenEffect, Group: ScopeZone, Window: time.Second}}
	r.firstRun = &trackedAttempt{server: &trackedServer{Server: Server{Zone: "a", Cell: 1}}}
	same, other := &trackedServer{Server: Server{Zone: "a", Cell: 2}}, &trackedServer{Server: Server{Zone: "b", Cell: 1}}
	if !r.mayRunOn(same, 999*ms) || r.mayRunOn(same, time.Second) || r.mayRunOn(other, 0) {
		t.Error("zone group or window not kept")
	}
	r.class.Group = ScopeCell
	if r.mayRunOn(same, 0) || !r.mayRunOn(other, 0) {
		t.Error("cell group not kept")
	}
}

func TestAttemptCap(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), reader("r2"), reader("r3"), reader("r4"), reader("r5"), writer("w1", 0))
	n.ask("a", 1, 0)
	for i := 0; i < 4; i++ {
		a, ok := pick[Send](n)
		if !ok {
			t.Fatalf("attempt %d missing", i)
		}
		n.end("a", i, string(a.Server), StatusServerError)
	}
	wants[Refuse](n)
	lacks[Send](n)
}

func TestRule3NothingToADrainingServer(t *testing.T) {
	for _, state := range []ServerState{StateDraining, StateRemoved} {
		n := newNode(t, settings(), reader("r1"), reader("r2"), writer("w1", 0))
		v := reader("r1")
		v.State = state
		n.do(MembershipUpdate{Form: MembershipDelta, Entries: []Server{v}})
		for i := uint64(0); i < 20; i++ {
			n.ask(fmt.Sprint(i), i, i)
			n.sentTo("r2")
			a := n.s.servers["r2"]
			a.pendingPrefills = 0
		}
	}
	n := newNode(t, settings(), reader("r1"), writer("w1", 0))
	n.do(MembershipUpdate{Form: MembershipSnapshot, Entries: []Server{writer("w1", 0)}}) // absent = gone
	n.ask("a", 1, 0)
	n.sentTo("")
}

// A draining holder of a place gets nothing, though its place was held.
func TestRule3HolderDrains(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0), writer("w2", 0))
	n.ask("a", 1, 0)
	p, _ := pick[Reserve](n)
	n.do(ReservationResult{ID: "a", Server: p.Server, Held: true})
	v := writer(string(p.Server), 0)
	v.State = StateDraining
	n.do(MembershipUpdate{Form: MembershipDelta, Entries: []Server{v}})
	n.end("a", 0, "r1", StatusPrefilled)
	if a, _ := pick[Send](n); a.Server == p.Server || a.Server == "" {
		t.Errorf("sent to %q", a.Server)
	}
}

// Rule 4, and what broke it first: rejected sends swelled the learned rate,
// and with it the budget, until cold servers were pushed over.
func TestRule4ColdBudget(t *testing.T) {
	cold := reader("r1")
	cold.Started = time.Hour
	set := settings()
	set.Limits.MaxAttempts = 0
	n := newNode(t, set, cold, writer("w1", 0))
	sends := 0
	for i := uint64(0); i < 50; i++ {
		n.ask(fmt.Sprint(i), i, 0)
		if a, ok := pick[Send](n); ok {
			sends++
			n.end(fmt.Sprint(i), 0, string(a.Server), StatusRejected)
			n.s.servers["r1"].pausedUntil = 0
		}
		n.now += 10 * ms
	}
	if sends != 1 {
		t.Errorf("%d sends to a cold server in half a window without any known capacity, want 1", sends)
	}
	n.now += set.Rules.SlowStartDuration
	n.ask("late", 1, 0)
	n.sentTo("r1")
}

// In a rolling deploy few warm servers are left; what all did before must not
// be taken for what each of these few can do.
func TestRule4BudgetInARollingDeploy(t *testing.T) {
	budget := func(warm int) (sends int) {
		var list []Server
		for i := 0; i < 5; i++ {
			v := reader(fmt.Sprint("r", i))
			if i >= warm {
				v.Started = time.Hour
			}
			list = append(list, v)
		}
		n := newNode(t, settings(), list...)
		v, r := n.s.servers["r4"], &trackedRequest{class: n.s.classes["chat"]}
		n.s.now, n.s.classTokens[r.class] = n.now, 1
		for _, o := range n.s.sortedServers {
			o.warmThroughput.Add(n.now, time.Second, 200)
		}
		for ; sends < 1000 && n.s.slowStartAllows(v, r); sends++ {
			v.slowStartSends.Add(n.now, 1)
		}
		return sends
	}
	if few, many := budget(1), budget(4); few != many || few < 2 {
		t.Errorf("budget of %d sends with one warm peer, %d with four", few, many)
	}
}

// Rule 5: each way to an end lets go of what is held.
func TestRule5Released(t *testing.T) {
	begin := func() *node {
		n := newNode(t, settings(), reader("r1"), writer("w1", 0))
		n.ask("a", 1, 0)
		return n
	}
	n := begin() // the client leaves during the read, whose state comes in later
	n.do(ClientDisconnected{"a"})
	wants[Release](n)
	n.end("a", 0, "r1", StatusPrefilled)
	wants[Release](n)
	n = begin() // all writers are gone when the read ends
	n.do(MembershipUpdate{Form: MembershipSnapshot, Entries: []Server{reader("r1")}})
	n.end("a", 0, "r1", StatusPrefilled)
	if run(n, 900*ms) != 1 {
		t.Error("no final answer within the release time")
	}
	wants[Release](n)
	n = begin() // the writer fails for good
	n.end("a", 0, "r1", StatusPrefilled)
	n.do(Outcome{ID: "a", Attempt: 1, Server: "w1", Status: StatusTimedOut, RequestDone: true})
	wants[Release](n)
	n = begin() // the reader turns the request away while a place is held, and no other is there
	p := n.s.requests["a"].reservation
	n.do(ReservationResult{ID: "a", Server: p.ID, Held: true})
	n.end("a", 0, "r1", StatusRejected)
	wants[Release](n)
	n = begin() // the time is over
	n.now += 5 * time.Second
	n.end("a", 0, "r1", StatusTimedOut)
	wants[Refuse](n)
	wants[Release](n)
}
