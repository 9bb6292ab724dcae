// Package router is ashwood as a library: an application makes a Router, starts
// it, sends requests through it, and stops it. The daemon and the middleware are
// built from it, so that embedded or not it behaves the same.
//
// A Router reads no environment, catches no signal and keeps nothing global; two
// of them share nothing. After Shutdown or Close has returned, none of its
// goroutines, timers or connections is left, and nothing is held for it anywhere.
package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"sync"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/metrics"
	"ashwood.example/ashwood/internal/reqlog"
	"ashwood.example/ashwood/lifecycle"
	"ashwood.example/ashwood/limits"
)

// Config says how a Router decides.
type Config struct {
	Settings         ashwood.Settings
	Seed             int64            // for random numbers
	Limits           limits.Config    // of what is let in; the zero value lets all in
	LastKnownEngines []ashwood.Server // the list as it was last known, maybe out of date
	// DrainMs is for how long requests are still taken once Shutdown has begun and
	// clients are being sent elsewhere.
	DrainMs float64
}

// Source tells of the fleet's engines.
type Source interface {
	// Run tells update of each change until ctx ends. An error says that it can't
	// go on; the list in hand stays.
	Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) error
}

// Transport carries attempts to engines; see gateway.Transport.
type Transport interface {
	gateway.Transport
	// Keep is told of each whole list, to forget engines that are not on it.
	RetainOnly(list []ashwood.Server)
	// Close ends all connections and timers.
	Close()
}

// Router routes requests.
type Router struct {
	cfg       Config
	gw        *gateway.Gateway
	transport Transport
	sources   []Source
	clock     gateway.Clock
	log       *slog.Logger
	drained   func()
	refused   func()

	ctx     context.Context // of the sources and the gateway's timers
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	life    *lifecycle.Machine
	limit   *limits.Limiter
	active  map[lifecycle.ID]*activeRequest
	endings []func() bool // timers of EndBy
	changed chan struct{} // something is to be looked at by the stop
	once    sync.Once     // begins the stop
	done    chan struct{} // closed when it is over
	late    int           // requests refused because the process ends
	gaveUp  int           // requests whose answer had not begun when the process's time was up
	ended   int           // requests that the stop had to end
	left    int           // of them, those that did not let go in time
}

// activeRequest is a request that has been admitted and has not ended.
type activeRequest struct {
	ticket limits.Ticket
	cancel context.CancelCauseFunc
}

// options are what New may be told beside the Config.
type options struct {
	clock     gateway.Clock
	log       *slog.Logger
	transport func(ashwood.Settings, gateway.Clock) (Transport, error)
	sources   []Source
	drained   func()
	refused   func()
}

// Option changes what a Router is made from.
type Option func(*options)

// WithClock has a Router take its time from c, the machine's without it.
func WithClock(c gateway.Clock) Option { return func(o *options) { o.clock = c } }

// WithLogger has a Router log; without it, it does not.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithSource adds a source of membership; with none, Update is to be called.
func WithSource(s Source) Option { return func(o *options) { o.sources = append(o.sources, s) } }

// WithTransport has a Router reach engines over a transport that make makes with
// the Router's own clock. Without it, they are reached over HTTP/1.1.
func WithTransport(make func(ashwood.Settings, gateway.Clock) (Transport, error)) Option {
	return func(o *options) { o.transport = make }
}

// WithStopHooks has a stop tell the application's servers: drained when clients
// are to be sent elsewhere, refused once nothing more is taken. Neither may block.
func WithStopHooks(drained, refused func()) Option {
	return func(o *options) { o.drained, o.refused = drained, refused }
}

// defaultConnections bounds those to engines over HTTP/1.1.
const defaultConnections = 256

// New makes a router. It does nothing before Start.
func New(cfg Config, opts ...Option) (*Router, error) {
	o := resolve(opts)
	limit, err := limits.New(cfg.Limits)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	if !(cfg.DrainMs >= 0) || math.IsInf(cfg.DrainMs, 0) {
		return nil, fmt.Errorf("router: DrainMs: %v is no time", cfg.DrainMs)
	}
	t, err := o.transport(cfg.Settings, o.clock)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	if l, ok := t.(interface{ Log(*slog.Logger) }); ok {
		l.Log(o.log)
	}
	gw, err := gateway.New(cfg.Settings, cfg.Seed, t, o.clock, o.log)
	if err != nil {
		t.Close()
		return nil, fmt.Errorf("router: settings: %w", err)
	}
	r := &Router{
		cfg: cfg, gw: gw, transport: t, sources: o.sources, clock: o.clock, log: o.log, drained: o.drained, refused: o.refused,
		life: lifecycle.NewMachine(), limit: limit, active: map[lifecycle.ID]*activeRequest{}, changed: make(chan struct{}, 1), done: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, nil
}

// Start begins to follow the sources and to take requests. It does not wait for
// a list: until one is there, requests wait for it or are refused.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.life.Start(); err != nil {
		return fmt.Errorf("router: %w", err)
	}
	r.gw.UpdateMembership(ashwood.MembershipStale, r.cfg.LastKnownEngines)
	r.running.Go(func() { r.gw.Run(r.ctx) })
	for _, s := range r.sources {
		r.running.Go(func() {
			if err := s.Run(r.ctx, r.Update); err != nil && r.ctx.Err() == nil {
				r.log.Error("a source of membership has ended; the list in hand stays", "err", err)
			}
		})
	}
	return nil
}

