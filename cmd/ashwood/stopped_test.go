package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// stopFor stops a process (SIGSTOP) and continues it after the pause; it returns once the process is stopped.
func (p *process) stopFor(pause time.Duration) {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGSTOP)
	waitFor(p.t, "the process is stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		return err == nil && strings.Contains(string(stat), ") T ")
	})
	time.AfterFunc(pause, func() { p.cmd.Process.Signal(syscall.SIGCONT) })
}

// A started answer must survive the handover even if the older or the newer process is stopped at any point of it,
// for as long as ordinary delays last and for longer: the answer arrives complete, once, and from one process at a time.
func TestHandover_EitherProcessStopped(t *testing.T) {
	type moment int
	const (
		beforeSigterm moment = iota
		beforePiece
		afterPiece
	)
	moments := map[moment]string{beforeSigterm: "before SIGTERM to the older process", beforePiece: "before the next piece", afterPiece: "after the next piece"}
	for at, name := range moments {
		for _, newer := range []bool{false, true} {
			for _, pause := range []time.Duration{150 * time.Millisecond, 1200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, newer process: %v, for %v", name, newer, pause), func(t *testing.T) {
					t.Parallel()
					fixture := newGatewayFixture(t)
					older := fixture.startProcess().waitReady()
					response, err := fixture.sendOrder(newClient(t), "a1")
					if err != nil {
						t.Fatal(err)
					}
					next := fixture.startProcess().waitReady()
					waitFor(t, "the older process sees the newer one serve", func() bool { return older.logContains("newer_one_serves=true") })
					stopped := older
					if newer {
						stopped = next
					}
					stopIf := func(now moment) {
						if now == at {
							stopped.stopFor(pause)
						}
					}
					stopIf(beforeSigterm)
					older.sigterm()
					if at != beforeSigterm {
						waitFor(t, "the older process hands over", func() bool { return older.logContains("a newer process goes on") })
					}
					stopIf(beforePiece)
					fixture.nextPiece <- struct{}{}
					stopIf(afterPiece)
					close(fixture.nextPiece)
					fixture.checkAnswer(response)
					older.waitForExit()
					fixture.checkSentOnce(1)
				})
			}
		}
	}
}
