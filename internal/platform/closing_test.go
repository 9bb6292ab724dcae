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

// counts is a Handler that counts what it gets, and answers.
type counts struct {
	says
	got atomic.Int32
}

func (h *counts) Serve(ctx context.Context, r *gateway.Request) (gateway.Reply, error) {
	h.got.Add(1)
	return h.says.Serve(ctx, r)
}

// open serves on a real socket and connects a client to it.
func open(t *testing.T, gw Handler) (*Server, *net.TCPConn) {
	t.Helper()
	s, l := NewServer(gw, slog.New(slog.DiscardHandler), 64), listen(t)
	go s.Serve(l)
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second)) // the bound of all waits here
	return s, nc.(*net.TCPConn)
}

// stop stops a server within a bound.
func stop(t *testing.T, s *Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

// evictOne closes the connection that is the first to go for a new one.
func evictOne(s *Server) {
	s.in.mu.Lock()
	c, why := s.in.least(time.Now())
	s.in.mu.Unlock()
	s.in.turnBack(c, why)
}

// A client's request may be under way in the moment in which its resting connection is
// closed. The client sees the end, no reset: nothing of its request has been read, so that it
// may send it again. What comes after the end is not sent on. What comes before it, while the
// connection's reader is being woken, is read and answered: see TestClosing_RequestReadAsItsConnectionIsClosed.
func TestARequestThatCrossesTheCloseIsNotSentOn(t *testing.T) {
	for name, shut := range map[string]func(*Server){
		"evicted for another": evictOne,
		"at the stop":         func(s *Server) { stop(t, s) },
		"as it drains":        func(s *Server) { s.Drain() },
	} {
		gw := &counts{says: says{gateway.Reply{Kind: gateway.Refused}}}
		s, c := open(t, gw)
		io.WriteString(c, requestText("chat", "", "{}"))
		in := bufio.NewReader(c)
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, r.Body)
		var resting []*clientConn
		waitFor(t, "it rests", func() bool {
			resting = s.in.withoutRequest()
			return len(resting) == 1
		})
		over := make(chan struct{})
		go func() {
			shut(s)
			close(over)
		}()
		waitFor(t, "it is shut", resting[0].isShut)
		for range 3 { // the second would meet the reset that the first brings
			if _, err := io.WriteString(c, requestText("chat", "", "{}")); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
			t.Errorf("%s: its client sees %q, %v in place of the end", name, rest, err)
		}
		c.Close()
		<-over
		stop(t, s)
		if n := gw.got.Load(); n != 1 {
			t.Errorf("%s: %d requests were sent on", name, n)
		}
		if s.in.open+s.in.closing+s.in.lingering.Len() != 0 {
			t.Errorf("%s: left open %d, closing %d, lingering %d", name, s.in.open, s.in.closing, s.in.lingering.Len())
		}
	}
}

// An answer behind which the connection is closed reaches a client that has sent more than
// was read: a reset would take it away.
func TestAnAnswerOutlivesUnreadBytes(t *testing.T) {
	tail := string(make([]byte, 64<<10))
	for name, in := range map[string]string{
		"no request": "nonsense\r\n\r\n" + tail, "two lengths": requestText("chat", "Content-Length: 2\r\n", "{}") + tail,
		"too long": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n" + tail,
		"closes":   requestText("chat", "Connection: close\r\n", "{}") + tail,
	} {
		s, c := open(t, says{gateway.Reply{Kind: gateway.Refused}})
		if _, err := io.WriteString(c, in); err != nil {
			t.Fatal(err)
		}
		waitFor(t, name+": it is closed", func() bool {
			s.in.mu.Lock()
			defer s.in.mu.Unlock()
			return s.in.open == 0
		})
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if text, err := io.ReadAll(r.Body); len(text) == 0 || err != nil || r.StatusCode < 400 {
			t.Errorf("%s: %s, %q, %v", name, r.Status, text, err)
		}
		c.Close()
		stop(t, s)
	}
}

