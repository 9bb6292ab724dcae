// Package metrics counts what operators are shown: requests by how they ended, and
// attempts. Adding is one atomic operation, so that nothing waits for a reader.
package metrics

import (
	"fmt"
	"io"
	"sync/atomic"
)

// End is how a request ended.
type RequestEnd int

// The ends. A request whose client has left first has none of them.
const (
	Fulfilled RequestEnd = iota // served: the answer has been passed on to its end
	Throttled                   // refused, by the module, a limit, a stop, or a front that has no room
	Faulted                     // failed: answered so, or its answer broke after it had begun
	ends
)

// HoldEnd is why an engine no longer holds KV state or a reservation for a request.
type HoldEnd int

// The ends of holds.
const (
	HoldTaken     HoldEnd = iota // the answer has begun, with which all that is held goes
	HoldReleased                 // an engine that runs has answered the release
	HoldResent                   // the request was sent to that engine again, and may hold anew
	HoldRestarted                // the engine has started anew, or is gone
	HoldGivenUp                  // a bound on releases was met: the engine may go on holding
	holdEnds
)

// String names an end in metrics and logs.
func (e HoldEnd) String() string {
	return []string{"taken", "released", "resent", "restarted", "given_up"}[e]
}

// Set holds the counts of one router since its start, by class of requests. What is of no
// known class is counted nowhere, nor is what never became a request (a framing or a field
// that can't be read): it has no class that could be believed.
type Counters struct {
	names    []string
	classes  map[string]*class
	holdEnds [holdEnds]atomic.Uint64
	released atomic.Uint64 // holds, while an attempt was out
}

type class struct {
	ended   [ends]atomic.Uint64
	relayed atomic.Uint64
}

// New makes a set of counts, all zero, for these classes, which are shown in this order.
func New(classes []string) *Counters {
	s := &Counters{names: classes, classes: map[string]*class{}}
	for _, name := range classes {
		s.classes[name] = &class{}
	}
	return s
}

// Ended counts a request's one final answer, at the moment when it is given or, where
// that is a stream, over.
func (s *Counters) RequestEnded(name string, how RequestEnd) {
	if c := s.classes[name]; c != nil && how >= 0 && how < ends {
		c.ended[how].Add(1)
	}
}

// Relayed counts an attempt whose last byte has been written to an engine, whatever
// comes of it. Probes, places and releases are none.
func (s *Counters) AttemptRelayed(name string) {
	if c := s.classes[name]; c != nil {
		c.relayed.Add(1)
	}
}

// HoldEnded counts the end of a hold.
func (s *Counters) HoldEnded(how HoldEnd) {
	if how >= 0 && how < holdEnds {
		s.holdEnds[how].Add(1)
	}
}

// ReleasedBeside counts holds released while an attempt for their request was out and unanswered.
func (s *Counters) HoldsReleasedUnanswered(holds int) { s.released.Add(uint64(holds)) }

// Gauges are the values of this moment.
type Gauges struct {
	OpenRequests   int     // requests taken and not ended
	Engines        int     // engines in the list
	EnginesAvoided int     // of them, those that the decisions avoid now
	OpenHolds      int     // what engines may hold for requests, as far as this process knows
	OldestHoldAge  float64 // ms for which the oldest of them has stood
}

// Statsd writes all metrics in the form name:value|kind, one a line, names behind
// prefix. Counts may be of slightly different moments; each only grows.
func (s *Counters) WriteStatsd(w io.Writer, prefix string, g Gauges) error {
	for _, name := range s.names {
		c := s.classes[name]
		for _, f := range []struct {
			figure string
			value  uint64
		}{
			{"fulfilled", c.ended[Fulfilled].Load()}, {"throttled", c.ended[Throttled].Load()},
			{"faulted", c.ended[Faulted].Load()}, {"relayed", c.relayed.Load()},
		} {
			if _, err := fmt.Fprintf(w, "%s.%s.%s:%d|c\n", prefix, f.figure, name, f.value); err != nil {
				return fmt.Errorf("metrics: %w", err)
			}
		}
	}
	_, err := fmt.Fprintf(w, "%s.open_requests:%d|g\n%s.registry_entries:%d|g\n%s.out_of_rotation:%d|g\n",
		prefix, g.OpenRequests, prefix, g.Engines, prefix, g.EnginesAvoided)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return s.holds(w, prefix, g)
}

// holds writes the figures of held state.
func (s *Counters) holds(w io.Writer, prefix string, g Gauges) error {
	for how := range holdEnds {
		if _, err := fmt.Fprintf(w, "%s.holds_ended.%s:%d|c\n", prefix, how, s.holdEnds[how].Load()); err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
	}
	_, err := fmt.Fprintf(w, "%s.holds_released_unanswered:%d|c\n%s.holds_open:%d|g\n%s.holds_oldest_ms:%.0f|g\n",
		prefix, s.released.Load(), prefix, g.OpenHolds, prefix, g.OldestHoldAge)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}
