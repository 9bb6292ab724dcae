package router

import (
	"context"
	"errors"
	"testing"

	"ashwood.example/ashwood/limits"
)

// Before a process is killed, requests whose answer has not begun are ended: refused where
// trying again does no harm, failed otherwise, and nothing stays held. Answers go on.
func TestWhatWaitsIsEndedAndAnswersGoOn(t *testing.T) {
	f := newFleet()
	r := start(t, f, Config{Known: boxes, Limits: limits.Config{}})
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
	r.EndWaiting()
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
