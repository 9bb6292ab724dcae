// Package rules checks what gateways do against the platform's rules, with the
// protocol's tolerances on sockets. Engines and clients report every attempt,
// reservation, release and answer to it. It is pure: times are passed in. It only
// records violations; what follows from them is the caller's part.
package rules

import (
	"fmt"
	"slices"
	"sync"
)

// Checker holds what it has seen of each request. It is safe for use by several
// goroutines.
type Checker struct {
	mu         sync.Mutex
	limits     Limits
	requests   map[string]*request
	members    map[memberKey]memberView
	coldSends  map[string][]coldSend
	violations []Violation
	counts     Counts
}

type memberKey struct {
	gateway int
	engine  string
}

// memberView is what a gateway knows of an engine.
type memberView struct {
	drained bool
	since   float64
	started float64
}

type coldSend struct {
	at       float64
	notified bool
}

type request struct {
	id             string
	sideEffect     bool
	seenAt         float64
	finalAnswer    Answer
	inFlight       []*attempt
	mayHaveRunAt   string // the engine where it may have run; "" = none
	runs           int
	idleSince      float64 // since when no attempt is in flight
	lastEventAt    float64 // last event of the answer's stream from a running engine; 0 = none
	streamingAt    string  // the engine that streams the answer
	history        []string
	pinnedReported bool // a pinned violation has been reported
}

type attempt struct {
	engine          string
	prefill         bool
	overlapSince    float64 // since when another attempt is in flight too; 0 = never
	sentAt          float64
	ran             bool
	overlapReported bool
}

// New returns a checker with the given limits.
func New(limits Limits) *Checker {
	return &Checker{limits: limits, requests: map[string]*request{}, members: map[memberKey]memberView{}, coldSends: map[string][]coldSend{}, counts: Counts{Answers: map[Answer]int{}}}
}

func (c *Checker) request(at float64, id string) *request {
	r := c.requests[id]
	if r == nil {
		r = &request{id: id, idleSince: at}
		c.requests[id] = r
	}
	r.seenAt = at
	return r
}

func (r *request) note(at float64, format string, args ...any) {
	const maxNotes = 64
	if len(r.history) < maxNotes {
		r.history = append(r.history, fmt.Sprintf("%10.1f ", at)+fmt.Sprintf(format, args...))
	}
}

func (c *Checker) addViolation(at float64, rule Rule, r *request, engine, format string, args ...any) {
	violation := Violation{Rule: rule, At: at, Engine: engine, Text: fmt.Sprintf(format, args...)}
	if r != nil {
		violation.Request, violation.History = r.id, slices.Clone(r.history)
	}
	c.violations = append(c.violations, violation)
}

// RequestSent reports that a client has written a whole request.
func (c *Checker) RequestSent(at float64, id, class string, sideEffect bool, gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Requests++
	r := c.request(at, id)
	r.sideEffect = r.sideEffect || sideEffect
	r.note(at, "request to gateway %d, class %s", gateway, class)
}

// RequestAnswered reports how a client's try has ended.
func (c *Checker) RequestAnswered(at float64, id string, answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(at, id)
	r.note(at, "answer at the client: %s", answer)
	c.counts.Answers[answer]++
	if r.finalAnswer != "" {
		c.addViolation(at, Lost, r, "", "second answer %s after %s", answer, r.finalAnswer)
	}
	r.finalAnswer = answer
	switch answer {
	case Dropped:
		c.addViolation(at, Lost, r, "", "the connection was closed without an answer")
	case Refused:
		if r.sideEffect && r.mayHaveRunAt != "" {
			c.addViolation(at, Duplicate, r, r.mayHaveRunAt, "refused, though it may have run")
		}
		for _, attempt := range r.inFlight {
			if r.sideEffect && !attempt.prefill && at-attempt.sentAt > c.limits.MaxOverlap {
				c.addViolation(at, Duplicate, r, attempt.engine, "refused while an attempt may run")
			}
		}
	case Served, Broken:
		if r.lastEventAt > 0 && at-r.lastEventAt > c.limits.StreamEndWithin {
			c.addViolation(at, Lost, r, "", "its stream ended %.0f ms after the engine's last event", at-r.lastEventAt)
		}
	}
}

// AnswerCorrupted reports that a client has received what no engine sent.
func (c *Checker) AnswerCorrupted(at float64, id, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(at, Unchanged, c.request(at, id), "", "%s", what)
}

// GatewayNotified reports that a gateway has received an engine's membership update.
func (c *Checker) GatewayNotified(at float64, gateway int, engine string, drained bool, started float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := memberKey{gateway, engine}
	member := c.members[key]
	if member.drained != drained {
		member.drained, member.since = drained, at
	}
	member.started = started
	c.members[key] = member
}

// AttemptSent reports an attempt with the times of its first and its last byte.
// coldSince is the engine's last start while it is cold, else negative.
func (c *Checker) AttemptSent(firstByte, at float64, gateway int, engine, id string, prefill bool, coldSince float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Attempts++
	r := c.request(at, id)
	r.note(at, "gateway %d sends an attempt to %s", gateway, engine)
	c.checkDrain(firstByte, gateway, engine, r, "attempt sent")
	if coldSince >= 0 {
		c.coldSends[engine] = append(c.coldSends[engine], coldSend{at, c.members[memberKey{gateway, engine}].started >= coldSince})
	}
	if r.sideEffect && !prefill && r.mayHaveRunAt != "" {
		c.addViolation(at, Duplicate, r, engine, "sent again, though it may have run at %s", r.mayHaveRunAt)
	}
	for _, attempt := range r.inFlight {
		if attempt.overlapSince == 0 {
			attempt.overlapSince = at
		}
	}
	r.inFlight = append(r.inFlight, &attempt{engine: engine, prefill: prefill, sentAt: at})
}

