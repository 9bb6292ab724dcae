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
