package main

import (
	"errors"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"

	"ashwood.example/ashwood/internal/admin"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/config"
	"ashwood.example/ashwood/internal/handover"
	"ashwood.example/ashwood/internal/reqlog"
)

const (
	// heapGrowthPercent is the garbage collector's target (GOGC). With a live heap of a few
	// MB, collecting at 50 % is cheap and keeps the process small over time.
	heapGrowthPercent = 50
	// memoryLimitShare is the runtime's soft memory limit as a share of the machine's limit;
	// beyond it the runtime collects more often.
	memoryLimitShare = 0.75
	// Shares of the allowed sockets for clients' and engines' connections and for the gRPC
	// front; the rest is for the runtime.
	clientSocketShare, engineSocketShare, grpcSocketShare = 0.45, 0.42, 0.08
	// ownMemoryMB is what the process needs itself, and httpMemoryShare and grpcMemoryShare the shares of the rest for
	// the requests of each front's clients. They get minHTTPMemoryMB and minGRPCMemoryMB in any case: a few requests
	// of the largest size.
	ownMemoryMB                      = 24
	httpMemoryShare, minHTTPMemoryMB = 0.25, 2
	grpcMemoryShare, minGRPCMemoryMB = 0.15, 1
)

// daemon runs one process of the gateway: it opens the fronts, serves and shuts down.
type daemon struct {
	clock         clock.Clock
	cfg           config.Config
	operator      config.Operator
	log           *slog.Logger
	phase         phase
	notice        *shutdownNotice // when the process was asked to shut down
	reload        chan os.Signal  // SIGHUP: the configuration may have changed
	processes     *processGroup
	fronts        []front
	platformFront atomic.Pointer[front] // the HTTP/1.1 front; nil until it is open
}

// run serves until SIGTERM.
func run() error {
	c := clock.System()
	// Signals are handled first: they may arrive before the process serves, and an unhandled
	// SIGHUP would end it.
	notice, stop := watchSignals(c)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	operator, err := config.LoadOperator(os.Getenv, cfg)
	if err != nil {
		return err
	}
	d := &daemon{clock: c, cfg: cfg, operator: operator, notice: notice, reload: reload}
	d.phase.set(starting)
	d.log = reqlog.WithPhase(operator.Log.Logger(os.Stderr), d.phase.current)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetGCPercent(heapGrowthPercent)
	return d.run()
}

// run opens the admin server and the fronts, serves and shuts down.
func (d *daemon) run() error {
	adminServer, adminAddr, err := openAdmin(d.cfg.AdminAddress, d.cfg.Limits.Sockets, &d.phase, d.varsReply, d.log)
	if err != nil {
		return err
	}
	if adminServer != nil {
		defer adminServer.Close()
	}
	memory := int64(d.cfg.Limits.MemoryMB * memoryLimitShare * (1 << 20))
	d.processes = joinProcessGroup(os.Getenv("TMPDIR"), d.cfg.Listen, memory, d.clock, d.log)
	defer d.processes.leave()
	err = d.openFronts()
	if errors.Is(err, errStoppedBeforeServing) {
		d.log.Info("shutdown: told to end before it served")
		return nil
	}
	if err != nil {
		return err
	}
	defer d.processes.receiveStreams(*d.platformFront.Load())()
	d.processes.watch(d.fronts)
	if err := d.serve(adminServer, adminAddr); err != nil {
		return err
	}
	return d.shutdown()
}

// varsReply returns the admin reply to vars: the metrics, or the phase until the platform's
// front is open.
func (d *daemon) varsReply() string {
	if f := d.platformFront.Load(); f != nil {
		return metricsReply(*f)
	}
	return "NO " + d.phase.current() + "\n"
}

// openFronts opens the fronts and subscribes them to the shutdown notice.
func (d *daemon) openFronts() error {
	if d.operator.GRPC != nil {
		f, err := openGRPC(d.notice, d.cfg, *d.operator.GRPC, d.operator.Limits, d.clock, d.log)
		if err != nil {
			return err
		}
		d.fronts = append(d.fronts, f)
	}
	f, err := openPlatform(d.notice, d.cfg, d.operator.Limits, d.processes, d.clock, d.log)
	if err != nil {
		return err
	}
	d.fronts = append(d.fronts, f)
	d.platformFront.Store(&f)
	for _, f := range d.fronts {
		d.notice.subscribe(d.cfg.Settings, f.setLifetime)
	}
	return nil
}

// serve serves until the process is asked to shut down.
func (d *daemon) serve(adminServer *admin.Server, adminAddr net.Addr) error {
	ended := make(chan error, len(d.fronts))
	addrs := []any{"name", d.cfg.Name}
	for _, f := range d.fronts {
		go func() { ended <- f.serve() }()
		addrs = append(addrs, f.name, f.addr)
	}
	if adminServer != nil {
		addrs = append(addrs, "mgmt", adminAddr)
	}
	d.processes.announce(handover.Serving)
	d.phase.set(serving)
	d.log.Info("serving", addrs...)
	for d.notice.Err() == nil {
		select {
		case err := <-ended:
			return errors.Join(errors.New("a front stopped serving"), err)
		case <-d.reload:
			d.reloadConfig()
		case <-d.notice.Done():
		}
	}
	return nil
}

// shutdown accepts requests for a little longer and finishes those accepted. Requests that
// can't finish in time are ended by the deadline that the fronts got from the notice.
func (d *daemon) shutdown() error {
	d.phase.set(stopping)
	noticedAt := d.clock.Now()
	lifetime := d.notice.lifetime(d.cfg.Settings)
	d.log.Info("shutdown: told to end", "take_ms", lifetime.AdmitUntil-d.clock.Now(), "answer_ms", lifetime.AnswerBy-d.clock.Now())
	d.processes.announce(handover.Leaving)
	for _, f := range d.fronts {
		f.drain()
	}
	d.processes.handOverStreams(d.fronts)
	d.reloadUntil(d.timerChannel(lifetime.AcceptUntil(noticedAt)))
	d.log.Info("shutdown: closing the listeners")
	for _, f := range d.fronts {
		go f.stopAccepting()
	}
	d.reloadUntil(d.timerChannel(lifetime.AdmitUntil))
	d.log.Info("shutdown: drain period is over, no new requests are accepted")

	errs := make([]error, len(d.fronts))
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		var all sync.WaitGroup
		for i, f := range d.fronts {
			all.Go(func() { errs[i] = f.shutdown() })
		}
		all.Wait()
	}()
	d.reloadUntil(finished)
	d.log.Info("shutdown: complete")
	return errors.Join(errs...)
}

// timerChannel returns a channel that is closed when the clock reaches a time.
func (d *daemon) timerChannel(when float64) <-chan struct{} {
	reached := make(chan struct{})
	d.clock.AfterFunc(when-d.clock.Now(), func() { close(reached) })
	return reached
}

// reloadUntil handles reloads until done is closed: engines may drain and discovery's address
// may change while accepted requests finish.
func (d *daemon) reloadUntil(done <-chan struct{}) {
	for {
		select {
		case <-d.reload:
			d.reloadConfig()
		case <-done:
			return
		}
	}
}

// reloadConfig reads the configuration again and applies what may change while requests run.
// A faulty file changes nothing.
func (d *daemon) reloadConfig() {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		d.log.Error("reload: configuration rejected, the running one stays in use", "err", err)
		return
	}
	for _, f := range d.fronts {
		f.reload(cfg)
	}
}
