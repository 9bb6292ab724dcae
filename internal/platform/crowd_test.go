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

// queue is a listener of connections that a test makes, or of errors in their place.
type queue struct {
	next  chan any // net.Conn or error
	done  chan struct{}
	once  sync.Once
	taken atomic.Int32
}

func newQueue() *queue { return &queue{next: make(chan any, 99), done: make(chan struct{})} }

func (q *queue) Accept() (net.Conn, error) {
	select {
	case v := <-q.next:
		if err, ok := v.(error); ok {
			return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
		}
		q.taken.Add(1)
		return v.(net.Conn), nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *queue) Close() error   { q.once.Do(func() { close(q.done) }); return nil }
func (q *queue) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// sleepy is a connection whose reader wakes late: a machine short of processor time has
// closed many by the time that those who read them run.
type sleepy struct {
	net.Conn
	wake   chan struct{}
	closed atomic.Bool
}

func (c *sleepy) Read(p []byte) (int, error) {
	<-c.wake
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

// SetReadDeadline tells nobody that the connection is closed.
func (c *sleepy) SetReadDeadline(time.Time) error { return nil }

func (c *sleepy) Close() error { c.closed.Store(true); return c.Conn.Close() }

// ready asks whether the server takes clients, on a client's end of a connection.
func ready(t *testing.T, c net.Conn) {
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

// quiet serves a queue of connections with room for so many, to the test's end.
func quiet(t *testing.T, gw Handler, limit int) (q *queue, s *Server, ended <-chan error) {
	t.Helper()
	s, q = NewServer(gw, slog.New(slog.DiscardHandler), limit), newQueue()
	end := make(chan error, 1)
	go func() { end <- s.Serve(q) }()
	t.Cleanup(func() {
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // of the bubble's clock: fasthttp's pool looks now and then whether it has ended
	})
	return q, s, end
}

// Connections that were closed for new ones are in the house until their readers have
// woken. The next ones wait in the system's queue meanwhile: none is turned back, and no
// more descriptors are taken.
func TestACrowdWaitsWhileThoseClosedForItAreStillThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, crowd = 8, 40
		q, _, _ := quiet(t, nil, limit)
		wake := make(chan struct{})
		var far []net.Conn
		for range crowd {
			near, c := net.Pipe()
			far = append(far, c)
			q.next <- &sleepy{Conn: near, wake: wake}
		}
		synctest.Wait()
		if n := int(q.taken.Load()); n > limit+2 {
			t.Errorf("%d connections taken with room for %d, of which none has woken", n, limit)
		}
		close(wake)
		ready(t, far[crowd-1]) // it came last, and nothing closes it
		for _, c := range far[:crowd-limit] {
			if text, err := io.ReadAll(c); len(text) > 0 || err != nil {
				t.Errorf("one that said nothing was answered %q, %v", text, err)
			}
		}
	})
}

// A machine out of descriptors, or of memory for sockets, is waited for: the server stays,
// and one connection without a request goes for the next.
func TestOutOfDescriptorsTheServerStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _, ended := quiet(t, nil, 8)
		begun := time.Now()
		near, silent := net.Pipe()
		q.next <- near
		for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ECONNABORTED, syscall.ENETDOWN, syscall.EPERM} {
			q.next <- err
		}
		near, c := net.Pipe()
		q.next <- near
		ready(t, c)
		// At once by the bubble's clock: not only when its time for a request is up.
		if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(begun) >= readTimeout {
			t.Errorf("the silent one: %v after %v", err, time.Since(begun))
		}
		if len(ended) > 0 {
			t.Errorf("the server ended with %v", <-ended)
		}
	})
}

// A host's own server decides what becomes of its listener and its connections.
func TestAHostIsToldThatDescriptorsAreOut(t *testing.T) {
	q := newQueue()
	q.next <- syscall.EMFILE
	if _, err := WrapListener(q).Accept(); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("accepted with %v", err)
	}
}

// A stop does not wait for room: nothing is accepted from then on.
func TestAStopEndsTheWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, s, ended := quiet(t, nil, 2)
		wake := make(chan struct{})
		for range 9 {
			near, _ := net.Pipe()
			q.next <- &sleepy{Conn: near, wake: wake}
		}
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		synctest.Wait()
		if len(ended) == 0 {
			t.Error("it waits for room, and nobody will make any")
		}
		close(wake)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// says is a Handler that gives every request the same reply.
type says struct{ reply gateway.Reply }

func (s says) Serve(context.Context, *gateway.Request) (gateway.Reply, error) { return s.reply, nil }
func (s says) TurnAway(string) float64                                        { return 0 }

// piece is a stream of one.
type piece struct{ over bool }

func (p *piece) Next() ([]byte, error) {
	if p.over {
		return nil, io.EOF
	}
	p.over = true
	return []byte(event1), nil
}

func (*piece) Report() ashwood.Report { return nil }
func (*piece) Close() error           { return nil }

// A connection whose answer, or the last chunk of it, is still being written is not closed
// for a new one, although its request has ended for all but its client.
func TestNoAnswerIsCutOffInACrowd(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // starts fasthttp's clock of dates, which never ends, outside of the bubbles
	for name, reply := range map[string]gateway.Reply{
		"refused": {Kind: gateway.Refused}, "a stream's end": {Kind: gateway.Served, Stream: &piece{}},
	} {
		synctest.Test(t, func(t *testing.T) {
			q, _, _ := quiet(t, says{reply}, 3)
			near, c := net.Pipe() // a write on it waits for its reader
			q.next <- near
			if _, err := io.WriteString(c, requestText("chat", "", "{}")); err != nil {
				t.Fatal(err)
			}
			var got []byte
			var first [4096]byte
			if reply.Stream != nil { // the head and the event; its end is still to come
				n, err := c.Read(first[:])
				if got = first[:n]; err != nil {
					t.Fatal(err)
				}
			}
			synctest.Wait()
			for range 9 {
				near, _ := net.Pipe()
				q.next <- near
			}
			synctest.Wait()
			r, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(got), c)), nil)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if body, err := io.ReadAll(r.Body); err != nil || len(body) == 0 {
				t.Errorf("%s: %q, %v", name, body, err)
			}
		})
	}
}

// unending is a connection whose client is told the end and never closes in turn.
type unending struct{ net.Conn }

func (unending) CloseWrite() error { return nil }

// Connections in the second step of their close are not waited for where a new client comes:
// the first of them goes at once.
func TestANewClientDoesNotWaitForConnectionsThatLinger(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // as above
	synctest.Test(t, func(t *testing.T) {
		q, s, _ := quiet(t, says{gateway.Reply{Kind: gateway.Refused}}, closingShare)
		begun := time.Now()
		for range 3 {
			near, c := net.Pipe()
			q.next <- unending{near}
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
		s.in.mu.Lock()
		n := s.in.closing
		s.in.mu.Unlock()
		near, c := net.Pipe()
		q.next <- near
		ready(t, c)
		if waited := time.Since(begun); n == 0 || waited >= lingerTime {
			t.Errorf("with %d that linger, the new one waited %v", n, waited)
		}
	})
}
