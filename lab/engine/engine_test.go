package engine

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestRequestRunsThroughBothStages(t *testing.T) {
	f := plain(t, nil)
	r := send(t, f, "r", order("x", 100))
	got := last(until(t, f, 1000), r)
	if got.Kind != EventRead || got.At != 100 || !f.Held("r", "x") {
		t.Fatalf("the read: %+v, held %v", got, f.Held("r", "x"))
	}
	w := send(t, f, "w1", order("x", 100))
	list := until(t, f, 3000)
	first, end := of(list, w), last(list, w)
	// 100 ms on the port, then ten steps of 10 ms.
	if first[0] != EventTokens || end.Kind != EventEnd || end.Tokens != 10 || end.At != 1200 {
		t.Fatalf("the answer: %v, %+v", first, end)
	}
	if !f.Idle() {
		t.Fatal("something is left")
	}
}

// The wait in the queue of a single server with constant service is that of M/D/1.
func TestQueueWaitsAsInMD1(t *testing.T) {
	const service, load, n = 100.0, 0.7, 200000
	f := plain(t, func(c *Config) { c.Kinds[0].Slots, c.Kinds[0].MaxQueue = 1, 1e6 })
	r := rand.New(rand.NewPCG(1, 2))
	at, waits := 0.0, 0.0
	began := map[Call]float64{}
	take := func() {
		for _, e := range f.Take() {
			waits += e.At - began[e.Call] - service
			delete(began, e.Call)
			f.Release("r", fmt.Sprint("q", e.Call))
		}
	}
	for range n {
		at += r.ExpFloat64() * service / load
		for f.Next() <= at {
			f.Advance(f.Next())
			take()
		}
		f.Advance(at)
		j := order(fmt.Sprint("q", f.lastID+1), service)
		j.Remaining = math.MaxFloat64
		began[send(t, f, "r", j)] = at
	}
	want := load * service / (2 * (1 - load))
	if got := waits / n; math.Abs(got-want) > 0.03*want {
		t.Fatalf("mean wait %.2f ms, M/D/1 has %.2f", got, want)
	}
}

func TestPromptsAreReadFromWhereKeptOnesEnd(t *testing.T) {
	f := plain(t, nil)
	first := order("a", 600)
	first.Prompt.Shared, first.Prompt.SharedTokens = "s", 400
	a := send(t, f, "r", first)
	until(t, f, 1000)
	other := order("b", 500)
	other.Prompt.Shared, other.Prompt.SharedTokens = "s", 400
	b := send(t, f, "r", other)
	got := last(until(t, f, 3000), b)
	if got.Kept != 400 || got.At != 1100 {
		t.Fatalf("another session: %+v", got)
	}
	next := first
	next.Request, next.Prompt.Tokens = "c", 900
	c := send(t, f, "r", next)
	if got = last(until(t, f, 5000), c); got.Kept != 600 || got.At != 3300 {
		t.Fatalf("the next turn: %+v (first call %d)", got, a)
	}
}

func TestMovesShareAPortEvenly(t *testing.T) {
	f := plain(t, nil)
	send(t, f, "r", order("x", 100))
	send(t, f, "r", order("y", 300))
	until(t, f, 1000)
	x, y := send(t, f, "w1", order("x", 100)), send(t, f, "w2", order("y", 300))
	list := until(t, f, 3000)
	// Both at half the rate until x has come at 1200, y has 200 left then.
	if ex, ey := last(list, x).At, last(list, y).At; ex != 1300 || ey != 1500 {
		t.Fatalf("ends at %v and %v", ex, ey)
	}
}

// Times since 1970 are no finer than 0.0002 ms; ends must not round to the
// present for ever.
func TestMovesEndAtTimesSince1970(t *testing.T) {
	f := plain(t, nil)
	f.now = 1796145695000.123
	for i := range 50 {
		send(t, f, "r", order(fmt.Sprint(i), 10+float64(i)/7))
	}
	start := f.now
	var w []Call
	until(t, f, start+60000)
	for i := range 50 {
		w = append(w, send(t, f, "w1", order(fmt.Sprint(i), 10+float64(i)/7)))
	}
	steps := 0
	for f.Next() < start+120000 {
		f.Advance(f.Next())
		if steps++; steps > 10000 {
			t.Fatal("it does not get on")
		}
	}
	list := f.Take()
	for _, c := range w {
		if got := last(list, c).Kind; got != EventEnd && got != EventNoState && got != EventAway {
			t.Fatalf("call %d: %v", c, got)
		}
	}
}

