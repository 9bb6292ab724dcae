// Package router is ashwood as a library: an application makes a Router, starts it, sends
// requests through it, and stops it. The daemon and the middleware are built on it, so that
// the gateway behaves the same embedded or standalone. Package router owns admission,
// shutdown and the choice of transport and membership sources; the root package decides where
// a request goes, and package gateway carries its attempts out.
//
// A Router reads no environment variables, handles no signals and has no global state; two
// Routers share nothing. After Shutdown or Close has returned, none of its goroutines, timers
// or connections is left, and no engine holds KV state or a reservation for it.
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

// Config configures a Router.
type Config struct {
	Settings         ashwood.Settings
	Seed             int64            // of the random numbers
	Limits           limits.Config    // admission limits; the zero value admits all requests
	LastKnownEngines []ashwood.Server // initial membership, possibly stale
	// DrainMs is how long requests are still admitted after Shutdown has begun, while clients
	// are being directed to other gateways.
	DrainMs float64
}

// Source reports the membership of the fleet.
type Source interface {
	// Run passes each snapshot or delta to update until ctx ends. An error means that it
	// can't continue; the current membership stays.
	Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) error
}

// Transport carries attempts to engines; see gateway.Transport.
type Transport interface {
	gateway.Transport
	// RetainOnly gets each membership snapshot, to drop its state of all other engines.
	RetainOnly(engines []ashwood.Server)
	// Close closes all connections and stops all timers.
	Close()
}

// Router routes requests to the engines of a fleet.
type Router struct {
	cfg       Config
	gateway   *gateway.Gateway
	transport Transport
	sources   []Source
	clock     gateway.Clock
	logger    *slog.Logger
	onDrain   func()
	onRefuse  func()

	ctx        context.Context // for the sources and the gateway's timers
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex
	machine      *lifecycle.Machine
	limiter      *limits.Limiter
	active       map[lifecycle.ID]*activeRequest
	answerTimers []func() bool // stop functions of SetLifetime's timers
	wakeStop     chan struct{} // wakes runStop to step the machine
	stopOnce     sync.Once     // starts runStop
	done         chan struct{} // closed when runStop returns
	refusedLate  int           // requests refused because of the shutdown
	givenUp      int           // requests without an answer at the answer deadline
	endedByStop  int           // requests that the shutdown had to end
	unreleased   int           // of them, those not released in time
}

// activeRequest is a request that has been admitted and has not ended.
type activeRequest struct {
	ticket limits.Ticket
	cancel context.CancelCauseFunc
}

// options are the optional parameters of New and of the sources.
type options struct {
	clock     gateway.Clock
	logger    *slog.Logger
	transport func(ashwood.Settings, gateway.Clock) (Transport, error)
	sources   []Source
	onDrain   func()
	onRefuse  func()
}

// Option sets an optional parameter of New or of a source.
type Option func(*options)

// WithClock sets the clock; the default is the system clock.
func WithClock(c gateway.Clock) Option { return func(o *options) { o.clock = c } }

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.logger = l } }

// WithSource adds a membership source. Without one, the application must call UpdateMembership.
func WithSource(s Source) Option { return func(o *options) { o.sources = append(o.sources, s) } }

// WithTransport sets the constructor of the transport to engines, which gets the Router's
// settings and clock. The default is HTTPEngines.
func WithTransport(newTransport func(ashwood.Settings, gateway.Clock) (Transport, error)) Option {
	return func(o *options) { o.transport = newTransport }
}

// WithStopHooks sets functions that a shutdown calls, for the application's servers: onDrain
// when clients should be directed to other gateways, onRefuse once requests are refused.
// Neither may block.
func WithStopHooks(onDrain, onRefuse func()) Option {
	return func(o *options) { o.onDrain, o.onRefuse = onDrain, onRefuse }
}

// defaultConnections limits the connections of the default transport.
const defaultConnections = 256

