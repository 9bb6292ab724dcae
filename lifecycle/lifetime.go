package lifecycle

import "math"

// Timing of a planned restart, in ms after the signal that ends the process.
const (
	// Clients keep sending for 200 to 400 ms, and requests read in the first 700 ms are not
	// counted against a killed process. The value lies between the two and leaves 150 ms for a
	// process that runs late.
	admitFor = 500.0
	// Clients stop opening new connections at most this long after the signal.
	acceptFor = 400.0
	// The platform gives a process the longest deadline of its classes, but at most 3 s, plus
	// 700 ms. The 700 ms are left for releases of KV state and reservations and for delays.
	maxCountedDeadline = 3000.0
)

// Lifetime is the remaining lifetime of a process: from AdmitUntil on, it admits no request,
// and no admitted request waits for its answer beyond AnswerBy. Times are ms of the clock
// that the process uses for deadlines.
type Lifetime struct {
	AdmitUntil float64
	AnswerBy   float64
}

// Unlimited returns the lifetime of a process that has got no signal to end.
func Unlimited() Lifetime {
	return Lifetime{AdmitUntil: math.Inf(1), AnswerBy: math.Inf(1)}
}

// AfterSignal returns the lifetime of a process that got the signal to end at a time, given
// the longest deadline of its request classes.
func AfterSignal(signalledAt, longestDeadline float64) Lifetime {
	answerBy := signalledAt + min(longestDeadline, maxCountedDeadline)
	return Lifetime{AdmitUntil: min(signalledAt+admitFor, answerBy), AnswerBy: answerBy}
}

// AcceptUntil returns until when new connections are accepted by a process that noticed the
// signal at a time; the signal was sent no later. A listener that stays open longer accepts
// connections that the stopped process never reads.
func (l Lifetime) AcceptUntil(noticed float64) float64 { return min(noticed+acceptFor, l.AdmitUntil) }

// Admits reports whether a request that was read at time now may be admitted.
func (l Lifetime) Admits(now float64) bool { return now < l.AdmitUntil }

// Earliest returns the earlier times of two lifetimes: a repeated signal doesn't extend them.
func (l Lifetime) Earliest(other Lifetime) Lifetime {
	return Lifetime{AdmitUntil: min(l.AdmitUntil, other.AdmitUntil), AnswerBy: min(l.AnswerBy, other.AnswerBy)}
}
