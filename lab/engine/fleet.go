package engine

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
)

// Prompt is what a request is read from.
type Prompt struct {
	Session      string
	Shared       string // names a beginning that other sessions share; "" = none
	Tokens       float64
	SharedTokens float64 // of the beginning
}

// Job is one attempt as it reaches a box.
type Job struct {
	Request   string // its id
	Class     string
	Prompt    Prompt
	MaxOut    int
	Remaining float64 // ms that the caller will wait for the first token
}

// Call names an attempt that a box has taken, or its answer to a place asked for.
type Call uint64

// EventKind tells what has happened.
type EventKind int

// The kinds of events.
const (
	EventRead    EventKind = iota + 1 // a read has ended: Tokens were found kept; the state waits
	EventTokens                       // Tokens more of the answer; the first such event begins it
	EventEnd                          // the answer is whole; Tokens of it in all
	EventAway                         // turned away: it never ran
	EventNoState                      // turned away: there is no state to fetch
	EventError                        // it failed; it may have run
	EventHeld                         // a place is held
	EventNotHeld                      // and is not
	EventUnknown                      // no read is out: a place may be held all the same
	EventLost                         // the box has died, or has gone silent, with the call
	EventBox                          // the box has changed its condition
)

// Event is news of a call or a box. Events come in the order in which they happen.
type Event struct {
	At     float64
	Kind   EventKind
	Call   Call
	Engine string
	Tokens int
	Kept   int    // prompt tokens found kept, with EventRead and EventEnd
	Why    string // with EventAway
	Fate   Fate   // with EventTokens: what the wire is to spoil
	Report Report // of calls that end
}

// Errors of calls to a fleet.
var (
	ErrNoBox = errors.New("engine: no such box")
	ErrDown  = errors.New("engine: the box does not run")
	ErrFull  = errors.New("engine: the box holds no more connections")
)

// Fleet is a set of boxes and the links between them. It is not safe for use by
// several goroutines; a driver holds a lock around it.
//
// Next and Advance cost O(log n) for each thing that falls due; a step costs
// what its box has running. Nothing scans the fleet.
type Fleet struct {
	cfg     Config
	kinds   map[string]Kind
	classes map[string]Class
	rng     *rand.Rand
	now     float64
	due     timers
	seq     uint64
	boxes   map[string]*box
	order   []*box // as configured
	cells   map[cellKey]*link
	calls   map[Call]*job
	holds   map[string]*hold // by request
	out     []Event
	lastID  Call
	faults  []*faultRun
}

type cellKey struct {
	zone string
	cell int
}

// New makes a fleet of warm and empty boxes. Its time begins at now.
func New(cfg Config, now float64) (*Fleet, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	f := &Fleet{
		cfg: cfg, kinds: map[string]Kind{}, classes: map[string]Class{}, now: now, boxes: map[string]*box{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)), cells: map[cellKey]*link{}, calls: map[Call]*job{}, holds: map[string]*hold{},
	}
	for _, k := range cfg.Kinds {
		f.kinds[k.Name] = k
	}
	for _, c := range cfg.Classes {
		f.classes[c.Name] = c
	}
	for _, spec := range cfg.Engines {
		f.add(spec, now, false)
	}
	return f, nil
}

func (f *Fleet) add(spec Spec, now float64, cold bool) *box {
	k := f.kinds[spec.Kind]
	b := &box{spec: spec, kind: k, speed: k.Speed * max(0.2, 1+k.SpeedCV*f.rng.NormFloat64()), cache: newCache(),
		port: newLink(f.cfg.Links.NearPerS / 1000)}
	b.condition = Condition{State: Up, SlowBy: 1, LinkSlowBy: 1}
	b.coldSince = math.Inf(-1)
	if cold {
		b.coldSince = now
	}
	f.boxes[spec.ID] = b
	f.order = append(f.order, b)
	key := cellKey{spec.Zone, spec.Cell}
	cell := f.cells[key]
	if cell == nil {
		cell = newLink(0)
		f.cells[key] = cell
	}
	if k.Role == RolePrefill {
		cell.perMs += f.cfg.Links.FarRoom * k.PrefillPerS * k.Speed / 1000
	}
	b.cell = cell
	return b
}

// Now is the time up to which the fleet has been advanced.
func (f *Fleet) Now() float64 { return f.now }

// Boxes lists the boxes as they were configured.
func (f *Fleet) Engines() []Spec {
	list := make([]Spec, len(f.order))
	for i, b := range f.order {
		list[i] = b.spec
	}
	return list
}

// Next is the time at which something falls due, +Inf for never.
func (f *Fleet) Next() float64 {
	if len(f.due) == 0 {
		return math.Inf(1)
	}
	return f.due[0].at
}

// Advance carries out all that falls due up to now.
func (f *Fleet) Advance(now float64) {
	for len(f.due) > 0 && f.due[0].at <= now {
		t := heap.Pop(&f.due).(timer)
		f.now = max(f.now, t.at)
		t.f()
	}
	f.now = max(f.now, now)
}

// Take gives the events since it was last called.
func (f *Fleet) Take() []Event {
	out := f.out
	f.out = nil
	return out
}

func (f *Fleet) emit(e Event) {
	e.At = f.now
	f.out = append(f.out, e)
}

func (f *Fleet) after(ms float64, do func()) {
	f.seq++
	heap.Push(&f.due, timer{f.now + max(ms, 0), f.seq, do})
}

type timer struct {
	at  float64
	seq uint64 // of those due together, the one set first
	f   func()
}

type timers []timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}
