package fleet

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// columns are the names that any of the counts hold, in order.
func columns(all []Counts) []string {
	names := map[string]bool{}
	for _, c := range all {
		for name := range c {
			names[name] = true
		}
	}
	var cols []string
	for name := range names {
		cols = append(cols, name)
	}
	slices.Sort(cols)
	return cols
}

func row(c Counts, cols []string) string {
	var b strings.Builder
	for _, name := range cols {
		if n := c[name]; n > 0 {
			fmt.Fprint(&b, n)
		}
		b.WriteByte('\t')
	}
	return b.String()
}

// Print writes a table by second and one by engine, sums over all gateways.
func (f *Fleet) Print(w io.Writer) error {
	fmt.Fprintf(w, "%d gateways, %d engines, %d seconds\n", f.Gateways, len(f.Engines), len(f.Seconds))
	if f.Skipped > 0 {
		fmt.Fprintf(w, "%d lines could not be read and are left out; the first: %q\n", f.Skipped, f.Example)
	}
	fmt.Fprintln(w, "\nBy second, over all gateways and engines:")
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	cols, total := columns(f.Seconds), Counts{}
	fmt.Fprintf(tab, "second\t%s\t\n", strings.Join(cols, "\t"))
	for s, c := range f.Seconds {
		fmt.Fprintf(tab, "%d\t%s\n", s, row(c, cols))
		for name, n := range c {
			total[name] += n
		}
	}
	fmt.Fprintf(tab, "all\t%s\n", row(total, cols))
	tab.Flush()
	fmt.Fprintln(w, "\nBy engine, over all gateways; cold: sends while cold, and the most within a second;")
	fmt.Fprintln(w, "late: ms at most from the news that it drains or is gone to a send:")
	var engines []*Engine
	var counts []Counts
	for _, e := range f.Engines {
		engines, counts = append(engines, e), append(counts, e.Counts)
	}
	slices.SortFunc(engines, func(a, b *Engine) int {
		return strings.Compare(a.Kind+"\x00"+a.Zone+"\x00"+a.Cell+"\x00"+a.ID, b.Kind+"\x00"+b.Zone+"\x00"+b.Cell+"\x00"+b.ID)
	})
	cols = columns(counts)
	fmt.Fprintf(tab, "engine\tkind\tzone\tcell\t%s\tcold\tpeak\tlate\t\n", strings.Join(cols, "\t"))
	for _, e := range engines {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s%d\t%d\t%.0f\t\n", e.ID, e.Kind, e.Zone, e.Cell, row(e.Counts, cols), len(e.Cold), e.Peak(), e.Late)
	}
	return tab.Flush()
}
