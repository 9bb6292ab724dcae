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

// in plays on a clock that moves only while all else waits.
func in(t *testing.T, p *peer, play func(*testing.T, *Gateway)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := startAt(t, p, SystemClock())
		defer g.Wait() // also where play fails: what is left in the bubble would end the whole process
		defer g.owner.abandon()
		play(t, g)
	})
}

func held(g *Gateway, id ashwood.RequestID, engines ...ashwood.ServerID) *holds {
	h := g.owner.holds(id)
	for _, id := range engines {
		h.add(ashwood.Server{ID: id}, holdAttempt)
	}
	return h
}

// releasedInDoubt notes an engine at which an attempt was given up, and has it told while the request goes on.
func (p *peer) releasedInDoubt(t *testing.T, g *Gateway, id ashwood.RequestID, engine ashwood.ServerID) *holds {
	t.Helper()
	h := held(g, id, engine)
	h.doubt(ashwood.Server{ID: engine})
	h.release(false)
	p.wantNext(t, string(engine))
	return h
}

// wantNext waits for the next engine told to let go, and gives the time that took.
func (p *peer) wantNext(t *testing.T, want string) time.Duration {
	t.Helper()
	begun := time.Now()
	select {
	case v := <-p.freed:
		if v != want {
			t.Fatalf("%s was told, want %s", v, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("%s was not told", want)
	}
	return time.Since(begun)
}

func (p *peer) hear(id ashwood.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.silent, id)
}

// A release written to a connection gone silent is made again on a new one, while
// the other engines have got theirs.
func TestSilentEngineIsToldOnANewConnection(t *testing.T) {
	p := &peer{silent: map[ashwood.ServerID]int{"r1": 2}}
	in(t, p, func(t *testing.T, g *Gateway) {
		held(g, "q", "r1", "w1").release(true)
		if d := p.wantNext(t, "w1"); d > 0 {
			t.Errorf("it waited %v for another engine", d)
		}
		if d := p.wantNext(t, "r1"); d > 2*(releaseTry+releaseLast)*time.Millisecond {
			t.Errorf("told after %v", d)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if n := len(p.fresh); n != 4 || p.fresh[0] || p.fresh[1] || !p.fresh[2] || !p.fresh[3] {
			t.Errorf("calls on new connections: %v", p.fresh)
		}
	})
}

// An engine that could not be told while the request went on is not forgotten:
// neither when it is sent elsewhere nor at its end. Sent there again, it is told
// at the end alone.
func TestEngineNotToldIsNotForgotten(t *testing.T) {
	for _, back := range []bool{false, true} {
		p := &peer{silent: map[ashwood.ServerID]int{"r1": 1e6}}
		in(t, p, func(t *testing.T, g *Gateway) {
			h, begun := held(g, "q", "r1", "w1"), time.Now()
			h.release(false)
			p.wantNext(t, "w1")
			if d := time.Since(begun); d > releaseWait*time.Millisecond {
				t.Errorf("the request waited %v", d)
			}
			if back {
				h.add(ashwood.Server{ID: "r1"}, holdAttempt)
			}
			p.hear("r1")
			if !back {
				p.wantNext(t, "r1")
				return
			}
			time.Sleep(time.Second)
			if len(p.freed) > 0 {
				t.Error("a release has overtaken what was sent after it")
			}
			h.release(true)
			p.wantNext(t, "r1")
		})
	}
}

// Where no engine that holds can be told in time, one that is heard is told, as a
// call releases at whatever engine; theirs stays owed. Where one could, none is.
func TestHeardEngineIsToldForSilentOnes(t *testing.T) {
	p := &peer{silent: map[ashwood.ServerID]int{"r1": 1e6, "w1": 1e6}}
	in(t, p, func(t *testing.T, g *Gateway) {
		for _, id := range []ashwood.ServerID{"w3", "w2"} {
			v := ashwood.Server{ID: id, Kind: "w", Zone: "another", State: ashwood.StateActive}
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{v})
			g.owner.heard(v)
		}
		held(g, "q", "r1", "w1").release(true)
		if d := p.wantNext(t, "w2"); d > releaseWait*time.Millisecond {
			t.Errorf("told after %v", d)
		}
		p.hear("r1")
		p.wantNext(t, "r1")
		held(g, "another", "r1", "w1").release(true)
		p.wantNext(t, "r1")
		time.Sleep(time.Second)
		if len(p.freed) > 0 {
			t.Errorf("%s was told for no reason", <-p.freed)
		}
	})
}

// Engines heard before a cut may all be behind it: other zones are asked next, this
// gateway's own first, though nothing was heard from there.
func TestEnginesOfOtherZonesAreToldNext(t *testing.T) {
	p := &peer{silent: map[ashwood.ServerID]int{"r1": 1e6}}
	in(t, p, func(t *testing.T, g *Gateway) {
		g.owner.zone = "home"
		for i, zone := range []string{"cut", "cut", "cut", "off", "home"} {
			v := ashwood.Server{ID: ashwood.ServerID(fmt.Sprint("w", i+2)), Kind: "w", Zone: zone, State: ashwood.StateActive}
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{v})
			if zone != "home" {
				p.silent[v.ID] = 1e6
				g.owner.heard(v)
			}
		}
		g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w1", Kind: "w", State: ashwood.StateRemoved}})
		h := held(g, "q")
		h.add(ashwood.Server{ID: "r1", Zone: "cut"}, holdAttempt)
		h.release(true)
		if d := p.wantNext(t, "w6"); d > 2*releaseWait*time.Millisecond {
			t.Errorf("told after %v", d)
		}
	})
}

