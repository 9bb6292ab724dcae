// Package clock is the program's only source of time: milliseconds as a float64
// since the Unix epoch, advancing with the system's monotonic clock. It also has a
// manual clock for tests.
package clock

import (
	"context"
	"math"
	"sync"
	"time"
)

// Clock tells the time and runs callbacks. Tests use a Manual clock.
type Clock interface {
	// Now returns the time in milliseconds since the Unix epoch.
	Now() float64
	// AfterFunc calls f on its own goroutine after ms milliseconds. stop
	// reports whether it prevented the call.
	AfterFunc(ms float64, f func()) (stop func() bool)
}

// Duration converts milliseconds to a time.Duration, rounded up so that no
// timer fires early.
func Duration(ms float64) time.Duration {
	if ms >= float64(math.MaxInt64)/1e6 {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(ms*1000)) * time.Microsecond
}

// Millis converts a time.Duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / 1e6 }

// Wait waits for ms milliseconds. If ctx ends earlier, it returns the error of ctx.
func Wait(ctx context.Context, c Clock, ms float64) error {
	elapsed := make(chan struct{})
	stop := c.AfterFunc(ms, func() { close(elapsed) })
	select {
	case <-elapsed:
		return nil
	case <-ctx.Done():
		stop()
		return ctx.Err()
	}
}

type system struct {
	origin time.Time
	unix   float64
}

// System returns the clock of the machine. Steps of the wall clock after this call
// do not affect it.
func System() Clock {
	now := time.Now()
	return system{origin: now, unix: float64(now.UnixMicro()) / 1000}
}

func (s system) Now() float64 { return s.unix + Millis(time.Since(s.origin)) }

func (s system) AfterFunc(ms float64, f func()) func() bool {
	return time.AfterFunc(Duration(max(ms, 0)), f).Stop
}

// Manual is a clock that moves only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     float64
	nextID  int
	pending map[int]pendingCall
}

type pendingCall struct {
	deadline float64
	callback func()
}

// NewManual returns a clock that stands at now.
func NewManual(now float64) *Manual { return &Manual{now: now, pending: map[int]pendingCall{}} }

// Now returns the time of the clock.
func (m *Manual) Now() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// AfterFunc calls f on its own goroutine once the clock has advanced by ms milliseconds.
func (m *Manual) AfterFunc(ms float64, f func()) func() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	n := m.nextID
	m.pending[n] = pendingCall{m.now + max(ms, 0), f}
	return func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		_, ok := m.pending[n]
		delete(m.pending, n)
		return ok
	}
}

// Advance moves the clock forward by ms milliseconds and starts the calls that have expired.
func (m *Manual) Advance(ms float64) {
	m.mu.Lock()
	m.now += ms
	var expired []func()
	for n, c := range m.pending {
		if c.deadline <= m.now {
			expired = append(expired, c.callback)
			delete(m.pending, n)
		}
	}
	m.mu.Unlock()
	for _, f := range expired {
		go f()
	}
}
