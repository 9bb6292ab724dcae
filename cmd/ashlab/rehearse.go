package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"ashwood.example/ashwood/lab/rehearse"
	"ashwood.example/ashwood/lab/scenario"
)

func rehearseCommand(logger func() *slog.Logger) *cobra.Command {
	var options rehearse.Options
	var out, recording string
	var seed uint64
	var length float64
	cmd := &cobra.Command{
		Use: "rehearse SCENARIO", Args: cobra.ExactArgs(1), Short: "Play a scenario: emulator, gateways and load, then a report",
		Long: `Starts an emulator, gateways and a load on loopback, and prints a report by class
and by window of 5 s at the scenario's end. SCENARIO is a shipped one ("ashlab scenarios"
lists them) or the path of a .toml file.

It exits with 1 if a rule was violated or a gateway crashed, and with 2 if the
rehearsal could not be made.`,
		ValidArgsFunction: completeScenarios,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scenario.Open(args[0])
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				s.Seed = seed
			}
			if cmd.Flags().Changed("length") {
				s.Shorten(length)
			}
			if options.Scenario, options.Log = s, logger(); options.Program == "" {
				if options.Program, err = siblingProgram("ashwood"); err != nil {
					return err
				}
			}
			if recording != "" && options.Logs == "" {
				dir, err := os.MkdirTemp("", "ashlab")
				if err != nil {
					return err
				}
				defer os.RemoveAll(dir)
				options.Logs = dir
			}
			if isTerminal(os.Stderr) {
				options.Progress = func(p rehearse.Progress) {
					fmt.Fprintf(os.Stderr, "\r%3.0f of %.0f s   %d of %d sent, %d answered   %d rules broken ", p.ElapsedS, p.LengthS, p.Sent, p.All, p.Done, p.Violations)
				}
				defer fmt.Fprintln(os.Stderr)
			}
			report, err := rehearse.Run(cmd.Context(), options)
			if err != nil {
				return err
			}
			if out != "" {
				if err := writeJSON(out, report); err != nil {
					return err
				}
			}
			if recording != "" {
				logs, err := filepath.Glob(filepath.Join(options.Logs, "n*.log"))
				if err != nil {
					return err
				}
				if err := recordLogs(logs, report.Scenario, fmt.Sprintf("a rehearsal, seed %d", report.Seed), recording); err != nil {
					return err
				}
			}
			if err := report.Print(cmd.OutOrStdout()); err != nil {
				return err
			}
			if !report.OK() {
				return errRuleViolated
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.IntVar(&options.Gateways, "gateways", 0, "number of gateways; 0 = the scenario's")
	f.StringVar(&options.Program, "ashwood", "", "daemon to start; default: ashwood in this program's folder")
	f.BoolVar(&options.GRPC, "grpc", false, "clients and engines speak gRPC instead of HTTP/1.1")
	f.StringVar(&options.Logs, "logs", "", "folder for the gateways' debug logs")
	f.StringVar(&out, "json", "", "write the report to this file")
	f.StringVar(&recording, "record", "", "write a recording of the gateways' logs to this file")
	f.Uint64Var(&seed, "seed", 0, "seed instead of the scenario's")
	f.Float64Var(&length, "length", 0, "seconds, instead of the scenario's; faults that begin later are left out")
	f.Float64Var(&options.Limits.Cores, "cores", 1, "cores of a gateway in its configuration")
	f.Float64Var(&options.Limits.MemoryMB, "memory-mb", 192, "memory of a gateway in its configuration")
	f.IntVar(&options.Limits.Sockets, "sockets", 1024, "sockets of a gateway in its configuration")
	cmd.PreRunE = func(cmd *cobra.Command, args []string) error {
		if options.Gateways < 0 || options.Gateways > 64 {
			return fmt.Errorf("--gateways: %d is not from 1 to 64", options.Gateways)
		}
		if cmd.Flags().Changed("length") && !(length >= 1 && length <= 86400) {
			return fmt.Errorf("--length: %v is not from 1 to 86400", length)
		}
		return nil
	}
	return cmd
}

// siblingProgram returns the path of a program in the folder of this one.
func siblingProgram(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("no %s in the folder of this program (go build -o bin/ ./cmd/... builds it): %w", name, err)
	}
	return path, nil
}

func writeJSON(path string, v any) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	e := json.NewEncoder(f)
	e.SetIndent("", "  ")
	return errors.Join(e.Encode(v), f.Close())
}

// isTerminal tells whether a file is a character device, as a terminal is.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func completeScenarios(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return scenario.Names(), cobra.ShellCompDirectiveDefault
}

func scenariosCommand() *cobra.Command {
	return &cobra.Command{
		Use: "scenarios [FILE…]", Short: "List the shipped scenarios, or check scenario files",
		RunE: func(cmd *cobra.Command, args []string) error {
			w := cmd.OutOrStdout()
			if len(args) == 0 {
				for _, name := range scenario.Names() {
					if err := printScenario(w, name); err != nil {
						return err
					}
				}
				return nil
			}
			var errs []error
			for _, name := range args {
				errs = append(errs, printScenario(w, name))
			}
			return errors.Join(errs...)
		},
	}
}

// printScenario reads and compiles a scenario and prints a line about it.
func printScenario(w io.Writer, name string) error {
	s, err := scenario.Open(name)
	if err != nil {
		return err
	}
	p, err := s.Compile()
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	_, err = fmt.Fprintf(w, "%-24s %3.0f s, %d boxes, %.0f requests a second: %s\n", s.Name, s.LengthS, len(p.Engine.Engines), s.Load.RatePerS, s.About)
	return err
}