// New makes a Router. It does nothing until Start is called.
func New(cfg Config, opts ...Option) (*Router, error) {
	o := resolveOptions(opts)
	limiter, err := limits.New(cfg.Limits)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	if !(cfg.DrainMs >= 0) || math.IsInf(cfg.DrainMs, 0) {
		return nil, fmt.Errorf("router: DrainMs: %v is not a valid duration", cfg.DrainMs)
	}
	transport, err := o.transport(cfg.Settings, o.clock)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	if l, ok := transport.(interface{ SetLogger(*slog.Logger) }); ok {
		l.SetLogger(o.logger)
	}
	core, err := gateway.New(cfg.Settings, cfg.Seed, transport, o.clock, o.logger)
	if err != nil {
		transport.Close()
		return nil, fmt.Errorf("router: settings: %w", err)
	}
	r := &Router{
		cfg: cfg, gateway: core, transport: transport, sources: o.sources, clock: o.clock, logger: o.logger, onDrain: o.onDrain, onRefuse: o.onRefuse,
		machine: lifecycle.NewMachine(), limiter: limiter, active: map[lifecycle.ID]*activeRequest{}, wakeStop: make(chan struct{}, 1), done: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, nil
}

// Start starts the membership sources and begins to admit requests. It does not wait for the
// first membership report: until that arrives, requests wait for it or are refused.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.machine.Start(); err != nil {
		return fmt.Errorf("router: %w", err)
	}
	r.gateway.UpdateMembership(ashwood.MembershipStale, r.cfg.LastKnownEngines)
	r.goroutines.Go(func() { r.gateway.Run(r.ctx) })
	for _, s := range r.sources {
		r.goroutines.Go(func() {
			if err := s.Run(r.ctx, r.UpdateMembership); err != nil && r.ctx.Err() == nil {
				r.logger.Error("membership source failed; keeping the current membership", "err", err)
			}
		})
	}
	return nil
}

// UpdateMembership applies a membership update, as from a Source.
func (r *Router) UpdateMembership(form ashwood.MembershipForm, engines []ashwood.Server) {
	r.gateway.UpdateMembership(form, engines)
	if form == ashwood.MembershipSnapshot {
		r.transport.RetainOnly(engines)
	}
}

// Phase returns the current phase of the router's lifecycle.
func (r *Router) Phase() lifecycle.Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Phase()
}

// WriteMetrics writes the router's counters since its start and its gauges in the statsd
// format, one name:value|kind per line; see package metrics for what each counts.
func (r *Router) WriteMetrics(w io.Writer) error {
	listed, avoided := r.gateway.CountEngines()
	holds, oldest := r.gateway.Holds()
	return r.gateway.Metrics().WriteStatsd(w, metricsPrefix, metrics.Gauges{
		OpenRequests: r.InFlight(), Engines: listed, EnginesAvoided: avoided, OpenHolds: holds, OldestHoldAge: oldest,
	})
}

const metricsPrefix = "app" // of all metric names; documented for operators

// SetProcesses sets how many processes, this one included, run as one gateway during a
// handover. The scheduling rules count them as one, and each transport keeps to its share of
// the connection limit.
func (r *Router) SetProcesses(processes int) {
	r.gateway.SetProcesses(processes)
	if t, ok := r.transport.(interface{ SetProcesses(int) }); ok {
		t.SetProcesses(processes)
	}
}

// InFlight returns the number of requests that are admitted and have not ended.
func (r *Router) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Active()
}

// RetryAfter returns how many ms a client should wait whose request a front refuses by
// itself; 0 = no advice.
func (r *Router) RetryAfter() float64 { return r.gateway.RetryAfter() }

// RecordRefusal counts a request that a front refuses by itself because it is overloaded, and
// returns how many ms its client should wait, as RetryAfter does.
func (r *Router) RecordRefusal(class string) float64 { return r.gateway.RecordRefusal(class) }

// Serve carries a request to its final reply: refused, failed, or served with a stream that
// has its first piece. It is for fronts; a request that limits refuse gets a refused reply
// like any other. The end of ctx means that the client has disconnected. The caller must
// close a served reply's stream.
func (r *Router) Serve(ctx context.Context, req *gateway.Request) (gateway.Reply, error) {
	reply, err := r.serve(ctx, req)
	switch {
	case err != nil || reply.Kind == gateway.Failed:
		r.gateway.Metrics().RequestEnded(req.Class, metrics.Faulted)
	case reply.Kind == gateway.Refused:
		r.gateway.Metrics().RequestEnded(req.Class, metrics.Throttled)
	}
	return reply, err
}

