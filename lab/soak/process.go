package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is one gateway: an address and the processes that serve there one after the other.
type gateway struct {
	testbed *testbed
	index   int
	port    *port
	listen  string
	config  string

	writing sync.Mutex // serializes writes of the configuration

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	firstLine     chan struct{} // closed when the current process logs its first line
	agent         *agent
	termAt        time.Time // when the current process was sent SIGTERM; zero = not yet
	killedAt      time.Time // when the previous process was killed or had exited
	killedProcess *exec.Cmd // the process that was sent SIGKILL
	lastTermAt    time.Time // when the previous process was sent SIGTERM
	log           bytes.Buffer
}

// readyTimeout bounds the wait for a process to become ready.
const readyTimeout = 20 * time.Second

func (tb *testbed) openGateway(index int) (*gateway, error) {
	listenPort, err := reservePort()
	if err != nil {
		return nil, err
	}
	g := &gateway{testbed: tb, index: index, port: listenPort, listen: listenPort.addr, config: filepath.Join(tb.dir, fmt.Sprintf("n%d.json", index))}
	return g, nil
}

// configure writes the configuration, with the address of the current agent.
func (g *gateway) configure() error {
	g.writing.Lock()
	defer g.writing.Unlock()
	type object = map[string]any
	raw, err := json.Marshal(object{
		"name": fmt.Sprintf("n%d", g.index), "listen": g.listen, "discovery": g.agent.addr(), "seed": fmt.Sprintf("%x", g.testbed.scenario.Seed+uint64(g.index)),
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": g.testbed.scenario.Sockets}, "known": g.testbed.membership(g.index),
		"settings": g.testbed.gatewaySettings(g.index),
	})
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if err := os.WriteFile(g.config+".new", raw, 0o600); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return os.Rename(g.config+".new", g.config)
}

// start starts a process and waits until it is ready.
func (g *gateway) start() error {
	if err := g.configure(); err != nil {
		return err
	}
	cmd := exec.Command(g.testbed.program)
	tmp := filepath.Join(g.testbed.dir, fmt.Sprintf("tmp%d", g.index))
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	cmd.Env = []string{"ROUTER_CONFIG=" + g.config, "TMPDIR=" + tmp, "ASHWOOD_LOG=" + g.testbed.logLevel}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	exited, firstLine := make(chan struct{}), make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited, g.firstLine, g.termAt = cmd, exited, firstLine, time.Time{}
	g.mu.Unlock()
	go func() {
		defer close(exited)
		closeFirstLine := sync.OnceFunc(func() { close(firstLine) })
		lines := bufio.NewScanner(stderr)
		lines.Buffer(make([]byte, 0, 64<<10), 1<<20)
		for lines.Scan() {
			closeFirstLine()
			g.mu.Lock()
			g.log.Write(lines.Bytes())
			g.log.WriteByte('\n')
			g.mu.Unlock()
		}
		g.checkExit(cmd, cmd.Wait())
	}()
	return g.waitReady(exited)
}

// checkExit reports a process that exited without SIGTERM or SIGKILL, with an error after SIGTERM, or after a panic or a data race.
func (g *gateway) checkExit(cmd *exec.Cmd, err error) {
	g.mu.Lock()
	text, terminated, killed := g.log.String(), !g.termAt.IsZero(), g.killedProcess == cmd
	if killed {
		g.testbed.checker.recordLateness(lateEnd, g.killedAt, time.Since(g.killedAt))
	}
	g.mu.Unlock()
	switch {
	case strings.Contains(text, "panic") || strings.Contains(text, "DATA RACE") || strings.Contains(text, "fatal error"):
		g.testbed.checker.reportViolation(RuleCrash, "", fmt.Sprintf("gateway %d: its log shows a panic or a data race", g.index))
	case !terminated && !killed, terminated && !killed && err != nil:
		g.testbed.checker.reportViolation(RuleCrash, "", fmt.Sprintf("gateway %d exited: %v", g.index, err))
	}
}

var errNotReady = errors.New("soak: a gateway did not become ready in time")

