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

// Config is what an emulator needs.
type Config struct {
	Plan *scenario.Plan
	IP   string // of all its listeners; "" = 127.83.0.1
	GRPC bool   // boxes speak gRPC too
	// Unlisted says that gateways have a list of their own, which nobody changes:
	// they are told of no drain, and the rule on drains binds them to nothing.
	StaticMembership bool
	Rules            rules.Limits // that the checker holds gateways to; zero = the platform's
	Clock            clock.Clock
	Log              *slog.Logger
}

// DefaultIP is a loopback address that clients' own ports do not come from, so
// that a box finds its address free when it comes back.
const DefaultIP = "127.83.0.1"

// sweepEvery is how often the rules on what is held are looked at, in ms.
const sweepEvery = 100.0

// Emulator is a fleet on sockets. Each gateway reaches each box, and its agent
// of discovery, at addresses of its own.
type Emulator struct {
	plan   *scenario.Plan
	listed bool
	clock  clock.Clock
	log    *slog.Logger
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	driver *driver
	rules  *rules.Checker
	views  [][]*view // by gateway and box
	boxes  map[string]int
	http   *http.Server
	grpc   *grpc.Server
	agents []*agent
	serves sync.WaitGroup

	lists struct {
		sync.Mutex
		*news.Lists
		waiters map[chan struct{}]struct{}
		stop    func() bool
	}

	began float64
	dirty struct { // boxes whose condition has changed, in order
		sync.Mutex
		boxes []string
		news  chan struct{}
	}
	fallen    map[string]bool // of the goroutine that follows changes
	malformed sync.Map        // text of a gateway's malformed requests
}

// view is a box as one gateway reaches it.
type view struct {
	gateway int
	spec    engine.Spec
	reads   bool
	oneWay  float64 // ms between the two
	http    *gate
	grpc    *gate
}

// New opens all listeners. The scenario's time does not run before Begin.
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
		plan: cfg.Plan, listed: !cfg.StaticMembership, clock: cfg.Clock, log: cfg.Log, rules: rules.New(cfg.Rules), boxes: map[string]int{}, began: now,
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.dirty.news, e.fallen = make(chan struct{}, 1), map[string]bool{}
	e.driver = newDriver(fleet, cfg.Clock, e.mark)
	e.lists.Lists = news.New(cfg.Plan, now)
	e.lists.waiters = map[chan struct{}]struct{}{}
	if err := e.listen(cfg); err != nil {
		return nil, errors.Join(err, e.Close())
	}
	e.serve(e.follow)
	var sweep func()
	sweep = func() {
		if e.ctx.Err() != nil {
			return
		}
		e.rules.Sweep(e.clock.Now(), e.holding)
		e.clock.AfterFunc(sweepEvery, sweep)
	}
	e.clock.AfterFunc(sweepEvery, sweep)
	return e, nil
}

func (e *Emulator) listen(cfg Config) error {
	kinds := map[string]engine.Role{}
	for _, k := range cfg.Plan.Engine.Kinds {
		kinds[k.Name] = k.Role
	}
	for i, b := range cfg.Plan.Engine.Engines {
		e.boxes[b.ID] = i
	}
	e.serveHTTP()
	if cfg.GRPC {
		e.serveGRPC()
	}
	for g := range cfg.Plan.Gateways {
		views := make([]*view, 0, len(cfg.Plan.Engine.Engines))
		for _, b := range cfg.Plan.Engine.Engines {
			v := &view{gateway: g, spec: b, reads: kinds[b.Kind] == engine.RolePrefill, oneWay: cfg.Plan.Network.SameZoneMs}
			if b.Zone != cfg.Plan.Zone(g) {
				v.oneWay = cfg.Plan.Network.CrossZoneMs
			}
			views = append(views, v)
			var err error
			if v.http, err = e.gate(cfg.IP, b.ID); err != nil {
				return err
			}
			e.serve(func() error { return e.http.Serve(taggedListener{v.http, v}) })
			if !cfg.GRPC {
				continue
			}
			if v.grpc, err = e.gate(cfg.IP, b.ID); err != nil {
				return err
			}
			e.serve(func() error { return e.grpc.Serve(taggedListener{v.grpc, v}) })
		}
		e.views = append(e.views, views)
		a, err := e.openAgent(cfg.IP, g)
		if err != nil {
			return err
		}
		e.agents = append(e.agents, a)
	}
	return nil
}

func (e *Emulator) gate(ip, box string) (*gate, error) {
	return openGate(ip, func() (err error) {
		e.driver.do(func(f *engine.Fleet) { err = f.Connect(box) })
		return err
	}, func() { e.driver.do(func(f *engine.Fleet) { f.Disconnect(box) }) }, func(raw []byte) {
		for _, m := range attemptID.FindAllSubmatch(raw, -1) {
			e.rules.Unheard(e.clock.Now(), box, string(m[1])+string(m[2]))
		}
	})
}

// attemptID finds an attempt's id in what comes to a silent box: in HTTP/1.1's
// head, or in the message of a gRPC call to read or write (its first two fields).
var attemptID = regexp.MustCompile(`(?i:x-txn: )([0-9a-zA-Z_.:~-]+)|\x0a\x10([0-9a-f]{16})\x12`)

