// Command ashwood is the gateway: it takes clients' requests and routes each
// to a reader and a writer.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/config"
	"ashwood.example/ashwood/internal/platform"
)

const (
	// After SIGTERM clients keep coming for a while; what comes is served.
	drainTime = 500 * time.Millisecond
	// Of the memory limit, what the runtime may use before it collects harder.
	memoryShare = 0.75
	// Of the sockets, what clients and engines may have; the rest is for the runtime.
	clientShare, engineShare = 0.5, 0.4
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level()}))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "ashwood:", err)
		os.Exit(1)
	}
}

func level() slog.Level {
	if os.Getenv("ASHWOOD_LOG") == "debug" {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

func run(log *slog.Logger) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * memoryShare * (1 << 20)))

	sockets := float64(cfg.Limits.Sockets)
	c := clock.System()
	engines := platform.NewEngines(cfg.Settings, c, int(sockets*engineShare))
	gw, err := gateway.New(cfg.Settings, cfg.Seed, engines, c, log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	gw.Update(ashwood.ListStale, cfg.Known.Engines)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go gw.Run(context.Background())
	go platform.NewDiscovery(cfg.Discovery, c, log, gw.Update).Run(context.Background(), cfg.Known.Generation, len(cfg.Known.Engines) > 0)

	server := platform.NewServer(gw, log, int(sockets*clientShare))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
	select {
	case err := <-ended:
		return errors.Join(errors.New("the server has ended"), err)
	case <-ctx.Done():
	}
	server.Drain()
	time.Sleep(drainTime)
	return server.Shutdown(context.Background())
}
