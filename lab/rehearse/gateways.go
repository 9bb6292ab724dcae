// Package rehearse runs a scenario: it starts an emulator, real gateway processes and
// a load, and reports how requests were served and which rules were broken. Scenarios,
// the emulator, the load and the rules are packages of their own.
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

// gateway is a running gateway process.
type gateway struct {
	cmd      *exec.Cmd
	listen   string // address of its HTTP/1.1 front
	grpc     string // address of its gRPC front, "" = none
	exited   chan struct{}
	exitErr  error // of its exit; valid once exited is closed
	closeLog func() error
}

// servingLine matches the line that a gateway logs once it listens.
var servingLine = regexp.MustCompile(`msg=serving\b`)

var listenAddresses = regexp.MustCompile(`\b(grpc|listen)=(\S+)`)

// launcher holds everything needed to start gateways.
type launcher struct {
	program  string
	dir      string // for configurations
	logs     string // directory for logs, "" = none
	plan     *scenario.Plan
	emulator *emulator.Emulator
	grpc     bool
	limits   Limits
}

// Limits are the resource limits in a gateway's configuration.
type Limits struct {
	Cores    float64
	MemoryMB float64
	Sockets  int
}

// start starts one gateway and waits until it serves.
func (l launcher) start(ctx context.Context, n int) (*gateway, error) {
	name := fmt.Sprintf("n%d", n)
	config, err := l.writeConfig(n, name)
	if err != nil {
		return nil, err
	}
	g := &gateway{cmd: exec.Command(l.program), exited: make(chan struct{}), closeLog: func() error { return nil }}
	g.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
	if l.grpc {
		operator, err := l.writeOperatorFile(n, name)
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
		log, g.closeLog = f, f.Close
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
	go g.copyLog(out, log, served)
	select {
	case <-served:
	case <-g.exited:
		return nil, fmt.Errorf("rehearse: %s exited before it served: %w", name, errors.Join(g.exitErr, errExited))
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

var errExited = errors.New("the process has exited")

// copyLog copies a gateway's log, finds its addresses in it, and waits for the process to exit.
func (g *gateway) copyLog(out io.Reader, log io.Writer, served chan struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 0, 64<<10), 1<<20)
	for lines.Scan() {
		fmt.Fprintln(log, lines.Text())
		if g.listen == "" && servingLine.Match(lines.Bytes()) {
			for _, m := range listenAddresses.FindAllStringSubmatch(lines.Text(), -1) {
				if m[1] == "grpc" {
					g.grpc = m[2]
				} else {
					g.listen = m[2]
				}
			}
			close(served)
		}
	}
	_, _ = io.Copy(log, out) // the remainder if the scanner stopped at a line that is too long
	g.exitErr = errors.Join(g.cmd.Wait(), g.closeLog())
	close(g.exited)
}

// writeConfig writes a gateway's configuration in the platform's format.
func (l launcher) writeConfig(n int, name string) (path string, err error) {
	type object = map[string]any
	var known []object
	for _, b := range l.emulator.Engines(n) {
		known = append(known, object{
			"instanceId": b.ID, "hostPort": b.HTTP, "zone": b.Zone, "machineType": b.Kind, "cell": b.Cell, "lifecycle": "up", "weight": 1, "startedAtMs": 0,
		})
	}
	raw, err := json.Marshal(object{
		"name": name, "listen": "127.0.0.1:0", "discovery": l.emulator.DiscoveryAddr(n), "seed": strconv.FormatUint(l.plan.Seed+uint64(n), 16),
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

// writeOperatorFile writes the operator's file, which configures a gateway's gRPC front.
func (l launcher) writeOperatorFile(n int, name string) (path string, err error) {
	var engines []map[string]any
	for _, b := range l.emulator.Engines(n) {
		engines = append(engines, map[string]any{"id": b.ID, "address": b.GRPC, "kind": b.Kind, "zone": b.Zone, "cell": b.Cell})
	}
	path = filepath.Join(l.dir, name+".toml")
	f, err := os.Create(path)
	if err != nil {
		return "", fmt.Errorf("rehearse: %w", err)
	}
	err = toml.NewEncoder(f).Encode(map[string]any{"grpc": map[string]any{"listen": "127.0.0.1:0", "boxes": engines}})
	if err := errors.Join(err, f.Close()); err != nil {
		return "", fmt.Errorf("rehearse: %w", err)
	}
	return path, nil
}

// hasExited reports whether the process has exited.
func (g *gateway) hasExited() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

func (g *gateway) kill() {
	_ = g.cmd.Process.Kill() // the process may have exited
	<-g.exited
}

// stopTimeout is how long a gateway may take to exit after SIGTERM.
const stopTimeout = 30 * time.Second

// stopAll stops gateways as a planned restart does, and describes those that had
// crashed before or did not exit cleanly.
func stopAll(gateways []*gateway) (errs []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, g := range gateways {
		all.Go(func() {
			problem := ""
			if g.hasExited() {
				problem = fmt.Sprintf("gateway %d crashed: %v", i, g.exitErr)
			} else {
				_ = g.cmd.Process.Signal(syscall.SIGTERM) // if it has just exited, exitErr says so
				select {
				case <-g.exited:
					if g.exitErr != nil {
						problem = fmt.Sprintf("gateway %d exited with %v", i, g.exitErr)
					}
				case <-time.After(stopTimeout):
					g.kill()
					problem = fmt.Sprintf("gateway %d did not exit within %s of SIGTERM", i, stopTimeout)
				}
			}
			if problem != "" {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, problem)
			}
		})
	}
	all.Wait()
	return errs
}
