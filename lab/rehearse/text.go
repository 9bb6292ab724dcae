package rehearse

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"ashwood.example/ashwood/lab/load"
)

// maxViolationsPrinted is how many broken rules a report prints in full.
const maxViolationsPrinted = 10

// Print writes the report as tables by class and by window.
func (r *Report) Print(w io.Writer) error {
	s := r.Summary
	fmt.Fprintf(w, "%s, seed %d: %d gateways, %d boxes, %s, %.0f s\n", r.Scenario, r.Seed, r.Gateways, r.Engines, r.Wire, r.LengthS)
	fmt.Fprintf(w, "service %.4f   worst class %.4f   worst 10 s %.4f   score %.4f\n\n", s.Service, s.WorstClass, s.Worst10s, s.Score)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "offered\tin time%\tlate%\trefused%\tfailed%\ttries\tfirst p50\tp99 ms\ttotal p50\tp99 ms\tservice\t"
	fmt.Fprintln(table, "class\t"+header)
	names := make([]string, 0, len(s.Classes))
	for name := range s.Classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		printRow(table, name, s.Classes[name])
	}
	printRow(table, "all", s.Overall)
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	fmt.Fprintln(table, "from s\t"+header)
	for i, window := range s.Windows {
		printRow(table, fmt.Sprintf("%.0f", float64(i)*load.WindowMs/1000), window)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	c := r.Counts
	fmt.Fprintf(w, "\ntries %d   attempts %d   answers begun %d   side effects run twice %d   places %d   releases %d   held at the end %d\n",
		c.Requests, c.Attempts, c.Runs, c.Doubles, c.Places, c.Releases, r.HoldsAtEnd)
	for i, u := range r.GatewayUsage {
		fmt.Fprintf(w, "gateway %d: %.1f CPU s, %.0f MB at most\n", i, u.CPUSeconds, u.MaxRSSMB)
	}
	fmt.Fprintf(w, "the lab: %.1f CPU s, %.0f MB at most; the emulator late by p50 %.2f, p99 %.2f, most %.1f ms, the load by p99 %.2f ms\n",
		r.LabUsage.CPUSeconds, r.LabUsage.MaxRSSMB, r.Emulator.LateP50, r.Emulator.LateP99, r.Emulator.LateMax, s.SendLagP99Ms)
	if r.Emulator.Late() {
		fmt.Fprintln(w, "LATE: the emulator did not keep up; do not trust the latencies, take a smaller load or more cores")
	}
	for _, text := range r.Crashes {
		fmt.Fprintln(w, "CRASH:", text)
	}
	for i, b := range r.Violations {
		if i == maxViolationsPrinted {
			fmt.Fprintf(w, "and %d more broken rules\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "BROKEN RULE %s at %.1f s, request %s, box %s: %s\n", b.Rule, max(0, b.At-r.startMs)/1000, b.Request, b.Engine, b.Text)
		for _, line := range b.History {
			fmt.Fprintln(w, "   ", strings.TrimSpace(line))
		}
	}
	verdict := "rules kept"
	if !r.OK() {
		verdict = "NOT OK"
	}
	_, err := fmt.Fprintln(w, verdict)
	return err
}

// printRow writes one row of a table.
func printRow(table io.Writer, name string, window *load.Window) {
	share := func(kinds ...load.Kind) float64 {
		n := 0
		for _, k := range kinds {
			n += window.Kinds[k]
		}
		return 100 * float64(n) / float64(max(1, window.Offered))
	}
	fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.4f\t\n", name, window.Offered, share(load.InTime), share(load.Late),
		share(load.Refused), share(load.Failed, load.Broken, load.Timeout, load.Left), float64(window.Tries)/float64(max(1, window.Offered)),
		window.FirstP50, window.FirstP99, window.TotalP50, window.TotalP99, window.Service())
}
