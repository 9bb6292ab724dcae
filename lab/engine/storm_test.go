package engine

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// storm throws seeded work and faults at a fleet, checks it after each event,
// and gives a hash over all events.
func storm(t *testing.T, seed uint64, ops int) uint64 {
	cfg := DefaultConfig()
	cfg.Seed = seed
	for i := range 10 {
		kind := cfg.Kinds[i%3].Name
		cfg.Engines = append(cfg.Engines, Spec{fmt.Sprint("b", i), kind, fmt.Sprint("z", i%2), i % 3})
	}
	for i := range cfg.Kinds { // tight, so that all bounds are met
		cfg.Kinds[i].MemoryTokens, cfg.Kinds[i].MaxQueue, cfg.Kinds[i].Slots = 9000, 3, 4
	}
	f, err := New(cfg, 0)
	if err != nil {
		t.Fatal(err)
	}
	r := rand.New(rand.NewPCG(seed, 7))
	kinds := []FaultKind{FaultCrash, FaultVanish, FaultHang, FaultPause, FaultSlow, FaultSlowLink, FaultErrors, FaultTurnedAway, FaultBreak,
		FaultStop, FaultSpoilHead, FaultSpoilChunk, FaultBadReports, FaultDrain}
	h := fnv.New64a()
	var open []Call
	known := []string{"none"}
	for range ops {
		now := f.Now() + r.ExpFloat64()*20
		for f.Next() <= now {
			f.Advance(f.Next())
			if err := f.Check(); err != nil {
				t.Fatalf("seed %d at %v: %v", seed, f.Now(), err)
			}
		}
		f.Advance(now)
		box, id := fmt.Sprint("b", r.IntN(10)), known[r.IntN(len(known))]
		switch v := r.Float64(); {
		case v < 0.35:
			id = fmt.Sprint("q", len(known))
			known = append(known, id)
			fallthrough
		case v < 0.6:
			j := order(id, 100+float64(r.IntN(3000)))
			j.Prompt.Session, j.Prompt.Shared, j.Prompt.SharedTokens = fmt.Sprint(r.IntN(20)), fmt.Sprint(r.IntN(4)), 100
			if c, err := f.Send(box, j); err == nil {
				open = append(open, c)
			}
		case v < 0.75:
			f.Reserve(box, id)
		case v < 0.85:
			f.Release(box, id)
		case v < 0.95 && len(open) > 0:
			f.Cancel(open[r.IntN(len(open))])
		default:
			f.Inject(Fault{Kind: kinds[r.IntN(len(kinds))], Engines: []string{box}, Start: now, Duration: r.Float64() * 3000, Factor: r.Float64() * 3})
		}
		if err := f.Check(); err != nil {
			t.Fatalf("seed %d at %v: %v", seed, f.Now(), err)
		}
		for _, e := range f.Take() {
			fmt.Fprintf(h, "%+v\n", e)
		}
	}
	for f.Next() < f.Now()+120000 {
		f.Advance(f.Next())
		fmt.Fprintf(h, "%+v\n", f.Take())
	}
	if !f.Idle() {
		t.Fatalf("seed %d: work, states or places are left two minutes later", seed)
	}
	return h.Sum64()
}

func TestStormKeepsWhatAlwaysHolds(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 15
	}
	for seed := range seeds {
		if a, b := storm(t, seed, 800), uint64(0); seed < 5 {
			if b = storm(t, seed, 800); a != b {
				t.Fatalf("seed %d: two runs differ", seed)
			}
		}
	}
}
