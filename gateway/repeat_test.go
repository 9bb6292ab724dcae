package gateway

import (
	"testing"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
)

// Guards against repeats of an uncertain release that no engine received (soak seed 13 in the CI script, gateway 4). The decode
// engine e3 dies during an attempt, and 0.5 ms later e6, which holds the KV state, takes the release ("release … engine=e6 try=0 ms=0.55
// err=<nil>", "released … end=made"). e6 has not noticed the end of the attempt yet, and drops nothing. The repeat 150 ms later meets
// a cut ("release … engine=e6 try=0 ms=250.4 … i/o timeout"). The log then shows nothing for that request until e6 is reachable 0.8 s
// later, although e1 was reachable all the time. Substitutes were tried for a first release, but not for repeats.

// makeUnreachable has an engine take no more calls from now on.
func (f *fakeTransport) makeUnreachable(id ashwood.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silentFor == nil {
		f.silentFor = map[ashwood.ServerID]int{}
	}
	f.silentFor[id] = 1e6
}

// releaseUncertainThenSilence has an engine take an uncertain release, and then no more calls.
func (f *fakeTransport) releaseUncertainThenSilence(t *testing.T, g *Gateway, engine ashwood.ServerID, final bool) *requestHolds {
	t.Helper()
	h := newTestHolds(g, "q", engine)
	h.markAbandoned(ashwood.Server{ID: engine})
	h.release(final)
	f.wantNextRelease(t, string(engine))
	f.makeUnreachable(engine)
	return h
}

// If the engine that took an uncertain release becomes unreachable, another engine takes the repeats, within the rule's time of 800 ms and
// one call each: the first that becomes reachable if none answers.
func TestFallback_Repeats(t *testing.T) {
	const repeats = 2
	for name, tt := range map[string]struct {
		silence           time.Duration // of the other engines
		answering         int           // number of other engines that answer after it
		oneAnsweredBefore bool          // one of them has answered before
	}{
		"one other engine":             {0, 1, false},
		"several, one answered before": {0, 5, true},
		"one reachable later":          {3 * time.Second, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			inSilentFleet(t, 5, func(t *testing.T, fake *fakeTransport, g *Gateway, fleet []ashwood.ServerID) {
				fake.makeReachable("r1")
				fake.releaseUncertainThenSilence(t, g, "r1", true)
				time.Sleep(tt.silence)
				for _, id := range fleet[:tt.answering] {
					fake.makeReachable(id)
				}
				if tt.oneAnsweredBefore {
					g.releaser.engineAnswered(ashwood.Server{ID: fleet[0], Zone: "z0"})
				}
				time.Sleep(releaseRuleTime)
				taken := fake.drainReleaseCounts()
				if n := taken[string(fleet[0])]; len(taken) != 1 || n < 1 || n > repeats {
					t.Errorf("releases taken: %v within %v, want %s alone and at most %d", taken, releaseRuleTime, fleet[0], repeats)
				}
				time.Sleep(10 * time.Second)
				if more := fake.drainReleaseCounts()[string(fleet[0])]; taken[string(fleet[0])]+more > repeats {
					t.Errorf("releases taken: %v, then %d more", taken, more)
				}
			})
		})
	}
}

// While the request is on its way to an engine, no substitute is sent the repeats of an unreachable engine, nor once the
// request has arrived.
func TestFallback_RepeatsPausedDuringSend(t *testing.T) {
	for name, tt := range map[string]struct {
		after    time.Duration // from the release to the send
		restarts bool          // the engine restarts during the send
		arrives  bool
	}{
		"sent before the repeat, arrives":  {0, false, true},
		"sent while a repeat is in flight": {(firstRepeatDelay + 10) * time.Millisecond, false, true},
		"engine restarts, arrives":         {10 * time.Millisecond, true, true},
		"engine restarts, no sign":         {10 * time.Millisecond, true, false},
		"sent before the repeat, no sign":  {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &fakeTransport{}
			runInBubble(t, fake, func(t *testing.T, g *Gateway) {
				h := fake.releaseUncertainThenSilence(t, g, "r1", false)
				time.Sleep(tt.after)
				h.pauseReleases(true)
				if tt.restarts {
					g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "r1", Kind: "r", State: ashwood.StateActive, Started: clock.Duration(g.clock.Now())}})
				}
				time.Sleep(2 * time.Second)
				if taken := fake.drainReleaseCounts(); len(taken) > 0 {
					t.Errorf("releases taken during the send: %v", taken)
				}
				if !tt.arrives {
					h.pauseReleases(false)
					fake.wantNextRelease(t, "w1")
					return
				}
				g.releaser.attemptArrived(h.id, h.unconfirmedEngines())
				time.Sleep(2 * time.Second)
				if taken := fake.drainReleaseCounts(); len(taken) > 0 {
					t.Errorf("releases taken after the request arrived: %v", taken)
				}
			})
		})
	}
}

// If the engine itself becomes reachable first, it takes the repeats, and no other engine is sent any.
func TestFallback_RepeatsAtHolder(t *testing.T) {
	inSilentFleet(t, 5, func(t *testing.T, fake *fakeTransport, g *Gateway, fleet []ashwood.ServerID) {
		fake.makeReachable("r1")
		fake.releaseUncertainThenSilence(t, g, "r1", true)
		time.Sleep(2 * time.Second)
		fake.makeReachable("r1")
		time.Sleep(2 * time.Second)
		fake.makeReachable(fleet[2])
		time.Sleep(2 * time.Second)
		if taken := fake.drainReleaseCounts(); len(taken) != 1 || taken["r1"] != 2 {
			t.Errorf("releases taken: %v, want two repeats at r1", taken)
		}
	})
}

// An engine that took an uncertain release and then restarts or leaves holds nothing, but another, unreachable holder may. A
// substitute takes the release within the rule's time. Guards against a fault seen in soak seed 13 (1 of 40 runs beside 7 others): e3
// takes the release in the millisecond in which it dies ("release … engine=e3 try=0 ms=0.82 err=<nil>"), which counted as delivered for
// e0 as well; e0 could not be reached for 0.96 s ("engine=e0 … i/o timeout"), and no other engine was tried.
func TestFallback_RepeatsAfterRestart(t *testing.T) {
	for name, change := range map[string]func(*Gateway){
		"dies": func(*Gateway) {},
		"restarts": func(g *Gateway) {
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w1", Kind: "w", State: ashwood.StateActive, Started: clock.Duration(g.clock.Now())}})
		},
		"leaves": func(g *Gateway) {
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w1", Kind: "w", State: ashwood.StateRemoved}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &fakeTransport{silentFor: map[ashwood.ServerID]int{"r1": 1e6}}
			runInBubble(t, fake, func(t *testing.T, g *Gateway) {
				fleet := listSilentEngines(fake, g, 5)
				h := newTestHolds(g, "q", "r1", "w1")
				h.markAbandoned(ashwood.Server{ID: "w1"})
				h.release(true)
				fake.wantNextRelease(t, "w1")
				fake.makeUnreachable("w1")
				fake.makeReachable(fleet[3])
				time.Sleep(10 * time.Millisecond)
				change(g)
				if d := fake.wantNextRelease(t, string(fleet[3])); d > releaseRuleTime {
					t.Errorf("release taken after %v", d)
				}
			})
		})
	}
}