// The time of what is held runs on in the middle of a connect that does not come up.
func TestStateIsLetGoInMidConnect(t *testing.T) {
	p := &peer{place: ReserveNotSent, answers: map[ashwood.ServerID][]AttemptResult{
		"r1": {answer(ashwood.StatusPrefilled)}, "w1": {answer(ashwood.StatusConnectFailed)}}}
	in(t, p, func(t *testing.T, g *Gateway) {
		p.before = func(v ashwood.Server) {
			if v.ID == "w1" {
				time.Sleep(700 * time.Millisecond)
			}
		}
		go g.Serve(t.Context(), request("chat"))
		if d := p.wantNext(t, "r1"); d != 500*time.Millisecond {
			t.Errorf("let go of after %v", d)
		}
		time.Sleep(10 * time.Second)
	})
}

// A place whose answer comes after the request's end is let go of then, and no
// other engine's release has waited for it.
func TestPlaceAnsweredAfterTheEnd(t *testing.T) {
	p := &peer{}
	in(t, p, func(t *testing.T, g *Gateway) {
		h := held(g, "q", "r1")
		h.release(true)
		p.wantNext(t, "r1")
		h.addLate(ashwood.Server{ID: "w1"})
		p.wantNext(t, "w1")
	})
}

// A place that a silent writer may hold, known of only after the answer has begun or
// ended, is let go of by way of another engine like any other.
func TestLatePlaceAtASilentWriter(t *testing.T) {
	for name, late := range map[string]func(*holds, ashwood.Server){
		"told after the begin": func(h *holds, v ashwood.Server) { h.begin(); h.addLate(v) },
		"told before it":       func(h *holds, v ashwood.Server) { h.addLate(v); h.begin() },
		"told after the end":   func(h *holds, v ashwood.Server) { h.release(true); h.add(v, holdReservation) },
	} {
		p := &peer{silent: map[ashwood.ServerID]int{"w1": 1e6}}
		in(t, p, func(t *testing.T, g *Gateway) {
			v := ashwood.Server{ID: "w2", Kind: "w", Zone: "another", State: ashwood.StateActive}
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{v, {ID: "r1", Kind: "r", State: ashwood.StateRemoved}})
			late(held(g, "q"), ashwood.Server{ID: "w1"})
			if d := p.wantNext(t, "w2"); d > releaseWait*time.Millisecond {
				t.Errorf("%s: after %v", name, d)
			}
		})
	}
}

// An engine may see that an attempt was given up only after the release, which then
// lets go of nothing: it is told again, and once more. After an attempt that it has
// answered it is told once; told in doubt while the request went on, again at its end.
func TestDoubtfulReleaseIsMadeAgain(t *testing.T) {
	for _, tt := range []struct {
		name  string
		class string
		w1    []AttemptResult // none = hang until the time is up
		want  map[string]int
	}{
		{"given up", "order", nil, map[string]int{"r1": 4, "w1": 3}}, // r1 once more while the attempt is out
		{"connection lost", "order", []AttemptResult{answer(ashwood.StatusConnectionLost)}, map[string]int{"r1": 3, "w1": 3}},
		{"answered", "order", []AttemptResult{answer(ashwood.StatusServerError)}, map[string]int{"r1": 1, "w1": 1}},
	} {
		p := &peer{place: ReserveNotSent, answers: map[ashwood.ServerID][]AttemptResult{"r1": {answer(ashwood.StatusPrefilled)}, "w1": tt.w1}}
		in(t, p, func(t *testing.T, g *Gateway) {
			serve(t, g, t.Context(), tt.class)
			time.Sleep((releaseWait + againFirst + againNext) * time.Millisecond)
			got := map[string]int{}
			for len(p.freed) > 0 {
				got[<-p.freed]++
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("%s: %s", tt.name, diff)
			}
		})
	}
	p := &peer{}
	in(t, p, func(t *testing.T, g *Gateway) {
		h := p.releasedInDoubt(t, g, "q", "r1")
		h.add(ashwood.Server{ID: "r2"}, holdAttempt)
		time.Sleep(time.Second)
		if len(p.freed) > 0 {
			t.Error("told again while what is sent since may be held")
		}
		h.release(true)
		got := []string{<-p.freed, <-p.freed}
		slices.Sort(got)
		if diff := cmp.Diff([]string{"r1", "r2"}, got); diff != "" {
			t.Errorf("at the end: %s", diff)
		}
	})
}

