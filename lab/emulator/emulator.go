package emulator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"regexp"
	"sync"
	"time"

	"google.golang.org/grpc"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/news"
	"ashwood.example/ashwood/lab/rules"
	"ashwood.example/ashwood/lab/scenario"
)

// Config holds what an emulator is made from.
type Config struct {
	Plan *scenario.Plan
	IP   string // of all its listeners; "" = 127.83.0.1
	GRPC bool   // engines serve gRPC too
	// StaticMembership says that gateways have a fixed membership of their own: they
	// are notified of no drain, and the rule on drains does not apply to them.
	StaticMembership bool
	Rules            rules.Limits // that the checker holds gateways to; zero = the platform's
	Clock            clock.Clock
	Log              *slog.Logger
}

// DefaultIP is a loopback address that clients' ephemeral ports are not taken from,
// so that a restarted engine finds its address free.
const DefaultIP = "127.83.0.1"

// sweepInterval is the time between sweeps of the rule checker, in ms.
const sweepInterval = 100.0

// Emulator is a fleet on sockets. Each gateway reaches each engine, and its
// discovery agent, at addresses of its own.
type Emulator struct {
	plan             *scenario.Plan
	followsDiscovery bool
	clock            clock.Clock
	log              *slog.Logger
	ctx              context.Context // cancelled by Close
	cancel           context.CancelFunc
	driver           *driver
	rules            *rules.Checker
	endpoints        [][]*endpoint // by gateway and engine
	engineIndex      map[string]int
	http             *http.Server
	grpc             *grpc.Server
	agents           []*agent
	servers          sync.WaitGroup

	discovery struct {
		sync.Mutex
		*news.Discovery
		waiters map[chan struct{}]struct{}
		stop    func() bool
	}

	startedAt float64
	changed   struct { // ids of engines whose condition has changed, in order
		sync.Mutex
		ids   []string
		ready chan struct{}
	}
	coldCrashed map[string]bool // used only by the goroutine of applyChanges
	malformed   sync.Map        // errors of the gateways' malformed requests
}

// endpoint is an engine as one gateway reaches it.
type endpoint struct {
	gateway int
	spec    engine.Spec
	prefill bool
	oneWay  float64 // network delay in ms between the two
	http    *gatedListener
	grpc    *gatedListener
}

