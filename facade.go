package ashwood

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"
)

// This file is the module's blocking face: a Router may be used by many
// goroutines, and its users see neither events nor actions. Times are
// milliseconds here; they become the module's durations in this file alone.

// Clock tells the time in milliseconds since the Unix epoch.
type Clock interface{ Now() float64 }

// Errors of Pick.
var (
	ErrUnknownClass = errors.New("ashwood: unknown class of requests")
	ErrDuplicate    = errors.New("ashwood: a request of this id is being served")
)

// Call is what the decisions need to know of a client's try.
type RequestInfo struct {
	ID              RequestID
	Class           string
	Tenant          string
	Session         uint64
	Prefix          uint64 // the beginning shared with other sessions; 0 = none
	PrefixTokens    float64
	PromptTokens    float64
	MaxOutputTokens float64
	Remaining       float64 // ms that the client waits for the first token
	Retry           bool
}

// StepKind tells what is to be done for a request.
type StepKind int

// The kinds of steps.
const (
	StepSend    StepKind = iota + 1 // send to Engine, then Report how it ended
	StepRelease                     // only let go of what is held, then call Next
	StepRefuse                      // final: trying again does no harm
	StepFail                        // final: promises nothing
	StepDone                        // nothing is owed any more
)

// Step is the next thing to do for a request.
type Step struct {
	Kind    StepKind
	Release bool // first let go of all that is held for the request

	// With StepSend:
	Attempt       int
	Engine        Server
	Prefill       bool            // Engine is a reader: it answers with a read state
	NonRepeatable bool            // it may have an effect, and may then not be sent again
	Timeout       float64         // ms to wait for the first token
	SendBefore    float64         // ms of the clock, from when on it may not be written any more: repeats are dropped for so long; 0 = at any time
	Context       context.Context // ends when the attempt is called off or the client leaves
	ReserveAt     Server          // a writer to ask ahead for a place; no ID = none

	RetryAfter float64 // with StepRefuse: ms to stay away, 0 = no advice
	Reason     Reason  // with StepRefuse and StepFail
}

// Result tells how an attempt ended.
type Result struct {
	Status Status
	Detail float64 // kept tokens, or 1 with TurnedAway: no state to fetch
	Report Report
}

// Router makes the decisions of one node for many goroutines.
type Router struct {
	clock Clock
	probe func(Server)

	mu        sync.Mutex
	scheduler *Scheduler
	flights   map[RequestID]*flight
	timers    timerHeap
	wake      chan struct{}
}

// NewRouter makes a router. Its user calls Tick as that asks, and carries out
// probes with probe, which must not block.
func NewRouter(set Settings, seed int64, clock Clock, probe func(Server)) (*Router, error) {
	s, err := New(set, seed)
	if err != nil {
		return nil, err
	}
	return &Router{
		clock: clock, probe: probe, scheduler: s, flights: map[RequestID]*flight{}, wake: make(chan struct{}, 1),
	}, nil
}

// Update tells the router of news of the server list.
func (t *Router) Update(form MembershipForm, list []Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handle(MembershipUpdate{Form: form, Entries: list})
}

// EndBy tells that this node ends: by that time, in ms of the clock, each request must have
// its answer, or its answer must have begun. No attempt is made for longer.
func (t *Router) ShutdownBy(at float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handle(Shutdown{Deadline: duration(at)})
}

// Accepts tells whether a server may be sent new work at this moment.
func (t *Router) Accepts(id ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.scheduler.servers[id]
	return v != nil && v.active
}

// HeardAt is when a server last sent anything back to this node, in ms of the clock; 0 = not yet.
func (t *Router) LastResponseAt(id ServerID) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.scheduler.servers[id]; v != nil {
		return millis(v.lastResponseAt)
	}
	return 0
}

// Share says how many processes, this one among them, count as one node to the rules:
// each keeps to its part of what cold servers may be sent.
func (t *Router) SetProcesses(processes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scheduler.processes = float64(max(processes, 1))
}

// Engines counts the servers in the list, draining ones too, and those of them that the
// decisions avoid at this moment.
func (t *Router) CountEngines() (listed, avoided int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scheduler.now = max(t.scheduler.now, t.now())
	for _, v := range t.scheduler.sortedServers {
		if v.State != StateRemoved {
			listed++
		}
		if t.scheduler.avoided(v) {
			avoided++
		}
	}
	return listed, avoided
}

// Pause is the ms for which a refused client is told to stay away; 0 = no advice.
func (t *Router) RetryAfter() float64 { return millis(t.scheduler.settings.Limits.MaxRetryAfter) }

// Pick takes in a request and waits for its first step. When ctx ends, the
// client has left. What it answers with StepSend is owed a Report.
func (t *Router) Pick(ctx context.Context, c RequestInfo) (Step, error) {
	f, err := t.admit(ctx, c)
	if err != nil {
		return Step{}, err
	}
	return t.waitForStep(c.ID, f), nil
}

