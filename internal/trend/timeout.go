package trend

// AdaptiveTimeout learns a timeout for operations that either complete quickly or never,
// such as connects: a multiple of the slowest recent one.
type AdaptiveTimeout struct {
	Max float64 // ms; the longest timeout, also used until enough operations have completed

	slowest      float64 // ms, decaying with each observation
	observations int
	timeouts     int // since the last timeout of length Max
}

// Parameters of an AdaptiveTimeout.
const (
	minObservations   = 8       // before the timeout may be shorter than Max
	slowestMultiple   = 4       // the timeout as a multiple of the slowest recent operation
	minShareOfMax     = 1.0 / 5 // the shortest timeout as a share of Max
	slowestDecay      = 0.01    // share by which slowest decays with each observation
	timeoutsBeforeMax = 8       // after so many timeouts one operation gets Max, since all may have become slower
)

// Observe records an operation that completed after ms milliseconds.
func (t *AdaptiveTimeout) Observe(ms float64) {
	t.slowest = max(ms, t.slowest*(1-slowestDecay))
	t.observations++
}

// TimedOut records an operation that did not complete in time.
func (t *AdaptiveTimeout) TimedOut() {
	if t.timeouts++; t.timeouts > timeoutsBeforeMax {
		t.timeouts = 0
	}
}

// Timeout returns the timeout of the next operation in ms.
func (t *AdaptiveTimeout) Timeout() float64 {
	if t.observations < minObservations || t.timeouts == timeoutsBeforeMax {
		return t.Max
	}
	return min(max(t.slowest*slowestMultiple, t.Max*minShareOfMax), t.Max)
}