// A read may have ended well as its connection broke: its reader is told. A whole list, as
// after a reload, takes nothing back of what is owed to an engine that is on it.
func TestLostReadAndReload(t *testing.T) {
	p := &peer{place: ReserveNotSent, silent: map[ashwood.ServerID]int{"r1": 1e6}, answers: map[ashwood.ServerID][]AttemptResult{"r1": {answer(ashwood.StatusConnectionLost)}}}
	in(t, p, func(t *testing.T, g *Gateway) {
		ctx, leave := context.WithCancel(t.Context())
		end := make(chan Reply)
		go func() {
			r, _ := g.Serve(ctx, request("order"))
			end <- r
		}()
		<-p.hanging // sent there again
		leave()
		if r := <-end; r.Kind != ClientGone {
			t.Errorf("kind %v", r.Kind)
		}
		g.UpdateMembership(ashwood.MembershipSnapshot, []ashwood.Server{{ID: "r1", Kind: "r", State: ashwood.StateActive}})
		time.Sleep(10 * time.Millisecond) // of the test's clock: the call is out
		p.hear("r1")
		p.wantFreed(t, "r1")
	})
}

// At the gateway's end what can't be let go of is given up after releaseStop.
func TestStopGivesUpWhatNoEngineTakes(t *testing.T) {
	for answersBy, want := range map[float64]float64{0: releaseStop, 100: releaseStop, 3000: 3000 + releaseRest, 20000: releaseStopMost} {
		p := &peer{silent: map[ashwood.ServerID]int{"r1": 1e6}}
		in(t, p, func(t *testing.T, g *Gateway) {
			if answersBy > 0 {
				g.SetAnswerDeadline(g.clock.Now() + answersBy)
			}
			held(g, "q", "r1").release(true)
			begun := time.Now()
			g.Wait()
			if d := time.Since(begun); d != time.Duration(want)*time.Millisecond {
				t.Errorf("answers by %v: given up after %v", answersBy, d)
			}
		})
	}
}

// An answer that brought one event and no more has stopped where its engine says
// that nothing waits there; one whose work waits may hang, and is waited for.
func TestStoppedAnswerIsToldFromAHang(t *testing.T) {
	for waits, want := range map[float64]time.Duration{0: stopWait + stopLook, 5: stallWait} {
		stalled := &stalls{pieces: pieces{left: []string{"a"}}, waiting: make(chan struct{})}
		p := &peer{nodes: 300, place: ReserveRefused, load: ashwood.Report{ashwood.ReportQueue: waits, ashwood.ReportInFlight: 9},
			answers: map[ashwood.ServerID][]AttemptResult{
				"r1": {answer(ashwood.StatusPrefilled)}, "w1": {{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: stalled}}}}
		synctest.Test(t, func(t *testing.T) {
			g := startAt(t, p, SystemClock())
			p.probed = make(chan string, 99)
			stalled.waiting = make(chan struct{})
			r := serve(t, g, t.Context(), "chat")
			if piece, err := r.Stream.Next(); string(piece) != "a" || err != nil {
				t.Fatal(string(piece), err)
			}
			begun := time.Now()
			if _, err := r.Stream.Next(); !errors.Is(err, ErrStalled) {
				t.Errorf("ended with %v", err)
			}
			if d := time.Since(begun); d != want*time.Millisecond {
				t.Errorf("%v wait there: ended after %v", waits, d)
			}
			r.Stream.Close()
			g.Wait()
		})
	}
}

// A place call that comes to its writer after the answer's first token holds a
// place that this token did not let go of.
func TestLatePlaceIsLetGo(t *testing.T) {
	for _, place := range []ReserveResult{ReserveHeld, ReserveUnknown} {
		p := &peer{place: place, answer: make(chan struct{}), answers: map[ashwood.ServerID][]AttemptResult{
			"r1": {answer(ashwood.StatusPrefilled)}, "w1": {streams(io.EOF, "a")}}}
		g, _ := start(t, p)
		r := serve(t, g, context.Background(), "chat")
		close(p.answer)
		p.wantFreed(t, "w1")
		r.Stream.Close()
	}
}
