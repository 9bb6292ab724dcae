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
		a, err := s.Compile()
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		b, _ := s.Compile()
		if diff := cmp.Diff(a.EngineFaults, b.EngineFaults); diff != "" {
			t.Errorf("%s: two compilations differ: %s", name, diff)
		}
		f, err := engine.New(a.Engine, 0)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for _, fault := range a.EngineFaults {
			if err := f.Inject(fault); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		raw, err := json.Marshal(a.Settings(1))
		if err != nil {
			t.Fatal(err)
		}
		set, err := wire.DecodeSettings(raw)
		if err != nil || len(set.Kinds) != len(a.Engine.Kinds) || set.Zone != a.Zone(1) {
			t.Errorf("%s: settings: %v", name, err)
		}
	}
}

func TestParse_ErrorsNameKey(t *testing.T) {
	const good = "name = \"x\"\nlength_s = 10\n"
	for _, c := range []struct{ text, want string }{
		{"length_s = 10\n", "the file: missing property 'name'"},
		{good + "lenght = 3\n", "the file: additional properties 'lenght' not allowed"},
		{good + "[load]\nrate_per_s = 0\n", "load.rate_per_s: exclusiveMinimum: got 0, want 0"},
		{good + "[load]\nrate_per_s = \"much\"\n", "load.rate_per_s: got string, want number"},
		{good + "[[fault]]\nkind = \"crash\"\nat_s = 1\nlen_s = 1\nshare = 2\n", "fault[0].share: maximum: got 2, want 1"},
		{good + "[[fault]]\nkind = \"fire\"\nat_s = 1\nlen_s = 1\n", "fault[0].kind: value must be one of"},
		{good + "[[fault]]\nkind = \"errors\"\nat_s = 1\nlen_s = 1\nshare = 1\n", "fault[0]: missing property 'factor'"},
		{good + "[[fault]]\nkind = \"crash\"\nat_s = 11\nlen_s = 1\nshare = 1\n", "fault[0].at_s: 11 s is after the end at 10 s"},
		{good + "[[fault]]\nkind = \"crash\"\nat_s = 1\nlen_s = 1\n", "fault[0].share: missing, and boxes names no engines"},
		{good + "[[fault]]\nkind = \"crash\"\nat_s = 1\nlen_s = 1\nboxes = [\"none\"]\n", `fault[0].boxes[0]: there is no engine "none"`},
		{good + "[[fault]]\nkind = \"crash\"\nat_s = 1\nlen_s = 1\nshare = 1\nof_zone = \"none\"\n", `fault[0].of_zone: unknown zone "none"`},
		{good + "[[fleet.kind]]\nname = \"own\"\ncount = 1\n", `fleet.kind[0].role: missing, and "own" is not a kind with defaults`},
		{good + "[discovery]\nnotice_ms = [5, 1]\n", "discovery.notice_ms: 5 is above 1"},
		{good + "[load]\nzone_shares = [1.0]\n", "load.zone_shares: 1 shares for 3 zones"},
		{"name = ", "toml: line 1"},
	} {
		s, err := Parse([]byte(c.text))
		if err == nil {
			_, err = s.Compile()
		}
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %s", c.text, err, c.want)
		}
	}
}

func TestCompile_KindDefaults(t *testing.T) {
	s, err := Parse([]byte("name = \"x\"\nlength_s = 10\n[[fleet.kind]]\nname = \"prefill\"\ncount = 2\nslots = 3\n[[fleet.kind]]\nname = \"own\"\nrole = \"write\"\ncount = 4\n"))
	if err != nil {
		t.Fatal(err)
	}
	p, err := s.Compile()
	if err != nil {
		t.Fatal(err)
	}
	def := engine.DefaultKinds()
	if k := p.Engine.Kinds[0]; k.Slots != 3 || k.MaxQueue != def[0].MaxQueue {
		t.Errorf("prefill: %+v", k)
	}
	if k := p.Engine.Kinds[1]; k.Name != "own" || k.Role != engine.RoleDecode || k.Slots != def[1].Slots {
		t.Errorf("own: %+v", k)
	}
	zones := map[string]int{}
	for _, b := range p.Engine.Engines {
		zones[b.Zone]++
	}
	if len(p.Engine.Engines) != 6 || len(zones) != 3 {
		t.Errorf("engines %v", p.Engine.Engines)
	}
}