func (t *Router) admit(ctx context.Context, c RequestInfo) (*flight, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.scheduler.classes[c.Class] == nil:
		return nil, fmt.Errorf("%w: %q", ErrUnknownClass, c.Class)
	case t.flights[c.ID] != nil:
		return nil, fmt.Errorf("%w: %q", ErrDuplicate, c.ID)
	}
	f := &flight{ctx: ctx, changed: make(chan struct{}, 1)}
	t.flights[c.ID] = f
	if _, ok := t.scheduler.tenantQuota[c.Tenant]; !ok {
		c.Tenant = "" // the settings have none of this name: nothing is kept for what clients make up
	}
	t.handle(Request{
		ID: c.ID, Class: c.Class, Tenant: c.Tenant, Session: c.Session, Prefix: c.Prefix,
		PrefixTokens: c.PrefixTokens, PromptTokens: c.PromptTokens, MaxOutputTokens: c.MaxOutputTokens,
		TimeLeft: duration(c.Remaining), Retry: c.Retry,
	})
	return f, nil
}

// Report tells how an attempt ended and waits for the request's next step.
func (t *Router) ReportResult(id RequestID, attempt int, res Result) Step {
	f := t.recordResult(id, attempt, res)
	if f == nil {
		return Step{Kind: StepDone}
	}
	return t.waitForStep(id, f)
}

func (t *Router) recordResult(id RequestID, attempt int, res Result) *flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flights[id]
	if f == nil || attempt >= len(f.sentAt) {
		return nil
	}
	t.checkDisconnect(id, f) // the module hears that the client has left before it plans on
	f.inFlight--
	f.cancels[attempt]()
	f.done = f.done || res.Status == StatusServed
	t.handle(Outcome{
		ID: id, Attempt: attempt, Server: t.attemptServer(id, attempt), Status: res.Status, RequestDone: f.done, Detail: res.Detail,
		Latency: duration(t.clock.Now() - f.sentAt[attempt]), Report: res.Report,
	})
	return f
}

// Next waits for the step that follows a StepRelease.
func (t *Router) Next(id RequestID) Step {
	f := t.findFlight(id)
	if f == nil {
		return Step{Kind: StepDone}
	}
	return t.waitForStep(id, f)
}

func (t *Router) findFlight(id RequestID) *flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.flights[id]
}

// Begun tells that an attempt's answer has begun. From then on it belongs to
// the client; false means that the client has left before.
func (t *Router) AnswerStarted(id RequestID, attempt int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flights[id]
	if f == nil || attempt >= len(f.sentAt) {
		return false
	}
	t.checkDisconnect(id, f)
	if f.done {
		return false
	}
	f.done = true
	t.handle(AnswerStarted{
		ID: id, Attempt: attempt, Server: t.attemptServer(id, attempt), Latency: duration(t.clock.Now() - f.sentAt[attempt]),
	})
	return true
}

// Stopped tells whether an answer that has brought nothing since a time will not
// go on, so that it is to be ended as broken. Others is when an answer of its engine
// last went on. First says that it has brought one event alone. Ask says that a probe of
// its engine would tell. The answer may be one that another process has begun.
func (t *Router) AnswerStalled(id RequestID, attempt int, engine ServerID, since, others float64, first bool) (over, ask bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scheduler.now = max(t.scheduler.now, t.now())
	v := t.scheduler.servers[engine]
	if v == nil {
		return false, false
	}
	return t.scheduler.answerStalled(t.scheduler.requests[id], attempt, v, duration(since), duration(others), first)
}

// Place tells whether a place asked for ahead is held, and gives the writer
// to ask next, if any.
func (t *Router) ReportReservation(id RequestID, attempt int, engine ServerID, held bool) (next Server, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flights[id]
	if f == nil || f.done || attempt != len(f.sentAt)-1 || f.inFlight == 0 {
		return Server{}, false
	}
	t.handle(ReservationResult{ID: id, Attempt: attempt, Server: engine, Held: held})
	next, f.reserveNext = f.reserveNext, Server{}
	return next, next.ID != ""
}

// Probed tells how a probe ended.
func (t *Router) ReportProbeResult(engine ServerID, status Status, report Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handle(ProbeResult{Server: engine, Status: status, Report: report})
}

// Tick runs the timers that are due and tells in how many milliseconds the
// next one is, +Inf without any.
func (t *Router) Tick() (next float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.timers) > 0 {
		now := t.now()
		if left := t.timers[0].At - now; left > 0 {
			return float64(left) / float64(time.Millisecond)
		}
		t.handle(TimerFired{heap.Pop(&t.timers).(SetTimer).Token})
	}
	return math.Inf(1)
}

// Wake gets a value when a Tick is wanted earlier than the last one told.
func (t *Router) Wake() <-chan struct{} { return t.wake }

func (t *Router) attemptServer(id RequestID, attempt int) ServerID {
	if r := t.scheduler.requests[id]; r != nil && attempt < len(r.attempts) {
		return r.attempts[attempt].server.ID
	}
	return ""
}

func (t *Router) now() time.Duration { return duration(t.clock.Now()) }

func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
