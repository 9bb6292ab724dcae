package ashwood

import (
	"testing"
	"time"
)

// A first token that does not come while its writer begins what was sent later has not
// been slow: its connection may have fallen silent. Its wait must not slow the pace, or
// the time after which it is left would run ahead of it.
func TestAWaitThatOthersOvertookDoesNotSlowThePace(t *testing.T) {
	for _, overtaken := range []bool{true, false} {
		gateway := newGateway(t, testSettings(), prefillServer("r"), decodeServer("w", 0))
		gateway.scheduler.pace[writing].Observe(gateway.now, 50*ms, 320)
		gateway.requestChat("a", 1, 0)
		gateway.endAttempt("a", 0, "r", Parsed)
		attempt := gateway.scheduler.reqs["a"].attempts[1]
		limit := gateway.scheduler.limit(gateway.scheduler.reqs["a"], attempt)
		server := gateway.scheduler.servers["w"]
		server.alive = gateway.now + 100*ms // it has been at work since
		if overtaken {
			server.began[writing] = gateway.now + 50*ms
		}
		checkAfter := func(after time.Duration) bool {
			gateway.now = attempt.sent + after
			gateway.scheduler.now, gateway.scheduler.out = gateway.now, nil
			gateway.scheduler.overdue(gateway.scheduler.reqs["a"], 1)
			gateway.actions = gateway.scheduler.out
			_, cancelled := firstAction[Cancel](gateway)
			return cancelled
		}
		if checkAfter(limit + limit/2) {
			t.Errorf("overtaken %v: left before twice its time", overtaken)
		}
		slower := gateway.scheduler.limit(gateway.scheduler.reqs["a"], attempt) > limit
		if cancelled := checkAfter(2*limit + ms); cancelled != overtaken || slower == overtaken {
			t.Errorf("overtaken %v: left %v after twice its time, slower pace %v", overtaken, cancelled, slower)
		}
	}
}

// An order whose connection fell silent waits for as long as its client does, since it
// may have run. Where its writer has begun what was sent later, that says nothing of how
// long writes take: the next silent one is to be found out as soon as this one was.
func TestAnOrderThatOthersOvertookDoesNotSlowThePace(t *testing.T) {
	for _, overtaken := range []bool{true, false} {
		gateway := newGateway(t, testSettings(), prefillServer("r"), decodeServer("w", 0))
		for range 20 {
			gateway.scheduler.pace[writing].Observe(gateway.now, 50*ms, 320)
		}
		gateway.handle(Request{ID: "order", Class: "pay", PromptTokens: 320, TimeLeft: 5 * time.Second})
		gateway.endAttempt("order", 0, "r", Parsed)
		attempt := gateway.scheduler.reqs["order"].attempts[1]
		if overtaken {
			gateway.scheduler.servers["w"].began[writing] = attempt.sent + 50*ms
		}
		before := gateway.scheduler.limit(gateway.scheduler.reqs["order"], attempt)
		gateway.now += 5 * time.Second
		gateway.handle(Outcome{ID: "order", Attempt: 1, Server: "w", Status: NoAnswer, Latency: 5 * time.Second})
		after := gateway.scheduler.limit(&request{class: gateway.scheduler.classes["pay"]}, attempt)
		if slower := after > before; slower == overtaken {
			t.Errorf("overtaken %v: overdue after %v, %v before", overtaken, after, before)
		}
	}
}
