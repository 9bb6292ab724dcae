package engine

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestFleet_PrefillThenDecode(t *testing.T) {
	f := newTestFleet(t, nil)
	r := send(t, f, "r", testJob("x", 100))
	got := lastEvent(advanceTo(t, f, 1000), r)
	if got.Kind != EventPrefilled || got.At != 100 || !f.Held("r", "x") {
		t.Fatalf("prefill: %+v, held %v", got, f.Held("r", "x"))
	}
	w := send(t, f, "w1", testJob("x", 100))
	list := advanceTo(t, f, 3000)
	first, end := eventKinds(list, w), lastEvent(list, w)
	// 100 ms on the local link, then ten steps of 10 ms.
	if first[0] != EventTokens || end.Kind != EventEnd || end.Tokens != 10 || end.At != 1200 {
		t.Fatalf("answer: %v, %+v", first, end)
	}
	if !f.Idle() {
		t.Fatal("the fleet is not idle")
	}
}

// The mean wait in the queue of a single server with constant service time is that
// of M/D/1.
func TestQueue_WaitMatchesMD1(t *testing.T) {
	const service, load, n = 100.0, 0.7, 200000
	f := newTestFleet(t, func(c *Config) { c.Kinds[0].Slots, c.Kinds[0].MaxQueue = 1, 1e6 })
	r := rand.New(rand.NewPCG(1, 2))
	at, waits := 0.0, 0.0
	sentAt := map[Call]float64{}
	take := func() {
		for _, e := range f.TakeEvents() {
			waits += e.At - sentAt[e.Call] - service
			delete(sentAt, e.Call)
			f.Release("r", fmt.Sprint("q", e.Call))
		}
	}
	for range n {
		at += r.ExpFloat64() * service / load
		for f.NextEventAt() <= at {
			f.Advance(f.NextEventAt())
			take()
		}
		f.Advance(at)
		j := testJob(fmt.Sprint("q", f.lastCall+1), service)
		j.Remaining = math.MaxFloat64
		sentAt[send(t, f, "r", j)] = at
	}
	want := load * service / (2 * (1 - load))
	if got := waits / n; math.Abs(got-want) > 0.03*want {
		t.Fatalf("mean wait %.2f ms, M/D/1 has %.2f", got, want)
	}
}

func TestPrefill_CachedPrefixIsSkipped(t *testing.T) {
	f := newTestFleet(t, nil)
	first := testJob("a", 600)
	first.Prompt.Prefix, first.Prompt.PrefixTokens = "s", 400
	a := send(t, f, "r", first)
	advanceTo(t, f, 1000)
	other := testJob("b", 500)
	other.Prompt.Prefix, other.Prompt.PrefixTokens = "s", 400
	b := send(t, f, "r", other)
	got := lastEvent(advanceTo(t, f, 3000), b)
	if got.CachedTokens != 400 || got.At != 1100 {
		t.Fatalf("another session with the same prefix: %+v", got)
	}
	next := first
	next.Request, next.Prompt.Tokens = "c", 900
	c := send(t, f, "r", next)
	if got = lastEvent(advanceTo(t, f, 5000), c); got.CachedTokens != 600 || got.At != 3300 {
		t.Fatalf("the session's next turn: %+v (first call %d)", got, a)
	}
}

func TestTransfers_ShareLinkEvenly(t *testing.T) {
	f := newTestFleet(t, nil)
	send(t, f, "r", testJob("x", 100))
	send(t, f, "r", testJob("y", 300))
	advanceTo(t, f, 1000)
	x, y := send(t, f, "w1", testJob("x", 100)), send(t, f, "w2", testJob("y", 300))
	list := advanceTo(t, f, 3000)
	// Both run at half the rate until x has arrived at 1200; y has 200 left then.
	if ex, ey := lastEvent(list, x).At, lastEvent(list, y).At; ex != 1300 || ey != 1500 {
		t.Fatalf("answers end at %v and %v", ex, ey)
	}
}

