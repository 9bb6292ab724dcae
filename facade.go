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

// This file is the blocking interface of the module: a Router may be used by many goroutines,
// and its users see neither events nor actions. Times are milliseconds here and are converted
// to the scheduler's durations in this file and flight.go only.

// Clock tells the time in milliseconds since the Unix epoch.
type Clock interface{ Now() float64 }

// Errors that Pick returns.
var (
	ErrUnknownClass = errors.New("ashwood: unknown class of requests")
	ErrDuplicate    = errors.New("ashwood: a request of this id is being served, or may have run")
)

// RequestInfo is what the decisions need to know about a request.
type RequestInfo struct {
	ID              RequestID
	Class           string
	Tenant          string
	Session         uint64
	Prefix          uint64 // hash of the prefix shared with other sessions; 0 = none
	PrefixTokens    float64
	PromptTokens    float64
	MaxOutputTokens float64
	Remaining       float64 // ms that the client waits for the first token
	Retry           bool
}

// StepKind tells what to do next for a request.
type StepKind int

// The kinds of steps.
const (
	StepSend    StepKind = iota + 1 // send to Engine, then call ReportResult
	StepRelease                     // release KV state and reservations only, then call Next
	StepRefuse                      // final: trying again is safe
	StepFail                        // final: it is unknown whether the request has run
	StepDone                        // nothing more to do
)

// Step is the next thing to do for a request.
type Step struct {
	Kind    StepKind
	Release bool // first release all KV state and reservations held for the request

	// With StepSend:
	Attempt       int
	Engine        Server
	Prefill       bool            // Engine is a prefill engine: its answer is that it holds KV state
	NonIdempotent bool            // the attempt may have an effect: once written, it must not be sent again
	Timeout       float64         // ms to wait for the first token
	SendBefore    float64         // clock time in ms from which it must not be written: engines drop repeats until then; 0 = no limit
	Context       context.Context // ends when the attempt is cancelled or the client leaves
	ReserveAt     Server          // decode engine to ask for a reservation; no ID = none

	RetryAfter float64 // with StepRefuse: ms until the client should try again; 0 = no advice
	Reason     Reason  // with StepRefuse and StepFail
}

// Result tells how an attempt ended.
type Result struct {
	Status Status
	Detail float64 // see Outcome.Detail
	Report Report
}

// Router makes the decisions of one node for many goroutines.
type Router struct {
	clock Clock
	probe func(Server)

	mu        sync.Mutex
	scheduler *Scheduler
	flights   map[RequestID]*flight
	ran       ranRecord // requests that may have run and have ended
	timers    timerHeap
	wake      chan struct{}
}

// NewRouter returns a router. Its user calls Tick at the times that Tick and Wake ask for.
// The router calls probe to have a server probed; probe must not block.
func NewRouter(settings Settings, seed int64, clock Clock, probe func(Server)) (*Router, error) {
	scheduler, err := New(settings, seed)
	if err != nil {
		return nil, err
	}
	return &Router{
		clock: clock, probe: probe, scheduler: scheduler, flights: map[RequestID]*flight{}, ran: newRanRecord(), wake: make(chan struct{}, 1),
	}, nil
}

// UpdateMembership applies a membership update.
func (r *Router) UpdateMembership(form MembershipForm, entries []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handle(MembershipUpdate{Form: form, Entries: entries})
}

// ShutdownBy announces that this node shuts down. By the deadline, in ms of the clock, each request
// is answered or its answer has started; no attempt gets a later timeout.
func (r *Router) ShutdownBy(deadline float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handle(Shutdown{Deadline: duration(deadline)})
}

// Accepts tells whether a server may get new work at this moment.
func (r *Router) Accepts(id ServerID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.scheduler.servers[id]
	return server != nil && server.active
}

// LastResponseAt returns when a server last sent anything to this node, in ms of the clock; 0 = never.
func (r *Router) LastResponseAt(id ServerID) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.scheduler.servers[id]; server != nil {
		return millis(server.lastResponseAt)
	}
	return 0
}

// SetProcesses sets how many processes, including this one, count as one node. Each of them uses
// only its part of the node's slow-start budget.
func (r *Router) SetProcesses(processes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.processes = float64(max(processes, 1))
}

// CountEngines counts the servers in the membership, including draining ones, and those of
// them that get no ordinary work at this moment.
func (r *Router) CountEngines() (listed, avoided int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.now = max(r.scheduler.now, r.now())
	for _, server := range r.scheduler.sortedServers {
		if server.State != StateRemoved {
			listed++
		}
		if r.scheduler.avoided(server) {
			avoided++
		}
	}
	return listed, avoided
}

// RetryAfter returns the ms after which a refused client should try again; 0 = no advice.
func (r *Router) RetryAfter() float64 { return millis(r.scheduler.settings.Limits.MaxRetryAfter) }

// Pick admits a request and waits for its first step. The end of ctx means that the client
// has left. After a StepSend, the caller must call ReportResult.
func (r *Router) Pick(ctx context.Context, info RequestInfo) (Step, error) {
	flight, err := r.admit(ctx, info)
	if err != nil {
		return Step{}, err
	}
	return r.waitForStep(info.ID, flight), nil
}

