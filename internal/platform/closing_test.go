package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ashwood.example/ashwood/gateway"
)

// countingHandler is a Handler that counts its requests and gives a fixed reply.
type countingHandler struct {
	fixedReply
	requests atomic.Int32
}

func (h *countingHandler) Serve(ctx context.Context, r *gateway.Request) (gateway.Reply, error) {
	h.requests.Add(1)
	return h.fixedReply.Serve(ctx, r)
}

// serveAndDial starts a server on a real socket and connects a client to it.
func serveAndDial(t *testing.T, gw Handler) (*Server, *net.TCPConn) {
	t.Helper()
	s, l := NewServer(gw, slog.New(slog.DiscardHandler), 64), listen(t)
	go s.Serve(l)
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second)) // bounds all waits here
	return s, nc.(*net.TCPConn)
}

// shutdownServer shuts a server down within a bound.
func shutdownServer(t *testing.T, s *Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

// evictOne closes the connection that is first in the eviction order.
func evictOne(s *Server) {
	s.listener.mu.Lock()
	c, why := s.listener.evict(time.Now())
	s.listener.mu.Unlock()
	s.listener.closeEvicted(c, why)
}

// A client may be sending a request while its idle connection is closed. The client sees the end and no
// reset: nothing of its request has been read, so it may send it again. What arrives after the end is
// not sent to an engine. What arrives before it, while the goroutine reading from the connection is
// being interrupted, is read and answered: see TestClosing_RequestReadAsItsConnectionIsClosed.
func TestClosing_RequestAfterClose(t *testing.T) {
	for name, shut := range map[string]func(*Server){
		"evicted for another": evictOne,
		"at the stop":         func(s *Server) { shutdownServer(t, s) },
		"as it drains":        func(s *Server) { s.Drain() },
	} {
		gw := &countingHandler{fixedReply: fixedReply{gateway.Reply{Kind: gateway.Refused}}}
		s, c := serveAndDial(t, gw)
		io.WriteString(c, requestText("chat", "", "{}"))
		in := bufio.NewReader(c)
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, r.Body)
		var idle []*clientConn
		waitFor(t, "the connection is idle", func() bool {
			idle = s.listener.waitingConns()
			return len(idle) == 1
		})
		shutDone := make(chan struct{})
		go func() {
			shut(s)
			close(shutDone)
		}()
		waitFor(t, "its write side is closed", idle[0].isWriteClosed)
		for range 3 { // the second write would fail if the first caused a reset
			if _, err := io.WriteString(c, requestText("chat", "", "{}")); err != nil {
				t.Errorf("%s: writing a request: %v", name, err)
			}
		}
		if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
			t.Errorf("%s: the client read %q, %v, want the end", name, rest, err)
		}
		c.Close()
		<-shutDone
		shutdownServer(t, s)
		if n := gw.requests.Load(); n != 1 {
			t.Errorf("%s: %d requests were served, want 1", name, n)
		}
		if s.listener.open+s.listener.closing+s.listener.lingering.Len() != 0 {
			t.Errorf("%s: at the end: open %d, closing %d, lingering %d", name, s.listener.open, s.listener.closing, s.listener.lingering.Len())
		}
	}
}

// An answer after which the connection is closed reaches a client that has sent more than was read: a
// reset would discard it.
func TestClosing_UnreadBytesKeepAnswer(t *testing.T) {
	tail := string(make([]byte, 64<<10))
	for name, in := range map[string]string{
		"no request": "nonsense\r\n\r\n" + tail, "two lengths": requestText("chat", "Content-Length: 2\r\n", "{}") + tail,
		"too long": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n" + tail,
		"closes":   requestText("chat", "Connection: close\r\n", "{}") + tail,
	} {
		s, c := serveAndDial(t, fixedReply{gateway.Reply{Kind: gateway.Refused}})
		if _, err := io.WriteString(c, in); err != nil {
			t.Fatal(err)
		}
		waitFor(t, name+": the connection is closed", func() bool {
			s.listener.mu.Lock()
			defer s.listener.mu.Unlock()
			return s.listener.open == 0
		})
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: no answer: %v", name, err)
		}
		if text, err := io.ReadAll(r.Body); len(text) == 0 || err != nil || r.StatusCode < 400 {
			t.Errorf("%s: %s, %q, %v", name, r.Status, text, err)
		}
		c.Close()
		shutdownServer(t, s)
	}
}

