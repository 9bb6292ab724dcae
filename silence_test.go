package ashwood

import (
	"slices"
	"testing"
	"time"
)

// atWriter gives a node with a request of a class whose prompt has been read, out at a writer.
func pendingAtDecodeServer(t *testing.T, class string) (gateway *testGateway, serverID string) {
	t.Helper()
	settings := testSettings()
	settings.Limits.Probes = true
	settings.Classes[0].Aim = 5 * time.Second // it is not overdue before
	gateway = newGateway(t, settings, prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 0), decodeServer("w3", 0))
	gateway.handle(Request{ID: "a", Class: class, Session: 1, PromptTokens: 320, TimeLeft: 5 * time.Second})
	gateway.endAttempt("a", 0, "r1", Parsed)
	a, _ := firstAction[Attempt](gateway)
	return gateway, string(a.Server)
}

// until runs the node's timers up to a time from now on, and gives what it asked for.
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
		actions = append(actions, g.handle(Timer{next.Token})...)
	}
}

func actionsOf[A Action](actions []Action) (found []A) {
	for _, action := range actions {
		if a, ok := action.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// A server that gives no sign of an attempt is probed. Where the probe goes unanswered as well,
// what may be repeated is sent elsewhere, in time for the state that waits; an order, which may
// have run, waits on.
func TestSilence_UnansweredProbe(t *testing.T) {
	for class, resent := range map[string]bool{"chat": true, "pay": false} {
		gateway, server := pendingAtDecodeServer(t, class)
		if probes := actionsOf[Probe](gateway.runTimers(signWaitWrite)); len(probes) != 1 || string(probes[0].Server) != server {
			t.Fatalf("%s: probes %v, want one of %s", class, probes, server)
		}
		if cancels := actionsOf[Cancel](gateway.runTimers(signAnswerWrite)); len(cancels) > 0 != resent {
			t.Fatalf("%s: cancelled %v", class, cancels)
		}
		if !resent {
			continue
		}
		gateway.endAttempt("a", 1, server, CalledOff)
		if a, ok := firstAction[Attempt](gateway); !ok || string(a.Server) == server {
			t.Errorf("%s: sent to %q after %s", class, a.Server, server)
		}
	}
}

// A slow first token at a server that answers probes is no silence, whatever it answers; nor is
// an answer that this node is too late to know of.
func TestSilence_LivenessSignal(t *testing.T) {
	for name, signal := range map[string]func(gateway *testGateway, server ServerID){
		"answered": func(gateway *testGateway, server ServerID) { gateway.handle(Probed{Server: server, Status: Served}) },
		"answered with an error": func(gateway *testGateway, server ServerID) {
			gateway.handle(Probed{Server: server, Status: ServerError})
		},
		"this node was held up": func(gateway *testGateway, _ ServerID) { gateway.now += signAnswerWrite + 2*signHeldUp },
	} {
		gateway, server := pendingAtDecodeServer(t, "chat")
		gateway.runTimers(signWaitWrite)
		gateway.now += 10 * ms
		signal(gateway, ServerID(server))
		actions := gateway.runTimers(signEvery + signWaitWrite)
		probeIndex := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(Probe); return ok })
		cancelIndex := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(Cancel); return ok })
		if probeIndex < 0 || cancelIndex >= 0 && cancelIndex < probeIndex {
			t.Errorf("%s: %v, want another probe, and nothing left before", name, actions)
		}
	}
}

// A read has no effect, however it ends: an order's is left like any other.
func TestSilence_PrefillOfSideEffectClass(t *testing.T) {
	settings := testSettings()
	settings.Limits.Probes = true
	settings.Classes[2].Aim = 5 * time.Second // it is not overdue before
	gateway := newGateway(t, settings, prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
	gateway.handle(Request{ID: "a", Class: "pay", Session: 1, PromptTokens: 320, TimeLeft: 5 * time.Second})
	gateway.runTimers(signWaitRead)
	if len(actionsOf[Cancel](gateway.runTimers(signAnswerRead))) != 1 {
		t.Errorf("it is not left: %v", gateway.actions)
	}
}

// A server that is heard again after a silence has not stopped the answers that have not gone on
// yet: they do a moment later. Those that still have not then have stopped.
func TestSilence_ServerJustBack(t *testing.T) {
	gateway, serverID := pendingAtDecodeServer(t, "chat")
	gateway.handle(First{ID: "a", Attempt: 1, Server: ServerID(serverID)})
	server, req, since := gateway.scheduler.servers[ServerID(serverID)], gateway.scheduler.reqs["a"], gateway.now
	gateway.now += 4 * time.Second
	server.began[writing] = since + ms // another answer, to what was sent later, begins
	server.hear(gateway.now)
	for _, tt := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {backWait, true}} {
		gateway.scheduler.now = gateway.now + tt.after
		if stopped, _ := gateway.scheduler.stopped(req, 1, server, since, since, false); stopped != tt.want {
			t.Errorf("%v behind its return: stopped %v, want %v", tt.after, stopped, tt.want)
		}
	}
}
