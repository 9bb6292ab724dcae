package slowstart

import (
	"testing"
	"time"
)

func TestCredit_FractionOfRequest(t *testing.T) {
	c := NewCredit(0, 0.5)
	if c.Covers() {
		t.Error("a credit of half a request permits a send")
	}
	if c.Earn(0.5); !c.Covers() {
		t.Error("a credit of two halves does not permit a send")
	}
	if c.Spend(); c.Covers() {
		t.Error("a credit of one request permits two sends")
	}
}

func TestCredit_Cap(t *testing.T) {
	c := NewCredit(0, 0)
	for range 100 {
		c.Earn(0.7)
	}
	sends := 0
	for ; c.Covers(); sends++ {
		c.Spend()
	}
	if sends != 1 {
		t.Errorf("%d requests permitted, want 1", sends)
	}
}

func TestCredit_ElapsedSincePreviousCall(t *testing.T) {
	c := NewCredit(time.Second, 0)
	for i, want := range []time.Duration{2 * time.Second, 0, time.Second} {
		now := []time.Duration{3 * time.Second, 3 * time.Second, 4 * time.Second}[i]
		if got := c.Elapsed(now); got != want {
			t.Errorf("call %d: %v, want %v", i, got, want)
		}
	}
}

func TestSends_WithinSpan(t *testing.T) {
	var s Sends
	for i := range 5 {
		s.Add(time.Duration(i)*time.Second, 10)
	}
	for span, want := range map[time.Duration]float64{time.Second: 10, 3 * time.Second: 30, time.Minute: 50} {
		if got := s.Within(4*time.Second, span); got != want {
			t.Errorf("within %v: %v, want %v", span, got, want)
		}
	}
}
