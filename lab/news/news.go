// Package news models discovery: what each gateway's agent has been told of the
// fleet, and when. It is pure, with the time passed in. News of a box reaches
// the list late, of a silent machine later still; agents get it at times of
// their own. Faults make it later, keep an agent silent, or take news back.
package news

import (
	"math/rand/v2"
	"sort"

	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/scenario"
)

// Lifecycle is a box's state as the list knows it.
type Lifecycle string

// The states of a listed box.
const (
	Up       Lifecycle = "up"
	Draining Lifecycle = "draining"
	Removed  Lifecycle = "removed"
)

// Entry is what the list tells of a box.
type Entry struct {
	Box       engine.Spec
	Lifecycle Lifecycle
	Started   float64 // ms in the driver's time, 0 = long ago
}

// Change is a piece of news.
type Change struct {
	Version int64
	Entry   Entry
}

// Lists is discovery and its agents.
type Lists struct {
	cfg     scenario.Discovery
	windows []scenario.Window
	begin   float64 // of the scenario, for its windows
	rng     *rand.Rand
	version int64
	agents  []*agent
	known   map[string]Entry // by discovery itself
	index   map[string]int   // place of a box in order
	order   []string
	due     []pending
	seq     int
	lied    map[int]bool // windows of contradiction that have been told
}

type agent struct {
	version int64
	told    map[string]Entry
	log     []Change // in the order of versions
}

// pending is news on its way to one agent, or to discovery itself.
type pending struct {
	at    float64
	seq   int
	agent int // -1: discovery itself learns
	c     Change
}

// New makes discovery with agents that know all boxes as up.
func New(p *scenario.Plan, begin float64) *Lists {
	l := &Lists{
		cfg: p.Discovery, windows: p.DiscoveryFaults, begin: begin, rng: rand.New(rand.NewPCG(p.Seed, 0x11575)), version: 1,
		known: map[string]Entry{}, index: map[string]int{}, lied: map[int]bool{},
	}
	for i, b := range p.Engine.Engines {
		l.known[b.ID] = Entry{Box: b, Lifecycle: Up}
		l.index[b.ID], l.order = i, append(l.order, b.ID)
	}
	for range p.Gateways {
		a := &agent{version: 1, told: map[string]Entry{}}
		for id, e := range l.known {
			a.told[id] = e
		}
		l.agents = append(l.agents, a)
	}
	return l
}

// Box tells that a box's condition has changed. The list learns of it late.
func (l *Lists) Box(now float64, box engine.Spec, c engine.Condition, started float64) {
	e := Entry{Box: box, Lifecycle: Up, Started: max(started, 0)}
	delay := l.draw(l.cfg.ChangeNoticeMs)
	switch {
	case c.State == engine.Silent:
		e.Lifecycle, delay = Removed, l.draw(l.cfg.SilenceNoticeMs)
	case c.State == engine.Down:
		e.Lifecycle, delay = Removed, l.draw(l.cfg.CrashNoticeMs)
	case c.Draining:
		e.Lifecycle = Draining
	}
	at := now + delay
	for _, p := range l.due { // a box's news is learnt in order
		if p.agent < 0 && p.c.Entry.Box.ID == box.ID {
			at = max(at, p.at)
		}
	}
	l.push(pending{at: at, agent: -1, c: Change{Entry: e}})
}

func (l *Lists) draw(r [2]float64) float64 { return r[0] + l.rng.Float64()*(r[1]-r[0]) }

func (l *Lists) push(p pending) {
	l.seq++
	p.seq = l.seq
	at := sort.Search(len(l.due), func(i int) bool { return l.due[i].at > p.at })
	l.due = append(l.due, pending{})
	copy(l.due[at+1:], l.due[at:])
	l.due[at] = p
}

