package soak

import (
	"testing"
	"time"
)

// Guards against excusing too much. Only requests on connections that were opened later than the protocol allows, to a process stopped
// before it had to close its listener, need no answer (seeds 2534, and 905 with its SIGTERM 71 ms late).
func TestGateway_CouldNotRefuse(t *testing.T) {
	const life = 2 * time.Second
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, tt := range []struct {
		name                       string
		dialledAfter               time.Duration // after SIGTERM
		pause, resume              time.Duration // of its process, after SIGTERM; resume 0 = not before SIGKILL
		neverPaused, notTerminated bool
		allowed                    bool
	}{
		{name: "opened late, stopped before the listener's time limit", dialledAfter: ms(900), pause: ms(388), allowed: true},
		{name: "stopped while it may still close the listener", dialledAfter: ms(900), pause: ms(440), allowed: true},
		{name: "stopped before SIGTERM", dialledAfter: ms(900), pause: ms(-100), allowed: true},
		{name: "stopped once the listener had to be closed", dialledAfter: ms(900), pause: ms(460)},
		{name: "opened while the protocol allows new connections", dialledAfter: ms(390), pause: ms(300)},
		{name: "opened before SIGTERM", dialledAfter: ms(-3000), pause: ms(300)},
		{name: "it ran again", dialledAfter: ms(900), pause: ms(300), resume: ms(1000)},
		{name: "it ran again and was stopped again", dialledAfter: ms(1500), pause: ms(300), resume: ms(310)},
		{name: "never stopped", dialledAfter: ms(900), neverPaused: true},
		{name: "no SIGTERM", dialledAfter: ms(900), pause: ms(300), notTerminated: true},
	} {
		termAt := time.Now().Add(-life)
		g := &gateway{testbed: &testbed{checker: newChecker(&FaultScenario{Gateways: 1}, termAt)}, lastTermAt: termAt, killedAt: termAt.Add(life)}
		if tt.notTerminated {
			g.lastTermAt = time.Time{}
		}
		if !tt.neverPaused {
			p := interval{from: termAt.Add(tt.pause)}
			if tt.resume > 0 {
				p.to = termAt.Add(tt.resume)
			}
			g.testbed.checker.pauses[0] = append(g.testbed.checker.pauses[0], p)
		}
		if got := g.couldNotRefuse(termAt.Add(tt.dialledAfter)); got != tt.allowed {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.allowed)
		}
	}
}

// A process that is runnable and gets no processor shows in the delays of its threads: the largest increase of one thread counts, a new
// thread from 0, an exited one not at all.
func TestRunDelays_MaxIncrease(t *testing.T) {
	before := runDelays{"a": time.Second, "b": 5 * time.Second}
	now := runDelays{"a": time.Second, "b": 5*time.Second + 30*time.Millisecond, "new": 10 * time.Millisecond}
	if got := now.maxIncrease(before); got != 30*time.Millisecond {
		t.Errorf("longest increase %v", got)
	}
	if got := (runDelays{}).maxIncrease(before); got != 0 {
		t.Errorf("longest increase of an exited process: %v", got)
	}
}
