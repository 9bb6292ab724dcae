// Package gateway takes a request through its life: pick an engine, attempt,
// ask for a place ahead, report, let go, and give one final answer. It knows
// no wire: fronts call Serve, transports carry its attempts to engines.
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

// Times of the calls around an attempt, in milliseconds.
const (
	reserveWait = 400  // for the answer to a place asked ahead
	probeWait   = 800  // as long as the decisions wait for one: an engine at work answers late
	stopWait    = 3500 // of a begun answer's silence, from when on it may have stopped
	stopLook    = 250  // between looks at it then
	stallWait   = 4500 // for its next piece in any case: a client may be left waiting for 5 s (PROTOCOL, Figures)
)

// Gateway routes requests.
type Gateway struct {
	router    *ashwood.Router
	transport Transport
	clock     Clock
	log       *slog.Logger
	holdTime  float64        // ms in which what is held must be taken; 0 = not told
	probes    bool           // are allowed
	beside    sync.WaitGroup // what runs beside requests: places, releases, probes
	owner     *owner         // of what is held and wanted no more
	live      *liveness
	holdLog   *holdLog
	metrics   *metrics.Counters
	endsAt    atomic.Uint64 // by when all have their answer, as the process ends; bits of ms, 0 = not told
	pulses    pulses        // of engines with answers open
}

// New makes a gateway. Run must be running for it to serve.
func New(set ashwood.Settings, seed int64, transport Transport, c Clock, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{transport: transport, clock: c, log: log, holdTime: clock.Millis(set.Rules.ReleaseTimeout), probes: set.Limits.Probes}
	names := make([]string, len(set.Classes))
	for i, class := range set.Classes {
		names[i] = class.Name
	}
	g.metrics = metrics.New(names)
	g.live, g.holdLog = newLiveness(log, c), newHoldLog(log, c, g.metrics)
	g.owner = newOwner(g, set, seed)
	var err error
	g.router, err = ashwood.NewRouter(set, seed, c, func(v ashwood.Server) { g.spawn(func() { g.probe(v) }) })
	return g, err
}

// Run runs the router's timers until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	for ctx.Err() == nil {
		g.guard(func() { g.tick(ctx) })
	}
}

