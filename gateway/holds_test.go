package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ashwood.example/ashwood"
)

// runInBubble runs test with a gateway in a synctest bubble, whose clock advances only while all goroutines wait.
func runInBubble(t *testing.T, fake *fakeTransport, test func(*testing.T, *Gateway)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := startGateway(t, fake, SystemClock())
		defer g.Wait() // even if test fails: goroutines that remain in the bubble would end the whole process
		defer g.releaser.abandon()
		test(t, g)
	})
}

// newTestHolds returns holds to which an attempt was sent at each of the engines.
func newTestHolds(g *Gateway, id ashwood.RequestID, engines ...ashwood.ServerID) *requestHolds {
	h := g.releaser.newHolds(id)
	for _, id := range engines {
		h.add(ashwood.Server{ID: id}, holdAttempt)
	}
	return h
}

// releaseUncertain cancels an attempt at an engine, which then takes a release while the request is running.
func (f *fakeTransport) releaseUncertain(t *testing.T, g *Gateway, id ashwood.RequestID, engine ashwood.ServerID) *requestHolds {
	t.Helper()
	h := newTestHolds(g, id, engine)
	h.markAbandoned(ashwood.Server{ID: engine})
	h.release(false)
	f.wantNextRelease(t, string(engine))
	return h
}

// wantNextRelease waits for the next engine that takes a release, and returns the time that took.
func (f *fakeTransport) wantNextRelease(t *testing.T, want string) time.Duration {
	t.Helper()
	begun := time.Now()
	select {
	case engine := <-f.releasedAt:
		if engine != want {
			t.Fatalf("release taken by %s, want %s", engine, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("no release taken by %s", want)
	}
	return time.Since(begun)
}

// makeReachable has an engine that was unreachable take and answer releases.
func (f *fakeTransport) makeReachable(id ashwood.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.silentFor, id)
}

// A release on a connection gone silent is repeated on a new one, and does not delay the releases at
// other engines.
func TestRelease_SilentEngineNewConnection(t *testing.T) {
	fake := &fakeTransport{silentFor: map[ashwood.ServerID]int{"r1": 2}}
	runInBubble(t, fake, func(t *testing.T, g *Gateway) {
		newTestHolds(g, "q", "r1", "w1").release(true)
		if d := fake.wantNextRelease(t, "w1"); d > 0 {
			t.Errorf("release at w1 waited %v for another engine", d)
		}
		if d := fake.wantNextRelease(t, "r1"); d > 2*(releaseCallTimeout+releaseBackoffMax)*time.Millisecond {
			t.Errorf("release taken after %v", d)
		}
		fake.mu.Lock()
		defer fake.mu.Unlock()
		if n := len(fake.freshConnections); n != 4 || fake.freshConnections[0] || fake.freshConnections[1] || !fake.freshConnections[2] || !fake.freshConnections[3] {
			t.Errorf("calls on new connections: %v", fake.freshConnections)
		}
	})
}

// A release that an engine could not take while the request was running stays pending, also when the request is
// sent elsewhere and after its end. If the request is sent to that engine again, the engine takes a release
// only at the end.
func TestRelease_PendingAfterUnansweredCall(t *testing.T) {
	for _, back := range []bool{false, true} {
		fake := &fakeTransport{silentFor: map[ashwood.ServerID]int{"r1": 1e6}}
		runInBubble(t, fake, func(t *testing.T, g *Gateway) {
			h, begun := newTestHolds(g, "q", "r1", "w1"), time.Now()
			h.release(false)
			fake.wantNextRelease(t, "w1")
			if d := time.Since(begun); d > holderTimeout*time.Millisecond {
				t.Errorf("the request waited %v", d)
			}
			if back {
				h.add(ashwood.Server{ID: "r1"}, holdAttempt)
			}
			fake.makeReachable("r1")
			if !back {
				fake.wantNextRelease(t, "r1")
				return
			}
			time.Sleep(time.Second)
			if len(fake.releasedAt) > 0 {
				t.Error("release taken after a later attempt was sent")
			}
			h.release(true)
			fake.wantNextRelease(t, "r1")
		})
	}
}

// If no holder can take a release in time, an engine that has answered takes it, since a call at any engine releases
// everywhere; the holders' own releases stay pending. If one holder can, no other engine is tried.
func TestRelease_SubstituteForSilentHolders(t *testing.T) {
	fake := &fakeTransport{silentFor: map[ashwood.ServerID]int{"r1": 1e6, "w1": 1e6}}
	runInBubble(t, fake, func(t *testing.T, g *Gateway) {
		for _, id := range []ashwood.ServerID{"w3", "w2"} {
			engine := ashwood.Server{ID: id, Kind: "w", Zone: "another", State: ashwood.StateActive}
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{engine})
			g.releaser.engineAnswered(engine)
		}
		newTestHolds(g, "q", "r1", "w1").release(true)
		if d := fake.wantNextRelease(t, "w2"); d > holderTimeout*time.Millisecond {
			t.Errorf("release taken after %v", d)
		}
		fake.makeReachable("r1")
		fake.wantNextRelease(t, "r1")
		newTestHolds(g, "another", "r1", "w1").release(true)
		fake.wantNextRelease(t, "r1")
		time.Sleep(time.Second)
		if len(fake.releasedAt) > 0 {
			t.Errorf("needless release taken by %s", <-fake.releasedAt)
		}
	})
}

