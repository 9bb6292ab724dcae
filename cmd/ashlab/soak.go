package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"ashwood.example/ashwood/lab/soak"
)

func soakCommand() *cobra.Command {
	var first uint64
	var seeds, parallel int
	var length time.Duration
	var script, silence, termination, flood, departure bool
	options := soak.Options{LogLevel: "debug"}
	cmd := &cobra.Command{
		Use: "soak", Args: cobra.NoArgs, Short: "Play scenarios of overlapping faults on real processes, one for each seed",
		Long: `Draws a scenario for each seed: gateways, engines, settings, clients, and faults and signals
that overlap. Plays it on real processes over loopback, and checks every rule against what engines
and clients observe. A scenario that violates one is printed with its script and the history of
the requests concerned; --first SEED --seeds 1 plays it again.

It exits with 1 if a rule was violated or a gateway crashed.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Program == "" {
				var err error
				if options.Program, err = siblingProgram("ashwood"); err != nil {
					return err
				}
			}
			var mu sync.Mutex
			var workers sync.WaitGroup
			var total soak.Counts
			failed := 0
			next := make(chan uint64)
			for range max(parallel, 1) {
				workers.Go(func() {
					for seed := range next {
						faultScenario, playOptions := soak.Generate(seed, length), options
						switch {
						case silence:
							faultScenario = soak.GenerateSilence(seed, length)
						case termination:
							faultScenario = soak.GenerateTermination(seed, length)
						case flood:
							faultScenario = soak.GenerateFlood(seed, length)
						case departure:
							faultScenario = soak.GenerateDeparture(seed, length)
						}
						if options.Logs != "" {
							playOptions.Logs = filepath.Join(options.Logs, fmt.Sprint(seed))
						}
						report, err := soak.Play(cmd.Context(), faultScenario, playOptions)
						mu.Lock()
						switch {
						case err != nil:
							failed++
							fmt.Fprintf(cmd.OutOrStdout(), "seed %d could not be played: %v\n", seed, err)
						case !report.OK():
							failed++
							fmt.Fprint(cmd.OutOrStdout(), report)
						case script:
							fmt.Fprint(cmd.OutOrStdout(), report)
						default:
							fmt.Fprintf(cmd.OutOrStdout(), "seed %d: rules kept; %+v\n", seed, report.Counts)
						}
						if report != nil {
							total.Add(report.Counts)
						}
						mu.Unlock()
					}
				})
			}
			for i := range seeds {
				next <- first + uint64(i)
			}
			close(next)
			workers.Wait()
			fmt.Fprintf(cmd.OutOrStdout(), "%d seeds, %d with broken rules; %+v\n", seeds, failed, total)
			if failed > 0 {
				return errRuleViolated
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&first, "first", 1, "the first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 10, "number of seeds to play")
	cmd.Flags().IntVar(&parallel, "parallel", 2, "number of scenarios to play at once")
	cmd.Flags().DurationVar(&length, "length", 8*time.Second, "time for which clients send requests")
	cmd.Flags().BoolVar(&silence, "silence", false, "scenarios in which all engines fall silent and come back one by one")
	cmd.Flags().BoolVar(&termination, "ending", false, "scenarios in which gateways get SIGTERM and are paused around it")
	cmd.Flags().BoolVar(&flood, "flood", false, "scenarios in which clients send unsound requests at full speed and engines stop short")
	cmd.Flags().BoolVar(&departure, "leave", false, "scenarios in which clients leave while they send at full speed and gateways are paused")
	cmd.MarkFlagsMutuallyExclusive("silence", "ending", "flood", "leave")
	cmd.Flags().BoolVar(&script, "script", false, "print the script of every scenario")
	cmd.Flags().StringVar(&options.Program, "program", "", "daemon to start; default: ashwood in this program's folder")
	cmd.Flags().StringVar(&options.Logs, "logs", "", "folder for the gateways' logs, with a folder for each seed")
	return cmd
}
