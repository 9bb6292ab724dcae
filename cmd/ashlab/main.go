// Command ashlab is the command line of the laboratory: it emulates fleets, plays
// scenarios against gateways, and records and compares the results. The packages under
// lab/ do the work; this one has the flags, the output and the exit codes.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "ashlab:", err)
		stop()
		os.Exit(exitCode(err))
	}
}

// errRuleViolated is the error of a run in which a rule was violated or a gateway crashed.
var errRuleViolated = errors.New("a rule was broken or a gateway crashed")

// errBoundExceeded is the error of two recordings whose distance exceeds --bound.
var errBoundExceeded = errors.New("the recordings lie further apart than the bound")

// exitCode is 1 if a run's verdict is negative, and 2 if the run could not be made.
func exitCode(err error) int {
	if errors.Is(err, errRuleViolated) || errors.Is(err, errBoundExceeded) {
		return 1
	}
	return 2
}

func rootCommand() *cobra.Command {
	var verbose bool
	cmd := &cobra.Command{
		Use: "ashlab", Short: "Emulates fleets and rehearses incidents against gateways", SilenceUsage: true, SilenceErrors: true,
	}
	cmd.PersistentFlags().BoolVarP(&verbose, "verbose", "v", false, "log what engines and listeners do, to standard error")
	logger := func() *slog.Logger {
		if !verbose {
			return slog.New(slog.DiscardHandler)
		}
		return slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	cmd.AddCommand(rehearseCommand(logger), scenariosCommand(), emulateCommand(logger), loadCommand(), recordCommand(), compareCommand(),
		fleetCommand(), soakCommand())
	return cmd
}
