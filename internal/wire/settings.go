package wire

import (
	"fmt"
	"math"
	"time"

	"ashwood.example/ashwood"
)

type setupLine struct {
	Siblings int      `json:"siblings"`
	Number   int      `json:"my_number"`
	Locality string   `json:"locality"`
	Kinds    []string `json:"kinds"`
	Lanes    []struct {
		Name   string  `json:"name"`
		Aim    ms      `json:"aim"`
		Dead   ms      `json:"deadline"`
		Worth  float64 `json:"worth"`
		Late   float64 `json:"late_share"`
		Effect string  `json:"effect"`
		Group  string  `json:"group"`
		Window ms      `json:"memory_span"`
	} `json:"lanes"`
	Tenants []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
		Quota float64 `json:"allowance_per_s"`
	} `json:"tenants"`
	OverShare float64 `json:"over_share_worth"`
	WorthBy   string  `json:"worth_by"`
	Discovery string  `json:"discovery"`
	Family    struct {
		Ahead       bool      `json:"early_pairing"`
		AimPer1K    []float64 `json:"aim_us_per_1000_prompt_tokens"`
		Tokens      []float64 `json:"tokens_by_kind"`
		Roles       []string  `json:"kind_role"`
		Release     ms        `json:"release"`
		Resume      bool      `json:"resume"`
		TokenAim    []ms      `json:"token_aim"`
		WritersRead bool      `json:"writers_read"`
	} `json:"family_info"`
	Ceilings struct {
		Attempts      int  `json:"attempts_cap"`
		Cancel        bool `json:"cancel"`
		Copies        bool `json:"second_copies"`
		Probes        bool `json:"probes"`
		RetryAfter    bool `json:"retry_after"`
		MaxRetryAfter ms   `json:"max_retry_after"`
		Connect       ms   `json:"connect_timeout"`
		ConnIdle      ms   `json:"conn_idle"`
	} `json:"ceilings"`
	Obligations struct {
		Multiple float64 `json:"fall_multiple"`
		Fall     ms      `json:"fall"`
		Start    float64 `json:"start_capacity"`
		Warm     ms      `json:"warm_within"`
		Ask      ms      `json:"ask_every"`
	} `json:"obligations"`
	Report struct {
		How    string   `json:"how"`
		Fields []string `json:"fields"`
	} `json:"report"`
}

var (
	roles   = map[string]ashwood.Role{"read": ashwood.RoleRead, "write": ashwood.RoleWrite, "both": ashwood.RoleMixed}
	effects = map[string]ashwood.Effect{
		"pure": ashwood.Pure, "token": ashwood.TokenEffect, "side_effect": ashwood.SideEffect,
	}
	scopes = map[string]ashwood.Scope{
		"": ashwood.ScopeAll, "all": ashwood.ScopeAll, "zone": ashwood.ScopeZone, "cell": ashwood.ScopeCell,
	}
	modes = map[string]ashwood.ReportMode{
		"": ashwood.ReportNone, "off": ashwood.ReportNone,
		"on_probe": ashwood.ReportProbe, "inline": ashwood.ReportInline,
	}
)

func decodeStart(raw []byte) (Message, error) {
	const name = "NEW_INSTANCE"
	var in struct {
		Seed  *int64     `json:"prng"`
		Setup *setupLine `json:"setup"`
	}
	if err := unmarshal(name, raw, &in); err != nil {
		return nil, err
	}
	if err := require(name, field{"prng", in.Seed != nil}, field{"setup", in.Setup != nil}); err != nil {
		return nil, err
	}
	set, err := in.Setup.settings(name)
	if err != nil {
		return nil, err
	}
	return &Start{Seed: *in.Seed, Settings: set}, nil
}

// DecodeSettings reads the settings object alone, as a real gateway's
// configuration holds it.
func DecodeSettings(raw []byte) (ashwood.Settings, error) {
	const name = "settings"
	var in setupLine
	if err := unmarshal(name, raw, &in); err != nil {
		return ashwood.Settings{}, err
	}
	return in.settings(name)
}

func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}

// longestMs is the longest time that settings may name, in ms: beyond a day, the unit is wrong.
const longestMs = 86400e3

