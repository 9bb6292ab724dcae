package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"ashwood.example/ashwood"
)

// waitAtAnEngine has two releases wait for an engine that was heard and answers no more, and their calls out there.
func (p *peer) waitAtAnEngine(t *testing.T, g *Gateway, hangs bool) (waiting *holds, engine ashwood.ServerID) {
	t.Helper()
	engine = fleetOf(p, g, 3)[1]
	waiting = held(g, "q0", "r1")
	waiting.release(false)
	held(g, "q1", "r1").release(true)
	time.Sleep(time.Second)
	if hangs {
		p.hangs(engine)
	}
	g.owner.heard(ashwood.Server{ID: engine, Zone: "z1"})
	synctest.Wait()
	if g.owner.searching() {
		t.Fatal("others are searched for beside an engine that was heard")
	}
	return waiting, engine
}

// What becomes of an engine that releases wait for: a call that is ended here, as its request is being sent, tells nothing of it, and
// the others go on waiting for its answers. Once it leaves the list, others are searched for at once.
func TestHolds_EngineThatIsWaitedFor(t *testing.T) {
	sends := func(_ *Gateway, h *holds, _ ashwood.ServerID) { h.pause(true) }
	leaves := func(g *Gateway, _ *holds, id ashwood.ServerID) {
		g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: id, Kind: "w", State: ashwood.StateRemoved}})
	}
	for name, tt := range map[string]struct {
		hangs     bool
		happens   func(*Gateway, *holds, ashwood.ServerID)
		searching bool
	}{
		"a call that was written is ended here":     {true, sends, false},
		"a call that was not written is ended so":   {false, sends, false},
		"an engine that hangs leaves the list":      {true, leaves, true},
		"one that no connection comes up to leaves": {false, leaves, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := &peer{silent: map[ashwood.ServerID]int{"r1": 1e6, "w1": 1e6}}
			in(t, p, func(t *testing.T, g *Gateway) {
				h, engine := p.waitAtAnEngine(t, g, tt.hangs)
				tt.happens(g, h, engine)
				synctest.Wait()
				if got := g.owner.searching(); got != tt.searching {
					t.Errorf("others are searched for: %v, want %v", got, tt.searching)
				}
			})
		})
	}
}
