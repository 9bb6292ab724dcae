package ashwood

import (
	"slices"
	"time"
)

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

// setTimer sets a timer, which ends with its request.
func (s *Scheduler) setTimer(delay time.Duration, timer pendingTimer) {
	s.lastTimer++
	s.timers[s.lastTimer] = timer
	if request := s.requests[timer.requestID]; request != nil {
		request.timers = append(request.timers, s.lastTimer)
	}
	s.emit(SetTimer{At: s.now + max(delay, time.Millisecond), Token: s.lastTimer})
}

// takeTimer returns what an expired timer was set for, and forgets it. It returns false if the timer's request
// has ended.
func (s *Scheduler) takeTimer(token uint64) (timer pendingTimer, ok bool) {
	timer, ok = s.timers[token]
	delete(s.timers, token)
	if request := s.requests[timer.requestID]; ok && request != nil {
		request.timers = slices.DeleteFunc(request.timers, func(t uint64) bool { return t == token })
	}
	return timer, ok
}

// removeRequest forgets a request and its timers: they must not concern a later request of the same id.
func (s *Scheduler) removeRequest(request *trackedRequest) {
	for _, token := range request.timers {
		delete(s.timers, token)
	}
	delete(s.requests, request.ID)
}
