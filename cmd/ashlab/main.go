// Command ashlab is the laboratory's command line: it emulates fleets, runs scenarios
// against gateways, and compares their results. The packages under lab/ do the work.
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
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "ashlab:", err)
		stop()
		os.Exit(exitCode(err))
	}
}

// errBroken is returned by a run in which a rule was broken or a gateway crashed.
var errBroken = errors.New("a rule was broken or a gateway crashed")

// errDistance is returned if the distance of two recordings exceeds --bound.
var errDistance = errors.New("the distance of the recordings exceeds the bound")

// exitCode returns 1 for a negative verdict and 2 for a run that could not be made.
func exitCode(err error) int {
	if errors.Is(err, errBroken) || errors.Is(err, errDistance) {
		return 1
	}
	return 2
}

func root() *cobra.Command {
	var verbose bool
	cmd := &cobra.Command{
		Use: "ashlab", Short: "Emulates fleets and rehearses incidents against gateways", SilenceUsage: true, SilenceErrors: true,
	}
	cmd.PersistentFlags().BoolVarP(&verbose, "verbose", "v", false, "log what boxes and listeners do, to standard error")
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