// Next is the time at which an agent or discovery learns something; ok is false
// without any news on its way.
func (l *Lists) Next() (at float64, ok bool) {
	if len(l.due) > 0 {
		at, ok = l.due[0].at, true
	}
	for i, w := range l.windows {
		if w.Kind != scenario.DiscoveryContradicts || l.lied[i] {
			continue
		}
		if from := l.begin + w.From; !ok || from < at {
			at, ok = from, true
		}
	}
	return at, ok
}

// Told is news that an agent has got.
type Told struct {
	At    float64
	Agent int
	Entry Entry
}

// Advance carries the news that is due, and gives what agents got by it.
func (l *Lists) Advance(now float64) (got []Told) {
	for i, w := range l.windows {
		if w.Kind == scenario.DiscoveryContradicts && !l.lied[i] && now >= l.begin+w.From {
			l.lied[i] = true
			l.lie(w)
		}
	}
	for len(l.due) > 0 && l.due[0].at <= now {
		p := l.due[0]
		l.due = l.due[1:]
		if p.agent < 0 {
			l.learn(p)
			continue
		}
		a := l.agents[p.agent]
		if a.told[p.c.Entry.Box.ID] == p.c.Entry {
			continue
		}
		a.version = max(a.version+1, p.c.Version) // another box's news may have overtaken it
		p.c.Version = a.version
		a.told[p.c.Entry.Box.ID] = p.c.Entry
		a.log = append(a.log, p.c)
		got = append(got, Told{At: p.at, Agent: p.agent, Entry: p.c.Entry})
	}
	return got
}

// learn has discovery itself know of a change; its agents get it after a while,
// in order.
func (l *Lists) learn(p pending) {
	id := p.c.Entry.Box.ID
	if l.known[id] == p.c.Entry {
		return
	}
	l.known[id] = p.c.Entry
	l.version++
	p.c.Version = l.version
	for i := range l.agents {
		at := p.at + l.rng.Float64()*l.cfg.SpreadMs
		for _, w := range l.windows {
			if w.Kind == scenario.DiscoveryLate && l.hits(w, i) && w.Contains(p.at-l.begin) {
				at += w.Factor
			}
		}
		for _, other := range l.due { // news of one box does not overtake
			if other.agent == i && other.c.Entry.Box.ID == id {
				at = max(at, other.at)
			}
		}
		l.push(pending{at: at, agent: i, c: p.c})
	}
}

// lie takes news back: what drains or is gone is told as up again, and as it is
// when the window ends.
func (l *Lists) lie(w scenario.Window) {
	for i, a := range l.agents {
		if !l.hits(w, i) {
			continue
		}
		for _, id := range l.order {
			truth := a.told[id]
			if truth.Lifecycle == Up {
				continue
			}
			untrue := truth
			untrue.Lifecycle = Up
			l.version++
			l.push(pending{at: l.begin + w.From, agent: i, c: Change{l.version, untrue}})
			l.version++
			l.push(pending{at: l.begin + w.To, agent: i, c: Change{l.version, truth}})
		}
	}
}

func (l *Lists) hits(w scenario.Window, agent int) bool { return w.Gateway < 0 || w.Gateway == agent }

// Silent tells whether an agent does not answer at a time.
func (l *Lists) Silent(now float64, agent int) bool {
	for _, w := range l.windows {
		if w.Kind == scenario.DiscoverySilent && l.hits(w, agent) && w.Contains(now-l.begin) {
			return true
		}
	}
	return false
}

// Whole is an agent's list: all that it knows as running.
func (l *Lists) Whole(agent int) (version int64, list []Entry) {
	a := l.agents[agent]
	for _, id := range l.order {
		if e := a.told[id]; e.Lifecycle != Removed {
			list = append(list, e)
		}
	}
	return a.version, list
}

// Since gives the changes behind a version; ok is false where the agent no
// longer has them all, or never had that version: the whole list is wanted then.
func (l *Lists) Since(agent int, version int64) (now int64, list []Entry, ok bool) {
	a := l.agents[agent]
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
