package platform

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"ashwood.example/ashwood"
)

// dupConn returns a connection's second descriptor, as another process receives it.
func dupConn(t *testing.T, sc syscall.Conn) net.Conn {
	raw, err := sc.SyscallConn()
	if err != nil {
		t.Error(err)
		return nil
	}
	fd := -1
	raw.Control(func(from uintptr) { fd, err = syscall.Dup(int(from)) })
	if err != nil {
		t.Error(err)
		return nil
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		t.Error(err)
	}
	return c
}

// serverPair starts two servers with the same engines; the first hands its answers over to the second.
func serverPair(t *testing.T, script func(engineRequest) string) (first, second *Server, addr string, sends *atomic.Int32) {
	t.Helper()
	sends = &atomic.Int32{}
	list := []ashwood.Server{scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(s engineRequest) string {
		sends.Add(1)
		return script(s)
	}))}
	first, addr = startServer(t, list...)
	second, _ = startServer(t, list...)
	return first, second, addr, sends
}

// handOverTo makes one server hand its answers over to another; adopted receives the result of the first.
func handOverTo(t *testing.T, first, second *Server) (adopted chan error) {
	adopted = make(chan error, 1)
	first.SetHandover(func(message []byte, client, engine syscall.Conn) error {
		a, b := dupConn(t, client), dupConn(t, engine)
		go func() { adopted <- second.Adopt(message, a, b) }()
		return nil
	})
	return adopted
}

// An answer is handed over in the middle of a chunk, with what has been read ahead on both
// connections: the client gets every byte once, and is served on the same connection.
func TestHandover_MidChunk(t *testing.T) {
	goOn, taken, begun := make(chan struct{}), make(chan struct{}), make(chan struct{})
	const at = 7 // bytes of the last events that arrive with the first event
	rest := encodeChunk(lastEvents)
	first, second, addr, sends := serverPair(t, func(s engineRequest) string {
		if s.ID == "9b20" {
			return fullStream()
		}
		close(taken)
		<-begun
		io.WriteString(s.conn, streamHead+encodeChunk(firstEvent)+rest[:at])
		<-goOn
		return rest[at:] + "0\r\n\r\n"
	})
	adopted := handOverTo(t, first, second)
	c := dialClient(t, addr)
	next := strings.Replace(requestText("order", "", "{}"), "9b1f", "9b20", 1)
	io.WriteString(c, requestText("order", "", "{}"))
	<-taken
	io.WriteString(c, next[:20]) // the next request begins before the answer does
	close(begun)
	if err := <-adopted; err != nil {
		t.Fatal(err)
	}
	close(goOn)
	br := bufio.NewReader(c)
	for n, want := range []string{firstEvent + lastEvents, firstEvent + lastEvents} {
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", n, err)
		}
		if body, err := io.ReadAll(r.Body); string(body) != want || err != nil {
			t.Errorf("answer %d: %q, %v", n, body, err)
		}
		if n == 0 {
			io.WriteString(c, next[20:])
		}
	}
	if sends.Load() != 2 {
		t.Errorf("%d sends for two requests", sends.Load())
	}
}

// An answer can't be handed over if the next request was read together with its own: it finishes here,
// and both requests are answered. Nothing has been read behind the second, so its answer may be handed over.
func TestHandover_PipelinedRequest(t *testing.T) {
	first, _, addr, sends := serverPair(t, func(engineRequest) string { return fullStream() })
	first.SetHandover(func(message []byte, _, _ syscall.Conn) error {
		var m handoverMessage
		if err := json.Unmarshal(message, &m); err != nil || m.ID != "9b20" {
			t.Errorf("handover of the answer to %q, %v", m.ID, err)
		}
		return errors.New("not wanted")
	})
	c := dialClient(t, addr)
	one := requestText("order", "", "{}")
	io.WriteString(c, one+strings.Replace(one, "9b1f", "9b20", 1))
	br := bufio.NewReader(c)
	for n := range 2 {
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", n, err)
		}
		if body, err := io.ReadAll(r.Body); string(body) != firstEvent+lastEvents || err != nil {
			t.Errorf("answer %d: %q, %v", n, body, err)
		}
	}
	if sends.Load() != 2 {
		t.Errorf("%d sends for two requests", sends.Load())
	}
}

// If the handover fails before anything was sent, the answer finishes in this process.
func TestHandover_SendFails(t *testing.T) {
	first, _, addr, sends := serverPair(t, func(engineRequest) string { return fullStream() })
	asked := make(chan struct{}, 9)
	first.SetHandover(func([]byte, syscall.Conn, syscall.Conn) error {
		asked <- struct{}{}
		return errors.New("nobody there")
	})
	c := dialClient(t, addr)
	if r, body, err := roundTrip(t, c, requestText("order", "", "{}")); err != nil || r.StatusCode != 200 || body != firstEvent+lastEvents {
		t.Errorf("%v, %q, %v", r, body, err)
	}
	if len(asked) != 1 || sends.Load() != 1 {
		t.Errorf("%d handovers tried, %d sends, want 1 and 1", len(asked), sends.Load())
	}
}

// An answer that breaks after its handover ends its client's connection without the last chunk. A message
// that can't be parsed closes the connections that came with it.
func TestHandover_BrokenStreamAndMessage(t *testing.T) {
	goOn := make(chan struct{})
	first, second, addr, _ := serverPair(t, func(s engineRequest) string {
		io.WriteString(s.conn, streamHead+encodeChunk(firstEvent))
		<-goOn
		return "zz\r\n\x00" // not a chunk size, then a close
	})
	adopted := handOverTo(t, first, second)
	c := dialClient(t, addr)
	io.WriteString(c, requestText("order", "", "{}"))
	if err := <-adopted; err != nil {
		t.Fatal(err)
	}
	close(goOn)
	got, err := io.ReadAll(c)
	if !strings.Contains(string(got), firstEvent) || strings.Contains(string(got), "\r\n0\r\n") || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	for _, message := range []string{"", "{", `{"body":{"form":"odd"}}`, `{"body":{"form":"chunks","left":-1}}`} {
		near, far := net.Pipe()
		near2, far2 := net.Pipe()
		if err := second.Adopt([]byte(message), near, near2); err == nil {
			t.Errorf("message %q was adopted", message)
		}
		for _, c := range []net.Conn{far, far2} {
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Errorf("message %q: a connection stays open", message)
			}
		}
	}
}
