package router

import (
	"context"
	"errors"
	"testing"
	"time"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lifecycle"
	"ashwood.example/ashwood/limits"
)

// EndUnanswered ends requests whose answer has not started: refused where a retry is safe,
// failed otherwise, and no engine keeps a hold. Started answers continue.
func TestEndUnanswered_KeepsStartedAnswers(t *testing.T) {
	f := newFakeFleet()
	r := startRouter(t, f, Config{LastKnownEngines: testEngines, Limits: limits.Config{}})
	ctx := context.Background()
	started, err := r.Do(ctx, newRequest("b", "order"))
	if err != nil {
		t.Fatal(err)
	}
	f.decodeGate = make(chan struct{})
	for len(f.calls) > 0 {
		<-f.calls
	}
	results := map[string]chan error{"chat": make(chan error, 1), "order": make(chan error, 1)}
	for class, result := range results {
		go func() {
			_, err := r.Do(ctx, newRequest(class, class))
			result <- err
		}()
	}
	waitForCalls(t, f, "decode", "decode")
	r.EndUnanswered()
	var refused *RefusedError
	var failed *FailedError
	if err := <-results["chat"]; !errors.As(err, &refused) || !errors.Is(err, ErrShuttingDown) {
		t.Errorf("pure request: error %v, want a refusal with ErrShuttingDown", err)
	}
	if err := <-results["order"]; !errors.As(err, &failed) || !errors.Is(err, ErrShuttingDown) {
		t.Errorf("request with a side effect: error %v, want a failure with ErrShuttingDown", err)
	}
	f.pieces <- "data: one\n\n"
	close(f.pieces)
	if piece, err := started.Next(); string(piece) != "data: one\n\n" || err != nil {
		t.Errorf("started answer: piece %q, error %v", piece, err)
	}
	started.Close()
	if err := r.Close(); err != nil || f.countHeld() != 0 {
		t.Errorf("Close: error %v, %d holds left", err, f.countHeld())
	}
}

// After SetLifetime, engines are given no more time than the process has left, requests are
// refused from the admission deadline on, and unanswered requests get their reply by the
// answer deadline, even with attempts in flight.
func TestSetLifetime_RefusesAndAnswersInTime(t *testing.T) {
	f := newFakeFleet()
	f.decodeGate = make(chan struct{})
	manual := clock.NewManual(10000)
	r := startRouter(t, f, Config{LastKnownEngines: testEngines}, WithClock(manual))
	results := make(chan error, 2)
	send := func(id string) {
		go func() {
			_, err := r.Do(context.Background(), newRequest(id, "order"))
			results <- err
		}()
		waitForCalls(t, f, "decode")
	}
	send("before")
	r.SetLifetime(lifecycle.AfterSignal(manual.Now(), 30000))
	r.SetLifetime(lifecycle.AfterSignal(manual.Now()+2000, 30000)) // later, so without effect
	manual.Advance(100)
	send("in time")
	if remaining := f.remaining["in time"]; remaining > 2900 {
		t.Errorf("the engine was given %v ms, more than the 2900 left", remaining)
	}
	manual.Advance(500)
	var refused *RefusedError
	lateCtx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := r.Do(lateCtx, newRequest("late", "order")); !errors.As(err, &refused) || !errors.Is(err, ErrShuttingDown) {
		t.Errorf("request after the admission deadline: error %v", err)
	}
	for range 2 {
		var failed *FailedError
		if ms, err := advanceUntil(t, manual, results); !errors.As(err, &failed) || manual.Now() > 10000+3200 { // failed, as the attempts may run
			t.Errorf("unanswered request after %v ms: error %v", ms, err)
		}
	}
	closed := make(chan error, 1)
	go func() { closed <- r.Close() }()
	if advanceUntil(t, manual, closed); f.decodeSends["late"] > 0 || f.countHeld() != 0 {
		t.Errorf("sends %v, %d holds left", f.decodeSends, f.countHeld())
	}
}

// advanceUntil advances the clock until a result arrives, and returns the time advanced in ms.
func advanceUntil(t *testing.T, manual *clock.Manual, result chan error) (elapsed float64, err error) {
	t.Helper()
	for ; elapsed < 60000; elapsed += 50 {
		select {
		case err := <-result:
			return elapsed, err
		case <-time.After(time.Millisecond): // lets other goroutines run
			manual.Advance(50)
		}
	}
	t.Fatal("no result within a minute of the manual clock")
	return elapsed, nil
}