func (g *Gateway) tick(ctx context.Context) {
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

// Update tells the gateway of news of the list of engines.
func (g *Gateway) UpdateMembership(form ashwood.MembershipForm, list []ashwood.Server) {
	g.router.Update(form, list)
	g.owner.update(form, list)
	if g.log.Enabled(context.Background(), slog.LevelDebug) {
		for _, v := range list {
			g.log.Debug("news", "engine", v.ID, "address", v.Address, "kind", v.Kind, "zone", v.Zone, "cell", v.Cell, "state", int(v.State), "started", clock.Millis(v.Started))
		}
	}
}

// Metrics are this gateway's counts. Attempts are counted here, the ends of requests by
// who gives the answers.
func (g *Gateway) Metrics() *metrics.Counters { return g.metrics }

// Holds tells how many holds engines may have for requests, and for how many ms the oldest has stood.
func (g *Gateway) Holds() (open int, oldest float64) { return g.holdLog.figures() }

// Engines counts the engines in the list and those avoided now; see ashwood.Router.
func (g *Gateway) Engines() (listed, avoided int) { return g.router.CountEngines() }

// Share says how many processes count as this one gateway; see ashwood.Router.
func (g *Gateway) SetProcesses(processes int) { g.router.SetProcesses(processes) }

// EndBy tells by when, in ms of the clock, each request must have its answer, because the
// process ends then; see ashwood.Router.
func (g *Gateway) SetAnswerDeadline(at float64) {
	g.endsAt.Store(math.Float64bits(at))
	g.router.ShutdownBy(at)
}

// TurnAway tells of a request that a front refuses by itself for want of room, and gives
// how long its client is to stay away, as Pause does.
func (g *Gateway) TurnAway(class string) float64 {
	g.metrics.RequestEnded(class, metrics.Throttled)
	return g.RetryAfter()
}

// Pause is how long in ms a client is to stay away that a front must refuse by
// itself, for want of room; 0 = no advice.
func (g *Gateway) RetryAfter() float64 { return g.router.RetryAfter() }

// Serve takes a request to its final answer, or to the beginning of one. When
// ctx ends, the client has left; ctx bounds a served stream too, which the
// caller must close. An error means that the request was not taken.
func (g *Gateway) Serve(ctx context.Context, req *Request) (Reply, error) {
	begun := g.clock.Now()
	reply, err := g.serve(ctx, req)
	if s, ok := reply.Stream.(*stream); ok {
		s.class, s.begun = req.Class, begun
	}
	g.log.Debug("answer", "id", req.ID, "class", req.Class, "kind", reply.Kind, "ms", g.clock.Now()-begun,
		"why", reply.Reason, "err", err)
	return reply, err
}

func (g *Gateway) serve(ctx context.Context, req *Request) (Reply, error) {
	step, err := g.router.Pick(ctx, req.RequestInfo)
	if err != nil {
		return Reply{}, err
	}
	planned := g.clock.Now() // the step
	h := g.owner.holds(req.ID)
	var last error
	reason := "first"
	for {
		final := step.Kind != ashwood.StepSend && step.Kind != ashwood.StepRelease
		if step.Release {
			h.release(final)
		}
		switch step.Kind {
		case ashwood.StepSend:
			h.overdue()
			step.Timeout -= g.clock.Now() - planned // releases may have taken their time
			g.record(req, step, reqlog.Attempt, reason)
			ans, next := g.attempt(ctx, req, step, h)
			reason = "after " + statusName(ans.Status)
			if answered(ans.Status) {
				g.owner.heard(step.Engine)
			} else if ans.Status != ashwood.StatusNotSent && ans.Status != ashwood.StatusCancelled {
				g.owner.unheard(step.Engine, "attempt", false)
			}
			if ans.Err != nil {
				last = ans.Err
			}
			if ans.Stream != nil {
				return Reply{Kind: Served, Stream: ans.Stream}, nil
			}
			step, planned = next, g.clock.Now()
		case ashwood.StepRelease:
			step, planned = g.router.Next(req.ID), g.clock.Now()
		case ashwood.StepRefuse:
			return Reply{Kind: Refused, RetryAfter: step.RetryAfter, Reason: step.Reason, Err: last}, nil
		case ashwood.StepFail:
			return Reply{Kind: Failed, Reason: step.Reason, Err: last}, nil
		default:
			return Reply{Kind: ClientGone, Err: ErrClientGone}, nil
		}
	}
}

// attempt sends a request once. It gives either a begun answer's stream or,
// after it has reported how the attempt ended, the next step.
func (g *Gateway) attempt(ctx context.Context, req *Request, step ashwood.Step, h *holds) (AttemptResult, ashwood.Step) {
	begun := g.clock.Now()
	actx, cancel := context.WithCancelCause(step.Context)
	stop := g.clock.AfterFunc(step.Timeout, func() { cancel(ErrFirstTokenTimeout) })
	ans := g.transport.Send(actx, Attempt{
		Request: req, Engine: step.Engine, Prefill: step.Prefill, NonIdempotent: step.NonRepeatable, Remaining: step.Timeout,
		MayWrite: func() bool {
			late := step.SendBefore > 0 && g.clock.Now() >= step.SendBefore
			if late || actx.Err() != nil || !g.router.Accepts(step.Engine.ID) {
				return false
			}
			h.pause(true)
			return true
		},
		OnSent: func() {
			g.record(req, step, reqlog.Sent, "")
			h.sent(step.Engine, step.Prefill)
			g.metrics.AttemptRelayed(req.Class)
			if step.ReserveAt.ID != "" {
				g.spawn(func() { g.reserve(actx, step, h) })
			}
		},
	})
	inTime := stop() && actx.Err() == nil
	g.log.Debug("attempt", "id", req.ID, "class", req.Class, "engine", step.Engine.ID, "kind", step.Engine.Kind,
		"attempt", step.Attempt, "status", ans.Status, "ms", g.clock.Now()-begun, "err", ans.Err)
	if ans.Status == ashwood.StatusServed {
		if inTime && g.router.AnswerStarted(req.ID, step.Attempt) {
			h.begin()
			ans.Stream = &stream{Stream: ans.Stream, g: g, ctx: ctx, id: req.ID, attempt: step.Attempt, engine: step.Engine, pulse: g.pulses.enter(step.Engine.ID), cancel: cancel}
			return ans, ashwood.Step{}
		}
		ans.Stream.Close()
		ans.Stream, ans.Status = nil, ashwood.StatusConnectionLost
	}
	// An attempt that was given up may have run, unless its last byte never left.
	if ans.Status == ashwood.StatusConnectionLost && !inTime {
		ans.Status = ashwood.StatusCancelled
		if errors.Is(context.Cause(actx), ErrFirstTokenTimeout) {
			ans.Status, ans.Err = ashwood.StatusTimedOut, ErrFirstTokenTimeout
		}
	}
	cancel(nil)
	switch ans.Status {
	case ashwood.StatusConnectFailed, ashwood.StatusNotSent:
		h.pause(false)
	case ashwood.StatusRejected, ashwood.StatusServerError:
		h.turnedAway()
	default:
		h.ended(answered(ans.Status))
	}
	if ans.Status == ashwood.StatusConnectionLost || ans.Status == ashwood.StatusCancelled || ans.Status == ashwood.StatusTimedOut {
		h.doubt(step.Engine)
	}
	return ans, g.router.ReportResult(req.ID, step.Attempt, ans.Result)
}

// record logs what has become of a request's attempt, with the time that its engine is told.
func (g *Gateway) record(req *Request, step ashwood.Step, state reqlog.State, reason string) {
	reqlog.Write(g.log, reqlog.Change{
		ID: string(req.ID), Class: req.Class, State: state, Attempt: step.Attempt, Engine: string(step.Engine.ID), Remaining: step.Timeout, Reason: reason,
	})
}

func (g *Gateway) spawn(f func()) { g.beside.Go(func() { g.guard(f) }) }

// Wait waits for what runs beside requests: places asked for, releases, probes.
// Each ends by itself, releases after releaseStop, or where the process has longer to live, then. It is
// called once nothing is served any more.
func (g *Gateway) Wait() {
	patience := float64(releaseStop)
	if at := math.Float64frombits(g.endsAt.Load()); at > 0 {
		patience = min(max(patience, at+releaseRest-g.clock.Now()), releaseStopMost)
	}
	defer g.clock.AfterFunc(patience, g.owner.abandon)()
	g.owner.wait()
	g.beside.Wait()
}

// statusName names how an attempt ended, for records.
func statusName(s ashwood.Status) string {
	switch s {
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

// answered tells whether an attempt's end shows that its engine runs and is heard.
func answered(s ashwood.Status) bool {
	return s == ashwood.StatusServed || s == ashwood.StatusPrefilled || s == ashwood.StatusRejected || s == ashwood.StatusServerError
}

// reserve asks for places ahead while a read is out. Each writer is let go of by
// itself, once its own answer is there: a release before might be overtaken by the call.
func (g *Gateway) reserve(reading context.Context, step ashwood.Step, h *holds) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer g.clock.AfterFunc(reserveWait, cancel)()
	for v, ok := step.ReserveAt, true; ok; {
		ready := func() bool { return reading.Err() == nil && g.router.Accepts(v.ID) }
		asked := g.clock.Now()
		place := g.transport.Reserve(ctx, v, h.id, ready)
		g.log.Debug("place", "id", h.id, "engine", v.ID, "answer", int(place))
		switch place {
		case ReserveHeld, ReserveRefused:
			g.owner.heard(v)
		}
		if place == ReserveUnknown && ctx.Err() != nil { // given up; an answer that tells nothing ends the call
			h.doubt(v)
			g.live.unanswered(v.ID, "reservation")
		}
		switch {
		case place != ReserveHeld && place != ReserveUnknown:
		case reading.Err() != nil:
			h.addLate(v)
		default:
			h.reserved(v, asked, reservationAnswer(place, ctx.Err() != nil))
		}
		if place == ReserveUnknown || place == ReserveNotSent {
			return
		}
		v, ok = g.router.ReportReservation(h.id, step.Attempt, v.ID, place == ReserveHeld)
	}
}

func reservationAnswer(place ReserveResult, givenUp bool) reservation {
	switch {
	case place == ReserveHeld:
		return reservationHeld
	case givenUp:
		return reservationNoAnswer
	}
	return reservationUnknown
}

// guard keeps a panic beside a request from ending the process.
func (g *Gateway) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			g.log.Error("panic", "value", p, "stack", string(debug.Stack()))
		}
	}()
	f()
}