// waitReady waits until the process reports that it is ready.
func (g *gateway) waitReady(exited chan struct{}) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		select {
		case <-exited:
			return fmt.Errorf("%w: its process has exited", errNotReady)
		default:
		}
		r, err := client.Get("http://" + g.listen + "/-/ready")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// signal sends a signal. SIGHUP and SIGTERM wait for the process's first log line: in its first 2 to 5 ms, before a Go program has
// installed its handlers, they end it by default; it has accepted no request by then.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	cmd, firstLine, exited := g.cmd, g.firstLine, g.exited
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	if s == syscall.SIGHUP || s == syscall.SIGTERM {
		select {
		case <-firstLine:
		case <-exited:
		case <-time.After(readyTimeout):
		}
	}
	_ = cmd.Process.Signal(s) // the process may have exited
}

// pauseFor stops the process with SIGSTOP and resumes it after d.
func (g *gateway) pauseFor(d time.Duration) {
	g.testbed.checker.gatewayPaused(g.index)
	g.signal(syscall.SIGSTOP)
	time.Sleep(d)
	g.signal(syscall.SIGCONT)
	g.testbed.checker.gatewayResumed(g.index)
}

// reload makes the process read a new configuration, in which discovery has another address.
func (g *gateway) reload() error {
	next, err := g.testbed.openAgent(g.index)
	if err != nil {
		return err
	}
	g.mu.Lock()
	old := g.agent
	g.agent = next
	g.mu.Unlock()
	g.testbed.replaceAgent(old, next)
	if err := g.configure(); err != nil {
		return err
	}
	g.signal(syscall.SIGHUP)
	return nil
}

// terminate sends SIGTERM, and SIGKILL at the earliest time that the protocol allows.
func (g *gateway) terminate() {
	g.mu.Lock()
	g.termAt = time.Now()
	termAt, exited := g.termAt, g.exited
	g.mu.Unlock()
	g.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(time.Until(termAt.Add(g.testbed.scenario.terminationGrace()))):
		g.kill()
	}
	g.mu.Lock()
	g.killedAt, g.lastTermAt = time.Now(), termAt
	g.mu.Unlock()
	g.testbed.checker.gatewayExited(g.index)
}

// kill sends SIGKILL and waits for the process to exit.
func (g *gateway) kill() {
	g.mu.Lock()
	exited := g.exited
	if g.cmd == nil {
		g.mu.Unlock()
		return
	}
	g.killedAt, g.lastTermAt, g.killedProcess = time.Now(), g.termAt, g.cmd
	g.mu.Unlock()
	g.signal(syscall.SIGKILL)
	<-exited
}

// exempt reports whether a request that was written at a time may be lost with its process: one that
// was sent SIGTERM less than 0.7 s before, and has exited since.
func (g *gateway) exempt(writtenAt time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.killedAt.IsZero() && writtenAt.Before(g.killedAt) && writtenAt.Before(g.lastTermAt.Add(exemptAfterTerm))
}

// For how long after SIGTERM the protocol allows new connections, and how long a gateway may then take to close its listener.
const (
	newConnectionsFor = 400 * time.Millisecond
	listenerCloseWait = 50 * time.Millisecond
)

// couldNotRefuse reports whether a connection was opened when the protocol allows no new ones, to a process that was stopped before it
// had to close its listener and did not run again before it was killed. A request on any other connection must be answered.
func (g *gateway) couldNotRefuse(dialledAt time.Time) bool {
	g.mu.Lock()
	termAt, killedAt := g.lastTermAt, g.killedAt
	g.mu.Unlock()
	if termAt.IsZero() || killedAt.Before(dialledAt) || dialledAt.Before(termAt.Add(newConnectionsFor)) {
		return false
	}
	return g.testbed.checker.pausedThroughout(g.index, termAt.Add(newConnectionsFor+listenerCloseWait), killedAt)
}

// killedSince reports whether a process of this gateway was killed after a time.
func (g *gateway) killedSince(t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killedAt.After(t)
}

// logLines returns the last log lines that contain a request's id.
func (g *gateway) logLines(id string) []string {
	const maxLines = 40
	g.mu.Lock()
	defer g.mu.Unlock()
	var lines []string
	for line := range strings.Lines(g.log.String()) {
		if strings.Contains(line, id) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines[max(0, len(lines)-maxLines):]
}
