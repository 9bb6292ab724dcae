// Package news models discovery: which membership updates each gateway's agent has
// received, and when. It is pure, with the time passed in. Discovery learns of an
// engine's change after a delay, of an unreachable machine's after a longer one;
// agents receive the update at times of their own. Faults delay updates further, keep
// an agent silent, or revert updates. Serving agents on sockets is lab/emulator's part.
package news

import (
	"math/rand/v2"
	"sort"

	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/scenario"
)

// Lifecycle is an engine's state in the membership.
type Lifecycle string

// The states of an engine.
const (
	Up       Lifecycle = "up"
	Draining Lifecycle = "draining"
	Removed  Lifecycle = "removed"
)

// Entry is the membership's entry of an engine.
type Entry struct {
	Engine    engine.Spec
	Lifecycle Lifecycle
	StartedAt float64 // ms in the driver's time, 0 = long ago
}

// Change is a membership update.
type Change struct {
	Version int64
	Entry   Entry
}

// Discovery models the discovery service and its agents.
type Discovery struct {
	cfg          scenario.Discovery
	windows      []scenario.FaultWindow
	startedAt    float64 // of the scenario; fault windows count from it
	rng          *rand.Rand
	version      int64
	agents       []*agent
	members      map[string]Entry // as the service itself knows them
	index        map[string]int   // position of an engine in order
	order        []string
	pending      []pendingUpdate
	seq          int
	contradicted map[int]bool // ListContradicts windows that have begun
}

type agent struct {
	version int64
	members map[string]Entry
	log     []Change // in the order of versions
}

// pendingUpdate is an update on its way to one agent, or to the service itself.
type pendingUpdate struct {
	at     float64
	seq    int
	agent  int // -1: the service itself
	change Change
}

// New returns a discovery service whose agents know all engines as up.
func New(p *scenario.Plan, startedAt float64) *Discovery {
	d := &Discovery{
		cfg: p.Discovery, windows: p.DiscoveryFaults, startedAt: startedAt, rng: rand.New(rand.NewPCG(p.Seed, 0x11575)), version: 1,
		members: map[string]Entry{}, index: map[string]int{}, contradicted: map[int]bool{},
	}
	for i, spec := range p.Engine.Engines {
		d.members[spec.ID] = Entry{Engine: spec, Lifecycle: Up}
		d.index[spec.ID], d.order = i, append(d.order, spec.ID)
	}
	for range p.Gateways {
		a := &agent{version: 1, members: map[string]Entry{}}
		for id, e := range d.members {
			a.members[id] = e
		}
		d.agents = append(d.agents, a)
	}
	return d
}

// ConditionChanged reports that an engine's condition has changed. The service learns
// of it after a delay.
func (d *Discovery) ConditionChanged(now float64, spec engine.Spec, c engine.Condition, started float64) {
	e := Entry{Engine: spec, Lifecycle: Up, StartedAt: max(started, 0)}
	delay := d.randomDelay(d.cfg.AddMs)
	switch {
	case c.State == engine.Silent:
		e.Lifecycle, delay = Removed, d.randomDelay(d.cfg.SilentNoticeMs)
	case c.State == engine.Down:
		e.Lifecycle, delay = Removed, d.randomDelay(d.cfg.NoticeMs)
	case c.Draining:
		e.Lifecycle = Draining
	}
	at := now + delay
	for _, p := range d.pending { // updates of one engine arrive in order
		if p.agent < 0 && p.change.Entry.Engine.ID == spec.ID {
			at = max(at, p.at)
		}
	}
	d.schedule(pendingUpdate{at: at, agent: -1, change: Change{Entry: e}})
}

func (d *Discovery) randomDelay(r [2]float64) float64 { return r[0] + d.rng.Float64()*(r[1]-r[0]) }

func (d *Discovery) schedule(p pendingUpdate) {
	d.seq++
	p.seq = d.seq
	at := sort.Search(len(d.pending), func(i int) bool { return d.pending[i].at > p.at })
	d.pending = append(d.pending, pendingUpdate{})
	copy(d.pending[at+1:], d.pending[at:])
	d.pending[at] = p
}

