package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/spf13/cobra"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lab/emulator"
	"ashwood.example/ashwood/lab/load"
	"ashwood.example/ashwood/lab/rules"
	"ashwood.example/ashwood/lab/scenario"
)

// engineAddress is an engine and its addresses, as emulate prints them.
type engineAddress struct {
	ID   string `json:"id"`
	Kind string `json:"kind"`
	Zone string `json:"zone"`
	Cell int    `json:"cell"`
	HTTP string `json:"http"`
	GRPC string `json:"grpc,omitempty"`
}

func emulateCommand(logger func() *slog.Logger) *cobra.Command {
	var grpc bool
	var ip string
	var gateways int
	var delay time.Duration
	cmd := &cobra.Command{
		Use: "emulate SCENARIO", Args: cobra.ExactArgs(1), Short: "Serve a scenario's engines and discovery for gateways that you start yourself",
		Long: `Serves a scenario's engines and one discovery agent for each gateway on loopback.
It prints their addresses as JSON, one line for each gateway, with the settings for
the gateway's configuration. The scenario's time begins after --delay. The command
exits at the scenario's end or when it is interrupted, and prints the rule violations
that the engines observed.`,
		ValidArgsFunction: completeScenarios,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scenario.Open(args[0])
			if err != nil {
				return err
			}
			if gateways > 0 {
				s.Gateways = gateways
			}
			plan, err := s.Compile()
			if err != nil {
				return err
			}
			em, err := emulator.New(emulator.Config{Plan: plan, GRPC: grpc, IP: ip, Log: logger()})
			if err != nil {
				return err
			}
			err = emulate(cmd, em, plan, delay)
			return errors.Join(err, em.Close())
		},
	}
	f := cmd.Flags()
	f.BoolVar(&grpc, "grpc", false, "engines speak gRPC too")
	f.StringVar(&ip, "ip", emulator.DefaultIP, "loopback address of all listeners")
	f.IntVar(&gateways, "gateways", 0, "number of gateways; 0 = the scenario's")
	f.DurationVar(&delay, "delay", 5*time.Second, "time until the scenario begins")
	return cmd
}

// emulate prints the addresses, plays the scenario's faults and prints the violations.
func emulate(cmd *cobra.Command, em *emulator.Emulator, plan *scenario.Plan, delay time.Duration) error {
	out := json.NewEncoder(cmd.OutOrStdout())
	for g := range plan.Gateways {
		var engines []engineAddress
		for _, engine := range em.Engines(g) {
			engines = append(engines, engineAddress{engine.ID, engine.Kind, engine.Zone, engine.Cell, engine.HTTP, engine.GRPC})
		}
		if err := out.Encode(map[string]any{"gateway": g, "discovery": em.DiscoveryAddr(g), "boxes": engines, "settings": plan.Settings(g)}); err != nil {
			return err
		}
	}
	if !sleep(cmd.Context(), delay) {
		return nil
	}
	if err := em.Start(); err != nil {
		return err
	}
	sleep(cmd.Context(), time.Duration(plan.LengthS*float64(time.Second)))
	violations := em.Rules().Violations()
	for _, violation := range violations {
		fmt.Fprintf(cmd.ErrOrStderr(), "BROKEN RULE %s, request %s, box %s: %s\n", violation.Rule, violation.Request, violation.Engine, violation.Text)
	}
	if stats := em.Stats(); stats.Late() {
		fmt.Fprintf(cmd.ErrOrStderr(), "LATE: the emulator was %.1f ms late at p99\n", stats.LateP99)
	}
	if len(violations) > 0 {
		return errRuleViolated
	}
	return nil
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func loadCommand() *cobra.Command {
	var addrs []string
	var grpc bool
	var out string
	cmd := &cobra.Command{
		Use: "load SCENARIO --to ADDRESS…", Args: cobra.ExactArgs(1), Short: "Send a scenario's load to running gateways",
		ValidArgsFunction: completeScenarios,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scenario.Open(args[0])
			if err != nil {
				return err
			}
			s.Gateways = len(addrs)
			plan, err := s.Compile()
			if err != nil {
				return err
			}
			systemClock := clock.System()
			var clients []load.Client
			for _, addr := range addrs {
				if !grpc {
					clients = append(clients, load.NewHTTP(addr, plan.Load.Connections, systemClock))
					continue
				}
				client, err := load.NewGRPC(addr, systemClock)
				if err != nil {
					return err
				}
				clients = append(clients, client)
			}
			checker := rules.New(rules.PlatformLimits())
			runner := load.Runner{Plan: plan, Clients: clients, Clock: systemClock, Observer: checker}
			_, summary := runner.Run(cmd.Context(), systemClock.Now(), load.Draw(plan))
			for _, client := range clients {
				client.Close()
			}
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%d asked, service %.4f, worst class %.4f, first token p50 %.0f, p99 %.0f ms, sent late by %.2f ms at p99\n",
				summary.Whole.Offered, summary.Service, summary.WorstClass, summary.Whole.FirstP50, summary.Whole.FirstP99, summary.IntendedLag)
			for kind, n := range summary.Whole.Kinds {
				fmt.Fprintf(w, "%-10s %d\n", kind, n)
			}
			if out != "" {
				if err := writeJSON(out, summary); err != nil {
					return err
				}
			}
			if len(checker.Violations()) > 0 {
				return fmt.Errorf("%w: %s", errRuleViolated, checker.Violations()[0].Text)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&addrs, "to", nil, "addresses of the gateways, host:port")
	f.BoolVar(&grpc, "grpc", false, "use gRPC instead of HTTP/1.1")
	f.StringVar(&out, "json", "", "write the metrics to this file")
	cobra.CheckErr(cmd.MarkFlagRequired("to"))
	return cmd
}