// check tells of the first number that can't be what its key says.
func (in *setupLine) check(name string) error {
	type number struct {
		key          string
		value, least float64
		most         float64
	}
	o, c := in.Obligations, in.Ceilings
	all := []number{
		{"siblings", float64(in.Siblings), 0, math.MaxInt32}, {"my_number", float64(in.Number), 0, math.MaxInt32},
		{"over_share_worth", in.OverShare, 0, math.MaxFloat64},
		{"family_info.release", float64(in.Family.Release), 0, longestMs},
		{"ceilings.attempts_cap", float64(c.Attempts), 0, math.MaxInt32},
		{"ceilings.max_retry_after", float64(c.MaxRetryAfter), 0, longestMs},
		{"ceilings.connect_timeout", float64(c.Connect), 0, longestMs}, {"ceilings.conn_idle", float64(c.ConnIdle), 0, longestMs},
		{"obligations.fall_multiple", o.Multiple, 0, math.MaxFloat64}, {"obligations.fall", float64(o.Fall), 0, longestMs},
		{"obligations.start_capacity", o.Start, 0, math.MaxFloat64}, {"obligations.warm_within", float64(o.Warm), 0, longestMs},
		{"obligations.ask_every", float64(o.Ask), 0, longestMs},
	}
	seen := map[string]bool{}
	for i, l := range in.Lanes {
		at := func(key string) string { return fmt.Sprintf("lanes[%d].%s", i, key) }
		if l.Name == "" || seen[l.Name] {
			return fmt.Errorf("wire: %s: field %q: %q is no name of its own", name, at("name"), l.Name)
		}
		seen[l.Name] = true
		all = append(all, number{at("deadline"), float64(l.Dead), math.SmallestNonzeroFloat64, longestMs},
			number{at("aim"), float64(l.Aim), 0, longestMs}, number{at("worth"), l.Worth, 0, math.MaxFloat64},
			number{at("late_share"), l.Late, 0, 1}, number{at("memory_span"), float64(l.Window), 0, longestMs})
	}
	for i, t := range in.Tenants {
		at := func(key string) string { return fmt.Sprintf("tenants[%d].%s", i, key) }
		all = append(all, number{at("share"), t.Share, 0, math.MaxFloat64}, number{at("allowance_per_s"), t.Quota, 0, math.MaxFloat64})
	}
	for i, n := range in.Family.Tokens {
		all = append(all, number{fmt.Sprintf("family_info.tokens_by_kind[%d]", i), n, 0, math.MaxFloat64})
	}
	for _, n := range all {
		if n.value < n.least || n.value > n.most {
			return fmt.Errorf("wire: %s: field %q: %v is out of range", name, n.key, n.value)
		}
	}
	return nil
}

func (in *setupLine) settings(name string) (ashwood.Settings, error) {
	if err := in.check(name); err != nil {
		return ashwood.Settings{}, err
	}
	mode, ok := modes[in.Report.How]
	if !ok {
		return ashwood.Settings{}, unknown(name, "report.how", in.Report.How)
	}
	if d := in.Discovery; d != "" && d != "automatic" && d != "subscribe" {
		return ashwood.Settings{}, unknown(name, "discovery", d)
	}
	set := ashwood.Settings{
		Node: in.Number, Nodes: in.Siblings, Zone: in.Locality,
		OverShareWorth: in.OverShare, WorthByWork: in.WorthBy == "work",
		Subscribe: in.Discovery == "subscribe", Reports: mode, ReportFields: in.Report.Fields,
		Reservations: in.Family.Ahead, DecodeCanPrefill: in.Family.WritersRead, Resume: in.Family.Resume,
		Limits: ashwood.Limits{
			MaxAttempts: in.Ceilings.Attempts, Cancel: in.Ceilings.Cancel, Hedging: in.Ceilings.Copies,
			Probes: in.Ceilings.Probes, RetryAfter: in.Ceilings.RetryAfter,
			MaxRetryAfter:  in.Ceilings.MaxRetryAfter.duration(),
			ConnectTimeout: in.Ceilings.Connect.duration(),
			ConnIdle:       in.Ceilings.ConnIdle.duration(),
		},
		Rules: ashwood.Rules{
			SlowStartMultiple: in.Obligations.Multiple, SlowStartWindow: in.Obligations.Fall.duration(),
			SlowStartCapacity: in.Obligations.Start, SlowStartDuration: in.Obligations.Warm.duration(),
			ReleaseTimeout: in.Family.Release.duration(), ResubscribeWithin: in.Obligations.Ask.duration(),
		},
	}
	for i, k := range in.Kinds {
		role, ok := roles[at(in.Family.Roles, i)]
		if !ok {
			return set, unknown(name, fmt.Sprintf("family_info.kind_role[%d]", i), at(in.Family.Roles, i))
		}
		set.Kinds = append(set.Kinds, ashwood.Kind{Name: k, Role: role, MemoryTokens: at(in.Family.Tokens, i)})
	}
	for i, l := range in.Lanes {
		effect, ok := effects[l.Effect]
		if !ok {
			return set, unknown(name, fmt.Sprintf("lanes[%d].effect", i), l.Effect)
		}
		scope, ok := scopes[l.Group]
		if !ok {
			return set, unknown(name, fmt.Sprintf("lanes[%d].group", i), l.Group)
		}
		set.Classes = append(set.Classes, ashwood.Class{
			Name: l.Name, Aim: l.Aim.duration(), Deadline: l.Dead.duration(), Worth: l.Worth, LateShare: l.Late,
			Effect: effect, Group: scope, Window: l.Window.duration(),
			TokenAim: at(in.Family.TokenAim, i).duration(),
			AimPer1K: time.Duration(at(in.Family.AimPer1K, i)) * time.Microsecond,
		})
	}
	for _, t := range in.Tenants {
		set.Tenants = append(set.Tenants, ashwood.Tenant{Name: t.Name, Share: t.Share, QuotaPerSec: t.Quota})
	}
	return set, nil
}
