package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"ashwood.example/ashwood"
)

// queueReleasesAtEngine makes two releases pending with calls in flight at an engine that has answered before and
// does not answer any more.
func (f *fakeTransport) queueReleasesAtEngine(t *testing.T, g *Gateway, hangs bool) (waiting *requestHolds, engine ashwood.ServerID) {
	t.Helper()
	engine = listSilentEngines(f, g, 3)[1]
	waiting = newTestHolds(g, "q0", "r1")
	waiting.release(false)
	newTestHolds(g, "q1", "r1").release(true)
	time.Sleep(time.Second)
	if hangs {
		f.makeHang(engine)
	}
	g.releaser.engineAnswered(ashwood.Server{ID: engine, Zone: "z1"})
	synctest.Wait()
	if g.releaser.searching() {
		t.Fatal("searching for engines although one has answered")
	}
	return waiting, engine
}

// Releases are pending at an engine. A call that is cancelled because its request is being sent says nothing about that
// engine, and the other releases keep waiting for its answers. Once the engine leaves the membership, the search for other engines
// starts at once.
func TestFallback_EngineWithPendingCalls(t *testing.T) {
	sends := func(_ *Gateway, h *requestHolds, _ ashwood.ServerID) { h.pauseReleases(true) }
	leaves := func(g *Gateway, _ *requestHolds, id ashwood.ServerID) {
		g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: id, Kind: "w", State: ashwood.StateRemoved}})
	}
	for name, tt := range map[string]struct {
		hangs     bool
		event     func(*Gateway, *requestHolds, ashwood.ServerID)
		searching bool
	}{
		"written call is cancelled":   {true, sends, false},
		"unwritten call is cancelled": {false, sends, false},
		"hanging engine leaves":       {true, leaves, true},
		"unreachable engine leaves":   {false, leaves, true},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &fakeTransport{silentFor: map[ashwood.ServerID]int{"r1": 1e6, "w1": 1e6}}
			runInBubble(t, fake, func(t *testing.T, g *Gateway) {
				h, engine := fake.queueReleasesAtEngine(t, g, tt.hangs)
				tt.event(g, h, engine)
				synctest.Wait()
				if got := g.releaser.searching(); got != tt.searching {
					t.Errorf("searching for other engines: %v, want %v", got, tt.searching)
				}
			})
		})
	}
}
