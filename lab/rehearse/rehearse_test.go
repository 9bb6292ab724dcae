package rehearse

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"ashwood.example/ashwood/lab/rules"
	"ashwood.example/ashwood/lab/scenario"
)

var program string

// TestMain builds the gateway's binary for the rehearsals of the tests.
func TestMain(m *testing.M) {
	code, err := WithDaemon(func(path string) int {
		program = path
		return m.Run()
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// A rehearsal with a crash, a hang and a drain keeps every rule, over HTTP/1.1 and
// gRPC. The relaxed limits make the result independent of the machine's speed.
func TestRun_RulesKept(t *testing.T) {
	for _, grpc := range []bool{false, true} {
		if grpc && testing.Short() {
			continue
		}
		s, err := scenario.Open("ci")
		if err != nil {
			t.Fatal(err)
		}
		report, err := Run(context.Background(), Options{Scenario: s, Program: program, GRPC: grpc, Rules: rules.RelaxedLimits()})
		if err != nil {
			t.Fatal(err)
		}
		var text bytes.Buffer
		if err := report.Print(&text); err != nil {
			t.Fatal(err)
		}
		if !report.OK() {
			t.Errorf("%s: %s", report.Wire, text.String())
		}
		c := report.Counts
		answers := 0
		for _, n := range c.Answers {
			answers += n
		}
		if c.Requests < 50 || answers != c.Requests || c.Doubles != 0 {
			t.Errorf("%s: %d requests, %d answers, %d doubles", report.Wire, c.Requests, answers, c.Doubles)
		}
		// Every engine is up most of the time, so most requests must be served.
		if c.Answers[rules.Served]*2 < c.Requests {
			t.Errorf("%s: %v of %d", report.Wire, c.Answers, c.Requests)
		}
		if !strings.Contains(text.String(), "send-order") || !strings.HasSuffix(text.String(), "rules kept\n") {
			t.Errorf("%s", text.String())
		}
	}
}

// A program that exits before it serves is reported as such.
func TestRun_ProgramExits(t *testing.T) {
	s, err := scenario.Open("ci")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Run(context.Background(), Options{Scenario: s, Program: "/bin/true"}); err == nil || !strings.Contains(err.Error(), "n0 exited before it served") {
		t.Errorf("%v", err)
	}
}
