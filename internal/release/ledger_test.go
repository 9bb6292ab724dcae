package release

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"ashwood.example/ashwood"
)

func newTestLedger(maxPending int) *Ledger {
	return New(Config{MinBackoff: 50, MaxBackoff: 200, MaxAge: 60000, RepeatDelays: []float64{150, 300}, MaxPending: maxPending, Rand: rand.New(rand.NewSource(1))})
}

func testServer(id string) ashwood.Server { return ashwood.Server{ID: ashwood.ServerID(id)} }

func testKey(engine, request string) Key {
	return Key{ashwood.ServerID(engine), ashwood.RequestID(request)}
}

// wantCalls returns the calls to make now and fails the test if their number is not as wanted.
func wantCalls(t *testing.T, l *Ledger, now float64, want int) []Call {
	t.Helper()
	calls, _ := l.NextCalls(now)
	if len(calls) != want {
		t.Fatalf("at %v: %d calls, want %d: %v", now, len(calls), want, calls)
	}
	return calls
}

func takeEndedTexts(l *Ledger) (s []string) {
	for _, e := range l.TakeEnded() {
		s = append(s, fmt.Sprint(e.Engine, "/", e.Request, " ", e.Reason))
	}
	return s
}

// An engine that is unreachable for 6 s, as a whole zone may be, gets its release within one backoff and
// one connect timeout of its return, and no more calls than the backoff allows.
func TestLedger_EngineUnreachableForSixSeconds(t *testing.T) {
	l := newTestLedger(10)
	l.Add(0, testServer("a"), "q", false)
	calls, deliveredAt := 0, 0.0
	for now := 0.0; deliveredAt == 0 && now < 10000; {
		got, next := l.NextCalls(now)
		for _, c := range got {
			calls++
			if now >= 6000 {
				l.Done(now, c, true)
				deliveredAt = now
				continue
			}
			now += 250 // a connect that times out
			l.Done(now, c, false)
			_, next = l.NextCalls(now)
		}
		if math.IsInf(next, 1) {
			break
		}
		now += next
	}
	if deliveredAt < 6000 || deliveredAt > 6000+250+200 || calls > 25 {
		t.Errorf("delivered at %v with %d calls", deliveredAt, calls)
	}
	if s := takeEndedTexts(l); len(s) != 1 || s[0] != "a/q made" || l.Len() != 0 {
		t.Errorf("%v, %d left", s, l.Len())
	}
}

// An engine that does not answer may be running and take calls. Each release is tried there once,
// at most maxCallsPerEngine at a time, and then one at a time, the one with the fewest tries first. Releases of
// another engine are not delayed, and the waiting ones follow once a call has got through.
func TestLedger_UnresponsiveEngine(t *testing.T) {
	l := newTestLedger(100)
	l.Add(0, testServer("a"), "q0", false)
	l.Done(300, wantCalls(t, l, 0, 1)[0], false)
	for i := 1; i < 6; i++ {
		l.Add(300, testServer("a"), ashwood.RequestID(fmt.Sprint("q", i)), false)
	}
	l.Add(300, testServer("b"), "q0", false)
	seen := map[Key]int{}
	for _, c := range wantCalls(t, l, 300, maxCallsPerEngine+1) {
		if c.Engine.ID == "a" && c.Try == 0 {
			t.Errorf("%+v may use a connection from before the failed call", c)
		}
		if seen[c.Key]++; c.Engine.ID == "a" {
			l.Done(600, c, false)
		}
	}
	if seen[testKey("b", "q0")] != 1 || seen[testKey("a", "q0")] != 0 {
		t.Errorf("first tries: %v", seen)
	}
	l.Done(900, wantCalls(t, l, 600, 1)[0], false) // the last of the first tries
	at := 1200.0
	for range 6 { // one at a time: each a second time before any a third time
		c := wantCalls(t, l, at, 1)[0]
		seen[c.Key]++
		wantCalls(t, l, at+200, 0)
		if at += 600; len(seen) < 6 || seen[c.Key] > 2 {
			t.Errorf("at %v: %v", at, seen)
		}
		l.Done(at-300, c, false)
	}
	l.Done(at, wantCalls(t, l, at, 1)[0], true)
	wantCalls(t, l, at, maxCallsPerEngine)
}

// What an engine held before its restart is gone. An engine that has left the membership
// is called as long as it takes calls.
func TestLedger_RestartedAndRemovedEngines(t *testing.T) {
	l := newTestLedger(10)
	l.Add(100, testServer("a"), "old", false)
	l.Add(300, testServer("a"), "new", false)
	l.EngineRestarted(400, "a", 200)
	if s := takeEndedTexts(l); len(s) != 1 || s[0] != "a/old restarted" {
		t.Errorf("%v", s)
	}
	l.Add(400, testServer("b"), "q", false)
	l.MarkAbsent(map[ashwood.ServerID]bool{"a": true})
	for _, c := range wantCalls(t, l, 400, 2) {
		l.Done(700, c, false)
	}
	if s := takeEndedTexts(l); len(s) != 1 || s[0] != "b/q restarted" || l.Len() != 1 {
		t.Errorf("%v, %d left", s, l.Len())
	}
}

