package main

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestMain runs the adapter instead of the tests if ASHWOOD_ADAPTER is 1, so that tests can start it as a process.
func TestMain(m *testing.M) {
	if os.Getenv("ASHWOOD_ADAPTER") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const newInstanceLine = `{"ts":1000,"parts":[{"i":3,"events":[{"cmd":"NEW_INSTANCE","prng":1,"setup":{"siblings":1,` +
	`"locality":"a","kinds":["r","w"],"family_info":{"kind_role":["read","write"]},"lanes":[{"name":"c","aim":1000,` +
	`"deadline":5000,"worth":1,"effect":"pure"}]}},{"cmd":"SYNC","form":"stale_copy","records":[` +
	`{"engine":"r:1","region_part":"a","type":"r","lifecycle":"on"},` +
	`{"engine":"w:1","region_part":"a","type":"w","lifecycle":"on"}]}]}]}`

const callLine = `{"ts":1001,"parts":[{"i":3,"events":[{"cmd":"CALL","tid":"q","time_left":5000,"prompt_tokens":90,` +
	`"talk":1,"service":"c"}]}]}`

const prefilledLine = `{"ts":1050,"parts":[{"i":3,"events":[{"cmd":"FINISHED","tid":"q","round_no":0,"engine":"r:1",` +
	`"wait_time":49,"disposition":"parsed"}]}]}`

func runAdapter(t *testing.T, lines ...string) (stdout, stderr string, err error) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "ASHWOOD_ADAPTER=1")
	cmd.Stdin = strings.NewReader(strings.Join(lines, "\n") + "\n")
	var outBuffer, errBuffer bytes.Buffer
	cmd.Stdout, cmd.Stderr = &outBuffer, &errBuffer
	err = cmd.Run()
	return outBuffer.String(), errBuffer.String(), err
}

func TestAdapter_ServesRequest(t *testing.T) {
	out, errs, err := runAdapter(t, `{"ts":999,"parts":[]}`, newInstanceLine, callLine, prefilledLine)
	if err != nil || errs != "" {
		t.Fatalf("%v, %s", err, errs)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 4 || lines[0] != `{"parts":[]}` {
		t.Fatalf("replies: %s", out)
	}
	for i, want := range []string{`"cmd":"RELAY","tid":"q","engine":"r:1"`, `"cmd":"RELAY","tid":"q","engine":"w:1"`} {
		if !strings.Contains(lines[i+2], want) {
			t.Errorf("reply %s lacks %s", lines[i+2], want)
		}
	}
}

func TestAdapter_BadInput(t *testing.T) {
	tests := []struct{ name, line, message string }{
		{"malformed", `{"ts":`, "batch"},
		{"unknown message", `{"ts":1,"parts":[{"i":3,"events":[{"cmd":"BOO"}]}]}`, "BOO"},
		{"no instance", `{"ts":1,"parts":[{"i":9,"events":[{"cmd":"RING","key_back":1}]}]}`, "NEW_INSTANCE"},
		{"impossible settings", `{"ts":1,"parts":[{"i":3,"events":[{"cmd":"NEW_INSTANCE","prng":1,"setup":{}}]}]}`, "kind"},
	}
	for _, tt := range tests {
		_, errs, err := runAdapter(t, newInstanceLine, tt.line)
		if err == nil || !strings.Contains(errs, tt.message) || strings.Count(errs, "\n") != 1 {
			t.Errorf("%s: %v, stderr %q", tt.name, err, errs)
		}
	}
}

func TestAdapter_StoppedInstance(t *testing.T) {
	stop := `{"ts":1060,"parts":[{"i":3,"events":[{"cmd":"STOP"}]}]}`
	if _, _, err := runAdapter(t, newInstanceLine, callLine, stop, newInstanceLine, callLine); err != nil {
		t.Error(err)
	}
	if _, errs, err := runAdapter(t, newInstanceLine, stop, callLine); err == nil {
		t.Errorf("a stopped instance took a request: %s", errs)
	}
}