// All engines that have answered may be behind a network cut: engines in other zones are tried next, this gateway's own
// zone first, although no engine there has answered yet.
func TestRelease_SubstituteInOtherZone(t *testing.T) {
	fake := &fakeTransport{silentFor: map[ashwood.ServerID]int{"r1": 1e6}}
	runInBubble(t, fake, func(t *testing.T, g *Gateway) {
		g.releaser.zone = "home"
		for i, zone := range []string{"cut", "cut", "cut", "off", "home"} {
			engine := ashwood.Server{ID: ashwood.ServerID(fmt.Sprint("w", i+2)), Kind: "w", Zone: zone, State: ashwood.StateActive}
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{engine})
			if zone != "home" {
				fake.silentFor[engine.ID] = 1e6
				g.releaser.engineAnswered(engine)
			}
		}
		g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w1", Kind: "w", State: ashwood.StateRemoved}})
		h := newTestHolds(g, "q")
		h.add(ashwood.Server{ID: "r1", Zone: "cut"}, holdAttempt)
		h.release(true)
		if d := fake.wantNextRelease(t, "w6"); d > 2*holderTimeout*time.Millisecond {
			t.Errorf("release taken after %v", d)
		}
	})
}

// The hold deadline keeps running during a connect that does not succeed.
func TestServe_KVStateReleasedDuringConnect(t *testing.T) {
	fake := &fakeTransport{reserveResult: ReserveNotSent, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.StatusPrefilled)}, "w1": {resultOf(ashwood.StatusConnectFailed)}}}
	runInBubble(t, fake, func(t *testing.T, g *Gateway) {
		fake.beforeWrite = func(engine ashwood.Server) {
			if engine.ID == "w1" {
				time.Sleep(700 * time.Millisecond)
			}
		}
		go g.Serve(t.Context(), request("chat"))
		if d := fake.wantNextRelease(t, "r1"); d != 500*time.Millisecond {
			t.Errorf("released after %v", d)
		}
		time.Sleep(10 * time.Second)
	})
}

// A reservation that is answered after the end of the request is released then, and no release at another engine
// waits for that.
func TestHolds_ReservationAnsweredAfterEnd(t *testing.T) {
	fake := &fakeTransport{}
	runInBubble(t, fake, func(t *testing.T, g *Gateway) {
		h := newTestHolds(g, "q", "r1")
		h.release(true)
		fake.wantNextRelease(t, "r1")
		h.addLateReservation(ashwood.Server{ID: "w1"}, h.releaser.gateway.clock.Now())
		fake.wantNextRelease(t, "w1")
	})
}