func TestPlaceLetsTheStateFlowAhead(t *testing.T) {
	f := plain(t, nil)
	send(t, f, "r", order("x", 200))
	p, _ := f.Reserve("w1", "x")
	if got := last(f.Take(), p).Kind; got != EventHeld {
		t.Fatalf("the place: %v", got)
	}
	until(t, f, 200)
	w := send(t, f, "w1", order("x", 200))
	if got := last(until(t, f, 3000), w); got.At != 400 { // half the state in 100 ms, ten steps
		t.Fatalf("the answer's end: %+v", got)
	}
	late, _ := f.Reserve("w1", "x")
	if got := last(until(t, f, 4000), late); got.Kind != EventUnknown || got.At != 3300 {
		t.Fatalf("a place asked for too late: %+v", got)
	}
}

func TestReleaseThatCrossesAPlace(t *testing.T) {
	f := plain(t, nil)
	send(t, f, "r", order("x", 200))
	f.Reserve("w1", "x")
	until(t, f, 250) // the state is on its way to the place
	if err := f.Release("w1", "x"); err != nil {
		t.Fatal(err)
	}
	w := send(t, f, "w2", order("x", 200))
	if got := last(until(t, f, 3000), w); got.Kind != EventEnd {
		t.Fatalf("the state should have stayed at its reader: %+v", got)
	}
	send(t, f, "r", order("y", 200))
	f.Reserve("w1", "y")
	until(t, f, 4000)
	f.Release("r", "y") // it has moved: its reader has nothing
	if !f.Held("w1", "y") {
		t.Fatal("the place has gone with a release at the reader")
	}
	other := send(t, f, "w2", order("y", 200))
	if got := last(f.Take(), other).Kind; got != EventNoState {
		t.Fatalf("a state that has moved is at its place alone: %v", got)
	}
	f.Release("w1", "y")
	if !f.Idle() {
		t.Fatal("something is left")
	}
}

func TestReaderDiesWithStatesWaiting(t *testing.T) {
	f := plain(t, nil)
	send(t, f, "r", order("x", 100))
	send(t, f, "r", order("y", 400))
	until(t, f, 1000)
	fetch := send(t, f, "w1", order("y", 400))
	until(t, f, 1100)
	if err := f.Inject(Fault{Kind: FaultCrash, Engines: []string{"r"}, Start: 1100, Duration: 500}); err != nil {
		t.Fatal(err)
	}
	list := until(t, f, 1200)
	if got := of(list, fetch); len(got) != 1 || got[0] != EventNoState {
		t.Fatalf("the fetch under way: %v", got)
	}
	w := send(t, f, "w2", order("x", 100))
	if got := last(f.Take(), w).Kind; got != EventNoState {
		t.Fatalf("a state that waited: %v", got)
	}
	if _, err := f.Send("r", order("z", 10)); !errors.Is(err, ErrDown) {
		t.Fatalf("a dead box took work: %v", err)
	}
	until(t, f, 2000)
	if f.StartedAt("r") != 1600 {
		t.Fatalf("cold since %v", f.StartedAt("r"))
	}
}

func TestMemoryRunsOutInMidAnswer(t *testing.T) {
	f := plain(t, func(c *Config) {
		c.Kinds[1].MemoryTokens = 245
		c.Classes[2].OutputTokens = 40
	})
	send(t, f, "r", order("x", 100))
	send(t, f, "r", order("y", 100))
	until(t, f, 1000)
	x, y := send(t, f, "w1", order("x", 100)), send(t, f, "w1", order("y", 100))
	list := until(t, f, 5000)
	ex, ey := last(list, x), last(list, y)
	if ex.Kind != EventEnd || ey.Kind != EventEnd || ex.Tokens != 40 || ey.Tokens != 40 {
		t.Fatalf("ends: %+v, %+v", ex, ey)
	}
	if ey.At < ex.At+100 {
		t.Fatalf("the newer one should have waited for the older: %v, %v", ex.At, ey.At)
	}
}