func (r *Router) serve(ctx context.Context, req *gateway.Request) (gateway.Reply, error) {
	id, entry, err := r.admit(req)
	if err != nil {
		reqlog.Write(r.logger, newLogEntry(req, reqlog.Refused, err.Error()))
	} else {
		reqlog.Write(r.logger, newLogEntry(req, reqlog.Admitted, ""))
	}
	var refusal *limits.Refusal
	switch {
	case errors.As(err, &refusal):
		return gateway.Reply{Kind: gateway.Refused, RetryAfter: refusal.RetryAfter, Err: err}, nil
	case errors.Is(err, lifecycle.ErrStopping):
		r.increment(&r.refusedLate)
		return gateway.Reply{Kind: gateway.Refused, RetryAfter: r.gateway.RetryAfter(), Err: ErrShuttingDown}, nil
	case err != nil:
		return gateway.Reply{}, fmt.Errorf("router: %w", err)
	}
	requestCtx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	entry.cancel = cancel
	r.mu.Unlock()
	reply, err := r.gateway.Serve(requestCtx, req)
	if err == nil && reply.Kind == gateway.Served {
		r.mu.Lock()
		mayStream := r.machine.AnswerStarted(id)
		r.mu.Unlock()
		answer := r.newStream(requestCtx, id, req.Class, reply.Stream)
		if mayStream {
			reply.Stream = answer
			return reply, nil
		}
		answer.counted = true // Serve counts it as failed
		answer.Close()
		return gateway.Reply{Kind: gateway.Failed, Err: ErrShuttingDown}, nil
	}
	endedByStop := errors.Is(context.Cause(requestCtx), ErrShuttingDown)
	if endedByStop || reply.Reason == ashwood.ReasonShutdown {
		r.increment(&r.givenUp)
		reqlog.Write(r.logger, newLogEntry(req, reqlog.Ended, "the process's time to answer is up"))
	}
	r.release(id)
	if endedByStop && reply.Kind == gateway.ClientGone {
		reply = r.shutdownReply(req.Class)
	}
	return reply, err
}

// increment adds one to a counter of r under its mutex.
func (r *Router) increment(counter *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

// newLogEntry makes the log entry of a request's new state.
func newLogEntry(req *gateway.Request, state reqlog.State, reason string) reqlog.Change {
	return reqlog.Change{ID: string(req.ID), Class: req.Class, State: state, Remaining: req.Remaining, Reason: reason}
}

// admit admits a request, or returns the reason for refusing it.
func (r *Router) admit(req *gateway.Request) (lifecycle.ID, *activeRequest, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, err := r.machine.Admit(r.clock.Now())
	if err != nil {
		return 0, nil, err
	}
	ticket, err := r.limiter.Admit(r.clock.Now(), limits.Request{
		Front: req.Front, Class: req.Class, Tenant: req.Tenant, Addr: req.ClientAddr, Tokens: req.PromptTokens + req.MaxOutputTokens,
	})
	if err != nil {
		r.machine.Remove(id)
		return 0, nil, err
	}
	entry := &activeRequest{ticket: ticket, cancel: func(error) {}}
	r.active[id] = entry
	return id, entry, nil
}

// release removes a request that has ended from the lifecycle machine and the limiter.
// Calling it again has no effect.
func (r *Router) release(id lifecycle.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.active[id]
	if entry == nil {
		return
	}
	delete(r.active, id)
	r.machine.Remove(id)
	r.limiter.Release(r.clock.Now(), &entry.ticket)
	entry.cancel(nil)
	r.notifyStop()
}

// notifyStop wakes runStop, if a shutdown is in progress.
func (r *Router) notifyStop() {
	select {
	case r.wakeStop <- struct{}{}:
	default:
	}
}
