package main

import (
	"net"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// With every descriptor that the machine allows in use, silent callers at the admin server and a
// flood of clients at the front, a caller is answered. Counts outlast a reload.
func TestTheDoorAnswersInAFullHouse(t *testing.T) {
	const sockets = 96
	s := newSite(t)
	s.sockets = sockets
	close(s.step)
	p := s.begin().ready()
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	r, err := s.send(client(t), "d1")
	if err != nil {
		t.Fatal(err)
	}
	s.whole(r)
	dial := func(addr string, n int) {
		for range n {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
	}
	dial(p.mgmt, 40)
	dial(s.listen, 4*sockets)
	dial(p.mgmt, 40)
	if got := p.ask("check"); got != "YES\n" {
		t.Errorf("check: %q", got)
	}
	want := "app.fulfilled.send-order:1|c\n"
	if got := p.ask("vars"); !strings.HasPrefix(got, "YES\n") || !strings.Contains(got, want) || !strings.HasSuffix(got, "\nEND\n") {
		t.Errorf("vars: %q", got)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	r, err = s.send(client(t), "d2") // after the flood, a usual client gets in
	if err != nil {
		t.Fatal(err)
	}
	s.whole(r)
	if got := p.ask("vars"); !strings.Contains(got, "app.fulfilled.send-order:2|c\n") || !strings.Contains(got, "app.relayed.send-order:4|c\n") {
		t.Errorf("vars after a reload: %q", got)
	}
	p.term()
	until(t, "it says that it stops, or has ended", func() bool {
		c, err := net.Dial("tcp", p.mgmt)
		if err != nil {
			return true
		}
		c.Close()
		return strings.HasPrefix(p.ask("check"), "NO stopping")
	})
	p.ended()
}
