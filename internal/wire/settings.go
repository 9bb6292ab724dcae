package wire

import (
	"fmt"
	"math"
	"time"

	"ashwood.example/ashwood"
)

type settingsObject struct {
	Nodes   int      `json:"siblings"`
	Node    int      `json:"my_number"`
	Zone    string   `json:"locality"`
	Kinds   []string `json:"kinds"`
	Classes []struct {
		Name      string       `json:"name"`
		Aim       milliseconds `json:"aim"`
		Deadline  milliseconds `json:"deadline"`
		Worth     float64      `json:"worth"`
		LateShare float64      `json:"late_share"`
		Effect    string       `json:"effect"`
		Group     string       `json:"group"`
		Window    milliseconds `json:"memory_span"`
	} `json:"lanes"`
	Tenants []struct {
		Name        string  `json:"name"`
		Share       float64 `json:"share"`
		QuotaPerSec float64 `json:"allowance_per_s"`
	} `json:"tenants"`
	OverShareWorth float64 `json:"over_share_worth"`
	WorthBy        string  `json:"worth_by"`
	Discovery      string  `json:"discovery"`
	Family         struct {
		Reservations     bool           `json:"early_pairing"`
		AimPer1K         []float64      `json:"aim_us_per_1000_prompt_tokens"`
		MemoryTokens     []float64      `json:"tokens_by_kind"`
		Roles            []string       `json:"kind_role"`
		ReleaseTimeout   milliseconds   `json:"release"`
		Resume           bool           `json:"resume"`
		TokenAim         []milliseconds `json:"token_aim"`
		DecodeCanPrefill bool           `json:"writers_read"`
	} `json:"family_info"`
	Limits struct {
		MaxAttempts    int          `json:"attempts_cap"`
		Cancel         bool         `json:"cancel"`
		Hedging        bool         `json:"second_copies"`
		Probes         bool         `json:"probes"`
		RetryAfter     bool         `json:"retry_after"`
		MaxRetryAfter  milliseconds `json:"max_retry_after"`
		ConnectTimeout milliseconds `json:"connect_timeout"`
		ConnIdle       milliseconds `json:"conn_idle"`
	} `json:"ceilings"`
	Rules struct {
		SlowStartMultiple float64      `json:"fall_multiple"`
		SlowStartWindow   milliseconds `json:"fall"`
		SlowStartCapacity float64      `json:"start_capacity"`
		SlowStartDuration milliseconds `json:"warm_within"`
		ResubscribeWithin milliseconds `json:"ask_every"`
	} `json:"obligations"`
	Report struct {
		How    string   `json:"how"`
		Fields []string `json:"fields"`
	} `json:"report"`
}

var (
	roles   = map[string]ashwood.Role{"read": ashwood.RolePrefill, "write": ashwood.RoleDecode, "both": ashwood.RoleMixed}
	effects = map[string]ashwood.Effect{
		"pure": ashwood.Pure, "token": ashwood.TokenEffect, "side_effect": ashwood.SideEffect,
	}
	scopes = map[string]ashwood.Scope{
		"": ashwood.ScopeAll, "all": ashwood.ScopeAll, "zone": ashwood.ScopeZone, "cell": ashwood.ScopeCell,
	}
	reportModes = map[string]ashwood.ReportMode{
		"": ashwood.ReportNone, "off": ashwood.ReportNone,
		"on_probe": ashwood.ReportProbe, "inline": ashwood.ReportInline,
	}
)

func decodeStart(raw []byte) (Message, error) {
	const name = "NEW_INSTANCE"
	var in struct {
		Seed  *int64          `json:"prng"`
		Setup *settingsObject `json:"setup"`
	}
	if err := unmarshalObject(name, raw, &in); err != nil {
		return nil, err
	}
	if err := require(name, requiredField{"prng", in.Seed != nil}, requiredField{"setup", in.Setup != nil}); err != nil {
		return nil, err
	}
	settings, err := in.Setup.settings(name)
	if err != nil {
		return nil, err
	}
	return &Start{Seed: *in.Seed, Settings: settings}, nil
}

// DecodeSettings decodes a settings object alone, as in the configuration of a
// gateway.
func DecodeSettings(raw []byte) (ashwood.Settings, error) {
	const name = "settings"
	var in settingsObject
	if err := unmarshalObject(name, raw, &in); err != nil {
		return ashwood.Settings{}, err
	}
	return in.settings(name)
}

func elementOrZero[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}

// maxMillis is the longest time that settings may contain, in ms: more than a day means a wrong unit.
const maxMillis = 86400e3

