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
		Use: "record LOG… --name NAME --out FILE", Args: cobra.MinimumNArgs(1), Short: "Make a recording from gateways' debug logs",
		RunE: func(_ *cobra.Command, args []string) error { return recordLogs(args, name, source, out) },
	}
	f := cmd.Flags()
	f.StringVar(&name, "name", "", "name of the recording")
	f.StringVar(&source, "source", "gateways' logs", "description of the source")
	f.StringVar(&out, "out", "", "file to write")
	cobra.CheckErr(errors.Join(cmd.MarkFlagRequired("name"), cmd.MarkFlagRequired("out")))
	return cmd
}

// recordLogs makes a recording from gateways' logs and writes it to a file.
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
	rec, err := record.FromLogs(name, source, logs...)
	if err != nil {
		return err
	}
	f, err := os.Create(out)
	if err != nil {
		return err
	}
	return errors.Join(rec.Write(f), f.Close())
}

func compareCommand() *cobra.Command {
	var bound float64
	var out string
	cmd := &cobra.Command{
		Use: "compare A B", Args: cobra.ExactArgs(2), Short: "Measure the distance between two recordings",
		Long: `Prints by class the Kolmogorov-Smirnov distance of the times to the first token and
of whole answers, and the differences of the shares served, refused and failed.
With --bound it exits with 1 if any of these is greater than the bound.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := record.Open(args[0])
			if err != nil {
				return err
			}
			b, err := record.Open(args[1])
			if err != nil {
				return err
			}
			distance := record.Compare(a, b)
			if err := distance.Print(cmd.OutOrStdout(), a, b); err != nil {
				return err
			}
			if out != "" {
				if err := writeJSON(out, distance); err != nil {
					return err
				}
			}
			if cmd.Flags().Changed("bound") {
				if distance.Max > bound {
					return fmt.Errorf("%w: %.3f, the bound is %.3f", errBoundExceeded, distance.Max, bound)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "within %.3f\n", bound)
			}
			return nil
		},
	}
	cmd.Flags().Float64Var(&bound, "bound", 0, "maximum of each distance and difference")
	cmd.Flags().StringVar(&out, "json", "", "write the distance to this file")
	return cmd
}
