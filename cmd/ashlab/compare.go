package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"ashwood.example/ashwood/lab/record"
)

func recordCommand() *cobra.Command {
	var name, source, out string
	cmd := &cobra.Command{
		Use: "record LOG… --name NAME --out FILE", Args: cobra.MinimumNArgs(1), Short: "Make a recording of a day from gateways' debug logs",
		RunE: func(_ *cobra.Command, args []string) error { return recordLogs(args, name, source, out) },
	}
	f := cmd.Flags()
	f.StringVar(&name, "name", "", "of the recording")
	f.StringVar(&source, "source", "gateways' logs", "what it was recorded from, in words")
	f.StringVar(&out, "out", "", "file to write")
	cobra.CheckErr(errors.Join(cmd.MarkFlagRequired("name"), cmd.MarkFlagRequired("out")))
	return cmd
}

// recordLogs writes a recording of gateways' logs to a file.
func recordLogs(paths []string, name, source, out string) error {
	var logs []io.Reader
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		logs = append(logs, f)
	}
	recording, err := record.FromLogs(name, source, logs...)
	if err != nil {
		return err
	}
	f, err := os.Create(out)
	if err != nil {
		return err
	}
	return errors.Join(recording.Write(f), f.Close())
}

func compareCommand() *cobra.Command {
	var bound float64
	var out string
	cmd := &cobra.Command{
		Use: "compare A B", Args: cobra.ExactArgs(2), Short: "Tell how far two recordings lie apart",
		Long: `Prints by class the Kolmogorov-Smirnov distance of the times to the first token and
of whole answers, and the differences of the shares served, refused and failed.
With --bound it exits with 1 where any of these lies above it.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := record.Open(args[0])
			if err != nil {
				return err
			}
			b, err := record.Open(args[1])
			if err != nil {
				return err
			}
			d := record.Compare(a, b)
			if err := d.Print(cmd.OutOrStdout(), a, b); err != nil {
				return err
			}
			if out != "" {
				if err := writeJSON(out, d); err != nil {
					return err
				}
			}
			if cmd.Flags().Changed("bound") {
				if d.Max > bound {
					return fmt.Errorf("%w: %.3f, the bound is %.3f", errDistance, d.Max, bound)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "within %.3f\n", bound)
			}
			return nil
		},
	}
	cmd.Flags().Float64Var(&bound, "bound", 0, "most that any figure may lie apart")
	cmd.Flags().StringVar(&out, "json", "", "write the distance to this file")
	return cmd
}
