package news

import (
	"testing"

	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/scenario"
)

func newTestDiscovery(t *testing.T, faults string) (*Discovery, *scenario.Plan) {
	t.Helper()
	s, err := scenario.Parse([]byte("name = \"x\"\nlength_s = 60\ngateways = 2\n[discovery]\nnotice_ms = [1000, 1000]\nsilent_notice_ms = [5000, 5000]\nadd_ms = [500, 500]\nspread_ms = 0\n" + faults))
	if err != nil {
		t.Fatal(err)
	}
	p, err := s.Compile()
	if err != nil {
		t.Fatal(err)
	}
	return New(p, 0), p
}

func agentLifecycle(d *Discovery, agent int, id string) Lifecycle {
	_, list := d.Snapshot(agent)
	for _, e := range list {
		if e.Engine.ID == id {
			return e.Lifecycle
		}
	}
	return Removed
}

func TestDiscovery_NoticeDelay(t *testing.T) {
	d, p := newTestDiscovery(t, "")
	spec := p.Engine.Engines[0]
	d.ConditionChanged(0, spec, engine.Condition{State: engine.Down}, 0)
	d.Advance(999)
	if got := agentLifecycle(d, 0, spec.ID); got != Up {
		t.Fatalf("lifecycle before the notice delay: %s", got)
	}
	if at, ok := d.NextUpdateAt(); !ok || at != 1000 {
		t.Fatalf("next update at %v, %v", at, ok)
	}
	if got := d.Advance(1000); len(got) != 2 || got[1].Agent != 1 || got[1].Entry.Lifecycle != Removed {
		t.Fatalf("notifications %+v", got)
	}
	d.ConditionChanged(2000, spec, engine.Condition{State: engine.Up}, 2000)
	d.Advance(2500)
	version, list, ok := d.Delta(0, 1)
	if !ok || version != 3 || len(list) != 2 || list[1].Lifecycle != Up || list[1].StartedAt != 2000 {
		t.Fatalf("delta after version 1: %d %+v %v", version, list, ok)
	}
	if _, _, ok := d.Delta(0, 99); ok {
		t.Fatal("a version that was never sent has a delta")
	}
}

func TestDiscovery_Faults(t *testing.T) {
	d, p := newTestDiscovery(t, `
[[fault]]
kind = "list-late"
at_s = 0
len_s = 10
factor = 3000
gateway = 1
[[fault]]
kind = "list-silent"
at_s = 20
len_s = 5
[[fault]]
kind = "list-contradicts"
at_s = 30
len_s = 4
`)
	first, other := p.Engine.Engines[0], p.Engine.Engines[1]
	d.ConditionChanged(0, first, engine.Condition{State: engine.Up, Draining: true}, 0)
	d.ConditionChanged(0, other, engine.Condition{State: engine.Up, Draining: true}, 0)
	d.Advance(600)
	if a, b := agentLifecycle(d, 0, first.ID), agentLifecycle(d, 1, first.ID); a != Draining || b != Up {
		t.Fatalf("lifecycles with a late agent: %s, %s", a, b)
	}
	d.Advance(3500)
	if got := agentLifecycle(d, 1, first.ID); got != Draining {
		t.Fatalf("lifecycle at the late agent: %s", got)
	}
	for at, want := range map[float64]bool{19999: false, 20000: true, 24999: true, 25000: false} {
		if got := d.Silent(at, 1); got != want {
			t.Errorf("silent at %v: %v", at, got)
		}
	}
	if at, ok := d.NextUpdateAt(); !ok || at != 30000 {
		t.Fatalf("the contradiction is scheduled at %v, %v", at, ok)
	}
	d.Advance(31000)
	if got := agentLifecycle(d, 0, first.ID); got != Up {
		t.Fatalf("lifecycle during the contradiction: %s", got)
	}
	contradictedVersion, _, _ := d.Delta(0, 1)
	d.Advance(34000)
	if _, list, ok := d.Delta(0, contradictedVersion); !ok || len(list) != 2 || list[0].Lifecycle != Draining || list[1].Lifecycle != Draining {
		t.Fatalf("delta to a gateway that has the contradicting update: %+v", list)
	}
	if got := agentLifecycle(d, 0, first.ID); got != Draining {
		t.Fatalf("lifecycle after the contradiction: %s", got)
	}
}
