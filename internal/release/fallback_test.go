package release

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"ashwood.example/ashwood"
)

func fallbackOf(most int) *Fallback {
	return NewFallback(FallbackConfig{
		MaxSearchCalls: 6, PassInterval: 450, MaxAge: 60000, MaxWaiting: most, Rand: rand.New(rand.NewSource(1)), CalledElsewhere: func(ashwood.ServerID) bool { return false }, PendingAt: func(Key) bool { return false },
	})
}

func fleet(n int) func() (latest, all []ashwood.Server) {
	return func() (latest, all []ashwood.Server) {
		for i := range n {
			all = append(all, server(fmt.Sprint("e", i)))
		}
		return nil, all
	}
}

// callCounts are the calls at each engine.
type callCounts map[ashwood.ServerID]int

// ending is a call whose end is to come.
type ending struct {
	call FallbackCall
	at   float64
	made bool
}

func (e ending) end() CallResult {
	if e.made {
		return CallAnswered
	}
	return CallFailed
}

// playFallback has calls fail 100 ms after they were made until an engine is back, and counts them up to a time.
// Those that are answered are so after 1 ms.
func playFallback(f *Fallback, engines int, back ashwood.ServerID, at, until float64) (silent, answered callCounts) {
	silent, answered = callCounts{}, callCounts{}
	var out []ending
	for now := 0.0; now < until; now++ {
		for i := 0; i < len(out); i++ {
			if v := out[i]; v.at <= now {
				if v.made {
					f.Answered(v.call.Engine)
				} else {
					f.Unreachable(v.call.Engine.ID)
				}
				f.Done(v.call, v.end())
				out = append(out[:i], out[i+1:]...)
				i--
			}
		}
		calls, _ := f.NextCalls(now, fleet(engines))
		for _, c := range calls {
			if now >= at && c.Engine.ID == back {
				answered[c.Engine.ID]++
				out = append(out, ending{c, now + 1, true})
				continue
			}
			silent[c.Engine.ID]++
			out = append(out, ending{c, now + 100, false})
		}
	}
	return silent, answered
}

// While 40 engines are silent for 4 s, one gateway of 300 calls each of them once in 225 ms at most,
// however many releases wait; the first that is back is told of each once.
func TestFallback_CallsDoNotGrowWithWhatWaits(t *testing.T) {
	const engines, silence, every = 40, 4000, 450
	for _, waiting := range []int{1, 10, 1000} {
		f := fallbackOf(8192)
		for i := range waiting {
			f.Add(0, ashwood.RequestID(fmt.Sprint("q", i)), nil)
		}
		silent, answered := playFallback(f, engines, "e7", silence, silence+2000)
		for engine, n := range silent {
			if n > silence/(every/2)+1 {
				t.Errorf("%d waiting: %d calls at %s in %d ms", waiting, n, engine, silence)
			}
		}
		if len(silent) != engines {
			t.Errorf("%d waiting: %d of %d engines were asked", waiting, len(silent), engines)
		}
		if len(answered) != 1 || answered["e7"] != waiting || f.Len() != 0 {
			t.Errorf("%d waiting: answered %v, %d left", waiting, answered, f.Len())
		}
	}
}

// A release does not go beside the sending of its request, and is made if that did not leave. One that another call has
// made is not made again.
func TestFallback_PausedAndDropped(t *testing.T) {
	f := fallbackOf(10)
	f.Add(0, "q", nil)
	f.Pause("q", true)
	f.Answered(server("a"))
	if calls, next := f.NextCalls(0, fleet(1)); len(calls) != 0 || !math.IsInf(next, 1) {
		t.Errorf("beside the sending: %v, again in %v", calls, next)
	}
	f.Pause("q", false)
	calls, _ := f.NextCalls(1, fleet(1))
	if len(calls) != 1 || calls[0].Request != "q" || calls[0].Engine.ID != "a" {
		t.Fatalf("behind it: %v", calls)
	}
	if again, _ := f.NextCalls(2, fleet(1)); len(again) != 0 {
		t.Errorf("beside its own call: %v", again)
	}
	f.Unreachable("a")
	f.Done(calls[0], CallFailed)
	if calls, _ = f.NextCalls(3, fleet(1)); len(calls) != 1 {
		t.Errorf("behind a failed call: %v", calls)
	}
	if !f.Drop("q") || f.Drop("q") || f.Searching() {
		t.Error("not dropped once")
	}
	if calls, _ = f.NextCalls(1000, fleet(1)); len(calls) != 0 {
		t.Errorf("dropped, and called: %v", calls)
	}
}

