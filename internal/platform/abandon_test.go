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

// sendAsync sends a request to an engine in the background, until ctx ends or it is answered.
func sendAsync(ctx context.Context, e *Engines, engine ashwood.Server) <-chan gateway.AttemptResult {
	answer := make(chan gateway.AttemptResult, 1)
	go func() {
		answer <- e.Send(ctx, gateway.Attempt{
			Request: &gateway.Request{Method: "POST", Target: "/v1/chat/completions", Body: []byte("{}")}, Engine: engine,
			Prefill: true, Remaining: 5000, MayWrite: func() bool { return true }, OnSent: func() {},
		})
	}()
	return answer
}

// slowEngine is an engine that has read a whole request and sent the given part of an answer. The test
// continues on the engine's end of the connection.
func slowEngine(t *testing.T, sent string) (ashwood.Server, <-chan *net.TCPConn) {
	t.Helper()
	l, peers := listen(t), make(chan *net.TCPConn, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(10 * time.Second)) // bounds all waits here
		r, err := http.ReadRequest(bufio.NewReader(nc))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err == nil {
			_, err = io.WriteString(nc, sent)
		}
		if err != nil {
			t.Error(err)
		}
		peers <- nc.(*net.TCPConn)
	}()
	return ashwood.Server{ID: "r1", Address: l.Addr().String()}, peers
}

// An abandoned attempt is over only when its engine has noticed: before that, another attempt, or an
// answer that allows the client to retry, could overtake its end. Whatever part of the answer has
// arrived, the engine first sees the end of what is sent to it, and no reset.
func TestAbandon_WaitsForEngineToClose(t *testing.T) {
	const opening = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, begun := range map[string]string{
		"no answer": "", "half a head": "HTTP/1.1 20", "half a body": "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\n{",
		"no event": opening, "half an event": opening + "20\r\ndata", "noise": "\x16\x03\x01",
	} {
		c := clock.NewManual(0)
		e := NewEngines(testSettings(), c, 9)
		engine, there := slowEngine(t, begun)
		ctx, cancel := context.WithCancel(t.Context())
		answer := sendAsync(ctx, e, engine)
		peer := <-there
		cancel()
		for range 50 { // the engine is working and does not read
			if _, err := peer.Write([]byte("x")); errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("%s: connection reset before the engine read the end: %v", name, err)
			}
		}
		if rest, err := io.ReadAll(peer); len(rest) > 0 || err != nil {
			t.Errorf("%s: the engine read %q, %v, want the end", name, rest, err)
		}
		if len(answer) > 0 {
			t.Errorf("%s: abandoned before the engine closed: %v", name, (<-answer).Err)
		}
		peer.Close()
		// A prefill engine's 202 means that the prompt has been read, whatever happens to the body.
		if a := <-answer; a.Status != ashwood.StatusConnectionLost && (name != "half a body" || a.Status != ashwood.StatusPrefilled) || a.Err == nil {
			t.Errorf("%s: status %v, error %v", name, a.Status, a.Err)
		}
		if e.pool.open != 0 {
			t.Errorf("%s: %d connections left open", name, e.pool.open)
		}
	}
}

// A machine that has vanished never closes its end: the wait is bounded in time and in the bytes that
// still arrive.
func TestAbandon_Bounds(t *testing.T) {
	for _, floods := range []bool{false, true} {
		c := clock.NewManual(0)
		e := NewEngines(testSettings(), c, 9)
		engine, there := slowEngine(t, "")
		ctx, cancel := context.WithCancel(t.Context())
		answer := sendAsync(ctx, e, engine)
		peer := <-there
		cancel()
		if rest, err := io.ReadAll(peer); len(rest) > 0 || err != nil {
			t.Fatalf("the engine read %q, %v, want the end", rest, err)
		}
		if floods {
			go io.Copy(peer, endlessReader{})
		}
		for len(answer) == 0 {
			if !floods {
				c.Advance(abandonTimeout) // repeated because the timer may not be set yet
			}
			runtime.Gosched()
		}
		if a := <-answer; a.Status != ashwood.StatusConnectionLost {
			t.Errorf("floods %v: status %v, error %v", floods, a.Status, a.Err)
		}
	}
}

// endlessReader is a source that never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
