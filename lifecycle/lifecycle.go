// Package lifecycle is the state machine of a router's start and shutdown. It decides whether a
// request is admitted, how long a shutdown waits for the active requests, and which of them it
// then cancels. It doesn't carry that out: the router does.
//
// It is pure: events and the time go in, actions come out. It has no goroutine, lock, timer
// or clock.
package lifecycle

import (
	"errors"
	"fmt"
	"math"
)

// Phase is a phase of a router's lifecycle.
type Phase int

// The phases, in order; none is entered twice.
const (
	New      Phase = iota + 1 // not started
	Running                   // admits requests
	Draining                  // still admits requests, but directs clients to other gateways
	Stopping                  // refuses requests; active ones may finish
	Ending                    // active requests are cancelled and release their holds
	Stopped                   // over: no request is active, or the time for releases has expired
)

// String returns the name of the phase.
func (p Phase) String() string {
	names := [...]string{"", "new", "running", "draining", "stopping", "ending", "stopped"}
	if p < New || p > Stopped {
		return fmt.Sprintf("phase %d", int(p))
	}
	return names[p]
}

// Errors of Admit, Adopt and Start.
var (
	ErrNotStarted = errors.New("lifecycle: not started")
	ErrStopping   = errors.New("lifecycle: shutting down")
	ErrStarted    = errors.New("lifecycle: already started")
)

// RequestState is the state of an active request.
type RequestState int

// The states of a request.
const (
	AwaitingAnswer RequestState = iota + 1 // no answer yet: it waits for an engine, an attempt or a reservation
	Streaming                              // the client has received the first piece of the answer
)

// Timeouts are the timeouts of a shutdown, in ms.
type Timeouts struct {
	Drain   float64 // how long requests are still admitted while clients are directed to other gateways
	Grace   float64 // how long active requests may take after that; +Inf = until they end
	Release float64 // how long cancelled requests may take to release their holds
}

// Actions are what the router must do next.
type Actions struct {
	NotifyDrain bool    // direct clients to other gateways; set in each step while draining
	RefuseNew   bool    // refuse new requests; set once, when stopping begins
	Cancel      []ID    // cancel these requests: answers break off, requests without an answer fail
	Finished    bool    // no request is active, or the time for releases has expired
	Unreleased  int     // with Finished: number of requests not released in time
	NextStepAt  float64 // when to call Step again at the latest; +Inf = at the next event
}

// ID identifies an active request.
type ID uint64

// Machine is the state machine of one router. It must not be used by two goroutines at once.
type Machine struct {
	phase     Phase
	timeouts  Timeouts
	phaseEnd  float64 // when the current phase times out; +Inf = never
	lifetime  Lifetime
	lastID    ID
	active    map[ID]RequestState
	admitted  []ID // in order of admission; may contain removed ones
	cancelled map[ID]bool
}

// NewMachine makes a Machine in phase New.
func NewMachine() *Machine {
	return &Machine{phase: New, phaseEnd: math.Inf(1), lifetime: Unlimited(), active: map[ID]RequestState{}, cancelled: map[ID]bool{}}
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// Active returns the number of requests that are admitted and not removed.
func (m *Machine) Active() int { return len(m.active) }

// Start begins to admit requests.
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

// SetLifetime limits the remaining lifetime of the process. Of several calls, the earliest
// times apply.
func (m *Machine) SetLifetime(lifetime Lifetime) { m.lifetime = m.lifetime.Earliest(lifetime) }

// Admit admits a request that was read at time now, or returns the reason for refusing it.
func (m *Machine) Admit(now float64) (ID, error) {
	if !m.lifetime.Admits(now) && m.phase != New {
		return 0, ErrStopping
	}
	return m.add(AwaitingAnswer)
}

// Adopt admits a request whose answer another process of the same gateway has started.
func (m *Machine) Adopt() (ID, error) { return m.add(Streaming) }

func (m *Machine) add(state RequestState) (ID, error) {
	switch m.phase {
	case New:
		return 0, ErrNotStarted
	case Running, Draining:
		m.lastID++
		m.active[m.lastID] = state
		m.admitted = append(m.admitted, m.lastID)
		return m.lastID, nil
	}
	return 0, ErrStopping
}

// AnswerStarted records that a request's answer has started. It returns false if the request
// was cancelled or removed; then no part of the answer may be passed on.
func (m *Machine) AnswerStarted(id ID) bool {
	if _, ok := m.active[id]; !ok || m.cancelled[id] {
		return false
	}
	m.active[id] = Streaming
	return true
}

// EndUnanswered marks the active requests without an answer as cancelled and returns them in
// order of admission.
func (m *Machine) EndUnanswered() (cancelled []ID) {
	for _, id := range m.admitted {
		if state, ok := m.active[id]; ok && state == AwaitingAnswer && !m.cancelled[id] {
			m.cancelled[id] = true
			cancelled = append(cancelled, id)
		}
	}
	return cancelled
}

// Remove removes a request that has ended and holds nothing. Calling it again has no effect.
func (m *Machine) Remove(id ID) {
	delete(m.active, id)
	delete(m.cancelled, id)
	if len(m.admitted) > 2*len(m.active)+16 {
		remaining := m.admitted[:0]
		for _, id := range m.admitted {
			if _, ok := m.active[id]; ok {
				remaining = append(remaining, id)
			}
		}
		m.admitted = remaining
	}
}

// Stop begins the shutdown. A further call can shorten a shutdown in progress, but never
// extend it.
func (m *Machine) Stop(now float64, timeouts Timeouts) {
	switch m.phase {
	case New:
		m.phase = Stopped
	case Running:
		m.phase, m.timeouts, m.phaseEnd = Draining, timeouts, now+timeouts.Drain
	case Draining:
		m.phaseEnd = min(m.phaseEnd, now+timeouts.Drain)
		m.timeouts.Grace, m.timeouts.Release = min(m.timeouts.Grace, timeouts.Grace), min(m.timeouts.Release, timeouts.Release)
	case Stopping:
		m.phaseEnd = min(m.phaseEnd, now+timeouts.Drain+timeouts.Grace)
		m.timeouts.Release = min(m.timeouts.Release, timeouts.Release)
	case Ending:
		m.phaseEnd = min(m.phaseEnd, now+timeouts.Drain+timeouts.Grace+timeouts.Release)
	}
}

// Step advances the shutdown to time now and returns the actions to take. The router calls it
// after each event of a shutdown and at Actions.NextStepAt.
func (m *Machine) Step(now float64) (actions Actions) {
	actions.NextStepAt = math.Inf(1)
	if m.phase == Draining {
		actions.NotifyDrain = true // the router ignores repeats
		if now >= m.phaseEnd {
			m.phase, m.phaseEnd = Stopping, m.phaseEnd+m.timeouts.Grace
			actions.RefuseNew = true
		}
	}
	if m.phase == Stopping && (now >= m.phaseEnd || len(m.active) == 0) {
		m.phase, m.phaseEnd = Ending, now+m.timeouts.Release
		for _, id := range m.admitted {
			if _, ok := m.active[id]; ok {
				m.cancelled[id] = true
				actions.Cancel = append(actions.Cancel, id)
			}
		}
	}
	if m.phase == Ending && (now >= m.phaseEnd || len(m.active) == 0) {
		m.phase = Stopped
		actions.Unreleased = len(m.active)
	}
	switch m.phase {
	case Draining, Stopping, Ending:
		actions.NextStepAt = m.phaseEnd
	case Stopped:
		actions.Finished = true
	}
	return actions
}
