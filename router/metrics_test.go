package router

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"ashwood.example/ashwood/limits"
)

func vars(t *testing.T, r *Router) map[string]string {
	t.Helper()
	var b strings.Builder
	if err := r.WriteMetrics(&b); err != nil {
		t.Fatal(err)
	}
	values := map[string]string{}
	for line := range strings.Lines(b.String()) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		values[name] = value
	}
	return values
}

func wantVars(t *testing.T, r *Router, want map[string]string) {
	t.Helper()
	got := vars(t, r)
	for name, value := range want {
		if got[name] != value {
			t.Errorf("%s is %q, want %q", name, got[name], value)
		}
	}
}

// Each way in which a request can end is counted once, under its class, at the router that
// it came to; what the fleet saw of attempts is what is shown.
func TestFiguresCountEachEndOnce(t *testing.T) {
	f, other := newFleet(), newFleet()
	r := start(t, f, Config{LastKnownEngines: boxes, Limits: limits.Config{Classes: map[string]limits.Limit{"order": {InFlight: 1}}}})
	idle := start(t, other, Config{LastKnownEngines: boxes})
	ctx := context.Background()
	wantVars(t, r, map[string]string{
		"app.fulfilled.chat": "0|c", "app.throttled.order": "0|c", "app.faulted.chat": "0|c",
		"app.open_requests": "0|g", "app.registry_entries": "2|g", "app.out_of_rotation": "0|g",
	})

	// Served, by many at once, in pieces.
	const many = 40
	for range many {
		f.pieces <- "data: one\n\n"
	}
	close(f.pieces)
	var all sync.WaitGroup
	for i := range many {
		all.Go(func() {
			a, err := r.Do(ctx, request("s"+string(rune('A'+i)), "chat"))
			if err != nil {
				t.Errorf("%v", err)
				return
			}
			for _, err := range a.Pieces() {
				if err != nil {
					t.Error(err)
				}
			}
			a.Close() // again: it is counted once
		})
	}
	all.Wait()
	// Refused by the limits while an order is on its way, which then breaks.
	f.writing = make(chan struct{})
	f.pieces = make(chan string)
	for len(f.reached) > 0 {
		<-f.reached
	}
	answer := make(chan *Answer)
	go func() {
		a, err := r.Do(ctx, request("o1", "order"))
		if err != nil {
			t.Error(err)
		}
		answer <- a
	}()
	until(t, f, "write")
	wantVars(t, r, map[string]string{"app.open_requests": "1|g"})
	var refused *RefusedError
	if _, err := r.Do(ctx, request("o2", "order")); !errors.As(err, &refused) {
		t.Errorf("a second order: %v", err)
	}
	// The same id again fails, and a class that there is none of has no count.
	if _, err := r.Do(ctx, request("o1", "chat")); !errors.Is(err, ErrDuplicate) {
		t.Errorf("the id of a request on its way: %v", err)
	}
	if _, err := r.Do(ctx, request("u", "unheard-of")); !errors.Is(err, ErrUnknownClass) {
		t.Errorf("an unknown class: %v", err)
	}
	close(f.writing)
	a := <-answer
	a.Close() // before its end
	r.TurnAway("chat")
	// A client that leaves before its answer counts nowhere.
	f.writing = make(chan struct{})
	gone, leave := context.WithCancel(ctx)
	left := make(chan error)
	go func() {
		_, err := r.Do(gone, request("g", "chat"))
		left <- err
	}()
	until(t, f, "write")
	leave()
	if err := <-left; !errors.Is(err, ErrClientGone) {
		t.Errorf("a client that left: %v", err)
	}
	wantVars(t, r, map[string]string{
		"app.fulfilled.chat": "40|c", "app.throttled.order": "1|c", "app.faulted.order": "1|c",
		"app.throttled.chat": "1|c", "app.faulted.chat": "1|c", "app.open_requests": "0|g",
		"app.relayed.order": "2|c", "app.relayed.chat": "82|c", // a read and a write each
	})
	wantVars(t, idle, map[string]string{"app.fulfilled.chat": "0|c", "app.relayed.order": "0|c"})
}
