package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"ashwood.example/ashwood/gateway"
)

const halfRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nContent-Length: 2\r\n\r\n{"

// What has brought no request is closed as a shutdown begins, new connections too, whatever the
// HTTP library keeps open; what has brought a part of one is still answered. Who asks is told
// that the process takes no clients any more.
func TestShutdown_ClosesConnectionsWithoutRequest(t *testing.T) {
	h := &counts{says: says{gateway.Reply{Kind: gateway.Refused}}}
	s, silent := open(t, h)
	dial := func() *net.TCPConn {
		t.Helper()
		c, err := net.Dial("tcp", silent.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(10 * time.Second))
		return c.(*net.TCPConn)
	}
	half, idle, asks := dial(), dial(), dial()
	io.WriteString(half, halfRequest)
	for _, c := range []struct {
		conn net.Conn
		want int
	}{{idle, http.StatusOK}, {asks, http.StatusServiceUnavailable}} {
		io.WriteString(c.conn, "GET "+readyPath+" HTTP/1.1\r\nHost: a\r\n\r\n")
		r, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
		if err != nil || r.StatusCode != c.want {
			t.Fatalf("ready: %v, %v", r, err)
		}
		s.Drain()
	}
	for s.in.halfRead() == 0 {
		<-time.After(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		stop(t, s)
		close(stopped)
	}()
	for what, c := range map[string]net.Conn{"silent": silent, "idle": idle} {
		if n, err := c.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
			t.Errorf("%s: %d bytes, %v", what, n, err)
		}
		c.Close()
	}
	select {
	case <-stopped:
		t.Error("the server does not wait for a request that it has read in part")
	default:
	}
	io.WriteString(half, "}")
	if r, err := http.ReadResponse(bufio.NewReader(half), nil); err != nil || r.StatusCode != http.StatusBadRequest || !r.Close {
		t.Errorf("half read: %v, %v", r, err) // it has no class
	}
	half.Close()
	<-stopped
}

// halfRead counts the connections from which a part of a request has been read.
func (l *listener) halfRead() (n int) {
	for _, c := range l.withoutRequest() {
		if c.reading.Load() {
			n++
		}
	}
	return n
}

// A request of which a part has come gets its error by the time at which the process ends.
func TestEndBy_HalfReadRequestsGetTheirError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, s, _ := quiet(t, nil, 8)
		near, c := net.Pipe()
		q.next <- near
		io.WriteString(c, halfRequest)
		synctest.Wait()
		begun := time.Now()
		s.ExpireReadsAfter(300 * time.Millisecond)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != http.StatusRequestTimeout || time.Since(begun) != 300*time.Millisecond {
			t.Errorf("%v, %v after %v by the bubble's clock", r, err, time.Since(begun))
		}
		c.Close()
	})
}

// pausedStream is a stream whose end waits for a test.
type pausedStream struct {
	piece
	end chan struct{}
}

func (h *pausedStream) Next() ([]byte, error) {
	if h.over {
		<-h.end
	}
	return h.piece.Next()
}

// A client that was not told that its connection closes may have sent a request ahead of its
// answer's end. If that was read, it is refused and not sent on: a close alone would lose it.
func TestShutdown_RefusesWhatWasSentAhead(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // starts fasthttp's clock of dates, which never ends, outside of the bubble
	for name, together := range map[string]bool{"sent behind it": false, "sent with it": true} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { refusesSentAhead(t, together) }) })
	}
}

func refusesSentAhead(t *testing.T, together bool) {
	stream := &pausedStream{end: make(chan struct{})}
	h := &counts{says: says{gateway.Reply{Kind: gateway.Served, Stream: stream}}}
	q, s, _ := quiet(t, h, 8)
	near, c := net.Pipe()
	q.next <- near
	defer c.Close()
	one := requestText("chat", "", "{}")
	first, rest := one, one
	if together {
		first, rest = one+one, ""
	}
	io.WriteString(c, first)
	in := bufio.NewReader(c)
	answer, err := http.ReadResponse(in, nil)
	if err != nil || answer.Close {
		t.Fatalf("%v, %v", first, err)
	}
	io.WriteString(c, rest)
	synctest.Wait() // it has been read
	s.Drain()
	stopped := make(chan error, 1)
	go func() {
		defer close(stopped)
		stopped <- s.Shutdown(context.Background())
	}()
	defer func() { // or the next shutdown, at the test's end, would wait for this one outside of the bubble's time
		c.Close()
		for range stopped {
			continue
		}
	}()
	synctest.Wait()
	close(stream.end)
	if body, err := io.ReadAll(answer.Body); string(body) != event1 || err != nil {
		t.Errorf("the first: %q, %v", body, err)
	}
	r, err := http.ReadResponse(in, nil)
	if err != nil || r.StatusCode != http.StatusServiceUnavailable || !r.Close {
		t.Fatalf("the second: %v, %v", r, err)
	}
	if body, err := io.ReadAll(r.Body); string(body) != refusedText || err != nil {
		t.Errorf("the second: %q, %v", body, err)
	}
	if n, err := in.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Errorf("behind both: %d, %v", n, err)
	}
	c.Close()
	if err := <-stopped; err != nil || h.got.Load() != 1 {
		t.Errorf("%v, %d sent on", err, h.got.Load())
	}
}

// Behind a body in chunks nothing was sent ahead, although its bytes on the wire are more than
// those of the request: the client sees its answer and the end, no refusal.
func TestShutdown_ChunkedBodyIsNotSentAhead(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // as above
	synctest.Test(t, func(t *testing.T) {
		stream := &pausedStream{end: make(chan struct{})}
		q, s, _ := quiet(t, says{gateway.Reply{Kind: gateway.Served, Stream: stream}}, 8)
		near, c := net.Pipe()
		q.next <- near
		defer c.Close()
		text := strings.Replace(requestText("chat", "", "{}"), "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", 1)
		io.WriteString(c, strings.TrimSuffix(text, "{}")+"2\r\n{}\r\n0\r\n\r\n")
		in := bufio.NewReader(c)
		r, err := http.ReadResponse(in, nil)
		if err != nil || r.StatusCode != http.StatusOK || r.Close {
			t.Fatalf("%v, %v", r, err)
		}
		s.Drain()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		synctest.Wait()
		close(stream.end)
		if body, err := io.ReadAll(r.Body); string(body) != event1 || err != nil {
			t.Errorf("%q, %v", body, err)
		}
		if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
			t.Errorf("behind the answer: %q, %v", rest, err)
		}
		c.Close()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}
