package main

import (
	"time"

	"github.com/spf13/cobra"

	"ashwood.example/ashwood/lab/fleet"
)

func fleetCommand() *cobra.Command {
	var cold time.Duration
	cmd := &cobra.Command{
		Use: "fleet DIR", Args: cobra.ExactArgs(1), Short: "Count over a fleet what its gateways' debug logs tell",
		Long: `Reads a folder with a log for each gateway (*.log, ASHWOOD_LOG=debug) and prints
what they did in sum, by second and by engine: attempts by outcome, new connections,
probes, calls for lists, places asked for, answers and refusals by reason, sends to
engines that were cold, and how long after the news of a drain something was still sent.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := fleet.Read(args[0], cold)
			if err != nil {
				return err
			}
			return f.Print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&cold, "cold", 12*time.Second, "for how long after its start an engine counts as cold")
	return cmd
}
