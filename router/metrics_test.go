package router

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"ashwood.example/ashwood/limits"
)

func readMetrics(t *testing.T, r *Router) map[string]string {
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

func checkMetrics(t *testing.T, r *Router, want map[string]string) {
	t.Helper()
	got := readMetrics(t, r)
	for name, value := range want {
		if got[name] != value {
			t.Errorf("%s is %q, want %q", name, got[name], value)
		}
	}
}

// Every way in which a request can end is counted once, under its class and only at the
// router that received it. The attempts shown are those that the fleet received.
func TestWriteMetrics_EachEndCountedOnce(t *testing.T) {
	f, other := newFakeFleet(), newFakeFleet()
	r := startRouter(t, f, Config{LastKnownEngines: testEngines, Limits: limits.Config{Classes: map[string]limits.Limit{"order": {InFlight: 1}}}})
	idleRouter := startRouter(t, other, Config{LastKnownEngines: testEngines})
	ctx := context.Background()
	checkMetrics(t, r, map[string]string{
		"app.fulfilled.chat": "0|c", "app.throttled.order": "0|c", "app.faulted.chat": "0|c",
		"app.open_requests": "0|g", "app.registry_entries": "2|g", "app.out_of_rotation": "0|g",
	})

	// Served concurrently, in pieces.
	const served = 40
	for range served {
		f.pieces <- "data: one\n\n"
	}
	close(f.pieces)
	var all sync.WaitGroup
	for i := range served {
		all.Go(func() {
			a, err := r.Do(ctx, newRequest("s"+string(rune('A'+i)), "chat"))
			if err != nil {
				t.Errorf("%v", err)
				return
			}
			for _, err := range a.Pieces() {
				if err != nil {
					t.Error(err)
				}
			}
			a.Close() // a second Close is not counted
		})
	}
	all.Wait()
	// Refused by a limit while another request is in flight, whose answer then breaks off.
	f.decodeGate = make(chan struct{})
	f.pieces = make(chan string)
	for len(f.calls) > 0 {
		<-f.calls
	}
	answer := make(chan *Answer)
	go func() {
		a, err := r.Do(ctx, newRequest("o1", "order"))
		if err != nil {
			t.Error(err)
		}
		answer <- a
	}()
	waitForCalls(t, f, "decode")
	checkMetrics(t, r, map[string]string{"app.open_requests": "1|g"})
	var refused *RefusedError
	if _, err := r.Do(ctx, newRequest("o2", "order")); !errors.As(err, &refused) {
		t.Errorf("request over the class limit: error %v", err)
	}
	// A duplicate id fails; an unknown class has no counters.
	if _, err := r.Do(ctx, newRequest("o1", "chat")); !errors.Is(err, ErrDuplicate) {
		t.Errorf("id of a request in flight: error %v", err)
	}
	if _, err := r.Do(ctx, newRequest("u", "nonexistent")); !errors.Is(err, ErrUnknownClass) {
		t.Errorf("unknown class: error %v", err)
	}
	close(f.decodeGate)
	a := <-answer
	a.Close() // before the end of the answer
	r.RecordRefusal("chat")
	// A client that disconnects before its answer is not counted.
	f.decodeGate = make(chan struct{})
	clientCtx, disconnect := context.WithCancel(ctx)
	clientErr := make(chan error)
	go func() {
		_, err := r.Do(clientCtx, newRequest("g", "chat"))
		clientErr <- err
	}()
	waitForCalls(t, f, "decode")
	disconnect()
	if err := <-clientErr; !errors.Is(err, ErrClientGone) {
		t.Errorf("disconnected client: error %v", err)
	}
	checkMetrics(t, r, map[string]string{
		"app.fulfilled.chat": "40|c", "app.throttled.order": "1|c", "app.faulted.order": "1|c",
		"app.throttled.chat": "1|c", "app.faulted.chat": "1|c", "app.open_requests": "0|g",
		"app.relayed.order": "2|c", "app.relayed.chat": "82|c", // a prefill and a decode attempt each
	})
	checkMetrics(t, idleRouter, map[string]string{"app.fulfilled.chat": "0|c", "app.relayed.order": "0|c"})
}
