package main

import (
	"context"
	"testing"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lifecycle"
)

// A signal counts from when it may have been sent: one that comes as the process goes on
// after it was stopped may be as old as the stop.
func TestNotice_ASignalMayBeAsOldAsAStop(t *testing.T) {
	set := ashwood.Settings{Classes: []ashwood.Class{{Deadline: 15 * time.Second}}}
	for _, tt := range []struct {
		name string
		gap  float64 // ms for which the process does not run
		then float64 // ms from its end to the signal
		want float64 // AnswerBy, in ms from the last beat before
	}{
		{"as ever", 100, 0, 3100},
		{"held up for an ordinary time", 150, 0, 3150},
		{"held up for longer", 200, 0, 3000},
		{"stopped", 2000, 0, 3000},
		{"stopped, and the beat runs before the signal", 2000, 1, 3000},
		{"stopped long before", 2000, 1000, 6000},
	} {
		c := clock.NewManual(10000)
		n := newNotice(context.Background(), c)
		if l := n.lifetime(set); !l.Admits(1e12) {
			t.Errorf("%s: not told, it is %+v", tt.name, l)
		}
		n.stop() // of a process that does not run, no timer does
		c.Advance(tt.gap)
		if tt.then > 0 {
			n.beat()
			for left := tt.then; left > 0; left -= min(left, beatEvery) {
				n.stop()
				c.Advance(min(left, beatEvery))
				n.beat()
			}
		}
		n.tell()
		if got := n.lifetime(set).AnswerBy - 10000; got != tt.want {
			t.Errorf("%s: answers by %v, want %v", tt.name, got, tt.want)
		}
		n.close()
	}
}

// Those who promise anything know what the process has left to live before anybody sees that
// it is told, and at once if they come later.
func TestNotice_SubscribersHearFirst(t *testing.T) {
	set := ashwood.Settings{Classes: []ashwood.Class{{Deadline: 15 * time.Second}}}
	ctx, cancel := context.WithCancel(context.Background())
	n := newNotice(ctx, clock.NewManual(10000))
	defer n.close()
	var early, late float64
	n.subscribe(set, func(l lifecycle.Lifetime) {
		if early = l.AnswerBy; n.Err() != nil {
			t.Error("told to all before those who promise")
		}
	})
	if early != 0 {
		t.Error("told without a signal")
	}
	n.hear(cancel)
	n.subscribe(set, func(l lifecycle.Lifetime) { late = l.AnswerBy })
	if n.Err() == nil || early != 13000 || late != 13000 {
		t.Errorf("%v, answers by %v and %v", n.Err(), early, late)
	}
}
