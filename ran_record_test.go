package ashwood

import (
	"context"
	"errors"
	"fmt"
	"testing"
)

// Guards against a request with an effect that runs again when it comes again with its id; one that has not run may come again.
func TestRouter_RequestComesAgain(t *testing.T) {
	for _, tt := range []struct {
		class   string
		status  Status // of the attempt at the decode server
		refused bool
	}{
		{"pay", StatusServed, true}, {"pay", StatusCancelled, true}, {"pay", StatusTimedOut, true}, {"pay", StatusConnectionLost, true},
		{"pay", StatusServerError, true}, {"pay", StatusNotSent, false}, {"pay", StatusConnectFailed, false}, {"pay", StatusRejected, false},
		{"order", StatusCancelled, true}, {"chat", StatusServed, false}, {"chat", StatusCancelled, false},
	} {
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

// The record stays within its bound and forgets the oldest first.
func TestRanRecord_Bounds(t *testing.T) {
	var record ranRecord
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
