package rules

import (
	"slices"
	"testing"
)

// Each story breaks one rule, or none; the checker has to see that one alone.
func TestStories(t *testing.T) {
	nothing := func(string) []string { return nil }
	for _, s := range []struct {
		name string
		tell func(c *Checker)
		want []Rule
	}{
		{"an ordinary order", func(c *Checker) {
			c.RequestSent(0, "x", "send-order", true, 0)
			c.Sent(1, 1, 0, "r", "x", true, -1)
			c.Ended(100, "r", "x", Read)
			c.Sent(101, 101, 0, "w", "x", false, -1)
			c.Ran(150, "w", "x")
			c.Ended(300, "w", "x", Whole)
			c.RequestAnswered(301, "x", Served)
		}, nil},
		{"an order turned away and sent again", func(c *Checker) {
			c.RequestSent(0, "x", "send-order", true, 0)
			c.Sent(1, 1, 0, "w", "x", false, -1)
			c.Ended(2, "w", "x", Away)
			c.Sent(3, 3, 0, "v", "x", false, -1)
			c.Ended(4, "v", "x", Away)
			c.RequestAnswered(5, "x", Refused)
		}, nil},
		{"an order sent again after a reset", func(c *Checker) {
			c.RequestSent(0, "x", "send-order", true, 0)
			c.Sent(1, 1, 0, "w", "x", false, -1)
			c.Ended(2, "w", "x", Reset)
			c.Sent(3, 3, 0, "v", "x", false, -1)
		}, []Rule{Duplicate}},
		{"an order refused after it was given up", func(c *Checker) {
			c.RequestSent(0, "x", "send-order", true, 0)
			c.Sent(1, 1, 0, "w", "x", false, -1)
			c.Ended(2000, "w", "x", GivenUp)
			c.RequestAnswered(2001, "x", Refused)
		}, []Rule{Duplicate}},
		{"a pure request sent again after a reset", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.Sent(1, 1, 0, "w", "x", false, -1)
			c.Ended(2, "w", "x", Reset)
			c.Sent(3, 3, 0, "v", "x", false, -1)
			c.Ended(9, "v", "x", Whole)
			c.RequestAnswered(10, "x", Served)
		}, nil},
		{"a side effect that runs twice", func(c *Checker) {
			c.RequestSent(0, "x", "send-order", true, 0)
			c.Ran(1, "w", "x")
			c.Ran(2, "v", "x")
		}, []Rule{Duplicate}},
		{"two attempts out", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.Sent(1, 1, 0, "w", "x", false, -1)
			c.Sent(2, 2, 0, "v", "x", false, -1)
			c.Ended(60, "w", "x", GivenUp)
		}, []Rule{Duplicate}},
		{"an end seen a little late", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.Sent(1, 1, 0, "w", "x", false, -1)
			c.Sent(2, 2, 0, "v", "x", false, -1)
			c.Ended(40, "w", "x", GivenUp)
		}, nil},
		{"a send after a drain", func(c *Checker) {
			c.Told(0, 1, "w", true, 0)
			c.Sent(1000, 1000, 1, "w", "x", false, -1)
			c.Ended(1001, "w", "x", Away)
			c.Sent(1100, 1100, 0, "w", "y", false, -1) // was not told
			c.Sent(1100, 1100, 1, "w", "z", false, -1)
		}, []Rule{Drain}},
		{"a send after the drain was taken back", func(c *Checker) {
			c.Told(0, 1, "w", true, 0)
			c.Told(500, 1, "w", false, 0)
			c.Place(3000, 1, "w", "x", true)
		}, nil},
		{"a connection closed on a request", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.RequestAnswered(9, "x", Dropped)
		}, []Rule{Lost}},
		{"two answers", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.RequestAnswered(9, "x", Refused)
			c.RequestAnswered(10, "x", Served)
		}, []Rule{Lost}},
		{"a client left waiting", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.Event(100, "x")
			c.RequestAnswered(5200, "x", Broken)
		}, []Rule{Lost}},
		{"a client left waiting by a box that has vanished", func(c *Checker) {
			c.RequestSent(0, "x", "case-chat", false, 0)
			c.Ran(50, "w", "x")
			c.Event(100, "x")
			c.Stopped("w")
			c.RequestAnswered(9200, "x", Broken)
		}, nil},
		{"a cold box pushed over", func(c *Checker) {
			c.Told(10, 0, "w", false, 5)
			for i := range 9 {
				c.Sent(20+float64(i), 20+float64(i), 0, "w", string(rune('a'+i)), false, 5)
			}
			c.Fell(30, "w")
		}, []Rule{Cold}},
		{"a cold box pushed over by those that did not know", func(c *Checker) {
			for i := range 9 {
				c.Sent(20+float64(i), 20+float64(i), 0, "w", string(rune('a'+i)), false, 5)
			}
			c.Fell(30, "w")
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
			t.Errorf("%s: %v, want %v", s.name, got, s.want)
		}
	}
}

func TestHeldTooLong(t *testing.T) {
	c := New(PlatformLimits())
	c.RequestSent(0, "x", "case-chat", false, 0)
	c.Sent(1, 1, 0, "r", "x", true, -1)
	holding := func(string) []string { return []string{"r"} }
	c.Sweep(5000, holding) // the read is out
	c.Ended(6000, "r", "x", Read)
	c.Sweep(6700, holding)
	if b := c.Violations(); len(b) != 0 {
		t.Fatalf("in time: %+v", b)
	}
	c.Sweep(6900, holding)
	c.Sweep(7000, holding)
	b := c.Violations()
	if len(b) != 1 || b[0].Rule != Pinned || len(b[0].History) != 3 {
		t.Fatalf("%+v", b)
	}
	c.Unheard(7100, "w", "y") // written, and not arrived: the time of what is held runs on
	c.Sweep(7800, holding)
	if b := c.Violations(); len(b) != 1 {
		t.Fatalf("in time beside what a box that has vanished was sent: %+v", b[1:])
	}
	c.Sweep(8000, holding)
	if b := c.Violations(); len(b) != 2 || b[1].Request != "y" {
		t.Fatalf("held beside it: %+v", b)
	}
	c.RequestAnswered(9100, "y", Timeout)
	c.Sweep(9950, holding)
	if b := c.Violations(); len(b) != 2 {
		t.Fatalf("told twice: %+v", b)
	}
	c.Sweep(1e6, holding)
	if len(c.reqs) != 0 {
		t.Fatal("requests are kept for ever")
	}
}