// A reservation that a silent decode engine may hold, and that is known only once the answer has begun or
// ended, is released through another engine like any other hold.
func TestHolds_LateReservationAtSilentEngine(t *testing.T) {
	for name, late := range map[string]func(*requestHolds, ashwood.Server){
		"reserved after the answer began": func(h *requestHolds, engine ashwood.Server) {
			h.markAnswerBegun()
			h.addLateReservation(engine, h.releaser.gateway.clock.Now())
		},
		"reserved before the answer began": func(h *requestHolds, engine ashwood.Server) {
			h.addLateReservation(engine, h.releaser.gateway.clock.Now())
			h.markAnswerBegun()
		},
		"reserved after the end": func(h *requestHolds, engine ashwood.Server) { h.release(true); h.add(engine, holdReservation) },
	} {
		fake := &fakeTransport{silentFor: map[ashwood.ServerID]int{"w1": 1e6}}
		runInBubble(t, fake, func(t *testing.T, g *Gateway) {
			engine := ashwood.Server{ID: "w2", Kind: "w", Zone: "another", State: ashwood.StateActive}
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{engine, {ID: "r1", Kind: "r", State: ashwood.StateRemoved}})
			late(newTestHolds(g, "q"), ashwood.Server{ID: "w1"})
			if d := fake.wantNextRelease(t, "w2"); d > holderTimeout*time.Millisecond {
				t.Errorf("%s: release taken after %v", name, d)
			}
		})
	}
}

// An engine may notice that an attempt was cancelled only after the release, which then drops nothing: the release
// is repeated twice. After an attempt that the engine has answered it is sent once. An uncertain release during the
// request is sent again at its end.
func TestRelease_UncertainIsRepeated(t *testing.T) {
	for _, tt := range []struct {
		name  string
		class string
		w1    []AttemptResult // none = hang until the timeout
		want  map[string]int
	}{
		{"timed out", "order", nil, map[string]int{"r1": 4, "w1": 3}}, // r1 once more while the attempt is in flight
		{"connection lost", "order", []AttemptResult{resultOf(ashwood.StatusConnectionLost)}, map[string]int{"r1": 3, "w1": 3}},
		{"answered", "order", []AttemptResult{resultOf(ashwood.StatusServerError)}, map[string]int{"r1": 1, "w1": 1}},
	} {
		fake := &fakeTransport{reserveResult: ReserveNotSent, results: map[ashwood.ServerID][]AttemptResult{"r1": {resultOf(ashwood.StatusPrefilled)}, "w1": tt.w1}}
		runInBubble(t, fake, func(t *testing.T, g *Gateway) {
			serve(t, g, t.Context(), tt.class)
			time.Sleep((holderTimeout + firstRepeatDelay + secondRepeatDelay) * time.Millisecond)
			got := map[string]int{}
			for len(fake.releasedAt) > 0 {
				got[<-fake.releasedAt]++
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("%s: %s", tt.name, diff)
			}
		})
	}
	fake := &fakeTransport{}
	runInBubble(t, fake, func(t *testing.T, g *Gateway) {
		h := fake.releaseUncertain(t, g, "q", "r1")
		h.add(ashwood.Server{ID: "r2"}, holdAttempt)
		time.Sleep(time.Second)
		if len(fake.releasedAt) > 0 {
			t.Error("release repeated while a later attempt may be held")
		}
		h.release(true)
		got := []string{<-fake.releasedAt, <-fake.releasedAt}
		slices.Sort(got)
		if diff := cmp.Diff([]string{"r1", "r2"}, got); diff != "" {
			t.Errorf("releases at the end: %s", diff)
		}
	})
}

