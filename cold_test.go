package ashwood

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// What a fleet sends a cold reader stays within what the rule takes for its budget and for
// chance: N requests in a window by what it can do, and 2 root N + 2 more, at the highest load
// that sites name for busy days and with the least that readers can do beyond writers there.
// The traffic is uneven, and the start is told to one gateway after the other; what those
// send that have not been told is not held against the fleet.
func TestColdEnginesBearTheSumOfTheFleet(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 10
	}
	for _, nodes := range []int{3, 20, 30, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			worst, total := 0, 0
			set := nodesOf(nodes)
			set.Rules = Rules{FallMultiple: 2.5, FallWindow: time.Second, ColdFrom: 0.31, ColdTime: 12 * time.Second, Release: time.Second}
			const perSecond, readers, load, spare = 60.0, 6, 0.8, 1.3
			n := set.Rules.FallMultiple * set.Rules.ColdFrom * perSecond / readers / load * spare * set.Rules.FallWindow.Seconds()
			limit := n + 2*math.Sqrt(n) + 2
			for seed := range seeds {
				sent, all := coldSends(t, set, int64(seed), perSecond, readers)
				worst, total = max(worst, sent), total+all
				if float64(sent) > limit {
					t.Errorf("seed %d: %d sends in a window, at most %.1f", seed, sent, limit)
				}
			}
			t.Logf("%d seeds: at most %d sends in a window of %.1f allowed, %d in all", seeds, worst, limit, total)
			if total == 0 {
				t.Error("a cold reader got nothing")
			}
		})
	}
}

// coldSends plays a fleet through the cold time of one reader: the most that gateways which
// had been told sent it within a window, and what they sent in all.
func coldSends(t *testing.T, set Settings, seed int64, perSecond float64, readers int) (most, sum int) {
	r := rand.New(rand.NewSource(seed))
	all := make([]*node, set.Nodes)
	share, total := make([]float64, set.Nodes), 0.0
	for i := range all {
		all[i] = newNode(t, set, fleetOf(readers, readers)...)
		all[i].s.rng.Seed(seed*1000 + int64(i))
		total += 0.3 + r.ExpFloat64() // some get several times the mean
		share[i] = total
	}
	const warm, cold = 10 * time.Second, 12 * time.Second
	begun := time.Hour + warm
	told := make([]time.Duration, set.Nodes)
	for i := range told {
		told[i] = begun + time.Duration(r.Float64()*float64(2*time.Second))
	}
	done := make([]bool, set.Nodes)
	beginnings := []uint64{r.Uint64(), r.Uint64(), r.Uint64()} // so few that some draw most traffic to the cold reader
	var sent []time.Duration
	now := time.Hour
	for k := 0; now < begun+cold; k++ {
		now += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		for i, o := range all {
			if !done[i] && now >= told[i] {
				done[i] = true
				v := reader("r0")
				v.Started = begun
				o.now = now
				o.do(Members{Form: ListPatch, Entries: []Server{v}})
			}
		}
		at, i := r.Float64()*total, 0
		for share[i] < at {
			i++
		}
		n := all[i]
		n.now = now
		id := fmt.Sprint("q", k)
		n.ask(id, beginnings[r.Intn(len(beginnings))], 0)
		a, ok := pick[Attempt](n)
		if !ok {
			continue
		}
		if a.Server == "r0" && done[i] {
			sent = append(sent, now)
		}
		n.end(id, 0, string(a.Server), Parsed)
		if b, ok := pick[Attempt](n); ok {
			n.do(Outcome{ID: RequestID(id), Attempt: 1, Server: b.Server, Status: Served, Done: true, Latency: 9 * ms})
		}
	}
	return mostWithin(sent, set.Rules.FallWindow), len(sent)
}

// mostWithin gives the most times, in order, that lie within one window.
func mostWithin(times []time.Duration, window time.Duration) (most int) {
	for i := range times {
		in := 0
		for _, at := range times[i:] {
			if at-times[i] < window {
				in++
			}
		}
		most = max(most, in)
	}
	return most
}

// Rule 4 is about the sum: what all nodes send a cold server in any window
// stays under what it can then do times the multiple.
func TestColdBudgetHoldsForTheSumOfNodes(t *testing.T) {
	for _, nodes := range []int{2, 40, 300} {
		set := nodesOf(nodes)
		perSecond := 60.0 // of the whole fleet, six readers: ten a second each
		var all []*node
		for i := 0; i < nodes; i++ {
			n := newNode(t, set, fleetOf(6, 6)...)
			n.s.rng.Seed(int64(i))
			all = append(all, n)
		}
		var sent []time.Duration
		count := 0
		now := time.Hour
		for k := 0; now < time.Hour+30*time.Second; k++ {
			now += time.Duration(float64(time.Second) / perSecond)
			n := all[k%nodes]
			n.now = now
			if now >= time.Hour+20*time.Second && count == 0 {
				count = 1
				for _, o := range all {
					v := reader("r0")
					v.Started = now
					o.now = now
					o.do(Members{Form: ListPatch, Entries: []Server{v}})
				}
			}
			id := fmt.Sprint("q", k)
			n.ask(id, uint64(k), 0)
			a, ok := pick[Attempt](n)
			if !ok {
				continue
			}
			if count > 0 && a.Server == "r0" {
				sent = append(sent, now)
			}
			n.end(id, 0, string(a.Server), Parsed)
			if b, ok := pick[Attempt](n); ok {
				n.do(Outcome{ID: RequestID(id), Attempt: 1, Server: b.Server, Status: Served, Done: true, Latency: 9 * ms})
			}
		}
		worst := mostWithin(sent, set.Rules.FallWindow)
		limit := set.Rules.FallMultiple * set.Rules.ColdFrom * perSecond / 6
		if nodes > manyNodes { // what a reader can do, not what it is seen to, and one for chance, as the rule has it
			limit = limit*readSpare/usualLoad + 1
		}
		if float64(worst) > limit {
			t.Errorf("%d nodes: %d of %d sends in a window, at most %v: %v", nodes, worst, len(sent), limit, sent)
		}
		if len(sent) == 0 {
			t.Errorf("%d nodes: the cold server got nothing", nodes)
		}
	}
}
