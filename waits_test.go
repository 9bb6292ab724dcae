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
		n.s.pace[writing].Observe(n.now, 50*ms, 320)
		n.ask("a", 1, 0)
		n.end("a", 0, "r", Parsed)
		a := n.s.reqs["a"].attempts[1]
		limit := n.s.limit(n.s.reqs["a"], a)
		v := n.s.servers["w"]
		v.alive = n.now + 100*ms // it has been at work since
		if overtaken {
			v.began[writing] = n.now + 50*ms
		}
		look := func(after time.Duration) bool {
			n.now = a.sent + after
			n.s.now, n.s.out = n.now, nil
			n.s.overdue(n.s.reqs["a"], 1)
			n.out = n.s.out
			_, left := pick[Cancel](n)
			return left
		}
		if look(limit + limit/2) {
			t.Errorf("overtaken %v: left before twice its time", overtaken)
		}
		slower := n.s.limit(n.s.reqs["a"], a) > limit
		if left := look(2*limit + ms); left != overtaken || slower == overtaken {
			t.Errorf("overtaken %v: left %v after twice its time, slower pace %v", overtaken, left, slower)
		}
	}
}