// Update tells of news of the engines, as a Source does.
func (r *Router) Update(form ashwood.MembershipForm, list []ashwood.Server) {
	r.gw.UpdateMembership(form, list)
	if form == ashwood.MembershipSnapshot {
		r.transport.RetainOnly(list)
	}
}

// Phase tells how far the router's life has come.
func (r *Router) Phase() lifecycle.Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life.Phase()
}

// Vars writes the router's counts since its start and its gauges, one name:value|kind a
// line, for operators; see the package metrics for what counts when.
func (r *Router) WriteMetrics(w io.Writer) error {
	listed, avoided := r.gw.Engines()
	holds, oldest := r.gw.Holds()
	return r.gw.Metrics().WriteStatsd(w, varsPrefix, metrics.Gauges{
		OpenRequests: r.InFlight(), Engines: listed, EnginesAvoided: avoided, OpenHolds: holds, OldestHoldAge: oldest,
	})
}

const varsPrefix = "app" // of the names, as the operators' page has them

// Share says how many processes, this one among them, count as one gateway to the rules
// while one takes the other's place. Connections are shared out by the transport's own limit.
func (r *Router) SetProcesses(processes int) {
	r.gw.SetProcesses(processes)
	if t, ok := r.transport.(interface{ SetProcesses(int) }); ok {
		t.SetProcesses(processes)
	}
}

// InFlight is the number of requests admitted and not ended.
func (r *Router) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life.Active()
}

// Pause is how long in ms a client is to stay away that a front refuses by
// itself; 0 = no advice.
func (r *Router) RetryAfter() float64 { return r.gw.RetryAfter() }

// TurnAway tells of a request that a front refuses by itself for want of room, and gives
// how long in ms its client is to stay away, as Pause does.
func (r *Router) TurnAway(class string) float64 { return r.gw.TurnAway(class) }

// Serve takes a request to its final answer, or to the beginning of one, for
// fronts: a request that a front turns away is refused like any other.
// When ctx ends, the client has left. A served reply's stream is to be closed.
func (r *Router) Serve(ctx context.Context, req *gateway.Request) (gateway.Reply, error) {
	reply, err := r.serve(ctx, req)
	switch {
	case err != nil || reply.Kind == gateway.Failed:
		r.gw.Metrics().RequestEnded(req.Class, metrics.Faulted)
	case reply.Kind == gateway.Refused:
		r.gw.Metrics().RequestEnded(req.Class, metrics.Throttled)
	}
	return reply, err
}

func (r *Router) serve(ctx context.Context, req *gateway.Request) (gateway.Reply, error) {
	id, v, err := r.enter(req)
	if err != nil {
		reqlog.Write(r.log, change(req, reqlog.Refused, err.Error()))
	} else {
		reqlog.Write(r.log, change(req, reqlog.Admitted, ""))
	}
	var refusal *limits.Refusal
	switch {
	case errors.As(err, &refusal):
		return gateway.Reply{Kind: gateway.Refused, RetryAfter: refusal.RetryAfter, Err: err}, nil
	case errors.Is(err, lifecycle.ErrStopping):
		r.count(&r.late)
		return gateway.Reply{Kind: gateway.Refused, RetryAfter: r.gw.RetryAfter(), Err: ErrShuttingDown}, nil
	case err != nil:
		return gateway.Reply{}, fmt.Errorf("router: %w", err)
	}
	vctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	v.cancel = cancel
	r.mu.Unlock()
	reply, err := r.gw.Serve(vctx, req)
	if err == nil && reply.Kind == gateway.Served {
		r.mu.Lock()
		begun := r.life.Began(id)
		r.mu.Unlock()
		s := r.stream(vctx, id, req.Class, reply.Stream)
		if begun {
			reply.Stream = s
			return reply, nil
		}
		s.over = true // it is counted as failed
		s.Close()
		return gateway.Reply{Kind: gateway.Failed, Err: ErrShuttingDown}, nil
	}
	ended := errors.Is(context.Cause(vctx), ErrShuttingDown)
	if ended || reply.Reason == ashwood.ReasonShutdown {
		r.count(&r.gaveUp)
		reqlog.Write(r.log, change(req, reqlog.Ended, "the process's time to answer is up"))
	}
	r.leave(id)
	if ended && reply.Kind == gateway.ClientGone {
		reply = r.unanswered(req.Class)
	}
	return reply, err
}

// count adds one to a count of the router's.
func (r *Router) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// change is a record of what has become of a request.
func change(req *gateway.Request, state reqlog.State, reason string) reqlog.Change {
	return reqlog.Change{ID: string(req.ID), Class: req.Class, State: state, Remaining: req.Remaining, Reason: reason}
}

// enter admits a request, or tells why not.
func (r *Router) enter(req *gateway.Request) (lifecycle.ID, *activeRequest, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, err := r.life.Enter(r.clock.Now())
	if err != nil {
		return 0, nil, err
	}
	ticket, err := r.limit.Admit(r.clock.Now(), limits.Request{
		Front: req.Front, Class: req.Class, Tenant: req.Tenant, Addr: req.ClientAddr, Tokens: req.PromptTokens + req.MaxOutputTokens,
	})
	if err != nil {
		r.life.Leave(id)
		return 0, nil, err
	}
	v := &activeRequest{ticket: ticket, cancel: func(error) {}}
	r.active[id] = v
	return id, v, nil
}

// leave gives a request's place back. Again, it does nothing.
func (r *Router) leave(id lifecycle.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.active[id]
	if v == nil {
		return
	}
	delete(r.active, id)
	r.life.Leave(id)
	r.limit.Release(r.clock.Now(), &v.ticket)
	v.cancel(nil)
	r.signal()
}

func (r *Router) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}
