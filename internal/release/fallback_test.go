package release

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"ashwood.example/ashwood"
)

func newTestFallback(maxWaiting int) *Fallback {
	return NewFallback(FallbackConfig{
		MaxSearchCalls: 6, PassInterval: 450, MaxAge: 60000, MaxWaiting: maxWaiting, Rand: rand.New(rand.NewSource(1)), CalledElsewhere: func(ashwood.ServerID) bool { return false }, PendingAt: func(Key) bool { return false },
	})
}

func candidateFleet(n int) func() (answeredLast, all []ashwood.Server) {
	return func() (answeredLast, all []ashwood.Server) {
		for i := range n {
			all = append(all, testServer(fmt.Sprint("e", i)))
		}
		return nil, all
	}
}

// callCounts holds the number of calls per engine.
type callCounts map[ashwood.ServerID]int

// scheduledResult is a call in flight with the time and kind of its result.
type scheduledResult struct {
	call     FallbackCall
	at       float64
	answered bool
}

func (s scheduledResult) result() CallResult {
	if s.answered {
		return CallAnswered
	}
	return CallFailed
}

// simulateFallback counts the calls per engine up to a time. All calls fail after 100 ms, until one engine recovers:
// calls to that one are then answered after 1 ms.
func simulateFallback(f *Fallback, engines int, recovered ashwood.ServerID, recoveredAt, until float64) (unansweredCalls, answeredCalls callCounts) {
	unansweredCalls, answeredCalls = callCounts{}, callCounts{}
	var inFlight []scheduledResult
	for now := 0.0; now < until; now++ {
		for i := 0; i < len(inFlight); i++ {
			if scheduled := inFlight[i]; scheduled.at <= now {
				if scheduled.answered {
					f.Answered(scheduled.call.Engine)
				} else {
					f.Unreachable(scheduled.call.Engine.ID)
				}
				f.Done(scheduled.call, scheduled.result())
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				i--
			}
		}
		calls, _ := f.NextCalls(now, candidateFleet(engines))
		for _, c := range calls {
			if now >= recoveredAt && c.Engine.ID == recovered {
				answeredCalls[c.Engine.ID]++
				inFlight = append(inFlight, scheduledResult{c, now + 1, true})
				continue
			}
			unansweredCalls[c.Engine.ID]++
			inFlight = append(inFlight, scheduledResult{c, now + 100, false})
		}
	}
	return unansweredCalls, answeredCalls
}

// While 40 engines are silent for 4 s, one of 300 gateways calls each of them at most once in 225 ms,
// however many releases wait. The first engine that recovers gets each release once.
func TestFallback_CallCountManyWaiting(t *testing.T) {
	const engines, silence, passInterval = 40, 4000, 450
	for _, waiting := range []int{1, 10, 1000} {
		f := newTestFallback(8192)
		for i := range waiting {
			f.Add(0, ashwood.RequestID(fmt.Sprint("q", i)), nil)
		}
		unansweredCalls, answeredCalls := simulateFallback(f, engines, "e7", silence, silence+2000)
		for engine, n := range unansweredCalls {
			if n > silence/(passInterval/2)+1 {
				t.Errorf("%d waiting: %d calls at %s in %d ms", waiting, n, engine, silence)
			}
		}
		if len(unansweredCalls) != engines {
			t.Errorf("%d waiting: %d of %d engines were called", waiting, len(unansweredCalls), engines)
		}
		if len(answeredCalls) != 1 || answeredCalls["e7"] != waiting || f.Len() != 0 {
			t.Errorf("%d waiting: answered %v, %d left", waiting, answeredCalls, f.Len())
		}
	}
}

// A release is not made while its request is being sent, and is made if the request did not leave. A release that
// another call has completed is not made again.
func TestFallback_PausedAndDropped(t *testing.T) {
	f := newTestFallback(10)
	f.Add(0, "q", nil)
	f.Pause("q", true)
	f.Answered(testServer("a"))
	if calls, next := f.NextCalls(0, candidateFleet(1)); len(calls) != 0 || !math.IsInf(next, 1) {
		t.Errorf("during the send: %v, next in %v", calls, next)
	}
	f.Pause("q", false)
	calls, _ := f.NextCalls(1, candidateFleet(1))
	if len(calls) != 1 || calls[0].Request != "q" || calls[0].Engine.ID != "a" {
		t.Fatalf("after the send: %v", calls)
	}
	if again, _ := f.NextCalls(2, candidateFleet(1)); len(again) != 0 {
		t.Errorf("during its own call: %v", again)
	}
	f.Unreachable("a")
	f.Done(calls[0], CallFailed)
	if calls, _ = f.NextCalls(3, candidateFleet(1)); len(calls) != 1 {
		t.Errorf("after a failed call: %v", calls)
	}
	if !f.Drop("q") || f.Drop("q") || f.Searching() {
		t.Error("the release was not dropped exactly once, or a search goes on")
	}
	if calls, _ = f.NextCalls(1000, candidateFleet(1)); len(calls) != 0 {
		t.Errorf("calls for a dropped release: %v", calls)
	}
}

