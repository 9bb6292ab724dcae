package engine

// State tells whether a box's process can be heard.
type State string

// The states of a box.
const (
	Up     State = "up"
	Down   State = "down"   // the process is gone: connects are refused
	Silent State = "silent" // the machine is cut off: nothing is said, connects never come up
)

// Fate is what becomes of an answer on its way, drawn when its attempt comes.
type Fate int

// The fates of answers.
const (
	FateWhole      Fate = iota
	FateBreaks          // its connection ends some tokens after the first
	FateStops           // nothing more comes after the first tokens, the connection stays
	FateSpoilHead       // in place of its head comes what can't be read
	FateSpoilChunk      // and in place of its second piece
)

// Condition is how a box is, faults included. Shares are of attempts.
type Condition struct {
	State      State
	Fallen     bool    // knocked over while cold: down until it is started by hand
	Draining   bool    // it finishes what it has and turns new work away
	Hung       bool    // it takes work and answers nothing
	Paused     bool    // it does no work; what needs none is answered
	Refusing   bool    // it turns all new work away
	SlowBy     float64 // how much longer its work takes
	LinkSlowBy float64 // how much longer states take out of its port
	Errors     float64 // share that ends with an error
	Breaks     float64 // share of answers that break after they have begun
	Stops      float64 // share that stop, and stay open
	SpoilHead  float64 // share that begin with what can't be read
	SpoilChunk float64 // share that go on with it
	BadReports bool    // load reports can't be read
}

// box is one engine.
type box struct {
	spec      Spec
	kind      Kind
	speed     float64
	condition Condition
	coldSince float64
	cache     *cache
	port      *link // to boxes of its cell
	cell      *link // of its cell, to all others
	shown     shown
	conns     int
	pinned    float64 // tokens that are not kept prompts
	queue     []*job
	running   []*job // in the order in which they were let in
	fetching  []*job
	states    []*hold // that wait here
	places    []*hold // that are held here, states that have moved here among them
	extraMs   float64 // of connections and probes, in the next step
	stepping  bool
	overdue   bool // the step has ended while the box hung or was paused
	life      int  // counts starts: what was set before is void
	work      []arrival
}

type arrival struct{ at, ms float64 }

// job is an attempt at a box.
type job struct {
	Job
	call     Call
	box      *box
	hold     *hold
	arrived  float64
	kept     float64 // prompt tokens that need not be read
	found    int     // of them, at the reader
	read     float64 // of the rest, read by now
	pinned   float64 // tokens of the box's memory
	planned  float64 // tokens read in the step that is on
	decodes  bool    // a token is made in the step that is on
	reread   bool    // memory ran out: prompt and answer so far are read anew
	produced int
	unsent   int
	length   int // of the whole answer
	fate     Fate
	breakAt  int // tokens after which its fate comes true
	fails    bool
	left     bool // nobody waits for it any more
}

// todo is what has still to be read.
func (j *job) todo() float64 {
	if j.box.kind.Role == RoleDecode && !j.reread {
		return 0
	}
	total := j.Prompt.Tokens
	if j.reread {
		total += float64(j.produced)
	}
	return max(0, total-j.kept-j.read)
}

// pin takes memory of the box for a job; a negative amount gives it back.
func (b *box) pin(j *job, tokens float64) {
	j.pinned += tokens
	b.pinned += tokens
}

// room tells whether so many tokens fit beside what is pinned. Kept prompts make way.
func (b *box) room(tokens float64) bool { return b.pinned+tokens <= b.kind.MemoryTokens }

// claim lets kept prompts make way for what is pinned.
func (b *box) claim() {
	if over := b.pinned + b.cache.used - b.kind.MemoryTokens; over > 0 {
		b.cache.free(over)
	}
}

func (b *box) slotsTaken() int { return len(b.running) + len(b.fetching) + len(b.places) }

// capacity is the share of a warm box of speed 1 that this one has now.
func (f *Fleet) capacity(b *box) float64 {
	tax := 1 - b.kind.FullTax*min(1, float64(b.conns)/float64(b.kind.MaxConns))
	return f.warmth(b) * b.speed * tax / b.condition.SlowBy
}

// warmth grows from the cold share to 1 in a straight line.
func (f *Fleet) warmth(b *box) float64 {
	since := f.now - b.coldSince
	if b.kind.WarmUpMs <= 0 || since >= b.kind.WarmUpMs {
		return 1
	}
	return b.kind.ColdCapacity + (1-b.kind.ColdCapacity)*max(0, since)/b.kind.WarmUpMs
}

// bear counts work sent to a box that is cold. One sent more than its multiple
// of what it can do falls over.
func (f *Fleet) bear(b *box, class string) {
	if f.warmth(b) >= 1 {
		b.work = nil
		return
	}
	window := f.cfg.Cold.WindowMs
	b.work = append(b.work, arrival{f.now, f.meanWork(b.kind, class)})
	for len(b.work) > 0 && b.work[0].at < f.now-window {
		b.work = b.work[1:]
	}
	sum := 0.0
	for _, w := range b.work {
		sum += w.ms
	}
	if sum > f.cfg.Cold.Multiple*(1+f.cfg.Cold.Slack)*f.capacity(b)*window {
		b.condition.Fallen = true
		f.die(b, Down)
	}
}

// meanWork is what a class takes of a box of a kind on average, in ms of a warm
// box of speed 1 that works at half its slots.
func (f *Fleet) meanWork(k Kind, class string) float64 {
	c := f.classes[class]
	if k.Role == RolePrefill {
		return c.PrefillTokens * 1000 / k.PrefillPerS
	}
	batch := max(1, float64(k.Slots)/2)
	step := k.StepMs + batch*k.PerSeqMs
	return c.OutputTokens * step / batch
}

