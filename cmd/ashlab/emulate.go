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

// engineAddress is an engine's entry in the output of emulate.
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
		Use: "emulate SCENARIO", Args: cobra.ExactArgs(1), Short: "Serve a scenario's boxes and discovery for gateways of your own",
		Long: `Serves a scenario's boxes and one agent of discovery for each gateway on loopback.
It prints their addresses as JSON, a line for each gateway, with the settings that
the gateway's configuration wants. The scenario's faults begin after --delay; it
ends at the scenario's end or when it is interrupted, and tells the rules that it
saw broken on the boxes' side.`,
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
	f.BoolVar(&grpc, "grpc", false, "boxes speak gRPC too")
	f.StringVar(&ip, "ip", emulator.DefaultIP, "loopback address of all listeners")
	f.IntVar(&gateways, "gateways", 0, "how many gateways it is for; 0 = as the scenario says")
	f.DurationVar(&delay, "delay", 5*time.Second, "until the scenario's time begins")
	return cmd
}

func emulate(cmd *cobra.Command, em *emulator.Emulator, plan *scenario.Plan, delay time.Duration) error {
	out := json.NewEncoder(cmd.OutOrStdout())
	for g := range plan.Gateways {
		var engines []engineAddress
		for _, b := range em.Engines(g) {
			engines = append(engines, engineAddress{b.ID, b.Kind, b.Zone, b.Cell, b.HTTP, b.GRPC})
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
	for _, b := range violations {
		fmt.Fprintf(cmd.ErrOrStderr(), "BROKEN RULE %s, request %s, box %s: %s\n", b.Rule, b.Request, b.Engine, b.Text)
	}
	if st := em.Stats(); st.Late() {
		fmt.Fprintf(cmd.ErrOrStderr(), "LATE: the emulator was %.1f ms late at p99\n", st.LateP99)
	}
	if len(violations) > 0 {
		return errBroken
	}
	return nil
}

// sleep waits for d; it returns false if ctx ends before.
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
		Use: "load SCENARIO --to ADDRESS…", Args: cobra.ExactArgs(1), Short: "Send a scenario's load to gateways that run already",
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
			c := clock.System()
			var clients []load.Client
			for _, addr := range addrs {
				if !grpc {
					clients = append(clients, load.NewHTTP(addr, plan.Load.MaxConnections, c))
					continue
				}
				client, err := load.NewGRPC(addr, c)
				if err != nil {
					return err
				}
				clients = append(clients, client)
			}
			checker := rules.New(rules.PlatformLimits())
			runner := load.Runner{Plan: plan, Clients: clients, Clock: c, Watch: checker}
			_, summary := runner.Run(cmd.Context(), c.Now(), load.Draw(plan))
			for _, client := range clients {
				client.Close()
			}
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%d asked, service %.4f, worst class %.4f, first token p50 %.0f, p99 %.0f ms, sent late by %.2f ms at p99\n",
				summary.Overall.Offered, summary.Service, summary.WorstClass, summary.Overall.FirstP50, summary.Overall.FirstP99, summary.SendLagP99Ms)
			for kind, n := range summary.Overall.Kinds {
				fmt.Fprintf(w, "%-10s %d\n", kind, n)
			}
			if out != "" {
				if err := writeJSON(out, summary); err != nil {
					return err
				}
			}
			if len(checker.Violations()) > 0 {
				return fmt.Errorf("%w: %s", errBroken, checker.Violations()[0].Text)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&addrs, "to", nil, "addresses of the gateways, host:port")
	f.BoolVar(&grpc, "grpc", false, "over gRPC in place of HTTP/1.1")
	f.StringVar(&out, "json", "", "write the figures to this file")
	cobra.CheckErr(cmd.MarkFlagRequired("to"))
	return cmd
}
