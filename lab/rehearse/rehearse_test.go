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

// TestMain builds the daemon that the tests start.
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

// A rehearsal with a crash, a hang and a drain violates no rule, over HTTP/1.1 and
// over gRPC. The rules' limits are relaxed, so that the verdict doesn't depend on the
// speed of the machine.
func TestRun_CIScenarioKeepsRules(t *testing.T) {
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
		counts := report.Counts
		answers := 0
		for _, n := range counts.Answers {
			answers += n
		}
		if counts.Requests < 50 || answers != counts.Requests || counts.Doubles != 0 {
			t.Errorf("%s: %d requests, %d answers, %d side effects run twice", report.Wire, counts.Requests, answers, counts.Doubles)
		}
		// Every engine is up most of the time, so a gateway that serves less than half is broken.
		if counts.Answers[rules.Served]*2 < counts.Requests {
			t.Errorf("%s: answers %v of %d requests", report.Wire, counts.Answers, counts.Requests)
		}
		if !strings.Contains(text.String(), "send-order") || !strings.HasSuffix(text.String(), "rules kept\n") {
			t.Errorf("%s", text.String())
		}
	}
}

// A program that exits before it serves makes Run fail with an error that names the gateway.
func TestRun_ProgramExitsBeforeServing(t *testing.T) {
	s, err := scenario.Open("ci")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Run(context.Background(), Options{Scenario: s, Program: "/bin/true"}); err == nil || !strings.Contains(err.Error(), "n0 exited before it served") {
		t.Errorf("a program that exits at once: %v", err)
	}
}
