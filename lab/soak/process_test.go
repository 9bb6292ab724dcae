package soak

import (
	"testing"
	"time"
)

// Guards against an excuse for more than the soak's own dials: requests on connections that were opened later than the protocol has new ones, to a
// process stopped before it had to close its listener (seeds 2534, and 905 with its SIGTERM 71 ms late), are no case; all else is owed an answer.
func TestGateway_CouldNotRefuse(t *testing.T) {
	const life = 2 * time.Second
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, tt := range []struct {
		name           string
		dialled        time.Duration // behind SIGTERM
		stop, goOn     time.Duration // of its process; goOn 0 = not before the kill
		never, notTold bool
		allowed        bool
	}{
		{name: "opened late, stopped before the listener's time", dialled: ms(900), stop: ms(388), allowed: true},
		{name: "stopped while it closes the listener", dialled: ms(900), stop: ms(440), allowed: true},
		{name: "stopped before SIGTERM", dialled: ms(900), stop: ms(-100), allowed: true},
		{name: "stopped once the listener had to be closed", dialled: ms(900), stop: ms(460)},
		{name: "opened when the protocol has new connections", dialled: ms(390), stop: ms(300)},
		{name: "opened before SIGTERM", dialled: ms(-3000), stop: ms(300)},
		{name: "it ran again", dialled: ms(900), stop: ms(300), goOn: ms(1000)},
		{name: "it ran again and was stopped again", dialled: ms(1500), stop: ms(300), goOn: ms(310)},
		{name: "never stopped", dialled: ms(900), never: true},
		{name: "never told to end", dialled: ms(900), stop: ms(300), notTold: true},
	} {
		told := time.Now().Add(-life)
		g := &gateway{world: &world{check: newChecker(&Story{Gateways: 1}, told)}, toldOld: told, killed: told.Add(life)}
		if tt.notTold {
			g.toldOld = time.Time{}
		}
		if !tt.never {
			p := pause{from: told.Add(tt.stop)}
			if tt.goOn > 0 {
				p.to = told.Add(tt.goOn)
			}
			g.world.check.pauses[0] = append(g.world.check.pauses[0], p)
		}
		if got := g.couldNotRefuse(told.Add(tt.dialled)); got != tt.allowed {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.allowed)
		}
	}
}

// A process that can run and gets no processor shows in its threads' counts, one that is stopped or has nothing to do does not.
func TestRunDelays_Longest(t *testing.T) {
	before := runDelays{"a": time.Second, "b": 5 * time.Second}
	now := runDelays{"a": time.Second, "b": 5*time.Second + 30*time.Millisecond, "new": 10 * time.Millisecond}
	if got := now.longest(before); got != 30*time.Millisecond {
		t.Errorf("longest %v", got)
	}
	if got := (runDelays{}).longest(before); got != 0 {
		t.Errorf("of a process that has ended: %v", got)
	}
}