// Send brings an attempt to a box. Its events follow; a box that hangs gives none.
func (f *Fleet) Send(id string, in Job) (Call, error) {
	b, err := f.live(id)
	if err != nil {
		return 0, err
	}
	f.lastID++
	j := &job{Job: in, call: f.lastID, box: b, arrived: f.now}
	f.calls[j.call] = j
	f.bear(b, in.Class)
	if b.condition.State != Up { // it has just been knocked over
		f.emit(Event{Kind: EventLost, Call: j.call, Engine: id})
		delete(f.calls, j.call)
		return j.call, nil
	}
	j.length = AnswerTokens(f.cfg.Seed, f.classes[in.Class], in.Prompt.Session, int(in.Prompt.Tokens), in.MaxOut)
	f.draw(j)
	switch {
	case b.condition.Hung:
		f.sendHung(j)
	case b.condition.Draining:
		f.away(j, EventAway, "draining")
	case b.condition.Refusing:
		f.away(j, EventAway, "refusing")
	case b.kind.Role == RolePrefill:
		f.sendReader(j)
	default:
		f.sendWriter(j)
	}
	return j.call, nil
}

// sendHung takes an attempt that is not answered before the box is back, if then.
func (f *Fleet) sendHung(j *job) {
	b := j.box
	if len(b.queue) >= b.kind.MaxQueue {
		delete(f.calls, j.call) // never to be answered
		return
	}
	b.queue = append(b.queue, j)
	f.prepare(j)
	if h := f.holds[j.Request]; b.kind.Role == RoleDecode && !h.stateless() && h.wanted == nil {
		f.leavePlace(h)
		j.hold, h.wanted = h, j
	}
}

// full tells whether a box has room for one more that has to wait, or need not.
func (b *box) full() bool {
	return len(b.queue) >= b.kind.MaxQueue && (len(b.queue) > 0 || b.slotsTaken() >= b.kind.Slots)
}

// draw settles by chance what becomes of an attempt.
func (f *Fleet) draw(j *job) {
	c := j.box.condition
	j.fails = f.rng.Float64() < j.box.kind.ErrorRate+c.Errors
	at := f.rng.Float64()
	for _, v := range []struct {
		share float64
		fate  Fate
	}{{c.Breaks, FateBreaks}, {c.Stops, FateStops}, {c.SpoilHead, FateSpoilHead}, {c.SpoilChunk, FateSpoilChunk}} {
		if at < v.share {
			j.fate = v.fate
			break
		}
		at -= v.share
	}
	j.breakAt = 2 + f.rng.IntN(12)
}

// live finds a box whose process can be reached.
func (f *Fleet) live(id string) (*box, error) {
	b := f.boxes[id]
	switch {
	case b == nil:
		return nil, ErrNoBox
	case b.condition.State != Up:
		return nil, ErrDown
	}
	return b, nil
}

// away ends an attempt that never ran.
func (f *Fleet) away(j *job, kind EventKind, why string) {
	f.finish(j, Event{Kind: kind, Why: why})
}

// finish ends an attempt with an event, which nobody hears who has left.
func (f *Fleet) finish(j *job, e Event) {
	if _, ok := f.calls[j.call]; !ok {
		return
	}
	delete(f.calls, j.call)
	if j.hold != nil && j.hold.wanted == j {
		j.hold.wanted = nil
	}
	if j.left || j.box.condition.Hung {
		return
	}
	e.Call, e.Engine, e.Report = j.call, j.box.spec.ID, f.report(j.box)
	f.emit(e)
}

// kick begins a step where there is work and none is on.
func (f *Fleet) kick(b *box) {
	f.refresh(b)
	if b.condition.State != Up || b.condition.Hung || b.condition.Paused {
		return
	}
	f.admit(b)
	if b.stepping {
		return
	}
	var ms float64
	if b.kind.Role == RolePrefill {
		ms = f.planRead(b)
	} else {
		ms = f.planWrite(b)
	}
	if len(b.running) == 0 {
		b.extraMs = 0 // done beside, while nothing else was
		return
	}
	ms = ms/f.capacity(b) + b.extraMs
	b.extraMs = 0
	b.stepping = true
	life := b.life
	f.after(ms, func() { f.stepped(b, life) })
}

// stepped ends a step. Of a box that hangs or is paused, it ends once that is over.
func (f *Fleet) stepped(b *box, life int) {
	if b.life != life {
		return
	}
	if b.condition.Hung || b.condition.Paused {
		b.overdue = true // resume goes on
		return
	}
	b.stepping, b.overdue = false, false
	if b.kind.Role == RolePrefill {
		f.endRead(b)
	} else {
		f.endWrite(b)
	}
	f.kick(b)
}

// resume goes on after a pause: the step that was on ends now.
func (f *Fleet) resume(b *box) {
	if b.overdue {
		f.stepped(b, b.life)
		return
	}
	f.kick(b)
}

// admit lets waiting work in, first come first.
func (f *Fleet) admit(b *box) {
	for len(b.queue) > 0 {
		j := b.queue[0]
		if j.left && b.kind.Cancel != CancelIgnored { // given up while the box hung
			b.queue = b.queue[1:]
			f.dropRead(j)
			f.finish(j, Event{})
			continue
		}
		if b.kind.DropExpired && !j.reread && f.now > j.arrived+j.Remaining {
			b.queue = b.queue[1:]
			f.dropRead(j)
			f.away(j, EventAway, WhyExpired)
			continue
		}
		var in bool
		if b.kind.Role == RolePrefill {
			in = f.beginRead(b, j)
		} else {
			in = f.beginWrite(b, j)
		}
		if !in {
			return
		}
	}
}

// remove takes an element out of a list in place.
func remove[T comparable](list []T, v T) []T {
	for i, other := range list {
		if other == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