// At its bounds the oldest is given up, and what has waited too long. Engines that are called for
// releases of their own are not asked.
func TestFallback_Bounds(t *testing.T) {
	f := fallbackOf(100)
	for i := range 300 {
		f.Add(float64(i), ashwood.RequestID(fmt.Sprint("q", i)), nil)
	}
	if f.Len() != 100 || f.Drop("q199") || !f.Drop("q200") {
		t.Errorf("%d wait, or not the latest", f.Len())
	}
	f.cfg.CalledElsewhere = func(id ashwood.ServerID) bool { return id != "e3" }
	if calls, _ := f.NextCalls(400, fleet(5)); len(calls) != 1 || calls[0].Engine.ID != "e3" || calls[0].Request != "q201" {
		t.Errorf("asked: %v", calls)
	}
	if f.NextCalls(70000, fleet(5)); f.Len() != 0 || f.Searching() {
		t.Errorf("%d wait for over a minute", f.Len())
	}
}

// Where no engine answers, a release is told once to each of the engines that let it be written, one behind the other, also beside a
// pass: to muteAtOnce of them where other such calls fill the room for them. It waits on for one that answers.
// Engines that are not known to run any more are forgotten.
func TestFallback_EnginesWithoutAnswers(t *testing.T) {
	for _, full := range []bool{false, true} {
		t.Run(fmt.Sprint("the room is full: ", full), func(t *testing.T) { toldWithoutAnswers(t, full) })
	}
}

func toldWithoutAnswers(t *testing.T, full bool) {
	f := fallbackOf(10)
	if full {
		f.muteOut = f.cfg.MaxSearchCalls
	}
	f.cfg.CalledElsewhere = func(ashwood.ServerID) bool { return true }
	for _, id := range []string{"a", "b", "c"} {
		f.Unanswered(server(id), true)
	}
	f.Unanswered(server("d"), false)
	f.Unanswered(server("e"), true)
	f.Unreachable("b")
	f.Add(0, "q", []ashwood.ServerID{"a"})
	calls, _ := f.NextCalls(0, fleet(4))
	if len(calls) != 1 || calls[0].Engine.ID != "c" && calls[0].Engine.ID != "e" {
		t.Fatalf("told %v, want c or e", calls)
	}
	f.Done(calls[0], CallUnanswered)
	if !full {
		told := calls[0].Engine.ID
		calls, _ = f.NextCalls(50, fleet(4))
		if len(calls) != 1 || calls[0].Engine.ID == told || calls[0].Engine.ID != "c" && calls[0].Engine.ID != "e" {
			t.Fatalf("told %v behind %s, want the other of c and e", calls, told)
		}
		f.Done(calls[0], CallUnanswered)
	}
	if calls, _ = f.NextCalls(100, fleet(4)); len(calls) != 0 || f.Len() != 1 {
		t.Errorf("told again: %v, %d wait", calls, f.Len())
	}
	if want := map[bool]int{true: f.cfg.MaxSearchCalls}[full]; f.muteOut != want {
		t.Errorf("%d calls without an answer are out, want %d", f.muteOut, want)
	}
	f.Answered(server("c")) // the call without an answer may have gone on a connection that was silent
	calls, _ = f.NextCalls(200, fleet(4))
	if len(calls) != 1 || calls[0].Engine.ID != "c" {
		t.Fatalf("told %v, want c", calls)
	}
	f.Done(calls[0], CallAnswered)
	if f.Len() != 0 {
		t.Error("made, and still waits")
	}
	f.RetainOnly(map[ashwood.ServerID]bool{"c": true})
	if len(f.mute) != 0 {
		t.Errorf("%d engines kept that are not in the list", len(f.mute))
	}
}
