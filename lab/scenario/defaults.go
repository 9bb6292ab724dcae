package scenario

import (
	"fmt"
	"slices"
)

// defaults are the middle of the operators' brief: three zones, 13 boxes, 25
// requests a second.
func defaults() *Scenario {
	return &Scenario{
		Seed: 1, LengthS: 40, Gateways: 3,
		Fleet: Fleet{Zones: []string{"cambridge", "glenorchy", "kingston"}, CellSize: 5, InitialPrefixShare: 0.6},
		Load: Load{
			RatePerS: 22, BurstCV: 0.25, Retries: 1, TryShare: 0.75, Honour: 0.6, BackoffMs: 150, Impatient: 0.005, Connections: 96,
		},
		Discovery: Discovery{
			NoticeMs: [2]float64{700, 4600}, SilentNoticeMs: [2]float64{5300, 12000}, AddMs: [2]float64{420, 2300}, SpreadMs: 200,
		},
		Network: Network{SameMs: 0.2, CrossMs: 2},
	}
}

// Shorten changes a scenario's length. Faults that begin behind the end are left out.
func (s *Scenario) Shorten(lengthS float64) {
	s.LengthS = lengthS
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.AtS >= lengthS })
}

// fill gives lists their defaults, which a file replaces whole.
func (s *Scenario) fill() {
	if len(s.Fleet.Kinds) == 0 {
		s.Fleet.Kinds = []Kind{{Name: "prefill", Count: 6}, {Name: "decode-a", Count: 4}, {Name: "decode-b", Count: 3}}
	}
	if len(s.Load.Classes) == 0 {
		s.Load.Classes = []Class{
			{
				Name: "rate-check", Share: 0.46, AimMs: 800, AimMsPerK: 60, DeadlineMs: 4000, TokenMs: 50, Worth: 2, LateWorth: 0.2,
				Effect: "pure", Turns: 1.3, ThinkMs: 4300, NewTokens: 180, NewSigma: 0.9, OutTokens: 74, OutSigma: 0.7, MaxOut: 300,
				Prefixes: 24, PrefixTokens: 3400, PrefixShare: 0.9, PrefixZipf: 0.9,
			},
			{
				Name: "case-chat", Share: 0.28, AimMs: 3000, AimMsPerK: 40, DeadlineMs: 15000, TokenMs: 80, Worth: 2, LateWorth: 0.1,
				Effect: "pure", Turns: 5.6, ThinkMs: 3000, NewTokens: 440, NewSigma: 0.9, OutTokens: 123, OutSigma: 0.7, MaxOut: 400,
				Prefixes: 5, PrefixTokens: 4500, PrefixShare: 0.8, PrefixZipf: 0.9,
			},
			{
				Name: "send-order", Share: 0.26, AimMs: 1200, AimMsPerK: 40, DeadlineMs: 6000, TokenMs: 60, Worth: 5, LateWorth: 0.2,
				Effect: "side_effect", Turns: 2.9, ThinkMs: 6300, NewTokens: 320, NewSigma: 0.9, OutTokens: 192, OutSigma: 0.6, MaxOut: 500,
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

// consistent reports what no schema can see.
func (s *Scenario) consistent() error {
	if len(s.Load.ZoneShares) != len(s.Fleet.Zones) {
		return fmt.Errorf("load.zone_shares: %d shares for %d zones", len(s.Load.ZoneShares), len(s.Fleet.Zones))
	}
	for _, v := range []struct {
		key string
		r   [2]float64
	}{{"notice_ms", s.Discovery.NoticeMs}, {"silent_notice_ms", s.Discovery.SilentNoticeMs}, {"add_ms", s.Discovery.AddMs}} {
		if v.r[0] > v.r[1] {
			return fmt.Errorf("discovery.%s: %v is above %v", v.key, v.r[0], v.r[1])
		}
	}
	kinds := map[string]bool{}
	for i, k := range s.Fleet.Kinds {
		if kinds[k.Name] {
			return fmt.Errorf("fleet.kind[%d].name: %q comes twice", i, k.Name)
		}
		kinds[k.Name] = true
	}
	classes := map[string]bool{}
	for i, c := range s.Load.Classes {
		if classes[c.Name] {
			return fmt.Errorf("load.class[%d].name: %q comes twice", i, c.Name)
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
		case f.AtS >= s.LengthS:
			return fmt.Errorf("%s: %v s lies behind the end at %v s", at("at_s"), f.AtS, s.LengthS)
		case f.Gateway != nil && *f.Gateway >= s.Gateways:
			return fmt.Errorf("%s: there are %d gateways", at("gateway"), s.Gateways)
		case len(f.Boxes) > 0 && f.Share > 0:
			return fmt.Errorf("%s: boxes are named already", at("share"))
		}
	}
	return nil
}