// A prefill may have succeeded although its connection broke, so its engine is sent a release. A membership snapshot, as
// after a reload, does not drop the pending releases of engines that it contains.
func TestServe_LostPrefillAndWholeSnapshot(t *testing.T) {
	fake := &fakeTransport{reserveResult: ReserveNotSent, silentFor: map[ashwood.ServerID]int{"r1": 1e6}, results: map[ashwood.ServerID][]AttemptResult{"r1": {resultOf(ashwood.StatusConnectionLost)}}}
	runInBubble(t, fake, func(t *testing.T, g *Gateway) {
		ctx, leave := context.WithCancel(t.Context())
		end := make(chan Reply)
		go func() {
			reply, _ := g.Serve(ctx, request("order"))
			end <- reply
		}()
		<-fake.hanging // the request is sent to r1 again
		leave()
		if reply := <-end; reply.Kind != ClientGone {
			t.Errorf("kind %v", reply.Kind)
		}
		g.UpdateMembership(ashwood.MembershipSnapshot, []ashwood.Server{{ID: "r1", Kind: "r", State: ashwood.StateActive}})
		time.Sleep(10 * time.Millisecond) // on the test's clock: the release call is in flight
		fake.makeReachable("r1")
		fake.wantReleasedAt(t, "r1")
	})
}

// When the gateway stops, releases that cannot be delivered are given up after releaseShutdownTimeout.
func TestWait_GivesUpUndeliveredReleases(t *testing.T) {
	for answersBy, want := range map[float64]float64{0: releaseShutdownTimeout, 100: releaseShutdownTimeout, 3000: 3000 + releaseShutdownGrace, 20000: releaseShutdownMax} {
		fake := &fakeTransport{silentFor: map[ashwood.ServerID]int{"r1": 1e6}}
		runInBubble(t, fake, func(t *testing.T, g *Gateway) {
			if answersBy > 0 {
				g.SetAnswerDeadline(g.clock.Now() + answersBy)
			}
			newTestHolds(g, "q", "r1").release(true)
			begun := time.Now()
			g.Wait()
			if d := time.Since(begun); d != time.Duration(want)*time.Millisecond {
				t.Errorf("answer deadline %v: given up after %v", answersBy, d)
			}
		})
	}
}

// An answer that stops after its first piece is cancelled early if its engine reports an empty queue. If
// the engine reports queued work, the answer may only hang, and is given the full timeout.
func TestStream_StoppedOrHanging(t *testing.T) {
	for waits, want := range map[float64]time.Duration{0: stallSuspectAfter + stallCheckInterval, 5: stallTimeout} {
		stalled := &hangingStream{pieceStream: pieceStream{remaining: []string{"a"}}, hanging: make(chan struct{})}
		fake := &fakeTransport{gatewayCount: 300, reserveResult: ReserveRefused, loadReport: ashwood.Report{ashwood.ReportQueue: waits, ashwood.ReportInFlight: 9},
			results: map[ashwood.ServerID][]AttemptResult{
				"r1": {resultOf(ashwood.StatusPrefilled)}, "w1": {{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: stalled}}}}
		synctest.Test(t, func(t *testing.T) {
			g := startGateway(t, fake, SystemClock())
			fake.probed = make(chan string, 99)
			stalled.hanging = make(chan struct{})
			reply := serve(t, g, t.Context(), "chat")
			if piece, err := reply.Stream.Next(); string(piece) != "a" || err != nil {
				t.Fatal(string(piece), err)
			}
			begun := time.Now()
			if _, err := reply.Stream.Next(); !errors.Is(err, ErrStalled) {
				t.Errorf("ended with %v", err)
			}
			if d := time.Since(begun); d != want*time.Millisecond {
				t.Errorf("queue %v: ended after %v", waits, d)
			}
			reply.Stream.Close()
			g.Wait()
		})
	}
}

// A reservation call that arrives after the first token of the answer makes a reservation that this token did not
// free: it is released separately.
func TestServe_LateReservationReleased(t *testing.T) {
	for _, result := range []ReserveResult{ReserveHeld, ReserveUnknown} {
		fake := &fakeTransport{reserveResult: result, reserveGate: make(chan struct{}), results: map[ashwood.ServerID][]AttemptResult{
			"r1": {resultOf(ashwood.StatusPrefilled)}, "w1": {streamResult(io.EOF, "a")}}}
		g, _ := startManualClock(t, fake)
		reply := serve(t, g, context.Background(), "chat")
		close(fake.reserveGate)
		fake.wantReleasedAt(t, "w1")
		reply.Stream.Close()
	}
}
