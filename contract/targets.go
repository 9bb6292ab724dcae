// Package contract tests that every way of using ashwood behaves the same: the daemon, the
// library in net/http, in Fiber and in a gRPC host, and called directly. Its tests run the same
// scenarios against each, with the lab's emulated engines, and expect the same answers.
package contract

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v3"
	"google.golang.org/grpc"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/wire"
	"ashwood.example/ashwood/lab/emulator"
	"ashwood.example/ashwood/lab/load"
	"ashwood.example/ashwood/lab/rules"
	"ashwood.example/ashwood/lab/scenario"
	"ashwood.example/ashwood/middleware"
	"ashwood.example/ashwood/router"
)

// Targets are the names of the ways of using ashwood.
var Targets = []string{"daemon", "library", "fiber", "grpc", "direct"}

// Target is a running gateway with a client for it.
type Target struct {
	Client load.Client
	Close  func() error // stops it gracefully
}

// Open starts a target in front of an emulator's engines. The target reaches an engine at the
// address that via returns for the engine's kind and address. The daemon is the program at the
// path; it ignores via and uses the addresses that the emulator's discovery reports.
func Open(name, program string, em *emulator.Emulator, plan *scenario.Plan, via func(kind, addr string) string) (*Target, error) {
	if name == "daemon" {
		return openDaemon(program, em, plan)
	}
	raw, err := json.Marshal(plan.Settings(0))
	if err != nil {
		return nil, err
	}
	settings, err := wire.DecodeSettings(raw)
	if err != nil {
		return nil, err
	}
	transport := router.HTTPEngines(128)
	if name == "grpc" {
		transport = router.GRPCEngines(nil)
	}
	r, err := router.New(router.Config{Settings: settings, Seed: 1}, router.WithSource(staticMembership(em, name == "grpc", via)), router.WithTransport(transport))
	if err != nil {
		return nil, err
	}
	if err := r.Start(); err != nil {
		return nil, err
	}
	t, err := startServer(name, r, settings)
	if err != nil {
		return nil, errors.Join(err, r.Close())
	}
	return t, nil
}

// staticMembership returns the emulator's engines as a membership source.
func staticMembership(em *emulator.Emulator, grpc bool, via func(kind, addr string) string) (engines router.Static) {
	for _, engine := range em.Engines(0) {
		addr := engine.HTTP
		if grpc {
			addr = engine.GRPC
		}
		engines = append(engines, ashwood.Server{
			ID: ashwood.ServerID(engine.ID), Kind: engine.Kind, Zone: engine.Zone, Cell: engine.Cell, State: ashwood.StateActive, Weight: 1, Address: via(engine.Kind, addr),
		})
	}
	return engines
}

// stopTimeout is how long a target may take to stop.
const stopTimeout = 20 * time.Second

// clientConnections is the number of connections that a client keeps to a target.
const clientConnections = 64

// startServer starts a server of the target's kind that embeds the router.
func startServer(name string, r *router.Router, settings ashwood.Settings) (*Target, error) {
	clock := gateway.SystemClock()
	stop := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return r.Shutdown(ctx)
	}
	if name == "direct" {
		return &Target{&directClient{router: r, clock: clock, bodies: load.NewHTTP("", 1, clock)}, stop}, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr := listener.Addr().String()
	serveResult := make(chan error, 1)
	switch name {
	case "library":
		next := http.NotFoundHandler()
		match := func(req *http.Request) bool { return req.Method == http.MethodPost }
		server := &http.Server{Handler: middleware.Wrap(r, nil, match)(next), ReadTimeout: 10 * time.Second}
		go func() { serveResult <- server.Serve(listener) }()
		return &Target{load.NewHTTP(addr, clientConnections, clock), func() error {
			err := stop()
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			err = errors.Join(err, server.Shutdown(ctx))
			if served := <-serveResult; !errors.Is(served, http.ErrServerClosed) {
				err = errors.Join(err, served)
			}
			return err
		}}, nil
	case "fiber":
		app := fiber.New()
		app.Post("/v1/chat/completions", middleware.Fiber(r))
		go func() {
			serveResult <- app.Listener(middleware.Listener(listener), fiber.ListenConfig{DisableStartupMessage: true})
		}()
		return &Target{load.NewHTTP(addr, clientConnections, clock), func() error {
			return errors.Join(stop(), app.ShutdownWithTimeout(stopTimeout), <-serveResult)
		}}, nil
	case "grpc":
		server := grpc.NewServer()
		middleware.GRPC(server, r, settings, nil)
		go func() { serveResult <- server.Serve(listener) }()
		client, err := load.NewGRPC(addr, clock)
		if err != nil {
			return nil, err
		}
		return &Target{client, func() error {
			err := stop()
			server.GracefulStop()
			return errors.Join(err, <-serveResult)
		}}, nil
	}
	listener.Close()
	return nil, fmt.Errorf("contract: unknown target %q", name)
}

