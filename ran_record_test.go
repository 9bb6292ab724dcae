package ashwood

import (
	"context"
	"errors"
	"fmt"
	"testing"
)

// Guards against a request with an effect that runs again when it comes again with its id; one that has not run may come again.
func TestRouter_RequestComesAgain(t *testing.T) {
	type test struct {
		class   string
		status  Status // of the attempt at the decode server
		refused bool
	}
	var tests []test
	for _, class := range []string{"pay", "order", "chat"} { // whatever its effect
		for status, refused := range map[Status]bool{
			StatusServed: true, StatusCancelled: true, StatusTimedOut: true, StatusConnectionLost: true, StatusServerError: true,
			StatusNotSent: false, StatusConnectFailed: false, StatusRejected: false,
		} {
			tests = append(tests, test{class, status, refused})
		}
	}
	for _, tt := range tests {
		router, clock := newTestRouter(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
		ctx, leave := context.WithCancel(context.Background())
		if _, err := router.Pick(ctx, testCall("a", tt.class)); err != nil {
			t.Fatal(err)
		}
		if step := router.ReportResult("a", 0, Result{Status: StatusPrefilled}); step.Kind != StepSend {
			t.Fatalf("%s: step %v behind the prefill", tt.class, step)
		}
		leave()
		router.ReportResult("a", 1, Result{Status: tt.status})
		_, err := router.Pick(context.Background(), testCall("a", tt.class))
		if errors.Is(err, ErrDuplicate) != tt.refused {
			t.Errorf("%s after status %v: %v", tt.class, tt.status, err)
		}
		if !tt.refused {
			continue
		}
		clock.now += ranRetention + 1
		if _, err := router.Pick(context.Background(), testCall("a", tt.class)); err != nil {
			t.Errorf("%s after the retention: %v", tt.class, err)
		}
	}
}

// Guards against a request that runs beside its first run: its client left, and its server may still be at the prefill.
func TestRouter_PrefillAbandonedComesAgain(t *testing.T) {
	for _, tt := range []struct {
		status  Status // of the prefill
		leaves  bool
		refused bool
	}{
		{StatusCancelled, true, true}, {StatusConnectionLost, true, true}, {StatusTimedOut, true, true},
		{StatusPrefilled, true, false}, {StatusRejected, true, false}, {StatusNotSent, true, false}, {StatusServerError, true, false},
		{StatusConnectionLost, false, false}, // it was refused: its client may try again
	} {
		settings := testSettings()
		settings.Limits.MaxAttempts = 1
		router, _ := newTestRouter(t, settings, prefillServer("r1"), decodeServer("w1", 0))
		ctx, leave := context.WithCancel(context.Background())
		if _, err := router.Pick(ctx, testCall("a", "pay")); err != nil {
			t.Fatal(err)
		}
		if tt.leaves {
			leave()
		}
		router.ReportResult("a", 0, Result{Status: tt.status})
		leave()
		if _, err := router.Pick(ctx, testCall("a", "pay")); errors.Is(err, ErrDuplicate) != tt.refused { // ctx has ended: it does not wait
			t.Errorf("after prefill status %v, client left %v: %v", tt.status, tt.leaves, err)
		}
	}
}

// Guards against a second run of a request whose answer this process has taken over from another.
func TestRouter_AdoptedRequestComesAgain(t *testing.T) {
	router, clock := newTestRouter(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	router.RecordRun("a")
	if _, err := router.Pick(context.Background(), testCall("a", "chat")); !errors.Is(err, ErrDuplicate) {
		t.Errorf("while the answer is remembered: %v", err)
	}
	clock.now += ranRetention + 1
	if _, err := router.Pick(context.Background(), testCall("a", "chat")); err != nil {
		t.Errorf("after the retention: %v", err)
	}
}

// The record stays within its bound and forgets the oldest first.
func TestRanRecord_Bounds(t *testing.T) {
	record := newRanRecord()
	for i := range 3 * maxRanIDs {
		record.add(RequestID(fmt.Sprint(i)), float64(i)/1000)
	}
	last := 3*maxRanIDs - 1
	if len(record.endedAt) != maxRanIDs || len(record.ended) != maxRanIDs {
		t.Errorf("%d and %d ids, want %d", len(record.endedAt), len(record.ended), maxRanIDs)
	}
	if now := float64(last) / 1000; !record.contains(RequestID(fmt.Sprint(last)), now) || record.contains("0", now) {
		t.Error("the record has not the youngest ids")
	}
}
