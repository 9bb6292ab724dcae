package lifecycle

import "math"

// Times of a planned restart, in ms from the moment at which the process is told to end.
const (
	// Clients come for 200 to 400 ms more, and what was read in the first 700 ms is not held
	// against a process that is killed: between them, with 150 ms by which a process may be
	// held up behind its clock.
	takeFor = 500.0
	// Clients open new connections for no longer than this behind the signal.
	acceptFor = 400.0
	// The platform leaves a process the longest deadline, counted as 3 s where it is longer,
	// and 700 ms more, which are left for releases of what is held and for delays.
	longestCounted = 3000.0
)

// Lifetime is what a process has left to live. All that it takes on follows from it: nothing
// new is taken from TakeUntil on, and nothing that was taken waits for its answer longer than
// AnswerBy. Times are ms of the clock that the process uses for deadlines.
type Lifetime struct {
	AdmitUntil float64
	AnswerBy   float64
}

// Unlimited is the lifetime of a process that has not been told to end.
func Unlimited() Lifetime {
	return Lifetime{AdmitUntil: math.Inf(1), AnswerBy: math.Inf(1)}
}

// Told is the lifetime of a process that was told to end at a time, by the longest deadline
// of its classes of requests.
func AfterSignal(at, longestDeadline float64) Lifetime {
	answerBy := at + min(longestDeadline, longestCounted)
	return Lifetime{AdmitUntil: min(at+takeFor, answerBy), AnswerBy: answerBy}
}

// AcceptUntil is until when new connections are accepted, by when the process has noticed that it was told: the signal was
// sent then at the latest. A listener that is open for longer takes connections that a stopped process never reads.
func (l Lifetime) AcceptUntil(noticed float64) float64 { return min(noticed+acceptFor, l.AdmitUntil) }

// Takes tells whether a request that has been read may be taken on at a time.
func (l Lifetime) Admits(now float64) bool { return now < l.AdmitUntil }

// Sooner is the shorter of two lifetimes: a process that is told again does not live longer.
func (l Lifetime) Earliest(other Lifetime) Lifetime {
	return Lifetime{AdmitUntil: min(l.AdmitUntil, other.AdmitUntil), AnswerBy: min(l.AnswerBy, other.AnswerBy)}
}
