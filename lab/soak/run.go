package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Report is the result of a run.
type Report struct {
	Scenario   *FaultScenario
	Counts     Counts
	Violations []Violation
	Lateness   string // how late the soak process itself was
}

// OK reports whether no rule was broken.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// String formats the script, the counts, the lateness and the violations.
func (r *Report) String() string {
	var b strings.Builder
	b.WriteString(r.Scenario.String())
	fmt.Fprintf(&b, "  %+v\n%s", r.Counts, r.Lateness)
	for _, violation := range r.Violations {
		b.WriteString(violation.String())
	}
	return b.String()
}

// Options configure a run.
type Options struct {
	Program  string // path of the gateway's binary
	LogLevel string // log level of the gateways; "debug" adds their records of a request to its violations
	Logs     string // directory for the gateways' logs; "" = not saved
}

// testbed holds the processes, links and clients of a scenario that is running.
type testbed struct {
	scenario   *FaultScenario
	program    string
	logLevel   string
	dir        string
	start      time.Time // origin of the timestamps in stream events
	checker    *checker
	engines    []*engine
	gateways   []*gateway
	background sync.WaitGroup

	mu         sync.Mutex
	generation int64
	lifecycle  []string
	startedAt  []float64
	agents     []*agent
}

// settleTime is for how long the run continues after the last request; remaining holds must be released in it.
const settleTime = 1500 * time.Millisecond

// Play runs a scenario to its end.
func Play(ctx context.Context, s *FaultScenario, opt Options) (report *Report, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	defer os.RemoveAll(dir)
	tb := &testbed{
		scenario: s, program: opt.Program, logLevel: opt.LogLevel, dir: dir, start: time.Now(), generation: 1,
		lifecycle: make([]string, len(s.Engines)), startedAt: make([]float64, len(s.Engines)),
	}
	tb.checker = newChecker(s, tb.start)
	defer tb.close()
	if err := tb.startAll(); err != nil {
		return nil, err
	}
	tb.runEvents(ctx)
	violations, counts := tb.checker.finish()
	tb.addGatewayLogs(violations)
	if opt.Logs != "" {
		if err := tb.saveLogs(opt.Logs); err != nil {
			return nil, err
		}
	}
	return &Report{Scenario: s, Counts: counts, Violations: violations, Lateness: tb.checker.latenessText()}, ctx.Err()
}

// startAll starts engines, discovery agents and gateways.
func (tb *testbed) startAll() error {
	for i, spec := range tb.scenario.Engines {
		tb.lifecycle[i] = lifecycleUp
		e, err := tb.openEngine(i, spec)
		if err != nil {
			return err
		}
		tb.engines = append(tb.engines, e)
	}
	errs := make(chan error, tb.scenario.Gateways)
	for i := range tb.scenario.Gateways {
		g, err := tb.openGateway(i)
		if err != nil {
			return err
		}
		if g.agent, err = tb.openAgent(i); err != nil {
			return err
		}
		tb.agents = append(tb.agents, g.agent)
		tb.gateways = append(tb.gateways, g)
	}
	for _, g := range tb.gateways {
		go func() { errs <- g.start() }()
	}
	var first error
	for range tb.gateways {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// runEvents runs clients, events and the checker's background work until the scenario is over.
func (tb *testbed) runEvents(ctx context.Context) {
	start := time.Now()
	tb.checker.setStart(start)
	running, stop := context.WithCancel(ctx)
	var watchers, clients sync.WaitGroup
	watchers.Go(func() {
		for scheduled := time.Now().Add(sweepInterval); sleep(running, time.Until(scheduled)); scheduled = time.Now().Add(sweepInterval) {
			tb.checker.sweep()
			tb.checker.recordLateness(lateSweep, scheduled, time.Since(scheduled))
		}
	})
	watchers.Go(func() { tb.checker.watchLag(running) })
	watchers.Go(func() { tb.watchStarvation(running) })
	asking, stopAsking := context.WithTimeout(running, tb.scenario.Length)
	for i, c := range tb.scenario.Clients {
		clients.Go(func() { tb.newClient(i, c).run(asking) })
	}
	var events sync.WaitGroup
	for _, e := range tb.scenario.Events {
		events.Go(func() {
			scheduled := start.Add(e.At)
			if sleep(running, time.Until(scheduled)) {
				tb.checker.recordLateness(lateFault, scheduled, time.Since(scheduled))
				tb.playEvent(running, e)
			}
		})
	}
	clients.Wait()
	stopAsking()
	events.Wait()
	sleep(running, settleTime)
	stop()
	watchers.Wait()
}

// close kills the gateways and closes agents and engines.
func (tb *testbed) close() {
	for _, g := range tb.gateways {
		g.mu.Lock()
		if g.termAt.IsZero() {
			g.termAt = time.Now()
		}
		g.mu.Unlock()
		g.signal(syscall.SIGCONT)
		g.kill()
		g.port.release()
	}
	tb.mu.Lock()
	agents := tb.agents
	tb.mu.Unlock()
	for _, a := range agents {
		a.close()
	}
	for _, e := range tb.engines {
		e.close()
	}
	tb.background.Wait()
}

// replaceAgent registers the agent at discovery's new address and silences the old one.
func (tb *testbed) replaceAgent(old, next *agent) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.agents = append(tb.agents, next)
	go old.changeSilence(1)
}

// addGatewayLogs adds the log lines of the gateways to the histories of violations.
func (tb *testbed) addGatewayLogs(violations []Violation) {
	for i, violation := range violations {
		if violation.ID == "" {
			continue
		}
		for _, g := range tb.gateways {
			for _, line := range g.logLines(violation.ID) {
				violations[i].History = append(violations[i].History, fmt.Sprintf("log of gateway %d: %s", g.index, line))
			}
		}
	}
}

// saveLogs writes the gateways' logs to a directory.
func (tb *testbed) saveLogs(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	for _, g := range tb.gateways {
		g.mu.Lock()
		raw := append([]byte(nil), g.log.Bytes()...)
		g.mu.Unlock()
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("n%d.log", g.index)), raw, 0o644); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
	}
	return nil
}
