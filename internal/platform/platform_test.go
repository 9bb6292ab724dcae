package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// engineRequest is a request as an engine received it.
type engineRequest struct {
	Method, Target, ID, Body string
	conn                     net.Conn
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// scriptedEngine is an engine that writes the bytes returned by answer for each request, "" for none. It
// closes the connection after bytes that end with "\x00".
func scriptedEngine(t *testing.T, name, kind string, answer func(engineRequest) string) ashwood.Server {
	l := listen(t)
	serve := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			out := answer(engineRequest{r.Method, r.RequestURI, r.Header.Get(headerID), string(body), c})
			io.WriteString(c, strings.TrimSuffix(out, "\x00"))
			if strings.HasSuffix(out, "\x00") {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ashwood.Server{ID: ashwood.ServerID(name), Kind: kind, State: ashwood.StateActive, Address: l.Addr().String()}
}

const (
	prefillResponse    = "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\nX-Pressure: inflight=1\r\n\r\n{\"cached_tokens\":16}"
	reservedResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	releasedResponse   = "HTTP/1.1 204 No Content\r\n\r\n"
	turnedAwayResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	streamHead         = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstEvent         = "data: {\"a\":1}\n\n"
	lastEvents         = "data: [DONE]\n\n: X-Pressure: inflight=3,queue=1,x0=0.5\n\n"
)

func encodeChunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func fullStream() string {
	return streamHead + encodeChunk(firstEvent) + encodeChunk(lastEvents) + "0\r\n\r\n"
}

func scriptPrefill(s engineRequest) string {
	if s.Method == "DELETE" {
		return releasedResponse
	}
	return prefillResponse
}

// scriptDecode answers requests by script, and reservations and releases with success.
func scriptDecode(script func(engineRequest) string) func(engineRequest) string {
	return func(s engineRequest) string {
		switch {
		case s.Method == "DELETE":
			return releasedResponse
		case strings.HasPrefix(s.Target, holdsPath):
			return reservedResponse
		}
		return script(s)
	}
}

func testSettings() ashwood.Settings {
	class := func(name string, e ashwood.Effect) ashwood.Class {
		return ashwood.Class{Name: name, Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: e}
	}
	return ashwood.Settings{
		Nodes: 1, Reservations: true, Reports: ashwood.ReportInline,
		Kinds: []ashwood.Kind{
			{Name: "reader", Role: ashwood.RolePrefill, MemoryTokens: 1e5}, {Name: "writer", Role: ashwood.RoleDecode, MemoryTokens: 1e5}},
		Classes: []ashwood.Class{class("chat", ashwood.Pure), class("order", ashwood.SideEffect)},
		Limits:  ashwood.Limits{MaxAttempts: 6, Cancel: true, RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond, ConnectTimeout: 2 * time.Second},
	}
}

// startAndDial starts a gateway with these engines and returns a connection to it.
func startAndDial(t *testing.T, list ...ashwood.Server) net.Conn {
	t.Helper()
	_, addr := startServer(t, list...)
	return dialClient(t, addr)
}

func startServer(t *testing.T, list ...ashwood.Server) (s *Server, addr string) {
	t.Helper()
	log, c := slog.New(slog.DiscardHandler), clock.System()
	gw, err := gateway.New(testSettings(), 1, NewEngines(testSettings(), c, 50), c, log)
	if err != nil {
		t.Fatal(err)
	}
	gw.UpdateMembership(ashwood.MembershipSnapshot, list)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go gw.Run(ctx)
	l := listen(t)
	s = NewServer(gw, log, 50)
	go s.Serve(l)
	return s, l.Addr().String()
}

func dialClient(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func requestText(class, extra, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions?x=%%2F HTTP/1.1\r\nHost: service.internal\r\nX-Txn: 9b1f\r\nX-Lane: %s\r\n"+
		"X-Entity: 7f3a\r\nX-Remaining: 15.000\r\nX-Labels: prefix=5c0f,prompt_len=64,prefix_len=32,max_out=9\r\n%sContent-Length: %d\r\n\r\n%s",
		class, extra, len(body), body)
}

// withID returns a request's text with another id: a request that may have run must not come again.
func withID(text string, id any) string {
	return strings.Replace(text, "X-Txn: 9b1f", fmt.Sprint("X-Txn: ", id), 1)
}

func roundTrip(t *testing.T, c net.Conn, text string) (*http.Response, string, error) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func TestServer_BytesUnchanged(t *testing.T) {
	got := make(chan engineRequest, 9)
	c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill),
		scriptedEngine(t, "w1", "writer", scriptDecode(func(s engineRequest) string { got <- s; return fullStream() })))
	for _, id := range []string{"9b1f", "9b20"} { // on one connection
		r, body, err := roundTrip(t, c, withID(requestText("chat", "", `{"odd" :  "spacing"}`), id))
		if err != nil || r.StatusCode != 200 || body != firstEvent+lastEvents {
			t.Fatalf("%v, %v, %q", r.Status, err, body)
		}
		s := <-got
		s.conn = nil
		want := engineRequest{Method: "POST", Target: "/v1/chat/completions?x=%2F", ID: id, Body: `{"odd" :  "spacing"}`}
		if s != want {
			t.Errorf("the decode engine got %+v, want %+v", s, want)
		}
	}
}

