// Command ashwood is the gateway: it takes clients' requests and routes each
// to a reader and a writer.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"

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

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ashwood:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM.
func run() error {
	c := clock.System()
	term, stop := noticeSignals(c) // before all else: the process may be told before it serves
	defer stop()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	op, err := config.LoadOperator(os.Getenv, cfg)
	if err != nil {
		return err
	}
	var now phase
	now.set(starting)
	log := reqlog.WithPhase(op.Log.Logger(os.Stderr), now.word)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetGCPercent(heapGrowth)
	hup := make(chan os.Signal, 1) // the default would end the program
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)

	var serves atomic.Pointer[front] // the platform's
	mgmt, mgmtAddr, err := openAdmin(cfg.Mgmt, cfg.Limits.Sockets, &now, func() string {
		if f := serves.Load(); f != nil {
			return metricsReply(*f)
		}
		return "NO " + now.word() + "\n"
	}, log)
	if err != nil {
		return err
	}
	if mgmt != nil {
		defer mgmt.Close()
	}
	others := joinVersions(os.Getenv("TMPDIR"), cfg.Listen, int64(cfg.Limits.MemoryMB*memoryShare*(1<<20)), c, log)
	defer others.leave()
	fronts := make([]front, 0, 2)
	addrs := []any{"name", cfg.Name}
	if op.GRPC != nil {
		f, err := openGRPC(term, cfg, *op.GRPC, op.Limits, c, log)
		if err != nil {
			return err
		}
		fronts = append(fronts, f)
	}
	f, err := openPlatform(term, cfg, op.Limits, others, c, log)
	if errors.Is(err, errToldEarly) {
		log.Info("shutdown: told to end before it served")
		return nil
	}
	if err != nil {
		return err
	}
	fronts = append(fronts, f)
	serves.Store(&f)
	for _, f := range fronts {
		term.subscribe(cfg.Settings, f.endBy)
	}

	defer others.receive(f)()
	others.follow(fronts)
	ended := make(chan error, len(fronts))
	for _, f := range fronts {
		go func() { ended <- f.serve() }()
	}
	for _, f := range fronts {
		addrs = append(addrs, f.name, f.addr)
	}
	if mgmt != nil {
		addrs = append(addrs, "mgmt", mgmtAddr)
	}
	others.tell(handover.Serving)
	now.set(serving)
	log.Info("serving", addrs...)
	for term.Err() == nil {
		select {
		case err := <-ended:
			return errors.Join(errors.New("a server has ended"), err)
		case <-hup:
			reload(log, fronts)
		case <-term.Done():
		}
	}
	now.set(stopping)
	life := term.lifetime(cfg.Settings)
	log.Info("shutdown: told to end", "take_ms", life.TakeUntil-c.Now(), "answer_ms", life.AnswerBy-c.Now())
	others.tell(handover.Leaving)
	for _, f := range fronts {
		f.drain()
	}
	others.bequeath(fronts)
	drained := make(chan struct{})
	defer c.AfterFunc(life.TakeUntil-c.Now(), func() { close(drained) })()
	for open := true; open; {
		select {
		case <-hup:
			reload(log, fronts)
		case <-drained:
			open = false
		}
	}
	log.Info("shutdown: the drain time is over")
	errs := make([]error, len(fronts))
	var all sync.WaitGroup
	for i, f := range fronts {
		all.Go(func() { errs[i] = f.shutdown() })
	}
	left := make(chan struct{})
	go func() {
		all.Wait()
		close(left)
	}()
	for open := true; open; {
		select {
		case <-hup: // engines still join and drain while what was taken goes on
			reload(log, fronts)
		case <-left:
			open = false
		}
	}
	log.Info("shutdown: nothing is left")
	return errors.Join(errs...)
}

// reload reads the configuration again for what may change while requests run.
// A faulty file changes nothing.
func reload(log *slog.Logger, fronts []front) {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("reload: the configuration in use stays", "err", err)
		return
	}
	for _, f := range fronts {
		f.reload(cfg)
	}
}
