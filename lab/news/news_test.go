package news

import (
	"testing"

	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/scenario"
)

func lists(t *testing.T, faults string) (*Lists, *scenario.Plan) {
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

func lifecycle(l *Lists, agent int, id string) Lifecycle {
	_, list := l.Whole(agent)
	for _, e := range list {
		if e.Box.ID == id {
			return e.Lifecycle
		}
	}
	return Removed
}

func TestNewsComesLate(t *testing.T) {
	l, p := lists(t, "")
	box := p.Engine.Engines[0]
	l.Box(0, box, engine.Condition{State: engine.Down}, 0)
	l.Advance(999)
	if got := lifecycle(l, 0, box.ID); got != Up {
		t.Fatalf("before the notice: %s", got)
	}
	if at, ok := l.Next(); !ok || at != 1000 {
		t.Fatalf("next news at %v, %v", at, ok)
	}
	if got := l.Advance(1000); len(got) != 2 || got[1].Agent != 1 || got[1].Entry.Lifecycle != Removed {
		t.Fatalf("told %+v", got)
	}
	l.Box(2000, box, engine.Condition{State: engine.Up}, 2000)
	l.Advance(2500)
	version, list, ok := l.Since(0, 1)
	if !ok || version != 3 || len(list) != 2 || list[1].Lifecycle != Up || list[1].Started != 2000 {
		t.Fatalf("since 1: %d %+v %v", version, list, ok)
	}
	if _, _, ok := l.Since(0, 99); ok {
		t.Fatal("a version that was never told has no changes")
	}
}

func TestListFaults(t *testing.T) {
	l, p := lists(t, `
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
	box, other := p.Engine.Engines[0], p.Engine.Engines[1]
	l.Box(0, box, engine.Condition{State: engine.Up, Draining: true}, 0)
	l.Box(0, other, engine.Condition{State: engine.Up, Draining: true}, 0)
	l.Advance(600)
	if a, b := lifecycle(l, 0, box.ID), lifecycle(l, 1, box.ID); a != Draining || b != Up {
		t.Fatalf("late at one agent: %s, %s", a, b)
	}
	l.Advance(3500)
	if got := lifecycle(l, 1, box.ID); got != Draining {
		t.Fatalf("at last: %s", got)
	}
	for at, want := range map[float64]bool{19999: false, 20000: true, 24999: true, 25000: false} {
		if got := l.Silent(at, 1); got != want {
			t.Errorf("silent at %v: %v", at, got)
		}
	}
	if at, ok := l.Next(); !ok || at != 30000 {
		t.Fatalf("the contradiction is due at %v, %v", at, ok)
	}
	l.Advance(31000)
	if got := lifecycle(l, 0, box.ID); got != Up {
		t.Fatalf("taken back: %s", got)
	}
	taken, _, _ := l.Since(0, 1)
	l.Advance(34000)
	if _, list, ok := l.Since(0, taken); !ok || len(list) != 2 || list[0].Lifecycle != Draining || list[1].Lifecycle != Draining {
		t.Fatalf("told to a gateway that has the lie: %+v", list)
	}
	if got := lifecycle(l, 0, box.ID); got != Draining {
		t.Fatalf("told again: %s", got)
	}
}
