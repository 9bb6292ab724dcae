package main

import (
	"net"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// The admin server must answer a caller while all allowed file descriptors are in use, by silent
// callers at the admin server and a flood of clients at the front. Counters survive a reload.
func TestAdmin_AllDescriptorsInUse(t *testing.T) {
	const sockets = 96
	fixture := newGatewayFixture(t)
	fixture.sockets = sockets
	close(fixture.nextPiece)
	proc := fixture.startProcess().waitReady()
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(proc.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	response, err := fixture.sendOrder(newClient(t), "d1")
	if err != nil {
		t.Fatal(err)
	}
	fixture.checkAnswer(response)
	dialMany := func(addr string, n int) {
		for range n {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
	}
	dialMany(proc.adminAddr, 40)
	dialMany(fixture.listenAddr, 4*sockets)
	dialMany(proc.adminAddr, 40)
	if got := proc.callAdmin("check"); got != "YES\n" {
		t.Errorf("check: %q", got)
	}
	want := "app.fulfilled.send-order:1|c\n"
	if got := proc.callAdmin("vars"); !strings.HasPrefix(got, "YES\n") || !strings.Contains(got, want) || !strings.HasSuffix(got, "\nEND\n") {
		t.Errorf("vars: %q", got)
	}
	proc.cmd.Process.Signal(syscall.SIGHUP)
	response, err = fixture.sendOrder(newClient(t), "d2") // after the flood, a normal client is served
	if err != nil {
		t.Fatal(err)
	}
	fixture.checkAnswer(response)
	if got := proc.callAdmin("vars"); !strings.Contains(got, "app.fulfilled.send-order:2|c\n") || !strings.Contains(got, "app.relayed.send-order:4|c\n") {
		t.Errorf("vars after a reload: %q", got)
	}
	proc.sigterm()
	waitFor(t, "the admin server reports that the process is stopping, or is closed", func() bool {
		c, err := net.Dial("tcp", proc.adminAddr)
		if err != nil {
			return true
		}
		c.Close()
		return strings.HasPrefix(proc.callAdmin("check"), "NO stopping")
	})
	proc.waitForExit()
}
