// Package gateway runs a request from its acceptance to its one final answer: it asks the
// decision module for the next step, makes attempts and reservations through a Transport,
// reports the outcomes, and releases KV state and reservations. It also owns the releases that
// outlive a request. It makes no decisions of its own and knows no wire protocol: fronts call
// Serve, and transports make the calls to engines.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/metrics"
	"ashwood.example/ashwood/internal/reqlog"
)

// Timeouts of reservations, probes and streams, in milliseconds.
const (
	reserveTimeout     = 400  // for the answers to all reservation calls of an attempt
	probeTimeout       = 800  // the decision module waits as long for a probe, since a busy engine answers late
	stallSuspectAfter  = 4250 // silence after which a begun answer is checked for a stall: an engine that works on others may go on with it
	stallCheckInterval = 250  // between two such checks
	stallTimeout       = 4500 // for the end of the next event in any case: a client may wait for at most 5 s (PROTOCOL, Figures)
)

// Gateway serves requests over a Transport as the decision module directs.
type Gateway struct {
	router         *ashwood.Router
	transport      Transport
	clock          Clock
	log            *slog.Logger
	holdLimit      float64        // ms for which engines may hold KV state and reservations that no attempt uses; 0 = no limit
	probesAllowed  bool           // the site allows probes
	background     sync.WaitGroup // reservations, releases and probes, which run outside Serve
	releaser       *releaser      // makes all release calls
	liveness       *liveness
	holdLog        *holdLog
	departures     *departureLog
	metrics        *metrics.Counters
	answerDeadline atomic.Uint64   // ms of the clock (bits of a float64) by which all requests are answered because the process ends; 0 = not set
	progress       progressTracker // of engines with open answers
}

// New returns a gateway. Run must be running while it serves.
func New(settings ashwood.Settings, seed int64, transport Transport, c Clock, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{transport: transport, clock: c, log: log, holdLimit: clock.Millis(settings.Rules.ReleaseTimeout), probesAllowed: settings.Limits.Probes}
	names := make([]string, len(settings.Classes))
	for i, class := range settings.Classes {
		names[i] = class.Name
	}
	g.metrics = metrics.New(names)
	g.liveness, g.holdLog, g.departures = newLiveness(log, c), newHoldLog(log, c, g.metrics), newDepartureLog(log, c, g.metrics)
	g.releaser = newReleaser(g, settings, seed)
	var err error
	g.router, err = ashwood.NewRouter(settings, seed, c, func(engine ashwood.Server) { g.runInBackground(func() { g.probe(engine) }) })
	return g, err
}

// Run runs the router's timers until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	for ctx.Err() == nil {
		g.recoverPanic(func() { g.runTimers(ctx) })
	}
}

func (g *Gateway) runTimers(ctx context.Context) {
	due := make(chan struct{}, 1)
	for {
		stop := func() bool { return true }
		if next := g.router.Tick(); !math.IsInf(next, 1) {
			stop = g.clock.AfterFunc(next, func() {
				select {
				case due <- struct{}{}:
				default:
				}
			})
		}
		select {
		case <-ctx.Done():
			stop()
			return
		case <-due:
		case <-g.router.Wake():
		}
		stop()
	}
}

// UpdateMembership applies a membership update.
func (g *Gateway) UpdateMembership(form ashwood.MembershipForm, engines []ashwood.Server) {
	g.router.UpdateMembership(form, engines)
	g.releaser.updateMembership(form, engines)
	if g.log.Enabled(context.Background(), slog.LevelDebug) {
		for _, engine := range engines {
			g.log.Debug("news", "engine", engine.ID, "address", engine.Address, "kind", engine.Kind, "zone", engine.Zone, "cell", engine.Cell, "state", int(engine.State), "started", clock.Millis(engine.Started))
		}
	}
}

// Metrics returns this gateway's counters. The gateway counts attempts, and its callers, which
// give the answers, count how requests end.
func (g *Gateway) Metrics() *metrics.Counters { return g.metrics }