// A release whose call was in flight when it was renewed is made again. A release whose
// request was sent to the engine again is not.
func TestLedger_RenewedAndWithdrawn(t *testing.T) {
	l := newTestLedger(10)
	l.Add(0, testServer("a"), "q", false)
	c := wantCalls(t, l, 0, 1)[0]
	l.Add(5, testServer("a"), "q", false)
	l.Done(10, c, true)
	c = wantCalls(t, l, 10, 1)[0]
	if !l.Withdraw(11, c.Key) || l.Withdraw(11, c.Key) {
		t.Error("Withdraw did not report the release exactly once")
	}
	l.Add(11, testServer("a"), "another", false)
	l.Discard(c)
	if l.Failing("a") {
		t.Error("a discarded call counts as a failure of its engine")
	}
	l.Done(12, wantCalls(t, l, 12, 1)[0], true)
	wantCalls(t, l, 1000, 0)
	if l.Len() != 0 || len(l.engines) != 0 {
		t.Errorf("%d pending, %d engines kept", l.Len(), len(l.engines))
	}
}

// An uncertain release is delivered three times and its end is reported with the first. Once the request has
// reached an engine, it is not repeated. A call made for an earlier release does not complete a later one.
func TestLedger_UncertainRelease(t *testing.T) {
	l := newTestLedger(10)
	l.Add(0, testServer("a"), "q", true)
	deliveredAt := []float64{}
	for now := 0.0; now < 2000; now += 10 {
		calls, _ := l.NextCalls(now)
		for _, c := range calls {
			deliveredAt = append(deliveredAt, now)
			l.Done(now, c, true)
		}
	}
	if s := takeEndedTexts(l); fmt.Sprint(deliveredAt) != "[0 150 450]" || fmt.Sprint(s) != "[a/q made]" || len(l.engines) != 0 {
		t.Errorf("delivered at %v: %v", deliveredAt, s)
	}
	l.Add(2000, testServer("a"), "q", true)
	l.Done(2000, wantCalls(t, l, 2000, 1)[0], true)
	l.RequestArrived(2010, testKey("a", "q"))
	wantCalls(t, l, 3000, 0)
	l.Add(3000, testServer("a"), "q", false)
	earlier := wantCalls(t, l, 3000, 1)[0]
	l.Withdraw(3010, earlier.Key)
	l.Add(3020, testServer("a"), "q", false)
	later := wantCalls(t, l, 3020, 1)[0]
	l.Done(3030, earlier, true)
	if l.Len() != 1 {
		t.Error("completed by the call of an earlier release")
	}
	l.Done(3040, later, true)
	if l.Len() != 0 || len(l.engines) != 0 {
		t.Errorf("%d pending, %d engines kept", l.Len(), len(l.engines))
	}
}

// At its limits the ledger drops the oldest releases and those that no engine has
// taken for too long, and reports their ends.
func TestLedger_Limits(t *testing.T) {
	l := newTestLedger(1024)
	for i := range 3000 {
		l.Add(float64(i), testServer(fmt.Sprint("s", i%1024)), ashwood.RequestID(fmt.Sprint("q", i)), false)
	}
	if s := takeEndedTexts(l); l.Len() != 1024 || len(l.engines) != 1024 || len(s) != 3000-1024 || s[0] != "s0/q0 crowded" {
		t.Errorf("%d pending at %d engines, %d ended", l.Len(), len(l.engines), len(s))
	}
	for _, c := range wantCalls(t, l, 3000, 1024) {
		l.Done(70000, c, false)
	}
	if s := takeEndedTexts(l); l.Len() != 0 || len(l.engines) != 0 || len(s) != 1024 || s[0][len(s[0])-7:] != "too old" {
		t.Errorf("%d pending, %d engines, %d ended", l.Len(), len(l.engines), len(s))
	}
}

// Guards against repeating an uncertain release after its request was sent to another engine while the call was in flight.
// Only a release that had already been delivered was withdrawn at a send: here the call ended after the send and was repeated
// 150 and 450 ms later, which dropped what was held by then. Seen occasionally in TestHolds_AbandonedBesideNextAttempt under
// the race detector ("r1 was told beside what was sent since").
func TestLedger_RequestSentDuringUncertainRelease(t *testing.T) {
	l := newTestLedger(10)
	l.Add(0, testServer("a"), "q", true)
	inFlight := wantCalls(t, l, 0, 1)[0]
	l.RequestArrived(5, testKey("a", "q"))
	l.Done(10, inFlight, true)
	wantCalls(t, l, 2000, 0)
	if s := takeEndedTexts(l); len(s) != 1 || s[0] != "a/q made" || l.Len() != 0 {
		t.Errorf("%v, %d pending", s, l.Len())
	}
	l.Add(3000, testServer("a"), "q", true)
	inFlight = wantCalls(t, l, 3000, 1)[0]
	l.RequestArrived(3005, testKey("a", "q"))
	l.Done(3010, inFlight, false) // not withdrawn: the engine has not received it
	wantCalls(t, l, 4000, 1)
}

