// Package metrics holds the counters that operators read: requests by how they ended, attempts,
// and the ends of holds. It formats them as statsd lines and sends them nowhere. Counting is
// one atomic operation, so that nothing waits for a reader of the metrics.
package metrics

import (
	"fmt"
	"io"
	"sync/atomic"
)

// RequestEnd is how a request ended.
type RequestEnd int

// The ends of requests. A request whose client disconnected first has none of them.
const (
	Fulfilled RequestEnd = iota // served: the whole answer was passed on
	Throttled                   // refused by the decision module, a limit, a shutdown or a full front
	Faulted                     // failed: answered with an error, or the answer broke off after it had started
	numRequestEnds
)

// HoldEnd is why an engine no longer holds KV state or a reservation for a request.
type HoldEnd int

// The ends of holds.
const (
	HoldTaken     HoldEnd = iota // the answer started, which frees everything held for it
	HoldReleased                 // a running engine answered the release
	HoldResent                   // the request was sent to the engine again, which may hold something again
	HoldRestarted                // the engine restarted, or is gone
	HoldGivenUp                  // the bound on releases was reached; the engine may still hold something
	numHoldEnds
)

// String returns the end's name in metrics and logs.
func (e HoldEnd) String() string {
	return []string{"taken", "released", "resent", "restarted", "given_up"}[e]
}

// Counters holds the counts of one router since its start, by class of request. Requests of an
// unknown class are not counted, nor is input that never became a request (malformed framing
// or fields): its class can't be trusted.
type Counters struct {
	classNames         []string
	classes            map[string]*classCounters
	holdEnds           [numHoldEnds]atomic.Uint64
	releasedUnanswered atomic.Uint64 // see HoldsReleasedUnanswered
}

type classCounters struct {
	ended      [numRequestEnds]atomic.Uint64
	relayed    atomic.Uint64
	clientLeft atomic.Uint64
}

// New returns counters, all zero, for these classes; WriteStatsd writes them in this order.
func New(classes []string) *Counters {
	c := &Counters{classNames: classes, classes: map[string]*classCounters{}}
	for _, name := range classes {
		c.classes[name] = &classCounters{}
	}
	return c
}

// RequestEnded counts a request's one final answer: when it is given or, if it is a stream,
// when the stream is over.
func (c *Counters) RequestEnded(class string, end RequestEnd) {
	if counters := c.classes[class]; counters != nil && end >= 0 && end < numRequestEnds {
		counters.ended[end].Add(1)
	}
}

// AttemptRelayed counts an attempt whose last byte has been written to an engine, whatever its
// result. Probes, reservations and releases are not attempts.
func (c *Counters) AttemptRelayed(class string) {
	if counters := c.classes[class]; counters != nil {
		counters.relayed.Add(1)
	}
}

// ClientLeft counts a request whose client left before its answer had begun.
func (c *Counters) ClientLeft(class string) {
	if counters := c.classes[class]; counters != nil {
		counters.clientLeft.Add(1)
	}
}

// HoldEnded counts the end of a hold.
func (c *Counters) HoldEnded(end HoldEnd) {
	if end >= 0 && end < numHoldEnds {
		c.holdEnds[end].Add(1)
	}
}

// HoldsReleasedUnanswered counts holds released while an attempt of their request was in flight
// and unanswered.
func (c *Counters) HoldsReleasedUnanswered(holds int) { c.releasedUnanswered.Add(uint64(holds)) }

// Gauges are current values.
type Gauges struct {
	OpenRequests   int     // admitted and not ended
	Engines        int     // in the membership
	EnginesAvoided int     // of those, the ones that the decision module avoids now
	OpenHolds      int     // KV state and reservations that engines may hold, as far as this process knows
	OldestHoldAge  float64 // ms since the oldest of them began
}

// WriteStatsd writes all metrics as lines name:value|kind, names prefixed with prefix. Counters
// are not read at one moment; each only grows.
func (c *Counters) WriteStatsd(w io.Writer, prefix string, gauges Gauges) error {
	for _, class := range c.classNames {
		counters := c.classes[class]
		for _, metric := range []struct {
			name  string
			value uint64
		}{
			{"fulfilled", counters.ended[Fulfilled].Load()}, {"throttled", counters.ended[Throttled].Load()},
			{"faulted", counters.ended[Faulted].Load()}, {"relayed", counters.relayed.Load()},
			{"client_left", counters.clientLeft.Load()},
		} {
			if _, err := fmt.Fprintf(w, "%s.%s.%s:%d|c\n", prefix, metric.name, class, metric.value); err != nil {
				return fmt.Errorf("metrics: %w", err)
			}
		}
	}
	_, err := fmt.Fprintf(w, "%s.open_requests:%d|g\n%s.registry_entries:%d|g\n%s.out_of_rotation:%d|g\n",
		prefix, gauges.OpenRequests, prefix, gauges.Engines, prefix, gauges.EnginesAvoided)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return c.writeHolds(w, prefix, gauges)
}

// writeHolds writes the metrics of holds.
func (c *Counters) writeHolds(w io.Writer, prefix string, gauges Gauges) error {
	for end := range numHoldEnds {
		if _, err := fmt.Fprintf(w, "%s.holds_ended.%s:%d|c\n", prefix, end, c.holdEnds[end].Load()); err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
	}
	_, err := fmt.Fprintf(w, "%s.holds_released_unanswered:%d|c\n%s.holds_open:%d|g\n%s.holds_oldest_ms:%.0f|g\n",
		prefix, c.releasedUnanswered.Load(), prefix, gauges.OpenHolds, prefix, gauges.OldestHoldAge)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}
