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

// Options configure a rehearsal.
type Options struct {
	Scenario *scenario.Scenario
	Gateways int          // 0 = the scenario's number
	Program  string       // path of the gateway's binary
	GRPC     bool         // clients and engines speak gRPC instead of HTTP/1.1; the membership is static
	Logs     string       // directory for the gateways' debug logs, "" = none
	Limits   Limits       // zero = the platform's largest
	Rules    rules.Limits // zero = the platform's
	Log      *slog.Logger
	Progress func(Progress) // called about once a second; may be nil
}

// Progress is the progress of a rehearsal.
type Progress struct {
	Seconds, Length   float64
	Sent, Done, Total int
	Violations        int
}

// Report is the result of a rehearsal.
type Report struct {
	Scenario     string            `json:"scenario"`
	Seed         uint64            `json:"seed"`
	Gateways     int               `json:"gateways"`
	Engines      int               `json:"boxes"`
	Wire         string            `json:"wire"`
	LengthS      float64           `json:"length_s"`
	Summary      *load.Summary     `json:"summary"`
	Counts       rules.Counts      `json:"counts"`
	Violations   []rules.Violation `json:"breaks"`
	Crashes      []string          `json:"crashes"`
	HoldsAtEnd   int               `json:"held_at_end"`
	Emulator     emulator.Stats    `json:"emulator"`
	GatewayUsage []Usage           `json:"gateways_used"`
	LabUsage     Usage             `json:"lab_used"` // this process: the emulator and the load
	startMs      float64
}

// Usage is the CPU time and memory that a process has used.
type Usage struct {
	CPUSeconds float64 `json:"cpu_s"`
	MaxRSSMB   float64 `json:"max_rss_mb"`
}

// OK reports whether no rule was broken, no gateway crashed and nothing was held at the end.
func (r *Report) OK() bool { return len(r.Violations) == 0 && len(r.Crashes) == 0 && r.HoldsAtEnd == 0 }

// releaseTimeout bounds the wait for remaining KV state and reservations after the
// load; the rule allows less time.
const releaseTimeout = 3 * time.Second

// Run runs a scenario to its end.
func Run(ctx context.Context, opt Options) (report *Report, err error) {
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
	launcher := launcher{program: opt.Program, dir: dir, logs: opt.Logs, plan: plan, emulator: em, grpc: opt.GRPC, limits: opt.Limits}
	gateways, err := startAll(ctx, launcher, s.Gateways)
	if err != nil {
		return nil, err
	}
	clients, err := connect(gateways, plan, opt.GRPC, c)
	if err != nil {
		stopAll(gateways)
		return nil, err
	}
	requests := load.Draw(plan)
	report = &Report{Scenario: s.Name, Seed: s.Seed, Gateways: s.Gateways, Engines: len(plan.Engine.Engines), Wire: "http/1.1", LengthS: s.LengthS}
	if opt.GRPC {
		report.Wire = "grpc"
	}
	if err := em.Start(); err != nil {
		stopAll(gateways)
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	report.startMs = em.StartedAt()
	runner := load.Runner{Plan: plan, Clients: clients, Clock: c, Watch: em.Rules(), Progress: progress(opt, em, c, len(requests), s.LengthS)}
	_, report.Summary = runner.Run(ctx, em.StartedAt(), requests)
	for _, client := range clients {
		client.Close()
	}
	waitForReleases(em)
	report.Crashes = stopAll(gateways)
	report.HoldsAtEnd = em.HoldCount()
	report.Counts, report.Violations, report.Emulator = em.Rules().Counts(), em.Rules().Violations(), em.Stats()
	for _, m := range report.Emulator.Malformed {
		report.Violations = append(report.Violations, rules.Violation{Rule: rules.Unchanged, Text: "an engine could not parse a request: " + m})
	}
	report.LabUsage = ownUsage()
	for _, g := range gateways {
		if st := g.cmd.ProcessState; st != nil {
			report.GatewayUsage = append(report.GatewayUsage, processUsage(st))
		}
	}
	return report, ctx.Err()
}

func startAll(ctx context.Context, l launcher, n int) (gateways []*gateway, err error) {
	for i := range n {
		g, err := l.start(ctx, i)
		if err != nil {
			stopAll(gateways)
			return nil, err
		}
		gateways = append(gateways, g)
	}
	return gateways, nil
}

func connect(gateways []*gateway, plan *scenario.Plan, grpc bool, c clock.Clock) (clients []load.Client, err error) {
	for _, g := range gateways {
		if !grpc {
			clients = append(clients, load.NewHTTP(g.listen, plan.Load.MaxConnections, c))
			continue
		}
		client, err := load.NewGRPC(g.grpc, c)
		if err != nil {
			return nil, err
		}
		clients = append(clients, client)
	}
	return clients, nil
}

// progress returns a function that reports the progress about once a second, or nil.
func progress(opt Options, em *emulator.Emulator, c clock.Clock, total int, length float64) func(sent, done int) {
	if opt.Progress == nil {
		return nil
	}
	var last float64
	reporting := make(chan struct{}, 1)
	return func(sent, done int) {
		select {
		case reporting <- struct{}{}:
			defer func() { <-reporting }()
		default:
			return
		}
		if now := c.Now(); now-last >= 1000 {
			last = now
			opt.Progress(Progress{
				Seconds: (now - em.StartedAt()) / 1000, Length: length, Sent: sent, Done: done, Total: total, Violations: len(em.Rules().Violations()),
			})
		}
	}
}

// waitForReleases gives the gateways time to release KV state and reservations.
func waitForReleases(em *emulator.Emulator) {
	for deadline := time.Now().Add(releaseTimeout); em.HoldCount() > 0 && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
}
