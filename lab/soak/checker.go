package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Rule names a rule that the checker verifies.
type Rule string

// The rules.
const (
	RuleLost           Rule = "lost"
	RuleLateAnswer     Rule = "late answer"
	RuleDuplicate      Rule = "duplicate"
	RuleDrain          Rule = "drain"
	RuleSlowStart      Rule = "failback"
	RuleHolds          Rule = "held"
	RuleHeldBackEvents Rule = "held-back events"
	RuleRemainingTime  Rule = "time told to an engine"
	RuleCrash          Rule = "crash"
)

// Limits of the rules. Sums include the protocol's tolerance for work over real sockets.
const (
	maxHoldTime        = 500*time.Millisecond + 300*time.Millisecond + 50*time.Millisecond
	maxDrainDelay      = time.Second + 150*time.Millisecond
	maxOverlap         = 50 * time.Millisecond
	answerSlack        = 500 * time.Millisecond
	cancelSlack        = 100*time.Millisecond + 50*time.Millisecond
	remainingTimeSlack = 150*time.Millisecond + 50*time.Millisecond
	maxEventDelay      = 300 * time.Millisecond
	stoppedStreamAfter = 3 * time.Second // of silence, after which the caller may treat a stream as stopped
	maxStreamSilence   = 5*time.Second + 500*time.Millisecond
	exemptAfterTerm    = 700 * time.Millisecond // requests written up to this long after SIGTERM may be lost with the process
	sweepInterval      = 20 * time.Millisecond
	toleratedPause     = 150 * time.Millisecond // pauses up to this count as the gateway's own lateness
)

// Violation is a broken rule with the history of its request.
type Violation struct {
	Rule    Rule
	At      time.Duration
	ID      string
	Text    string
	History []string
}

// String formats the violation and its history.
func (v Violation) String() string {
	text := fmt.Sprintf("%7.3fs rule broken: %s: %s %s\n", v.At.Seconds(), v.Rule, v.ID, v.Text)
	for _, line := range v.History {
		text += "    " + line + "\n"
	}
	return text
}

// Counts holds the totals of one run or of several. They are printed under their field names.
type Counts struct {
	Requests, Served, Refused, Failed, Left, Exempt int
	Attempts, Reservations, Releases, Probes        int
	Holds, Streams, HeldBackStreams, Unread         int
	NoCase                                          int // requests on connections that the protocol rules out
}

// Add adds another run's counts.
func (c *Counts) Add(o Counts) {
	c.Requests, c.Served, c.Refused, c.Failed = c.Requests+o.Requests, c.Served+o.Served, c.Refused+o.Refused, c.Failed+o.Failed
	c.Left, c.Exempt, c.Attempts, c.Reservations = c.Left+o.Left, c.Exempt+o.Exempt, c.Attempts+o.Attempts, c.Reservations+o.Reservations
	c.Releases, c.Probes, c.Holds, c.Streams = c.Releases+o.Releases, c.Probes+o.Probes, c.Holds+o.Holds, c.Streams+o.Streams
	c.HeldBackStreams, c.Unread = c.HeldBackStreams+o.HeldBackStreams, c.Unread+o.Unread
	c.NoCase += o.NoCase
}

// checker verifies the rules from what engines and clients observe. It uses nothing that
// gateways report about themselves.
type checker struct {
	scenario *FaultScenario
	start    time.Time

	mu              sync.Mutex
	requests        map[string]*request
	drainKnownSince map[[2]int]time.Time // by gateway and engine: when the gateway was notified that the engine drains or is gone
	reachableSince  map[[2]int]time.Time // by gateway and engine: since when the engine is reachable; no entry = unreachable
	pauses          [][]interval         // of each gateway's process
	machineLags     []interval           // times in which timers of this machine fired late
	lateness        []latenessRecord     // of the soak process itself
	lateEvents      []string             // descriptions of stream events that clients read late
	exitedAt        []time.Time          // by gateway: when its last process exited
	coldEngines     map[int]*coldEngine
	violations      []Violation
	counts          Counts
}

// interval is a time span, such as a pause of a gateway's process; a zero to means that it has not ended.
type interval struct{ from, to time.Time }

