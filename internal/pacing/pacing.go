// Package pacing spaces what a gateway sends without a client's request, such
// as calls for lists, so that the sum over a fleet stays within what the asked
// can bear. It does no I/O: the caller waits as long as it is told.
package pacing

import "math/rand"

// Backoff gives the waits between tries that fail one after the other: the
// first, then twice as long each time up to the last, each drawn from its upper
// half so that gateways that failed together do not come again together.
type Backoff struct {
	Initial float64 // ms
	Max     float64 // ms, at least First
	Rand    *rand.Rand
	fails   int
}

// Next is the ms to wait after one more failure.
func (b *Backoff) Next() float64 {
	wait := b.Initial
	for range b.fails {
		wait = min(2*wait, b.Max)
		if wait == b.Max {
			break
		}
	}
	b.fails++
	return b.Draw(wait)
}

// Reset tells of a success: the next failure is a first one again.
func (b *Backoff) Reset() { b.fails = 0 }

// Draw gives a time between half and the whole of ms.
func (b *Backoff) Draw(ms float64) float64 { return ms * (0.5 + b.Rand.Float64()/2) }
