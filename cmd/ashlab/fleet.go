package main

import (
	"time"

	"github.com/spf13/cobra"

	"ashwood.example/ashwood/lab/fleet"
)

func fleetCommand() *cobra.Command {
	var cold time.Duration
	cmd := &cobra.Command{
		Use: "fleet DIR", Args: cobra.ExactArgs(1), Short: "Summarize the debug logs of a fleet's gateways",
		Long: `Reads a folder with a log for each gateway (*.log, ASHWOOD_LOG=debug) and prints
what they did in total, by second and by engine: attempts by outcome, new connections,
probes, discovery calls, reservations requested, answers and refusals by reason, attempts
sent to cold engines, and how long after the notice of a drain something was still sent.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := fleet.Read(args[0], cold)
			if err != nil {
				return err
			}
			return f.Print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&cold, "cold", 12*time.Second, "time after its start for which an engine counts as cold")
	return cmd
}