// directClient is a client that calls the router in the process.
type directClient struct {
	router *router.Router
	clock  gateway.Clock
	bodies *load.HTTP
}

// Close does nothing: there is no connection.
func (d *directClient) Close() {}

// Do calls Router.Do, as an application does.
func (d *directClient) Do(ctx context.Context, try load.Try, onSend func()) (outcome load.Outcome) {
	onSend()
	answer, err := d.router.Do(ctx, &router.Request{
		Method: http.MethodPost, Target: "/v1/chat/completions", Body: d.bodies.Body(try),
		RequestInfo: ashwood.RequestInfo{
			ID: ashwood.RequestID(try.ID), Class: try.Class.Name, Session: gateway.AffinityKey(try.Session), Prefix: gateway.AffinityKey(try.SharedPrefix),
			PromptTokens: float64(try.PromptTokens), PrefixTokens: float64(try.SharedPrefixTokens), MaxOutputTokens: float64(try.MaxOut), Remaining: try.Remaining,
		},
	})
	var refused *router.RefusedError
	switch {
	case errors.As(err, &refused):
		return load.Outcome{Answer: rules.Refused, EndedAt: d.clock.Now(), RetryAfter: refused.RetryAfter}
	case errors.Is(err, router.ErrClientGone):
		return load.Outcome{Answer: rules.ClientLeft, EndedAt: d.clock.Now()}
	case err != nil:
		return load.Outcome{Answer: rules.Failure, EndedAt: d.clock.Now()}
	}
	outcome = load.Outcome{Answer: rules.Served, FirstTokenAt: d.clock.Now()}
	var text bytes.Buffer
	for piece, err := range answer.Pieces() {
		if err != nil {
			outcome.Answer = rules.Broken
			break
		}
		text.Write(piece)
	}
	outcome.EndedAt = d.clock.Now()
	outcome.Tokens, outcome.Corruption = load.Check(try.ID, text.Bytes())
	if outcome.Answer == rules.Broken {
		outcome.Corruption = ""
	}
	return outcome
}

var servingLine = regexp.MustCompile(`msg=serving .*\blisten=(\S+)`)

// openDaemon starts the daemon program as the platform does.
func openDaemon(program string, em *emulator.Emulator, plan *scenario.Plan) (*Target, error) {
	dir, err := os.MkdirTemp("", "contract")
	if err != nil {
		return nil, err
	}
	var engines []map[string]any
	for _, engine := range em.Engines(0) {
		engines = append(engines, map[string]any{
			"instanceId": engine.ID, "hostPort": engine.HTTP, "zone": engine.Zone, "machineType": engine.Kind, "cell": engine.Cell, "lifecycle": "up", "weight": 1, "startedAtMs": 0,
		})
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": em.DiscoveryAddr(0), "seed": "1", "settings": plan.Settings(0),
		"known": map[string]any{"generation": 1, "reset": true, "instances": engines},
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"ROUTER_CONFIG=" + path}
	logs, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		match := servingLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		logsRead := make(chan struct{})
		go func() {
			defer close(logsRead)
			_, _ = io.Copy(io.Discard, logs)
		}()
		return &Target{load.NewHTTP(match[1], clientConnections, gateway.SystemClock()), func() error {
			defer os.RemoveAll(dir)
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			<-logsRead
			return cmd.Wait()
		}}, nil
	}
	return nil, errors.Join(errors.New("contract: the daemon exited before it served"), cmd.Wait(), os.RemoveAll(dir))
}
