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
	Program  string       // path of the daemon's binary
	GRPC     bool         // clients and engines speak gRPC, not HTTP/1.1; membership is static
	Logs     string       // folder for the gateways' debug logs, "" = none
	Limits   Limits       // zero value: 1 core, 192 MB and 1024 sockets, the platform's maximum
	Rules    rules.Limits // zero value: the platform's limits
	Log      *slog.Logger
	Progress func(Progress) // called about once a second; may be nil
}

// Progress is the state of a running rehearsal.
type Progress struct {
	ElapsedS, LengthS float64
	Sent, Done, All   int
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
	HeldAtEnd    int               `json:"held_at_end"`
	Emulator     emulator.Stats    `json:"emulator"`
	GatewayUsage []Usage           `json:"gateways_used"`
	LabUsage     Usage             `json:"lab_used"` // used by this process: the emulator and the load
	startedAt    float64
}

// Usage is the CPU time and peak memory of a process.
type Usage struct {
	CPUSeconds float64 `json:"cpu_s"`
	MaxRSSMB   float64 `json:"max_rss_mb"`
}

// OK tells whether no rule was violated, no gateway crashed and no hold was left.
func (r *Report) OK() bool { return len(r.Violations) == 0 && len(r.Crashes) == 0 && r.HeldAtEnd == 0 }

// releaseTimeout bounds the wait, after the load, for gateways to release what
// engines still hold. The limit of the rule on holds is shorter.
const releaseTimeout = 3 * time.Second

// Run plays a scenario to its end and reports on it. The error says why the rehearsal
// could not be made; violations and crashes are part of the report.
func Run(ctx context.Context, options Options) (report *Report, err error) {
	s := *options.Scenario
	if options.Gateways > 0 {
		s.Gateways = options.Gateways
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Limits == (Limits{}) {
		options.Limits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}
	}
	plan, err := s.Compile()
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	systemClock := clock.System()
	em, err := emulator.New(emulator.Config{Plan: plan, GRPC: options.GRPC, StaticMembership: options.GRPC, Rules: options.Rules, Clock: systemClock, Log: options.Log})
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	defer func() { err = errors.Join(err, em.Close()) }()
	dir, err := os.MkdirTemp("", "ashlab")
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	defer os.RemoveAll(dir)
	if options.Logs != "" {
		if err := os.MkdirAll(options.Logs, 0o755); err != nil {
			return nil, fmt.Errorf("rehearse: %w", err)
		}
	}
	l := launcher{program: options.Program, configDir: dir, logDir: options.Logs, plan: plan, emulator: em, grpc: options.GRPC, limits: options.Limits}
	gateways, err := startAll(ctx, l, s.Gateways)
	if err != nil {
		return nil, err
	}
	clients, err := newClients(gateways, plan, options.GRPC, systemClock)
	if err != nil {
		stopAll(gateways)
		return nil, err
	}
	requests := load.Draw(plan)
	report = &Report{Scenario: s.Name, Seed: s.Seed, Gateways: s.Gateways, Engines: len(plan.Engine.Engines), Wire: "http/1.1", LengthS: s.LengthS}
	if options.GRPC {
		report.Wire = "grpc"
	}
	if err := em.Start(); err != nil {
		stopAll(gateways)
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	report.startedAt = em.StartedAt()
	runner := load.Runner{Plan: plan, Clients: clients, Clock: systemClock, Observer: em.Rules(), Progress: throttleProgress(options, em, systemClock, len(requests), s.LengthS)}
	_, report.Summary = runner.Run(ctx, em.StartedAt(), requests)
	for _, client := range clients {
		client.Close()
	}
	waitForReleases(em)
	report.Crashes = stopAll(gateways)
	report.HeldAtEnd = em.HoldCount()
	report.Counts, report.Violations, report.Emulator = em.Rules().Counts(), em.Rules().Violations(), em.Stats()
	for _, m := range report.Emulator.Malformed {
		report.Violations = append(report.Violations, rules.Violation{Rule: rules.Unchanged, Text: "an engine received a malformed request: " + m})
	}
	report.LabUsage = ownUsage()
	for _, g := range gateways {
		if st := g.cmd.ProcessState; st != nil {
			report.GatewayUsage = append(report.GatewayUsage, processUsage(st))
		}
	}
	return report, ctx.Err()
}

func startAll(ctx context.Context, l launcher, count int) (gateways []*gateway, err error) {
	for i := range count {
		g, err := l.start(ctx, i)
		if err != nil {
			stopAll(gateways)
			return nil, err
		}
		gateways = append(gateways, g)
	}
	return gateways, nil
}

func newClients(gateways []*gateway, plan *scenario.Plan, grpc bool, c clock.Clock) (clients []load.Client, err error) {
	for _, g := range gateways {
		if !grpc {
			clients = append(clients, load.NewHTTP(g.listen, plan.Load.Connections, c))
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

// throttleProgress returns a callback for the load that passes the state on to
// options.Progress at most once a second; nil if nobody wants it.
func throttleProgress(options Options, em *emulator.Emulator, c clock.Clock, total int, length float64) func(sent, done int) {
	if options.Progress == nil {
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
			options.Progress(Progress{
				ElapsedS: (now - em.StartedAt()) / 1000, LengthS: length, Sent: sent, Done: done, All: total, Violations: len(em.Rules().Violations()),
			})
		}
	}
}

// waitForReleases waits until engines hold nothing any more, at most releaseTimeout.
func waitForReleases(em *emulator.Emulator) {
	for deadline := time.Now().Add(releaseTimeout); em.HoldCount() > 0 && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
}
