package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// attempt sends a request to an engine in the background, until ctx ends or it is answered.
func attempt(ctx context.Context, e *Engines, engine ashwood.Server) <-chan gateway.AttemptResult {
	answer := make(chan gateway.AttemptResult, 1)
	go func() {
		answer <- e.Send(ctx, gateway.Attempt{
			Request: &gateway.Request{Method: "POST", Target: "/v1/chat/completions", Body: []byte("{}")}, Engine: engine,
			Prefill: true, Remaining: 5000, MayWrite: func() bool { return true }, OnSent: func() {},
		})
	}()
	return answer
}

// slowToSee is an engine's end of a connection on which a request has come whole, and the
// answer so far has been sent. The test goes on from there.
func slowToSee(t *testing.T, begun string) (ashwood.Server, <-chan *net.TCPConn) {
	t.Helper()
	l, there := listen(t), make(chan *net.TCPConn, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(10 * time.Second)) // the bound of all waits here
		r, err := http.ReadRequest(bufio.NewReader(nc))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err == nil {
			_, err = io.WriteString(nc, begun)
		}
		if err != nil {
			t.Error(err)
		}
		there <- nc.(*net.TCPConn)
	}()
	return ashwood.Server{ID: "r1", Address: l.Addr().String()}, there
}

// An attempt that is given up is over once its engine has seen that: until then another one,
// or the word that trying again does no harm, could come before its end. Whatever the answer
// had brought, the engine sees the end of what is sent to it first, and no reset.
func TestAnAttemptGivenUpIsOverWhenItsEngineHasSeenThat(t *testing.T) {
	const opening = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, begun := range map[string]string{
		"no answer": "", "half a head": "HTTP/1.1 20", "half a body": "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\n{",
		"no event": opening, "half an event": opening + "20\r\ndata", "noise": "\x16\x03\x01",
	} {
		c := clock.NewManual(0)
		e := NewEngines(testSettings(), c, 9)
		engine, there := slowToSee(t, begun)
		ctx, cancel := context.WithCancel(t.Context())
		answer := attempt(ctx, e, engine)
		peer := <-there
		cancel()
		for range 50 { // it is at work, and has not looked
			if _, err := peer.Write([]byte("x")); errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("%s: the connection is gone before its engine has seen the end: %v", name, err)
			}
		}
		if rest, err := io.ReadAll(peer); len(rest) > 0 || err != nil {
			t.Errorf("%s: the engine sees %q, %v in place of the end", name, rest, err)
		}
		if len(answer) > 0 {
			t.Errorf("%s: given up before its engine has closed: %v", name, (<-answer).Err)
		}
		peer.Close()
		// A reader's 202 tells that it has read, whatever becomes of the rest.
		if a := <-answer; a.Status != ashwood.StatusConnectionLost && (name != "half a body" || a.Status != ashwood.StatusPrefilled) || a.Err == nil {
			t.Errorf("%s: ended as %v, %v", name, a.Status, a.Err)
		}
		if e.pool.open != 0 {
			t.Errorf("%s: %d connections are left", name, e.pool.open)
		}
	}
}

// A machine that has vanished never says that it has seen the end: the wait has a bound, in
// time and in what still comes.
func TestGivingUpIsBounded(t *testing.T) {
	for _, floods := range []bool{false, true} {
		c := clock.NewManual(0)
		e := NewEngines(testSettings(), c, 9)
		engine, there := slowToSee(t, "")
		ctx, cancel := context.WithCancel(t.Context())
		answer := attempt(ctx, e, engine)
		peer := <-there
		cancel()
		if rest, err := io.ReadAll(peer); len(rest) > 0 || err != nil {
			t.Fatalf("the engine sees %q, %v", rest, err)
		}
		if floods {
			go io.Copy(peer, endless{})
		}
		for len(answer) == 0 {
			if !floods {
				c.Advance(abandonTimeout) // again and again: its timer may not be set yet
			}
			runtime.Gosched()
		}
		if a := <-answer; a.Status != ashwood.StatusConnectionLost {
			t.Errorf("floods %v: ended as %v, %v", floods, a.Status, a.Err)
		}
	}
}

// endless is a source that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
