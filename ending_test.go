package ashwood

import (
	"testing"
	"time"
)

// class asks for a request of a class.
func (g *testGateway) requestClass(id, class string) {
	g.t.Helper()
	g.handle(Request{ID: RequestID(id), Class: class, Session: 1, PromptTokens: 320, TimeLeft: 5 * time.Second})
}

// A node that ends gives no attempt more time than it has, and begins none behind its end.
func TestShutdown_AttemptTimeouts(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r"), decodeServer("w", 0))
	gateway.requestClass("early", "pay")
	gateway.now += 100 * ms
	gateway.handle(Ending{At: gateway.now + 3*time.Second})
	gateway.handle(Ending{At: gateway.now + 4*time.Second}) // told again
	gateway.requestClass("late", "chat")
	if a, ok := firstAction[Attempt](gateway); !ok || a.Timeout != 3*time.Second {
		t.Errorf("a request that comes after: %v", gateway.actions)
	}
	gateway.now += time.Second
	gateway.endAttempt("early", 0, "r", Parsed)
	if a, ok := firstAction[Attempt](gateway); !ok || a.Timeout != 2*time.Second {
		t.Errorf("a further attempt of one that was there: %v", gateway.actions)
	}
	gateway.now += 2 * time.Second
	gateway.endAttempt("late", 0, "r", Parsed)
	expectNoAction[Attempt](gateway)
	expectAction[Refuse](gateway)
	expectAction[Release](gateway)
	gateway.requestClass("later", "chat")
	expectNoAction[Attempt](gateway)
	expectAction[Refuse](gateway)
}

// At the end, what waits is answered with its attempts out: refused where nothing may have
// run or a repeat is harmless, failed otherwise. What is held for it is released.
func TestShutdown_PendingRequests(t *testing.T) {
	for _, tt := range []struct {
		name, class string
		decoding    bool
		refused     bool
	}{
		{"an order that is being read", "pay", false, true},
		{"an order at a writer", "pay", true, false},
		{"one that may be repeated at a writer", "chat", true, true},
		{"one that may be repeated in a cell at a writer", "order", true, false},
	} {
		gateway := newGateway(t, testSettings(), prefillServer("r"), decodeServer("w", 0))
		gateway.requestClass("a", tt.class)
		if tt.decoding {
			gateway.endAttempt("a", 0, "r", Parsed)
			gateway.expectSentTo("w")
		}
		gateway.handle(Ending{At: gateway.now + 3*time.Second})
		timer, ok := firstAction[SetTimer](gateway)
		if !ok {
			t.Fatalf("%s: no timer in %v", tt.name, gateway.actions)
		}
		gateway.now = timer.At
		gateway.handle(Timer{Token: timer.Token})
		if _, refused := firstAction[Refuse](gateway); refused != tt.refused {
			t.Errorf("%s: %v", tt.name, gateway.actions)
		}
		if _, failed := firstAction[Fail](gateway); failed == tt.refused {
			t.Errorf("%s: %v", tt.name, gateway.actions)
		}
		expectAction[Cancel](gateway)
		expectAction[Release](gateway)
		gateway.handle(Timer{Token: timer.Token})
		expectNoAction[Refuse](gateway)
	}
}
