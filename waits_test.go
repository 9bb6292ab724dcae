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
		n := newNode(t, settings(), reader("r"), writer("w", 0))
		n.s.stageLatency[stageDecode].Observe(n.now, 50*ms, 320)
		n.ask("a", 1, 0)
		n.end("a", 0, "r", StatusPrefilled)
		a := n.s.requests["a"].attempts[1]
		limit := n.s.overdueAfter(n.s.requests["a"], a)
		v := n.s.servers["w"]
		v.lastProgressAt = n.now + 100*ms // it has been at work since
		if overtaken {
			v.latestStartedSend[stageDecode] = n.now + 50*ms
		}
		look := func(after time.Duration) bool {
			n.now = a.sentAt + after
			n.s.now, n.s.actions = n.now, nil
			n.s.handleOverdue(n.s.requests["a"], 1)
			n.out = n.s.actions
			_, left := pick[Cancel](n)
			return left
		}
		if look(limit + limit/2) {
			t.Errorf("overtaken %v: left before twice its time", overtaken)
		}
		slower := n.s.overdueAfter(n.s.requests["a"], a) > limit
		if left := look(2*limit + ms); left != overtaken || slower == overtaken {
			t.Errorf("overtaken %v: left %v after twice its time, slower pace %v", overtaken, left, slower)
		}
	}
}

// An order whose connection fell silent waits for as long as its client does, since it
// may have run. Where its writer has begun what was sent later, that says nothing of how
// long writes take: the next silent one is to be found out as soon as this one was.
func TestAnOrderThatOthersOvertookDoesNotSlowThePace(t *testing.T) {
	for _, overtaken := range []bool{true, false} {
		n := newNode(t, settings(), reader("r"), writer("w", 0))
		for range 20 {
			n.s.stageLatency[stageDecode].Observe(n.now, 50*ms, 320)
		}
		n.do(Request{ID: "order", Class: "pay", PromptTokens: 320, TimeLeft: 5 * time.Second})
		n.end("order", 0, "r", StatusPrefilled)
		a := n.s.requests["order"].attempts[1]
		if overtaken {
			n.s.servers["w"].latestStartedSend[stageDecode] = a.sentAt + 50*ms
		}
		before := n.s.overdueAfter(n.s.requests["order"], a)
		n.now += 5 * time.Second
		n.do(Outcome{ID: "order", Attempt: 1, Server: "w", Status: StatusTimedOut, Latency: 5 * time.Second})
		after := n.s.overdueAfter(&trackedRequest{class: n.s.classes["pay"]}, a)
		if slower := after > before; slower == overtaken {
			t.Errorf("overtaken %v: overdue after %v, %v before", overtaken, after, before)
		}
	}
}