// NextUpdateAt returns the time of the next update of an agent or of the service; ok
// is false if none is pending.
func (d *Discovery) NextUpdateAt() (at float64, ok bool) {
	if len(d.pending) > 0 {
		at, ok = d.pending[0].at, true
	}
	for i, w := range d.windows {
		if w.Kind != scenario.DiscoveryContradicts || d.contradicted[i] {
			continue
		}
		if from := d.startedAt + w.From; !ok || from < at {
			at, ok = from, true
		}
	}
	return at, ok
}

// Notification is an update that an agent has received.
type Notification struct {
	At    float64
	Agent int
	Entry Entry
}

// Advance delivers the updates that are due, and returns what agents received.
func (d *Discovery) Advance(now float64) (received []Notification) {
	for i, w := range d.windows {
		if w.Kind == scenario.DiscoveryContradicts && !d.contradicted[i] && now >= d.startedAt+w.From {
			d.contradicted[i] = true
			d.contradict(w)
		}
	}
	for len(d.pending) > 0 && d.pending[0].at <= now {
		p := d.pending[0]
		d.pending = d.pending[1:]
		if p.agent < 0 {
			d.recordChange(p)
			continue
		}
		a := d.agents[p.agent]
		if a.members[p.change.Entry.Engine.ID] == p.change.Entry {
			continue
		}
		a.version = max(a.version+1, p.change.Version) // an update of another engine may have overtaken it
		p.change.Version = a.version
		a.members[p.change.Entry.Engine.ID] = p.change.Entry
		a.log = append(a.log, p.change)
		received = append(received, Notification{At: p.at, Agent: p.agent, Entry: p.change.Entry})
	}
	return received
}

// recordChange records a change in the service; its agents receive it after a delay,
// in order.
func (d *Discovery) recordChange(p pendingUpdate) {
	id := p.change.Entry.Engine.ID
	if d.members[id] == p.change.Entry {
		return
	}
	d.members[id] = p.change.Entry
	d.version++
	p.change.Version = d.version
	for i := range d.agents {
		at := p.at + d.rng.Float64()*d.cfg.SpreadMs
		for _, w := range d.windows {
			if w.Kind == scenario.DiscoveryLate && d.affects(w, i) && w.Contains(p.at-d.startedAt) {
				at += w.Factor
			}
		}
		for _, other := range d.pending { // updates of one engine don't overtake each other
			if other.agent == i && other.change.Entry.Engine.ID == id {
				at = max(at, other.at)
			}
		}
		d.schedule(pendingUpdate{at: at, agent: i, change: p.change})
	}
}

// contradict reverts updates: engines that drain or are removed are reported as up
// again until the end of the window, then as they are.
func (d *Discovery) contradict(w scenario.FaultWindow) {
	for i, a := range d.agents {
		if !d.affects(w, i) {
			continue
		}
		for _, id := range d.order {
			actual := a.members[id]
			if actual.Lifecycle == Up {
				continue
			}
			reverted := actual
			reverted.Lifecycle = Up
			d.version++
			d.schedule(pendingUpdate{at: d.startedAt + w.From, agent: i, change: Change{d.version, reverted}})
			d.version++
			d.schedule(pendingUpdate{at: d.startedAt + w.To, agent: i, change: Change{d.version, actual}})
		}
	}
}

func (d *Discovery) affects(w scenario.FaultWindow, agent int) bool {
	return w.Gateway < 0 || w.Gateway == agent
}

// Silent tells whether an agent does not answer at a time.
func (d *Discovery) Silent(now float64, agent int) bool {
	for _, w := range d.windows {
		if w.Kind == scenario.DiscoverySilent && d.affects(w, agent) && w.Contains(now-d.startedAt) {
			return true
		}
	}
	return false
}

// Snapshot returns an agent's membership: all engines that it knows as running.
func (d *Discovery) Snapshot(agent int) (version int64, list []Entry) {
	a := d.agents[agent]
	for _, id := range d.order {
		if e := a.members[id]; e.Lifecycle != Removed {
			list = append(list, e)
		}
	}
	return a.version, list
}

// Delta returns the changes after a version; ok is false if the agent no longer has
// them all, or never had that version: it then has to send a snapshot.
func (d *Discovery) Delta(agent int, version int64) (now int64, list []Entry, ok bool) {
	a := d.agents[agent]
	if version < 1 || version > a.version {
		return a.version, nil, false
	}
	for _, c := range a.log {
		if c.Version > version {
			list = append(list, c.Entry)
		}
	}
	return a.version, list, true
}
