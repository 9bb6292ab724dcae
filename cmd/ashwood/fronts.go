package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/config"
	"ashwood.example/ashwood/internal/grpcfront"
	"ashwood.example/ashwood/internal/handover"
	"ashwood.example/ashwood/internal/listen"
	"ashwood.example/ashwood/internal/platform"
	"ashwood.example/ashwood/lifecycle"
	"ashwood.example/ashwood/limits"
	"ashwood.example/ashwood/router"
)

// front is one of the process's servers with the router behind it.
type front struct {
	name              string
	addr              net.Addr
	serve             func() error
	drain             func()       // has clients go to other gateways
	stopAccepting     func()       // accepts the listener's queued connections, then closes it; shutdown waits for that
	shutdown          func() error // accepts no more requests and finishes the accepted ones
	reload            func(config.Config)
	writeMetrics      func(io.Writer) error
	setProcesses      func(processes int)                    // scales limits down to this process's share of the machine's
	disableKeepAlives func(bool)                             // while a newer process serves, so that clients reconnect to it
	setHandover       func(platform.HandoverFunc)            // has started answers handed over to another process
	adopt             func([]byte, net.Conn, net.Conn) error // continues another process's answer
	setLifetime       func(lifecycle.Lifetime)
}

// errStoppedBeforeServing reports a shutdown signal before the process accepted any client.
var errStoppedBeforeServing = errors.New("shut down before serving")

// openPlatform opens the front of the platform's protocol (HTTP/1.1).
func openPlatform(notice *shutdownNotice, cfg config.Config, limitConfig limits.Config, processes *processGroup, c clock.Clock, log *slog.Logger) (front, error) {
	sockets := float64(cfg.Limits.Sockets)
	options := []router.Option{router.WithClock(c), router.WithLogger(log)}
	discovery := router.NewPlatform(cfg.Discovery, options...)
	discovery.Configure(cfg.Settings, cfg.Seed)
	known := cfg.KnownMembership.Engines
	if len(known) > 0 {
		discovery.ResumeFrom(cfg.KnownMembership.Generation)
	}
	source := &firstUpdateSource{Source: discovery, received: make(chan struct{})}
	requestRouter, err := router.New(router.Config{Settings: cfg.Settings, Seed: cfg.Seed, LastKnownEngines: known, Limits: limitConfig},
		append(options, router.WithSource(source), router.WithTransport(router.HTTPEngines(int(sockets*engineSocketShare))))...)
	if err != nil {
		return front{}, err
	}
	if err := requestRouter.Start(); err != nil {
		return front{}, err
	}
	processes.awaitReady(notice, source.received)
	if notice.Err() != nil {
		return front{}, errors.Join(errStoppedBeforeServing, requestRouter.Close())
	}
	listener, err := handover.Listen(cfg.Listen)
	if err != nil {
		return front{}, errors.Join(err, requestRouter.Close())
	}
	if !processes.alone() {
		if err := handover.Steer(listener, processes.plan.Processes); err != nil {
			log.Warn("upgrade: can't steer new connections to this process; the older process still gets some", "err", err)
		}
	}
	server := platform.NewServer(signalCheckedRouter{requestRouter, notice}, log, int(sockets*clientSocketShare))
	server.LimitMemory(clientMemory(cfg.Limits.MemoryMB, httpMemoryShare, minHTTPMemoryMB))
	return front{
		name: "listen", addr: listener.Addr(), serve: func() error { return server.Serve(listener) }, drain: server.Drain, stopAccepting: server.StopAccepting,
		shutdown: func() error {
			err := server.Shutdown(context.Background())
			return errors.Join(err, requestRouter.Shutdown(context.Background()))
		},
		reload: func(cfg config.Config) { discovery.SetAddress(cfg.Discovery) }, writeMetrics: requestRouter.WriteMetrics,
		setProcesses: func(processes int) {
			requestRouter.SetProcesses(processes)
			server.SetProcesses(processes)
			discovery.SetProcesses(processes)
		},
		disableKeepAlives: server.DisableKeepAlives, setHandover: server.SetHandover, adopt: server.Adopt,
		setLifetime: func(lifetime lifecycle.Lifetime) {
			requestRouter.SetLifetime(lifetime)
			server.ExpireReadsAfter(clock.Duration(lifetime.AnswerBy - c.Now()))
		},
	}, nil
}

// clientMemory returns the bytes that the requests of a front's clients may need.
func clientMemory(memoryMB, share, minMB float64) int64 {
	return int64(max((memoryMB-ownMemoryMB)*share, minMB) * (1 << 20))
}

// openGRPC opens the gRPC front, which has an engine membership of its own.
func openGRPC(notice *shutdownNotice, cfg config.Config, grpcConfig config.GRPC, limitConfig limits.Config, c clock.Clock, log *slog.Logger) (front, error) {
	options := []router.Option{router.WithClock(c), router.WithLogger(log), router.WithTransport(router.GRPCEngines(grpcConfig.EngineCredentials))}
	if xdsConfig := grpcConfig.XDS; xdsConfig == nil {
		options = append(options, router.WithSource(router.Static(grpcConfig.Engines)))
	} else {
		source := router.XDS{Server: xdsConfig.Server, Node: xdsConfig.Node, Clusters: xdsConfig.Clusters, Credentials: xdsConfig.Credentials}
		options = append(options, router.WithSource(source.With(options...)))
	}
	requestRouter, err := router.New(router.Config{Settings: cfg.Settings, Seed: cfg.Seed, Limits: limitConfig}, options...)
	if err != nil {
		return front{}, err
	}
	listener, err := handover.Listen(grpcConfig.Listen)
	if err != nil {
		return front{}, fmt.Errorf("grpc: %w", err)
	}
	listener = listen.RetryAccept(listener, log)
	maxConns := int(float64(cfg.Limits.Sockets) * grpcSocketShare)
	if err := requestRouter.Start(); err != nil {
		return front{}, err
	}
	server := grpcfront.NewServer(signalCheckedRouter{requestRouter, notice}, cfg.Settings, grpcConfig.Credentials, clientMemory(cfg.Limits.MemoryMB, grpcMemoryShare, minGRPCMemoryMB), c, log)
	return front{
		name: "grpc", addr: listener.Addr(), serve: func() error { return server.Serve(listener, maxConns) }, drain: server.Drain, stopAccepting: server.Shutdown,
		shutdown: func() error {
			server.Shutdown()
			return requestRouter.Shutdown(context.Background())
		},
		reload:       func(config.Config) {}, // its engines don't come from the platform's discovery
		writeMetrics: requestRouter.WriteMetrics, disableKeepAlives: func(bool) {}, setHandover: func(platform.HandoverFunc) {},
		setProcesses: func(processes int) {
			requestRouter.SetProcesses(processes)
			server.SetProcesses(processes)
		},
		setLifetime: func(lifetime lifecycle.Lifetime) {
			requestRouter.SetLifetime(lifetime)
			server.ExpireReadsAfter(clock.Duration(lifetime.AnswerBy - c.Now()))
		},
	}, nil
}
