package lifecycle

import (
	"errors"
	"testing"
)

func TestAfterSignal(t *testing.T) {
	for _, tt := range []struct {
		name              string
		longest           float64
		takeUntil, answer float64
	}{
		{"deadline counted as 3 s", 15000, 10500, 13000},
		{"deadline below 3 s", 1200, 10500, 11200},
		{"deadline below the admission time", 300, 10300, 10300},
	} {
		l := AfterSignal(10000, tt.longest)
		if l.AdmitUntil != tt.takeUntil || l.AnswerBy != tt.answer {
			t.Errorf("%s: lifetime %+v", tt.name, l)
		}
		for _, noticed := range []float64{10000, 10050, 13000} {
			if got, want := l.AcceptUntil(noticed), min(noticed+400, tt.takeUntil); got != want {
				t.Errorf("%s, signal noticed at %v: accepts until %v, want %v", tt.name, noticed, got, want)
			}
		}
		if !l.Admits(10000) || !l.Admits(tt.takeUntil-1) || l.Admits(tt.takeUntil) {
			t.Errorf("%s: admits requests at the wrong times", tt.name)
		}
		for _, other := range []Lifetime{AfterSignal(12000, tt.longest), Unlimited()} { // a later signal; no signal
			if got := l.Earliest(other); got != l {
				t.Errorf("%s: combined with a later lifetime: %+v", tt.name, got)
			}
			if got := other.Earliest(l); got != l {
				t.Errorf("%s: combined with an earlier lifetime: %+v", tt.name, got)
			}
		}
	}
}

func TestMachine_RefusesAfterLifetime(t *testing.T) {
	m := newRunning(t)
	m.SetLifetime(AfterSignal(1000, 5000))
	if _, err := m.Admit(1499); err != nil {
		t.Errorf("Admit before AdmitUntil: %v", err)
	}
	if _, err := m.Admit(1500); !errors.Is(err, ErrStopping) {
		t.Errorf("Admit at AdmitUntil: %v", err)
	}
	if id, err := m.Adopt(); err != nil || !m.AnswerStarted(id) { // its client already has a part of the answer
		t.Errorf("Adopt after AdmitUntil: %v", err)
	}
	m.SetLifetime(AfterSignal(90000, 5000))
	if _, err := m.Admit(1500); !errors.Is(err, ErrStopping) {
		t.Errorf("Admit after a later signal: %v", err)
	}
}
