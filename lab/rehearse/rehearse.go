package rehearse

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lab/emulator"
	"ashwood.example/ashwood/lab/load"
	"ashwood.example/ashwood/lab/rules"
	"ashwood.example/ashwood/lab/scenario"
)

// Options say how a scenario is played.
type Options struct {
	Scenario *scenario.Scenario
	Gateways int          // 0 = as the scenario says
	Program  string       // the built daemon
	GRPC     bool         // clients and boxes speak gRPC, not HTTP/1.1; the boxes' list is static
	Logs     string       // folder for the gateways' debug logs, "" = none
	Limits   Limits       // zero = the platform's largest
	Rules    rules.Limits // zero = the platform's
	Log      *slog.Logger
	Progress func(Progress) // called about once a second; may be nil
}

// Progress tells how far a rehearsal is.
type Progress struct {
	Seconds, Length float64
	Sent, Done, All int
	Breaks          int
}

// Report is all that a rehearsal found.
type Report struct {
	Scenario string            `json:"scenario"`
	Seed     uint64            `json:"seed"`
	Gateways int               `json:"gateways"`
	Boxes    int               `json:"boxes"`
	Wire     string            `json:"wire"`
	LengthS  float64           `json:"length_s"`
	Summary  *load.Summary     `json:"summary"`
	Counts   rules.Counts      `json:"counts"`
	Breaks   []rules.Violation `json:"breaks"`
	Crashes  []string          `json:"crashes"`
	Held     int               `json:"held_at_end"`
	Emulator emulator.Stats    `json:"emulator"`
	Usage    []Usage           `json:"gateways_used"`
	Own      Usage             `json:"lab_used"` // by the emulator and the load
	begun    float64
}

// Usage is what a gateway's process has used.
type Usage struct {
	CPUSeconds float64 `json:"cpu_s"`
	MaxRSSMB   float64 `json:"max_rss_mb"`
}

// OK tells whether every rule was kept and every gateway lived.
func (r *Report) OK() bool { return len(r.Breaks) == 0 && len(r.Crashes) == 0 && r.Held == 0 }

// settleWait bounds the wait for what is still held after the load; the rule's
// own time is shorter.
const settleWait = 3 * time.Second

// Run plays a scenario to its end.
func Run(ctx context.Context, opt Options) (rep *Report, err error) {
	s := *opt.Scenario
	if opt.Gateways > 0 {
		s.Gateways = opt.Gateways
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.Limits == (Limits{}) {
		opt.Limits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}
	}
	plan, err := s.Compile()
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	c := clock.System()
	em, err := emulator.New(emulator.Config{Plan: plan, GRPC: opt.GRPC, StaticMembership: opt.GRPC, Rules: opt.Rules, Clock: c, Log: opt.Log})
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	defer func() { err = errors.Join(err, em.Close()) }()
	dir, err := os.MkdirTemp("", "ashlab")
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	defer os.RemoveAll(dir)
	if opt.Logs != "" {
		if err := os.MkdirAll(opt.Logs, 0o755); err != nil {
			return nil, fmt.Errorf("rehearse: %w", err)
		}
	}
	l := launch{program: opt.Program, dir: dir, logs: opt.Logs, plan: plan, em: em, grpc: opt.GRPC, limits: opt.Limits}
	gateways, err := startAll(ctx, l, s.Gateways)
	if err != nil {
		return nil, err
	}
	clients, err := connect(gateways, plan, opt.GRPC, c)
	if err != nil {
		stop(gateways)
		return nil, err
	}
	list := load.Draw(plan)
	rep = &Report{Scenario: s.Name, Seed: s.Seed, Gateways: s.Gateways, Boxes: len(plan.Engine.Engines), Wire: "http/1.1", LengthS: s.LengthS}
	if opt.GRPC {
		rep.Wire = "grpc"
	}
	if err := em.Start(); err != nil {
		stop(gateways)
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	rep.begun = em.StartedAt()
	runner := load.Runner{Plan: plan, Clients: clients, Clock: c, Watch: em.Rules(), Progress: progress(opt, em, c, len(list), s.LengthS)}
	_, rep.Summary = runner.Run(ctx, em.StartedAt(), list)
	for _, client := range clients {
		client.Close()
	}
	waitIdle(em)
	rep.Crashes = stop(gateways)
	rep.Held = em.HoldCount()
	rep.Counts, rep.Breaks, rep.Emulator = em.Rules().Counts(), em.Rules().Violations(), em.Stats()
	for _, m := range rep.Emulator.Malformed {
		rep.Breaks = append(rep.Breaks, rules.Violation{Rule: rules.Unchanged, Text: "a box could not read a request: " + m})
	}
	rep.Own = ownUsage()
	for _, g := range gateways {
		if st := g.cmd.ProcessState; st != nil {
			rep.Usage = append(rep.Usage, usage(st))
		}
	}
	return rep, ctx.Err()
}

func startAll(ctx context.Context, l launch, n int) (list []*gateway, err error) {
	for i := range n {
		g, err := l.start(ctx, i)
		if err != nil {
			stop(list)
			return nil, err
		}
		list = append(list, g)
	}
	return list, nil
}

func connect(gateways []*gateway, plan *scenario.Plan, grpc bool, c clock.Clock) (list []load.Client, err error) {
	for _, g := range gateways {
		if !grpc {
			list = append(list, load.NewHTTP(g.listen, plan.Load.Connections, c))
			continue
		}
		client, err := load.NewGRPC(g.grpc, c)
		if err != nil {
			return nil, err
		}
		list = append(list, client)
	}
	return list, nil
}

// progress tells about once a second how far things are.
func progress(opt Options, em *emulator.Emulator, c clock.Clock, all int, length float64) func(sent, done int) {
	if opt.Progress == nil {
		return nil
	}
	var last float64
	told := make(chan struct{}, 1)
	return func(sent, done int) {
		select {
		case told <- struct{}{}:
			defer func() { <-told }()
		default:
			return
		}
		if now := c.Now(); now-last >= 1000 {
			last = now
			opt.Progress(Progress{
				Seconds: (now - em.StartedAt()) / 1000, Length: length, Sent: sent, Done: done, All: all, Breaks: len(em.Rules().Violations()),
			})
		}
	}
}

// waitIdle gives the gateways time to let go of what they hold.
func waitIdle(em *emulator.Emulator) {
	for until := time.Now().Add(settleWait); em.HoldCount() > 0 && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
}
