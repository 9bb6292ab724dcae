package engine

import (
	"fmt"
	"math"
)

// FaultKind names what goes wrong.
type FaultKind string

// The kinds of faults of boxes. Those of the list of boxes and of the load are
// not the model's.
const (
	FaultCrash      FaultKind = "crash"       // the process dies, and comes back cold
	FaultVanish     FaultKind = "vanish"      // the machine goes silent, and comes back cold
	FaultHang       FaultKind = "hang"        // takes work, answers nothing
	FaultPause      FaultKind = "pause"       // does no work for a while
	FaultSlow       FaultKind = "slow"        // works slower by Factor
	FaultSlowLink   FaultKind = "slow-link"   // states take longer by Factor
	FaultErrors     FaultKind = "errors"      // a share of attempts, Factor, ends with an error
	FaultTurnedAway FaultKind = "turned-away" // turns all new work away
	FaultBreak      FaultKind = "break"       // a share of answers breaks after it has begun
	FaultStop       FaultKind = "stop"        // a share stops and stays open
	FaultSpoilHead  FaultKind = "spoil-head"  // a share begins with what can't be read
	FaultSpoilChunk FaultKind = "spoil-chunk" // a share goes on with it
	FaultBadReports FaultKind = "bad-reports" // load reports can't be read
	FaultDrain      FaultKind = "drain"       // finishes what it has; nothing new
)

// Fault is something that goes wrong with some boxes for a while. Faults may
// overlap, on one box too.
type Fault struct {
	Kind     FaultKind
	Engines  []string
	Start    float64 // time of its begin
	Duration float64 // ms
	Factor   float64 // how much slower, or a share; see the kinds
}

type faultRun struct{ Fault }

// Inject sets a fault to come. Its begin may lie in the past: it begins now then.
func (f *Fleet) Inject(in Fault) error {
	for _, id := range in.Engines {
		if f.boxes[id] == nil {
			return fmt.Errorf("%w: %q", ErrNoBox, id)
		}
	}
	if !(in.Duration >= 0) || math.IsInf(in.Duration, 0) {
		return fmt.Errorf("engine: a fault of %v ms", in.Duration)
	}
	run := &faultRun{in}
	f.after(in.Start-f.now, func() {
		f.faults = append(f.faults, run)
		f.apply(run)
		f.after(in.Duration, func() {
			f.faults = remove(f.faults, run)
			f.apply(run)
		})
	})
	return nil
}

// apply works the conditions of a fault's boxes out anew.
func (f *Fleet) apply(run *faultRun) {
	for _, id := range run.Engines {
		f.settle(f.boxes[id])
	}
}

// settle makes a box's condition what the faults that are on say.
func (f *Fleet) settle(b *box) {
	was := b.condition
	c := Condition{State: Up, Fallen: was.Fallen, SlowBy: 1, LinkSlowBy: 1}
	for _, run := range f.faults {
		if !run.hits(b.spec.ID) {
			continue
		}
		switch run.Kind {
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
			c.SlowBy *= max(1, run.Factor)
		case FaultSlowLink:
			c.LinkSlowBy *= max(1, run.Factor)
		case FaultErrors:
			c.Errors += run.Factor
		case FaultTurnedAway:
			c.Refusing = true
		case FaultBreak:
			c.Breaks += run.Factor
		case FaultStop:
			c.Stops += run.Factor
		case FaultSpoilHead:
			c.SpoilHead += run.Factor
		case FaultSpoilChunk:
			c.SpoilChunk += run.Factor
		case FaultBadReports:
			c.BadReports = true
		case FaultDrain:
			c.Draining = true
		}
	}
	if c.Fallen && c.State == Up {
		c.State = Down
	}
	state := c.State
	c.State = was.State
	b.condition = c
	if c.LinkSlowBy != was.LinkSlowBy {
		b.port.settle(f.now)
		b.port.slow = c.LinkSlowBy
		f.relink(b.port)
	}
	switch {
	case state != Up && was.State == Up:
		f.die(b, state)
	case state == Up && was.State != Up:
		f.start(b)
	default:
		b.condition.State = state // silent machines may turn out dead, and the other way round
		if c != was {
			f.emit(Event{Kind: EventBox, Engine: b.spec.ID})
		}
		f.resume(b)
	}
}

func (r *faultRun) hits(id string) bool {
	for _, other := range r.Engines {
		if other == id {
			return true
		}
	}
	return false
}

// die ends a box's life: what it had is gone. Calls of a dead process are lost;
// a silent machine says nothing.
func (f *Fleet) die(b *box, state State) {
	hung := b.condition.Hung
	b.condition.Hung = false // a dead process's connections are reset all the same
	for _, list := range [][]*job{b.queue, b.running, b.fetching} {
		for _, j := range list {
			if j.hold != nil {
				if j.hold.wanted == j {
					j.hold.wanted = nil
				}
				if j.hold.read == j {
					j.hold.read = nil
				}
				f.stopMove(j.hold)
			}
			j.left = j.left || state == Silent
			f.finish(j, Event{Kind: EventLost})
		}
	}
	b.condition.Hung = hung
	b.condition.State = state
	b.queue, b.running, b.fetching = nil, nil, nil
	b.stepping, b.overdue = false, false
	b.extraMs, b.conns, b.work = 0, 0, nil
	b.life++
	for _, h := range append([]*hold(nil), b.states...) {
		j := h.wanted
		f.leaveReader(h)
		if j != nil && h.moving == nil && j.box != b {
			f.lostState(j)
		}
		f.forget(h)
	}
	for _, h := range append([]*hold(nil), b.places...) {
		f.leavePlace(h)
		f.forget(h)
	}
	b.cache.clear()
	b.pinned = 0
	b.shown = shown{}
	f.emit(Event{Kind: EventBox, Engine: b.spec.ID})
}

// lostState ends a fetch whose reader has died. One that still waits in the
// queue finds out when its turn comes.
func (f *Fleet) lostState(j *job) {
	b := j.box
	for _, other := range b.fetching {
		if other == j {
			b.fetching = remove(b.fetching, j)
			b.pin(j, -j.pinned)
			f.away(j, EventNoState, "")
			f.kick(b)
			return
		}
	}
}

// start brings a box back, cold and empty.
func (f *Fleet) start(b *box) {
	b.condition.State = Up
	b.coldSince = f.now
	f.emit(Event{Kind: EventBox, Engine: b.spec.ID})
}

// Restart starts a box by hand, one that fell over too.
func (f *Fleet) Restart(id string) error {
	b := f.boxes[id]
	if b == nil {
		return ErrNoBox
	}
	if b.condition.State == Up {
		f.die(b, Down)
	}
	b.condition.Fallen = false
	f.settle(b)
	return nil
}
