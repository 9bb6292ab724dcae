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

// Idle connections stayed open for half a second after SIGTERM: a process stopped in that time leaves
// unanswered what clients send on them (silence soak, seed 905). Drain closes them. Connections that
// have sent nothing or part of a request, and new ones, are still served.
func TestDrain_ClosesIdleConnections(t *testing.T) {
	const clients = 25
	s, l := NewServer(fixedReply{gateway.Reply{Kind: gateway.Refused}}, slog.New(slog.DiscardHandler), 64), listen(t)
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
		c := dialClient(t, l.Addr().String())
		c.SetDeadline(time.Now().Add(10 * time.Second)) // bounds all waits here
		return c
	}
	var idle []net.Conn
	for range clients {
		c := open()
		ask(c, requestText("chat", "", "{}"))
		idle = append(idle, c)
	}
	silent, partial := open(), open()
	ask(partial, requestText("chat", "", "{}"))
	io.WriteString(partial, requestText("chat", "", "{}")[:20])
	waitFor(t, "part of a request has been read", func() bool {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()
		reading := 0
		for e := s.listener.waiting.Front(); e != nil; e = e.Next() {
			if e.Value.(*clientConn).requestStarted.Load() {
				reading++
			}
		}
		return reading == 1 && s.listener.waiting.Len() == clients+2
	})
	s.Drain()
	for i, c := range idle {
		c.SetReadDeadline(time.Now().Add(idleTimeout / 5)) // before fasthttp closes it
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("idle connection %d: %v", i, err)
		}
	}
	for name, c := range map[string]net.Conn{"a silent connection": silent, "a new connection": open()} {
		if !ask(c, requestText("chat", "", "{}")) {
			t.Errorf("%s is not closed after its answer", name)
		}
	}
	ask(partial, requestText("chat", "", "{}")[20:])
	shutdownServer(t, s)
}

// Once a server has stopped accepting, new clients are refused, and connected ones are served.
func TestStopAccepting_OpenConnections(t *testing.T) {
	s, c := serveAndDial(t, fixedReply{gateway.Reply{Kind: gateway.Refused}})
	waitFor(t, "its connection is accepted", func() bool { return len(s.listener.waitingConns()) == 1 })
	s.StopAccepting()
	if nc, err := net.Dial("tcp", c.RemoteAddr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new client: %v, %v, want ECONNREFUSED", nc, err)
	}
	io.WriteString(c, requestText("chat", "", "{}"))
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Errorf("a connected client: %v", err)
	}
	shutdownServer(t, s)
}
