package main

import (
	"context"
	"testing"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lifecycle"
)

// A signal counts from the earliest time at which it may have been sent: one that arrives as a
// stopped process continues may be as old as the start of the pause.
func TestShutdownNotice_SignalAfterPause(t *testing.T) {
	settings := ashwood.Settings{Classes: []ashwood.Class{{Deadline: 15 * time.Second}}}
	for _, tt := range []struct {
		name        string
		gap         float64 // ms between the last heartbeat and the time when the process runs again
		untilSignal float64 // ms from the end of the gap to the signal
		want        float64 // AnswerBy, in ms after the last heartbeat before the gap
	}{
		{"no pause", 100, 0, 3100},
		{"delay at the threshold", 150, 0, 3150},
		{"delay beyond the threshold", 200, 0, 3000},
		{"stopped", 2000, 0, 3000},
		{"stopped, heartbeat runs before the signal", 2000, 1, 3000},
		{"stopped long before the signal", 2000, 1000, 6000},
	} {
		manual := clock.NewManual(10000)
		n := newShutdownNotice(context.Background(), manual)
		if l := n.lifetime(settings); !l.Admits(1e12) {
			t.Errorf("%s: before a signal, the lifetime is %+v", tt.name, l)
		}
		n.stopTimer() // timers don't fire while a process is stopped
		manual.Advance(tt.gap)
		if tt.untilSignal > 0 {
			n.heartbeat()
			for remaining := tt.untilSignal; remaining > 0; remaining -= min(remaining, heartbeatInterval) {
				n.stopTimer()
				manual.Advance(min(remaining, heartbeatInterval))
				n.heartbeat()
			}
		}
		n.recordSignal()
		if got := n.lifetime(settings).AnswerBy - 10000; got != tt.want {
			t.Errorf("%s: AnswerBy is %v, want %v", tt.name, got, tt.want)
		}
		n.close()
	}
}

// Subscribers must know the remaining lifetime before the context is cancelled, and at once if
// they subscribe after the signal.
func TestShutdownNotice_SubscribersCalledFirst(t *testing.T) {
	settings := ashwood.Settings{Classes: []ashwood.Class{{Deadline: 15 * time.Second}}}
	ctx, cancel := context.WithCancel(context.Background())
	n := newShutdownNotice(ctx, clock.NewManual(10000))
	defer n.close()
	var early, late float64
	n.subscribe(settings, func(l lifecycle.Lifetime) {
		if early = l.AnswerBy; n.Err() != nil {
			t.Error("the context was cancelled before the subscriber was called")
		}
	})
	if early != 0 {
		t.Error("the subscriber was called without a signal")
	}
	n.handleSignal(cancel)
	n.subscribe(settings, func(l lifecycle.Lifetime) { late = l.AnswerBy })
	if n.Err() == nil || early != 13000 || late != 13000 {
		t.Errorf("%v, AnswerBy is %v and %v", n.Err(), early, late)
	}
}
