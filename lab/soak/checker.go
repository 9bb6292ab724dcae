package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Rule names a rule.
type Rule string

// The rules.
const (
	Lost      Rule = "lost"
	Late      Rule = "late answer"
	Duplicate Rule = "duplicate"
	Drain     Rule = "drain"
	Failback  Rule = "failback"
	Held      Rule = "held"
	HeldBack  Rule = "held-back events"
	Told      Rule = "time told to an engine"
	Crash     Rule = "crash"
)

// The rules' figures, with the protocol's tolerance for sockets.
const (
	heldFor       = 500*time.Millisecond + 300*time.Millisecond + 50*time.Millisecond
	drainFor      = time.Second + 150*time.Millisecond
	overlapFor    = 50 * time.Millisecond
	answerSlack   = 500 * time.Millisecond
	leaveSlack    = 100*time.Millisecond + 50*time.Millisecond
	toldSlack     = 150*time.Millisecond + 50*time.Millisecond
	eventSlack    = 300 * time.Millisecond
	stoppedFor    = 3 * time.Second // of silence, after which a stream may be taken to have stopped
	streamSilence = 5*time.Second + 500*time.Millisecond
	exemptFor     = 700 * time.Millisecond // of what is taken after SIGTERM
	sweepEvery    = 20 * time.Millisecond
	heldUpFor     = 150 * time.Millisecond // by which a gateway may be late without excuse
)

// Break is a broken rule, with what its request went through.
type Break struct {
	Rule    Rule
	At      time.Duration
	ID      string
	Text    string
	History []string
}

// String writes a break with its history.
func (b Break) String() string {
	text := fmt.Sprintf("%7.3fs rule broken: %s: %s %s\n", b.At.Seconds(), b.Rule, b.ID, b.Text)
	for _, line := range b.History {
		text += "    " + line + "\n"
	}
	return text
}

// Counts are what a run has seen.
type Counts struct {
	Requests, Served, Refused, Failed, Left, Exempt int
	Attempts, Reservations, Releases, Probes        int
	Holds, Streams, HeldBackStreams, Unread         int
	NoCase                                          int // requests on connections that the protocol does not have
}

// Add adds another run's counts.
func (c *Counts) Add(o Counts) {
	c.Requests, c.Served, c.Refused, c.Failed = c.Requests+o.Requests, c.Served+o.Served, c.Refused+o.Refused, c.Failed+o.Failed
	c.Left, c.Exempt, c.Attempts, c.Reservations = c.Left+o.Left, c.Exempt+o.Exempt, c.Attempts+o.Attempts, c.Reservations+o.Reservations
	c.Releases, c.Probes, c.Holds, c.Streams = c.Releases+o.Releases, c.Probes+o.Probes, c.Holds+o.Holds, c.Streams+o.Streams
	c.HeldBackStreams, c.Unread = c.HeldBackStreams+o.HeldBackStreams, c.Unread+o.Unread
	c.NoCase += o.NoCase
}

// checker counts the rules from what engines and clients see. It knows nothing of what
// gateways say of themselves.
type checker struct {
	story *Story
	begun time.Time

	mu       sync.Mutex
	requests map[string]*request
	told     map[[2]int]time.Time // gateway, engine: since when the gateway knows that it drains
	openFrom map[[2]int]time.Time // gateway, engine: since when the engine can be reached; none = it can't
	pauses   [][]pause            // by gateway
	lags     []pause              // of the machine
	lateness []lateMoment         // of the soak itself
	lateRead []string             // events that came late, and how late their clients read them
	died     []time.Time          // by gateway, the latest
	cold     map[int]*coldEngine
	breaks   []Break
	counts   Counts
}

// pause is a time in which a gateway's process was stopped.
type pause struct{ from, to time.Time }

// request is what is known of one.
type request struct {
	id       string
	class    Class
	gateway  int
	asked    time.Time
	written  bool      // whole, at asked; before, asked is when that began
	untimed  []func()  // checks that wait for it
	left     time.Time // its client did; zero = not
	answer   string    // its final one
	attempts []*attempt
	holds    map[int]*hold
	lastEnd  time.Time
	brokeIn  time.Duration // its stream broke so long behind its last event; 0 = it did not
	leftIn   bool          // an engine saw its stream left by the caller
	history  []string
	reported map[Rule]bool
}

// hold is a KV state or a reservation at an engine.
type hold struct {
	place   bool
	unknown bool // its attempt or call had been given up before
	since   time.Time
}

// attempt is one that an engine which runs has read.
type attempt struct {
	engine    int
	role      Role
	conn      *linkConn
	over      bool
	turned    bool // away: it never ran
	begun     bool // its answer has: it waits for nothing more
	overlapAt time.Time
}

// coldEngine is one that has just started anew.
type coldEngine struct {
	since    time.Time
	arrivals []time.Time
}

func newChecker(s *Story, begun time.Time) *checker {
	c := &checker{
		story: s, begun: begun, requests: map[string]*request{}, told: map[[2]int]time.Time{}, openFrom: map[[2]int]time.Time{},
		pauses: make([][]pause, s.Gateways), died: make([]time.Time, s.Gateways), cold: map[int]*coldEngine{},
	}
	for g := range s.Gateways {
		for e := range s.Engines {
			c.openFrom[[2]int{g, e}] = begun
		}
	}
	return c
}

// begins tells when the run has: the time before it counts for nothing.
func (c *checker) begins(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = at
}

