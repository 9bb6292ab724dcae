package rehearse

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"ashwood.example/ashwood/lab/load"
)

// breaksShown is how many broken rules a report prints in full.
const breaksShown = 10

// Print writes a report as tables by class and by window.
func (r *Report) Print(w io.Writer) error {
	s := r.Summary
	fmt.Fprintf(w, "%s, seed %d: %d gateways, %d boxes, %s, %.0f s\n", r.Scenario, r.Seed, r.Gateways, r.Boxes, r.Wire, r.LengthS)
	fmt.Fprintf(w, "service %.4f   worst class %.4f   worst 10 s %.4f   score %.4f\n\n", s.Service, s.WorstClass, s.WorstTen, s.Score)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := "offered\tin time%\tlate%\trefused%\tfailed%\ttries\tfirst p50\tp99 ms\ttotal p50\tp99 ms\tservice\t"
	fmt.Fprintln(t, "class\t"+head)
	names := make([]string, 0, len(s.Classes))
	for name := range s.Classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		row(t, name, s.Classes[name])
	}
	row(t, "all", s.Whole)
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	fmt.Fprintln(t, "from s\t"+head)
	for i, win := range s.Windows {
		row(t, fmt.Sprintf("%.0f", float64(i)*load.WindowMs/1000), win)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	c := r.Counts
	fmt.Fprintf(w, "\ntries %d   attempts %d   answers begun %d   side effects run twice %d   places %d   releases %d   held at the end %d\n",
		c.Requests, c.Attempts, c.Runs, c.Doubles, c.Places, c.Releases, r.Held)
	for i, u := range r.Usage {
		fmt.Fprintf(w, "gateway %d: %.1f CPU s, %.0f MB at most\n", i, u.CPUSeconds, u.MaxRSSMB)
	}
	fmt.Fprintf(w, "the lab: %.1f CPU s, %.0f MB at most; the emulator late by p50 %.2f, p99 %.2f, most %.1f ms, the load by p99 %.2f ms\n",
		r.Own.CPUSeconds, r.Own.MaxRSSMB, r.Emulator.LateP50, r.Emulator.LateP99, r.Emulator.LateMax, s.IntendedLag)
	if r.Emulator.Late() {
		fmt.Fprintln(w, "LATE: the emulator did not keep up; do not trust the latencies, take a smaller load or more cores")
	}
	for _, text := range r.Crashes {
		fmt.Fprintln(w, "CRASH:", text)
	}
	for i, b := range r.Breaks {
		if i == breaksShown {
			fmt.Fprintf(w, "and %d more broken rules\n", len(r.Breaks)-i)
			break
		}
		fmt.Fprintf(w, "BROKEN RULE %s at %.1f s, request %s, box %s: %s\n", b.Rule, max(0, b.At-r.begun)/1000, b.Request, b.Engine, b.Text)
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

func row(t io.Writer, name string, w *load.Window) {
	share := func(kinds ...load.Kind) float64 {
		n := 0
		for _, k := range kinds {
			n += w.Kinds[k]
		}
		return 100 * float64(n) / float64(max(1, w.Offered))
	}
	fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.4f\t\n", name, w.Offered, share(load.InTime), share(load.Late),
		share(load.Refused), share(load.Failed, load.Broken, load.Timeout, load.Left), float64(w.Tries)/float64(max(1, w.Offered)),
		w.FirstP50, w.FirstP99, w.TotalP50, w.TotalP99, w.Service())
}
