package admin

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

const testMaxCallers = 16

// startServer runs a server on loopback until the test ends.
func startServer(t *testing.T, lineTimeout time.Duration) (server *Server, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = New(slog.New(slog.DiscardHandler), map[string]Handler{
		"check": func() string { return "YES\n" },
		"vars":  func() string { return "YES\na:1|c\nEND\n" },
		"oops":  func() string { panic("panic in a call") },
	}, testMaxCallers)
	server.lineTimeout = lineTimeout
	go server.Serve(l)
	t.Cleanup(server.Close)
	return server, l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second)) // only keeps the test from hanging
	return c
}

func TestServer_Replies(t *testing.T) {
	_, addr := startServer(t, 50*time.Millisecond)
	for sent, want := range map[string]string{
		"check\n":                                "YES\n",
		"check\r\n":                              "YES\n",
		"vars\nmore":                             "YES\na:1|c\nEND\n",
		"Check\n":                                "NO unknown call",
		"\n":                                     "NO unknown call",
		"check":                                  "NO the line did not end in time",
		strings.Repeat("x", maxLineBytes) + "\n": "NO a line has 128 bytes at most",
		"\xff\xfe\n":                             "NO the line is no text",
		"check\x00\n":                            "NO the line is no text",
		"GET / HTTP/1.1\r\n\r\n":                 "NO unknown call",
	} {
		c := dial(t, addr)
		io.WriteString(c, sent)
		got, _ := io.ReadAll(c) // ignores a reset caused by unread bytes after the reply
		if !strings.HasPrefix(string(got), want) || strings.HasPrefix(want, "YES") && string(got) != want {
			t.Errorf("%.20q: %q, want %q", sent, got, want)
		}
	}
	c := dial(t, addr) // a half-closed connection with an incomplete line
	io.WriteString(c, "check")
	c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); !strings.HasPrefix(string(got), "NO the line has no end") {
		t.Errorf("incomplete line: %q", got)
	}
	c = dial(t, addr) // a panic in a call ends only that call
	io.WriteString(c, "oops\n")
	if got, _ := io.ReadAll(c); len(got) > 0 {
		t.Errorf("call that panics: %q", got)
	}
	c = dial(t, addr)
	io.WriteString(c, "check\n")
	if got, _ := io.ReadAll(c); string(got) != "YES\n" {
		t.Errorf("after a call that panicked: %q", got)
	}
}

// Callers that connect and send nothing must not keep out one that sends a line. The line
// timeout is an hour here, so that only the eviction of the oldest caller makes room.
func TestServer_SilentCallers(t *testing.T) {
	server, addr := startServer(t, time.Hour)
	for range 5 * testMaxCallers {
		dial(t, addr)
	}
	c := dial(t, addr)
	io.WriteString(c, "check\n")
	if got, err := io.ReadAll(c); string(got) != "YES\n" {
		t.Errorf("%q, %v", got, err)
	}
	server.mu.Lock()
	held := server.callers.Len()
	server.mu.Unlock()
	if held > testMaxCallers {
		t.Errorf("%d callers are held at once", held)
	}
}