// Times since 1970 are no finer than 0.0002 ms; completions must not round to the
// present for ever.
func TestTransfers_EpochTimestamps(t *testing.T) {
	f := newTestFleet(t, nil)
	f.now = 1796145695000.123
	for i := range 50 {
		send(t, f, "r", testJob(fmt.Sprint(i), 10+float64(i)/7))
	}
	start := f.now
	var w []Call
	advanceTo(t, f, start+60000)
	for i := range 50 {
		w = append(w, send(t, f, "w1", testJob(fmt.Sprint(i), 10+float64(i)/7)))
	}
	steps := 0
	for f.NextEventAt() < start+120000 {
		f.Advance(f.NextEventAt())
		if steps++; steps > 10000 {
			t.Fatal("no progress: more than 10000 timers")
		}
	}
	list := f.TakeEvents()
	for _, c := range w {
		if got := lastEvent(list, c).Kind; got != EventEnd && got != EventNoState && got != EventRejected {
			t.Fatalf("call %d ended with event kind %v", c, got)
		}
	}
}

func TestReserve_StateTransferredEarly(t *testing.T) {
	f := newTestFleet(t, nil)
	send(t, f, "r", testJob("x", 200))
	p, _ := f.Reserve("w1", "x")
	if got := lastEvent(f.TakeEvents(), p).Kind; got != EventReserved {
		t.Fatalf("reservation: %v", got)
	}
	advanceTo(t, f, 200)
	w := send(t, f, "w1", testJob("x", 200))
	if got := lastEvent(advanceTo(t, f, 3000), w); got.At != 400 { // half the KV state in 100 ms, ten steps
		t.Fatalf("end of the answer: %+v", got)
	}
	late, _ := f.Reserve("w1", "x")
	if got := lastEvent(advanceTo(t, f, 4000), late); got.Kind != EventNoPrefill || got.At != 3300 {
		t.Fatalf("reservation after the prefill's end: %+v", got)
	}
}

func TestRelease_DuringReservedTransfer(t *testing.T) {
	f := newTestFleet(t, nil)
	send(t, f, "r", testJob("x", 200))
	f.Reserve("w1", "x")
	advanceTo(t, f, 250) // the KV state is on its way to the reservation
	if err := f.Release("w1", "x"); err != nil {
		t.Fatal(err)
	}
	w := send(t, f, "w2", testJob("x", 200))
	if got := lastEvent(advanceTo(t, f, 3000), w); got.Kind != EventEnd {
		t.Fatalf("the KV state should have stayed at its prefill engine: %+v", got)
	}
	send(t, f, "r", testJob("y", 200))
	f.Reserve("w1", "y")
	advanceTo(t, f, 4000)
	f.Release("r", "y") // it was transferred: its prefill engine holds nothing
	if !f.Held("w1", "y") {
		t.Fatal("a release at the prefill engine has freed the reservation")
	}
	other := send(t, f, "w2", testJob("y", 200))
	if got := lastEvent(f.TakeEvents(), other).Kind; got != EventNoState {
		t.Fatalf("a transferred KV state should only be at its reservation: %v", got)
	}
	f.Release("w1", "y")
	if !f.Idle() {
		t.Fatal("the fleet is not idle")
	}
}

func TestPrefillEngineCrash_StatesWaiting(t *testing.T) {
	f := newTestFleet(t, nil)
	send(t, f, "r", testJob("x", 100))
	send(t, f, "r", testJob("y", 400))
	advanceTo(t, f, 1000)
	fetch := send(t, f, "w1", testJob("y", 400))
	advanceTo(t, f, 1100)
	if err := f.Inject(Fault{Kind: FaultCrash, Engines: []string{"r"}, Start: 1100, Duration: 500}); err != nil {
		t.Fatal(err)
	}
	list := advanceTo(t, f, 1200)
	if got := eventKinds(list, fetch); len(got) != 1 || got[0] != EventNoState {
		t.Fatalf("fetch in flight: %v", got)
	}
	w := send(t, f, "w2", testJob("x", 100))
	if got := lastEvent(f.TakeEvents(), w).Kind; got != EventNoState {
		t.Fatalf("waiting KV state: %v", got)
	}
	if _, err := f.Send("r", testJob("z", 10)); !errors.Is(err, ErrNotRunning) {
		t.Fatalf("a dead engine accepted work: %v", err)
	}
	advanceTo(t, f, 2000)
	if f.StartedAt("r") != 1600 {
		t.Fatalf("started at %v", f.StartedAt("r"))
	}
}

