package ashwood

import (
	"slices"
	"testing"
	"time"
)

// atWriter gives a node with a request of a class whose prompt has been read, out at a writer.
func atWriter(t *testing.T, class string) (n *node, writerID string) {
	t.Helper()
	set := settings()
	set.Limits.Probes = true
	set.Classes[0].Aim = 5 * time.Second // it is not overdue before
	n = newNode(t, set, reader("r1"), writer("w1", 0), writer("w2", 0), writer("w3", 0))
	n.do(Request{ID: "a", Class: class, Session: 1, PromptTokens: 320, TimeLeft: 5 * time.Second})
	n.end("a", 0, "r1", StatusPrefilled)
	a, _ := pick[Send](n)
	return n, string(a.Server)
}

// until runs the node's timers up to a time from now on, and gives what it asked for.
func (n *node) until(d time.Duration) (actions []Action) {
	for end := n.now + d; ; {
		next, found := SetTimer{At: end}, false
		for _, a := range n.set {
			if _, open := n.s.timers[a.Token]; open && a.At <= next.At {
				next, found = a, true
			}
		}
		n.now = max(n.now, next.At)
		if !found {
			return actions
		}
		actions = append(actions, n.do(TimerFired{next.Token})...)
	}
}

func asked[A Action](actions []Action) (list []A) {
	for _, x := range actions {
		if a, ok := x.(A); ok {
			list = append(list, a)
		}
	}
	return list
}

// A server that gives no sign of an attempt is probed. Where the probe goes unanswered as well,
// what may be repeated is sent elsewhere, in time for the state that waits; an order, which may
// have run, waits on.
func TestSilence_UnansweredProbe(t *testing.T) {
	for class, leaves := range map[string]bool{"chat": true, "pay": false} {
		n, w := atWriter(t, class)
		if probes := asked[Probe](n.until(livenessWaitDecode)); len(probes) != 1 || string(probes[0].Server) != w {
			t.Fatalf("%s: probes %v, want one of %s", class, probes, w)
		}
		if cancels := asked[Cancel](n.until(livenessTimeoutDecode)); len(cancels) > 0 != leaves {
			t.Fatalf("%s: cancelled %v", class, cancels)
		}
		if !leaves {
			continue
		}
		n.end("a", 1, w, StatusCancelled)
		if a, ok := pick[Send](n); !ok || string(a.Server) == w {
			t.Errorf("%s: sent to %q after %s", class, a.Server, w)
		}
	}
}

// A slow first token at a server that answers probes is no silence, whatever it answers; nor is
// an answer that this node is too late to know of.
func TestSilence_NoSilence(t *testing.T) {
	for name, happens := range map[string]func(n *node, w ServerID){
		"answered":               func(n *node, w ServerID) { n.do(ProbeResult{Server: w, Status: StatusServed}) },
		"answered with an error": func(n *node, w ServerID) { n.do(ProbeResult{Server: w, Status: StatusServerError}) },
		"this node was held up":  func(n *node, _ ServerID) { n.now += livenessTimeoutDecode + 2*maxTimerLateness },
	} {
		n, w := atWriter(t, "chat")
		n.until(livenessWaitDecode)
		n.now += 10 * ms
		happens(n, ServerID(w))
		actions := n.until(livenessInterval + livenessWaitDecode)
		first := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(Probe); return ok })
		left := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(Cancel); return ok })
		if first < 0 || left >= 0 && left < first {
			t.Errorf("%s: %v, want another probe, and nothing left before", name, actions)
		}
	}
}

// A read has no effect, however it ends: an order's is left like any other.
func TestSilence_ReadOfAnOrder(t *testing.T) {
	set := settings()
	set.Limits.Probes = true
	set.Classes[2].Aim = 5 * time.Second // it is not overdue before
	n := newNode(t, set, reader("r1"), reader("r2"), writer("w1", 0))
	n.do(Request{ID: "a", Class: "pay", Session: 1, PromptTokens: 320, TimeLeft: 5 * time.Second})
	n.until(livenessWaitPrefill)
	if len(asked[Cancel](n.until(livenessTimeoutPrefill))) != 1 {
		t.Errorf("it is not left: %v", n.out)
	}
}

// A server that is heard again after a silence has not stopped the answers that have not gone on
// yet: they do a moment later. Those that still have not then have stopped.
func TestSilence_AnswersOfAServerThatIsJustBack(t *testing.T) {
	n, w := atWriter(t, "chat")
	n.do(AnswerStarted{ID: "a", Attempt: 1, Server: ServerID(w)})
	v, r, since := n.s.servers[ServerID(w)], n.s.requests["a"], n.now
	n.now += 4 * time.Second
	v.latestStartedSend[stageDecode] = since + ms // another answer, to what was sent later, begins
	v.recordResponse(n.now)
	for _, tt := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {recoveryGrace, true}} {
		n.s.now = n.now + tt.after
		if over, _ := n.s.answerStalled(r, 1, v, since, since, false); over != tt.want {
			t.Errorf("%v behind its return: stopped %v, want %v", tt.after, over, tt.want)
		}
	}
}
