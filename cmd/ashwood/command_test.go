package main

import (
	"os/exec"
	"strings"
	"testing"
)

func TestCommandLine(t *testing.T) {
	faultyJSON := writeTempFile(t, "bad.json", `{"name":"n","listen":"127.0.0.1:0","discovery":"nowhere"}`)
	faultyTOML := writeTempFile(t, "wrong.toml", "[log]\nform = \"xml\"\n")
	for _, tt := range []struct {
		args []string
		ok   bool
		want string
	}{
		{[]string{"version"}, true, "ashwood "},
		{[]string{"--help"}, true, "config"},
		{[]string{"completion", "bash"}, true, "bash completion"},
		{[]string{"config", "check", "../../deploy/config.json", "../../deploy/fronts.toml"}, true, "fronts.toml: ok"},
		{[]string{"config", "check", faultyJSON}, false, "config: discovery:"},
		{[]string{"config", "check", "../../deploy/config.json", faultyTOML}, false, `config: log.form: "xml" is neither text nor json`},
		{[]string{"config", "check", faultyTOML}, false, "name its .json first"},
		{[]string{"serv"}, false, "unknown command"},
		{[]string{}, false, "config: ROUTER_CONFIG is not set"},
		{[]string{"serve"}, false, "config: ROUTER_CONFIG is not set"},
	} {
		cmd := exec.Command(program, tt.args...)
		cmd.Env = []string{}
		out, err := cmd.CombinedOutput()
		if (err == nil) != tt.ok || !strings.Contains(string(out), tt.want) {
			t.Errorf("%v: %v, %s, want %q", tt.args, err, out, tt.want)
		}
	}
}