// request is what the checker knows of one request.
type request struct {
	id             string
	class          Class
	gateway        int
	sentAt         time.Time
	fullyWritten   bool      // if not, sentAt is when writing began, otherwise when it was complete
	pendingChecks  []func()  // checks that need the time at which writing was complete
	leftAt         time.Time // when its client closed the connection; zero = it did not
	outcome        string    // its final outcome for the client
	attempts       []*attempt
	holds          map[int]*hold
	lastAttemptEnd time.Time
	brokenAfter    time.Duration // time from the stream's last event to its break; 0 = not broken
	streamClosed   *attempt      // whose engine saw the gateway close the stream; nil = none
	history        []string
	reported       map[Rule]bool
}

// hold is KV state or a reservation that an engine keeps for a request.
type hold struct {
	reservation bool
	callerGone  bool // the gateway had closed the attempt or call before the hold began
	since       time.Time
}

// attempt is an attempt that a running engine has read whole.
type attempt struct {
	engine       int
	role         Role
	conn         *linkConn
	ended        bool
	rejected     bool // the engine rejected it: it never ran
	answerBegun  bool // its answer has begun: it needs no hold any more
	overlapSince time.Time
}

// coldEngine is an engine in slow start.
type coldEngine struct {
	startedAt time.Time
	arrivals  []time.Time
}

func newChecker(s *FaultScenario, start time.Time) *checker {
	c := &checker{
		scenario: s, start: start, requests: map[string]*request{}, drainKnownSince: map[[2]int]time.Time{}, reachableSince: map[[2]int]time.Time{},
		pauses: make([][]interval, s.Gateways), exitedAt: make([]time.Time, s.Gateways), coldEngines: map[int]*coldEngine{},
	}
	for g := range s.Gateways {
		for e := range s.Engines {
			c.reachableSince[[2]int{g, e}] = start
		}
	}
	return c
}

// setStart sets the time at which the run starts. Times in the report count from it.
func (c *checker) setStart(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start = at
}

// maxHistory limits the lines of a request's history.
const maxHistory = 60

