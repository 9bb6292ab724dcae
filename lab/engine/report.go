package engine

import "math"

// Report is an engine's load as it reports it.
type Report struct {
	InFlight float64 // attempts, KV states and reservations that it holds
	Queue    float64 // attempts that wait
	Memory   float64 // x0: share of its memory that is pinned
	Pending  float64 // x1: thousands of prompt tokens to compute or fetch
}

// reportHistory keeps the latest load snapshots: load is sampled periodically and
// reported with a delay.
type reportHistory struct {
	takenAt [4]float64
	reports [4]Report
	newest  int
	count   int
}

func (s *reportHistory) isDue(now, period float64) bool {
	return s.count == 0 || now-s.takenAt[s.newest] >= period
}

func (s *reportHistory) add(now float64, r Report) {
	if s.count > 0 {
		s.newest = (s.newest + 1) % len(s.takenAt)
	}
	s.takenAt[s.newest], s.reports[s.newest] = now, r
	s.count = min(s.count+1, len(s.takenAt))
}

// asOf returns the newest snapshot that is at least delay old, else the oldest kept.
func (s *reportHistory) asOf(now, delay float64) Report {
	for i := range s.count {
		at := (s.newest - i + len(s.takenAt)) % len(s.takenAt)
		if now-s.takenAt[at] >= delay || i == s.count-1 {
			return s.reports[at]
		}
	}
	return Report{}
}

// refresh takes a snapshot of the engine's load if one is due.
func (f *Fleet) refresh(eng *engine) {
	if !eng.reports.isDue(f.now, f.cfg.Reports.PeriodMs) {
		return
	}
	r := Report{InFlight: float64(len(eng.queue) + len(eng.running) + len(eng.fetching) + len(eng.kvStates) + len(eng.reservations)), Queue: float64(len(eng.queue)),
		Memory: eng.pinned / eng.kind.MemoryTokens}
	for _, j := range eng.queue {
		r.Pending += j.remainingPrefill() / 1000
	}
	for _, j := range eng.running {
		r.Pending += j.remainingPrefill() / 1000
	}
	for _, j := range eng.fetching {
		r.Pending += j.Prompt.Tokens / 1000
	}
	eng.reports.add(f.now, r)
}

// report returns what the engine reports at this moment, with noise.
func (f *Fleet) report(eng *engine) Report {
	f.refresh(eng)
	r := eng.reports.asOf(f.now, f.cfg.Reports.DelayMs)
	noisy := func(v float64) float64 { return max(0, v*(1+f.cfg.Reports.Noise*f.rng.NormFloat64())) }
	return Report{InFlight: math.Round(noisy(r.InFlight)), Queue: math.Round(noisy(r.Queue)),
		Memory: min(1, noisy(r.Memory)), Pending: noisy(r.Pending)}
}
