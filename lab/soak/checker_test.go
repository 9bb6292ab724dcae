package soak

import (
	"net"
	"strings"
	"testing"
	"time"
)

// How a gateway was blamed for the lab's own lateness (TestHeldState_SilentEngines, decode_engines_flicker, once in the CI script: "told
// 4s with 3.789s left" 0.29 s into the story, though the gateway's log has the request read and sent on in the same ms). Played 12 and 24 at
// once beside busy processes, attempts are read 60 to 125 ms behind the client's write, most at a story's begin. In 116 traces the
// kernel tells how long the last byte had been at the engine's socket: all but 15 ms of the delay in 95, and in the others the gateway and
// the way took up to 74 ms, where 150 are allowed. The lab's process, engines, clients and checker in one, stood still with them unread.

const (
	toldLong  = time.Second
	readLate  = toldSlack + 100*time.Millisecond
	waitBound = 5 * time.Second
)

// attemptRead gives a connection at an engine whose caller has written to it.
func attemptRead(t *testing.T) *linkConn {
	t.Helper()
	k, err := openLink()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close() })
	caller, err := net.Dial("tcp", k.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	if _, err := caller.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	conn, err := k.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return conn.(*linkConn)
}

// toldBreaks plays an attempt whose request was written at a time, and is read now.
func toldBreaks(conn *linkConn, asked time.Time) int {
	c := newChecker(&Story{Gateways: 1, Engines: []Engine{{ID: "e0", Role: Prefill}}}, asked.Add(-time.Second))
	c.asks("q", Class{Effect: Pure, Deadline: toldLong}, 0)
	c.asked("q", asked, 0, false)
	c.takes("q", 0, 0, conn, time.Now(), toldLong)
	breaks, _ := c.finish()
	return len(breaks)
}

// An attempt that comes late and is told the whole time breaks the rule. One that came in time and is read late by the lab does not.
func TestChecker_TimeToldCountsToTheArrival(t *testing.T) {
	conn := attemptRead(t)
	if n := toldBreaks(conn, time.Now().Add(-readLate)); n != 1 {
		t.Errorf("%d rules broken by an attempt that comes %v behind its request, want 1", n, readLate)
	}
	asked := time.Now()
	conn = attemptRead(t)
	looks := time.NewTicker(time.Millisecond)
	defer looks.Stop()
	for now := range looks.C {
		if !conn.arrived(now).Add(readLate).After(now) {
			break
		}
		if now.Sub(asked) > waitBound {
			t.Fatal("the kernel does not tell when the attempt came")
		}
	}
	if n := toldBreaks(conn, asked); n != 0 {
		t.Errorf("%d rules broken by an attempt that came in time and is read %v late, want none", n, readLate)
	}
}

// A broken rule that the soak's own lateness may explain tells of it: which part was late, how often and by how much, in the
// request's time alone.
func TestChecker_LatenessIsPrintedWithABreak(t *testing.T) {
	c := newChecker(&Story{Gateways: 1}, time.Now().Add(-time.Minute))
	c.wasLate(lateSweep, time.Now().Add(-30*time.Second), time.Second) // before the request
	c.asks("q", Class{Effect: Pure}, 0)
	now := time.Now()
	c.wasLate(lateFault, now, leastNoted-1) // too little
	c.wasLate(lateEngine, now, 40*time.Millisecond)
	c.wasLate(lateEngine, now, 90*time.Millisecond)
	c.sees(Lost, "q", "unanswered")
	breaks, _ := c.finish()
	if len(breaks) != 1 {
		t.Fatalf("%d broken rules, want 1", len(breaks))
	}
	var told []string
	for _, line := range breaks[0].History {
		if strings.HasPrefix(line, "late: ") {
			told = append(told, line)
		}
	}
	if len(told) != 1 || !strings.Contains(told[0], string(lateEngine)+" late 2 times, the worst by 90ms") {
		t.Errorf("the break tells of %q", told)
	}
	if all := c.latenessText(); strings.Count(all, "late: ") != 2 {
		t.Errorf("of the whole run: %s", all)
	}
}

// Guards against two ways in which a gateway was blamed for the lab's own lateness beside load (soak seed 100): an attempt counted from when a
// client began to write its request, as it was taken before the client noted that this was written; and from when its engine read it.
func TestChecker_LateNotesOfTheLab(t *testing.T) {
	conn := attemptRead(t)
	came := conn.arrived(time.Now())
	looks := time.NewTicker(time.Millisecond)
	defer looks.Stop()
	for now := range looks.C {
		if came = conn.arrived(now); now.Sub(came) > leaveSlack {
			break
		}
		if now.Sub(came) > waitBound {
			t.Fatal("the kernel does not tell when the attempt came")
		}
	}
	for _, tt := range []struct {
		name    string
		written time.Duration // of the request, before the attempt's last byte came; its client began long before
		left    time.Duration // when its client left, the same; 0 = it stayed
		breaks  int
	}{
		{"written just before, noted late", 0, 0, 0},
		{"written long before, noted late", readLate, 0, 1},
		{"begun in time behind its client's leaving, read late", 0, 100 * time.Millisecond, 0},
		{"begun late behind its client's leaving", 0, leaveSlack + 20*time.Millisecond, 1},
	} {
		c := newChecker(&Story{Gateways: 1, Engines: []Engine{{ID: "e0", Role: Prefill}}}, came.Add(-time.Minute))
		c.asks("q", Class{Effect: Pure, Deadline: toldLong}, 0)
		r := c.requests["q"]
		r.asked = came.Add(-toldLong)
		if tt.left > 0 {
			r.left = came.Add(-tt.left)
		}
		c.takes("q", 0, 0, conn, time.Now(), toldLong)
		c.asked("q", came.Add(-tt.written), 0, false)
		if breaks, _ := c.finish(); len(breaks) != tt.breaks {
			t.Errorf("%s: %d rules broken, want %d: %v", tt.name, len(breaks), tt.breaks, breaks)
		}
	}
}
