package ashwood

import (
	"slices"
	"testing"
	"time"
)

// pendingAtDecodeServer returns a gateway with a request of a class that is in flight at a decode server, and that
// server's ID.
func pendingAtDecodeServer(t *testing.T, class string) (gateway *testGateway, serverID string) {
	t.Helper()
	settings := testSettings()
	settings.Limits.Probes = true
	settings.Classes[0].Aim = 5 * time.Second // the attempt must not be overdue before
	gateway = newGateway(t, settings, prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 0), decodeServer("w3", 0))
	gateway.handle(Request{ID: "a", Class: class, Session: 1, PromptTokens: 320, TimeLeft: 5 * time.Second})
	gateway.endAttempt("a", 0, "r1", StatusPrefilled)
	a, _ := firstAction[Send](gateway)
	return gateway, string(a.Server)
}

// runTimers runs the gateway's timers for a duration from now and returns the actions that they led to.
func (g *testGateway) runTimers(duration time.Duration) (actions []Action) {
	for end := g.now + duration; ; {
		next, found := SetTimer{At: end}, false
		for _, timer := range g.timers {
			if _, pending := g.scheduler.timers[timer.Token]; pending && timer.At <= next.At {
				next, found = timer, true
			}
		}
		g.now = max(g.now, next.At)
		if !found {
			return actions
		}
		actions = append(actions, g.handle(TimerFired{next.Token})...)
	}
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) (found []A) {
	for _, action := range actions {
		if a, ok := action.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// A server from which nothing is received after an attempt is probed. If the probe goes unanswered too, a request that may
// be repeated is sent elsewhere, while its KV state is still held; one with a side effect, which may have run, waits on.
func TestSilence_UnansweredProbe(t *testing.T) {
	for class, resent := range map[string]bool{"chat": true, "pay": false} {
		gateway, server := pendingAtDecodeServer(t, class)
		if probes := actionsOf[Probe](gateway.runTimers(livenessWaitDecode)); len(probes) != 1 || string(probes[0].Server) != server {
			t.Fatalf("class %s: probes %v, want one of server %s", class, probes, server)
		}
		if cancels := actionsOf[Cancel](gateway.runTimers(livenessTimeoutDecode)); len(cancels) > 0 != resent {
			t.Fatalf("class %s: cancelled attempts %v, want a cancel: %v", class, cancels, resent)
		}
		if !resent {
			continue
		}
		gateway.endAttempt("a", 1, server, StatusCancelled)
		if a, ok := firstAction[Send](gateway); !ok || string(a.Server) == server {
			t.Errorf("class %s: next attempt at %q, want another server than %s", class, a.Server, server)
		}
	}
}

// A server that answers probes, even with an error, is not silent, however slow its first token is. Nor is one whose
// answer the gateway may have missed because its own process was held up.
func TestSilence_LivenessSignal(t *testing.T) {
	for name, signal := range map[string]func(gateway *testGateway, server ServerID){
		"probe answered": func(gateway *testGateway, server ServerID) {
			gateway.handle(ProbeResult{Server: server, Status: StatusServed})
		},
		"probe answered with an error": func(gateway *testGateway, server ServerID) {
			gateway.handle(ProbeResult{Server: server, Status: StatusServerError})
		},
		"gateway was held up": func(gateway *testGateway, _ ServerID) { gateway.now += livenessTimeoutDecode + 2*maxTimerLateness },
	} {
		gateway, server := pendingAtDecodeServer(t, "chat")
		gateway.runTimers(livenessWaitDecode)
		gateway.now += 10 * ms
		signal(gateway, ServerID(server))
		actions := gateway.runTimers(livenessInterval + livenessWaitDecode)
		probeIndex := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(Probe); return ok })
		cancelIndex := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(Cancel); return ok })
		if probeIndex < 0 || cancelIndex >= 0 && cancelIndex < probeIndex {
			t.Errorf("%s: actions %v, want another probe and no cancel before it", name, actions)
		}
	}
}

// A prefill has no effect, so it is cancelled at a silent server for a class with side effects as for any other.
func TestSilence_PrefillOfSideEffectClass(t *testing.T) {
	settings := testSettings()
	settings.Limits.Probes = true
	settings.Classes[2].Aim = 5 * time.Second // the attempt must not be overdue before
	gateway := newGateway(t, settings, prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
	gateway.handle(Request{ID: "a", Class: "pay", Session: 1, PromptTokens: 320, TimeLeft: 5 * time.Second})
	gateway.runTimers(livenessWaitPrefill)
	if len(actionsOf[Cancel](gateway.runTimers(livenessTimeoutPrefill))) != 1 {
		t.Errorf("prefill not cancelled exactly once; last actions %v", gateway.actions)
	}
}

// When a server sends again after a silence, its answers don't all go on at the same moment, so one that has not gone on
// yet has not stopped. One that still has not a moment later (backWait) has.
func TestSilence_ServerJustBack(t *testing.T) {
	gateway, serverID := pendingAtDecodeServer(t, "chat")
	gateway.handle(AnswerStarted{ID: "a", Attempt: 1, Server: ServerID(serverID)})
	server, req, since := gateway.scheduler.servers[ServerID(serverID)], gateway.scheduler.requests["a"], gateway.now
	gateway.now += 4 * time.Second
	server.latestStartedSend[stageDecode] = since + ms // the answer to a later request begins
	server.recordResponse(gateway.now)
	for _, tt := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {recoveryGrace, true}} {
		gateway.scheduler.now = gateway.now + tt.after
		if stopped, _ := gateway.scheduler.answerStalled(req, 1, server, since, since, false); stopped != tt.want {
			t.Errorf("%v after the server sent again: answer stopped %v, want %v", tt.after, stopped, tt.want)
		}
	}
}
