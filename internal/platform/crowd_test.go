package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
)

// fakeListener is a listener whose connections, or errors in their place, a test provides.
type fakeListener struct {
	pending  chan any // net.Conn or error
	done     chan struct{}
	once     sync.Once
	accepted atomic.Int32
}

func newFakeListener() *fakeListener {
	return &fakeListener{pending: make(chan any, 99), done: make(chan struct{})}
}

func (q *fakeListener) Accept() (net.Conn, error) {
	select {
	case v := <-q.pending:
		if err, ok := v.(error); ok {
			return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
		}
		q.accepted.Add(1)
		return v.(net.Conn), nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *fakeListener) Close() error   { q.once.Do(func() { close(q.done) }); return nil }
func (q *fakeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// lateReadConn is a connection whose reading goroutine runs late: a machine short of processor time has
// closed many connections by the time their readers run.
type lateReadConn struct {
	net.Conn
	wake   chan struct{}
	closed atomic.Bool
}

func (c *lateReadConn) Read(p []byte) (int, error) {
	<-c.wake
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

// SetReadDeadline does not interrupt the reader.
func (c *lateReadConn) SetReadDeadline(time.Time) error { return nil }

func (c *lateReadConn) Close() error { c.closed.Store(true); return c.Conn.Close() }

// checkReady sends a readiness check on a client's end of a connection, and expects 200.
func checkReady(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+readyPath+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if r.StatusCode != 200 || err != nil {
		t.Errorf("%s, %q, %v", r.Status, body, err)
	}
}

// serveFakeListener serves a fakeListener with the given limit until the test ends.
func serveFakeListener(t *testing.T, gw Handler, limit int) (q *fakeListener, s *Server, ended <-chan error) {
	t.Helper()
	s, q = NewServer(gw, slog.New(slog.DiscardHandler), limit), newFakeListener()
	end := make(chan error, 1)
	go func() { end <- s.Serve(q) }()
	t.Cleanup(func() {
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // of the bubble's clock: fasthttp's worker pool polls whether it has ended
	})
	return q, s, end
}

// Connections that were evicted hold a descriptor until their readers have returned. Meanwhile the next
// ones wait in the accept queue: none is closed, and no more descriptors are used.
func TestAccept_WaitsForClosingConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, crowd = 8, 40
		q, _, _ := serveFakeListener(t, nil, limit)
		wake := make(chan struct{})
		var far []net.Conn
		for range crowd {
			near, c := net.Pipe()
			far = append(far, c)
			q.pending <- &lateReadConn{Conn: near, wake: wake}
		}
		synctest.Wait()
		if n := int(q.accepted.Load()); n > limit+2 {
			t.Errorf("%d connections accepted with a limit of %d and no reader returned", n, limit)
		}
		close(wake)
		checkReady(t, far[crowd-1]) // it came last, so it is not evicted
		for _, c := range far[:crowd-limit] {
			if text, err := io.ReadAll(c); len(text) > 0 || err != nil {
				t.Errorf("a silent connection read %q, %v, want the end", text, err)
			}
		}
	})
}

// Without descriptors, or memory for sockets, the server does not stop: it evicts one connection
// without a request and accepts the next.
func TestAccept_OutOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _, ended := serveFakeListener(t, nil, 8)
		begun := time.Now()
		near, silent := net.Pipe()
		q.pending <- near
		for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ECONNABORTED, syscall.ENETDOWN, syscall.EPERM} {
			q.pending <- err
		}
		near, c := net.Pipe()
		q.pending <- near
		checkReady(t, c)
		// At once by the bubble's clock, not only after readTimeout.
		if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(begun) >= readTimeout {
			t.Errorf("the silent connection: %v after %v", err, time.Since(begun))
		}
		if len(ended) > 0 {
			t.Errorf("the server stopped with %v", <-ended)
		}
	})
}