func TestConnectionsAreCappedAndTakeCapacity(t *testing.T) {
	f := plain(t, func(c *Config) {
		c.Kinds[0].MaxConns, c.Kinds[0].FullTax, c.Kinds[0].HandshakeMs, c.Kinds[0].ProbeMs = 10, 0.5, 7, 5
	})
	for range 10 {
		if err := f.Connect("r"); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Connect("r"); !errors.Is(err, ErrFull) {
		t.Fatalf("beyond its table: %v", err)
	}
	busy := send(t, f, "r", order("x", 100))
	f.Probe("r")
	next := send(t, f, "r", order("y", 100))
	// 100 ms at half the capacity, behind the handshakes' work; the probe's falls into the next step.
	list := until(t, f, 5000)
	if a, b := last(list, busy).At, last(list, next).At; a != 270 || b != 475 {
		t.Fatalf("reads end at %v and %v", a, b)
	}
	f.Disconnect("r")
	if err := f.Connect("r"); err != nil {
		t.Fatal(err)
	}
}

func TestReportsAreLate(t *testing.T) {
	f := plain(t, func(c *Config) { c.Reports.PeriodMs, c.Reports.DelayMs = 100, 200 })
	until(t, f, 1000)
	f.Probe("r") // a picture of an idle box
	send(t, f, "r", order("x", 2000))
	until(t, f, 1150)
	if r, _ := f.Probe("r"); r.InFlight != 0 {
		t.Fatalf("it shows at once: %+v", r)
	}
	until(t, f, 1400)
	if r, _ := f.Probe("r"); r.InFlight != 1 || r.Pending < 1.5 {
		t.Fatalf("it does not show: %+v", r)
	}
}

func TestConfigErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct {
		change func(*Config)
		want   string
	}{
		{func(c *Config) { c.Kinds[1].Slots = 0 }, "engine: kinds[1].slots: 0 is not from 1 to 100000"},
		{func(c *Config) { c.Kinds[0].Cancel = "x" }, `engine: kinds[0].cancel: "x" is none of "ignored", "queued", "honoured"`},
		{func(c *Config) { c.Engines = []Spec{{"a", "none", "z", 0}} }, `engine: boxes[0].kind: unknown value "none"`},
	} {
		cfg := DefaultConfig()
		c.change(&cfg)
		if _, err := New(cfg, 0); err == nil || err.Error() != c.want {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
}

// BenchmarkFleet is the cost of one request at a fleet of a thousand boxes that
// works at about half its capacity, in virtual time.
func BenchmarkFleet(b *testing.B) {
	for _, boxes := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			cfg := DefaultConfig()
			for i := range boxes {
				cfg.Engines = append(cfg.Engines, Spec{fmt.Sprint("b", i), cfg.Kinds[i%3].Name, "a", i / 6})
			}
			f, err := New(cfg, 0)
			if err != nil {
				b.Fatal(err)
			}
			r := rand.New(rand.NewPCG(1, 1))
			next := map[Call]Job{}
			now := 0.0
			for i := 0; b.Loop(); i++ {
				now += r.ExpFloat64() * 1000 / (2.2 * float64(boxes))
				f.Advance(now)
				for _, e := range f.Take() {
					j, ok := next[e.Call]
					if delete(next, e.Call); ok && e.Kind == EventRead {
						cell := r.IntN(boxes / 3)
						f.Send(fmt.Sprint("b", cell*3+1+r.IntN(2)), j)
					}
				}
				j := order(fmt.Sprint("q", i), 3000)
				j.Prompt.Session = fmt.Sprint(r.IntN(100 * boxes))
				if c, err := f.Send(fmt.Sprint("b", r.IntN(boxes/3)*3), j); err == nil {
					next[c] = j
				}
			}
		})
	}
}
