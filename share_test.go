package ashwood

import (
	"fmt"
	"testing"
	"time"
)

// Two processes that count as one node send a cold server together no more than the one
// alone would, and an engine that the list has lost or drains counts as it should.
func TestProcessesShareTheColdBudget(t *testing.T) {
	sends := func(processes int) (n int) {
		set := settings()
		set.Nodes = 3
		set.Rules = Rules{SlowStartMultiple: 2.5, SlowStartWindow: time.Second, SlowStartCapacity: 0.31, SlowStartDuration: 12 * time.Second, ReleaseTimeout: time.Second}
		for range processes {
			r := newNode(t, set, reader("warm"), reader("cold"))
			r.s.processes = float64(processes)
			cold := r.s.servers["cold"]
			for i := range 200 { // what a warm reader is seen to do
				r.s.servers["warm"].warmThroughput.Add(r.now+time.Duration(i)*10*time.Millisecond, time.Second, 1000)
			}
			r.now += 2 * time.Second
			cold.Started, cold.restartedAt = r.now, r.now-time.Second
			for range 100 {
				q := &trackedRequest{Request: Request{ID: RequestID(fmt.Sprint(n)), Class: "chat", PromptTokens: 1000}, class: r.s.classes["chat"]}
				r.s.now = r.now
				if q.class == nil {
					t.Fatal("no such class")
				}
				r.s.classTokens[q.class] = 1000
				if r.s.slowStartAllows(cold, q) {
					cold.slowStartSends.Add(r.now, 1000)
					n++
				}
			}
		}
		return n
	}
	one, two := sends(1), sends(2)
	if one < 4 || two > one || two < one/2 {
		t.Errorf("one process sends %d, two together %d", one, two)
	}
}

func TestEnginesListedAndAvoided(t *testing.T) {
	var now stubClock
	r, err := NewRouter(settings(), 1, &now, func(Server) {})
	if err != nil {
		t.Fatal(err)
	}
	want := func(listed, avoided int) {
		t.Helper()
		if l, a := r.CountEngines(); l != listed || a != avoided {
			t.Errorf("%d listed, %d avoided, want %d and %d", l, a, listed, avoided)
		}
	}
	want(0, 0)
	draining := reader("c")
	draining.State = StateDraining
	r.Update(MembershipSnapshot, []Server{reader("a"), reader("b"), draining})
	want(3, 1)
	r.scheduler.servers["a"].ejected = true
	want(3, 2)
	gone := reader("b")
	gone.State = StateRemoved
	r.Update(MembershipDelta, []Server{gone})
	want(2, 2)
	r.Update(MembershipSnapshot, []Server{reader("b")})
	want(1, 0)
}

type stubClock float64

func (c *stubClock) Now() float64 { return float64(*c) }
