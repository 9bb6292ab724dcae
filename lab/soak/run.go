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

// Report is what came of a story.
type Report struct {
	Story  *Story
	Counts Counts
	Breaks []Break
	Late   string // how late the soak itself was
}

// OK tells whether every rule was kept.
func (r *Report) OK() bool { return len(r.Breaks) == 0 }

// String writes the script and the broken rules.
func (r *Report) String() string {
	var b strings.Builder
	b.WriteString(r.Story.String())
	fmt.Fprintf(&b, "  %+v\n%s", r.Counts, r.Late)
	for _, v := range r.Breaks {
		b.WriteString(v.String())
	}
	return b.String()
}

// Options say how a story is played.
type Options struct {
	Program  string // the built daemon
	LogLevel string // of the gateways, "debug" to have their records with broken rules
	Logs     string // folder for the gateways' logs; "" = none
}

// world is a story that is being played.
type world struct {
	story      *Story
	program    string
	logLevel   string
	dir        string
	begun      time.Time // from which events of streams are stamped
	check      *checker
	engines    []*engine
	gateways   []*gateway
	background sync.WaitGroup

	mu         sync.Mutex
	generation int64
	lifecycle  []string
	startedAt  []float64
	agents     []*agent
}

// settle is for how long the world goes on behind the last request: what is held then must go.
const settle = 1500 * time.Millisecond

// Play plays a story to its end.
func Play(ctx context.Context, s *Story, opt Options) (rep *Report, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	defer os.RemoveAll(dir)
	w := &world{
		story: s, program: opt.Program, logLevel: opt.LogLevel, dir: dir, begun: time.Now(), generation: 1,
		lifecycle: make([]string, len(s.Engines)), startedAt: make([]float64, len(s.Engines)),
	}
	w.check = newChecker(s, w.begun)
	defer w.close()
	if err := w.open(); err != nil {
		return nil, err
	}
	w.play(ctx)
	breaks, counts := w.check.finish()
	w.explain(breaks)
	if opt.Logs != "" {
		if err := w.keepLogs(opt.Logs); err != nil {
			return nil, err
		}
	}
	return &Report{Story: s, Counts: counts, Breaks: breaks, Late: w.check.latenessText()}, ctx.Err()
}

// open starts engines, discovery and gateways.
func (w *world) open() error {
	for i, spec := range w.story.Engines {
		w.lifecycle[i] = lifecycleUp
		e, err := w.openEngine(i, spec)
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
	}
	errs := make(chan error, w.story.Gateways)
	for i := range w.story.Gateways {
		g, err := w.openGateway(i)
		if err != nil {
			return err
		}
		if g.agent, err = w.openAgent(i); err != nil {
			return err
		}
		w.agents = append(w.agents, g.agent)
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		go func() { errs <- g.start() }()
	}
	var first error
	for range w.gateways {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// play has clients ask while events happen.
func (w *world) play(ctx context.Context) {
	start := time.Now()
	w.check.begins(start)
	running, stop := context.WithCancel(ctx)
	var all, clients sync.WaitGroup
	all.Go(func() {
		for due := time.Now().Add(sweepEvery); sleep(running, time.Until(due)); due = time.Now().Add(sweepEvery) {
			w.check.sweep()
			w.check.wasLate(lateSweep, due, time.Since(due))
		}
	})
	all.Go(func() { w.check.watchLag(running) })
	all.Go(func() { w.watchStarvation(running) })
	asking, over := context.WithTimeout(running, w.story.Length)
	for i, c := range w.story.Clients {
		clients.Go(func() { w.newClient(i, c).run(asking) })
	}
	var events sync.WaitGroup
	for _, e := range w.story.Events {
		events.Go(func() {
			due := start.Add(e.At)
			if sleep(running, time.Until(due)) {
				w.check.wasLate(lateFault, due, time.Since(due))
				w.happen(running, e)
			}
		})
	}
	clients.Wait()
	over()
	events.Wait()
	sleep(running, settle)
	stop()
	all.Wait()
}

func (w *world) close() {
	for _, g := range w.gateways {
		g.mu.Lock()
		if g.told.IsZero() {
			g.told = time.Now()
		}
		g.mu.Unlock()
		g.signal(syscall.SIGCONT)
		g.kill()
		g.port.release()
	}
	w.mu.Lock()
	agents := w.agents
	w.mu.Unlock()
	for _, a := range agents {
		a.close()
	}
	for _, e := range w.engines {
		e.close()
	}
	w.background.Wait()
}

// replaceAgent notes that discovery has moved; the old agent goes silent.
func (w *world) replaceAgent(old, next *agent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents = append(w.agents, next)
	go old.hush(1)
}

// explain adds what gateways logged to the histories of broken rules.
func (w *world) explain(breaks []Break) {
	for i, b := range breaks {
		if b.ID == "" {
			continue
		}
		for _, g := range w.gateways {
			for _, line := range g.about(b.ID) {
				breaks[i].History = append(breaks[i].History, fmt.Sprintf("log of gateway %d: %s", g.index, line))
			}
		}
	}
}

func (w *world) keepLogs(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	for _, g := range w.gateways {
		g.mu.Lock()
		raw := append([]byte(nil), g.log.Bytes()...)
		g.mu.Unlock()
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("n%d.log", g.index)), raw, 0o644); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
	}
	return nil
}
