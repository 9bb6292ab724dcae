package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/limits"
)

const validConfig = `{"name":"n3","listen":"10.0.0.4:7070","discovery":"10.2.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":0.5,"memory_mb":100,"sockets":512},
	"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:7070","zone":"a",
	"machineType":"m2","cell":3,"lifecycle":"draining","weight":1.5,"startedAtMs":2500}]},
	"settings":{"kinds":["m2"],"family_info":{"kind_role":["read"]},"lanes":[{"name":"c","deadline":9,"effect":"pure"}]}}`

func emptyEnv(string) string { return "" }

func TestParse_AllFields(t *testing.T) {
	c, err := parse([]byte(validConfig), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	seed := uint64(0x8c1f30d27a5be964)
	engines := []ashwood.Server{{ID: "s-1", Address: "10.1.0.18:7070", Zone: "a", Kind: "m2", Cell: 3,
		State: ashwood.StateDraining, Weight: 1.5, Started: 2500e6}}
	if c.Seed != int64(seed) || c.Limits != (Limits{0.5, 100, 512}) || c.KnownMembership.Generation != 41 ||
		len(c.Settings.Classes) != 1 || cmp.Diff(engines, c.KnownMembership.Engines) != "" {
		t.Errorf("%+v", c)
	}
}

// The README tells newcomers to start with this file.
func TestLoad_ExampleFile(t *testing.T) {
	c, err := Load(func(key string) string { return map[string]string{"ROUTER_CONFIG": "../../deploy/config.json"}[key] })
	if err != nil {
		t.Fatal(err)
	}
	if len(c.KnownMembership.Engines) != 2 || len(c.Settings.Classes) != 3 || c.Settings.Classes[2].Effect != ashwood.SideEffect {
		t.Errorf("%+v", c)
	}
	if _, err := ashwood.New(c.Settings, c.Seed); err != nil {
		t.Error(err)
	}
}

func TestParse_DefaultsAndEnvironment(t *testing.T) {
	env := map[string]string{"ROUTER_NAME": "x", "ROUTER_LISTEN": "127.0.0.1:1", "ROUTER_DISCOVERY": "127.0.0.1:2"}
	c, err := parse([]byte(`{"settings":{}}`), func(k string) string { return env[k] })
	if err != nil || c.Name != "x" || c.Listen != "127.0.0.1:1" || c.Discovery != "127.0.0.1:2" ||
		c.Limits != (Limits{defaultCores, defaultMemoryMB, defaultSockets}) {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestParse_ErrorNamesKey(t *testing.T) {
	tests := []struct{ old, new, key string }{
		{`"name":"n3"`, `"name":7`, "name"},
		{`"listen":"10.0.0.4:7070",`, "", "listen"},
		{"10.2.0.1:8500", "nowhere", "discovery"},
		{"8c1f30d27a5be964", "xyz", "seed"},
		{`"cores":0.5`, `"cores":0`, "limits.cores"},
		{`"memory_mb":100`, `"memory_mb":1`, "limits.memory_mb"},
		{`"sockets":512`, `"sockets":"many"`, "limits.sockets"},
		{`"lifecycle":"draining"`, `"lifecycle":"odd"`, "known: wire: targets: field \"instances[0].lifecycle\""},
		{`"instanceId":"s-1",`, "", "instances[0].instanceId"},
		{`"generation":41`, `"generation":null`, "known: wire: targets: field \"generation\""},
		{`"kind_role":["read"]`, `"kind_role":["odd"]`, "family_info.kind_role[0]"},
		{`"effect":"pure"`, `"effect":"odd"`, "lanes[0].effect"},
		{`,"effect":"pure"`, ``, "lanes[0].effect"},
		{`"effect":"pure"`, `"effect":"token","group":"odd"`, "lanes[0].group"},
		{`"name":"c",`, ``, "lanes[0].name"},
		{`"lanes":[`, `"lanes":[{"name":"c","deadline":9,"effect":"pure"},`, "lanes[1].name"},
		{`"deadline":9`, `"deadline":0`, "lanes[0].deadline"},
		{`"deadline":9`, `"deadline":-9`, "lanes[0].deadline"},
		{`"deadline":9`, `"deadline":"9"`, "lanes"},
		{`"deadline":9`, `"deadline":4000000000`, "lanes[0].deadline"}, // microseconds
		{`"deadline":9`, `"deadline":1e999`, "deadline"},
		{`"deadline":9`, `"deadline":9,"worth":-1`, "lanes[0].worth"},
		{`"deadline":9`, `"deadline":9,"late_share":1.5`, "lanes[0].late_share"},
		{`"deadline":9`, `"deadline":9,"memory_span":-1`, "lanes[0].memory_span"},
		{`"settings":{`, `"settings":{"ceilings":{"attempts_cap":-1},`, "ceilings.attempts_cap"},
		{`"settings":{`, `"settings":{"ceilings":{"connect_timeout":-1},`, "ceilings.connect_timeout"},
		{`"settings":{`, `"settings":{"obligations":{"warm_within":-1},`, "obligations.warm_within"},
		{`"settings":{`, `"settings":{"siblings":-1,`, "siblings"},
		{`"settings":{`, `"settings":{"tenants":[{"name":"t","allowance_per_s":-1}],`, "tenants[0].allowance_per_s"},
		{`"name":"c"`, "\"name\":\"c\xff\"", "settings: not in UTF-8"},
		{`"zone":"a"`, "\"zone\":\"\xfe\"", "known: wire: targets: not in UTF-8"},
		{`"settings":`, `"other":`, "settings is missing"},
	}
	for _, tt := range tests {
		if _, err := parse([]byte(strings.Replace(validConfig, tt.old, tt.new, 1)), emptyEnv); err == nil || !strings.Contains(err.Error(), tt.key) {
			t.Errorf("%s: error %v does not name the key", tt.key, err)
		}
	}
}

// operatorEnv returns an environment in which only ASHWOOD_OPERATOR is set.
func operatorEnv(path string) func(string) string {
	return func(name string) string {
		if name == "ASHWOOD_OPERATOR" {
			return path
		}
		return ""
	}
}

func TestLoadOperator(t *testing.T) {
	c := Config{Name: "n3", Settings: ashwood.Settings{Kinds: []ashwood.Kind{{Name: "m2"}}}}
	load := func(text string) (Operator, error) {
		path := filepath.Join(t.TempDir(), "o.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadOperator(operatorEnv(path), c)
	}
	const grpc = "[grpc]\nlisten = \"127.0.0.1:1\"\n"
	o, err := load(grpc + "[[grpc.boxes]]\nid = \"b\"\naddress = \"127.0.0.1:2\"\nkind = \"m2\"\n")
	want := Operator{GRPC: &GRPC{Listen: "127.0.0.1:1", Engines: []ashwood.Server{
		{ID: "b", Address: "127.0.0.1:2", Kind: "m2", State: ashwood.StateActive, Weight: 1}}}}
	if diff := cmp.Diff(want, o, cmpopts.IgnoreFields(GRPC{}, "Credentials", "EngineCredentials")); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if a, b := o.GRPC.Credentials.Info(), o.GRPC.EngineCredentials.Info(); a.SecurityProtocol != "insecure" || b != a {
		t.Errorf("without files: %v, %v", a, b)
	}
	if o, err := LoadOperator(emptyEnv, c); err != nil || o.GRPC != nil {
		t.Errorf("without a file: %+v, %v", o, err)
	}
	for text, key := range map[string]string{
		"[grpc]\n":                           "grpc.listen",
		grpc:                                 "grpc.boxes",
		"[log]\nlevel = 'loud'":              "log.level",
		"[log]\nform = 'xml'":                "log.form",
		"[limits]\nin_flight = -1":           "in_flight",
		"[limits]\nodd = 1":                  "limits.odd",
		"[[limits.addresses]]\ncidr = ['x']": "addresses[0].cidr[0]",
		grpc + "odd = 1":                     "grpc.odd",
		grpc + "[grpc.xds]\nserver='x'":      "grpc.xds.server",
		grpc + "[[grpc.boxes]]\nid='b'\naddress='127.0.0.1:2'\nkind='odd'": "grpc.boxes[0].kind",
		grpc + "[[grpc.boxes]]\naddress='127.0.0.1:2'":                     "grpc.boxes[0].id",
		grpc + "[grpc.tls]\nca='x'":                                        "grpc.tls.certificate",
		grpc + "[grpc.tls]\ncertificate='x'":                               "grpc.tls.key",
		grpc + "[grpc.tls]\ncertificate='x'\nkey='x'\nserver_name='x'":     "grpc.tls.server_name",
		grpc + "[grpc.box_tls]\nca='/no such file'":                        "grpc.box_tls.ca",
		grpc + "[grpc.xds]\nserver='a:1'\n[grpc.xds.tls]\nca='/dev/null'":  "grpc.xds.tls.ca",
	} {
		if _, err := load(text); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}

func TestLoadOperator_Limits(t *testing.T) {
	path := filepath.Join(t.TempDir(), "o.toml")
	text := "[limits]\nin_flight = 9\nfair = true\n[limits.tenants.a]\nshare = 3.0\nin_flight = 4\n[[limits.addresses]]\ncidr = ['10.0.0.0/8']\ntokens_per_s = 5.0\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	o, err := LoadOperator(operatorEnv(path), Config{})
	want := limits.Config{
		InFlight: 9, Fair: true, Tenants: map[string]limits.Tenant{"a": {Limit: limits.Limit{InFlight: 4}, Share: 3}},
		Addresses: []limits.Range{{CIDR: []string{"10.0.0.0/8"}, Limit: limits.Limit{TokensPerS: 5}}},
	}
	if diff := cmp.Diff(want, o.Limits); diff != "" || err != nil {
		t.Error(diff, err)
	}
}

// The file under deploy must load.
func TestLoadOperator_ShippedFile(t *testing.T) {
	o, err := LoadOperator(operatorEnv("../../deploy/fronts.toml"), Config{Name: "n3"})
	if err != nil || o.GRPC == nil || o.GRPC.XDS == nil || o.GRPC.XDS.Node != "n3" {
		t.Errorf("%+v, %v", o, err)
	}
}
