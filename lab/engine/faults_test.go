package engine

import (
	"fmt"
	"testing"
)

// A box that returns cold falls over when all send to it at once, and not when
// its budget is kept.
func TestColdHerd(t *testing.T) {
	for _, c := range []struct {
		sends float64 // in one window, against what it bears
		falls bool
	}{{0.8, false}, {1.5, true}} {
		f := plain(t, func(c *Config) { c.Kinds[0].MaxQueue = 1000 })
		f.Inject(Fault{Kind: FaultCrash, Engines: []string{"r"}, Start: 0, Duration: 100})
		until(t, f, 100)
		work := f.meanWork(f.kinds["prefill"], "send-order")
		n := int(c.sends * f.cfg.Cold.Multiple * f.kinds["prefill"].ColdCapacity * 1000 * (1 + f.cfg.Cold.Slack) / work)
		for i := range n {
			f.Send("r", order(fmt.Sprint(i), 10))
		}
		until(t, f, 60000)
		cond, _ := f.Condition("r")
		if cond.Fallen != c.falls || (cond.State == Down) != c.falls {
			t.Fatalf("%d sends: %+v", n, cond)
		}
		if c.falls {
			f.Restart("r")
			if cond, _ = f.Condition("r"); cond.State != Up || cond.Fallen {
				t.Fatalf("started by hand: %+v", cond)
			}
		}
	}
}

func TestHangTakesWorkAndAnswersNothing(t *testing.T) {
	f := plain(t, nil)
	f.Inject(Fault{Kind: FaultHang, Engines: []string{"r"}, Start: 0, Duration: 5000})
	until(t, f, 1)
	c := send(t, f, "r", order("x", 100))
	if list := until(t, f, 4000); len(of(list, c)) != 0 {
		t.Fatalf("it has answered: %v", list)
	}
	if _, ok := f.Probe("r"); ok {
		t.Fatal("it has answered a probe")
	}
	if got := last(until(t, f, 6000), c); got.Kind != EventRead || got.At != 5100 {
		t.Fatalf("after the hang: %+v", got)
	}
}

// A writer that hangs does not keep the state of an attempt that was given up.
func TestGivenUpAtAHungWriterTheStateIsFree(t *testing.T) {
	f := plain(t, nil)
	send(t, f, "r", order("x", 100))
	until(t, f, 500)
	f.Inject(Fault{Kind: FaultHang, Engines: []string{"w1"}, Start: 500, Duration: 5000})
	until(t, f, 500)
	c := send(t, f, "w1", order("x", 100))
	f.Cancel(c)
	f.Release("r", "x")
	if f.Held("r", "x") {
		t.Fatal("a release has not freed it")
	}
	until(t, f, 9000)
	if !f.Idle() {
		t.Fatal("something is left")
	}
}

func TestFaultsOverlapOnOneBox(t *testing.T) {
	f := plain(t, nil)
	for _, v := range []Fault{
		{Kind: FaultSlow, Engines: []string{"r"}, Start: 0, Duration: 1000, Factor: 2},
		{Kind: FaultHang, Engines: []string{"r"}, Start: 200, Duration: 600},
		{Kind: FaultVanish, Engines: []string{"r"}, Start: 400, Duration: 200},
		{Kind: FaultCrash, Engines: []string{"r"}, Start: 500, Duration: 400},
	} {
		f.Inject(v)
	}
	for _, want := range []struct {
		at    float64
		state State
		hung  bool
		slow  float64
	}{{100, Up, false, 2}, {300, Up, true, 2}, {450, Silent, true, 2}, {550, Silent, true, 2}, {650, Down, true, 2}, {850, Down, false, 2}, {950, Up, false, 2}, {1050, Up, false, 1}} {
		until(t, f, want.at)
		c, _ := f.Condition("r")
		if c.State != want.state || c.Hung != want.hung || c.SlowBy != want.slow {
			t.Fatalf("at %v: %+v", want.at, c)
		}
	}
	if f.StartedAt("r") != 900 {
		t.Fatalf("it came back at %v", f.StartedAt("r"))
	}
}

func TestStreamsThatBreakStopAndFail(t *testing.T) {
	for _, c := range []struct {
		kind FaultKind
		want []EventKind
	}{
		{FaultBreak, []EventKind{EventTokens, EventLost}}, {FaultStop, []EventKind{EventTokens}},
		{FaultErrors, []EventKind{EventError}}, {FaultSpoilHead, []EventKind{EventTokens}}, {FaultTurnedAway, []EventKind{EventAway}},
	} {
		f := plain(t, func(c *Config) { c.Classes[2].OutputTokens = 100 })
		send(t, f, "r", order("x", 100))
		until(t, f, 500)
		f.Inject(Fault{Kind: c.kind, Engines: []string{"w1"}, Start: 500, Duration: 1e6, Factor: 1})
		until(t, f, 500)
		until(t, f, 500)
		w := send(t, f, "w1", order("x", 100))
		got := of(append(f.Take(), until(t, f, 9000)...), w)
		if len(got) < len(c.want) || got[0] != c.want[0] || got[len(got)-1] != c.want[len(c.want)-1] {
			t.Errorf("%s: %v, want %v … %v", c.kind, got, c.want[0], c.want[len(c.want)-1])
		}
		if f.Release("r", "x"); !f.Idle() && c.kind != FaultTurnedAway {
			t.Errorf("%s: something is left", c.kind)
		}
	}
}

func TestGivenUpAttempts(t *testing.T) {
	for _, mode := range []CancelMode{CancelIgnored, CancelQueued, CancelHonours} {
		f := plain(t, func(c *Config) { c.Kinds[0].Cancel, c.Kinds[0].Slots = mode, 1 })
		running, waiting := send(t, f, "r", order("x", 100)), send(t, f, "r", order("y", 100))
		f.Cancel(running)
		f.Cancel(waiting)
		next := send(t, f, "r", order("z", 100))
		want := map[CancelMode]float64{CancelIgnored: 300, CancelQueued: 200, CancelHonours: 200}[mode]
		list := until(t, f, 1000)
		if got := last(list, next); got.At != want && mode != CancelHonours {
			t.Errorf("%s: the next read ends at %v, want %v", mode, got.At, want)
		}
		if len(list) != 1 || f.Held("r", "x") || f.Held("r", "y") {
			t.Errorf("%s: %d events, held %v %v", mode, len(list), f.Held("r", "x"), f.Held("r", "y"))
		}
	}
}