// At its limits the fallback drops the oldest release and those that have waited too long. Engines that are
// called for releases of their own are skipped.
func TestFallback_Limits(t *testing.T) {
	f := newTestFallback(100)
	for i := range 300 {
		f.Add(float64(i), ashwood.RequestID(fmt.Sprint("q", i)), nil)
	}
	if f.Len() != 100 || f.Drop("q199") || !f.Drop("q200") {
		t.Errorf("%d wait, want the latest 100", f.Len())
	}
	f.cfg.CalledElsewhere = func(id ashwood.ServerID) bool { return id != "e3" }
	if calls, _ := f.NextCalls(400, candidateFleet(5)); len(calls) != 1 || calls[0].Engine.ID != "e3" || calls[0].Request != "q201" {
		t.Errorf("calls %v, want q201 at e3", calls)
	}
	if f.NextCalls(70000, candidateFleet(5)); f.Len() != 0 || f.Searching() {
		t.Errorf("%d still wait after more than a minute", f.Len())
	}
}

// If no engine answers, a release is sent once to each engine to which it can be written, one after the other, also during a
// pass; to minUnresponsiveTries of them if other such calls use up the limit. It keeps waiting for an engine that answers.
// Engines that are no longer in the membership are forgotten.
func TestFallback_UnresponsiveEngines(t *testing.T) {
	for _, saturated := range []bool{false, true} {
		t.Run(fmt.Sprint("call limit reached: ", saturated), func(t *testing.T) { testUnresponsiveEngines(t, saturated) })
	}
}

func testUnresponsiveEngines(t *testing.T, saturated bool) {
	f := newTestFallback(10)
	if saturated {
		f.unresponsiveCalls = f.cfg.MaxSearchCalls
	}
	f.cfg.CalledElsewhere = func(ashwood.ServerID) bool { return true }
	for _, id := range []string{"a", "b", "c"} {
		f.Unanswered(testServer(id), true)
	}
	f.Unanswered(testServer("d"), false)
	f.Unanswered(testServer("e"), true)
	f.Unreachable("b")
	f.Add(0, "q", []ashwood.ServerID{"a"})
	calls, _ := f.NextCalls(0, candidateFleet(4))
	if len(calls) != 1 || calls[0].Engine.ID != "c" && calls[0].Engine.ID != "e" {
		t.Fatalf("called %v, want c or e", calls)
	}
	f.Done(calls[0], CallUnanswered)
	if !saturated {
		firstEngine := calls[0].Engine.ID
		calls, _ = f.NextCalls(50, candidateFleet(4))
		if len(calls) != 1 || calls[0].Engine.ID == firstEngine || calls[0].Engine.ID != "c" && calls[0].Engine.ID != "e" {
			t.Fatalf("called %v after %s, want the other of c and e", calls, firstEngine)
		}
		f.Done(calls[0], CallUnanswered)
	}
	if calls, _ = f.NextCalls(100, candidateFleet(4)); len(calls) != 0 || f.Len() != 1 {
		t.Errorf("called again: %v, %d wait", calls, f.Len())
	}
	if want := map[bool]int{true: f.cfg.MaxSearchCalls}[saturated]; f.unresponsiveCalls != want {
		t.Errorf("%d calls at unresponsive engines are in flight, want %d", f.unresponsiveCalls, want)
	}
	f.Answered(testServer("c")) // perhaps only the connection of the unanswered call was silent
	calls, _ = f.NextCalls(200, candidateFleet(4))
	if len(calls) != 1 || calls[0].Engine.ID != "c" {
		t.Fatalf("called %v, want c", calls)
	}
	f.Done(calls[0], CallAnswered)
	if f.Len() != 0 {
		t.Error("a completed release still waits")
	}
	f.RetainOnly(map[ashwood.ServerID]bool{"c": true})
	if len(f.unresponsive) != 0 {
		t.Errorf("%d engines kept that are not in the membership", len(f.unresponsive))
	}
}
