package scenario

import (
	"fmt"
	"slices"
)

// defaults returns a scenario in the middle of the ranges that operators specified:
// three zones, 13 engines, 25 requests per second.
func defaults() *Scenario {
	return &Scenario{
		Seed: 1, LengthS: 40, Gateways: 3,
		Fleet: Fleet{Zones: []string{"cambridge", "glenorchy", "kingston"}, CellSize: 5, WarmPrefixShare: 0.6},
		Load: Load{
			RatePerS: 22, BurstCV: 0.25, Retries: 1, TryShare: 0.75, HonourShare: 0.6, BackoffMs: 150, EarlyCloseShare: 0.005, MaxConnections: 96,
		},
		Discovery: Discovery{
			CrashNoticeMs: [2]float64{700, 4600}, SilenceNoticeMs: [2]float64{5300, 12000}, ChangeNoticeMs: [2]float64{420, 2300}, SpreadMs: 200,
		},
		Network: Network{SameZoneMs: 0.2, CrossZoneMs: 2},
	}
}

// Shorten changes a scenario's length and drops faults that begin after the new end.
func (s *Scenario) Shorten(lengthS float64) {
	s.LengthS = lengthS
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.StartS >= lengthS })
}

// applyDefaults sets the defaults of lists, which a file replaces as a whole.
func (s *Scenario) applyDefaults() {
	if len(s.Fleet.Kinds) == 0 {
		s.Fleet.Kinds = []Kind{{Name: "prefill", Count: 6}, {Name: "decode-a", Count: 4}, {Name: "decode-b", Count: 3}}
	}
	if len(s.Load.Classes) == 0 {
		s.Load.Classes = []Class{
			{
				Name: "rate-check", Share: 0.46, AimMs: 800, AimMsPerKTokens: 60, DeadlineMs: 4000, TokenMs: 50, Worth: 2, LateWorth: 0.2,
				Effect: "pure", Turns: 1.3, ThinkMs: 4300, NewTokens: 180, NewSigma: 0.9, OutputTokens: 74, OutputSigma: 0.7, MaxOutput: 300,
				Prefixes: 24, PrefixTokens: 3400, PrefixShare: 0.9, PrefixZipf: 0.9,
			},
			{
				Name: "case-chat", Share: 0.28, AimMs: 3000, AimMsPerKTokens: 40, DeadlineMs: 15000, TokenMs: 80, Worth: 2, LateWorth: 0.1,
				Effect: "pure", Turns: 5.6, ThinkMs: 3000, NewTokens: 440, NewSigma: 0.9, OutputTokens: 123, OutputSigma: 0.7, MaxOutput: 400,
				Prefixes: 5, PrefixTokens: 4500, PrefixShare: 0.8, PrefixZipf: 0.9,
			},
			{
				Name: "send-order", Share: 0.26, AimMs: 1200, AimMsPerKTokens: 40, DeadlineMs: 6000, TokenMs: 60, Worth: 5, LateWorth: 0.2,
				Effect: "side_effect", Turns: 2.9, ThinkMs: 6300, NewTokens: 320, NewSigma: 0.9, OutputTokens: 192, OutputSigma: 0.6, MaxOutput: 500,
				Prefixes: 15, PrefixTokens: 2400, PrefixShare: 0.8, PrefixZipf: 0.9,
			},
		}
	}
	if len(s.Load.ZoneShares) == 0 {
		for range s.Fleet.Zones {
			s.Load.ZoneShares = append(s.Load.ZoneShares, 1/float64(len(s.Fleet.Zones)))
		}
	}
}

// validate checks what the schema can't express.
func (s *Scenario) validate() error {
	if len(s.Load.ZoneShares) != len(s.Fleet.Zones) {
		return fmt.Errorf("load.zone_shares: %d shares for %d zones", len(s.Load.ZoneShares), len(s.Fleet.Zones))
	}
	for _, delay := range []struct {
		key    string
		bounds [2]float64
	}{{"notice_ms", s.Discovery.CrashNoticeMs}, {"silent_notice_ms", s.Discovery.SilenceNoticeMs}, {"add_ms", s.Discovery.ChangeNoticeMs}} {
		if delay.bounds[0] > delay.bounds[1] {
			return fmt.Errorf("discovery.%s: %v is above %v", delay.key, delay.bounds[0], delay.bounds[1])
		}
	}
	kinds := map[string]bool{}
	for i, k := range s.Fleet.Kinds {
		if kinds[k.Name] {
			return fmt.Errorf("fleet.kind[%d].name: duplicate name %q", i, k.Name)
		}
		kinds[k.Name] = true
	}
	classes := map[string]bool{}
	for i, c := range s.Load.Classes {
		if classes[c.Name] {
			return fmt.Errorf("load.class[%d].name: duplicate name %q", i, c.Name)
		}
		classes[c.Name] = true
	}
	for i, f := range s.Faults {
		at := func(key string) string { return fmt.Sprintf("fault[%d].%s", i, key) }
		switch {
		case f.OfKind != "" && !kinds[f.OfKind]:
			return fmt.Errorf("%s: unknown kind %q", at("of_kind"), f.OfKind)
		case f.OfZone != "" && !slices.Contains(s.Fleet.Zones, f.OfZone):
			return fmt.Errorf("%s: unknown zone %q", at("of_zone"), f.OfZone)
		case f.StartS >= s.LengthS:
			return fmt.Errorf("%s: %v s is after the end at %v s", at("at_s"), f.StartS, s.LengthS)
		case f.Gateway != nil && *f.Gateway >= s.Gateways:
			return fmt.Errorf("%s: there are %d gateways", at("gateway"), s.Gateways)
		case len(f.Engines) > 0 && f.Share > 0:
			return fmt.Errorf("%s: not allowed together with boxes", at("share"))
		}
	}
	return nil
}
