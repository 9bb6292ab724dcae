// Package pacing determines the delays between calls that a gateway makes on its own, such as
// calls to discovery, so that the calls of all gateways together don't overload the service that
// they call. It does no I/O and starts no timers: the caller waits for the delay it returns.
package pacing

import "math/rand"

// Backoff is an exponential backoff for consecutive failures: the delay starts at Initial and
// doubles up to Max. Each delay is drawn from its upper half, so that gateways that failed
// together do not retry together.
type Backoff struct {
	Initial  float64 // ms
	Max      float64 // ms, at least Initial
	Rand     *rand.Rand
	failures int
}

// Next records a failure and returns the delay before the next try in ms.
func (b *Backoff) Next() float64 {
	wait := b.Initial
	for range b.failures {
		wait = min(2*wait, b.Max)
		if wait == b.Max {
			break
		}
	}
	b.failures++
	return b.Jitter(wait)
}

// Reset records a success: the delay after the next failure starts at Initial again.
func (b *Backoff) Reset() { b.failures = 0 }

// Jitter returns a random time between half of ms and ms.
func (b *Backoff) Jitter(ms float64) float64 { return ms * (0.5 + b.Rand.Float64()/2) }
