package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"ashwood.example/ashwood"
)

// waitAtAnEngine has two releases wait for an engine that was heard and answers no more, and their calls out there.
func (p *fakeTransport) queueReleasesAtEngine(t *testing.T, g *Gateway, hangs bool) (waiting *requestHolds, engine ashwood.ServerID) {
	t.Helper()
	engine = listSilentEngines(p, g, 3)[1]
	waiting = newTestHolds(g, "q0", "r1")
	waiting.release(false)
	newTestHolds(g, "q1", "r1").release(true)
	time.Sleep(time.Second)
	if hangs {
		p.makeHang(engine)
	}
	g.releaser.engineAnswered(ashwood.Server{ID: engine, Zone: "z1"})
	synctest.Wait()
	if g.releaser.searching() {
		t.Fatal("others are searched for beside an engine that was heard")
	}
	return waiting, engine
}

// What becomes of an engine that releases wait for: a call that is ended here, as its request is being sent, tells nothing of it, and
// the others go on waiting for its answers. Once it leaves the list, others are searched for at once.
func TestFallback_EngineWithPendingCalls(t *testing.T) {
	sends := func(_ *Gateway, h *requestHolds, _ ashwood.ServerID) { h.pauseReleases(true) }
	leaves := func(g *Gateway, _ *requestHolds, id ashwood.ServerID) {
		g.UpdateMembership(ashwood.ListPatch, []ashwood.Server{{ID: id, Kind: "w", State: ashwood.StateOff}})
	}
	for name, tt := range map[string]struct {
		hangs     bool
		happens   func(*Gateway, *requestHolds, ashwood.ServerID)
		searching bool
	}{
		"a call that was written is ended here":     {true, sends, false},
		"a call that was not written is ended so":   {false, sends, false},
		"an engine that hangs leaves the list":      {true, leaves, true},
		"one that no connection comes up to leaves": {false, leaves, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := &fakeTransport{silentFor: map[ashwood.ServerID]int{"r1": 1e6, "w1": 1e6}}
			runInBubble(t, p, func(t *testing.T, g *Gateway) {
				h, engine := p.queueReleasesAtEngine(t, g, tt.hangs)
				tt.happens(g, h, engine)
				synctest.Wait()
				if got := g.releaser.searching(); got != tt.searching {
					t.Errorf("others are searched for: %v, want %v", got, tt.searching)
				}
			})
		})
	}
}
