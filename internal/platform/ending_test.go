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

const partialRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nContent-Length: 2\r\n\r\n{"

// Shutdown closes connections that have sent no request, also new ones, although fasthttp would keep
// some open. A request that has been read in part is still answered. A readiness check fails as soon as
// the server drains.
func TestShutdown_ClosesConnectionsWithoutRequest(t *testing.T) {
	handler := &countingHandler{fixedReply: fixedReply{gateway.Reply{Kind: gateway.Refused}}}
	s, silent := serveAndDial(t, handler)
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
	io.WriteString(half, partialRequest)
	for _, c := range []struct {
		conn net.Conn
		want int
	}{{idle, http.StatusOK}, {asks, http.StatusServiceUnavailable}} {
		io.WriteString(c.conn, "GET "+readyPath+" HTTP/1.1\r\nHost: a\r\n\r\n")
		r, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
		if err != nil || r.StatusCode != c.want {
			t.Fatalf("readiness: %v, %v", r, err)
		}
		s.Drain()
	}
	for s.listener.countPartlyRead() == 0 {
		<-time.After(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		shutdownServer(t, s)
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
		t.Error("the server does not wait for a partly read request")
	default:
	}
	io.WriteString(half, "}")
	if r, err := http.ReadResponse(bufio.NewReader(half), nil); err != nil || r.StatusCode != http.StatusBadRequest || !r.Close {
		t.Errorf("half read: %v, %v", r, err) // the request has no class
	}
	half.Close()
	<-stopped
}

// countPartlyRead counts the connections from which part of a request has been read.
func (l *listener) countPartlyRead() (n int) {
	for _, c := range l.waitingConns() {
		if c.requestStarted.Load() {
			n++
		}
	}
	return n
}

// A partly read request gets its error by the time at which the process ends.
func TestExpireReadsAfter_PartialRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, s, _ := serveFakeListener(t, nil, 8)
		near, c := net.Pipe()
		q.pending <- near
		io.WriteString(c, partialRequest)
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

// pausedStream is a stream whose end waits for the test.
type pausedStream struct {
	singleEventStream
	end chan struct{}
}

func (s *pausedStream) Next() ([]byte, error) {
	if s.done {
		<-s.end
	}
	return s.singleEventStream.Next()
}

// A client whose answer did not announce a close may have pipelined a request. If that was read, it is
// refused and not served: a close alone would lose it.
func TestShutdown_PipelinedRequest(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // starts fasthttp's date clock, which never ends, outside the bubble
	for name, together := range map[string]bool{"sent after the first": false, "sent with the first": true} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testPipelinedRefused(t, together) }) })
	}
}

func testPipelinedRefused(t *testing.T, together bool) {
	stream := &pausedStream{end: make(chan struct{})}
	handler := &countingHandler{fixedReply: fixedReply{gateway.Reply{Kind: gateway.Served, Stream: stream}}}
	q, s, _ := serveFakeListener(t, handler, 8)
	near, c := net.Pipe()
	q.pending <- near
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
	defer func() { // otherwise the next shutdown, at the test's end, would wait for this one outside the bubble's time
		c.Close()
		for range stopped {
			continue
		}
	}()
	synctest.Wait()
	close(stream.end)
	if body, err := io.ReadAll(answer.Body); string(body) != firstEvent || err != nil {
		t.Errorf("first answer: %q, %v", body, err)
	}
	r, err := http.ReadResponse(in, nil)
	if err != nil || r.StatusCode != http.StatusServiceUnavailable || !r.Close {
		t.Fatalf("second answer: %v, %v", r, err)
	}
	if body, err := io.ReadAll(r.Body); string(body) != refusedText || err != nil {
		t.Errorf("second answer: %q, %v", body, err)
	}
	if n, err := in.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Errorf("after both: %d bytes, %v", n, err)
	}
	c.Close()
	if err := <-stopped; err != nil || handler.requests.Load() != 1 {
		t.Errorf("Shutdown: %v; %d requests served, want 1", err, handler.requests.Load())
	}
}

// A chunked body does not count as a pipelined request although it has more bytes on the wire than in
// the parsed request: the client sees its answer and the end, no refusal.
func TestShutdown_ChunkedBodyIsNotPipelined(t *testing.T) {
	new(fasthttp.ResponseHeader).Header() // as in TestShutdown_PipelinedRequest
	synctest.Test(t, func(t *testing.T) {
		stream := &pausedStream{end: make(chan struct{})}
		q, s, _ := serveFakeListener(t, fixedReply{gateway.Reply{Kind: gateway.Served, Stream: stream}}, 8)
		near, c := net.Pipe()
		q.pending <- near
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
		if body, err := io.ReadAll(r.Body); string(body) != firstEvent || err != nil {
			t.Errorf("%q, %v", body, err)
		}
		if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
			t.Errorf("after the answer: %q, %v", rest, err)
		}
		c.Close()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}