func (c *Checker) checkDrain(firstByte float64, gateway int, engine string, r *request, what string) {
	if member := c.members[memberKey{gateway, engine}]; member.drained && firstByte-member.since > c.limits.DrainGrace {
		c.addViolation(firstByte, Drain, r, engine, "%s %.0f ms after gateway %d was notified that it drains or was removed", what, firstByte-member.since, gateway)
	}
}

// AttemptUndelivered reports an attempt sent to an unreachable engine. It has not
// arrived and is not in flight, so the time limit on holds runs on. A gateway cannot
// know that it never ran.
func (c *Checker) AttemptUndelivered(at float64, engine, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(at, id)
	r.note(at, "attempt sent to %s, which is unreachable", engine)
	if r.sideEffect && r.mayHaveRunAt != "" {
		c.addViolation(at, Duplicate, r, engine, "sent again, though it may have run at %s", r.mayHaveRunAt)
	}
}

// AnswerStarted reports that a decode engine has begun an answer.
func (c *Checker) AnswerStarted(at float64, engine, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(at, id)
	r.note(at, "%s starts the answer", engine)
	c.counts.Runs++
	r.streamingAt = engine
	if r.runs++; r.sideEffect && r.runs > 1 {
		c.counts.Doubles++
		c.addViolation(at, Duplicate, r, engine, "side effect executed %d times", r.runs)
	}
	for _, attempt := range r.inFlight {
		attempt.ran = attempt.ran || attempt.engine == engine
	}
}

// AnswerEvent reports that a decode engine has written an event of a stream.
func (c *Checker) AnswerEvent(at float64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request(at, id).lastEventAt = at
}

// EngineStopped reports that an engine no longer runs: a gateway gets no end of the
// streams that the engine was writing.
func (c *Checker) EngineStopped(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.streamingAt == engine {
			r.lastEventAt = 0
		}
	}
}

// AttemptEnded reports how an attempt has ended at its engine.
func (c *Checker) AttemptEnded(at float64, engine, id string, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(at, id)
	r.note(at, "%s: %s", engine, outcome)
	for i, attempt := range r.inFlight {
		if attempt.engine != engine {
			continue
		}
		c.checkOverlap(at, r, attempt)
		if !attempt.prefill && outcome != Rejected {
			r.mayHaveRunAt = engine
		}
		r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
		break
	}
	if len(r.inFlight) == 0 {
		r.idleSince = at
	}
}

func (c *Checker) checkOverlap(at float64, r *request, attempt *attempt) {
	if attempt.overlapSince > 0 && at-attempt.overlapSince > c.limits.MaxOverlap && !attempt.overlapReported {
		attempt.overlapReported = true
		c.addViolation(at, Duplicate, r, attempt.engine, "another attempt was in flight for %.0f ms beside the one at %s", at-attempt.overlapSince, attempt.engine)
	}
}

// ReservationAnswered reports that a gateway has asked for a reservation.
func (c *Checker) ReservationAnswered(at float64, gateway int, engine, id string, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Places++
	r := c.request(at, id)
	r.note(at, "gateway %d asks %s for a reservation: held %v", gateway, engine, held)
	c.checkDrain(at, gateway, engine, r, "reservation requested")
	r.idleSince = max(r.idleSince, at)
}

// HoldsReleased reports that an engine has received a release.
func (c *Checker) HoldsReleased(at float64, engine, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Releases++
	r := c.request(at, id)
	r.note(at, "released at %s", engine)
}

// EngineColdCrashed reports that an engine was overloaded while cold.
func (c *Checker) EngineColdCrashed(at float64, engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	notified, total := 0, 0
	for _, a := range c.coldSends[engine] {
		if at-a.at <= c.limits.ColdWindow {
			if total++; a.notified {
				notified++
			}
		}
	}
	if total > 0 && float64(notified) >= c.limits.ColdShare*float64(total) {
		c.addViolation(at, Cold, nil, engine, "overloaded while cold until it crashed: %d of %d attempts in the last second came from gateways notified of its start", notified, total)
	}
}

// Sweep looks for holds that last too long and for attempts that overlap. holding
// returns the engines that hold something for a request which no attempt there waits
// for. Sweep also forgets requests that have ended long ago.
func (c *Checker) Sweep(now float64, holding func(id string) []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.requests {
		for _, attempt := range r.inFlight {
			c.checkOverlap(now, r, attempt)
		}
		if len(r.inFlight) == 0 && !r.pinnedReported && now-r.idleSince > c.limits.ReleaseWithin {
			if engines := holding(id); len(engines) > 0 {
				r.pinnedReported = true
				c.addViolation(now, Pinned, r, engines[0], "held at %v for %.0f ms with no attempt in flight", engines, now-r.idleSince)
			}
		}
		if len(r.inFlight) == 0 && now-r.seenAt > c.limits.ForgetAfter {
			delete(c.requests, id)
		}
	}
	for engine, list := range c.coldSends {
		c.coldSends[engine] = slices.DeleteFunc(list, func(a coldSend) bool { return now-a.at > 2*c.limits.ColdWindow })
	}
}

// Violations returns the rule violations in the order in which they were seen.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Counts returns what has been seen so far.
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
