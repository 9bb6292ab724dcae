package lifecycle

import (
	"errors"
	"testing"
)

func TestLifetime_Told(t *testing.T) {
	for _, tt := range []struct {
		name              string
		longest           float64
		takeUntil, answer float64
	}{
		{"deadlines counted as 3 s", 15000, 10500, 13000},
		{"deadlines shorter than that", 1200, 10500, 11200},
		{"deadlines shorter than the time in which clients come", 300, 10300, 10300},
	} {
		l := AfterSignal(10000, tt.longest)
		if l.AdmitUntil != tt.takeUntil || l.AnswerBy != tt.answer {
			t.Errorf("%s: %+v", tt.name, l)
		}
		for _, noticed := range []float64{10000, 10050, 13000} { // the signal was sent then at the latest
			if got, want := l.AcceptUntil(noticed), min(noticed+400, tt.takeUntil); got != want {
				t.Errorf("%s, noticed at %v: accepts until %v, want %v", tt.name, noticed, got, want)
			}
		}
		if !l.Admits(10000) || !l.Admits(tt.takeUntil-1) || l.Admits(tt.takeUntil) {
			t.Errorf("%s: takes requests at the wrong times", tt.name)
		}
		for _, other := range []Lifetime{AfterSignal(12000, tt.longest), Unlimited()} { // told twice; not told
			if got := l.Earliest(other); got != l {
				t.Errorf("%s: told again later it is %+v", tt.name, got)
			}
			if got := other.Earliest(l); got != l {
				t.Errorf("%s: told again earlier it is %+v", tt.name, got)
			}
		}
	}
}

func TestMachine_TakesNothingBeyondItsLifetime(t *testing.T) {
	m := running(t)
	m.Expect(AfterSignal(1000, 5000))
	if _, err := m.Enter(1499); err != nil {
		t.Errorf("in time: %v", err)
	}
	if _, err := m.Enter(1500); !errors.Is(err, ErrStopping) {
		t.Errorf("late: %v", err)
	}
	if id, err := m.Adopt(); err != nil || !m.Began(id) { // its client has had a part of it
		t.Errorf("an answer that has begun elsewhere: %v", err)
	}
	m.Expect(AfterSignal(90000, 5000))
	if _, err := m.Enter(1500); !errors.Is(err, ErrStopping) {
		t.Errorf("told again: %v", err)
	}
}