// Guards against counting a renewed release as already tried at a hung engine. Soak seed 5003 (gateway 2): e6 hangs and gets a
// release while an attempt may still wait for its KV state, so that nothing is dropped; 18 ms later the client disconnects. The
// renewed release found the earlier call in flight, which got no answer, and so counted as tried ("e6 try=1 … written, and not
// answered" at 300 ms): its next call came 2.07 s later, after all others pending there. The hung engine has not received what
// was renewed, so the next call is a first try.
func TestLedger_RenewedAtHungEngine(t *testing.T) {
	l := newTestLedger(10)
	l.Add(0, testServer("a"), "q", false)
	first := wantCalls(t, l, 0, 1)[0]
	l.Add(18, testServer("a"), "q", false)
	l.Done(300, first, false)
	again := wantCalls(t, l, 300, 1)[0]
	if again.Request != "q" {
		t.Errorf("called for %s, want q", again.Request)
	}
	l.Done(600, again, false)
	wantCalls(t, l, 600, 0)
	l.Add(610, testServer("a"), "q", false)
	wantCalls(t, l, 610, 1)
}

// Guards against no longer repeating an uncertain release whose call failed while the request was sent elsewhere. Soak seeds 133
// and 135 with --silence: a prefill at e6, which has vanished, is abandoned, and its release is in flight and fails as the request
// is sent on. The release is delivered at 4.061 s, when e6 runs again and takes up the prefill at the same time: e6 holds KV state
// from 4.128 s on and got no release before the request's end. Only the call that was in flight at the send must not be repeated.
func TestLedger_UncertainAfterFailedCall(t *testing.T) {
	l := newTestLedger(10)
	l.Add(0, testServer("a"), "q", true)
	inFlight := wantCalls(t, l, 0, 1)[0]
	l.RequestArrived(5, testKey("a", "q"))
	l.Done(300, inFlight, false)
	deliveredAt := []float64{}
	for now := 300.0; now < 3000; now += 10 {
		calls, _ := l.NextCalls(now)
		for _, c := range calls {
			deliveredAt = append(deliveredAt, now)
			l.Done(now, c, true)
		}
	}
	if len(deliveredAt) != 3 || deliveredAt[1]-deliveredAt[0] != 150 || deliveredAt[2]-deliveredAt[1] != 300 {
		t.Errorf("delivered at %v, want three times, 150 and 300 ms apart", deliveredAt)
	}
}

// While a request is being sent to another engine, an uncertain release is delivered once and not repeated. After the send, or
// once renewed, it is. A release that is not uncertain does not wait.
func TestLedger_PausedRepeats(t *testing.T) {
	l := newTestLedger(10)
	l.Add(0, testServer("a"), "q", true)
	l.Add(0, testServer("b"), "q", false)
	if !l.Pause(testKey("a", "q"), true) || l.Pause(testKey("b", "q"), true) || l.Pause(testKey("c", "q"), true) {
		t.Error("Pause does not report exactly the uncertain releases")
	}
	for _, c := range wantCalls(t, l, 0, 2) {
		l.Done(0, c, true)
	}
	wantCalls(t, l, 1000, 0)
	if l.HasPending("a") { // otherwise a search for an engine that answers would skip it
		t.Error("a paused repeat counts as pending")
	}
	l.Pause(testKey("a", "q"), false)
	if !l.HasPending("a") {
		t.Error("a repeat that is not paused does not count as pending")
	}
	l.Done(1000, wantCalls(t, l, 1000, 1)[0], true)
	l.Pause(testKey("a", "q"), true)
	wantCalls(t, l, 2000, 0)
	l.Add(2000, testServer("a"), "q", true)
	l.Done(2000, wantCalls(t, l, 2000, 1)[0], true)
	l.Done(2150, wantCalls(t, l, 2150, 1)[0], true)
}

// A repeat that fails is passed on to other engines, except while its request is being sent: then it is made at its own engine
// first, once the send has ended without a liveness signal.
func TestLedger_RepeatPassedOn(t *testing.T) {
	l := New(Config{MinBackoff: 50, MaxBackoff: 200, MaxAge: 60000, RepeatDelays: []float64{150, 300}, MaxPending: 10, Rand: rand.New(rand.NewSource(1))})
	k := Key{"a", "q"}
	l.Add(0, testServer("a"), "q", true)
	failCall := func(now float64, duringCall func()) int {
		calls, _ := l.NextCalls(now)
		if len(calls) != 1 {
			t.Fatalf("%v: calls %v, want one", now, calls)
		}
		duringCall()
		l.Done(now, calls[0], false)
		return len(l.TakeRepeats())
	}
	calls, _ := l.NextCalls(0)
	l.Done(0, calls[0], true)
	if n := failCall(150, func() { l.Pause(k, true) }); n != 0 {
		t.Errorf("%d passed on during the send, want 0", n)
	}
	l.Pause(k, false)
	if n := failCall(1000, func() {}); n != 1 {
		t.Errorf("%d passed on after a send without a liveness signal, want 1", n)
	}
}
