// Package contract holds what every way of using ashwood has to keep: the daemon,
// the library in net/http, in Fiber and in a gRPC host, and called directly. Its
// tests play the same stories against each, on the lab's emulated boxes, and want
// the same answers.
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

// Targets are the ways of using ashwood, by name.
var Targets = []string{"daemon", "library", "fiber", "grpc", "direct"}

// Target is one of them that runs.
type Target struct {
	Client load.Client
	Close  func() error // stops it in order
}

// Open starts a target in front of an emulator's boxes, which it reaches at the addresses that via
// gives for those of each kind. The daemon is the built program at a path; it reaches them as the
// emulator tells it.
func Open(name, program string, em *emulator.Emulator, plan *scenario.Plan, via func(kind, addr string) string) (*Target, error) {
	if name == "daemon" {
		return openDaemon(program, em, plan)
	}
	raw, err := json.Marshal(plan.Settings(0))
	if err != nil {
		return nil, err
	}
	set, err := wire.DecodeSettings(raw)
	if err != nil {
		return nil, err
	}
	transport := router.HTTPEngines(128)
	if name == "grpc" {
		transport = router.GRPCEngines(nil)
	}
	r, err := router.New(router.Config{Settings: set, Seed: 1}, router.WithSource(list(em, name == "grpc", via)), router.WithTransport(transport))
	if err != nil {
		return nil, err
	}
	if err := r.Start(); err != nil {
		return nil, err
	}
	t, err := host(name, r, set)
	if err != nil {
		return nil, errors.Join(err, r.Close())
	}
	return t, nil
}

// list is the emulator's boxes as the router wants them.
func list(em *emulator.Emulator, grpc bool, via func(kind, addr string) string) (out router.Static) {
	for _, b := range em.Engines(0) {
		addr := b.HTTP
		if grpc {
			addr = b.GRPC
		}
		out = append(out, ashwood.Server{
			ID: ashwood.ServerID(b.ID), Kind: b.Kind, Zone: b.Zone, Cell: b.Cell, State: ashwood.StateActive, Weight: 1, Address: via(b.Kind, addr),
		})
	}
	return out
}

// patience is how long a target may take to stop.
const patience = 20 * time.Second

// connections that a client keeps to a target.
const connections = 64

// host puts a router into a server of the target's kind.
func host(name string, r *router.Router, set ashwood.Settings) (*Target, error) {
	c := gateway.SystemClock()
	stop := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		return r.Shutdown(ctx)
	}
	if name == "direct" {
		return &Target{&direct{r: r, clock: c, body: load.NewHTTP("", 1, c)}, stop}, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	ended := make(chan error, 1)
	switch name {
	case "library":
		next := http.NotFoundHandler()
		own := func(req *http.Request) bool { return req.Method == http.MethodPost }
		s := &http.Server{Handler: middleware.Wrap(r, nil, own)(next), ReadTimeout: 10 * time.Second}
		go func() { ended <- s.Serve(l) }()
		return &Target{load.NewHTTP(addr, connections, c), func() error {
			err := stop()
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			err = errors.Join(err, s.Shutdown(ctx))
			if served := <-ended; !errors.Is(served, http.ErrServerClosed) {
				err = errors.Join(err, served)
			}
			return err
		}}, nil
	case "fiber":
		app := fiber.New()
		app.Post("/v1/chat/completions", middleware.Fiber(r))
		go func() { ended <- app.Listener(middleware.Listener(l), fiber.ListenConfig{DisableStartupMessage: true}) }()
		return &Target{load.NewHTTP(addr, connections, c), func() error {
			return errors.Join(stop(), app.ShutdownWithTimeout(patience), <-ended)
		}}, nil
	case "grpc":
		s := grpc.NewServer()
		middleware.GRPC(s, r, set, nil)
		go func() { ended <- s.Serve(l) }()
		client, err := load.NewGRPC(addr, c)
		if err != nil {
			return nil, err
		}
		return &Target{client, func() error {
			err := stop()
			s.GracefulStop()
			return errors.Join(err, <-ended)
		}}, nil
	}
	l.Close()
	return nil, fmt.Errorf("contract: no target is called %q", name)
}

// direct is a client that calls the router itself.
type direct struct {
	r     *router.Router
	clock gateway.Clock
	body  *load.HTTP
}

// Close does nothing: there is no connection.
func (d *direct) Close() {}

// Do calls the router as an application does.
func (d *direct) Do(ctx context.Context, t load.Try, asked func()) (out load.Outcome) {
	asked()
	a, err := d.r.Do(ctx, &router.Request{
		Method: http.MethodPost, Target: "/v1/chat/completions", Body: d.body.Body(t),
		RequestInfo: ashwood.RequestInfo{
			ID: ashwood.RequestID(t.ID), Class: t.Class.Name, Session: gateway.AffinityKey(t.Session), Prefix: gateway.AffinityKey(t.Prefix),
			PromptTokens: float64(t.PromptTokens), PrefixTokens: float64(t.PrefixTokens), MaxOutputTokens: float64(t.MaxOutput), Remaining: t.Remaining,
		},
	})
	var refused *router.RefusedError
	switch {
	case errors.As(err, &refused):
		return load.Outcome{Answer: rules.Refused, End: d.clock.Now(), RetryAfter: refused.RetryAfter}
	case errors.Is(err, router.ErrClientGone):
		return load.Outcome{Answer: rules.ClientLeft, End: d.clock.Now()}
	case err != nil:
		return load.Outcome{Answer: rules.Failure, End: d.clock.Now()}
	}
	out = load.Outcome{Answer: rules.Served, First: d.clock.Now()}
	var text bytes.Buffer
	for piece, err := range a.Pieces() {
		if err != nil {
			out.Answer = rules.Broken
			break
		}
		text.Write(piece)
	}
	out.End = d.clock.Now()
	out.Tokens, out.Corrupted = load.CheckAnswer(t.ID, text.Bytes())
	if out.Answer == rules.Broken {
		out.Corrupted = ""
	}
	return out
}

var serving = regexp.MustCompile(`msg=serving .*\blisten=(\S+)`)

// openDaemon starts the built program, as the platform does.
func openDaemon(program string, em *emulator.Emulator, plan *scenario.Plan) (*Target, error) {
	dir, err := os.MkdirTemp("", "contract")
	if err != nil {
		return nil, err
	}
	var known []map[string]any
	for _, b := range em.Engines(0) {
		known = append(known, map[string]any{
			"instanceId": b.ID, "hostPort": b.HTTP, "zone": b.Zone, "machineType": b.Kind, "cell": b.Cell, "lifecycle": "up", "weight": 1, "startedAtMs": 0,
		})
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": em.DiscoveryAddr(0), "seed": "1", "settings": plan.Settings(0),
		"known": map[string]any{"generation": 1, "reset": true, "instances": known},
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
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		m := serving.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		logged := make(chan struct{})
		go func() {
			defer close(logged)
			_, _ = io.Copy(io.Discard, out)
		}()
		return &Target{load.NewHTTP(m[1], connections, gateway.SystemClock()), func() error {
			defer os.RemoveAll(dir)
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			<-logged
			return cmd.Wait()
		}}, nil
	}
	return nil, errors.Join(errors.New("contract: the daemon ended before it served"), cmd.Wait(), os.RemoveAll(dir))
}
