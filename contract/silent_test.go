package contract

import (
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"ashwood.example/ashwood/lab/emulator"
	"ashwood.example/ashwood/lab/rules"
	"ashwood.example/ashwood/lab/scenario"
)

// stallingProxy relays connections to an engine. Once it stalls, open connections stay open and
// new ones are accepted, but no data is relayed.
type stallingProxy struct {
	net.Listener
	target  string
	stalled chan struct{} // closed at the stall
	closed  chan struct{}
	copies  sync.WaitGroup
}

func startProxy(t *testing.T, to string) *stallingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stallingProxy{Listener: l, target: to, stalled: make(chan struct{}), closed: make(chan struct{})}
	s.copies.Go(s.serve)
	t.Cleanup(func() {
		close(s.closed)
		l.Close()
		s.copies.Wait()
	})
	return s
}

func (s *stallingProxy) serve() {
	for {
		client, err := s.Accept()
		if err != nil {
			return
		}
		engine, err := net.Dial("tcp", s.target)
		if err != nil {
			client.Close()
			continue
		}
		s.copies.Go(func() { s.relay(client, engine) })
		s.copies.Go(func() { s.relay(engine, client) })
		s.copies.Go(func() {
			<-s.closed
			client.Close()
			engine.Close()
		})
	}
}

// relay copies from source to target until either side closes or the proxy stalls.
func (s *stallingProxy) relay(target io.WriteCloser, source io.Reader) {
	defer target.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := source.Read(buffer)
		select {
		case <-s.stalled:
			<-s.closed
			return
		default:
		}
		if err != nil {
			return
		}
		if _, err := target.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// decodeProxies are stalling proxies in front of all decode engines.
type decodeProxies struct {
	t       *testing.T
	proxies []*stallingProxy
}

// via returns the address at which the target reaches an engine.
func (s *decodeProxies) via(kind, addr string) string {
	if kind != "decode-a" {
		return addr
	}
	proxy := startProxy(s.t, addr)
	s.proxies = append(s.proxies, proxy)
	return proxy.Addr().String()
}

func (s *decodeProxies) stall() {
	for _, proxy := range s.proxies {
		close(proxy.stalled)
	}
}

// openWithReleaseLimit opens a target whose decode engines can be stalled. The rule checker
// requires that KV state is released within releaseMs.
func openWithReleaseLimit(t *testing.T, name string, releaseMs float64, decode *decodeProxies) (*Target, *emulator.Emulator, *scenario.Plan) {
	t.Helper()
	limits := rules.RelaxedLimits()
	limits.ReleaseWithin = releaseMs
	return openTargetVia(t, name, fleetScenario, limits, decode.via)
}

// checkRulesAndClose checks that no rule was broken and closes the target.
func checkRulesAndClose(t *testing.T, target *Target, em *emulator.Emulator) {
	t.Helper()
	for _, b := range em.Rules().Violations() {
		t.Errorf("rule %s: %s %v", b.Rule, b.Text, b.History)
	}
	target.Client.Close()
	if err := target.Close(); err != nil {
		t.Errorf("stopping: %v", err)
	}
}

// The KV state that a prefill engine holds is released in time, although its request was
// written to a decode engine that stays silent. This holds for every target; lab/soak tests it
// for the daemon.
func TestSilentDecodeEngines_PureRequest(t *testing.T) {
	const releaseMs, deadlineMs = 2500, 6000 // far from each other and from the release rule's 500 ms
	for _, name := range selectedTargets(t) {
		if name == "daemon" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			decode := &decodeProxies{t: t}
			target, em, plan := openWithReleaseLimit(t, name, releaseMs, decode)
			if got := sendRequest(target, em, plan, 0, "0000000000000001", 20000); got != rules.Served {
				t.Errorf("before the stall: %s", got)
			}
			decode.stall()
			if got := sendRequest(target, em, plan, 0, "0000000000000002", deadlineMs); got == rules.Served {
				t.Error("served by a stalled engine")
			}
			if em.Rules().Counts().Releases == 0 {
				t.Error("no release was sent")
			}
			checkRulesAndClose(t, target, em)
		})
	}
}

// The same with a side effect, where the request waits at the silent engine until its deadline:
// only the releases that the gateway sends during the attempt release the KV state in time. Over
// gRPC, the test above passes without them: a pure request leaves the engine after 0.8 s,
// because the engine answers no probe, and its refusal releases the KV state 1.0 s after the
// stall, where 2.5 s are allowed ("held 0 … Releases:2 Answers:map[refused:1 served:1]" with
// those releases disabled).
func TestSilentDecodeEngines_SideEffectWaits(t *testing.T) {
	const releaseMs, deadlineMs = 2500, 6000 // as above
	for _, name := range selectedTargets(t) {
		if name == "daemon" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			decode := &decodeProxies{t: t}
			target, em, plan := openWithReleaseLimit(t, name, releaseMs, decode)
			sideEffect := slices.IndexFunc(plan.Load.Classes, func(c scenario.Class) bool { return c.Effect == "side_effect" })
			if got := sendRequest(target, em, plan, sideEffect, "0000000000000001", 20000); got != rules.Served {
				t.Errorf("before the stall: %s", got)
			}
			decode.stall()
			sentAt := time.Now()
			if got := sendRequest(target, em, plan, sideEffect, "0000000000000002", deadlineMs); got != rules.Failure {
				t.Errorf("request with a side effect at a stalled engine: %s", got)
			}
			if waited := time.Since(sentAt); waited < releaseMs*time.Millisecond {
				t.Errorf("the request waited only %v, so the test proves nothing", waited)
			}
			checkRulesAndClose(t, target, em)
		})
	}
}
