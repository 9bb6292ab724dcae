// Package rules checks what gateways do against the platform's rules, with the
// protocol's tolerances on sockets. It is told of every attempt, place, release
// and answer as boxes and clients see them, and is pure: times are passed in.
package rules

import (
	"fmt"
	"slices"
	"sync"
)

// Checker holds what it has seen of each request. It may be used by several
// goroutines at once.
type Checker struct {
	mu     sync.Mutex
	lim    Limits
	reqs   map[string]*request
	told   map[told]news
	cold   map[string][]arrival
	breaks []Violation
	counts Counts
}

type told struct {
	gateway int
	box     string
}

// news is what a gateway knows of a box.
type news struct {
	drained bool
	since   float64
	started float64
}

type arrival struct {
	at   float64
	knew bool
}

type request struct {
	id      string
	effect  bool // a side effect
	seen    float64
	final   Answer
	out     []*attempt
	mayRun  string // the box where it may have run; "" = nowhere
	runs    int
	idle    float64 // since when no attempt is out
	last    float64 // a running engine's last event of its stream; 0 = none
	at      string  // the box that writes the answer
	history []string
	pinned  bool // has been reported
}

type attempt struct {
	box    string
	reads  bool
	over   float64 // since when another one is out too; 0 = never
	begun  float64
	ran    bool
	report bool
}

// New makes a checker.
func New(lim Limits) *Checker {
	return &Checker{lim: lim, reqs: map[string]*request{}, told: map[told]news{}, cold: map[string][]arrival{}, counts: Counts{Answers: map[Answer]int{}}}
}

func (c *Checker) request(at float64, id string) *request {
	r := c.reqs[id]
	if r == nil {
		r = &request{id: id, idle: at}
		c.reqs[id] = r
	}
	r.seen = at
	return r
}

func (r *request) note(at float64, format string, args ...any) {
	const most = 64
	if len(r.history) < most {
		r.history = append(r.history, fmt.Sprintf("%10.1f ", at)+fmt.Sprintf(format, args...))
	}
}

func (c *Checker) broke(at float64, rule Rule, r *request, box, format string, args ...any) {
	b := Violation{Rule: rule, At: at, Engine: box, Text: fmt.Sprintf(format, args...)}
	if r != nil {
		b.Request, b.History = r.id, slices.Clone(r.history)
	}
	c.breaks = append(c.breaks, b)
}

// Asked tells that a client has written a request whole.
func (c *Checker) RequestSent(at float64, id, class string, sideEffect bool, gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Requests++
	r := c.request(at, id)
	r.effect = r.effect || sideEffect
	r.note(at, "asked of gateway %d: %s", gateway, class)
}

// Answered tells how a client's try has ended.
func (c *Checker) RequestAnswered(at float64, id string, a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(at, id)
	r.note(at, "the client: %s", a)
	c.counts.Answers[a]++
	if r.final != "" {
		c.broke(at, Lost, r, "", "answered %s after %s", a, r.final)
	}
	r.final = a
	switch a {
	case Dropped:
		c.broke(at, Lost, r, "", "the connection was closed without an answer")
	case Refused:
		if r.effect && r.mayRun != "" {
			c.broke(at, Duplicate, r, r.mayRun, "refused, though it may have run")
		}
		for _, o := range r.out {
			if r.effect && !o.reads && at-o.begun > c.lim.Overlap {
				c.broke(at, Duplicate, r, o.box, "refused while it runs")
			}
		}
	case Served, Broken:
		if r.last > 0 && at-r.last > c.lim.StreamLast {
			c.broke(at, Lost, r, "", "its stream ended %.0f ms after the engine's last event", at-r.last)
		}
	}
}

// Spoilt tells that a client has got what no engine sent.
func (c *Checker) AnswerCorrupted(at float64, id, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broke(at, Unchanged, c.request(at, id), "", "%s", what)
}

// Told tells that a gateway has been told of a box.
func (c *Checker) Told(at float64, gateway int, box string, drained bool, started float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := told{gateway, box}
	n := c.told[k]
	if n.drained != drained {
		n.drained, n.since = drained, at
	}
	n.started = started
	c.told[k] = n
}

// Sent tells of an attempt: the times of its first and its last byte. coldSince
// is the box's last start where it is still cold, else negative.
func (c *Checker) Sent(first, at float64, gateway int, box, id string, reads bool, coldSince float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Attempts++
	r := c.request(at, id)
	r.note(at, "gateway %d sends to %s", gateway, box)
	c.drained(first, gateway, box, r, "a send")
	if coldSince >= 0 {
		c.cold[box] = append(c.cold[box], arrival{at, c.told[told{gateway, box}].started >= coldSince})
	}
	if r.effect && !reads && r.mayRun != "" {
		c.broke(at, Duplicate, r, box, "sent again, though it may have run at %s", r.mayRun)
	}
	for _, o := range r.out {
		if o.over == 0 {
			o.over = at
		}
	}
	r.out = append(r.out, &attempt{box: box, reads: reads, begun: at})
}