func (e *Emulator) serve(f func() error) {
	e.serves.Add(1)
	go func() {
		defer e.serves.Done()
		if err := f(); err != nil && e.ctx.Err() == nil {
			e.log.Error("a listener has ended", "err", err)
		}
	}()
}

// Begin starts the scenario's time: its faults come from now on.
func (e *Emulator) Start() error {
	var err error
	e.began = e.clock.Now()
	e.lists.Lock()
	e.lists.Lists = news.New(e.plan, e.began)
	e.lists.Unlock()
	e.driver.do(func(f *engine.Fleet) {
		err = e.begin(f)
		for _, fault := range e.plan.EngineFaults {
			fault.Start += e.began
			err = errors.Join(err, f.Inject(fault))
		}
	})
	e.advanceLists()
	return err
}

// begin fills readers with the shared beginnings that a fleet which has run for
// long would have: of each class in turn the most used ones.
func (e *Emulator) begin(f *engine.Fleet) error {
	kinds := map[string]engine.Kind{}
	for _, k := range e.plan.Engine.Kinds {
		kinds[k.Name] = k
	}
	for _, b := range e.plan.Engine.Engines {
		k := kinds[b.Kind]
		left := k.MemoryTokens * e.plan.Fleet.WarmPrefixShare
		for n, more := 0, k.Role == engine.RolePrefill; more; n++ {
			more = false
			for class, c := range e.plan.Load.Classes {
				if n >= c.Prefixes {
					continue
				}
				name, tokens := e.plan.Prefix(class, n)
				if left -= float64(tokens); left < 0 {
					break
				}
				more = true
				if err := f.Keep(b.ID, engine.Prompt{Shared: name, SharedTokens: float64(tokens), Tokens: float64(tokens)}); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// Began is the scenario's begin on the clock.
func (e *Emulator) StartedAt() float64 { return e.began }

// mark notes that a box has changed. It may be called from within a change, such
// as by the connections that it closes; follow takes them one by one.
func (e *Emulator) mark(box string) {
	e.dirty.Lock()
	e.dirty.boxes = append(e.dirty.boxes, box)
	e.dirty.Unlock()
	select {
	case e.dirty.news <- struct{}{}:
	default:
	}
}

func (e *Emulator) follow() error {
	for {
		select {
		case <-e.dirty.news:
		case <-e.ctx.Done():
			return nil
		}
		for {
			e.dirty.Lock()
			list := e.dirty.boxes
			e.dirty.boxes = nil
			e.dirty.Unlock()
			if len(list) == 0 {
				break
			}
			for _, box := range list {
				e.changed(box)
			}
		}
	}
}

// changed carries a box's new condition to its listeners and to discovery.
func (e *Emulator) changed(box string) {
	var c engine.Condition
	var started float64
	e.driver.do(func(f *engine.Fleet) {
		c, _ = f.Condition(box)
		started = f.StartedAt(box)
	})
	now := e.clock.Now()
	i := e.boxes[box]
	e.log.Info("box", "id", box, "state", c.State, "fallen", c.Fallen, "draining", c.Draining, "hung", c.Hung, "at_ms", now-e.began)
	for _, views := range e.views {
		for _, g := range []*gate{views[i].http, views[i].grpc} {
			if g == nil {
				continue
			}
			if err := g.become(c.State); err != nil && e.ctx.Err() == nil {
				e.log.Error("a box's listener", "box", box, "err", err)
			}
		}
	}
	if c.State != engine.Up {
		e.rules.Stopped(box)
	}
	if c.Fallen && !e.fallen[box] {
		e.rules.Fell(now, box)
	}
	e.fallen[box] = c.Fallen
	e.lists.Lock()
	e.lists.Box(now, e.plan.Engine.Engines[i], c, started)
	e.lists.Unlock()
	e.advanceLists()
}

// become has a gate do what a box's state says, where it does something else.
func (g *gate) become(s engine.State) error {
	g.mu.Lock()
	was := engine.Up
	switch {
	case g.l == nil:
		was = engine.Down
	case g.blocked:
		was = engine.Silent
	}
	g.mu.Unlock()
	if s == was {
		return nil
	}
	switch s {
	case engine.Down:
		g.refuse()
		return nil
	case engine.Silent:
		return g.silence()
	}
	return g.open()
}

// holding lists the boxes that hold something for a request.
func (e *Emulator) holding(id string) (boxes []string) {
	e.driver.do(func(f *engine.Fleet) { boxes = f.Holding(id) })
	return boxes
}

// closeWait bounds how long Close waits for what is being served.
const closeWait = 5 * time.Second

// Close ends all that New began.
func (e *Emulator) Close() error {
	e.cancel()
	e.driver.close()
	for _, views := range e.views {
		for _, v := range views {
			for _, g := range []*gate{v.http, v.grpc} {
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
		ctx, cancel := context.WithTimeout(context.Background(), closeWait)
		defer cancel()
		if err := e.http.Shutdown(ctx); err != nil {
			errs = append(errs, fmt.Errorf("emulator: %w", errors.Join(err, e.http.Close())))
		}
	}
	e.serves.Wait()
	return errors.Join(errs...)
}
