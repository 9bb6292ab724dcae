package ashwood

import "time"

// This file keeps the scheduler's pending timers.

// pendingTimer tells what a TimerFired event is for. A purpose of 0 or more is the number of an
// attempt to check for being overdue; others are the timer constants.
type pendingTimer struct {
	requestID RequestID
	purpose   int
	attempt   int // with timerLiveness
}

// Purposes of timers.
const (
	timerAdvance  = -1 - iota // look again for a server
	timerWatch                // watch membership again
	timerShutdown             // give up what is unanswered
	timerLiveness             // look for a liveness signal of an attempt's server
)

func (s *Scheduler) setTimer(delay time.Duration, timer pendingTimer) {
	s.lastTimer++
	s.timers[s.lastTimer] = timer
	s.emit(SetTimer{At: s.now + max(delay, time.Millisecond), Token: s.lastTimer})
}