func (c *Checker) drained(first float64, gateway int, box string, r *request, what string) {
	if n := c.told[told{gateway, box}]; n.drained && first-n.since > c.lim.DrainGrace {
		c.broke(first, Drain, r, box, "%s %.0f ms after gateway %d was told that it drains or is gone", what, first-n.since, gateway)
	}
}

// Unheard tells of an attempt written to a box that has vanished. It has not arrived, and so is
// not out: the time of what is held runs on. That the box never ran it, nobody can know.
func (c *Checker) Unheard(at float64, box, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(at, id)
	r.note(at, "sent to %s, which has vanished", box)
	if r.effect && r.mayRun != "" {
		c.broke(at, Duplicate, r, box, "sent again, though it may have run at %s", r.mayRun)
	}
}

// Ran tells that a writer has begun an answer.
func (c *Checker) Ran(at float64, box, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(at, id)
	r.note(at, "%s begins the answer", box)
	c.counts.Runs++
	r.at = box
	if r.runs++; r.effect && r.runs > 1 {
		c.counts.Doubles++
		c.broke(at, Duplicate, r, box, "a side effect runs for the %d. time", r.runs)
	}
	for _, o := range r.out {
		o.ran = o.ran || o.box == box
	}
}

// Event tells that a writer has written a piece of a stream.
func (c *Checker) Event(at float64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request(at, id).last = at
}

// Stopped tells that a box no longer runs: nothing tells a gateway of the end of
// the streams that it was writing.
func (c *Checker) Stopped(box string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.reqs {
		if r.at == box {
			r.last = 0
		}
	}
}

// Ended tells how an attempt has ended at its box.
func (c *Checker) Ended(at float64, box, id string, how Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(at, id)
	r.note(at, "%s: %s", box, how)
	for i, o := range r.out {
		if o.box != box {
			continue
		}
		c.overlap(at, r, o)
		if !o.reads && how != Away {
			r.mayRun = box
		}
		r.out = append(r.out[:i], r.out[i+1:]...)
		break
	}
	if len(r.out) == 0 {
		r.idle = at
	}
}

func (c *Checker) overlap(at float64, r *request, o *attempt) {
	if o.over > 0 && at-o.over > c.lim.Overlap && !o.report {
		o.report = true
		c.broke(at, Duplicate, r, o.box, "another attempt was out for %.0f ms with the one at %s", at-o.over, o.box)
	}
}

// Place tells that a place has been asked for.
func (c *Checker) Place(at float64, gateway int, box, id string, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Places++
	r := c.request(at, id)
	r.note(at, "gateway %d asks %s for a place: held %v", gateway, box, held)
	c.drained(at, gateway, box, r, "a place asked for")
	r.idle = max(r.idle, at)
}

// Release tells that a box was told to let go.
func (c *Checker) Release(at float64, box, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Releases++
	r := c.request(at, id)
	r.note(at, "let go of at %s", box)
}

// Fell tells that a cold box has been pushed over.
func (c *Checker) Fell(at float64, box string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	knew, all := 0, 0
	for _, a := range c.cold[box] {
		if at-a.at <= c.lim.ColdWindow {
			if all++; a.knew {
				knew++
			}
		}
	}
	if all > 0 && float64(knew) >= c.lim.ColdShare*float64(all) {
		c.broke(at, Cold, nil, box, "pushed over while cold: %d of %d sends in the last second came from gateways that knew of its start", knew, all)
	}
}

// Sweep looks for what has been held too long and for attempts that overlap.
// holding tells the boxes that hold something for a request which no attempt
// there waits for. It also forgets requests that have ended long ago.
func (c *Checker) Sweep(now float64, holding func(id string) []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.reqs {
		for _, o := range r.out {
			c.overlap(now, r, o)
		}
		if len(r.out) == 0 && !r.pinned && now-r.idle > c.lim.ReleaseWithin {
			if boxes := holding(id); len(boxes) > 0 {
				r.pinned = true
				c.broke(now, Pinned, r, boxes[0], "held at %v for %.0f ms with no attempt out", boxes, now-r.idle)
			}
		}
		if len(r.out) == 0 && now-r.seen > c.lim.ForgetAfter {
			delete(c.reqs, id)
		}
	}
	for box, list := range c.cold {
		c.cold[box] = slices.DeleteFunc(list, func(a arrival) bool { return now-a.at > 2*c.lim.ColdWindow })
	}
}

// Breaks are the broken rules in the order in which they were seen.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.breaks)
}

// Counts are what has been seen by now.
func (c *Checker) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Answers = map[Answer]int{}
	for k, v := range c.counts.Answers {
		out.Answers[k] = v
	}
	return out
}
