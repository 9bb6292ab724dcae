package ashwood

import (
	"testing"
	"time"
)

// class asks for a request of a class.
func (n *node) askClass(id, class string) {
	n.t.Helper()
	n.do(Request{ID: RequestID(id), Class: class, Session: 1, PromptTokens: 320, TimeLeft: 5 * time.Second})
}

// A node that ends gives no attempt more time than it has, and begins none behind its end.
func TestEnding_AttemptsHaveNoLongerThanTheNode(t *testing.T) {
	n := newNode(t, settings(), reader("r"), writer("w", 0))
	n.askClass("early", "pay")
	n.now += 100 * ms
	n.do(Shutdown{Deadline: n.now + 3*time.Second})
	n.do(Shutdown{Deadline: n.now + 4*time.Second}) // told again
	n.askClass("late", "chat")
	if a, ok := pick[Send](n); !ok || a.Timeout != 3*time.Second {
		t.Errorf("a request that comes after: %v", n.out)
	}
	n.now += time.Second
	n.end("early", 0, "r", StatusPrefilled)
	if a, ok := pick[Send](n); !ok || a.Timeout != 2*time.Second {
		t.Errorf("a further attempt of one that was there: %v", n.out)
	}
	n.now += 2 * time.Second
	n.end("late", 0, "r", StatusPrefilled)
	lacks[Send](n)
	wants[Refuse](n)
	wants[Release](n)
	n.askClass("later", "chat")
	lacks[Send](n)
	wants[Refuse](n)
}

// At the end, what waits is answered with its attempts out: refused where nothing may have
// run or a repeat is harmless, failed otherwise. What is held for it is released.
func TestEnding_WhatWaitsIsAnswered(t *testing.T) {
	for _, tt := range []struct {
		name, class string
		writing     bool
		refused     bool
	}{
		{"an order that is being read", "pay", false, true},
		{"an order at a writer", "pay", true, false},
		{"one that may be repeated at a writer", "chat", true, true},
		{"one that may be repeated in a cell at a writer", "order", true, false},
	} {
		n := newNode(t, settings(), reader("r"), writer("w", 0))
		n.askClass("a", tt.class)
		if tt.writing {
			n.end("a", 0, "r", StatusPrefilled)
			n.sentTo("w")
		}
		n.do(Shutdown{Deadline: n.now + 3*time.Second})
		set, ok := pick[SetTimer](n)
		if !ok {
			t.Fatalf("%s: no timer in %v", tt.name, n.out)
		}
		n.now = set.At
		n.do(TimerFired{Token: set.Token})
		if _, refused := pick[Refuse](n); refused != tt.refused {
			t.Errorf("%s: %v", tt.name, n.out)
		}
		if _, failed := pick[Fail](n); failed == tt.refused {
			t.Errorf("%s: %v", tt.name, n.out)
		}
		wants[Cancel](n)
		wants[Release](n)
		n.do(TimerFired{Token: set.Token})
		lacks[Refuse](n)
	}
}