// Holds returns the number of holds that engines may have for requests, and the age of the oldest in ms.
func (g *Gateway) Holds() (open int, oldest float64) { return g.holdLog.gauges() }

// CountEngines returns the number of engines in the membership and how many of them are avoided now; see ashwood.Router.
func (g *Gateway) CountEngines() (listed, avoided int) { return g.router.CountEngines() }

// SetProcesses sets how many processes count as this one gateway; see ashwood.Router.
func (g *Gateway) SetProcesses(processes int) { g.router.SetProcesses(processes) }

// SetAnswerDeadline sets the time, in ms of the clock, by which each request must have its answer
// because the process ends; see ashwood.Router.
func (g *Gateway) SetAnswerDeadline(at float64) {
	g.answerDeadline.Store(math.Float64bits(at))
	g.router.ShutdownBy(at)
}

// RecordRefusal counts a request that a front itself refuses because it has no capacity left, and returns
// the time after which its client may retry, as RetryAfter does.
func (g *Gateway) RecordRefusal(class string) float64 {
	g.metrics.RequestEnded(class, metrics.Throttled)
	return g.RetryAfter()
}

// RetryAfter returns the ms after which a client may retry whose request a front itself
// refuses because it has no capacity left; 0 = no advice.
func (g *Gateway) RetryAfter() float64 { return g.router.RetryAfter() }

// Serve handles a request until it has its final answer or the first piece of one. The end of
// ctx means that the client has disconnected. ctx bounds a served stream too, which the
// caller must close. An error means that the request was not accepted.
func (g *Gateway) Serve(ctx context.Context, request *Request) (Reply, error) {
	startedAt := g.clock.Now()
	client := g.watchClient(ctx, request)
	reply, err := g.serve(client, request)
	if reply.Kind == ClientGone && client.leftByItself() {
		g.departures.record(request, g.clock.Now()-startedAt)
	}
	if served, ok := reply.Stream.(*stream); ok {
		served.startedAt = startedAt
	} else {
		client.release()
	}
	g.log.Debug("answer", "id", request.ID, "class", request.Class, "kind", reply.Kind, "ms", g.clock.Now()-startedAt,
		"why", reply.Reason, "err", err)
	return reply, err
}

func (g *Gateway) serve(client *clientWatch, request *Request) (Reply, error) {
	step, err := g.router.Pick(client.ctx, request.RequestInfo)
	if err != nil {
		return Reply{}, err
	}
	decidedAt := g.clock.Now()
	holds := g.releaser.newHolds(request.ID)
	var lastErr error
	reason := "first"
	for {
		final := step.Kind != ashwood.StepSend && step.Kind != ashwood.StepRelease
		if step.Release {
			holds.release(final)
		}
		switch step.Kind {
		case ashwood.StepSend:
			holds.releaseExpired()
			step.Timeout -= g.clock.Now() - decidedAt // releases may have used up a part of it
			g.logRequestState(request, step, reqlog.Attempt, reason)
			result, next := g.attempt(client, request, step, holds)
			reason = "after " + statusName(result.Status)
			if showsEngineRuns(result.Status) {
				g.releaser.engineAnswered(step.Engine)
			} else if result.Status != ashwood.StatusNotSent && result.Status != ashwood.StatusCancelled {
				g.releaser.noteUnanswered(step.Engine, "attempt", false)
			}
			if result.Err != nil {
				lastErr = result.Err
			}
			if result.Stream != nil {
				return Reply{Kind: Served, Stream: result.Stream}, nil
			}
			step, decidedAt = next, g.clock.Now()
		case ashwood.StepRelease:
			step, decidedAt = g.router.Next(request.ID), g.clock.Now()
		case ashwood.StepRefuse:
			return Reply{Kind: Refused, RetryAfter: step.RetryAfter, Reason: step.Reason, Err: lastErr}, nil
		case ashwood.StepFail:
			return Reply{Kind: Failed, Reason: step.Reason, Err: lastErr}, nil
		default:
			return Reply{Kind: ClientGone, Err: ErrClientGone}, nil
		}
	}
}

