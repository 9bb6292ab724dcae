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

// doubled gives a connection's second descriptor, as another process gets it.
func doubled(t *testing.T, sc syscall.Conn) net.Conn {
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

// pair is two servers of one gateway's engines; what the first has begun goes to the second.
func pair(t *testing.T, script func(engineRequest) string) (first, second *Server, addr string, sends *atomic.Int32) {
	t.Helper()
	sends = &atomic.Int32{}
	list := []ashwood.Server{scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(s engineRequest) string {
		sends.Add(1)
		return script(s)
	}))}
	first, addr = serve(t, list...)
	second, _ = serve(t, list...)
	return first, second, addr, sends
}

// giveTo has one server hand its answers to another, and gives how the first of them was taken.
func giveTo(t *testing.T, first, second *Server) (given chan error) {
	given = make(chan error, 1)
	first.SetHandover(func(message []byte, client, engine syscall.Conn) error {
		a, b := doubled(t, client), doubled(t, engine)
		go func() { given <- second.Adopt(message, a, b) }()
		return nil
	})
	return given
}

// An answer is handed over in the middle of a chunk, with what had been read ahead of it
// at both ends: its client gets every byte once, and is served on the same connection.
func TestAnAnswerIsHandedOverInTheMiddleOfAChunk(t *testing.T) {
	goOn, taken, begun := make(chan struct{}), make(chan struct{}), make(chan struct{})
	const at = 7 // bytes of the ending that come with the first event
	rest := encodeChunk(ending)
	first, second, addr, sends := pair(t, func(s engineRequest) string {
		if s.ID == "9b20" {
			return fullStream()
		}
		close(taken)
		<-begun
		io.WriteString(s.conn, head+encodeChunk(event1)+rest[:at])
		<-goOn
		return rest[at:] + "0\r\n\r\n"
	})
	given := giveTo(t, first, second)
	c := dial(t, addr)
	next := strings.Replace(requestText("order", "", "{}"), "9b1f", "9b20", 1)
	io.WriteString(c, requestText("order", "", "{}"))
	<-taken
	io.WriteString(c, next[:20]) // the next one begins before the answer does
	close(begun)
	if err := <-given; err != nil {
		t.Fatal(err)
	}
	close(goOn)
	br := bufio.NewReader(c)
	for n, want := range []string{event1 + ending, event1 + ending} {
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
		t.Errorf("%d sends of two orders", sends.Load())
	}
}

// A next request that was read together with the one before can't be handed over: the
// answer stays, and both are answered. Behind the second nothing has been read, and its answer may go.
func TestAnAnswerStaysWhereTheNextRequestWasRead(t *testing.T) {
	first, _, addr, sends := pair(t, func(engineRequest) string { return fullStream() })
	first.SetHandover(func(message []byte, _, _ syscall.Conn) error {
		var m moved
		if err := json.Unmarshal(message, &m); err != nil || m.ID != "9b20" {
			t.Errorf("the answer to %q was handed over, %v", m.ID, err)
		}
		return errors.New("not wanted")
	})
	c := dial(t, addr)
	one := requestText("order", "", "{}")
	io.WriteString(c, one+strings.Replace(one, "9b1f", "9b20", 1))
	br := bufio.NewReader(c)
	for n := range 2 {
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", n, err)
		}
		if body, err := io.ReadAll(r.Body); string(body) != event1+ending || err != nil {
			t.Errorf("answer %d: %q, %v", n, body, err)
		}
	}
	if sends.Load() != 2 {
		t.Errorf("%d sends of two orders", sends.Load())
	}
}

// Where nothing has gone to the other process, the answer goes on where it is.
func TestAnAnswerThatCanNotBeGivenGoesOn(t *testing.T) {
	first, _, addr, sends := pair(t, func(engineRequest) string { return fullStream() })
	asked := make(chan struct{}, 9)
	first.SetHandover(func([]byte, syscall.Conn, syscall.Conn) error {
		asked <- struct{}{}
		return errors.New("nobody there")
	})
	c := dial(t, addr)
	if r, body, err := roundTrip(t, c, requestText("order", "", "{}")); err != nil || r.StatusCode != 200 || body != event1+ending {
		t.Errorf("%v, %q, %v", r, body, err)
	}
	if len(asked) != 1 || sends.Load() != 1 {
		t.Errorf("given %d times, sent %d times", len(asked), sends.Load())
	}
}

// An answer that breaks after it was handed over ends its client's connection without the
// last chunk; a message that can't be read closes what came with it.
func TestWhatIsHandedOverBreaksLikeAnyOther(t *testing.T) {
	goOn := make(chan struct{})
	first, second, addr, _ := pair(t, func(s engineRequest) string {
		io.WriteString(s.conn, head+encodeChunk(event1))
		<-goOn
		return "zz\r\n\x00" // no chunk's size, and a close
	})
	given := giveTo(t, first, second)
	c := dial(t, addr)
	io.WriteString(c, requestText("order", "", "{}"))
	if err := <-given; err != nil {
		t.Fatal(err)
	}
	close(goOn)
	got, err := io.ReadAll(c)
	if !strings.Contains(string(got), event1) || strings.Contains(string(got), "\r\n0\r\n") || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	for _, message := range []string{"", "{", `{"body":{"form":"odd"}}`, `{"body":{"form":"chunks","left":-1}}`} {
		near, far := net.Pipe()
		near2, far2 := net.Pipe()
		if err := second.Adopt([]byte(message), near, near2); err == nil {
			t.Errorf("%q is gone on with", message)
		}
		for _, c := range []net.Conn{far, far2} {
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Errorf("%q: a connection stays open", message)
			}
		}
	}
}
