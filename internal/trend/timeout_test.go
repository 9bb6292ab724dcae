package trend

import "testing"

// Fast operations shorten the timeout to a fifth of Max at the least. A slow one lengthens
// it for a while, to Max at most.
func TestAdaptiveTimeout(t *testing.T) {
	timeout := AdaptiveTimeout{Max: 250}
	for i, ms := range []float64{1, 2, 1, 1, 9, 1, 1, 1} {
		if w := timeout.Timeout(); w != 250 {
			t.Errorf("after %d observations: timeout %v, want 250", i, w)
		}
		timeout.Observe(ms)
	}
	if w := timeout.Timeout(); w != 50 {
		t.Errorf("after fast operations: timeout %v, want 50", w)
	}
	if timeout.Observe(30); timeout.Timeout() != 120 {
		t.Errorf("after a slow operation: timeout %v, want 120", timeout.Timeout())
	}
	if timeout.Observe(100); timeout.Timeout() != 250 {
		t.Errorf("after a very slow operation: timeout %v, want 250", timeout.Timeout())
	}
	for range 300 {
		timeout.Observe(1)
	}
	if w := timeout.Timeout(); w != 50 {
		t.Errorf("long after the slow operation: timeout %v, want 50", w)
	}
}

// If all operations have become slower than the timeout, one with the full timeout reveals it,
// so that they don't time out for ever.
func TestAdaptiveTimeout_AllSlower(t *testing.T) {
	timeout, observed := AdaptiveTimeout{Max: 250}, 0
	for range 100 {
		timeout.Observe(1)
	}
	for range 40 {
		if timeout.Timeout() < 80 {
			timeout.TimedOut()
		} else {
			timeout.Observe(80)
			observed++
		}
	}
	if observed != 40-timeoutsBeforeMax {
		t.Errorf("%d of 40 operations completed", observed)
	}
	for range 2 * (timeoutsBeforeMax + 1) {
		timeout.TimedOut()
	}
	if timeout.Timeout() < 80 {
		t.Error("operations that never complete have shortened the timeout")
	}
}
