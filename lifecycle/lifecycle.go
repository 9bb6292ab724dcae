// Package lifecycle decides how a router starts, stops and who is in it
// meanwhile: whether a request may enter, when the wait for the active ones is over,
// and what is to be done with those who are still there then.
//
// It is pure: events and the time go in, and what to do comes out. It has no
// goroutine, lock, timer or clock.
package lifecycle

import (
	"errors"
	"fmt"
	"math"
)

// Phase is a router's state.
type Phase int

// The phases, in the order in which they come; none comes twice.
const (
	New      Phase = iota + 1 // made, not started
	Running                   // takes requests
	Draining                  // still takes them, and sends clients elsewhere
	Stopping                  // takes none; active ones may finish
	Ending                    // active ones are being ended
	Stopped                   // none is active
)

// String names a phase.
func (p Phase) String() string {
	names := [...]string{"", "new", "running", "draining", "stopping", "ending", "stopped"}
	if p < New || p > Stopped {
		return fmt.Sprintf("phase %d", int(p))
	}
	return names[p]
}

// Errors of entering and of starting.
var (
	ErrNotStarted = errors.New("lifecycle: not started")
	ErrStopping   = errors.New("lifecycle: shutting down")
	ErrStarted    = errors.New("lifecycle: started already")
)

// Stage is how far a request has come.
type Stage int

// The stages of a request.
const (
	Waiting Stage = iota + 1 // for an engine, or with an attempt or a place out: no answer yet
	Begun                    // the client has had the first piece of its answer
)

// Times of a stop, in ms.
type Times struct {
	Drain  float64 // how long requests are still taken once clients are sent elsewhere
	Grace  float64 // how long active requests may take after that; Inf = until they have ended
	Settle float64 // how long those that were ended may take to let go of what they hold
}

// Do is what the shell is to do next.
type Do struct {
	Tell     bool    // send clients elsewhere (once, when draining begins)
	Refuse   bool    // admit nobody any more (once, when stopping begins)
	End      []ID    // end these requests: their streams break, the others fail
	Finished bool    // no request is active any more, or the time to settle is over
	Left     int     // with Finished: requests that did not let go in time
	Next     float64 // time at which to ask again, +Inf for not before something happens
}

// ID names an active request.
type ID uint64

// Machine is one router's life. It is used by one goroutine at a time.
type Machine struct {
	phase  Phase
	times  Times
	until  float64 // the end of the phase that has one
	life   Lifetime
	next   ID
	active map[ID]Stage
	order  []ID // of the active ones, as they came; may hold some that have left
	ended  map[ID]bool
}

// NewMachine makes a router's life, in phase New.
func NewMachine() *Machine {
	return &Machine{phase: New, until: math.Inf(1), life: Unlimited(), active: map[ID]Stage{}, ended: map[ID]bool{}}
}

// Phase is the present one.
func (m *Machine) Phase() Phase { return m.phase }

// Active is the number of requests that have entered and not left.
func (m *Machine) Active() int { return len(m.active) }

// Start begins to take requests.
func (m *Machine) Start() error {
	switch m.phase {
	case New:
		m.phase = Running
		return nil
	case Running:
		return ErrStarted
	}
	return ErrStopping
}

// Expect tells what the process has left to live. Told again, only what is sooner counts.
func (m *Machine) Expect(l Lifetime) { m.life = m.life.Earliest(l) }

// Enter takes a request in that has been read now, or tells why not.
func (m *Machine) Enter(now float64) (ID, error) {
	if !m.life.Admits(now) && m.phase != New {
		return 0, ErrStopping
	}
	return m.enter(Waiting)
}

// Adopt takes a request in whose answer another process of the same gateway has begun.
func (m *Machine) Adopt() (ID, error) { return m.enter(Begun) }

func (m *Machine) enter(stage Stage) (ID, error) {
	switch m.phase {
	case New:
		return 0, ErrNotStarted
	case Running, Draining:
		m.next++
		m.active[m.next] = stage
		m.order = append(m.order, m.next)
		return m.next, nil
	}
	return 0, ErrStopping
}

// Began tells that a request's answer has begun. false means that it has been
// ended, and nothing of it may be passed on any more.
func (m *Machine) Began(id ID) bool {
	if _, ok := m.active[id]; !ok || m.ended[id] {
		return false
	}
	m.active[id] = Begun
	return true
}

// EndWaiting ends the active requests whose answer has not begun, and gives them as they came.
func (m *Machine) EndWaiting() (end []ID) {
	for _, id := range m.order {
		if stage, ok := m.active[id]; ok && stage == Waiting && !m.ended[id] {
			m.ended[id] = true
			end = append(end, id)
		}
	}
	return end
}

// Leave tells that a request is over and holds nothing. Again, it does nothing.
func (m *Machine) Leave(id ID) {
	delete(m.active, id)
	delete(m.ended, id)
	if len(m.order) > 2*len(m.active)+16 {
		rest := m.order[:0]
		for _, id := range m.order {
			if _, ok := m.active[id]; ok {
				rest = append(rest, id)
			}
		}
		m.order = rest
	}
}

// Stop begins to stop. While a stop goes on, a further one can make it shorter
// and never longer.
func (m *Machine) Stop(now float64, t Times) {
	switch m.phase {
	case New:
		m.phase = Stopped
	case Running:
		m.phase, m.times, m.until = Draining, t, now+t.Drain
	case Draining:
		m.until = min(m.until, now+t.Drain)
		m.times.Grace, m.times.Settle = min(m.times.Grace, t.Grace), min(m.times.Settle, t.Settle)
	case Stopping:
		m.until = min(m.until, now+t.Drain+t.Grace)
		m.times.Settle = min(m.times.Settle, t.Settle)
	case Ending:
		m.until = min(m.until, now+t.Drain+t.Grace+t.Settle)
	}
}

// Step tells what to do at a time. The shell calls it after each event of a stop
// and at the time that it names.
func (m *Machine) Step(now float64) (do Do) {
	do.Next = math.Inf(1)
	if m.phase == Draining {
		do.Tell = true // it costs nothing to be told again
		if now >= m.until {
			m.phase, m.until = Stopping, m.until+m.times.Grace
			do.Refuse = true
		}
	}
	if m.phase == Stopping && (now >= m.until || len(m.active) == 0) {
		m.phase, m.until = Ending, now+m.times.Settle
		for _, id := range m.order {
			if _, ok := m.active[id]; ok {
				m.ended[id] = true
				do.End = append(do.End, id)
			}
		}
	}
	if m.phase == Ending && (now >= m.until || len(m.active) == 0) {
		m.phase = Stopped
		do.Left = len(m.active)
	}
	switch m.phase {
	case Draining, Stopping, Ending:
		do.Next = m.until
	case Stopped:
		do.Finished = true
	}
	return do
}
