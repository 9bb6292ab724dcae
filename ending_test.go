package ashwood

import (
	"testing"
	"time"
)

// requestClass brings a request of a class, without a shared prefix.
func (g *testGateway) requestClass(id, class string) {
	g.t.Helper()
	g.handle(Request{ID: RequestID(id), Class: class, Session: 1, PromptTokens: 320, TimeLeft: 5 * time.Second})
}

// A gateway that shuts down gives no attempt a timeout beyond its own end, and starts none after it. Otherwise it would
// promise clients and servers answers that it can no longer pass on.
func TestShutdown_AttemptTimeouts(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r"), decodeServer("w", 0))
	gateway.requestClass("early", "pay")
	gateway.now += 100 * ms
	gateway.handle(Shutdown{Deadline: gateway.now + 3*time.Second})
	gateway.handle(Shutdown{Deadline: gateway.now + 4*time.Second}) // a later end than the first doesn't count
	gateway.requestClass("late", "chat")
	if a, ok := firstAction[Send](gateway); !ok || a.Timeout != 3*time.Second {
		t.Errorf("request that came after the shutdown began: actions %v, want an attempt with a timeout of 3s", gateway.actions)
	}
	gateway.now += time.Second
	gateway.endAttempt("early", 0, "r", StatusPrefilled)
	if a, ok := firstAction[Send](gateway); !ok || a.Timeout != 2*time.Second {
		t.Errorf("next attempt of a request that was there before: actions %v, want one with a timeout of 2s", gateway.actions)
	}
	gateway.now += 2 * time.Second
	gateway.endAttempt("late", 0, "r", StatusPrefilled)
	expectNoAction[Send](gateway)
	expectAction[Refuse](gateway)
	expectAction[Release](gateway)
	gateway.requestClass("later", "chat")
	expectNoAction[Send](gateway)
	expectAction[Refuse](gateway)
}

// When the gateway ends, pending requests get their final answers although attempts are in flight: a refusal where
// nothing may have run or a repeat does no harm, a failure otherwise. What servers hold for them is released.
func TestShutdown_PendingRequests(t *testing.T) {
	for _, tt := range []struct {
		name, class string
		decoding    bool
		refused     bool
	}{
		{"side effect, during prefill", "pay", false, true},
		{"side effect, during decode", "pay", true, false},
		{"pure, during decode", "chat", true, true},
		{"token within a cell, during decode", "order", true, false},
	} {
		gateway := newGateway(t, testSettings(), prefillServer("r"), decodeServer("w", 0))
		gateway.requestClass("a", tt.class)
		if tt.decoding {
			gateway.endAttempt("a", 0, "r", StatusPrefilled)
			gateway.expectSentTo("w")
		}
		gateway.handle(Shutdown{Deadline: gateway.now + 3*time.Second})
		timer, ok := firstAction[SetTimer](gateway)
		if !ok {
			t.Fatalf("%s: no timer among the actions %v", tt.name, gateway.actions)
		}
		gateway.now = timer.At
		gateway.handle(TimerFired{Token: timer.Token})
		if _, refused := firstAction[Refuse](gateway); refused != tt.refused {
			t.Errorf("%s: actions %v, refused %v, want %v", tt.name, gateway.actions, refused, tt.refused)
		}
		if _, failed := firstAction[Fail](gateway); failed == tt.refused {
			t.Errorf("%s: actions %v, failed %v, want %v", tt.name, gateway.actions, failed, !tt.refused)
		}
		expectAction[Cancel](gateway)
		expectAction[Release](gateway)
		gateway.handle(TimerFired{Token: timer.Token})
		expectNoAction[Refuse](gateway)
	}
}
