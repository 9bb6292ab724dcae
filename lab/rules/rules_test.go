package rules

import (
	"slices"
	"testing"
)

// Each scenario violates one rule, or none; the checker has to report exactly that.
func TestChecker_Scenarios(t *testing.T) {
	nothing := func(string) []string { return nil }
	for _, s := range []struct {
		name string
		tell func(c *Checker)
		want []Rule
	}{
		{"order without faults", func(c *Checker) {
			c.RequestSent(0, "x", "send-order", true, 0)
			c.AttemptSent(1, 1, 0, "r", "x", true, -1)
			c.AttemptEnded(100, "r", "x", Prefilled)
			c.AttemptSent(101, 101, 0, "w", "x", false, -1)
			c.AnswerStarted(150, "w", "x")
			c.AttemptEnded(300, "w", "x", Whole)
			c.RequestAnswered(301, "x", Served)
		}, nil},
		{"order rejected and sent again", func(c *Checker) {
			c.RequestSent(0, "x", "send-order", true, 0)
			c.AttemptSent(1, 1, 0, "w", "x", false, -1)
			c.AttemptEnded(2, "w", "x", Rejected)
			c.AttemptSent(3, 3, 0, "v", "x", false, -1)
			c.AttemptEnded(4, "v", "x", Rejected)
			c.RequestAnswered(5, "x", Refused)
		}, nil},
		{"order sent again after a reset", func(c *Checker) {
			c.RequestSent(0, "x", "send-order", true, 0)
			c.AttemptSent(1, 1, 0, "w", "x", false, -1)
			c.AttemptEnded(2, "w", "x", Reset)
			c.AttemptSent(3, 3, 0, "v", "x", false, -1)
		}, []Rule{Duplicate}},
		{"order refused after its attempt was cancelled", func(c *Checker) {
			c.RequestSent(0, "x", "send-order", true, 0)
			c.AttemptSent(1, 1, 0, "w", "x", false, -1)
			c.AttemptEnded(2000, "w", "x", Cancelled)
			c.RequestAnswered(2001, "x", Refused)
		}, []Rule{Duplicate}},
		{"pure request sent again after a reset", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.AttemptSent(1, 1, 0, "w", "x", false, -1)
			c.AttemptEnded(2, "w", "x", Reset)
			c.AttemptSent(3, 3, 0, "v", "x", false, -1)
			c.AttemptEnded(9, "v", "x", Whole)
			c.RequestAnswered(10, "x", Served)
		}, nil},
		{"side effect executed twice", func(c *Checker) {
			c.RequestSent(0, "x", "send-order", true, 0)
			c.AnswerStarted(1, "w", "x")
			c.AnswerStarted(2, "v", "x")
		}, []Rule{Duplicate}},
		{"two attempts in flight", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.AttemptSent(1, 1, 0, "w", "x", false, -1)
			c.AttemptSent(2, 2, 0, "v", "x", false, -1)
			c.AttemptEnded(60, "w", "x", Cancelled)
		}, []Rule{Duplicate}},
		{"attempt end seen within the tolerance", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.AttemptSent(1, 1, 0, "w", "x", false, -1)
			c.AttemptSent(2, 2, 0, "v", "x", false, -1)
			c.AttemptEnded(40, "w", "x", Cancelled)
		}, nil},
		{"attempt sent after a drain", func(c *Checker) {
			c.GatewayNotified(0, 1, "w", true, 0)
			c.AttemptSent(1000, 1000, 1, "w", "x", false, -1)
			c.AttemptEnded(1001, "w", "x", Rejected)
			c.AttemptSent(1100, 1100, 0, "w", "y", false, -1) // was not notified
			c.AttemptSent(1100, 1100, 1, "w", "z", false, -1)
		}, []Rule{Drain}},
		{"reservation after the drain was reverted", func(c *Checker) {
			c.GatewayNotified(0, 1, "w", true, 0)
			c.GatewayNotified(500, 1, "w", false, 0)
			c.ReservationAnswered(3000, 1, "w", "x", true)
		}, nil},
		{"connection closed without an answer", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.RequestAnswered(9, "x", Dropped)
		}, []Rule{Lost}},
		{"two answers to one request", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.RequestAnswered(9, "x", Refused)
			c.RequestAnswered(10, "x", Served)
		}, []Rule{Lost}},
		{"stream ended late", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.AnswerEvent(100, "x")
			c.RequestAnswered(5200, "x", Broken)
		}, []Rule{Lost}},
		{"stream of an unreachable engine ended late", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.AnswerStarted(50, "w", "x")
			c.AnswerEvent(100, "x")
			c.EngineStopped("w")
			c.RequestAnswered(9200, "x", Broken)
		}, nil},
		{"cold engine overloaded by notified gateways", func(c *Checker) {
			c.GatewayNotified(10, 0, "w", false, 5)
			for i := range 9 {
				c.AttemptSent(20+float64(i), 20+float64(i), 0, "w", string(rune('a'+i)), false, 5)
			}
			c.EngineColdCrashed(30, "w")
		}, []Rule{Cold}},
		{"cold engine overloaded by gateways without notice", func(c *Checker) {
			for i := range 9 {
				c.AttemptSent(20+float64(i), 20+float64(i), 0, "w", string(rune('a'+i)), false, 5)
			}
			c.EngineColdCrashed(30, "w")
		}, nil},
	} {
		c := New(PlatformLimits())
		s.tell(c)
		c.Sweep(1e4, nothing)
		var got []Rule
		for _, b := range c.Violations() {
			got = append(got, b.Rule)
		}
		if !slices.Equal(got, s.want) {
			t.Errorf("%s: violations %v, want %v", s.name, got, s.want)
		}
	}
}

func TestChecker_Pinned(t *testing.T) {
	c := New(PlatformLimits())
	c.RequestSent(0, "x", "case-chat", false, 0)
	c.AttemptSent(1, 1, 0, "r", "x", true, -1)
	holding := func(string) []string { return []string{"r"} }
	c.Sweep(5000, holding) // the prefill is in flight
	c.AttemptEnded(6000, "r", "x", Prefilled)
	c.Sweep(6700, holding)
	if b := c.Violations(); len(b) != 0 {
		t.Fatalf("violations within the limit: %+v", b)
	}
	c.Sweep(6900, holding)
	c.Sweep(7000, holding)
	b := c.Violations()
	if len(b) != 1 || b[0].Rule != Pinned || len(b[0].History) != 3 {
		t.Fatalf("violations %+v", b)
	}
	c.AttemptUndelivered(7100, "w", "y") // sent, and not arrived: the time limit on holds runs on
	c.Sweep(7800, holding)
	if b := c.Violations(); len(b) != 1 {
		t.Fatalf("violation within the limit after an undelivered attempt: %+v", b[1:])
	}
	c.Sweep(8000, holding)
	if b := c.Violations(); len(b) != 2 || b[1].Request != "y" {
		t.Fatalf("held beyond the limit after an undelivered attempt: %+v", b)
	}
	c.RequestAnswered(9100, "y", Timeout)
	c.Sweep(9950, holding)
	if b := c.Violations(); len(b) != 2 {
		t.Fatalf("the same hold is reported twice: %+v", b)
	}
	c.Sweep(1e6, holding)
	if len(c.requests) != 0 {
		t.Fatal("ended requests are not forgotten")
	}
}
