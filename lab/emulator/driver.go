// Package emulator serves the lab's model of the fleet on loopback sockets: the
// platform's engine protocol, the gRPC Box service, and discovery's agents. The
// model decides; this package carries its events and watches the rules.
package emulator

import (
	"context"
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lab/engine"
)

// driver moves a fleet along a clock and hands its events to those who wait for
// them. It is the one layer between the model and sockets.
type driver struct {
	clock  clock.Clock
	onBox  func(box string) // a box's condition has changed; called without the lock
	closed chan struct{}

	mu    sync.Mutex
	fleet *engine.Fleet
	calls map[engine.Call]*call
	stop  func() bool
	armed float64 // when the timer is due
	late  *hdrhistogram.Histogram
}

// Lateness is recorded in microseconds up to a minute.
const maxLateUs = 60e6

func newDriver(f *engine.Fleet, c clock.Clock, onBox func(string)) *driver {
	return &driver{
		clock: c, onBox: onBox, closed: make(chan struct{}), fleet: f, calls: map[engine.Call]*call{}, armed: math.Inf(1),
		late: hdrhistogram.New(1, maxLateUs, 3),
	}
}

// do runs f on the fleet at the present time.
func (d *driver) do(f func(*engine.Fleet)) {
	d.mu.Lock()
	now := d.clock.Now()
	if due := d.fleet.Next(); due < now {
		_ = d.late.RecordValue(min(int64((now-due)*1000), maxLateUs)) // the bound keeps it within range
	}
	d.fleet.Advance(now)
	if f != nil {
		f(d.fleet)
	}
	boxes := d.dispatch()
	d.arm()
	d.mu.Unlock()
	for _, b := range boxes {
		d.onBox(b)
	}
}

// dispatch hands events out, and gives the boxes that have changed.
func (d *driver) dispatch() (boxes []string) {
	for _, e := range d.fleet.Take() {
		if e.Kind == engine.EventBox {
			boxes = append(boxes, e.Engine)
			continue
		}
		c := d.calls[e.Call]
		if c == nil {
			continue
		}
		c.put(e)
		if e.Kind != engine.EventTokens {
			delete(d.calls, e.Call)
		}
	}
	return boxes
}

// arm sets the timer to the fleet's next event.
func (d *driver) arm() {
	next := d.fleet.Next()
	if next >= d.armed || math.IsInf(next, 1) {
		return
	}
	if d.stop != nil {
		d.stop()
	}
	d.armed = next
	d.stop = d.clock.AfterFunc(max(0, next-d.clock.Now()), d.fire)
}

func (d *driver) fire() {
	select {
	case <-d.closed:
		return
	default:
	}
	d.mu.Lock()
	d.armed, d.stop = math.Inf(1), nil
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

// lateness gives quantiles in ms of how late the emulator itself has been.
func (d *driver) lateness() (p50, p99, worst float64, steps int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(d.late.ValueAtQuantile(50)) / 1000, float64(d.late.ValueAtQuantile(99)) / 1000, float64(d.late.Max()) / 1000, d.late.TotalCount()
}

// call is a mailbox for the events of one attempt or place.
type call struct {
	id engine.Call

	mu     sync.Mutex
	events []engine.Event
	news   chan struct{}
}

func (c *call) put(e engine.Event) {
	c.mu.Lock()
	c.events = append(c.events, e)
	c.mu.Unlock()
	select {
	case c.news <- struct{}{}:
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
		case <-c.news:
		case <-ctx.Done():
			return engine.Event{}, context.Cause(ctx)
		}
	}
}

// open makes a call and a mailbox for what comes of it.
func (d *driver) open(f func(*engine.Fleet) (engine.Call, error)) (*call, error) {
	c := &call{news: make(chan struct{}, 1)}
	var err error
	d.do(func(fleet *engine.Fleet) {
		if c.id, err = f(fleet); err == nil {
			d.calls[c.id] = c
		}
	})
	return c, err
}

// give has the model know that nobody waits for a call any more.
func (d *driver) give(c *call) {
	d.do(func(f *engine.Fleet) {
		f.Cancel(c.id)
		delete(d.calls, c.id)
	})
}

// sleepUntil waits for a time on the clock.
func (d *driver) sleepUntil(ctx context.Context, at float64) error {
	left := at - d.clock.Now()
	if left <= 0 {
		return nil
	}
	due := make(chan struct{})
	stop := d.clock.AfterFunc(left, func() { close(due) })
	select {
	case <-due:
		return nil
	case <-ctx.Done():
		stop()
		return context.Cause(ctx)
	}
}
