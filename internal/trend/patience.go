package trend

// Patience tells how long to wait for what mostly takes a moment or never comes,
// such as a connection: a few times the slowest of late.
type Patience struct {
	Most float64 // ms to wait at most, and before anything is known

	slowest float64 // ms, decaying with each that comes
	seen    int
	missed  int // since the last that was waited for in full
}

// How a Patience learns.
const (
	patienceSeen   = 8       // that have come, from which on it is known
	patienceTimes  = 4       // the slowest
	patienceLeast  = 1.0 / 5 // of Most
	patienceForget = 0.01    // of the slowest, with each that comes
	patienceDoubt  = 8       // missed, after which one is waited for in full: all may have become slower
)

// Came tells of one that came after some ms.
func (p *Patience) Came(ms float64) {
	p.slowest = max(ms, p.slowest*(1-patienceForget))
	p.seen++
}

// Missed tells of one that did not come in time.
func (p *Patience) Missed() {
	if p.missed++; p.missed > patienceDoubt {
		p.missed = 0
	}
}

// Wait is the ms to wait for the next.
func (p *Patience) Wait() float64 {
	if p.seen < patienceSeen || p.missed == patienceDoubt {
		return p.Most
	}
	return min(max(p.slowest*patienceTimes, p.Most*patienceLeast), p.Most)
}
