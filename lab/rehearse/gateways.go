// Package rehearse plays a scenario: it starts an emulator, gateways as they run
// in service, and a load, and reports how they served and which rules broke.
package rehearse

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"ashwood.example/ashwood/lab/emulator"
	"ashwood.example/ashwood/lab/scenario"
)

// gateway is a running process of the daemon.
type gateway struct {
	cmd    *exec.Cmd
	listen string // its address for HTTP/1.1
	grpc   string // and for gRPC, "" without
	waited chan struct{}
	err    error // of its end
	closed func() error
}

// serving is what the daemon logs once it listens.
var serving = regexp.MustCompile(`msg=serving\b`)

var addresses = regexp.MustCompile(`\b(grpc|listen)=(\S+)`)

// launch is all that starting a gateway needs.
type launch struct {
	program string
	dir     string // for its configuration
	logs    string // folder for its log, "" = none
	plan    *scenario.Plan
	em      *emulator.Emulator
	grpc    bool
	limits  Limits
}

// Limits are what a gateway's machine allows it.
type Limits struct {
	Cores    float64
	MemoryMB float64
	Sockets  int
}

// start runs one gateway until it serves.
func (l launch) start(ctx context.Context, n int) (*gateway, error) {
	name := fmt.Sprintf("n%d", n)
	config, err := l.configure(n, name)
	if err != nil {
		return nil, err
	}
	g := &gateway{cmd: exec.Command(l.program), waited: make(chan struct{}), closed: func() error { return nil }}
	g.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
	if l.grpc {
		operator, err := l.operator(n, name)
		if err != nil {
			return nil, err
		}
		g.cmd.Env = append(g.cmd.Env, "ASHWOOD_OPERATOR="+operator)
	}
	var log io.Writer = io.Discard
	if l.logs != "" {
		f, err := os.Create(filepath.Join(l.logs, name+".log"))
		if err != nil {
			return nil, fmt.Errorf("rehearse: %w", err)
		}
		log, g.closed = f, f.Close
		g.cmd.Env = append(g.cmd.Env, "ASHWOOD_LOG=debug")
	}
	out, err := g.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	if err := g.cmd.Start(); err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	served := make(chan struct{})
	go g.follow(out, log, served)
	select {
	case <-served:
	case <-g.waited:
		return nil, fmt.Errorf("rehearse: %s ended before it served: %w", name, errors.Join(g.err, errEnded))
	case <-ctx.Done():
		g.kill()
		return nil, fmt.Errorf("rehearse: %s: %w", name, context.Cause(ctx))
	}
	resp, err := http.Get("http://" + g.listen + "/-/ready")
	if err != nil {
		g.kill()
		return nil, fmt.Errorf("rehearse: %s is not ready: %w", name, err)
	}
	resp.Body.Close()
	return g, nil
}

var errEnded = errors.New("the process has ended")

// follow copies a gateway's log, and waits for the process behind its end.
func (g *gateway) follow(out io.Reader, log io.Writer, served chan struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 0, 64<<10), 1<<20)
	for lines.Scan() {
		fmt.Fprintln(log, lines.Text())
		if g.listen == "" && serving.Match(lines.Bytes()) {
			for _, m := range addresses.FindAllStringSubmatch(lines.Text(), -1) {
				if m[1] == "grpc" {
					g.grpc = m[2]
				} else {
					g.listen = m[2]
				}
			}
			close(served)
		}
	}
	_, _ = io.Copy(log, out) // what a line too long has left
	g.err = errors.Join(g.cmd.Wait(), g.closed())
	close(g.waited)
}

// configure writes a gateway's configuration in the platform's form.
func (l launch) configure(n int, name string) (path string, err error) {
	type object = map[string]any
	var known []object
	for _, b := range l.em.Engines(n) {
		known = append(known, object{
			"instanceId": b.ID, "hostPort": b.HTTP, "zone": b.Zone, "machineType": b.Kind, "cell": b.Cell, "lifecycle": "up", "weight": 1, "startedAtMs": 0,
		})
	}
	raw, err := json.Marshal(object{
		"name": name, "listen": "127.0.0.1:0", "discovery": l.em.DiscoveryAddr(n), "seed": strconv.FormatUint(l.plan.Seed+uint64(n), 16),
		"limits":   object{"cores": l.limits.Cores, "memory_mb": l.limits.MemoryMB, "sockets": l.limits.Sockets},
		"known":    object{"generation": 1, "reset": true, "instances": known},
		"settings": l.plan.Settings(n),
	})
	if err != nil {
		return "", fmt.Errorf("rehearse: %w", err)
	}
	path = filepath.Join(l.dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return "", fmt.Errorf("rehearse: %w", err)
	}
	return path, nil
}

// operator writes the operator's file that sets up a gateway's gRPC front.
func (l launch) operator(n int, name string) (path string, err error) {
	var boxes []map[string]any
	for _, b := range l.em.Engines(n) {
		boxes = append(boxes, map[string]any{"id": b.ID, "address": b.GRPC, "kind": b.Kind, "zone": b.Zone, "cell": b.Cell})
	}
	path = filepath.Join(l.dir, name+".toml")
	f, err := os.Create(path)
	if err != nil {
		return "", fmt.Errorf("rehearse: %w", err)
	}
	err = toml.NewEncoder(f).Encode(map[string]any{"grpc": map[string]any{"listen": "127.0.0.1:0", "boxes": boxes}})
	if err := errors.Join(err, f.Close()); err != nil {
		return "", fmt.Errorf("rehearse: %w", err)
	}
	return path, nil
}

// ended tells whether the process has ended by itself.
func (g *gateway) ended() bool {
	select {
	case <-g.waited:
		return true
	default:
		return false
	}
}

func (g *gateway) kill() {
	_ = g.cmd.Process.Kill() // it may have ended
	<-g.waited
}

// stopWait is how long a gateway may take to end after SIGTERM.
const stopWait = 30 * time.Second

// stop ends gateways as a planned restart does, and gives the errors of those
// that crashed before, or did not end in order.
func stop(list []*gateway) (errs []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, g := range list {
		all.Go(func() {
			text := ""
			if g.ended() {
				text = fmt.Sprintf("gateway %d crashed: %v", i, g.err)
			} else {
				_ = g.cmd.Process.Signal(syscall.SIGTERM) // if it has just ended, its error tells
				select {
				case <-g.waited:
					if g.err != nil {
						text = fmt.Sprintf("gateway %d ended with %v", i, g.err)
					}
				case <-time.After(stopWait):
					g.kill()
					text = fmt.Sprintf("gateway %d did not end within %s of SIGTERM", i, stopWait)
				}
			}
			if text != "" {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, text)
			}
		})
	}
	all.Wait()
	return errs
}
