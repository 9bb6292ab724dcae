package platform

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"ashwood.example/ashwood/gateway"
)

// How idle connections stayed open for half a second behind SIGTERM: a process stopped in that time leaves unanswered what clients send
// on them (soak of silences, seed 905). A drain closes them; what has brought nothing or half a request, and what is opened later, is served.
func TestDrain_ClosesIdleConnections(t *testing.T) {
	const clients = 25
	s, l := NewServer(says{gateway.Reply{Kind: gateway.Refused}}, slog.New(slog.DiscardHandler), 64), listen(t)
	go s.Serve(l)
	ask := func(c net.Conn, rest string) (closes bool) {
		t.Helper()
		io.WriteString(c, rest)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, r.Body)
		return r.Close
	}
	open := func() net.Conn {
		c := dial(t, l.Addr().String())
		c.SetDeadline(time.Now().Add(10 * time.Second)) // the bound of all waits here
		return c
	}
	var idle []net.Conn
	for range clients {
		c := open()
		ask(c, requestText("chat", "", "{}"))
		idle = append(idle, c)
	}
	silent, half := open(), open()
	ask(half, requestText("chat", "", "{}"))
	io.WriteString(half, requestText("chat", "", "{}")[:20])
	waitFor(t, "half a request has been read", func() bool {
		s.in.mu.Lock()
		defer s.in.mu.Unlock()
		reading := 0
		for e := s.in.waiting.Front(); e != nil; e = e.Next() {
			if e.Value.(*clientConn).reading.Load() {
				reading++
			}
		}
		return reading == 1 && s.in.waiting.Len() == clients+2
	})
	s.Drain()
	for i, c := range idle {
		c.SetReadDeadline(time.Now().Add(idleTimeout / 5)) // before the library closes it
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("idle connection %d: %v", i, err)
		}
	}
	for name, c := range map[string]net.Conn{"one that had brought nothing": silent, "a new one": open()} {
		if !ask(c, requestText("chat", "", "{}")) {
			t.Errorf("%s is not closed behind its answer", name)
		}
	}
	ask(half, requestText("chat", "", "{}")[20:])
	stop(t, s)
}

// Once a server has stopped accepting, clients are refused, and those that are connected are served.
func TestStopAccepting_ServesWhoIsConnected(t *testing.T) {
	s, c := open(t, says{gateway.Reply{Kind: gateway.Refused}})
	waitFor(t, "its connection is accepted", func() bool { return len(s.in.withoutRequest()) == 1 })
	s.StopAccepting()
	if nc, err := net.Dial("tcp", c.RemoteAddr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new client: %v, %v", nc, err)
	}
	io.WriteString(c, requestText("chat", "", "{}"))
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Errorf("a client that is connected: %v", err)
	}
	stop(t, s)
}
