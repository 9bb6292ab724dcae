package soak

import (
	"net"
	"strings"
	"testing"
	"time"
)

// A gateway was blamed for the laboratory's own lateness (decode_engines_flicker of TestHolds_SilentEngines, once in the CI script: an
// attempt with a remaining time of 4s with 3.789s left, 0.29 s into the scenario, though the gateway's log shows the request read and
// forwarded within the same ms). With 12 and 24 scenarios at once beside busy processes, attempts are read 60 to 125 ms after the client's
// write, most at a scenario's start. In 116 traces the kernel reports how long the last byte had been at the engine's socket: all but 15 ms
// of the delay in 95, and in the others the gateway and the network took up to 74 ms, of 150 allowed. The laboratory's process, which runs
// engines, clients and the checker, did not run while they were unread.

const (
	attemptDeadline = time.Second
	readDelay       = remainingTimeSlack + 100*time.Millisecond
	waitTimeout     = 5 * time.Second
)

// readAttemptConn returns an engine's side of a connection from which the caller's bytes have been read.
func readAttemptConn(t *testing.T) *linkConn {
	t.Helper()
	engineLink, err := openLink()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { engineLink.Close() })
	caller, err := net.Dial("tcp", engineLink.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	if _, err := caller.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	conn, err := engineLink.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return conn.(*linkConn)
}

// remainingTimeViolations counts the rules broken by an attempt that is read now and whose request was written at writtenAt.
func remainingTimeViolations(conn *linkConn, writtenAt time.Time) int {
	c := newChecker(&FaultScenario{Gateways: 1, Engines: []Engine{{ID: "e0", Role: Prefill}}}, writtenAt.Add(-time.Second))
	c.requestBegun("q", Class{Effect: Pure, Deadline: attemptDeadline}, 0)
	c.requestWritten("q", writtenAt, 0, false)
	c.attemptReceived("q", 0, 0, conn, time.Now(), attemptDeadline)
	violations, _ := c.finish()
	return len(violations)
}

// An attempt that arrives late and carries the full deadline breaks the rule. One that arrives in time and is read late by the laboratory does not.
func TestChecker_RemainingTimeAtArrival(t *testing.T) {
	conn := readAttemptConn(t)
	if n := remainingTimeViolations(conn, time.Now().Add(-readDelay)); n != 1 {
		t.Errorf("%d rules broken by an attempt that arrives %v after its request, want 1", n, readDelay)
	}
	writtenAt := time.Now()
	conn = readAttemptConn(t)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for now := range ticker.C {
		if !conn.lastArrival(now).Add(readDelay).After(now) {
			break
		}
		if now.Sub(writtenAt) > waitTimeout {
			t.Fatal("the kernel does not report when the attempt arrived")
		}
	}
	if n := remainingTimeViolations(conn, writtenAt); n != 0 {
		t.Errorf("%d rules broken by an attempt that arrived in time and is read %v late, want none", n, readDelay)
	}
}

// The history of a violation includes the soak's own lateness that may explain it: which part was late, how often and by how much,
// limited to the request's time.
func TestChecker_LatenessInViolation(t *testing.T) {
	c := newChecker(&FaultScenario{Gateways: 1}, time.Now().Add(-time.Minute))
	c.recordLateness(lateSweep, time.Now().Add(-30*time.Second), time.Second) // before the request began
	c.requestBegun("q", Class{Effect: Pure}, 0)
	now := time.Now()
	c.recordLateness(lateFault, now, minLateness-1) // below the limit
	c.recordLateness(lateEngine, now, 40*time.Millisecond)
	c.recordLateness(lateEngine, now, 90*time.Millisecond)
	c.reportViolation(RuleLost, "q", "unanswered")
	violations, _ := c.finish()
	if len(violations) != 1 {
		t.Fatalf("%d broken rules, want 1", len(violations))
	}
	var lines []string
	for _, line := range violations[0].History {
		if strings.HasPrefix(line, "late: ") {
			lines = append(lines, line)
		}
	}
	if len(lines) != 1 || !strings.Contains(lines[0], string(lateEngine)+" late 2 times, the worst by 90ms") {
		t.Errorf("the violation lists the lateness %q", lines)
	}
	if all := c.latenessText(); strings.Count(all, "late: ") != 2 {
		t.Errorf("lateness of the whole run: %s", all)
	}
}

// Guards against two ways in which a gateway was blamed for the laboratory's own lateness under load (soak seed 100): an attempt was timed
// from when the client began to write its request, because it was received before the client recorded the end of the write; and an attempt
// was timed to when its engine read it instead of to its arrival.
func TestChecker_LateRecordsInLab(t *testing.T) {
	conn := readAttemptConn(t)
	arrived := conn.lastArrival(time.Now())
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for now := range ticker.C {
		if arrived = conn.lastArrival(now); now.Sub(arrived) > cancelSlack {
			break
		}
		if now.Sub(arrived) > waitTimeout {
			t.Fatal("the kernel does not report when the attempt arrived")
		}
	}
	for _, tt := range []struct {
		name       string
		written    time.Duration // end of the request's write, before the arrival of the attempt's last byte; the write began long before
		left       time.Duration // when the client closed its connection, before that arrival; 0 = it did not
		violations int
	}{
		{"written just before, recorded late", 0, 0, 0},
		{"written long before, recorded late", readDelay, 0, 1},
		{"begun in time after its client closed, read late", 0, 100 * time.Millisecond, 0},
		{"begun late after its client closed", 0, cancelSlack + 20*time.Millisecond, 1},
	} {
		c := newChecker(&FaultScenario{Gateways: 1, Engines: []Engine{{ID: "e0", Role: Prefill}}}, arrived.Add(-time.Minute))
		c.requestBegun("q", Class{Effect: Pure, Deadline: attemptDeadline}, 0)
		r := c.requests["q"]
		r.sentAt = arrived.Add(-attemptDeadline)
		if tt.left > 0 {
			r.leftAt = arrived.Add(-tt.left)
		}
		c.attemptReceived("q", 0, 0, conn, time.Now(), attemptDeadline)
		c.requestWritten("q", arrived.Add(-tt.written), 0, false)
		if violations, _ := c.finish(); len(violations) != tt.violations {
			t.Errorf("%s: %d rules broken, want %d: %v", tt.name, len(violations), tt.violations, violations)
		}
	}
}