// A side-effect request is sent again only on proof that it has not run, and only then is the client
// asked to retry.
func TestSideEffect_FirstAttemptOutcomes(t *testing.T) {
	tests := []struct {
		name, first string
		code        int
		writes      int
	}{
		{"turned away", turnedAwayResponse, 200, 2},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", 502, 1},
		{"503 without X-Turned-Away", "HTTP/1.1 503 Oops\r\nContent-Length: 0\r\n\r\n", 502, 1},
		{"202 from a decode engine", prefillResponse, 502, 1},
		{"reset", "\x00", 502, 1},
		{"broken before the first event", streamHead + "\x00", 502, 1},
		{"broken within the first event", streamHead + encodeChunk("data: {\"a\"") + "\x00", 502, 1},
		{"first event in pieces", streamHead + encodeChunk("data: {\"a\"") + encodeChunk(":1}\n") + encodeChunk("\n") + encodeChunk(doneEvent) + "0\r\n\r\n", 200, 1},
		{"answer without a blank line", streamHead + encodeChunk("data: [DONE]") + "0\r\n\r\n", 200, 1},
	}
	for _, tt := range tests {
		got := make(chan engineRequest, 9)
		script := scriptDecode(func(s engineRequest) string {
			got <- s
			if len(got) == 1 {
				return tt.first
			}
			return fullStream()
		})
		c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", script), scriptedEngine(t, "w2", "writer", script))
		r, body, err := roundTrip(t, c, requestText("order", "", "{}"))
		if err != nil || r.StatusCode != tt.code || len(got) != tt.writes {
			t.Errorf("%s: %s after %d writes, want %d after %d: %s, %v", tt.name, r.Status, len(got), tt.code, tt.writes, body, err)
		}
	}
}

// The answer to a refused request says when to retry.
func TestRefusal_RetryAfter(t *testing.T) {
	c := startAndDial(t)
	r, body, err := roundTrip(t, c, strings.Replace(requestText("order", "", "{}"), "15.000", "0.100", 1))
	if r.StatusCode != 503 || r.Header.Get("Retry-After") != "0.500" || err != nil {
		t.Errorf("%s, Retry-After %q, %q, %v", r.Status, r.Header.Get("Retry-After"), body, err)
	}
}

// A broken stream must not look complete: the connection ends without the last chunk.
func TestStream_BrokenEndsConnection(t *testing.T) {
	c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill),
		scriptedEngine(t, "w1", "writer", scriptDecode(func(engineRequest) string { return streamHead + encodeChunk(firstEvent) + "\x00" })))
	r, body, err := roundTrip(t, c, requestText("chat", "", "{}"))
	if r.StatusCode != 200 || body != firstEvent || err != io.ErrUnexpectedEOF {
		t.Errorf("%s, %q, %v", r.Status, body, err)
	}
}

