package fleet

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// columnNames returns the sorted names that occur in any of the counts.
func columnNames(all []Counts) []string {
	names := map[string]bool{}
	for _, c := range all {
		for name := range c {
			names[name] = true
		}
	}
	var columns []string
	for name := range names {
		columns = append(columns, name)
	}
	slices.Sort(columns)
	return columns
}

func formatRow(c Counts, names []string) string {
	var b strings.Builder
	for _, name := range names {
		if n := c[name]; n > 0 {
			fmt.Fprint(&b, n)
		}
		b.WriteByte('\t')
	}
	return b.String()
}

// Print writes one table by second and one by engine, both summed over all gateways.
func (f *Fleet) Print(w io.Writer) error {
	fmt.Fprintf(w, "%d gateways, %d engines, %d seconds\n", f.Gateways, len(f.Engines), len(f.Seconds))
	if f.Skipped > 0 {
		fmt.Fprintf(w, "%d lines could not be read and are left out; the first: %q\n", f.Skipped, f.FirstSkipped)
	}
	fmt.Fprintln(w, "\nBy second, over all gateways and engines:")
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	names, total := columnNames(f.Seconds), Counts{}
	fmt.Fprintf(table, "second\t%s\t\n", strings.Join(names, "\t"))
	for s, c := range f.Seconds {
		fmt.Fprintf(table, "%d\t%s\n", s, formatRow(c, names))
		for name, n := range c {
			total[name] += n
		}
	}
	fmt.Fprintf(table, "all\t%s\n", formatRow(total, names))
	table.Flush()
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
	names = columnNames(counts)
	fmt.Fprintf(table, "engine\tkind\tzone\tcell\t%s\tcold\tpeak\tlate\t\n", strings.Join(names, "\t"))
	for _, e := range engines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s%d\t%d\t%.0f\t\n", e.ID, e.Kind, e.Zone, e.Cell, formatRow(e.Counts, names), len(e.ColdSends), e.PeakColdSends(), e.MaxLateMs)
	}
	return table.Flush()
}
