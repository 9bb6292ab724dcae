package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/metrics"
	"ashwood.example/ashwood/internal/release"
)

// At the usual level an operator sees an engine go silent and come back, once each, whatever
// number of calls it leaves without an answer, and nothing of one that misses a single one.
func TestLiveness_SilentAndHeardAgain(t *testing.T) {
	var text bytes.Buffer
	l := newLiveness(slog.New(slog.NewTextHandler(&text, nil)), clock.NewManual(0))
	l.unanswered("once", "probe")
	l.answered("once")
	for range 5 * silentAfter {
		l.unanswered("w1", "attempt")
	}
	l.answered("w1")
	l.answered("w1")
	for line, want := range map[string]int{"engine silent": 1, "engine heard again": 1, "engine=w1": 2, "once": 0} {
		if got := strings.Count(text.String(), line); got != want {
			t.Errorf("%q is logged %d times, want %d:\n%s", line, got, want, text.String())
		}
	}
	if len(l.engines) > 0 {
		t.Errorf("left: %v", l.engines)
	}
}

// Guards against taking a failure of this machine, a want of sockets, for the silence of an engine: it was told to operators, and the engine
// was not told first in place of others any more.
func TestLiveness_LocalFailures(t *testing.T) {
	p := &peer{local: 4 * silentAfter}
	in(t, p, func(t *testing.T, g *Gateway) {
		p.freed = make(chan string, 9)
		w1 := ashwood.Server{ID: "w1", Kind: "w", State: ashwood.StateActive}
		g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{w1})
		g.owner.heard(w1)
		for range silentAfter {
			g.ask(w1, probeWait)
		}
		held(g, "q", "w1").release(true)
		time.Sleep(10 * time.Second)
		if told := p.toldSoFar(); told["w1"] == 0 {
			t.Errorf("told once this machine could: %v", told)
		}
		g.live.mu.Lock()
		defer g.live.mu.Unlock()
		g.owner.mu.Lock()
		defer g.owner.mu.Unlock()
		if len(g.live.engines) > 0 || len(g.owner.recent) != 1 {
			t.Errorf("taken for silent: %v; heard last: %v", g.live.engines, g.owner.recent)
		}
	})
}

// A hold is counted from its begin to its end, with the age of the oldest, and ends once.
func TestHoldLog_Figures(t *testing.T) {
	c, set := clock.NewManual(0), metrics.New(nil)
	l := newHoldLog(slog.New(slog.DiscardHandler), c, set)
	key := func(id string) release.Key { return release.Key{Engine: "r1", Request: ashwood.RequestID(id)} }
	l.began(key("a"), holdAttempt)
	c.Advance(300)
	l.began(key("b"), holdReservation)
	l.began(key("a"), holdReservation) // it is held already
	if open, oldest := l.figures(); open != 2 || oldest != 300 {
		t.Errorf("%d holds, the oldest for %v ms", open, oldest)
	}
	l.ended(key("a"), metrics.HoldTaken)
	l.ended(key("a"), metrics.HoldReleased)
	if open, oldest := l.figures(); open != 1 || oldest != 0 {
		t.Errorf("%d holds, the oldest for %v ms", open, oldest)
	}
	var text strings.Builder
	if err := set.WriteStatsd(&text, "app", metrics.Gauges{OpenHolds: 1, OldestHoldAge: 2.4}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"app.holds_ended.taken:1|c", "app.holds_ended.released:0|c", "app.holds_open:1|g", "app.holds_oldest_ms:2|g"} {
		if !strings.Contains(text.String(), want+"\n") {
			t.Errorf("%s is not in\n%s", want, text.String())
		}
	}
}
