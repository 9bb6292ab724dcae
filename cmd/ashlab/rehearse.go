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
	var opt rehearse.Options
	var out, recording string
	var seed uint64
	var length float64
	cmd := &cobra.Command{
		Use: "rehearse SCENARIO", Args: cobra.ExactArgs(1), Short: "Play a scenario: emulator, gateways and load, then a report",
		Long: `Starts an emulator, gateways and a load on loopback, ends by itself, and prints a
report by class and by window of 5 s. SCENARIO is a shipped one ("ashlab scenarios"
lists them) or the path of a .toml file.

It exits with 1 if a rule was broken or a gateway crashed, and with 2 if the
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
			if opt.Scenario, opt.Log = s, logger(); opt.Program == "" {
				if opt.Program, err = siblingProgram("ashwood"); err != nil {
					return err
				}
			}
			if recording != "" && opt.Logs == "" {
				dir, err := os.MkdirTemp("", "ashlab")
				if err != nil {
					return err
				}
				defer os.RemoveAll(dir)
				opt.Logs = dir
			}
			if isTerminal(os.Stderr) {
				opt.Progress = func(p rehearse.Progress) {
					fmt.Fprintf(os.Stderr, "\r%3.0f of %.0f s   %d of %d sent, %d answered   %d rules broken ", p.Seconds, p.Length, p.Sent, p.Total, p.Done, p.Violations)
				}
				defer fmt.Fprintln(os.Stderr)
			}
			report, err := rehearse.Run(cmd.Context(), opt)
			if err != nil {
				return err
			}
			if out != "" {
				if err := writeJSON(out, report); err != nil {
					return err
				}
			}
			if recording != "" {
				logs, err := filepath.Glob(filepath.Join(opt.Logs, "n*.log"))
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
				return errBroken
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.IntVar(&opt.Gateways, "gateways", 0, "how many gateways; 0 = as the scenario says")
	f.StringVar(&opt.Program, "ashwood", "", "the daemon to start; default: the one beside this program")
	f.BoolVar(&opt.GRPC, "grpc", false, "clients and boxes speak gRPC in place of HTTP/1.1")
	f.StringVar(&opt.Logs, "logs", "", "folder for the gateways' debug logs")
	f.StringVar(&out, "json", "", "write the report to this file")
	f.StringVar(&recording, "record", "", "write a recording of the gateways' logs to this file")
	f.Uint64Var(&seed, "seed", 0, "in place of the scenario's")
	f.Float64Var(&length, "length", 0, "seconds, in place of the scenario's; faults that begin later are left out")
	f.Float64Var(&opt.Limits.Cores, "cores", 1, "of a gateway, as its configuration says")
	f.Float64Var(&opt.Limits.MemoryMB, "memory-mb", 192, "of a gateway")
	f.IntVar(&opt.Limits.Sockets, "sockets", 1024, "of a gateway")
	cmd.PreRunE = func(cmd *cobra.Command, args []string) error {
		if opt.Gateways < 0 || opt.Gateways > 64 {
			return fmt.Errorf("--gateways: %d is not from 1 to 64", opt.Gateways)
		}
		if cmd.Flags().Changed("length") && !(length >= 1 && length <= 86400) {
			return fmt.Errorf("--length: %v is not from 1 to 86400", length)
		}
		return nil
	}
	return cmd
}

// siblingProgram returns the path of a program in this program's directory.
func siblingProgram(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("no %s beside this program (go build -o bin/ ./cmd/... makes it): %w", name, err)
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
					if err := describe(w, name); err != nil {
						return err
					}
				}
				return nil
			}
			var errs []error
			for _, name := range args {
				errs = append(errs, describe(w, name))
			}
			return errors.Join(errs...)
		},
	}
}

func describe(w io.Writer, name string) error {
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
