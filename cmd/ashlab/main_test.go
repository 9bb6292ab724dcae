package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ashwood.example/ashwood/lab/record"
	"ashwood.example/ashwood/lab/scenario"
)

func run(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := rootCommand()
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(context.Background())
	return out.String(), err
}

func TestScenarios_ListAndValidate(t *testing.T) {
	out, err := run("scenarios")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range scenario.Names() {
		if !strings.Contains(out, name+" ") {
			t.Errorf("%s is not listed", name)
		}
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nlength_s = 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := run("scenarios", bad); err == nil || !strings.Contains(err.Error(), "length_s: minimum") {
		t.Errorf("an invalid file: %v", err)
	}
	if _, err := run("rehearse", "no-such-day"); !errors.Is(err, scenario.ErrUnknown) || exitCode(err) != 2 {
		t.Errorf("an unknown scenario: %v", err)
	}
	for _, args := range [][]string{{"rehearse", "calm", "--gateways", "99"}, {"rehearse", "calm", "--length", "0"}, {"load", "calm"}, {"compare", "x"}} {
		if _, err := run(args...); err == nil || exitCode(err) != 2 {
			t.Errorf("%v: %v", args, err)
		}
	}
}

// The repository holds recordings of runs of the platform's bench. A recording has no
// distance from itself, and two of different scenarios exceed a small bound.
func TestCompare_Bound(t *testing.T) {
	const calm, hang = "../../lab/record/days/calm-61.json", "../../lab/record/days/hang-42.json"
	if out, err := run("compare", calm, calm, "--bound", "0.001"); err != nil || !strings.Contains(out, "within 0.001") {
		t.Errorf("%s, %v", out, err)
	}
	if out, err := run("compare", calm, hang, "--bound", "0.01"); !errors.Is(err, errBoundExceeded) || exitCode(err) != 1 || !strings.Contains(out, "send-order") {
		t.Errorf("%s, %v", out, err)
	}
	if _, err := run("compare", calm, "main.go"); !errors.Is(err, record.ErrFormat) {
		t.Errorf("a file that is not a recording: %v", err)
	}
}

func TestRecord_DebugLogs(t *testing.T) {
	dir := t.TempDir()
	log, out := filepath.Join(dir, "n0.log"), filepath.Join(dir, "day.json")
	text := "time=2026-12-01T17:18:05.050Z level=DEBUG msg=answer id=x class=case-chat kind=served ms=50 err=<nil>\n"
	if err := os.WriteFile(log, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := run("record", log, "--name", "day", "--out", out); err != nil {
		t.Fatal(err)
	}
	if rec, err := record.Open(out); err != nil || rec.Name != "day" || rec.Classes[0].Windows[0].Served != 1 {
		t.Errorf("%+v, %v", rec, err)
	}
}

// Logs are counted by second and by engine; a folder without logs is an error that names
// the pattern.
func TestFleet_DebugLogs(t *testing.T) {
	dir := t.TempDir()
	if _, err := run("fleet", dir); err == nil || exitCode(err) != 2 || !strings.Contains(err.Error(), "*.log") {
		t.Errorf("an empty folder: %v", err)
	}
	line := "time=2026-01-01T00:00:00Z level=DEBUG msg=probe engine=r1 kind=prefill status=1 ms=2\n"
	if err := os.WriteFile(filepath.Join(dir, "n0.log"), []byte(line), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := run("fleet", dir); err != nil || !strings.Contains(out, "probe served") || !strings.Contains(out, "r1") {
		t.Errorf("%v:\n%s", err, out)
	}
}