// New opens all listeners. The scenario's time does not run before Start.
func New(cfg Config) (*Emulator, error) {
	if cfg.IP == "" {
		cfg.IP = DefaultIP
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System()
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Rules == (rules.Limits{}) {
		cfg.Rules = rules.PlatformLimits()
	}
	now := cfg.Clock.Now()
	fleet, err := engine.New(cfg.Plan.Engine, now)
	if err != nil {
		return nil, err
	}
	e := &Emulator{
		plan: cfg.Plan, followsDiscovery: !cfg.StaticMembership, clock: cfg.Clock, log: cfg.Log, rules: rules.New(cfg.Rules), engineIndex: map[string]int{}, startedAt: now,
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.changed.ready, e.coldCrashed = make(chan struct{}, 1), map[string]bool{}
	e.driver = newDriver(fleet, cfg.Clock, e.conditionChanged)
	e.discovery.Discovery = news.New(cfg.Plan, now)
	e.discovery.waiters = map[chan struct{}]struct{}{}
	if err := e.listen(cfg); err != nil {
		return nil, errors.Join(err, e.Close())
	}
	e.runServer(e.applyChanges)
	var sweep func()
	sweep = func() {
		if e.ctx.Err() != nil {
			return
		}
		e.rules.Sweep(e.clock.Now(), e.enginesHolding)
		e.clock.AfterFunc(sweepInterval, sweep)
	}
	e.clock.AfterFunc(sweepInterval, sweep)
	return e, nil
}

func (e *Emulator) listen(cfg Config) error {
	kinds := map[string]engine.Role{}
	for _, k := range cfg.Plan.Engine.Kinds {
		kinds[k.Name] = k.Role
	}
	for i, spec := range cfg.Plan.Engine.Engines {
		e.engineIndex[spec.ID] = i
	}
	e.serveHTTP()
	if cfg.GRPC {
		e.serveGRPC()
	}
	for g := range cfg.Plan.Gateways {
		endpoints := make([]*endpoint, 0, len(cfg.Plan.Engine.Engines))
		for _, spec := range cfg.Plan.Engine.Engines {
			ep := &endpoint{gateway: g, spec: spec, prefill: kinds[spec.Kind] == engine.RolePrefill, oneWay: cfg.Plan.Network.SameMs}
			if spec.Zone != cfg.Plan.Zone(g) {
				ep.oneWay = cfg.Plan.Network.CrossMs
			}
			endpoints = append(endpoints, ep)
			var err error
			if ep.http, err = e.newListener(cfg.IP, spec.ID); err != nil {
				return err
			}
			e.runServer(func() error { return e.http.Serve(taggedListener{ep.http, ep}) })
			if !cfg.GRPC {
				continue
			}
			if ep.grpc, err = e.newListener(cfg.IP, spec.ID); err != nil {
				return err
			}
			e.runServer(func() error { return e.grpc.Serve(taggedListener{ep.grpc, ep}) })
		}
		e.endpoints = append(e.endpoints, endpoints)
		a, err := e.startAgent(cfg.IP, g)
		if err != nil {
			return err
		}
		e.agents = append(e.agents, a)
	}
	return nil
}

func (e *Emulator) newListener(ip, engineID string) (*gatedListener, error) {
	return newGatedListener(ip, func() (err error) {
		e.driver.do(func(f *engine.Fleet) { err = f.Connect(engineID) })
		return err
	}, func() { e.driver.do(func(f *engine.Fleet) { f.Disconnect(engineID) }) }, func(raw []byte) {
		for _, m := range attemptIDPattern.FindAllSubmatch(raw, -1) {
			e.rules.AttemptUndelivered(e.clock.Now(), engineID, string(m[1])+string(m[2]))
		}
	})
}

// attemptIDPattern finds an attempt's id in what is sent to an unreachable engine: in
// the HTTP/1.1 head, or in the message of a gRPC Read or Write call (its first two
// fields).
var attemptIDPattern = regexp.MustCompile(`(?i:x-txn: )([0-9a-zA-Z_.:~-]+)|\x0a\x10([0-9a-f]{16})\x12`)

func (e *Emulator) runServer(f func() error) {
	e.servers.Add(1)
	go func() {
		defer e.servers.Done()
		if err := f(); err != nil && e.ctx.Err() == nil {
			e.log.Error("server failed", "err", err)
		}
	}()
}

// Start starts the scenario's time: its faults are counted from now.
func (e *Emulator) Start() error {
	var err error
	e.startedAt = e.clock.Now()
	e.discovery.Lock()
	e.discovery.Discovery = news.New(e.plan, e.startedAt)
	e.discovery.Unlock()
	e.driver.do(func(f *engine.Fleet) {
		err = e.preloadCaches(f)
		for _, fault := range e.plan.EngineFaults {
			fault.Start += e.startedAt
			err = errors.Join(err, f.Inject(fault))
		}
	})
	e.advanceDiscovery()
	return err
}

// preloadCaches fills the prefix caches of prefill engines as in a fleet that has run
// for long: with the most used prefixes of each class in turn.
func (e *Emulator) preloadCaches(f *engine.Fleet) error {
	kinds := map[string]engine.Kind{}
	for _, k := range e.plan.Engine.Kinds {
		kinds[k.Name] = k
	}
	for _, spec := range e.plan.Engine.Engines {
		k := kinds[spec.Kind]
		remaining := k.MemoryTokens * e.plan.Fleet.InitialPrefixShare
		for n, more := 0, k.Role == engine.RolePrefill; more; n++ {
			more = false
			for class, c := range e.plan.Load.Classes {
				if n >= c.Prefixes {
					continue
				}
				name, tokens := e.plan.Prefix(class, n)
				if remaining -= float64(tokens); remaining < 0 {
					break
				}
				more = true
				if err := f.PreloadCache(spec.ID, engine.Prompt{Prefix: name, PrefixTokens: float64(tokens), Tokens: float64(tokens)}); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// StartedAt returns the scenario's start on the clock.
func (e *Emulator) StartedAt() float64 { return e.startedAt }

// conditionChanged records that an engine's condition has changed. It may be called
// while a change is applied, for instance through the connections that the change
// closes; applyChanges handles the changes one by one.
func (e *Emulator) conditionChanged(engineID string) {
	e.changed.Lock()
	e.changed.ids = append(e.changed.ids, engineID)
	e.changed.Unlock()
	select {
	case e.changed.ready <- struct{}{}:
	default:
	}
}

func (e *Emulator) applyChanges() error {
	for {
		select {
		case <-e.changed.ready:
		case <-e.ctx.Done():
			return nil
		}
		for {
			e.changed.Lock()
			list := e.changed.ids
			e.changed.ids = nil
			e.changed.Unlock()
			if len(list) == 0 {
				break
			}
			for _, engineID := range list {
				e.applyCondition(engineID)
			}
		}
	}
}

// applyCondition carries an engine's new condition to its listeners and to discovery.
func (e *Emulator) applyCondition(engineID string) {
	var c engine.Condition
	var started float64
	e.driver.do(func(f *engine.Fleet) {
		c, _ = f.Condition(engineID)
		started = f.StartedAt(engineID)
	})
	now := e.clock.Now()
	i := e.engineIndex[engineID]
	e.log.Info("box", "id", engineID, "state", c.State, "fallen", c.ColdCrashed, "draining", c.Draining, "hung", c.Hung, "at_ms", now-e.startedAt)
	for _, endpoints := range e.endpoints {
		for _, g := range []*gatedListener{endpoints[i].http, endpoints[i].grpc} {
			if g == nil {
				continue
			}
			if err := g.setState(c.State); err != nil && e.ctx.Err() == nil {
				e.log.Error("cannot change the state of an engine's listener", "box", engineID, "err", err)
			}
		}
	}
	if c.State != engine.Up {
		e.rules.EngineStopped(engineID)
	}
	if c.ColdCrashed && !e.coldCrashed[engineID] {
		e.rules.EngineColdCrashed(now, engineID)
	}
	e.coldCrashed[engineID] = c.ColdCrashed
	e.discovery.Lock()
	e.discovery.ConditionChanged(now, e.plan.Engine.Engines[i], c, started)
	e.discovery.Unlock()
	e.advanceDiscovery()
}

// setState brings the listener into the engine's state, if it is in another one.
func (g *gatedListener) setState(s engine.State) error {
	g.mu.Lock()
	current := engine.Up
	switch {
	case g.listener == nil:
		current = engine.Down
	case g.blocked:
		current = engine.Silent
	}
	g.mu.Unlock()
	if s == current {
		return nil
	}
	switch s {
	case engine.Down:
		g.stop()
		return nil
	case engine.Silent:
		return g.block()
	}
	return g.open()
}

// enginesHolding lists the engines that hold something for a request.
func (e *Emulator) enginesHolding(id string) (engineIDs []string) {
	e.driver.do(func(f *engine.Fleet) { engineIDs = f.EnginesHolding(id) })
	return engineIDs
}

// closeTimeout limits how long Close waits for requests in flight.
const closeTimeout = 5 * time.Second

// Close ends all that New started.
func (e *Emulator) Close() error {
	e.cancel()
	e.driver.close()
	for _, endpoints := range e.endpoints {
		for _, ep := range endpoints {
			for _, g := range []*gatedListener{ep.http, ep.grpc} {
				if g != nil {
					g.Close()
				}
			}
		}
	}
	var errs []error
	for _, a := range e.agents {
		errs = append(errs, a.close())
	}
	if e.grpc != nil {
		e.grpc.Stop()
	}
	if e.http != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := e.http.Shutdown(ctx); err != nil {
			errs = append(errs, fmt.Errorf("emulator: %w", errors.Join(err, e.http.Close())))
		}
	}
	e.servers.Wait()
	return errors.Join(errs...)
}