// admit registers a request and passes it to the scheduler.
func (r *Router) admit(ctx context.Context, info RequestInfo) (*flight, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.scheduler.classes[info.Class] == nil:
		return nil, fmt.Errorf("%w: %q", ErrUnknownClass, info.Class)
	case r.flights[info.ID] != nil, r.ran.contains(info.ID, r.clock.Now()):
		return nil, fmt.Errorf("%w: %q", ErrDuplicate, info.ID)
	}
	flight := &flight{ctx: ctx, changed: make(chan struct{}, 1)}
	r.flights[info.ID] = flight
	if _, ok := r.scheduler.tenantQuota[info.Tenant]; !ok {
		info.Tenant = "" // not in the settings: no state is kept for names that clients make up
	}
	r.handle(Request{
		ID: info.ID, Class: info.Class, Tenant: info.Tenant, Session: info.Session, Prefix: info.Prefix,
		PrefixTokens: info.PrefixTokens, PromptTokens: info.PromptTokens, MaxOutputTokens: info.MaxOutputTokens,
		TimeLeft: duration(info.Remaining), Retry: info.Retry,
	})
	return flight, nil
}

// ReportResult reports how an attempt ended and waits for the request's next step.
func (r *Router) ReportResult(id RequestID, attempt int, result Result) Step {
	flight := r.recordResult(id, attempt, result)
	if flight == nil {
		return Step{Kind: StepDone}
	}
	return r.waitForStep(id, flight)
}

// recordResult passes the end of an attempt to the scheduler. It returns nil for an unknown attempt.
func (r *Router) recordResult(id RequestID, attempt int, result Result) *flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	flight := r.flights[id]
	if flight == nil || attempt >= len(flight.sentAt) {
		return nil
	}
	r.checkDisconnect(id, flight) // before the outcome, or the scheduler would plan another attempt
	flight.inFlight--
	flight.cancels[attempt]()
	flight.done = flight.done || result.Status == StatusServed
	flight.recordRun(r.decodes(id, attempt), result.Status)
	r.handle(Outcome{
		ID: id, Attempt: attempt, Server: r.attemptServer(id, attempt), Status: result.Status,
		RequestDone: flight.done, Detail: result.Detail, Latency: duration(r.clock.Now() - flight.sentAt[attempt]), Report: result.Report,
	})
	return flight
}

// RecordRun records a request whose answer this process continues and another one has begun: it must not run here.
func (r *Router) RecordRun(id RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran.add(id, r.clock.Now())
}

// Next waits for the step that follows a StepRelease.
func (r *Router) Next(id RequestID) Step {
	flight := r.findFlight(id)
	if flight == nil {
		return Step{Kind: StepDone}
	}
	return r.waitForStep(id, flight)
}

func (r *Router) findFlight(id RequestID) *flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flights[id]
}

// AnswerStarted reports that an attempt's answer has started. From then on the answer is passed
// on to the client; false means that the client has already left or has a final answer.
func (r *Router) AnswerStarted(id RequestID, attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	flight := r.flights[id]
	if flight == nil || attempt >= len(flight.sentAt) {
		return false
	}
	r.checkDisconnect(id, flight)
	if flight.done {
		return false
	}
	flight.done = true
	r.handle(AnswerStarted{
		ID: id, Attempt: attempt, Server: r.attemptServer(id, attempt), Latency: duration(r.clock.Now() - flight.sentAt[attempt]),
	})
	return true
}

// AnswerStalled tells whether a started answer that has been silent since silentSince will not
// go on, so that it is to be ended as broken. othersProgressAt is when any answer of its engine
// last made progress, and oneEvent that this one has brought a single event. If the
// result probe is true, the caller should probe the engine, whose report would decide. The answer may have been started
// by another process.
func (r *Router) AnswerStalled(
	id RequestID, attempt int, engine ServerID, silentSince, othersProgressAt float64, oneEvent bool) (stalled, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.now = max(r.scheduler.now, r.now())
	server := r.scheduler.servers[engine]
	if server == nil {
		return false, false
	}
	return r.scheduler.answerStalled(r.scheduler.requests[id], attempt, server,
		duration(silentSince), duration(othersProgressAt), oneEvent)
}

// ReportReservation reports whether a reservation is held, and returns the decode engine
// to ask next, if any.
func (r *Router) ReportReservation(id RequestID, attempt int, engine ServerID, held bool) (next Server, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	flight := r.flights[id]
	if flight == nil || flight.done || attempt != len(flight.sentAt)-1 || flight.inFlight == 0 {
		return Server{}, false
	}
	r.handle(ReservationResult{ID: id, Attempt: attempt, Server: engine, Held: held})
	next, flight.reserveNext = flight.reserveNext, Server{}
	return next, next.ID != ""
}

// ReportProbeResult reports how a probe ended.
func (r *Router) ReportProbeResult(engine ServerID, status Status, report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handle(ProbeResult{Server: engine, Status: status, Report: report})
}

// Tick runs the timers that have expired and returns the milliseconds until the next
// one, +Inf without any.
func (r *Router) Tick() (next float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.timers) > 0 {
		now := r.now()
		if left := r.timers[0].At - now; left > 0 {
			return float64(left) / float64(time.Millisecond)
		}
		r.handle(TimerFired{heap.Pop(&r.timers).(SetTimer).Token})
	}
	return math.Inf(1)
}

// Wake receives a value when Tick must be called earlier than its last result said.
func (r *Router) Wake() <-chan struct{} { return r.wake }

// attemptServer returns the server of an attempt, or "" for an unknown one.
func (r *Router) attemptServer(id RequestID, attempt int) ServerID {
	if request := r.scheduler.requests[id]; request != nil && attempt < len(request.attempts) {
		return request.attempts[attempt].server.ID
	}
	return ""
}

func (r *Router) now() time.Duration { return duration(r.clock.Now()) }

func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