// A client that never closes keeps a descriptor for no longer than the second step may take,
// and less long where room is wanted.
func TestTheSecondStepIsBounded(t *testing.T) {
	s, c := open(t, says{gateway.Reply{Kind: gateway.Refused}})
	io.WriteString(c, requestText("chat", "Connection: close\r\n", "{}"))
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "its time is up", func() bool {
		s.in.mu.Lock()
		defer s.in.mu.Unlock()
		return s.in.closing == 0
	})
	stop(t, s)

	l := newListener(nil, 16)
	for range 3 {
		near, far, err := ends(t)
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		v := &clientConn{Conn: near, l: l}
		l.open++
		v.Close()
		v.Close() // again, as a server does
	}
	waitFor(t, "all linger", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.lingering.Len() == 3
	})
	l.mu.Lock()
	for l.cutOldest() {
	}
	l.mu.Unlock()
	l.wait()
	if l.open != 0 || l.closing != 0 {
		t.Errorf("open %d, closing %d", l.open, l.closing)
	}
}

// isShut tells whether the first step of the close has been made.
func (c *clientConn) isShut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut
}

// ends are both ends of a connection on the loopback.
func ends(t *testing.T) (near, far net.Conn, err error) {
	t.Helper()
	l := listen(t)
	if far, err = net.Dial("tcp", l.Addr().String()); err == nil {
		near, err = l.Accept()
	}
	return near, far, err
}

// until waits for a condition, within a bound.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(errors.New("not seen in time: " + what))
		}
	}
}

// A client that leaves is seen to, whatever it has sent ahead; and nothing of that is begun
// once it has left.
func TestALeavingClientIsSeenBehindWhatItSentAhead(t *testing.T) {
	half := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: "
	second := "POST / HTTP/1.1\r\nHost: a\r\nX-Txn: second\r\nX-Lane: chat\r\nX-Remaining: 9\r\nContent-Length: 2\r\n\r\n{}"
	large := "POST / HTTP/1.1\r\nHost: a\r\nX-Txn: large\r\nX-Lane: chat\r\nX-Remaining: 9\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000)
	for name, tail := range map[string]string{"a byte": "P", "half a request": half, "whole requests": second + second, "more": second + half + "x",
		"a large request": large, "a large request and half of one": large + half} {
		begun, over := make(chan engineRequest, 9), make(chan error, 9)
		s, addr := serve(t, scriptedEngine(t, "r1", "reader", func(v engineRequest) string {
			if v.Method == "DELETE" {
				return releasedResponse
			}
			begun <- v
			if v.Method == "POST" {
				v.conn.SetReadDeadline(time.Now().Add(4 * time.Second)) // before the request's own time is up
				_, err := v.conn.Read(make([]byte, 1))                  // until the gateway gives it up
				over <- err
				return "\x00"
			}
			return parsed
		}))
		c := dial(t, addr).(*net.TCPConn)
		io.WriteString(c, requestText("chat", "", "{}"))
		<-begun
		io.WriteString(c, tail) // the watch has begun: it would have ended with this
		c.CloseWrite()
		if err := <-over; err != io.EOF {
			t.Errorf("%s: its attempt ends with %v", name, err)
		}
		if rest, err := io.ReadAll(c); err != nil {
			t.Errorf("%s: %q, %v", name, rest, err)
		}
		c.Close()
		stop(t, s)
		if lent := s.in.lent.Load(); lent != 0 {
			t.Errorf("%s: %d bytes of room are lent at the end", name, lent)
		}
		if n := len(begun); n > 0 {
			t.Errorf("%s: %d more attempts were begun, of %v", name, n, (<-begun).ID)
		}
	}
}

// A process that was held up while it accepted the last connections looks again: more have come
// meanwhile. Then Accept ends, once.
func TestEndOfQueue_HeldUp(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := newListener(inner, 8)
	if over, goOn := l.endOfQueue(os.ErrDeadlineExceeded); over || goOn {
		t.Error("it has ended though nobody asked")
	}
	l.queueTaken, l.queueFrom = make(chan struct{}), time.Now().Add(-time.Second)
	if over, goOn := l.endOfQueue(os.ErrDeadlineExceeded); over || !goOn {
		t.Errorf("held up: over %v, goes on %v", over, goOn)
	}
	l.queueFrom = time.Now()
	for range 2 {
		if over, goOn := l.endOfQueue(os.ErrDeadlineExceeded); !over || goOn {
			t.Errorf("in time: over %v, goes on %v", over, goOn)
		}
	}
	select {
	case <-l.queueTaken:
	default:
		t.Error("who waits for the end is not told")
	}
}
