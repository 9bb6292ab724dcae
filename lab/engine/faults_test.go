package engine

import (
	"fmt"
	"testing"
)

// An engine that returns cold crashes when all requests go to it at once, and not
// when its budget is respected.
func TestColdEngine_Overload(t *testing.T) {
	for _, c := range []struct {
		sends   float64 // in one window, relative to what it withstands
		crashes bool
	}{{0.8, false}, {1.5, true}} {
		f := newTestFleet(t, func(c *Config) { c.Kinds[0].MaxQueue = 1000 })
		f.Inject(Fault{Kind: FaultCrash, Engines: []string{"r"}, Start: 0, Duration: 100})
		advanceTo(t, f, 100)
		work := f.meanWork(f.kinds["prefill"], "send-order")
		n := int(c.sends * f.cfg.Cold.Multiple * f.kinds["prefill"].ColdCapacity * 1000 * (1 + f.cfg.Cold.Tolerance) / work)
		for i := range n {
			f.Send("r", testJob(fmt.Sprint(i), 10))
		}
		advanceTo(t, f, 60000)
		cond, _ := f.Condition("r")
		if cond.ColdCrashed != c.crashes || (cond.State == Down) != c.crashes {
			t.Fatalf("after %d sends: %+v", n, cond)
		}
		if c.crashes {
			f.Restart("r")
			if cond, _ = f.Condition("r"); cond.State != Up || cond.ColdCrashed {
				t.Fatalf("after a restart by hand: %+v", cond)
			}
		}
	}
}

func TestHang_QueuesWithoutAnswer(t *testing.T) {
	f := newTestFleet(t, nil)
	f.Inject(Fault{Kind: FaultHang, Engines: []string{"r"}, Start: 0, Duration: 5000})
	advanceTo(t, f, 1)
	c := send(t, f, "r", testJob("x", 100))
	if list := advanceTo(t, f, 4000); len(eventKinds(list, c)) != 0 {
		t.Fatalf("a hung engine answered: %v", list)
	}
	if _, ok := f.Probe("r"); ok {
		t.Fatal("a hung engine answered a probe")
	}
	if got := lastEvent(advanceTo(t, f, 6000), c); got.Kind != EventPrefilled || got.At != 5100 {
		t.Fatalf("after the hang: %+v", got)
	}
}

// A hung decode engine does not keep the KV state of a cancelled attempt.
func TestCancel_HungDecodeEngineFreesState(t *testing.T) {
	f := newTestFleet(t, nil)
	send(t, f, "r", testJob("x", 100))
	advanceTo(t, f, 500)
	f.Inject(Fault{Kind: FaultHang, Engines: []string{"w1"}, Start: 500, Duration: 5000})
	advanceTo(t, f, 500)
	c := send(t, f, "w1", testJob("x", 100))
	f.Cancel(c)
	f.Release("r", "x")
	if f.Held("r", "x") {
		t.Fatal("the release has not freed the KV state")
	}
	advanceTo(t, f, 9000)
	if !f.Idle() {
		t.Fatal("the fleet is not idle")
	}
}

func TestFaults_OverlapOnOneEngine(t *testing.T) {
	f := newTestFleet(t, nil)
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
		advanceTo(t, f, want.at)
		c, _ := f.Condition("r")
		if c.State != want.state || c.Hung != want.hung || c.SlowFactor != want.slow {
			t.Fatalf("condition at %v: %+v", want.at, c)
		}
	}
	if f.StartedAt("r") != 900 {
		t.Fatalf("restarted at %v", f.StartedAt("r"))
	}
}

func TestFaults_Streams(t *testing.T) {
	for _, c := range []struct {
		kind FaultKind
		want []EventKind
	}{
		{FaultBreak, []EventKind{EventTokens, EventLost}}, {FaultStall, []EventKind{EventTokens}},
		{FaultErrors, []EventKind{EventError}}, {FaultMalformedHead, []EventKind{EventTokens}}, {FaultTurnedAway, []EventKind{EventRejected}},
	} {
		f := newTestFleet(t, func(c *Config) { c.Classes[2].OutputTokens = 100 })
		send(t, f, "r", testJob("x", 100))
		advanceTo(t, f, 500)
		f.Inject(Fault{Kind: c.kind, Engines: []string{"w1"}, Start: 500, Duration: 1e6, Factor: 1})
		advanceTo(t, f, 500)
		advanceTo(t, f, 500)
		w := send(t, f, "w1", testJob("x", 100))
		got := eventKinds(append(f.TakeEvents(), advanceTo(t, f, 9000)...), w)
		if len(got) < len(c.want) || got[0] != c.want[0] || got[len(got)-1] != c.want[len(c.want)-1] {
			t.Errorf("%s: events %v, want first %v, last %v", c.kind, got, c.want[0], c.want[len(c.want)-1])
		}
		if f.Release("r", "x"); !f.Idle() && c.kind != FaultTurnedAway {
			t.Errorf("%s: the fleet is not idle", c.kind)
		}
	}
}

func TestCancel_Modes(t *testing.T) {
	for _, mode := range []CancelMode{CancelIgnored, CancelQueued, CancelHonoured} {
		f := newTestFleet(t, func(c *Config) { c.Kinds[0].Cancel, c.Kinds[0].Slots = mode, 1 })
		running, waiting := send(t, f, "r", testJob("x", 100)), send(t, f, "r", testJob("y", 100))
		f.Cancel(running)
		f.Cancel(waiting)
		next := send(t, f, "r", testJob("z", 100))
		want := map[CancelMode]float64{CancelIgnored: 300, CancelQueued: 200, CancelHonoured: 200}[mode]
		list := advanceTo(t, f, 1000)
		if got := lastEvent(list, next); got.At != want && mode != CancelHonoured {
			t.Errorf("%s: the next prefill ends at %v, want %v", mode, got.At, want)
		}
		if len(list) != 1 || f.Held("r", "x") || f.Held("r", "y") {
			t.Errorf("%s: %d events, held: x %v, y %v", mode, len(list), f.Held("r", "x"), f.Held("r", "y"))
		}
	}
}
