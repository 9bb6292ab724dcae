// Package rehearse runs a scenario end to end: it starts the emulator, gateway
// processes as in production, and the load, and reports how requests were served
// and which rules were violated. It doesn't model engines, draw requests or decide
// what violates a rule; the packages emulator, load and rules do.
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

// gateway is a process of the daemon.
type gateway struct {
	cmd      *exec.Cmd
	listen   string        // address of the HTTP/1.1 listener
	grpc     string        // address of the gRPC listener, "" if there is none
	exited   chan struct{} // closed once the process has been reaped
	exitErr  error         // valid once exited is closed
	closeLog func() error
}

// servingLine matches the line that the daemon logs once it listens.
var servingLine = regexp.MustCompile(`msg=serving\b`)

// addressFields matches the listeners' addresses in that line.
var addressFields = regexp.MustCompile(`\b(grpc|listen)=(\S+)`)

// launcher starts gateways of one rehearsal.
type launcher struct {
	program   string
	configDir string // for configuration files
	logDir    string // folder for debug logs, "" = none
	plan      *scenario.Plan
	emulator  *emulator.Emulator
	grpc      bool
	limits    Limits
}

// Limits are the resource limits written to a gateway's configuration.
type Limits struct {
	Cores    float64
	MemoryMB float64
	Sockets  int
}

// start starts gateway n and waits until it serves and answers the readiness check.
func (l launcher) start(ctx context.Context, n int) (*gateway, error) {
	name := fmt.Sprintf("n%d", n)
	config, err := l.writeConfig(n, name)
	if err != nil {
		return nil, err
	}
	g := &gateway{cmd: exec.Command(l.program), exited: make(chan struct{}), closeLog: func() error { return nil }}
	g.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
	if l.grpc {
		operator, err := l.writeOperatorConfig(n, name)
		if err != nil {
			return nil, err
		}
		g.cmd.Env = append(g.cmd.Env, "ASHWOOD_OPERATOR="+operator)
	}
	var log io.Writer = io.Discard
	if l.logDir != "" {
		f, err := os.Create(filepath.Join(l.logDir, name+".log"))
		if err != nil {
			return nil, fmt.Errorf("rehearse: %w", err)
		}
		log, g.closeLog = f, f.Close
		g.cmd.Env = append(g.cmd.Env, "ASHWOOD_LOG=debug")
	}
	stderr, err := g.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	if err := g.cmd.Start(); err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	served := make(chan struct{})
	go g.followLog(stderr, log, served)
	select {
	case <-served:
	case <-g.exited:
		return nil, fmt.Errorf("rehearse: %s exited before it served: %w", name, errors.Join(g.exitErr, errExited))
	case <-ctx.Done():
		g.kill()
		return nil, fmt.Errorf("rehearse: %s: %w", name, context.Cause(ctx))
	}
	response, err := http.Get("http://" + g.listen + "/-/ready")
	if err != nil {
		g.kill()
		return nil, fmt.Errorf("rehearse: %s is not ready: %w", name, err)
	}
	response.Body.Close()
	return g, nil
}

var errExited = errors.New("the process has exited")

// followLog copies a gateway's log, closes served once the gateway serves, and
// reaps the process after the log has ended.
func (g *gateway) followLog(stderr io.Reader, log io.Writer, served chan struct{}) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(make([]byte, 0, 64<<10), 1<<20)
	for lines.Scan() {
		fmt.Fprintln(log, lines.Text())
		if g.listen == "" && servingLine.Match(lines.Bytes()) {
			for _, field := range addressFields.FindAllStringSubmatch(lines.Text(), -1) {
				if field[1] == "grpc" {
					g.grpc = field[2]
				} else {
					g.listen = field[2]
				}
			}
			close(served)
		}
	}
	_, _ = io.Copy(log, stderr) // the rest, if a line was longer than the buffer
	g.exitErr = errors.Join(g.cmd.Wait(), g.closeLog())
	close(g.exited)
}

// writeConfig writes a gateway's configuration in the platform's format.
func (l launcher) writeConfig(n int, name string) (path string, err error) {
	type object = map[string]any
	var known []object
	for _, engine := range l.emulator.Engines(n) {
		known = append(known, object{
			"instanceId": engine.ID, "hostPort": engine.HTTP, "zone": engine.Zone, "machineType": engine.Kind, "cell": engine.Cell, "lifecycle": "up", "weight": 1, "startedAtMs": 0,
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
	path = filepath.Join(l.configDir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return "", fmt.Errorf("rehearse: %w", err)
	}
	return path, nil
}

// writeOperatorConfig writes the operator's file that configures a gateway's gRPC
// front with a static list of engines.
func (l launcher) writeOperatorConfig(n int, name string) (path string, err error) {
	var engines []map[string]any
	for _, b := range l.emulator.Engines(n) {
		engines = append(engines, map[string]any{"id": b.ID, "address": b.GRPC, "kind": b.Kind, "zone": b.Zone, "cell": b.Cell})
	}
	path = filepath.Join(l.configDir, name+".toml")
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

// hasExited tells whether the process has exited.
func (g *gateway) hasExited() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

func (g *gateway) kill() {
	_ = g.cmd.Process.Kill() // fails if the process has exited already
	<-g.exited
}

// stopTimeout bounds the time from SIGTERM to a gateway's exit.
const stopTimeout = 30 * time.Second

// stopAll sends SIGTERM to gateways, as a planned restart does. It returns the errors
// of those that had crashed before, exited with an error, or exceeded stopTimeout.
func stopAll(gateways []*gateway) (errs []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, g := range gateways {
		all.Go(func() {
			text := ""
			if g.hasExited() {
				text = fmt.Sprintf("gateway %d crashed: %v", i, g.exitErr)
			} else {
				_ = g.cmd.Process.Signal(syscall.SIGTERM) // if it has just exited, exitErr has the cause
				select {
				case <-g.exited:
					if g.exitErr != nil {
						text = fmt.Sprintf("gateway %d ended with %v", i, g.exitErr)
					}
				case <-time.After(stopTimeout):
					g.kill()
					text = fmt.Sprintf("gateway %d did not end within %s of SIGTERM", i, stopTimeout)
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
