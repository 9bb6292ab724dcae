package record

import (
	"fmt"
	"io"
	"math"
	"sort"
	"text/tabwriter"
)

// Distance is the distance of two recordings, by class.
type Distance struct {
	Classes []ClassDistance `json:"classes"`
	Max     float64         `json:"most"` // over all values of all classes; Mean likewise
	Mean    float64         `json:"mean"`
}

// ClassDistance is the distance of one class: the largest difference of the two
// distribution functions (Kolmogorov-Smirnov) of first tokens and of total times,
// and the differences of the shares of served, refused and failed requests. For a
// class that is missing in one recording all of them are 1.
type ClassDistance struct {
	Name    string  `json:"name"`
	First   float64 `json:"first"`
	Total   float64 `json:"total"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	P50     [2]float64
	P99     [2]float64
}

// Compare returns the distance of two recordings.
func Compare(a, b *Recording) Distance {
	byName := map[string][2]*Class{}
	for side, r := range []*Recording{a, b} {
		for i := range r.Classes {
			pair := byName[r.Classes[i].Name]
			pair[side] = &r.Classes[i]
			byName[r.Classes[i].Name] = pair
		}
	}
	var distance Distance
	for name, pair := range byName {
		c := ClassDistance{Name: name, First: 1, Total: 1, Served: 1, Refused: 1, Failed: 1}
		if pair[0] != nil && pair[1] != nil {
			sharesA, sharesB := outcomeShares(pair[0]), outcomeShares(pair[1])
			c.First, c.Total = ksDistance(pair[0].First, pair[1].First), ksDistance(pair[0].Total, pair[1].Total)
			c.Served, c.Refused, c.Failed = math.Abs(sharesA[0]-sharesB[0]), math.Abs(sharesA[1]-sharesB[1]), math.Abs(sharesA[2]-sharesB[2])
			for side, p := range pair {
				if p.First.N > 0 {
					c.P50[side], c.P99[side] = p.First.At[50], p.First.At[99]
				}
			}
		}
		distance.Classes = append(distance.Classes, c)
	}
	sort.Slice(distance.Classes, func(i, j int) bool { return distance.Classes[i].Name < distance.Classes[j].Name })
	count := 0
	for _, c := range distance.Classes {
		for _, v := range []float64{c.First, c.Total, c.Served, c.Refused, c.Failed} {
			distance.Max = max(distance.Max, v)
			distance.Mean += v
			count++
		}
	}
	distance.Mean /= float64(max(1, count))
	return distance
}

// outcomeShares returns the shares of a class's requests that were served, refused and failed.
func outcomeShares(c *Class) (shares [3]float64) {
	offered := 0
	for _, w := range c.Windows {
		offered += w.Offered
		shares[0] += float64(w.Served)
		shares[1] += float64(w.Refused)
		shares[2] += float64(w.Failed)
	}
	for i := range shares {
		shares[i] /= float64(max(1, offered))
	}
	return shares
}

// ksDistance returns the largest difference of two distribution functions, each
// interpolated linearly between the grid's quantiles. It is 0 if both have no values
// and 1 if only one has none.
func ksDistance(a, b Grid) (largest float64) {
	if a.N == 0 || b.N == 0 {
		if a.N == b.N {
			return 0
		}
		return 1
	}
	for _, g := range []Grid{a, b} {
		for _, v := range g.At {
			largest = max(largest, math.Abs(a.cumulativeShare(v)-b.cumulativeShare(v)))
		}
	}
	return largest
}

// cumulativeShare returns the share of values up to v.
func (g Grid) cumulativeShare(v float64) float64 {
	i := sort.Search(len(g.At), func(i int) bool { return g.At[i] > v })
	switch {
	case i == 0:
		return 0
	case i == len(g.At):
		return 1
	}
	lo, hi := g.At[i-1], g.At[i]
	return (float64(i-1) + (v-lo)/(hi-lo)) / float64(len(g.At)-1)
}

// Print writes the distance as a table.
func (d Distance) Print(w io.Writer, a, b *Recording) error {
	fmt.Fprintf(w, "A: %s (%s)\nB: %s (%s)\n", a.Name, a.Source, b.Name, b.Source)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tfirst KS\ttotal KS\tserved\trefused\tfailed\tfirst p50 A\tB\tp99 A\tB ms\t")
	for _, c := range d.Classes {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", c.Name, c.First, c.Total, c.Served, c.Refused, c.Failed,
			c.P50[0], c.P50[1], c.P99[0], c.P99[1])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "most %.3f, mean %.3f\n", d.Max, d.Mean)
	return err
}
