package ashwood

import (
	"testing"
	"time"
)

// If a decode server begins to answer later requests first, a missing first token doesn't show that it is slow: the
// connection may have gone silent. The wait must not raise the latency estimate, or the time after which the attempt is
// cancelled would grow as fast as the wait itself.
func TestLatencyEstimate_LaterSendAnsweredFirst(t *testing.T) {
	for _, overtaken := range []bool{true, false} {
		gateway := newGateway(t, testSettings(), prefillServer("r"), decodeServer("w", 0))
		gateway.scheduler.stageLatency[stageDecode].Observe(gateway.now, 50*ms, 320)
		gateway.requestChat("a", 1, 0)
		gateway.endAttempt("a", 0, "r", StatusPrefilled)
		attempt := gateway.scheduler.requests["a"].attempts[1]
		limit := gateway.scheduler.overdueAfter(gateway.scheduler.requests["a"], attempt)
		server := gateway.scheduler.servers["w"]
		server.lastProgressAt = gateway.now + 100*ms // the server has finished other work since
		if overtaken {
			server.latestStartedSend[stageDecode] = gateway.now + 50*ms
		}
		checkAfter := func(after time.Duration) bool {
			gateway.now = attempt.sentAt + after
			gateway.scheduler.now, gateway.scheduler.actions = gateway.now, nil
			gateway.scheduler.handleOverdue(gateway.scheduler.requests["a"], 1)
			gateway.actions = gateway.scheduler.actions
			_, cancelled := firstAction[Cancel](gateway)
			return cancelled
		}
		if checkAfter(limit + limit/2) {
			t.Errorf("later request answered first %v: cancelled before twice the limit", overtaken)
		}
		slower := gateway.scheduler.overdueAfter(gateway.scheduler.requests["a"], attempt) > limit
		if cancelled := checkAfter(2*limit + ms); cancelled != overtaken || slower == overtaken {
			t.Errorf("later request answered first %v: cancelled %v after twice the limit, latency estimate raised %v", overtaken, cancelled, slower)
		}
	}
}

// A request with a side effect whose connection has gone silent waits for as long as its client does, since it may have
// run. If its decode server has begun to answer a later request, that wait says nothing of how long decodes take, and must
// not raise the latency estimate: the next silent connection is to be detected as soon as this one.
func TestLatencyEstimate_SideEffectNeverAnswered(t *testing.T) {
	for _, overtaken := range []bool{true, false} {
		gateway := newGateway(t, testSettings(), prefillServer("r"), decodeServer("w", 0))
		for range 20 {
			gateway.scheduler.stageLatency[stageDecode].Observe(gateway.now, 50*ms, 320)
		}
		gateway.handle(Request{ID: "order", Class: "pay", PromptTokens: 320, TimeLeft: 5 * time.Second})
		gateway.endAttempt("order", 0, "r", StatusPrefilled)
		attempt := gateway.scheduler.requests["order"].attempts[1]
		if overtaken {
			gateway.scheduler.servers["w"].latestStartedSend[stageDecode] = attempt.sentAt + 50*ms
		}
		before := gateway.scheduler.overdueAfter(gateway.scheduler.requests["order"], attempt)
		gateway.now += 5 * time.Second
		gateway.handle(Outcome{ID: "order", Attempt: 1, Server: "w", Status: StatusTimedOut, Latency: 5 * time.Second})
		after := gateway.scheduler.overdueAfter(&trackedRequest{class: gateway.scheduler.classes["pay"]}, attempt)
		if slower := after > before; slower == overtaken {
			t.Errorf("later request answered first %v: overdue after %v, before the outcome after %v", overtaken, after, before)
		}
	}
}
