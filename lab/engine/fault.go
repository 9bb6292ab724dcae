package engine

import (
	"fmt"
	"math"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of engine faults. Faults of discovery and of the load are modelled
// elsewhere.
const (
	FaultCrash            FaultKind = "crash"       // the process ends, and starts again cold
	FaultVanish           FaultKind = "vanish"      // the machine becomes unreachable, and starts again cold
	FaultHang             FaultKind = "hang"        // accepts work and answers nothing
	FaultPause            FaultKind = "pause"       // does no work for a while
	FaultSlow             FaultKind = "slow"        // works slower by Factor
	FaultSlowLink         FaultKind = "slow-link"   // KV state transfers take longer by Factor
	FaultErrors           FaultKind = "errors"      // a share of attempts, Factor, ends with an error
	FaultTurnedAway       FaultKind = "turned-away" // rejects all new work
	FaultBreak            FaultKind = "break"       // a share of answers breaks after they have begun
	FaultStall            FaultKind = "stop"        // a share of answers stalls with the connection open
	FaultMalformedHead    FaultKind = "spoil-head"  // a share of answers begins with malformed bytes
	FaultMalformedChunk   FaultKind = "spoil-chunk" // a share of answers has a malformed second chunk
	FaultMalformedReports FaultKind = "bad-reports" // load reports are malformed
	FaultDrain            FaultKind = "drain"       // finishes what it has and rejects new work
)

// Fault is a fault of some engines for a while. Faults may overlap, on one engine
// too.
type Fault struct {
	Kind     FaultKind
	Engines  []string
	Start    float64 // ms
	Duration float64 // ms
	Factor   float64 // a factor of slowness or a share of attempts; see the kinds
}

type activeFault struct{ Fault }

// Inject schedules a fault. One whose start lies in the past starts now.
func (f *Fleet) Inject(in Fault) error {
	for _, id := range in.Engines {
		if f.engines[id] == nil {
			return fmt.Errorf("%w: %q", ErrUnknownEngine, id)
		}
	}
	if !(in.Duration >= 0) || math.IsInf(in.Duration, 0) {
		return fmt.Errorf("engine: fault duration %v ms is negative or not finite", in.Duration)
	}
	fault := &activeFault{in}
	f.after(in.Start-f.now, func() {
		f.faults = append(f.faults, fault)
		f.applyFault(fault)
		f.after(in.Duration, func() {
			f.faults = remove(f.faults, fault)
			f.applyFault(fault)
		})
	})
	return nil
}

// applyFault updates the conditions of a fault's engines.
func (f *Fleet) applyFault(fault *activeFault) {
	for _, id := range fault.Engines {
		f.updateCondition(f.engines[id])
	}
}

// updateCondition computes an engine's condition from the active faults.
func (f *Fleet) updateCondition(eng *engine) {
	previous := eng.condition
	c := Condition{State: Up, ColdCrashed: previous.ColdCrashed, SlowFactor: 1, LinkSlowFactor: 1}
	for _, fault := range f.faults {
		if !fault.affects(eng.spec.ID) {
			continue
		}
		switch fault.Kind {
		case FaultCrash:
			if c.State == Up {
				c.State = Down
			}
		case FaultVanish:
			c.State = Silent
		case FaultHang:
			c.Hung = true
		case FaultPause:
			c.Paused = true
		case FaultSlow:
			c.SlowFactor *= max(1, fault.Factor)
		case FaultSlowLink:
			c.LinkSlowFactor *= max(1, fault.Factor)
		case FaultErrors:
			c.ErrorShare += fault.Factor
		case FaultTurnedAway:
			c.Refusing = true
		case FaultBreak:
			c.BreakShare += fault.Factor
		case FaultStall:
			c.StallShare += fault.Factor
		case FaultMalformedHead:
			c.MalformedHeadShare += fault.Factor
		case FaultMalformedChunk:
			c.MalformedChunkShare += fault.Factor
		case FaultMalformedReports:
			c.MalformedReports = true
		case FaultDrain:
			c.Draining = true
		}
	}
	if c.ColdCrashed && c.State == Up {
		c.State = Down
	}
	state := c.State
	c.State = previous.State
	eng.condition = c
	if c.LinkSlowFactor != previous.LinkSlowFactor {
		eng.localLink.advance(f.now)
		eng.localLink.slowFactor = c.LinkSlowFactor
		f.scheduleLink(eng.localLink)
	}
	switch {
	case state != Up && previous.State == Up:
		f.stopEngine(eng, state)
	case state == Up && previous.State != Up:
		f.startEngine(eng)
	default:
		eng.condition.State = state // an unreachable machine may turn out to be down, and the other way round
		if c != previous {
			f.emit(Event{Kind: EventCondition, Engine: eng.spec.ID})
		}
		f.resume(eng)
	}
}

func (r *activeFault) affects(id string) bool {
	for _, other := range r.Engines {
		if other == id {
			return true
		}
	}
	return false
}

// stopEngine ends an engine's process: its work and memory are lost. Calls to a dead
// process end as lost; an unreachable machine sends nothing.
func (f *Fleet) stopEngine(eng *engine, state State) {
	hung := eng.condition.Hung
	eng.condition.Hung = false // a dead process's connections are reset even if it hung
	for _, list := range [][]*job{eng.queue, eng.running, eng.fetching} {
		for _, j := range list {
			if j.hold != nil {
				if j.hold.waiter == j {
					j.hold.waiter = nil
				}
				if j.hold.prefill == j {
					j.hold.prefill = nil
				}
				f.stopTransfer(j.hold)
			}
			j.abandoned = j.abandoned || state == Silent
			f.finish(j, Event{Kind: EventLost})
		}
	}
	eng.condition.Hung = hung
	eng.condition.State = state
	eng.queue, eng.running, eng.fetching = nil, nil, nil
	eng.stepActive, eng.stepOverdue = false, false
	eng.overheadMs, eng.conns, eng.coldWork = 0, 0, nil
	eng.incarnation++
	for _, h := range append([]*hold(nil), eng.kvStates...) {
		j := h.waiter
		f.freeState(h)
		if j != nil && h.transfer == nil && j.engine != eng {
			f.failFetch(j)
		}
		f.deleteIfEmpty(h)
	}
	for _, h := range append([]*hold(nil), eng.reservations...) {
		f.cancelReservation(h)
		f.deleteIfEmpty(h)
	}
	eng.cache.clear()
	eng.pinned = 0
	eng.reports = reportHistory{}
	f.emit(Event{Kind: EventCondition, Engine: eng.spec.ID})
}

// failFetch ends a fetch whose prefill engine has died. An attempt that is still
// queued finds out at its admission.
func (f *Fleet) failFetch(j *job) {
	eng := j.engine
	for _, other := range eng.fetching {
		if other == j {
			eng.fetching = remove(eng.fetching, j)
			eng.pin(j, -j.pinned)
			f.reject(j, EventNoState, "")
			f.startStep(eng)
			return
		}
	}
}

// startEngine starts an engine again, cold and empty.
func (f *Fleet) startEngine(eng *engine) {
	eng.condition.State = Up
	eng.startedAt = f.now
	f.emit(Event{Kind: EventCondition, Engine: eng.spec.ID})
}

// Restart restarts an engine by hand, also one that crashed while cold.
func (f *Fleet) Restart(id string) error {
	eng := f.engines[id]
	if eng == nil {
		return ErrUnknownEngine
	}
	if eng.condition.State == Up {
		f.stopEngine(eng, Down)
	}
	eng.condition.ColdCrashed = false
	f.updateCondition(eng)
	return nil
}
