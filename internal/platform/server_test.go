package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

func TestServer_MalformedRequests(t *testing.T) {
	tests := []struct {
		old, new, reason string
		code             int
	}{
		{"X-Txn: 9b1f\r\n", "", "X-Txn", 400},
		{"X-Lane: chat\r\n", "", "X-Lane", 400},
		{"X-Lane: chat", "X-Lane: nosuch", "nosuch", 400},
		{"15.000", "soon", "X-Remaining", 400},
		{"prompt_len=64", "prompt_len=-1", "prompt_len", 400},
		{"X-Txn: 9b1f", "X-Txn: ..", "X-Txn", 400}, // the id becomes part of a path
		{"X-Txn: 9b1f", "X-Txn: 9b1f\r\nX-Txn: 9b20", "2 times", 400},
		{"15.000", "1e3", "X-Remaining", 400},
		{"15.000", "99999", "X-Remaining", 400},
		{"\r\n\r\n{}", "\r\n\r\n{\"", "JSON", 400}, // cut off by a wrong length
		{"Content-Length: 2\r\n\r\n{}", "Content-Length: 0\r\n\r\n", "JSON", 400},
		{"Content-Length: 2\r\n", "Content-Length: 2\r\nContent-Length: 2\r\n", "", 400},
		{"Content-Length: 2\r\n", "Content-Length: -2\r\n", "", 400},
		{"Content-Length: 2\r\n\r\n{}", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "length", 400},
		{"Content-Length: 2\r\n", "Content-Length: x\r\n", "", 400},
		{"Content-Length: 2\r\n", "Content-Length: 999999\r\n", "", 413},
	}
	for _, tt := range tests {
		c := startAndDial(t)
		r, body, _ := roundTrip(t, c, strings.Replace(requestText("chat", "", "{}"), tt.old, tt.new, 1))
		if r.StatusCode != tt.code || !strings.Contains(body, tt.reason) {
			t.Errorf("%q: %s, %q", tt.new, r.Status, body)
		}
		// The bytes after a request with an unclear end must not be taken for another request.
		if tt.reason != "nosuch" {
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Errorf("%q: the connection stays open", tt.new)
			}
		}
	}
}

// Clients keep sending requests for a while after SIGTERM, on open and on new connections. They are
// served and asked to close, and requests running at the end are finished.
func TestDrain_NewAndRunningRequests(t *testing.T) {
	writing, finish := make(chan struct{}, 9), make(chan struct{})
	s, addr := startServer(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(engineRequest) string {
		writing <- struct{}{}
		<-finish
		return fullStream()
	})))
	open := dialClient(t, addr)
	s.Drain()
	type answer struct {
		code  int
		body  string
		close bool
	}
	answers, ended := make(chan answer, 2), make(chan error, 1)
	for _, c := range []net.Conn{open, dialClient(t, addr)} {
		id := fmt.Sprintf("X-Txn: %p", c)
		go func() {
			r, body, err := roundTrip(t, c, strings.Replace(requestText("order", "", "{}"), "X-Txn: 9b1f", id, 1))
			if err != nil {
				t.Error(err)
			}
			answers <- answer{r.StatusCode, body, r.Close}
		}()
		<-writing
	}
	go func() { ended <- s.Shutdown(context.Background()) }()
	close(finish)
	want := answer{200, firstEvent + lastEvents, true}
	if a, b := <-answers, <-answers; a != want || b != want {
		t.Errorf("got %+v and %+v, want %+v", a, b, want)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Clients may keep connections that they never use again, or open many without sending anything. A new
// client gets in, and no connection with a request is closed.
func TestEvict_SilentConnections(t *testing.T) {
	writing, finish := make(chan struct{}, 9), make(chan struct{})
	s, addr := startServer(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(engineRequest) string {
		writing <- struct{}{}
		<-finish
		return fullStream()
	})))
	busy := dialClient(t, addr)
	io.WriteString(busy, requestText("order", "", "{}"))
	<-writing
	silent := dialClient(t, addr)
	for range s.listener.maxConns {
		dialClient(t, addr)
	}
	if _, err := silent.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest silent connection was not closed")
	}
	close(finish)
	for name, c := range map[string]net.Conn{"busy": busy, "new": dialClient(t, addr)} {
		text := ""
		if name == "new" {
			text = strings.Replace(requestText("order", "", "{}"), "9b1f", "9b20", 1)
		}
		if r, body, err := roundTrip(t, c, text); r.StatusCode != 200 || err != nil {
			t.Errorf("%s: %s, %q, %v", name, r.Status, body, err)
		}
	}
}

// A client that sends nothing, half a request or a byte now and then is not waited for beyond
// readTimeout.
func TestReadTimeout_UnfinishedRequests(t *testing.T) {
	_, addr := startServer(t)
	conns := []net.Conn{dialClient(t, addr), dialClient(t, addr), dialClient(t, addr)}
	io.WriteString(conns[1], requestText("chat", "", "{}")[:200])
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			if _, err := io.WriteString(conns[2], "X"); err != nil {
				return
			}
		}
	}()
	for i, c := range conns {
		got, err := io.ReadAll(c)
		if ne, ok := err.(net.Error); ok && ne.Timeout() || bytes.HasPrefix(got, []byte("HTTP/1.1 2")) {
			t.Errorf("client %d: %q, %v", i, got, err)
		}
	}
}