// The descriptor of a client that never closes is held for at most the bound of the second step, and
// less if there is no room for a new connection.
func TestLinger_Bounds(t *testing.T) {
	s, c := serveAndDial(t, fixedReply{gateway.Reply{Kind: gateway.Refused}})
	io.WriteString(c, requestText("chat", "Connection: close\r\n", "{}"))
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the connection has been closed after lingering", func() bool {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()
		return s.listener.closing == 0
	})
	shutdownServer(t, s)

	l := newListener(nil, 16)
	for range 3 {
		near, far, err := connPair(t)
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		conn := &clientConn{Conn: near, listener: l}
		l.open++
		conn.Close()
		conn.Close() // a server may call it again
	}
	waitFor(t, "all connections linger", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.lingering.Len() == 3
	})
	l.mu.Lock()
	for l.abortOldestLingering() {
	}
	l.mu.Unlock()
	l.waitAllClosed()
	if l.open != 0 || l.closing != 0 {
		t.Errorf("open %d, closing %d", l.open, l.closing)
	}
}

// isWriteClosed reports whether the first step of the close has been made.
func (c *clientConn) isWriteClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeClosed
}

// connPair returns both ends of a loopback connection.
func connPair(t *testing.T) (near, far net.Conn, err error) {
	t.Helper()
	l := listen(t)
	if far, err = net.Dial("tcp", l.Addr().String()); err == nil {
		near, err = l.Accept()
	}
	return near, far, err
}

// waitFor waits for a condition, within a bound.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(errors.New("not seen in time: " + what))
		}
	}
}

// A client's disconnect is detected whatever it has pipelined, and nothing of that is begun once it has
// disconnected.
func TestWatchDisconnect_PipelinedBytes(t *testing.T) {
	half := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: "
	second := "POST / HTTP/1.1\r\nHost: a\r\nX-Txn: second\r\nX-Lane: chat\r\nX-Remaining: 9\r\nContent-Length: 2\r\n\r\n{}"
	large := "POST / HTTP/1.1\r\nHost: a\r\nX-Txn: large\r\nX-Lane: chat\r\nX-Remaining: 9\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000)
	for name, tail := range map[string]string{"a byte": "P", "half a request": half, "whole requests": second + second, "more": second + half + "x",
		"a large request": large, "a large request and half of one": large + half} {
		received, ended := make(chan engineRequest, 9), make(chan error, 9)
		s, addr := startServer(t, scriptedEngine(t, "r1", "reader", func(v engineRequest) string {
			if v.Method == "DELETE" {
				return releasedResponse
			}
			received <- v
			if v.Method == "POST" {
				v.conn.SetReadDeadline(time.Now().Add(4 * time.Second)) // before the request's own deadline
				_, err := v.conn.Read(make([]byte, 1))                  // until the gateway cancels the attempt
				ended <- err
				return "\x00"
			}
			return prefillResponse
		}))
		c := dialClient(t, addr).(*net.TCPConn)
		io.WriteString(c, requestText("chat", "", "{}"))
		<-received
		io.WriteString(c, tail) // the watch is running; without reading ahead it would end here
		c.CloseWrite()
		if err := <-ended; err != io.EOF {
			t.Errorf("%s: the attempt ended with %v, want io.EOF", name, err)
		}
		if rest, err := io.ReadAll(c); err != nil {
			t.Errorf("%s: the client read %q, %v", name, rest, err)
		}
		c.Close()
		shutdownServer(t, s)
		if used := s.listener.memory.inUse(); used != 0 {
			t.Errorf("%s: %d bytes of requests still counted at the end", name, used)
		}
		if n := len(received); n > 0 {
			t.Errorf("%s: %d more attempts, of request %v", name, n, (<-received).ID)
		}
	}
}

// A process that was delayed while it accepted the last connections tries again, as more have arrived
// meanwhile. Then Accept ends, and the end is reported once.
func TestCheckQueueEnd_ProcessDelayed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := newListener(inner, 8)
	if over, goOn := l.checkQueueEnd(os.ErrDeadlineExceeded); over || goOn {
		t.Error("ended although no drain was requested")
	}
	l.queueDrained, l.queueDrainStart = make(chan struct{}), time.Now().Add(-time.Second)
	if over, goOn := l.checkQueueEnd(os.ErrDeadlineExceeded); over || !goOn {
		t.Errorf("delayed: ended %v, retry %v", over, goOn)
	}
	l.queueDrainStart = time.Now()
	for range 2 {
		if over, goOn := l.checkQueueEnd(os.ErrDeadlineExceeded); !over || goOn {
			t.Errorf("in time: ended %v, retry %v", over, goOn)
		}
	}
	select {
	case <-l.queueDrained:
	default:
		t.Error("queueDrained was not closed")
	}
}
