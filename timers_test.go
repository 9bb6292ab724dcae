package ashwood

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// Guards against memory that grows with the requests that have ended, for as long as their clients said they would wait.
func TestRouter_TimersOfEndedRequests(t *testing.T) {
	const requests, day = 5000, 86400e3
	router, _ := newTestRouter(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	for i := range requests {
		ctx, leave := context.WithCancel(context.Background())
		request := testCall(fmt.Sprint("q", i), "chat")
		request.Remaining = day
		step, err := router.Pick(ctx, request)
		if err != nil || step.Kind != StepSend {
			t.Fatalf("request %d: step %v, %v", i, step, err)
		}
		leave()
		router.ReportResult(request.ID, 0, Result{Status: StatusCancelled})
	}
	if pending, kept := len(router.scheduler.timers), len(router.timers); pending > 0 || kept > maxStaleTimers {
		t.Errorf("%d timers pending and %d kept, want none and at most %d", pending, kept, maxStaleTimers)
	}
}

// Guards against timers of a request that act on a later request of the same id.
func TestScheduler_TimersOfEarlierRequestWithSameID(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 0))
	gateway.requestChat("a", 1, 0)
	for attempt, status := range []Status{StatusPrefilled, StatusRejected} {
		send, _ := firstAction[Send](gateway)
		gateway.endAttempt("a", attempt, string(send.Server), status)
	}
	send, sent := firstAction[Send](gateway)
	gateway.handle(ClientDisconnected{"a"})
	gateway.endAttempt("a", 2, string(send.Server), StatusCancelled)
	if !sent || gateway.scheduler.requests["a"] != nil {
		t.Fatalf("a third attempt is made: %v; the request has ended: %v", sent, gateway.scheduler.requests["a"] == nil)
	}
	earlier := len(gateway.timers)
	gateway.requestChat("a", 1, 0)
	gateway.now += 5 * time.Second
	for _, timer := range gateway.timers[:earlier] {
		if actions := gateway.handle(TimerFired{timer.Token}); len(actions) > 0 {
			t.Errorf("timer %d of the earlier request led to %v", timer.Token, actions)
		}
	}
}
