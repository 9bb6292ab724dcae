package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"

	"golang.org/x/net/netutil"

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

// front is one of the program's servers.
type front struct {
	name          string
	addr          net.Addr
	serve         func() error
	drain         func()       // clients are to go elsewhere
	stopAccepting func()       // close the listener once what waits there is accepted; shutdown waits for it
	shutdown      func() error // take nothing more, finish what was taken
	reload        func(config.Config)
	vars          func(io.Writer) error       // its metrics
	share         func(processes int)         // keep to one's part of what the machine allows
	yield         func(bool)                  // while a newer process serves, clients are to go there
	give          func(platform.HandoverFunc) // hand begun answers to another process
	take          func([]byte, net.Conn, net.Conn) error
	endBy         func(lifecycle.Lifetime)
}

// errToldEarly says that the process was told to end before it took any client.
var errToldEarly = errors.New("told to end before serving")

// openPlatform sets up the platform's protocol.
func openPlatform(term *notice, cfg config.Config, limit limits.Config, others *versions, c clock.Clock, log *slog.Logger) (front, error) {
	sockets := float64(cfg.Limits.Sockets)
	opts := []router.Option{router.WithClock(c), router.WithLogger(log)}
	d := router.NewPlatform(cfg.Discovery, opts...)
	d.Configure(cfg.Settings, cfg.Seed)
	known := cfg.Known.Engines
	if len(known) > 0 {
		d.ResumeFrom(cfg.Known.Generation)
	}
	source := &heard{Source: d, first: make(chan struct{})}
	r, err := router.New(router.Config{Settings: cfg.Settings, Seed: cfg.Seed, LastKnownEngines: known, Limits: limit},
		append(opts, router.WithSource(source), router.WithTransport(router.HTTPEngines(int(sockets*engineShare))))...)
	if err != nil {
		return front{}, err
	}
	if err := r.Start(); err != nil {
		return front{}, err
	}
	others.await(term, source.first)
	if term.Err() != nil {
		return front{}, errors.Join(errToldEarly, r.Close())
	}
	l, err := handover.Listen(cfg.Listen)
	if err != nil {
		return front{}, errors.Join(err, r.Close())
	}
	if !others.alone() {
		if err := handover.Steer(l, others.plan.Processes); err != nil {
			log.Warn("upgrade: the older process goes on getting new connections", "err", err)
		}
	}
	s := platform.NewServer(settled{r, term}, log, int(sockets*clientShare))
	return front{
		name: "listen", addr: l.Addr(), serve: func() error { return s.Serve(l) }, drain: s.Drain, stopAccepting: s.StopAccepting,
		shutdown: func() error {
			err := s.Shutdown(context.Background())
			return errors.Join(err, r.Shutdown(context.Background()))
		},
		reload: func(cfg config.Config) { d.SetAddress(cfg.Discovery) }, vars: r.WriteMetrics,
		share: func(processes int) {
			r.SetProcesses(processes)
			s.SetProcesses(processes)
			d.SetProcesses(processes)
		},
		yield: s.DisableKeepAlives, give: s.SetHandover, take: s.Adopt,
		endBy: func(l lifecycle.Lifetime) {
			r.SetLifetime(l)
			s.ExpireReadsAfter(clock.Duration(l.AnswerBy - c.Now()))
		},
	}, nil
}

// openGRPC sets up the gRPC front, with a list of boxes of its own.
func openGRPC(term *notice, cfg config.Config, op config.GRPC, limit limits.Config, c clock.Clock, log *slog.Logger) (front, error) {
	opts := []router.Option{router.WithClock(c), router.WithLogger(log), router.WithTransport(router.GRPCEngines(op.BoxCredentials))}
	if x := op.XDS; x == nil {
		opts = append(opts, router.WithSource(router.Static(op.Boxes)))
	} else {
		source := router.XDS{Server: x.Server, Node: x.Node, Clusters: x.Clusters, Credentials: x.Credentials}
		opts = append(opts, router.WithSource(source.With(opts...)))
	}
	r, err := router.New(router.Config{Settings: cfg.Settings, Seed: cfg.Seed, Limits: limit}, opts...)
	if err != nil {
		return front{}, err
	}
	l, err := handover.Listen(op.Listen)
	if err != nil {
		return front{}, fmt.Errorf("grpc: %w", err)
	}
	l = netutil.LimitListener(listen.Persistent(l, log), int(float64(cfg.Limits.Sockets)*grpcShare))
	if err := r.Start(); err != nil {
		return front{}, err
	}
	s := grpcfront.NewServer(settled{r, term}, cfg.Settings, op.Credentials, c, log)
	return front{
		name: "grpc", addr: l.Addr(), serve: func() error { return s.Serve(l) }, drain: s.Drain, stopAccepting: s.Shutdown,
		shutdown: func() error {
			s.Shutdown()
			return r.Shutdown(context.Background())
		},
		reload: func(config.Config) {}, // its boxes have a list of their own
		vars:   r.WriteMetrics, share: r.SetProcesses, yield: func(bool) {}, give: func(platform.HandoverFunc) {},
		endBy: r.SetLifetime,
	}, nil
}