// addHistory adds a line to a request's history. The caller holds the lock.
func (c *checker) addHistory(r *request, format string, args ...any) {
	if len(r.history) < maxHistory {
		r.history = append(r.history, fmt.Sprintf("%8.3f ", time.Since(c.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// addViolation records a broken rule, once for each request and rule. The caller holds the lock.
func (c *checker) addViolation(rule Rule, r *request, format string, args ...any) {
	violation := Violation{Rule: rule, At: time.Since(c.start), Text: fmt.Sprintf(format, args...)}
	if r != nil {
		if r.reported[rule] {
			return
		}
		r.reported[rule] = true
		violation.ID, violation.History = r.id, append(slices.Clone(r.history), c.describeLateness(r.sentAt, time.Now())...)
	}
	c.violations = append(c.violations, violation)
}

// requestBegun records that a client begins to write a request. requestWritten records that it is written whole, on a connection of
// the given age that has (reused) or has not carried an answer before; both help to explain an unanswered request.
func (c *checker) requestBegun(id string, class Class, gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil { // sent again on a new connection, as the gateway had not read it
		r.fullyWritten = false
		return
	}
	now := time.Now()
	r := &request{id: id, class: class, gateway: gateway, sentAt: now, holds: map[int]*hold{}, lastAttemptEnd: now, reported: map[Rule]bool{}}
	c.requests[id] = r
	c.addHistory(r, "to gateway %d: %s (%s), deadline %v", gateway, class.Name, class.Effect, class.Deadline)
}

func (c *checker) requestWritten(id string, at time.Time, age time.Duration, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Requests++
	r := c.requests[id]
	r.sentAt, r.fullyWritten = at, true
	r.runPendingChecks()
	c.addHistory(r, "written whole, on a connection that is %v old (used before: %v)", age, reused)
}

// runPendingChecks runs the checks that needed the time at which the request was written whole.
func (r *request) runPendingChecks() {
	for _, check := range r.pendingChecks {
		check()
	}
	r.pendingChecks = nil
}

// clientLeft records that a client closes its connection before the end of its answer.
func (c *checker) clientLeft(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.leftAt = time.Now()
		c.counts.Left++
		c.addHistory(r, "the client closes its connection")
	}
}

// requestEnded records the outcome of a request for its client.
func (c *checker) requestEnded(id, outcome string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	r.outcome = outcome
	c.addHistory(r, "the client: %s", outcome)
	switch outcome {
	case answerServed, answerBroken:
		c.counts.Served++
	case answerRefused:
		c.counts.Refused++
		c.checkRefusal(r)
	case answerFailed:
		c.counts.Failed++
	case answerExempt:
		c.counts.Exempt++
	case answerNoCase:
		c.counts.NoCase++
		if len(r.attempts) > 0 {
			c.addViolation(RuleLost, r, "%s, though it was sent to an engine", outcome)
		}
	case answerUnread:
		c.counts.Unread++
		if len(r.attempts) > 0 {
			c.addViolation(RuleLost, r, "closed without an answer, though it was sent to an engine")
		}
	default:
		c.addViolation(RuleLost, r, "%s", outcome)
	}
	late := at.Sub(r.sentAt) - r.class.Deadline - answerSlack - c.pausedBetweenLocked(r.gateway, r.sentAt, at)
	if late > toleratedPause && (outcome == answerRefused || outcome == answerFailed) {
		c.addViolation(RuleLateAnswer, r, "%s %v after its deadline", outcome, late+answerSlack)
	}
}

// checkRefusal reports a refused request with a side effect that an engine may have run: the client may repeat what was refused.
func (c *checker) checkRefusal(r *request) {
	for _, a := range r.attempts {
		if r.class.Effect == SideEffect && a.role != Prefill && !a.rejected {
			c.addViolation(RuleDuplicate, r, "refused, though engine %d may have run it", a.engine)
		}
	}
}

// reportViolation records a broken rule that the caller has observed.
func (c *checker) reportViolation(rule Rule, id, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(rule, c.requests[id], "%s", text)
}

// countReservation counts a reservation call.
func (c *checker) countReservation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Reservations++
}

// countProbe counts a probe.
func (c *checker) countProbe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Probes++
}

// streamBroken records that a stream broke for its client, the given time after its last event.
func (c *checker) streamBroken(id string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.brokenAfter = max(after, 1)
	}
}

// streamFinished counts a whole stream, and whether one of its events was held back.
func (c *checker) streamFinished(heldBack bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Streams++
	if heldBack {
		c.counts.HeldBackStreams++
	}
}

// recordLateEvent records an event that its client read late: when its engine wrote it, when its last byte arrived and when it was read.
func (c *checker) recordLateEvent(id string, n int, writtenAt, arrivedAt, readAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLatenessLocked(lateClient, arrivedAt, readAt.Sub(arrivedAt))
	if len(c.lateEvents) < maxHistory {
		c.lateEvents = append(c.lateEvents, fmt.Sprintf("event %d of %s, written at %.3f, arrived %v later and was read %v after its arrival", n, id,
			writtenAt.Sub(c.start).Seconds(), arrivedAt.Sub(writtenAt).Round(time.Millisecond), readAt.Sub(arrivedAt).Round(time.Millisecond)))
	}
}

// finish runs the last checks and returns the violations and the counts.
func (c *checker) finish() ([]Violation, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		r.runPendingChecks()
		cut := r.streamClosed != nil && r.streamClosed == r.attempts[len(r.attempts)-1] // not one that another attempt has replaced since
		if cut && r.leftAt.IsZero() && r.brokenAfter > 0 && r.brokenAfter < stoppedStreamAfter {
			c.addViolation(RuleLost, r, "its stream was cut %v after an event", r.brokenAfter)
		}
	}
	const minStreams, shareDivisor = 5, 10 // a few delays are attributed to the machine
	if n := c.counts.HeldBackStreams; n > minStreams && n*shareDivisor > c.counts.Streams {
		c.addViolation(RuleHeldBackEvents, nil, "%d of %d streams", n, c.counts.Streams)
		violation := &c.violations[len(c.violations)-1]
		violation.History = append(slices.Clone(c.lateEvents), c.describeLateness(c.start, time.Now())...)
	}
	return slices.Clone(c.violations), c.counts
}