// A host's own server handles the errors of its listener and its connections itself.
func TestWrapListener_OutOfDescriptors(t *testing.T) {
	q := newFakeListener()
	q.pending <- syscall.EMFILE
	if _, err := WrapListener(q).Accept(); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("Accept returned %v, want EMFILE", err)
	}
}

// Shutdown does not wait for room: nothing is accepted from then on.
func TestShutdown_AcceptWaitingForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, s, ended := serveFakeListener(t, nil, 2)
		wake := make(chan struct{})
		for range 9 {
			near, _ := net.Pipe()
			q.pending <- &lateReadConn{Conn: near, wake: wake}
		}
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		synctest.Wait()
		if len(ended) == 0 {
			t.Error("Serve still waits for room")
		}
		close(wake)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// fixedReply is a Handler that gives every request the same reply.
type fixedReply struct{ reply gateway.Reply }

func (s fixedReply) Serve(context.Context, *gateway.Request) (gateway.Reply, error) {
	return s.reply, nil
}
func (s fixedReply) RecordRefusal(string) float64 { return 0 }

// singleEventStream is a stream of one event.
type singleEventStream struct{ done bool }

func (p *singleEventStream) Next() ([]byte, error) {
	if p.done {
		return nil, io.EOF
	}
	p.done = true
	return []byte(firstEvent), nil
}

func (*singleEventStream) Report() ashwood.Report { return nil }
func (*singleEventStream) Close() error           { return nil }

// A connection whose answer, or the last chunk of it, is still being written is not evicted, although
// its request has ended for the gateway.
func TestEvict_AnswerBeingWritten(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // starts fasthttp's date clock, which never ends, outside the bubbles
	for name, reply := range map[string]gateway.Reply{
		"refused": {Kind: gateway.Refused}, "a stream's end": {Kind: gateway.Served, Stream: &singleEventStream{}},
	} {
		synctest.Test(t, func(t *testing.T) {
			q, _, _ := serveFakeListener(t, fixedReply{reply}, 3)
			near, c := net.Pipe() // a write blocks until the other end reads
			q.pending <- near
			if _, err := io.WriteString(c, requestText("chat", "", "{}")); err != nil {
				t.Fatal(err)
			}
			var got []byte
			var first [4096]byte
			if reply.Stream != nil { // the head and the event; the end is still to come
				n, err := c.Read(first[:])
				if got = first[:n]; err != nil {
					t.Fatal(err)
				}
			}
			synctest.Wait()
			for range 9 {
				near, _ := net.Pipe()
				q.pending <- near
			}
			synctest.Wait()
			r, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(got), c)), nil)
			if err != nil {
				t.Fatalf("%s: no answer: %v", name, err)
			}
			if body, err := io.ReadAll(r.Body); err != nil || len(body) == 0 {
				t.Errorf("%s: %q, %v", name, body, err)
			}
		})
	}
}

// neverClosedConn is a connection whose client sees the end and never closes its side.
type neverClosedConn struct{ net.Conn }

func (neverClosedConn) CloseWrite() error { return nil }

// A new client does not wait for connections in the second step of their close: the oldest of them is
// aborted at once.
func TestAccept_AbortsLingeringConnections(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // as in TestEvict_AnswerBeingWritten
	synctest.Test(t, func(t *testing.T) {
		q, s, _ := serveFakeListener(t, fixedReply{gateway.Reply{Kind: gateway.Refused}}, closingDivisor)
		begun := time.Now()
		for range 3 {
			near, c := net.Pipe()
			q.pending <- neverClosedConn{near}
			if _, err := io.WriteString(c, requestText("chat", "Connection: close\r\n", "{}")); err != nil {
				t.Fatal(err)
			}
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, r.Body)
			synctest.Wait()
		}
		s.listener.mu.Lock()
		n := s.listener.closing
		s.listener.mu.Unlock()
		near, c := net.Pipe()
		q.pending <- near
		checkReady(t, c)
		if waited := time.Since(begun); n == 0 || waited >= lingerTimeout {
			t.Errorf("with %d connections closing, the new one waited %v", n, waited)
		}
	})
}
