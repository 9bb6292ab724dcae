// Package clock is the program's one source of time: milliseconds as a
// float64 since the Unix epoch, advancing with the system's monotonic clock.
package clock

import (
	"context"
	"math"
	"sync"
	"time"
)

// Clock tells the time and calls back. Tests use a Manual one.
type Clock interface {
	// Now is the time in milliseconds since the Unix epoch.
	Now() float64
	// AfterFunc calls f on its own goroutine once ms milliseconds have gone
	// by. Stop tells whether it prevented the call.
	AfterFunc(ms float64, f func()) (stop func() bool)
}

// Duration converts milliseconds for the standard library, rounded up so
// that nothing falls due early.
func Duration(ms float64) time.Duration {
	if ms >= float64(math.MaxInt64)/1e6 {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(ms*1000)) * time.Microsecond
}

// Millis converts a duration of the standard library.
func Millis(d time.Duration) float64 { return float64(d) / 1e6 }

// Wait lets ms milliseconds go by, or less if ctx ends: then it gives its error.
func Wait(ctx context.Context, c Clock, ms float64) error {
	over := make(chan struct{})
	stop := c.AfterFunc(ms, func() { close(over) })
	select {
	case <-over:
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

// System is the machine's clock. A step of the wall clock after the start
// does not move it.
func System() Clock {
	now := time.Now()
	return system{origin: now, unix: float64(now.UnixMicro()) / 1000}
}

func (s system) Now() float64 { return s.unix + Millis(time.Since(s.origin)) }

func (s system) AfterFunc(ms float64, f func()) func() bool {
	return time.AfterFunc(Duration(max(ms, 0)), f).Stop
}

// Manual is a clock that moves when it is told to.
type Manual struct {
	mu   sync.Mutex
	now  float64
	next int
	due  map[int]call
}

type call struct {
	at float64
	f  func()
}

// NewManual gives a clock that stands at a time.
func NewManual(now float64) *Manual { return &Manual{now: now, due: map[int]call{}} }

// Now is the time last set.
func (m *Manual) Now() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// AfterFunc calls f once the clock has been moved ms milliseconds on.
func (m *Manual) AfterFunc(ms float64, f func()) func() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	n := m.next
	m.due[n] = call{m.now + max(ms, 0), f}
	return func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		_, ok := m.due[n]
		delete(m.due, n)
		return ok
	}
}

// Advance moves the clock on and starts the calls that fall due.
func (m *Manual) Advance(ms float64) {
	m.mu.Lock()
	m.now += ms
	var run []func()
	for n, c := range m.due {
		if c.at <= m.now {
			run = append(run, c.f)
			delete(m.due, n)
		}
	}
	m.mu.Unlock()
	for _, f := range run {
		go f()
	}
}
