package pacing

import "math/rand"

// Times of the calls to discovery, in ms. A membership update that a gateway missed counts as
// received 6 s after its watch fell silent (or 2 s after the wait of a long-polling call, if that
// is later), whether or not it arrived. Whatever calls failed, were refused or were given up, an
// update counts as received 6 s after discovery had it and was reachable. Sends that contradict it
// must end 1 s after that. So for any number of gateways, the delay after a failed call, and a call
// without a response together with the delay after it, must end within that time and leave time
// for the next call to be answered.
const (
	WatchWait          = 2000.0 // that discovery may hold a watch
	WatchSlack         = 1000.0 // after which the call is given up, counted from the end of WatchWait
	agentWait          = 200.0  // that an agent may hold a call after a failed one
	agentSlack         = 300.0  // after which that call is given up, counted from the end of agentWait
	agentInitialDelay  = 100.0  // initial delay after a failed call to an agent, which holds calls for 200 until one is answered
	agentMaxDelay      = 200.0  // longest delay after one
	sharedCallInterval = 40.0   // between the calls of all gateways to a discovery service that they share
	maxSilentDelay     = 2000.0 // longest delay there after a call without a response
	maxFailedDelay     = 4500.0 // longest delay there after a failed call
)

// WatchSchedule determines the timeouts of calls to discovery and the delays after failed ones. An
// agent of the gateway's own serves no other gateway and has the updates as soon as it responds
// again: it is called again soon, with short waits until a call is answered. A discovery service
// that all gateways share would be kept busy with calls that it fails, until none is answered: the
// delays there grow with the number of gateways. A call there that got no response is repeated
// sooner than a failed one, because the 6 s begin when the watch falls silent.
type WatchSchedule struct {
	gateways                     int
	shared                       bool
	maxDelay                     float64 // ms; longest delay after a failed call to a shared discovery service
	silentBackoff, failedBackoff Backoff
	lastFailed                   bool // the last call was not answered
}

// NewWatchSchedule returns the schedule of one of so many gateways. shared says that discovery must
// be polled and serves all of them. maxDelayMs is how long the membership may go without a call;
// 0 means no limit.
func NewWatchSchedule(gateways int, shared bool, maxDelayMs float64, r *rand.Rand) *WatchSchedule {
	if !shared {
		backoff := Backoff{Initial: agentInitialDelay, Max: agentMaxDelay, Rand: r}
		return &WatchSchedule{silentBackoff: backoff, failedBackoff: backoff}
	}
	s := &WatchSchedule{gateways: gateways, shared: true, maxDelay: maxFailedDelay, silentBackoff: Backoff{Rand: r}, failedBackoff: Backoff{Rand: r}}
	if maxDelayMs > 0 {
		s.maxDelay = min(s.maxDelay, maxDelayMs)
	}
	s.SetProcesses(1)
	return s
}

// SetProcesses sets how many processes make calls on behalf of one gateway. With a shared discovery
// service each makes its part of the calls, as far as the longest permitted delay allows.
func (s *WatchSchedule) SetProcesses(processes int) {
	if !s.shared {
		return
	}
	initial := min(max(agentInitialDelay, float64(s.gateways*processes)*sharedCallInterval), s.maxDelay)
	s.failedBackoff.Initial, s.failedBackoff.Max = initial, min(4*initial, s.maxDelay)
	s.silentBackoff.Initial = min(initial, maxSilentDelay)
	s.silentBackoff.Max = min(4*s.silentBackoff.Initial, maxSilentDelay)
}

// NextTimeouts returns how long discovery may hold the next call, and the total time after which
// that call is given up if there is no response, both in ms.
func (s *WatchSchedule) NextTimeouts() (wait, timeout float64) {
	if s.lastFailed && !s.shared {
		return agentWait, agentWait + agentSlack
	}
	return WatchWait, WatchWait + WatchSlack
}

// Succeeded records a call that was answered. The next one follows at once.
func (s *WatchSchedule) Succeeded() {
	s.lastFailed = false
	s.silentBackoff.Reset()
	s.failedBackoff.Reset()
}

// Failed records a call that got no response or no membership, and returns the delay before the
// next call in ms. timedOut says that there was no response within the timeout.
func (s *WatchSchedule) Failed(timedOut bool) (wait float64) {
	s.lastFailed = true
	if timedOut {
		return s.silentBackoff.Next()
	}
	return s.failedBackoff.Next()
}