func TestDecode_MemoryExhausted(t *testing.T) {
	f := newTestFleet(t, func(c *Config) {
		c.Kinds[1].MemoryTokens = 245
		c.Classes[2].OutputTokens = 40
	})
	send(t, f, "r", testJob("x", 100))
	send(t, f, "r", testJob("y", 100))
	advanceTo(t, f, 1000)
	x, y := send(t, f, "w1", testJob("x", 100)), send(t, f, "w1", testJob("y", 100))
	list := advanceTo(t, f, 5000)
	ex, ey := lastEvent(list, x), lastEvent(list, y)
	if ex.Kind != EventEnd || ey.Kind != EventEnd || ex.Tokens != 40 || ey.Tokens != 40 {
		t.Fatalf("answers end with %+v, %+v", ex, ey)
	}
	if ey.At < ex.At+100 {
		t.Fatalf("the newer answer should have waited for the older: ends at %v, %v", ex.At, ey.At)
	}
}

func TestConnections_LimitAndCost(t *testing.T) {
	f := newTestFleet(t, func(c *Config) {
		c.Kinds[0].MaxConns, c.Kinds[0].FullConnsCost, c.Kinds[0].HandshakeMs, c.Kinds[0].ProbeMs = 10, 0.5, 7, 5
	})
	for range 10 {
		if err := f.Connect("r"); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Connect("r"); !errors.Is(err, ErrTooManyConnections) {
		t.Fatalf("connection beyond the limit: %v", err)
	}
	busy := send(t, f, "r", testJob("x", 100))
	f.Probe("r")
	next := send(t, f, "r", testJob("y", 100))
	// 100 ms at half the capacity, after the handshakes' work; the probe's work falls into the next step.
	list := advanceTo(t, f, 5000)
	if a, b := lastEvent(list, busy).At, lastEvent(list, next).At; a != 270 || b != 475 {
		t.Fatalf("prefills end at %v and %v", a, b)
	}
	f.Disconnect("r")
	if err := f.Connect("r"); err != nil {
		t.Fatal(err)
	}
}

func TestReports_Delayed(t *testing.T) {
	f := newTestFleet(t, func(c *Config) { c.Reports.PeriodMs, c.Reports.DelayMs = 100, 200 })
	advanceTo(t, f, 1000)
	f.Probe("r") // a snapshot of an idle engine
	send(t, f, "r", testJob("x", 2000))
	advanceTo(t, f, 1150)
	if r, _ := f.Probe("r"); r.InFlight != 0 {
		t.Fatalf("the report shows new load without delay: %+v", r)
	}
	advanceTo(t, f, 1400)
	if r, _ := f.Probe("r"); r.InFlight != 1 || r.Pending < 1.5 {
		t.Fatalf("the report does not show the load after its delay: %+v", r)
	}
}

func TestConfigValidate_ErrorsNameKey(t *testing.T) {
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
			t.Errorf("got error %v, want %s", err, c.want)
		}
	}
}

// BenchmarkFleet measures one request at fleets of 12, 120 and 1,200 engines that
// work at about half their capacity, in virtual time.
func BenchmarkFleet(b *testing.B) {
	for _, engines := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			cfg := DefaultConfig()
			for i := range engines {
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
				now += r.ExpFloat64() * 1000 / (2.2 * float64(engines))
				f.Advance(now)
				for _, e := range f.TakeEvents() {
					j, ok := next[e.Call]
					if delete(next, e.Call); ok && e.Kind == EventPrefilled {
						cell := r.IntN(engines / 3)
						f.Send(fmt.Sprint("b", cell*3+1+r.IntN(2)), j)
					}
				}
				j := testJob(fmt.Sprint("q", i), 3000)
				j.Prompt.Session = fmt.Sprint(r.IntN(100 * engines))
				if c, err := f.Send(fmt.Sprint("b", r.IntN(engines/3)*3), j); err == nil {
					next[c] = j
				}
			}
		})
	}
}