// attempt sends a request once. It returns either the stream of a begun answer or, after it has
// reported how the attempt ended, the next step.
func (g *Gateway) attempt(client *clientWatch, request *Request, step ashwood.Step, holds *requestHolds) (AttemptResult, ashwood.Step) {
	startedAt := g.clock.Now()
	attemptCtx, cancel := context.WithCancelCause(step.Context)
	stop := g.clock.AfterFunc(step.Timeout, func() { cancel(ErrFirstTokenTimeout) })
	result := g.transport.Send(attemptCtx, Attempt{
		Request: request, Engine: step.Engine, Prefill: step.Prefill, NonIdempotent: step.NonIdempotent, Remaining: step.Timeout,
		MayWrite: func() bool {
			if !client.isPresent(attemptCtx) {
				return false
			}
			late := step.SendBefore > 0 && g.clock.Now() >= step.SendBefore
			if late || attemptCtx.Err() != nil || !g.router.Accepts(step.Engine.ID) {
				return false
			}
			holds.pauseReleases(true)
			return true
		},
		OnSent: func() {
			g.logRequestState(request, step, reqlog.Sent, "")
			holds.attemptSent(step.Engine, step.Prefill)
			g.metrics.AttemptRelayed(request.Class)
			if step.ReserveAt.ID != "" {
				g.runInBackground(func() { g.reserve(attemptCtx, step, holds) })
			}
		},
	})
	inTime := stop() && attemptCtx.Err() == nil
	g.log.Debug("attempt", "id", request.ID, "class", request.Class, "engine", step.Engine.ID, "kind", step.Engine.Kind,
		"attempt", step.Attempt, "status", result.Status, "ms", g.clock.Now()-startedAt, "err", result.Err)
	if result.Status == ashwood.StatusServed {
		if inTime && g.router.AnswerStarted(request.ID, step.Attempt) {
			holds.markAnswerBegun()
			result.Stream = &stream{Stream: result.Stream, gateway: g, client: client, id: request.ID, class: request.Class, attempt: step.Attempt, engine: step.Engine, progress: g.progress.join(step.Engine.ID), cancel: cancel}
			return result, ashwood.Step{}
		}
		result.Stream.Close()
		result.Stream, result.Status = nil, ashwood.StatusConnectionLost
	}
	// A cancelled attempt may have run, unless its last byte was not written.
	if result.Status == ashwood.StatusConnectionLost && !inTime {
		result.Status = ashwood.StatusCancelled
		if errors.Is(context.Cause(attemptCtx), ErrFirstTokenTimeout) {
			result.Status, result.Err = ashwood.StatusTimedOut, ErrFirstTokenTimeout
		}
	}
	cancel(nil)
	switch result.Status {
	case ashwood.StatusConnectFailed, ashwood.StatusNotSent:
		holds.pauseReleases(false)
	case ashwood.StatusRejected, ashwood.StatusServerError:
		holds.attemptRejected()
	default:
		holds.attemptEnded(showsEngineRuns(result.Status))
	}
	if result.Status == ashwood.StatusConnectionLost || result.Status == ashwood.StatusCancelled || result.Status == ashwood.StatusTimedOut {
		holds.markAbandoned(step.Engine)
	}
	return result, g.router.ReportResult(request.ID, step.Attempt, result.Result)
}

// logRequestState logs the state of a request's attempt, with the remaining time that the engine is given.
func (g *Gateway) logRequestState(request *Request, step ashwood.Step, state reqlog.State, reason string) {
	reqlog.Write(g.log, reqlog.Change{
		ID: string(request.ID), Class: request.Class, State: state, Attempt: step.Attempt, Engine: string(step.Engine.ID), Remaining: step.Timeout, Reason: reason,
	})
}

