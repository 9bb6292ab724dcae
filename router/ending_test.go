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

// Before a process is killed, requests whose answer has not begun are ended: refused where
// trying again does no harm, failed otherwise, and nothing stays held. Answers go on.
func TestWhatWaitsIsEndedAndAnswersGoOn(t *testing.T) {
	f := newFleet()
	r := start(t, f, Config{LastKnownEngines: boxes, Limits: limits.Config{}})
	ctx := context.Background()
	begun, err := r.Do(ctx, request("b", "order"))
	if err != nil {
		t.Fatal(err)
	}
	f.writing = make(chan struct{})
	for len(f.reached) > 0 {
		<-f.reached
	}
	ends := map[string]chan error{"chat": make(chan error, 1), "order": make(chan error, 1)}
	for class, ended := range ends {
		go func() {
			_, err := r.Do(ctx, request(class, class))
			ended <- err
		}()
	}
	until(t, f, "write", "write")
	r.EndUnanswered()
	var refused *RefusedError
	var failed *FailedError
	if err := <-ends["chat"]; !errors.As(err, &refused) || !errors.Is(err, ErrShuttingDown) {
		t.Errorf("a request that may be repeated: %v", err)
	}
	if err := <-ends["order"]; !errors.As(err, &failed) || !errors.Is(err, ErrShuttingDown) {
		t.Errorf("an order: %v", err)
	}
	f.pieces <- "data: one\n\n"
	close(f.pieces)
	if piece, err := begun.Next(); string(piece) != "data: one\n\n" || err != nil {
		t.Errorf("the answer that has begun: %q, %v", piece, err)
	}
	begun.Close()
	if err := r.Close(); err != nil || f.holds() != 0 {
		t.Errorf("%v, %d held", err, f.holds())
	}
}

// A router whose process ends tells engines no longer time than it has, takes nothing on from
// one time on, and answers what waits by the other, whatever attempts are out.
func TestEndBy_RefusesAndAnswersInTime(t *testing.T) {
	f := newFleet()
	f.writing = make(chan struct{})
	c := clock.NewManual(10000)
	r := start(t, f, Config{LastKnownEngines: boxes}, WithClock(c))
	ended := make(chan error, 2)
	ask := func(id string) {
		go func() {
			_, err := r.Do(context.Background(), request(id, "order"))
			ended <- err
		}()
		until(t, f, "write")
	}
	ask("before")
	r.SetLifetime(lifecycle.AfterSignal(c.Now(), 30000))
	r.SetLifetime(lifecycle.AfterSignal(c.Now()+2000, 30000)) // told again
	c.Advance(100)
	ask("in time")
	if told := f.told["in time"]; told > 2900 {
		t.Errorf("an engine was told %v ms of the 2900 left", told)
	}
	c.Advance(500)
	var refused *RefusedError
	late, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := r.Do(late, request("late", "order")); !errors.As(err, &refused) || !errors.Is(err, ErrShuttingDown) {
		t.Errorf("a late request: %v", err)
	}
	for range 2 {
		var failed *FailedError
		if ms, err := advance(t, c, ended); !errors.As(err, &failed) || c.Now() > 10000+3200 { // they may run
			t.Errorf("what waits, %v ms on: %v", ms, err)
		}
	}
	closed := make(chan error, 1)
	go func() { closed <- r.Close() }()
	if advance(t, c, closed); f.sends["late"] > 0 || f.holds() != 0 {
		t.Errorf("sent on %v, %d held", f.sends, f.holds())
	}
}

// advance moves a clock on until something has come, and tells by how much.
func advance(t *testing.T, c *clock.Manual, what chan error) (ms float64, err error) {
	t.Helper()
	for ; ms < 60000; ms += 50 {
		select {
		case err := <-what:
			return ms, err
		case <-time.After(time.Millisecond): // for who runs beside
			c.Advance(50)
		}
	}
	t.Fatal("nothing has come in a minute of the clock")
	return ms, nil
}