// Any engine may send malformed answers, on connections that stay open. If an answer is malformed before
// its first event was passed on, the request may have run; after that, the client's connection ends
// without the last chunk. What has arrived of a chunk is passed on, whether its end ever comes or not.
func TestStream_MalformedAnswers(t *testing.T) {
	good := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	tests := []struct {
		name, answer string
		passedOn     string // "" = the answer has not begun for the client
	}{
		{"noise", "\xb5\x07 nothing of HTTP", ""},
		{"invalid status", "HTTP/1.1 2x0 OK\r\n\r\n", ""},
		{"unfinished head", "HTTP/1.1 200 OK\r\nX-Half: ", ""},
		{"endless head", good + strings.Repeat("X-More: and more\r\n", 999), ""},
		{"only 1xx", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimResponses), ""},
		{"no event after the head", streamHead, ""},
		{"invalid first chunk size", streamHead + "zz\r\n" + firstEvent, ""},
		{"first chunk of 3 GB", streamHead + "c0000000\r\n" + firstEvent, ""},
		{"first chunk longer than its size", streamHead + "2\r\n" + firstEvent + "\r\n", ""},
		{"invalid chunk size", streamHead + encodeChunk(firstEvent) + "-1\r\n", firstEvent},
		{"endless chunk size", streamHead + encodeChunk(firstEvent) + strings.Repeat("0", 9999), firstEvent},
		{"chunk of 3 GB", streamHead + encodeChunk(firstEvent) + "c0000000\r\n" + firstEvent, firstEvent},
		{"chunk longer than its size", streamHead + encodeChunk(firstEvent) + "2\r\n" + firstEvent + "\r\n", firstEvent},
		{"chunk shorter than its size", streamHead + encodeChunk(firstEvent) + "ff\r\n" + firstEvent, firstEvent + firstEvent},
		{"endless trailers", streamHead + encodeChunk(firstEvent) + "0\r\n" + strings.Repeat("a: b\r\n", 99), firstEvent},
	}
	for _, tt := range tests {
		for _, class := range []string{"chat", "order"} {
			t.Run(tt.name+", "+class, func(t *testing.T) {
				t.Parallel() // some last until the answer counts as stalled
				first := make(chan bool, 1)
				first <- true
				script := scriptDecode(func(engineRequest) string {
					select {
					case <-first:
						return tt.answer
					default:
						return fullStream()
					}
				})
				c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", script), scriptedEngine(t, "w2", "writer", script))
				r, body, err := roundTrip(t, c, requestText(class, "", "{}"))
				switch {
				case tt.passedOn != "":
					if r.StatusCode != 200 || body != tt.passedOn || err != io.ErrUnexpectedEOF {
						t.Errorf("%s, %q, %v", r.Status, body, err)
					}
				case class == "order" && r.StatusCode != 502, class == "chat" && (r.StatusCode != 200 || body != firstEvent+lastEvents):
					t.Errorf("%s, %q, %v", r.Status, body, err)
				}
			})
		}
	}
}

// Valid answers may be preceded by interim ones and followed by extra bytes.
func TestAnswers_InterimAndExtraBytes(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	odd := strings.Replace(fullStream(), "\r\nContent", "\r\nX-Pressure: inflight=-3,queue=much\r\nContent", 1)
	c := startAndDial(t, scriptedEngine(t, "r1", "reader", func(s engineRequest) string {
		if s.Method == "DELETE" {
			return releasedResponse
		}
		return interim + prefillResponse + prefillResponse
	}), scriptedEngine(t, "w1", "writer", scriptDecode(func(engineRequest) string { return interim + interim + odd + turnedAwayResponse })))
	for n := range 3 { // on connections without leftover bytes
		if r, body, err := roundTrip(t, c, withID(requestText("order", "", "{}"), n)); r.StatusCode != 200 || body != firstEvent+lastEvents || err != nil {
			t.Errorf("%s, %q, %v", r.Status, body, err)
		}
	}
}

// fasthttp does not detect that a client has disconnected while a handler runs.
func TestClientDisconnect_CancelsAttempt(t *testing.T) {
	got, ended := make(chan engineRequest, 9), make(chan string, 9)
	c := startAndDial(t, scriptedEngine(t, "r1", "reader", func(s engineRequest) string {
		ended <- s.Method
		return scriptPrefill(s)
	}), scriptedEngine(t, "w1", "writer", scriptDecode(func(s engineRequest) string { got <- s; return "" })))
	io.WriteString(c, requestText("order", "", "{}"))
	s := <-got
	c.Close()
	if _, err := s.conn.Read(make([]byte, 1)); err != io.EOF && err == nil {
		t.Error("the connection to the decode engine stays open")
	}
	if a, b := <-ended, <-ended; a != "POST" || b != "DELETE" {
		t.Errorf("the prefill engine got %s, %s, want POST, DELETE", a, b)
	}
}