// runInBackground runs f in a goroutine that Wait waits for.
func (g *Gateway) runInBackground(f func()) { g.background.Go(func() { g.recoverPanic(f) }) }

// Wait waits until reservations, releases and probes in the background have ended. Releases that are
// still pending are given up after releaseShutdownTimeout, or later where the process may run
// longer. Wait must be called after the last request has been served.
func (g *Gateway) Wait() {
	timeout := float64(releaseShutdownTimeout)
	if deadline := math.Float64frombits(g.answerDeadline.Load()); deadline > 0 {
		timeout = min(max(timeout, deadline+releaseShutdownGrace-g.clock.Now()), releaseShutdownMax)
	}
	defer g.clock.AfterFunc(timeout, g.releaser.abandon)()
	g.releaser.waitUntilIdle()
	g.background.Wait()
}

// statusName returns the name of an attempt's status for logs.
func statusName(status ashwood.Status) string {
	switch status {
	case ashwood.StatusServed:
		return "served"
	case ashwood.StatusServerError:
		return "server error"
	case ashwood.StatusRejected:
		return "turned away"
	case ashwood.StatusTimedOut:
		return "no answer"
	case ashwood.StatusConnectFailed:
		return "no connection"
	case ashwood.StatusConnectionLost:
		return "connection lost"
	case ashwood.StatusCancelled:
		return "cancelled"
	case ashwood.StatusNotSent:
		return "not sent"
	case ashwood.StatusPrefilled:
		return "prompt read"
	}
	return "unknown"
}

// showsEngineRuns reports whether a status proves that the engine runs and can be reached.
func showsEngineRuns(status ashwood.Status) bool {
	return status == ashwood.StatusServed || status == ashwood.StatusPrefilled || status == ashwood.StatusRejected || status == ashwood.StatusServerError
}

// reserve asks decode engines for reservations while a prefill is in flight. Each of these engines
// becomes subject to release only after its own answer: a release before that could arrive
// ahead of the reservation call.
func (g *Gateway) reserve(prefillCtx context.Context, step ashwood.Step, holds *requestHolds) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer g.clock.AfterFunc(reserveTimeout, cancel)()
	for engine, ok := step.ReserveAt, true; ok; {
		mayWrite := func() bool { return prefillCtx.Err() == nil && g.router.Accepts(engine.ID) }
		askedAt := g.clock.Now()
		result := g.transport.Reserve(ctx, engine, holds.id, mayWrite)
		g.log.Debug("place", "id", holds.id, "engine", engine.ID, "answer", int(result))
		switch result {
		case ReserveHeld, ReserveRefused:
			g.releaser.engineAnswered(engine)
		}
		if result == ReserveUnknown && ctx.Err() != nil { // timed out; an unclear answer ends the call without that
			holds.markAbandoned(engine)
			g.liveness.unanswered(engine.ID, "reservation")
		}
		switch {
		case result != ReserveHeld && result != ReserveUnknown:
		case prefillCtx.Err() != nil:
			holds.addLateReservation(engine, askedAt)
		default:
			holds.addReservation(engine, askedAt, classifyReservation(result, ctx.Err() != nil))
		}
		if result == ReserveUnknown || result == ReserveNotSent {
			return
		}
		engine, ok = g.router.ReportReservation(holds.id, step.Attempt, engine.ID, result == ReserveHeld)
	}
}

// classifyReservation translates the outcome of a Reserve call after which the engine may hold a
// reservation.
func classifyReservation(result ReserveResult, timedOut bool) reservationState {
	switch {
	case result == ReserveHeld:
		return reservationConfirmed
	case timedOut:
		return reservationUnanswered
	}
	return reservationWithoutPrefill
}

// recoverPanic runs f and logs a panic in it, so that background work cannot end the process.
func (g *Gateway) recoverPanic(f func()) {
	defer func() {
		if value := recover(); value != nil {
			g.log.Error("panic", "value", value, "stack", string(debug.Stack()))
		}
	}()
	f()
}
