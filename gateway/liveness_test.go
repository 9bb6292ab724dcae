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

// At the default log level, the silence of an engine and its return are logged once each, however many
// calls it leaves unanswered. An engine that misses a single call is not logged.
func TestLiveness_SilentThenAnswering(t *testing.T) {
	var text bytes.Buffer
	liveness := newLiveness(slog.New(slog.NewTextHandler(&text, nil)), clock.NewManual(0))
	liveness.unanswered("once", "probe")
	liveness.answered("once")
	for range 5 * silentThreshold {
		liveness.unanswered("w1", "attempt")
	}
	liveness.answered("w1")
	liveness.answered("w1")
	for line, want := range map[string]int{"engine silent": 1, "engine answers again": 1, "engine=w1": 2, "once": 0} {
		if got := strings.Count(text.String(), line); got != want {
			t.Errorf("%q is logged %d times, want %d:\n%s", line, got, want, text.String())
		}
	}
	if len(liveness.engines) > 0 {
		t.Errorf("entries left: %v", liveness.engines)
	}
}

// Guards against taking a failure of this machine, such as a lack of sockets, for the silence of an engine: the engine was
// logged as silent, and was not preferred as a substitute any more.
func TestLiveness_LocalFailures(t *testing.T) {
	fake := &fakeTransport{localFailures: 4 * silentThreshold}
	runInBubble(t, fake, func(t *testing.T, g *Gateway) {
		fake.releasedAt = make(chan string, 9)
		w1 := ashwood.Server{ID: "w1", Kind: "w", State: ashwood.StateActive}
		g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{w1})
		g.releaser.engineAnswered(w1)
		for range silentThreshold {
			g.probeWithin(w1, probeTimeout)
		}
		newTestHolds(g, "q", "w1").release(true)
		time.Sleep(10 * time.Second)
		if taken := fake.drainReleaseCounts(); taken["w1"] == 0 {
			t.Errorf("releases taken once this machine could make calls: %v", taken)
		}
		g.liveness.mu.Lock()
		defer g.liveness.mu.Unlock()
		g.releaser.mu.Lock()
		defer g.releaser.mu.Unlock()
		if len(g.liveness.engines) > 0 || len(g.releaser.recentlyAnswered) != 1 {
			t.Errorf("engines counted as silent: %v; engines that answered last: %v", g.liveness.engines, g.releaser.recentlyAnswered)
		}
	})
}

// Open holds are counted with the age of the oldest, and each hold ends only once.
func TestHoldLog_Gauges(t *testing.T) {
	manualClock, counts := clock.NewManual(0), metrics.New(nil)
	holdLog := newHoldLog(slog.New(slog.DiscardHandler), manualClock, counts)
	key := func(id string) release.Key { return release.Key{Engine: "r1", Request: ashwood.RequestID(id)} }
	holdLog.began(key("a"), holdAttempt)
	manualClock.Advance(300)
	holdLog.began(key("b"), holdReservation)
	holdLog.began(key("a"), holdReservation) // already held
	if open, oldest := holdLog.gauges(); open != 2 || oldest != 300 {
		t.Errorf("%d holds, the oldest for %v ms", open, oldest)
	}
	holdLog.ended(key("a"), metrics.HoldTaken)
	holdLog.ended(key("a"), metrics.HoldReleased)
	if open, oldest := holdLog.gauges(); open != 1 || oldest != 0 {
		t.Errorf("%d holds, the oldest for %v ms", open, oldest)
	}
	var text strings.Builder
	if err := counts.WriteStatsd(&text, "app", metrics.Gauges{OpenHolds: 1, OldestHoldAge: 2.4}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"app.holds_ended.taken:1|c", "app.holds_ended.released:0|c", "app.holds_open:1|g", "app.holds_oldest_ms:2|g"} {
		if !strings.Contains(text.String(), want+"\n") {
			t.Errorf("%s is missing in\n%s", want, text.String())
		}
	}
}
