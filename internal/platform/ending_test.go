package platform

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

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
		s.EndBy(300 * time.Millisecond)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != http.StatusRequestTimeout || time.Since(begun) != 300*time.Millisecond {
			t.Errorf("%v, %v after %v by the bubble's clock", r, err, time.Since(begun))
		}
		c.Close()
	})
}
