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
	var script, silence, ending bool
	opt := soak.Options{LogLevel: "debug"}
	cmd := &cobra.Command{
		Use: "soak", Args: cobra.NoArgs, Short: "Play stories of overlapping faults on real processes, one for each seed",
		Long: `Draws a story for each seed: gateways, engines, settings, clients, and faults and signals
that overlap. Plays it on real processes over loopback, and counts every rule from what engines
and clients see. A story that breaks one is printed with its script and what its requests went
through; --first SEED --seeds 1 plays it again.

It exits with 1 if a rule was broken or a gateway crashed.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opt.Program == "" {
				var err error
				if opt.Program, err = siblingProgram("ashwood"); err != nil {
					return err
				}
			}
			var mu sync.Mutex
			var all sync.WaitGroup
			var sum soak.Counts
			broken := 0
			next := make(chan uint64)
			for range max(parallel, 1) {
				all.Go(func() {
					for seed := range next {
						faults, options := soak.Generate(seed, length), opt
						switch {
						case silence:
							faults = soak.GenerateSilence(seed, length)
						case ending:
							faults = soak.GenerateTermination(seed, length)
						}
						if opt.Logs != "" {
							options.Logs = filepath.Join(opt.Logs, fmt.Sprint(seed))
						}
						report, err := soak.Play(cmd.Context(), faults, options)
						mu.Lock()
						switch {
						case err != nil:
							broken++
							fmt.Fprintf(cmd.OutOrStdout(), "seed %d could not be played: %v\n", seed, err)
						case !report.OK():
							broken++
							fmt.Fprint(cmd.OutOrStdout(), report)
						case script:
							fmt.Fprint(cmd.OutOrStdout(), report)
						default:
							fmt.Fprintf(cmd.OutOrStdout(), "seed %d: rules kept; %+v\n", seed, report.Counts)
						}
						if report != nil {
							sum.Add(report.Counts)
						}
						mu.Unlock()
					}
				})
			}
			for i := range seeds {
				next <- first + uint64(i)
			}
			close(next)
			all.Wait()
			fmt.Fprintf(cmd.OutOrStdout(), "%d seeds, %d with broken rules; %+v\n", seeds, broken, sum)
			if broken > 0 {
				return errBroken
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&first, "first", 1, "the first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 10, "how many seeds to play")
	cmd.Flags().IntVar(&parallel, "parallel", 2, "how many stories to play at once")
	cmd.Flags().DurationVar(&length, "length", 8*time.Second, "for how long clients ask")
	cmd.Flags().BoolVar(&silence, "silence", false, "stories in which all engines fall silent and come back one by one")
	cmd.Flags().BoolVar(&ending, "ending", false, "stories of gateways that are told to end and stopped around that")
	cmd.MarkFlagsMutuallyExclusive("silence", "ending")
	cmd.Flags().BoolVar(&script, "script", false, "print the script of every story")
	cmd.Flags().StringVar(&opt.Program, "program", "", "the gateway's program; ashwood beside this one by default")
	cmd.Flags().StringVar(&opt.Logs, "logs", "", "a folder for the gateways' logs, one folder a seed")
	return cmd
}
