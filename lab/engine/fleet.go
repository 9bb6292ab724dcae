package engine

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
)

// Prompt describes a request's prompt.
type Prompt struct {
	Session      string
	Prefix       string // name of the prefix shared with other sessions; "" = none
	Tokens       float64
	PrefixTokens float64 // length of the shared prefix
}

// Job is one attempt as it reaches an engine.
type Job struct {
	Request         string // its id
	Class           string
	Prompt          Prompt
	MaxOutputTokens int
	Remaining       float64 // ms that the caller will wait for the first token
}

// Call identifies an attempt or a reservation request that an engine has accepted.
type Call uint64

// EventKind tells what has happened.
type EventKind int

// The kinds of events.
const (
	EventPrefilled   EventKind = iota + 1 // the prefill has ended: CachedTokens came from the cache; the KV state waits
	EventTokens                           // Tokens more of the answer; the first such event begins it
	EventEnd                              // the answer is complete with Tokens in all
	EventRejected                         // rejected: it never ran
	EventNoState                          // rejected: there is no KV state to fetch
	EventError                            // it failed; it may have run
	EventReserved                         // a reservation is held
	EventNotReserved                      // no reservation is held
	EventNoPrefill                        // no prefill is in flight; a reservation may be held all the same
	EventLost                             // the engine has died, or become unreachable, with the call
	EventCondition                        // the engine's condition has changed
)

// Event reports progress of a call or a change of an engine. Events come in the
// order in which they happen.
type Event struct {
	At           float64
	Kind         EventKind
	Call         Call
	Engine       string
	Tokens       int
	CachedTokens int         // with EventPrefilled and EventEnd: prompt tokens from the cache
	Reason       string      // with EventRejected
	StreamFault  StreamFault // with EventTokens: the fault that the transport has to produce
	Report       Report      // of calls that end
}

// Errors of calls to a fleet.
var (
	ErrUnknownEngine      = errors.New("engine: unknown engine")
	ErrNotRunning         = errors.New("engine: the engine is not running")
	ErrTooManyConnections = errors.New("engine: the connection table is full")
)

// Fleet is a set of engines and the links between them. It is not safe for use by
// several goroutines; a driver holds a lock around it.
//
// NextEventAt and Advance cost O(log n) for each timer that fires; a step costs O(n)
// in the engine's running attempts. Nothing scans the fleet.
type Fleet struct {
	cfg      Config
	kinds    map[string]Kind
	classes  map[string]Class
	rng      *rand.Rand
	now      float64
	timers   timerHeap
	seq      uint64
	engines  map[string]*engine
	ordered  []*engine // as configured
	uplinks  map[cellKey]*link
	calls    map[Call]*job
	holds    map[string]*hold // by request
	events   []Event
	lastCall Call
	faults   []*activeFault
}

type cellKey struct {
	zone string
	cell int
}

// New makes a fleet of warm and empty engines. Its time starts at now.
func New(cfg Config, now float64) (*Fleet, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	f := &Fleet{
		cfg: cfg, kinds: map[string]Kind{}, classes: map[string]Class{}, now: now, engines: map[string]*engine{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)), uplinks: map[cellKey]*link{}, calls: map[Call]*job{}, holds: map[string]*hold{},
	}
	for _, k := range cfg.Kinds {
		f.kinds[k.Name] = k
	}
	for _, c := range cfg.Classes {
		f.classes[c.Name] = c
	}
	for _, spec := range cfg.Engines {
		f.addEngine(spec, now, false)
	}
	return f, nil
}

func (f *Fleet) addEngine(spec Spec, now float64, cold bool) *engine {
	k := f.kinds[spec.Kind]
	eng := &engine{spec: spec, kind: k, speed: k.Speed * max(0.2, 1+k.SpeedCV*f.rng.NormFloat64()), cache: newCache(),
		localLink: newLink(f.cfg.Links.LocalPerS / 1000)}
	eng.condition = Condition{State: Up, SlowFactor: 1, LinkSlowFactor: 1}
	eng.startedAt = math.Inf(-1)
	if cold {
		eng.startedAt = now
	}
	f.engines[spec.ID] = eng
	f.ordered = append(f.ordered, eng)
	key := cellKey{spec.Zone, spec.Cell}
	uplink := f.uplinks[key]
	if uplink == nil {
		uplink = newLink(0)
		f.uplinks[key] = uplink
	}
	if k.Role == RolePrefill {
		uplink.tokensPerMs += f.cfg.Links.UplinkFactor * k.PrefillPerS * k.Speed / 1000
	}
	eng.uplink = uplink
	return eng
}

// Now returns the time up to which the fleet has been advanced.
func (f *Fleet) Now() float64 { return f.now }

// Engines lists the engines in the order of the configuration.
func (f *Fleet) Engines() []Spec {
	list := make([]Spec, len(f.ordered))
	for i, eng := range f.ordered {
		list[i] = eng.spec
	}
	return list
}

// NextEventAt returns the time at which the next timer fires, +Inf without one.
func (f *Fleet) NextEventAt() float64 {
	if len(f.timers) == 0 {
		return math.Inf(1)
	}
	return f.timers[0].at
}

// Advance runs all timers that have expired by now.
func (f *Fleet) Advance(now float64) {
	for len(f.timers) > 0 && f.timers[0].at <= now {
		t := heap.Pop(&f.timers).(timer)
		f.now = max(f.now, t.at)
		t.fire()
	}
	f.now = max(f.now, now)
}

// TakeEvents returns the events since its last call.
func (f *Fleet) TakeEvents() []Event {
	events := f.events
	f.events = nil
	return events
}

func (f *Fleet) emit(e Event) {
	e.At = f.now
	f.events = append(f.events, e)
}

func (f *Fleet) after(ms float64, do func()) {
	f.seq++
	heap.Push(&f.timers, timer{f.now + max(ms, 0), f.seq, do})
}

type timer struct {
	at   float64
	seq  uint64 // timers of the same time fire in the order in which they were set
	fire func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}
