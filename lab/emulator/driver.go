// Package emulator serves the lab's model of the fleet on loopback sockets: the
// platform's engine protocol, the gRPC Box service, and the discovery agents. The
// model in lab/engine decides what engines do and lab/news what agents know; this
// package carries their events to sockets and reports them to the rule checker.
package emulator

import (
	"context"
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lab/engine"
)

// driver advances a fleet along a clock and delivers its events to the calls that
// wait for them. It is the only layer between the model and sockets.
type driver struct {
	clock       clock.Clock
	onCondition func(engineID string) // called without the lock when an engine's condition has changed
	closed      chan struct{}

	mu            sync.Mutex
	fleet         *engine.Fleet
	calls         map[engine.Call]*call
	stop          func() bool
	timerAt       float64 // when the timer fires
	lateHistogram *hdrhistogram.Histogram
}

// maxLatenessUs is the upper bound of recorded lateness: a minute in microseconds.
const maxLatenessUs = 60e6

func newDriver(f *engine.Fleet, c clock.Clock, onCondition func(string)) *driver {
	return &driver{
		clock: c, onCondition: onCondition, closed: make(chan struct{}), fleet: f, calls: map[engine.Call]*call{}, timerAt: math.Inf(1),
		lateHistogram: hdrhistogram.New(1, maxLatenessUs, 3),
	}
}

// do runs f on the fleet at the present time.
func (d *driver) do(f func(*engine.Fleet)) {
	d.mu.Lock()
	now := d.clock.Now()
	if due := d.fleet.NextEventAt(); due < now {
		_ = d.lateHistogram.RecordValue(min(int64((now-due)*1000), maxLatenessUs)) // min keeps the value within the histogram's range
	}
	d.fleet.Advance(now)
	if f != nil {
		f(d.fleet)
	}
	engineIDs := d.dispatch()
	d.setTimer()
	d.mu.Unlock()
	for _, engineID := range engineIDs {
		d.onCondition(engineID)
	}
}

// dispatch delivers events, and returns the engines whose condition has changed.
func (d *driver) dispatch() (engineIDs []string) {
	for _, e := range d.fleet.TakeEvents() {
		if e.Kind == engine.EventCondition {
			engineIDs = append(engineIDs, e.Engine)
			continue
		}
		c := d.calls[e.Call]
		if c == nil {
			continue
		}
		c.add(e)
		if e.Kind != engine.EventTokens {
			delete(d.calls, e.Call)
		}
	}
	return engineIDs
}

// setTimer sets the timer to the fleet's next event.
func (d *driver) setTimer() {
	next := d.fleet.NextEventAt()
	if next >= d.timerAt || math.IsInf(next, 1) {
		return
	}
	if d.stop != nil {
		d.stop()
	}
	d.timerAt = next
	d.stop = d.clock.AfterFunc(max(0, next-d.clock.Now()), d.timerFired)
}

func (d *driver) timerFired() {
	select {
	case <-d.closed:
		return
	default:
	}
	d.mu.Lock()
	d.timerAt, d.stop = math.Inf(1), nil
	d.mu.Unlock()
	d.do(nil)
}

func (d *driver) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.closed)
	if d.stop != nil {
		d.stop()
	}
}

// lateness returns quantiles in ms of how late the emulator itself has been.
func (d *driver) lateness() (p50, p99, worst float64, steps int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(d.lateHistogram.ValueAtQuantile(50)) / 1000, float64(d.lateHistogram.ValueAtQuantile(99)) / 1000, float64(d.lateHistogram.Max()) / 1000, d.lateHistogram.TotalCount()
}

// call queues the events of one attempt or reservation request.
type call struct {
	id engine.Call

	mu     sync.Mutex
	events []engine.Event
	ready  chan struct{}
}

func (c *call) add(e engine.Event) {
	c.mu.Lock()
	c.events = append(c.events, e)
	c.mu.Unlock()
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// next waits for the next event.
func (c *call) next(ctx context.Context) (engine.Event, error) {
	for {
		c.mu.Lock()
		if len(c.events) > 0 {
			e := c.events[0]
			c.events = c.events[1:]
			c.mu.Unlock()
			return e, nil
		}
		c.mu.Unlock()
		select {
		case <-c.ready:
		case <-ctx.Done():
			return engine.Event{}, context.Cause(ctx)
		}
	}
}

// openCall makes a call to the fleet and registers it for its events.
func (d *driver) openCall(f func(*engine.Fleet) (engine.Call, error)) (*call, error) {
	c := &call{ready: make(chan struct{}, 1)}
	var err error
	d.do(func(fleet *engine.Fleet) {
		if c.id, err = f(fleet); err == nil {
			d.calls[c.id] = c
		}
	})
	return c, err
}

// cancelCall cancels a call whose caller has gone.
func (d *driver) cancelCall(c *call) {
	d.do(func(f *engine.Fleet) {
		f.Cancel(c.id)
		delete(d.calls, c.id)
	})
}

// sleepUntil waits for a time on the clock.
func (d *driver) sleepUntil(ctx context.Context, at float64) error {
	remaining := at - d.clock.Now()
	if remaining <= 0 {
		return nil
	}
	expired := make(chan struct{})
	stop := d.clock.AfterFunc(remaining, func() { close(expired) })
	select {
	case <-expired:
		return nil
	case <-ctx.Done():
		stop()
		return context.Cause(ctx)
	}
}
