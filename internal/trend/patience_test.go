package trend

import "testing"

// What is known shortens the wait to a fifth at the least; a slow one that came makes
// it longer again, up to the bound, for a while.
func TestPatience(t *testing.T) {
	p := Patience{Most: 250}
	for i, ms := range []float64{1, 2, 1, 1, 9, 1, 1, 1} {
		if w := p.Wait(); w != 250 {
			t.Errorf("after %d: %v", i, w)
		}
		p.Came(ms)
	}
	if w := p.Wait(); w != 50 {
		t.Errorf("of fast ones: %v", w)
	}
	if p.Came(30); p.Wait() != 120 {
		t.Errorf("after a slow one: %v", p.Wait())
	}
	if p.Came(100); p.Wait() != 250 {
		t.Errorf("after a very slow one: %v", p.Wait())
	}
	for range 300 {
		p.Came(1)
	}
	if w := p.Wait(); w != 50 {
		t.Errorf("long after: %v", w)
	}
}

// Where all have become slower than what is waited for, one that is waited for in full
// tells: nothing is given up for good.
func TestPatienceFindsOutThatAllIsSlower(t *testing.T) {
	p, came := Patience{Most: 250}, 0
	for range 100 {
		p.Came(1)
	}
	for range 40 {
		if p.Wait() < 80 {
			p.Missed()
		} else {
			p.Came(80)
			came++
		}
	}
	if came != 40-patienceDoubt {
		t.Errorf("%d of 40 came", came)
	}
	for range 2 * (patienceDoubt + 1) {
		p.Missed()
	}
	if p.Wait() < 80 {
		t.Error("dead ones have made it forget")
	}
}