// validate returns an error for the first number out of its key's range, and for classes without a unique name.
func (in *settingsObject) validate(name string) error {
	type number struct {
		key        string
		value, min float64
		max        float64
	}
	rules, limits := in.Rules, in.Limits
	numbers := []number{
		{"siblings", float64(in.Nodes), 0, math.MaxInt32}, {"my_number", float64(in.Node), 0, math.MaxInt32},
		{"over_share_worth", in.OverShareWorth, 0, math.MaxFloat64},
		{"family_info.release", float64(in.Family.ReleaseTimeout), 0, maxMillis},
		{"ceilings.attempts_cap", float64(limits.MaxAttempts), 0, math.MaxInt32},
		{"ceilings.max_retry_after", float64(limits.MaxRetryAfter), 0, maxMillis},
		{"ceilings.connect_timeout", float64(limits.ConnectTimeout), 0, maxMillis}, {"ceilings.conn_idle", float64(limits.ConnIdle), 0, maxMillis},
		{"obligations.fall_multiple", rules.SlowStartMultiple, 0, math.MaxFloat64}, {"obligations.fall", float64(rules.SlowStartWindow), 0, maxMillis},
		{"obligations.start_capacity", rules.SlowStartCapacity, 0, math.MaxFloat64}, {"obligations.warm_within", float64(rules.SlowStartDuration), 0, maxMillis},
		{"obligations.ask_every", float64(rules.ResubscribeWithin), 0, maxMillis},
	}
	seen := map[string]bool{}
	for i, class := range in.Classes {
		at := func(key string) string { return fmt.Sprintf("lanes[%d].%s", i, key) }
		if class.Name == "" || seen[class.Name] {
			return fmt.Errorf("wire: %s: field %q: %q is empty or not unique", name, at("name"), class.Name)
		}
		seen[class.Name] = true
		numbers = append(numbers, number{at("deadline"), float64(class.Deadline), math.SmallestNonzeroFloat64, maxMillis},
			number{at("aim"), float64(class.Aim), 0, maxMillis}, number{at("worth"), class.Worth, 0, math.MaxFloat64},
			number{at("late_share"), class.LateShare, 0, 1}, number{at("memory_span"), float64(class.Window), 0, maxMillis})
	}
	for i, tenant := range in.Tenants {
		at := func(key string) string { return fmt.Sprintf("tenants[%d].%s", i, key) }
		numbers = append(numbers, number{at("share"), tenant.Share, 0, math.MaxFloat64}, number{at("allowance_per_s"), tenant.QuotaPerSec, 0, math.MaxFloat64})
	}
	for i, n := range in.Family.MemoryTokens {
		numbers = append(numbers, number{fmt.Sprintf("family_info.tokens_by_kind[%d]", i), n, 0, math.MaxFloat64})
	}
	for _, n := range numbers {
		if n.value < n.min || n.value > n.max {
			return fmt.Errorf("wire: %s: field %q: %v is out of range", name, n.key, n.value)
		}
	}
	return nil
}

func (in *settingsObject) settings(name string) (ashwood.Settings, error) {
	if err := in.validate(name); err != nil {
		return ashwood.Settings{}, err
	}
	reportMode, ok := reportModes[in.Report.How]
	if !ok {
		return ashwood.Settings{}, unknownValue(name, "report.how", in.Report.How)
	}
	if d := in.Discovery; d != "" && d != "automatic" && d != "subscribe" {
		return ashwood.Settings{}, unknownValue(name, "discovery", d)
	}
	settings := ashwood.Settings{
		Node: in.Node, Nodes: in.Nodes, Zone: in.Zone,
		OverShareWorth: in.OverShareWorth, WorthByWork: in.WorthBy == "work",
		Subscribe: in.Discovery == "subscribe", Reports: reportMode, ReportFields: in.Report.Fields,
		Reservations: in.Family.Reservations, DecodeCanPrefill: in.Family.DecodeCanPrefill, Resume: in.Family.Resume,
		Limits: ashwood.Limits{
			MaxAttempts: in.Limits.MaxAttempts, Cancel: in.Limits.Cancel, Hedging: in.Limits.Hedging,
			Probes: in.Limits.Probes, RetryAfter: in.Limits.RetryAfter,
			MaxRetryAfter:  in.Limits.MaxRetryAfter.duration(),
			ConnectTimeout: in.Limits.ConnectTimeout.duration(),
			ConnIdle:       in.Limits.ConnIdle.duration(),
		},
		Rules: ashwood.Rules{
			SlowStartMultiple: in.Rules.SlowStartMultiple, SlowStartWindow: in.Rules.SlowStartWindow.duration(),
			SlowStartCapacity: in.Rules.SlowStartCapacity, SlowStartDuration: in.Rules.SlowStartDuration.duration(),
			ReleaseTimeout: in.Family.ReleaseTimeout.duration(), ResubscribeWithin: in.Rules.ResubscribeWithin.duration(),
		},
	}
	for i, kind := range in.Kinds {
		role, ok := roles[elementOrZero(in.Family.Roles, i)]
		if !ok {
			return settings, unknownValue(name, fmt.Sprintf("family_info.kind_role[%d]", i), elementOrZero(in.Family.Roles, i))
		}
		settings.Kinds = append(settings.Kinds, ashwood.Kind{Name: kind, Role: role, MemoryTokens: elementOrZero(in.Family.MemoryTokens, i)})
	}
	for i, class := range in.Classes {
		effect, ok := effects[class.Effect]
		if !ok {
			return settings, unknownValue(name, fmt.Sprintf("lanes[%d].effect", i), class.Effect)
		}
		scope, ok := scopes[class.Group]
		if !ok {
			return settings, unknownValue(name, fmt.Sprintf("lanes[%d].group", i), class.Group)
		}
		settings.Classes = append(settings.Classes, ashwood.Class{
			Name: class.Name, Aim: class.Aim.duration(), Deadline: class.Deadline.duration(), Worth: class.Worth, LateShare: class.LateShare,
			Effect: effect, Group: scope, Window: class.Window.duration(),
			TokenAim: elementOrZero(in.Family.TokenAim, i).duration(),
			AimPer1K: time.Duration(elementOrZero(in.Family.AimPer1K, i)) * time.Microsecond,
		})
	}
	for _, tenant := range in.Tenants {
		settings.Tenants = append(settings.Tenants, ashwood.Tenant{Name: tenant.Name, Share: tenant.Share, QuotaPerSec: tenant.QuotaPerSec})
	}
	return settings, nil
}
