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
	// The heap may grow by this share of what lives before it is collected. At
	// a few MB that is cheap, and the process stays small on a long day.
	heapGrowth = 50
	// Of the memory limit, what the runtime may use before it collects harder.
	memoryShare = 0.75
	// Of the sockets, what clients and engines may have; the rest is for the runtime.
	clientShare, engineShare, grpcShare = 0.45, 0.42, 0.08
)

// daemon is this process of the gateway: it opens its fronts, serves, and shuts down.
type daemon struct {
	clock  clock.Clock
	cfg    config.Config
	op     config.Operator
	log    *slog.Logger
	phase  phase
	told   *notice        // when it is to end
	reload chan os.Signal // its configuration may have changed
	others *versions
	fronts []front
	main   atomic.Pointer[front] // the platform's, once it is open
}

// run serves until SIGTERM.
func run() error {
	c := clock.System()
	// Before all else: signals may come before it serves, and SIGHUP would end the program.
	told, stop := noticeSignals(c)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	op, err := config.LoadOperator(os.Getenv, cfg)
	if err != nil {
		return err
	}
	d := &daemon{clock: c, cfg: cfg, op: op, told: told, reload: reload}
	d.phase.set(starting)
	d.log = reqlog.WithPhase(op.Log.Logger(os.Stderr), d.phase.word)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetGCPercent(heapGrowth)
	return d.run()
}

func (d *daemon) run() error {
	mgmt, mgmtAddr, err := openAdmin(d.cfg.Mgmt, d.cfg.Limits.Sockets, &d.phase, d.vars, d.log)
	if err != nil {
		return err
	}
	if mgmt != nil {
		defer mgmt.Close()
	}
	memory := int64(d.cfg.Limits.MemoryMB * memoryShare * (1 << 20))
	d.others = joinVersions(os.Getenv("TMPDIR"), d.cfg.Listen, memory, d.clock, d.log)
	defer d.others.leave()
	err = d.open()
	if errors.Is(err, errToldEarly) {
		d.log.Info("shutdown: told to end before it served")
		return nil
	}
	if err != nil {
		return err
	}
	defer d.others.receive(*d.main.Load())()
	d.others.follow(d.fronts)
	if err := d.serve(mgmt, mgmtAddr); err != nil {
		return err
	}
	return d.shutdown()
}

// vars is the reply to operators who ask for the metrics.
func (d *daemon) vars() string {
	if f := d.main.Load(); f != nil {
		return metricsReply(*f)
	}
	return "NO " + d.phase.word() + "\n"
}

// open opens the fronts. From then on they know when the process is told to end.
func (d *daemon) open() error {
	if d.op.GRPC != nil {
		f, err := openGRPC(d.told, d.cfg, *d.op.GRPC, d.op.Limits, d.clock, d.log)
		if err != nil {
			return err
		}
		d.fronts = append(d.fronts, f)
	}
	f, err := openPlatform(d.told, d.cfg, d.op.Limits, d.others, d.clock, d.log)
	if err != nil {
		return err
	}
	d.fronts = append(d.fronts, f)
	d.main.Store(&f)
	for _, f := range d.fronts {
		d.told.subscribe(d.cfg.Settings, f.endBy)
	}
	return nil
}

// serve serves until the process is told to end.
func (d *daemon) serve(mgmt *admin.Server, mgmtAddr net.Addr) error {
	ended := make(chan error, len(d.fronts))
	addrs := []any{"name", d.cfg.Name}
	for _, f := range d.fronts {
		go func() { ended <- f.serve() }()
		addrs = append(addrs, f.name, f.addr)
	}
	if mgmt != nil {
		addrs = append(addrs, "mgmt", mgmtAddr)
	}
	d.others.tell(handover.Serving)
	d.phase.set(serving)
	d.log.Info("serving", addrs...)
	for d.told.Err() == nil {
		select {
		case err := <-ended:
			return errors.Join(errors.New("a server has ended"), err)
		case <-d.reload:
			d.readAgain()
		case <-d.told.Done():
		}
	}
	return nil
}

// shutdown takes requests for a little longer and finishes what was taken. What can't be
// finished in time is ended by the lifetime that the fronts have been told of.
func (d *daemon) shutdown() error {
	d.phase.set(stopping)
	noticed := d.clock.Now()
	life := d.told.lifetime(d.cfg.Settings)
	d.log.Info("shutdown: told to end", "take_ms", life.AdmitUntil-d.clock.Now(), "answer_ms", life.AnswerBy-d.clock.Now())
	d.others.tell(handover.Leaving)
	for _, f := range d.fronts {
		f.drain()
	}
	d.others.bequeath(d.fronts)
	d.reloadUntil(d.at(life.AcceptUntil(noticed)))
	d.log.Info("shutdown: no new connection is accepted")
	for _, f := range d.fronts {
		go f.stopAccepting()
	}
	d.reloadUntil(d.at(life.AdmitUntil))
	d.log.Info("shutdown: the drain time is over")

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
	d.log.Info("shutdown: nothing is left")
	return errors.Join(errs...)
}

// at gives a channel that is closed at a time.
func (d *daemon) at(when float64) <-chan struct{} {
	over := make(chan struct{})
	d.clock.AfterFunc(when-d.clock.Now(), func() { close(over) })
	return over
}

// reloadUntil follows the configuration until done: engines still drain, and discovery still
// moves, while what was taken goes on.
func (d *daemon) reloadUntil(done <-chan struct{}) {
	for {
		select {
		case <-d.reload:
			d.readAgain()
		case <-done:
			return
		}
	}
}

// readAgain reads the configuration again for what may change while requests run. A faulty
// file changes nothing.
func (d *daemon) readAgain() {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		d.log.Error("reload: the configuration in use stays", "err", err)
		return
	}
	for _, f := range d.fronts {
		f.reload(cfg)
	}
}
