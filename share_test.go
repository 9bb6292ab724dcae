package ashwood

import (
	"fmt"
	"testing"
	"time"
)

// Two processes of one gateway, as during a handover, together send a server in slow start no more than one would alone,
// and no less than half of that.
func TestSlowStartBudget_TwoProcesses(t *testing.T) {
	sends := func(processes int) (total int) {
		settings := testSettings()
		settings.Nodes = 3
		settings.Rules = Rules{SlowStartMultiple: 2.5, SlowStartWindow: time.Second, SlowStartCapacity: 0.31, SlowStartDuration: 12 * time.Second, ReleaseTimeout: time.Second}
		for range processes {
			gateway := newGateway(t, settings, prefillServer("warm"), prefillServer("cold"))
			gateway.scheduler.processes = float64(processes)
			starting := gateway.scheduler.servers["cold"]
			for i := range 200 { // work that the warm server is seen to finish
				gateway.scheduler.servers["warm"].warmThroughput.Add(gateway.now+time.Duration(i)*10*time.Millisecond, time.Second, 1000)
			}
			gateway.now += 2 * time.Second
			starting.Started, starting.restartedAt = gateway.now, gateway.now-time.Second
			for range 100 {
				req := &trackedRequest{Request: Request{ID: RequestID(fmt.Sprint(total)), Class: "chat", PromptTokens: 1000}, class: gateway.scheduler.classes["chat"]}
				gateway.scheduler.now = gateway.now
				if req.class == nil {
					t.Fatal("the settings have no class chat")
				}
				gateway.scheduler.classTokens[req.class] = 1000
				if gateway.scheduler.slowStartAllows(starting, req) {
					starting.slowStartSends.Add(gateway.now, 1000)
					total++
				}
			}
		}
		return total
	}
	one, two := sends(1), sends(2)
	if one < 4 || two > one || two < one/2 {
		t.Errorf("one process sends %d, two processes together %d", one, two)
	}
}

// Engines counts the listed engines, without those that are gone, and those of them that get no requests because they
// drain or are ejected.
func TestRouterEngines_ListedAndAvoided(t *testing.T) {
	var clock stubClock
	router, err := NewRouter(testSettings(), 1, &clock, func(Server) {})
	if err != nil {
		t.Fatal(err)
	}
	expect := func(listed, avoided int) {
		t.Helper()
		if l, a := router.CountEngines(); l != listed || a != avoided {
			t.Errorf("%d listed, %d avoided, want %d and %d", l, a, listed, avoided)
		}
	}
	expect(0, 0)
	draining := prefillServer("c")
	draining.State = StateDraining
	router.UpdateMembership(MembershipSnapshot, []Server{prefillServer("a"), prefillServer("b"), draining})
	expect(3, 1)
	router.scheduler.servers["a"].ejected = true
	expect(3, 2)
	gone := prefillServer("b")
	gone.State = StateRemoved
	router.UpdateMembership(MembershipDelta, []Server{gone})
	expect(2, 2)
	router.UpdateMembership(MembershipSnapshot, []Server{prefillServer("b")})
	expect(1, 0)
}

// stubClock is a clock that stands still, in milliseconds.
type stubClock float64

func (c *stubClock) Now() float64 { return float64(*c) }
