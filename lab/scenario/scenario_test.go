package scenario

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ashwood.example/ashwood/internal/wire"
	"ashwood.example/ashwood/lab/engine"
)

func TestCompile_ShippedScenarios(t *testing.T) {
	names := Names()
	for _, want := range []string{"calm", "payday", "crash-and-cold-return", "cold-herd", "black-hole", "silent-rack", "reader-loss", "drain-in-retry"} {
		if !slices.Contains(names, want) {
			t.Errorf("%s is not shipped", want)
		}
	}
	for _, name := range names {
		s, err := Open(name)
		if err != nil {
			t.Fatal(err)
		}
		if s.Name != name || s.About == "" {
			t.Errorf("%s: named %q, about %q", name, s.Name, s.About)
		}
		plan, err := s.Compile()
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		again, _ := s.Compile()
		if diff := cmp.Diff(plan.EngineFaults, again.EngineFaults); diff != "" {
			t.Errorf("%s: two draws of one scenario differ: %s", name, diff)
		}
		fleet, err := engine.New(plan.Engine, 0)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for _, fault := range plan.EngineFaults {
			if err := fleet.Inject(fault); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		raw, err := json.Marshal(plan.Settings(1))
		if err != nil {
			t.Fatal(err)
		}
		settings, err := wire.DecodeSettings(raw)
		if err != nil || len(settings.Kinds) != len(plan.Engine.Kinds) || settings.Zone != plan.Zone(1) {
			t.Errorf("%s: settings: %v", name, err)
		}
	}
}

func TestParse_InvalidScenarioNamesKey(t *testing.T) {
	const good = "name = \"x\"\nlength_s = 10\n"
	for _, tt := range []struct{ text, want string }{
		{"length_s = 10\n", "the file: missing property 'name'"},
		{good + "lenght = 3\n", "the file: additional properties 'lenght' not allowed"},
		{good + "[load]\nrate_per_s = 0\n", "load.rate_per_s: exclusiveMinimum: got 0, want 0"},
		{good + "[load]\nrate_per_s = \"much\"\n", "load.rate_per_s: got string, want number"},
		{good + "[[fault]]\nkind = \"crash\"\nat_s = 1\nlen_s = 1\nshare = 2\n", "fault[0].share: maximum: got 2, want 1"},
		{good + "[[fault]]\nkind = \"fire\"\nat_s = 1\nlen_s = 1\n", "fault[0].kind: value must be one of"},
		{good + "[[fault]]\nkind = \"errors\"\nat_s = 1\nlen_s = 1\nshare = 1\n", "fault[0]: missing property 'factor'"},
		{good + "[[fault]]\nkind = \"crash\"\nat_s = 11\nlen_s = 1\nshare = 1\n", "fault[0].at_s: 11 s is not before the end at 10 s"},
		{good + "[[fault]]\nkind = \"crash\"\nat_s = 1\nlen_s = 1\n", "fault[0].share: missing, and boxes names no engines"},
		{good + "[[fault]]\nkind = \"crash\"\nat_s = 1\nlen_s = 1\nboxes = [\"none\"]\n", `fault[0].boxes[0]: there is no engine "none"`},
		{good + "[[fault]]\nkind = \"crash\"\nat_s = 1\nlen_s = 1\nshare = 1\nof_zone = \"none\"\n", `fault[0].of_zone: unknown zone "none"`},
		{good + "[[fleet.kind]]\nname = \"own\"\ncount = 1\n", `fleet.kind[0].role: missing, and kind "own" has no defaults`},
		{good + "[discovery]\nnotice_ms = [5, 1]\n", "discovery.notice_ms: minimum 5 is above maximum 1"},
		{good + "[load]\nzone_shares = [1.0]\n", "load.zone_shares: 1 shares for 3 zones"},
		{"name = ", "toml: line 1"},
	} {
		s, err := Parse([]byte(tt.text))
		if err == nil {
			_, err = s.Compile()
		}
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%q: error %v, want %s", tt.text, err, tt.want)
		}
	}
}

func TestCompile_KindDefaults(t *testing.T) {
	s, err := Parse([]byte("name = \"x\"\nlength_s = 10\n[[fleet.kind]]\nname = \"prefill\"\ncount = 2\nslots = 3\n[[fleet.kind]]\nname = \"own\"\nrole = \"write\"\ncount = 4\n"))
	if err != nil {
		t.Fatal(err)
	}
	plan, err := s.Compile()
	if err != nil {
		t.Fatal(err)
	}
	defaultKinds := engine.DefaultKinds()
	if k := plan.Engine.Kinds[0]; k.Slots != 3 || k.MaxQueue != defaultKinds[0].MaxQueue {
		t.Errorf("prefill: %+v", k)
	}
	if k := plan.Engine.Kinds[1]; k.Name != "own" || k.Role != engine.RoleDecode || k.Slots != defaultKinds[1].Slots {
		t.Errorf("own: %+v", k)
	}
	zones := map[string]int{}
	for _, spec := range plan.Engine.Engines {
		zones[spec.Zone]++
	}
	if len(plan.Engine.Engines) != 6 || len(zones) != 3 {
		t.Errorf("want 6 engines in 3 zones, have %v", plan.Engine.Engines)
	}
}
