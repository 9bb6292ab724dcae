package lifecycle

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func newRunning(t *testing.T) *Machine {
	t.Helper()
	m := NewMachine()
	if _, err := m.Admit(0); !errors.Is(err, ErrNotStarted) {
		t.Fatalf("Admit before Start: %v", err)
	}
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	return m
}

func admit(t *testing.T, m *Machine) ID {
	t.Helper()
	id, err := m.Admit(0)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func TestStop_ActiveRequestsFinish(t *testing.T) {
	m := newRunning(t)
	a, b := admit(t, m), admit(t, m)
	m.Stop(1000, Timeouts{Drain: 500, Grace: 3000, Release: 200})
	if do := m.Step(1000); !do.NotifyDrain || do.RefuseNew || do.NextStepAt != 1500 {
		t.Fatalf("step at the start of the drain: %+v", do)
	}
	late := admit(t, m) // still admitted while draining
	if do := m.Step(1500); !do.RefuseNew || do.Finished || do.NextStepAt != 4500 {
		t.Fatalf("step at the end of the drain: %+v", do)
	}
	if _, err := m.Admit(0); !errors.Is(err, ErrStopping) {
		t.Fatalf("Admit while stopping: %v", err)
	}
	m.Remove(a)
	m.Remove(a)
	m.Remove(late)
	if do := m.Step(2000); do.Finished || m.Active() != 1 {
		t.Fatalf("step with one active request: %+v", do)
	}
	m.Remove(b)
	if do := m.Step(2100); !do.Finished || do.Unreleased != 0 || len(do.Cancel) != 0 || m.Phase() != Stopped {
		t.Fatalf("step after the last request ended: %+v", do)
	}
}

func TestStop_GraceExpires(t *testing.T) {
	m := newRunning(t)
	a, b, c := admit(t, m), admit(t, m), admit(t, m)
	if !m.AnswerStarted(b) {
		t.Fatal("AnswerStarted of an active request: false")
	}
	m.Remove(a)
	m.Stop(0, Timeouts{Grace: 1000, Release: 200})
	m.Step(0)
	do := m.Step(1000)
	if !slices.Equal(do.Cancel, []ID{b, c}) || do.Finished || do.NextStepAt != 1200 {
		t.Fatalf("step at the end of the grace time: %+v", do)
	}
	if m.AnswerStarted(c) {
		t.Fatal("AnswerStarted of a cancelled request: true")
	}
	m.Remove(b)
	if do := m.Step(1200); !do.Finished || do.Unreleased != 1 {
		t.Fatalf("step after the release timeout with one request left: %+v", do)
	}
}

func TestStop_SecondCallOnlyShortens(t *testing.T) {
	for _, second := range []Timeouts{{Drain: 9000, Grace: math.Inf(1), Release: 9000}, {}} {
		m := newRunning(t)
		admit(t, m)
		m.Stop(0, Timeouts{Drain: 500, Grace: 1000, Release: 100})
		m.Step(0)
		m.Stop(100, second)
		end := 0.0
		for now := 100.0; ; {
			do := m.Step(now)
			if do.Finished {
				end = now
				break
			}
			if math.IsInf(do.NextStepAt, 1) {
				t.Fatal("the shutdown never ends")
			}
			now = do.NextStepAt
		}
		if want := map[bool]float64{true: 1600, false: 100}[second.Drain > 0]; end != want {
			t.Errorf("second Stop with %+v: finished at %v, want %v", second, end, want)
		}
	}
}

func TestStartStop_OutOfOrder(t *testing.T) {
	m := NewMachine()
	m.Stop(0, Timeouts{Grace: math.Inf(1)})
	if do := m.Step(0); !do.Finished {
		t.Fatalf("step after Stop in phase New: %+v", do)
	}
	if err := m.Start(); !errors.Is(err, ErrStopping) {
		t.Fatal(err)
	}
	m = newRunning(t)
	if err := m.Start(); !errors.Is(err, ErrStarted) {
		t.Fatal(err)
	}
}

// In any order of events: phases only advance, no request is admitted once the machine is
// stopping, each is cancelled at most once, and a shutdown with finite timeouts ends.
func TestMachine_RandomEvents(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		m, now, lastPhase := NewMachine(), 0.0, New
		var active []ID
		cancelled := map[ID]bool{}
		stopped := false
		for range 400 {
			now += r.ExpFloat64() * 50
			switch event := r.Float64(); {
			case event < 0.05:
				_ = m.Start() // Phase shows whether it took effect
			case event < 0.45:
				id, err := m.Admit(0)
				if (err == nil) != (m.Phase() == Running || m.Phase() == Draining) {
					t.Fatalf("seed %d: Admit returned %v in phase %s", seed, err, m.Phase())
				}
				if err == nil {
					active = append(active, id)
				}
			case event < 0.75 && len(active) > 0:
				i := r.IntN(len(active))
				m.Remove(active[i])
				active = slices.Delete(active, i, i+1)
			case event < 0.77:
				m.Stop(now, Timeouts{r.Float64() * 500, r.Float64() * 500, r.Float64() * 500})
				stopped = true
			default:
				do := m.Step(now)
				for _, id := range do.Cancel {
					if cancelled[id] || !slices.Contains(active, id) {
						t.Fatalf("seed %d: request %d cancelled, active %v", seed, id, active)
					}
					cancelled[id] = true
				}
				if do.Finished && do.Unreleased != 0 && do.Unreleased != len(active) {
					t.Fatalf("seed %d: %d unreleased, %d active", seed, do.Unreleased, len(active))
				}
			}
			if m.Phase() < lastPhase || m.Active() != len(active) {
				t.Fatalf("seed %d: phase %s after %s, %d active, want %d", seed, m.Phase(), lastPhase, m.Active(), len(active))
			}
			lastPhase = m.Phase()
		}
		if stopped {
			for range 4 {
				now += 1501
				m.Step(now)
			}
			if m.Phase() != Stopped {
				t.Fatalf("seed %d: phase %s, want stopped", seed, m.Phase())
			}
		}
	}
}
