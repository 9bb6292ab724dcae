package lifecycle

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func running(t *testing.T) *Machine {
	t.Helper()
	m := NewMachine()
	if _, err := m.Enter(0); !errors.Is(err, ErrNotStarted) {
		t.Fatalf("before the start: %v", err)
	}
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	return m
}

func enter(t *testing.T, m *Machine) ID {
	t.Helper()
	id, err := m.Enter(0)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func TestAStopLetsThoseInsideFinish(t *testing.T) {
	m := running(t)
	a, b := enter(t, m), enter(t, m)
	m.Stop(1000, Times{Drain: 500, Grace: 3000, Settle: 200})
	if do := m.Step(1000); !do.Tell || do.Refuse || do.Next != 1500 {
		t.Fatalf("at once: %+v", do)
	}
	late := enter(t, m) // clients still come for a while
	if do := m.Step(1500); !do.Refuse || do.Finished || do.Next != 4500 {
		t.Fatalf("the stop: %+v", do)
	}
	if _, err := m.Enter(0); !errors.Is(err, ErrStopping) {
		t.Fatalf("after the stop began: %v", err)
	}
	m.Leave(a)
	m.Leave(a)
	m.Leave(late)
	if do := m.Step(2000); do.Finished || m.Active() != 1 {
		t.Fatalf("one is inside: %+v", do)
	}
	m.Leave(b)
	if do := m.Step(2100); !do.Finished || do.Left != 0 || len(do.End) != 0 || m.Phase() != Stopped {
		t.Fatalf("all have left: %+v", do)
	}
}

func TestWhoIsInsideWhenTheTimeIsOverIsEnded(t *testing.T) {
	m := running(t)
	a, b, c := enter(t, m), enter(t, m), enter(t, m)
	if !m.Began(b) {
		t.Fatal("an answer may not begin")
	}
	m.Leave(a)
	m.Stop(0, Times{Grace: 1000, Settle: 200})
	m.Step(0)
	do := m.Step(1000)
	if !slices.Equal(do.End, []ID{b, c}) || do.Finished || do.Next != 1200 {
		t.Fatalf("%+v", do)
	}
	if m.Began(c) {
		t.Fatal("an answer began after it was ended")
	}
	m.Leave(b)
	if do := m.Step(1200); !do.Finished || do.Left != 1 {
		t.Fatalf("one did not let go: %+v", do)
	}
}

func TestASecondStopOnlyMakesItShorter(t *testing.T) {
	for _, second := range []Times{{Drain: 9000, Grace: math.Inf(1), Settle: 9000}, {}} {
		m := running(t)
		enter(t, m)
		m.Stop(0, Times{Drain: 500, Grace: 1000, Settle: 100})
		m.Step(0)
		m.Stop(100, second)
		end := 0.0
		for now := 100.0; ; {
			do := m.Step(now)
			if do.Finished {
				end = now
				break
			}
			if math.IsInf(do.Next, 1) {
				t.Fatal("it never ends")
			}
			now = do.Next
		}
		if want := map[bool]float64{true: 1600, false: 100}[second.Drain > 0]; end != want {
			t.Errorf("a second stop of %+v: over at %v, want %v", second, end, want)
		}
	}
}

func TestStopBeforeStartAndStartAfterStop(t *testing.T) {
	m := NewMachine()
	m.Stop(0, Times{Grace: math.Inf(1)})
	if do := m.Step(0); !do.Finished {
		t.Fatalf("%+v", do)
	}
	if err := m.Start(); !errors.Is(err, ErrStopping) {
		t.Fatal(err)
	}
	m = running(t)
	if err := m.Start(); !errors.Is(err, ErrStarted) {
		t.Fatal(err)
	}
}

// In any order of events: phases only go forward, nobody enters after the stop began,
// each is ended at most once, and a stop with finite times ends.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		m, now, phase := NewMachine(), 0.0, New
		var inside []ID
		ended := map[ID]bool{}
		stopped := false
		for range 400 {
			now += r.ExpFloat64() * 50
			switch v := r.Float64(); {
			case v < 0.05:
				_ = m.Start() // the phase tells
			case v < 0.45:
				id, err := m.Enter(0)
				if (err == nil) != (m.Phase() == Running || m.Phase() == Draining) {
					t.Fatalf("seed %d: %v in phase %s", seed, err, m.Phase())
				}
				if err == nil {
					inside = append(inside, id)
				}
			case v < 0.75 && len(inside) > 0:
				i := r.IntN(len(inside))
				m.Leave(inside[i])
				inside = slices.Delete(inside, i, i+1)
			case v < 0.77:
				m.Stop(now, Times{r.Float64() * 500, r.Float64() * 500, r.Float64() * 500})
				stopped = true
			default:
				do := m.Step(now)
				for _, id := range do.End {
					if ended[id] || !slices.Contains(inside, id) {
						t.Fatalf("seed %d: %d is ended, inside %v", seed, id, inside)
					}
					ended[id] = true
				}
				if do.Finished && do.Left != 0 && do.Left != len(inside) {
					t.Fatalf("seed %d: %d left of %d", seed, do.Left, len(inside))
				}
			}
			if m.Phase() < phase || m.Active() != len(inside) {
				t.Fatalf("seed %d: %s after %s, %d inside of %d", seed, m.Phase(), phase, m.Active(), len(inside))
			}
			phase = m.Phase()
		}
		if stopped {
			for range 4 {
				now += 1501
				m.Step(now)
			}
			if m.Phase() != Stopped {
				t.Fatalf("seed %d: it is %s", seed, m.Phase())
			}
		}
	}
}
