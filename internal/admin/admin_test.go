package admin

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

const most = 16

// open runs a server on loopback until the test ends.
func open(t *testing.T, wait time.Duration) (d *Server, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d = New(slog.New(slog.DiscardHandler), map[string]Call{
		"check": func() string { return "YES\n" },
		"vars":  func() string { return "YES\na:1|c\nEND\n" },
		"oops":  func() string { panic("a fault in a call") },
	}, most)
	d.wait = wait
	go d.Serve(l)
	t.Cleanup(d.Close)
	return d, l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second)) // a bound of the test, not of the server
	return c
}

func TestEachLineGetsItsReply(t *testing.T) {
	_, addr := open(t, 50*time.Millisecond)
	for sent, want := range map[string]string{
		"check\n":                           "YES\n",
		"check\r\n":                         "YES\n",
		"vars\nmore":                        "YES\na:1|c\nEND\n",
		"Check\n":                           "NO unknown call",
		"\n":                                "NO unknown call",
		"check":                             "NO the line did not end in time",
		strings.Repeat("x", maxLine) + "\n": "NO a line has 128 bytes",
		"\xff\xfe\n":                        "NO the line is no text",
		"check\x00\n":                       "NO the line is no text",
		"GET / HTTP/1.1\r\n\r\n":            "NO unknown call",
	} {
		c := dial(t, addr)
		io.WriteString(c, sent)
		got, _ := io.ReadAll(c) // a reset behind bytes that were not read is none of the reply
		if !strings.HasPrefix(string(got), want) || strings.HasPrefix(want, "YES") && string(got) != want {
			t.Errorf("%.20q: %q, want %q", sent, got, want)
		}
	}
	c := dial(t, addr) // a line whose writer closes its side
	io.WriteString(c, "check")
	c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); !strings.HasPrefix(string(got), "NO the line has no end") {
		t.Errorf("a line cut short: %q", got)
	}
	c = dial(t, addr) // a fault in a call ends that call alone
	io.WriteString(c, "oops\n")
	if got, _ := io.ReadAll(c); len(got) > 0 {
		t.Errorf("a fault in a call: %q", got)
	}
	c = dial(t, addr)
	io.WriteString(c, "check\n")
	if got, _ := io.ReadAll(c); string(got) != "YES\n" {
		t.Errorf("after a fault: %q", got)
	}
}

// Callers that connect and say nothing keep no true one waiting: here none of them is
// ever given up for being slow, so that only its own place lets the caller in.
func TestSilentCallersKeepNoneWaiting(t *testing.T) {
	d, addr := open(t, time.Hour)
	for range 5 * most {
		dial(t, addr)
	}
	c := dial(t, addr)
	io.WriteString(c, "check\n")
	if got, err := io.ReadAll(c); string(got) != "YES\n" {
		t.Errorf("%q, %v", got, err)
	}
	d.mu.Lock()
	held := d.waiting.Len()
	d.mu.Unlock()
	if held > most {
		t.Errorf("%d callers are held", held)
	}
}