const mostHistory = 60

func (c *checker) note(r *request, format string, args ...any) {
	if len(r.history) < mostHistory {
		r.history = append(r.history, fmt.Sprintf("%8.3f ", time.Since(c.begun).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (c *checker) broke(rule Rule, r *request, format string, args ...any) {
	b := Break{Rule: rule, At: time.Since(c.begun), Text: fmt.Sprintf(format, args...)}
	if r != nil {
		if r.reported[rule] {
			return
		}
		r.reported[rule] = true
		b.ID, b.History = r.id, append(slices.Clone(r.history), c.latenessIn(r.asked, time.Now())...)
	}
	c.breaks = append(c.breaks, b)
}

// asks tells that a client begins to write a request; asked, that it is written whole, on a connection of an age that has or
// has not brought an answer before. What is left unanswered may be that of an idle connection or of one that came up late.
func (c *checker) asks(id string, class Class, gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil { // sent again on a new connection, as it was not read
		r.written = false
		return
	}
	now := time.Now()
	r := &request{id: id, class: class, gateway: gateway, asked: now, holds: map[int]*hold{}, lastEnd: now, reported: map[Rule]bool{}}
	c.requests[id] = r
	c.note(r, "for gateway %d: %s (%s), waits %v", gateway, class.Name, class.Effect, class.Deadline)
}

func (c *checker) asked(id string, at time.Time, age time.Duration, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Requests++
	r := c.requests[id]
	r.asked, r.written = at, true
	r.time()
	c.note(r, "written whole, on a connection that is %v old (used before: %v)", age, reused)
}

// time makes the checks that have waited for the time at which the request was written whole.
func (r *request) time() {
	for _, check := range r.untimed {
		check()
	}
	r.untimed = nil
}

// leaves tells that a client closes before its answer.
func (c *checker) leaves(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.left = time.Now()
		c.counts.Left++
		c.note(r, "the client leaves")
	}
}

// answered tells how a request has ended for its client, at a time.
func (c *checker) answered(id, how string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	r.answer = how
	c.note(r, "the client: %s", how)
	switch how {
	case answerServed, answerBroken:
		c.counts.Served++
	case answerRefused:
		c.counts.Refused++
		c.refusedAfterRun(r)
	case answerFailed:
		c.counts.Failed++
	case answerExempt:
		c.counts.Exempt++
	case answerNoCase:
		c.counts.NoCase++
		if len(r.attempts) > 0 {
			c.broke(Lost, r, "%s, though it was sent to an engine", how)
		}
	case answerUnread:
		c.counts.Unread++
		if len(r.attempts) > 0 {
			c.broke(Lost, r, "closed without an answer, though it was sent to an engine")
		}
	default:
		c.broke(Lost, r, "%s", how)
	}
	late := at.Sub(r.asked) - r.class.Deadline - answerSlack - c.paused(r.gateway, r.asked, at)
	if late > heldUpFor && (how == answerRefused || how == answerFailed) {
		c.broke(Late, r, "%s %v after its time", how, late+answerSlack)
	}
}

// refusedAfterRun checks a refusal of what must not be repeated.
func (c *checker) refusedAfterRun(r *request) {
	for _, a := range r.attempts {
		if r.class.Effect == SideEffect && a.role != Prefill && !a.turned {
			c.broke(Duplicate, r, "refused, though engine %d may have run it", a.engine)
		}
	}
}

// sees tells of a broken rule that a client has seen.
func (c *checker) sees(rule Rule, id, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broke(rule, c.requests[id], "%s", text)
}

// reserves and probes count calls.
func (c *checker) reserves() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Reservations++
}

func (c *checker) probes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Probes++
}

// broken tells that a stream broke for its client, so long behind its last event.
func (c *checker) broken(id string, behind time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.brokeIn = max(behind, 1)
	}
}

// streamed counts a whole stream, and whether one of its events was held back.
func (c *checker) streamed(heldBack bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Streams++
	if heldBack {
		c.counts.HeldBackStreams++
	}
}

// eventLate notes an event that a client read so long behind its engine's write, and when its last byte had come.
func (c *checker) eventLate(id string, n int, wrote, came, read time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteLate(lateClient, came, read.Sub(came))
	if len(c.lateRead) < mostHistory {
		c.lateRead = append(c.lateRead, fmt.Sprintf("event %d of %s, written at %.3f, came %v later and was read %v behind that", n, id,
			wrote.Sub(c.begun).Seconds(), came.Sub(wrote).Round(time.Millisecond), read.Sub(came).Round(time.Millisecond)))
	}
}

// finish gives the broken rules and the counts at a run's end.
func (c *checker) finish() ([]Break, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		r.time()
		if r.leftIn && r.left.IsZero() && r.brokeIn > 0 && r.brokeIn < stoppedFor {
			c.broke(Lost, r, "its stream was cut %v behind an event", r.brokeIn)
		}
	}
	const least, share = 5, 10 // single delays are the machine's
	if n := c.counts.HeldBackStreams; n > least && n*share > c.counts.Streams {
		c.broke(HeldBack, nil, "%d of %d streams", n, c.counts.Streams)
		late := &c.breaks[len(c.breaks)-1]
		late.History = append(slices.Clone(c.lateRead), c.latenessIn(c.begun, time.Now())...)
	}
	return slices.Clone(c.breaks), c.counts
}
