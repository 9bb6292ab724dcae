package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// seen is a request as an engine got it.
type seen struct {
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

// engine is a scripted peer: answer gives the bytes to write for a request,
// "" for none; the connection is closed after bytes that end with "\x00".
func engine(t *testing.T, name, kind string, answer func(seen) string) ashwood.Server {
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
			out := answer(seen{r.Method, r.RequestURI, r.Header.Get(headerID), string(body), c})
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
	return ashwood.Server{ID: ashwood.ServerID(name), Kind: kind, State: ashwood.StateOn, Address: l.Addr().String()}
}

const (
	parsed = "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\nX-Pressure: inflight=1\r\n\r\n{\"cached_tokens\":16}"
	held   = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	freed  = "HTTP/1.1 204 No Content\r\n\r\n"
	full   = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	head   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	event1 = "data: {\"a\":1}\n\n"
	ending = "data: [DONE]\n\n: X-Pressure: inflight=3,queue=1,x0=0.5\n\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func whole() string { return head + chunk(event1) + chunk(ending) + "0\r\n\r\n" }

func reads(s seen) string {
	if s.Method == "DELETE" {
		return freed
	}
	return parsed
}

// writes answers requests by script and the calls beside them well.
func writes(script func(seen) string) func(seen) string {
	return func(s seen) string {
		switch {
		case s.Method == "DELETE":
			return freed
		case strings.HasPrefix(s.Target, roomsPath):
			return held
		}
		return script(s)
	}
}

func settings() ashwood.Settings {
	class := func(name string, e ashwood.Effect) ashwood.Class {
		return ashwood.Class{Name: name, Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: e}
	}
	return ashwood.Settings{
		Nodes: 1, Ahead: true, Reports: ashwood.ReportInline,
		Kinds: []ashwood.Kind{
			{Name: "reader", Role: ashwood.RoleRead, MemoryTokens: 1e5}, {Name: "writer", Role: ashwood.RoleWrite, MemoryTokens: 1e5}},
		Classes: []ashwood.Class{class("chat", ashwood.Pure), class("order", ashwood.SideEffect)},
		Limits:  ashwood.Limits{MaxAttempts: 6, Cancel: true, RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond, ConnectTimeout: 2 * time.Second},
	}
}

// start brings up a gateway with these engines and gives a connection to it.
func start(t *testing.T, list ...ashwood.Server) net.Conn {
	t.Helper()
	_, addr := serve(t, list...)
	return dial(t, addr)
}

func serve(t *testing.T, list ...ashwood.Server) (s *Server, addr string) {
	t.Helper()
	log, c := slog.New(slog.DiscardHandler), clock.System()
	gw, err := gateway.New(settings(), 1, NewEngines(settings(), c, 50), c, log)
	if err != nil {
		t.Fatal(err)
	}
	gw.Update(ashwood.ListWhole, list)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go gw.Run(ctx)
	l := listen(t)
	s = NewServer(gw, log, 50)
	go s.Serve(l)
	return s, l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func request(class, extra, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions?x=%%2F HTTP/1.1\r\nHost: service.internal\r\nX-Txn: 9b1f\r\nX-Lane: %s\r\n"+
		"X-Entity: 7f3a\r\nX-Remaining: 15.000\r\nX-Labels: prefix=5c0f,prompt_len=64,prefix_len=32,max_out=9\r\n%sContent-Length: %d\r\n\r\n%s",
		class, extra, len(body), body)
}

func ask(t *testing.T, c net.Conn, text string) (*http.Response, string, error) {
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

func TestBytesPassThroughBothWays(t *testing.T) {
	got := make(chan seen, 9)
	c := start(t, engine(t, "r1", "reader", reads),
		engine(t, "w1", "writer", writes(func(s seen) string { got <- s; return whole() })))
	for range 2 { // on one connection
		r, body, err := ask(t, c, request("chat", "", `{"odd" :  "spacing"}`))
		if err != nil || r.StatusCode != 200 || body != event1+ending {
			t.Fatalf("%v, %v, %q", r.Status, err, body)
		}
		s := <-got
		s.conn = nil
		want := seen{Method: "POST", Target: "/v1/chat/completions?x=%2F", ID: "9b1f", Body: `{"odd" :  "spacing"}`}
		if s != want {
			t.Errorf("the writer got %+v, want %+v", s, want)
		}
	}
}

// An order is sent again only on proof that it has not run, and a client is
// told to try again only then too.
func TestOutcomesOfAnOrder(t *testing.T) {
	tests := []struct {
		name, first string
		code        int
		writes      int
	}{
		{"turned away", full, 200, 2},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", 502, 1},
		{"503 without proof", "HTTP/1.1 503 Oops\r\nContent-Length: 0\r\n\r\n", 502, 1},
		{"202 from a writer", parsed, 502, 1},
		{"reset", "\x00", 502, 1},
		{"broken before an event", head + "\x00", 502, 1},
	}
	for _, tt := range tests {
		got := make(chan seen, 9)
		script := writes(func(s seen) string {
			got <- s
			if len(got) == 1 {
				return tt.first
			}
			return whole()
		})
		c := start(t, engine(t, "r1", "reader", reads), engine(t, "w1", "writer", script), engine(t, "w2", "writer", script))
		r, body, err := ask(t, c, request("order", "", "{}"))
		if err != nil || r.StatusCode != tt.code || len(got) != tt.writes {
			t.Errorf("%s: %s after %d writes, want %d after %d: %s, %v", tt.name, r.Status, len(got), tt.code, tt.writes, body, err)
		}
	}
}

// What is refused comes back when told to.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	c := start(t)
	r, body, err := ask(t, c, strings.Replace(request("order", "", "{}"), "15.000", "0.100", 1))
	if r.StatusCode != 503 || r.Header.Get("Retry-After") != "0.500" || err != nil {
		t.Errorf("%s, Retry-After %q, %q, %v", r.Status, r.Header.Get("Retry-After"), body, err)
	}
}

// A stream that breaks must not look whole: the connection ends without the last chunk.
func TestBrokenStreamEndsTheConnection(t *testing.T) {
	c := start(t, engine(t, "r1", "reader", reads),
		engine(t, "w1", "writer", writes(func(seen) string { return head + chunk(event1) + "\x00" })))
	r, body, err := ask(t, c, request("chat", "", "{}"))
	if r.StatusCode != 200 || body != event1 || err != io.ErrUnexpectedEOF {
		t.Errorf("%s, %q, %v", r.Status, body, err)
	}
}

// From any engine some answers arrive spoilt, on connections that stay open. One
// spoilt before its first event was passed on may have run; a later one ends the
// client's connection without the last chunk.
func TestSpoiltAnswers(t *testing.T) {
	good := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	tests := []struct {
		name, answer string
		begun        bool
	}{
		{"noise", "\xb5\x07 nothing of HTTP", false},
		{"a status that is none", "HTTP/1.1 2x0 OK\r\n\r\n", false},
		{"a head that does not go on", "HTTP/1.1 200 OK\r\nX-Half: ", false},
		{"a head without end", good + strings.Repeat("X-More: and more\r\n", 999), false},
		{"nothing but 1xx", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim), false},
		{"no event behind the head", head, false},
		{"a first size that is none", head + "zz\r\n" + event1, false},
		{"a first chunk of 3 GB", head + "c0000000\r\n" + event1, false},
		{"a first chunk beyond its size", head + "2\r\n" + event1 + "\r\n", false},
		{"a size that is none", head + chunk(event1) + "-1\r\n", true},
		{"a size that does not end", head + chunk(event1) + strings.Repeat("0", 9999), true},
		{"a chunk of 3 GB", head + chunk(event1) + "c0000000\r\n" + event1, true},
		{"a chunk beyond its size", head + chunk(event1) + "2\r\n" + event1 + "\r\n", true},
		{"a chunk short of its size", head + chunk(event1) + "ff\r\n" + event1, true},
		{"lines without end behind the last chunk", head + chunk(event1) + "0\r\n" + strings.Repeat("a: b\r\n", 99), true},
	}
	for _, tt := range tests {
		for _, class := range []string{"chat", "order"} {
			first := make(chan bool, 1)
			first <- true
			script := writes(func(seen) string {
				select {
				case <-first:
					return tt.answer
				default:
					return whole()
				}
			})
			c := start(t, engine(t, "r1", "reader", reads), engine(t, "w1", "writer", script), engine(t, "w2", "writer", script))
			r, body, err := ask(t, c, request(class, "", "{}"))
			switch {
			case tt.begun:
				if r.StatusCode != 200 || body != event1 || err != io.ErrUnexpectedEOF {
					t.Errorf("%s, %s: %s, %q, %v", tt.name, class, r.Status, body, err)
				}
			case class == "order" && r.StatusCode != 502, class == "chat" && (r.StatusCode != 200 || body != event1+ending):
				t.Errorf("%s, %s: %s, %q, %v", tt.name, class, r.Status, body, err)
			}
		}
	}
}

// Other answers are good and bring more than belongs to them.
func TestGoodAnswersWithMoreThanBelongsToThem(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	odd := strings.Replace(whole(), "\r\nContent", "\r\nX-Pressure: inflight=-3,queue=much\r\nContent", 1)
	c := start(t, engine(t, "r1", "reader", func(s seen) string {
		if s.Method == "DELETE" {
			return freed
		}
		return interim + parsed + parsed
	}), engine(t, "w1", "writer", writes(func(seen) string { return interim + interim + odd + full })))
	for range 3 { // on connections that nothing is left on
		if r, body, err := ask(t, c, request("order", "", "{}")); r.StatusCode != 200 || body != event1+ending || err != nil {
			t.Errorf("%s, %q, %v", r.Status, body, err)
		}
	}
}

// fasthttp does not look whether its client is there while a handler runs.
func TestClientsCloseEndsTheAttemptAndLetsGo(t *testing.T) {
	got, ended := make(chan seen, 9), make(chan string, 9)
	c := start(t, engine(t, "r1", "reader", func(s seen) string {
		ended <- s.Method
		return reads(s)
	}), engine(t, "w1", "writer", writes(func(s seen) string { got <- s; return "" })))
	io.WriteString(c, request("order", "", "{}"))
	s := <-got
	c.Close()
	if _, err := s.conn.Read(make([]byte, 1)); err != io.EOF && err == nil {
		t.Error("the writer's connection stays open")
	}
	if a, b := <-ended, <-ended; a != "POST" || b != "DELETE" {
		t.Errorf("the reader got %s, %s", a, b)
	}
}

// An engine may close an idle connection; a request written to it would end as a reset.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	got := make(chan seen, 9)
	c := start(t, engine(t, "r1", "reader", reads), engine(t, "w1", "writer", writes(func(s seen) string {
		got <- s
		return whole() + "\x00" // and closes it
	})))
	for range 3 {
		r, body, err := ask(t, c, request("order", "", "{}"))
		s := <-got
		s.conn.Read(make([]byte, 1)) // until it is closed
		if r.StatusCode != 200 || err != nil {
			t.Fatalf("%s, %q, %v", r.Status, body, err)
		}
	}
}

func TestMalformedRequestsAreAnsweredWithTheReason(t *testing.T) {
	tests := []struct {
		old, new, reason string
		code             int
	}{
		{"X-Txn: 9b1f\r\n", "", "X-Txn", 400},
		{"X-Lane: chat\r\n", "", "X-Lane", 400},
		{"X-Lane: chat", "X-Lane: nosuch", "nosuch", 400},
		{"15.000", "soon", "X-Remaining", 400},
		{"prompt_len=64", "prompt_len=-1", "prompt_len", 400},
		{"X-Txn: 9b1f", "X-Txn: ..", "X-Txn", 400}, // it becomes part of a path
		{"X-Txn: 9b1f", "X-Txn: 9b1f\r\nX-Txn: 9b20", "2 times", 400},
		{"15.000", "1e3", "X-Remaining", 400},
		{"15.000", "99999", "X-Remaining", 400},
		{"\r\n\r\n{}", "\r\n\r\n{\"", "JSON", 400}, // cut off by a length that is wrong
		{"Content-Length: 2\r\n\r\n{}", "Content-Length: 0\r\n\r\n", "JSON", 400},
		{"Content-Length: 2\r\n", "Content-Length: 2\r\nContent-Length: 2\r\n", "", 400},
		{"Content-Length: 2\r\n", "Content-Length: -2\r\n", "", 400},
		{"Content-Length: 2\r\n\r\n{}", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "length", 400},
		{"Content-Length: 2\r\n", "Content-Length: x\r\n", "", 400},
		{"Content-Length: 2\r\n", "Content-Length: 999999\r\n", "", 413},
	}
	for _, tt := range tests {
		c := start(t)
		r, body, _ := ask(t, c, strings.Replace(request("chat", "", "{}"), tt.old, tt.new, 1))
		if r.StatusCode != tt.code || !strings.Contains(body, tt.reason) {
			t.Errorf("%q: %s, %q", tt.new, r.Status, body)
		}
		// What follows a request with an unclear end must not be taken for another.
		if tt.reason != "nosuch" {
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Errorf("%q: the connection stays open", tt.new)
			}
		}
	}
}

// Clients keep coming for a while after SIGTERM, over open connections and new
// ones. They are served and told to close, and what runs at the end is finished.
func TestDrainingServerTakesWhatComesAndFinishesIt(t *testing.T) {
	writing, finish := make(chan struct{}, 9), make(chan struct{})
	s, addr := serve(t, engine(t, "r1", "reader", reads), engine(t, "w1", "writer", writes(func(seen) string {
		writing <- struct{}{}
		<-finish
		return whole()
	})))
	open := dial(t, addr)
	s.Drain()
	type answer struct {
		code  int
		body  string
		close bool
	}
	answers, ended := make(chan answer, 2), make(chan error, 1)
	for _, c := range []net.Conn{open, dial(t, addr)} {
		id := fmt.Sprintf("X-Txn: %p", c)
		go func() {
			r, body, err := ask(t, c, strings.Replace(request("order", "", "{}"), "X-Txn: 9b1f", id, 1))
			if err != nil {
				t.Error(err)
			}
			answers <- answer{r.StatusCode, body, r.Close}
		}()
		<-writing
	}
	go func() { ended <- s.Shutdown(context.Background()) }()
	close(finish)
	want := answer{200, event1 + ending, true}
	if a, b := <-answers, <-answers; a != want || b != want {
		t.Errorf("got %+v and %+v, want %+v", a, b, want)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Clients and engines share the node's descriptors, so that the pool keeps to
// its part: it closes an idle connection for a new one, and opens none beyond.
func TestPoolKeepsToItsPartAndClosesWhatIsIdle(t *testing.T) {
	c := clock.NewManual(0)
	p := newPool(c, 2000, 1000, 2)
	get := func(addr string) *conn {
		t.Helper()
		got, err := p.get(context.Background(), addr, anyConn)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	first, second := listen(t).Addr().String(), listen(t).Addr().String()
	a, b := get(first), get(first)
	if _, err := p.get(context.Background(), second, anyConn); !errors.Is(err, errTooMany) {
		t.Errorf("a third connection: %v", err)
	}
	spare, err := p.get(context.Background(), second, newSpare) // for what is held
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.get(context.Background(), second, newSpare); !errors.Is(err, errTooMany) {
		t.Errorf("a second spare connection: %v", err)
	}
	p.discard(spare)
	p.put(a)
	c.Advance(1)
	p.put(b)
	other := get(second)
	if _, err := a.Write([]byte("x")); !errors.Is(err, net.ErrClosed) || p.open != 2 {
		t.Errorf("the oldest idle connection: %v; %d open", err, p.open)
	}
	if again := get(first); again != b {
		t.Error("an idle connection is not used again")
	}
	p.put(b)
	p.put(other)
	c.Advance(1000)
	p.sweep()
	if p.open != 2 {
		t.Errorf("%d open after the time that they may be idle, want 2", p.open)
	}
	c.Advance(1)
	p.sweep()
	if p.open != 0 || len(p.idle) != 0 {
		t.Errorf("%d open, idle %v", p.open, p.idle)
	}
}

// Only what has not left whole is proved not to have run.
func TestWhatAnAttemptWithoutAnAnswerProves(t *testing.T) {
	live, ended := context.Background(), func() context.Context {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return ctx
	}()
	tests := []struct {
		ctx   context.Context
		wrote bool
		err   error
		want  ashwood.Status
	}{
		{live, true, io.EOF, ashwood.ConnectionLost},
		{ended, true, context.Canceled, ashwood.ConnectionLost},
		{live, false, io.ErrShortWrite, ashwood.NoConnection},
		{ended, false, io.ErrShortWrite, ashwood.NotSent},
		{live, false, errNotReady, ashwood.NotSent},
		{live, false, errTooMany, ashwood.NotSent},
	}
	for _, tt := range tests {
		if got := failed(tt.ctx, tt.wrote, tt.err).Status; got != tt.want {
			t.Errorf("wrote %v, %v: %v, want %v", tt.wrote, tt.err, got, tt.want)
		}
	}
}

func TestProbeTellsTheLoad(t *testing.T) {
	e := NewEngines(settings(), clock.NewManual(0), 9)
	for _, tt := range []struct {
		name, answer string
		status       ashwood.Status
		report       ashwood.Report
	}{
		{"in the head", "HTTP/1.1 200 OK\r\nX-Pressure: inflight=3,x0=0.5\r\nContent-Length: 0\r\n\r\n",
			ashwood.Served, ashwood.Report{ashwood.ReportInFlight: 3, ashwood.ReportMemory: 0.5}},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("queue=2") + "0\r\n\r\n",
			ashwood.Served, ashwood.Report{ashwood.ReportQueue: 2}},
		{"an error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", ashwood.ServerError, nil},
		{"a reset", "\x00", ashwood.ConnectionLost, nil},
	} {
		v := engine(t, "w1", "writer", func(s seen) string {
			if s.Method != "GET" || s.Target != loadPath {
				t.Errorf("%s %s", s.Method, s.Target)
			}
			return tt.answer
		})
		status, report := e.Probe(context.Background(), v)
		if diff := cmp.Diff(tt.report, report); status != tt.status || diff != "" {
			t.Errorf("%s: status %v\n%s", tt.name, status, diff)
		}
	}
}

// Version 0 is a version: asking for the whole list in its place was answered
// at once, and went round without a pause.
func TestDiscoveryWatchesFromTheListInHand(t *testing.T) {
	asked := make(chan string, 9)
	list := func(version int, reset bool, state string) string {
		b := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s","hostPort":"a:1","lifecycle":%q}]}`, version, reset, state)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	const oops = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
	answers := []string{"\x00", list(7, false, "draining"), oops, oops, list(9, true, "up"), ""}
	peer := engine(t, "d", "", func(s seen) string {
		asked <- s.Target
		a := answers[0]
		answers = answers[1:]
		return a
	})
	type news struct {
		Form  ashwood.ListForm
		State ashwood.ServerState
	}
	told := make(chan news, 9)
	var logged bytes.Buffer
	d := NewDiscovery(peer.Address, clock.System(), slog.New(slog.NewTextHandler(&logged, nil)))
	update := func(f ashwood.ListForm, l []ashwood.Server) {
		told <- news{f, l[0].State}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.Known(0)
	go d.Run(ctx, update)
	got := []news{<-told, <-told}
	var targets []string
	for range 6 {
		target, _, _ := strings.Cut(<-asked, "&hold_ms=")
		targets = append(targets, target)
	}
	want := []news{{ashwood.ListPatch, ashwood.StateFading}, {ashwood.ListWhole, ashwood.StateOn}}
	const from = "/api/targets?from="
	if diff := cmp.Diff(want, got) + cmp.Diff([]string{from + "0", from + "0", from + "7", from + "7", from + "7", from + "9"}, targets); diff != "" {
		t.Error(diff)
	}
	// An outage is two lines, not ten a second for as long as it lasts.
	if n := strings.Count(logged.String(), "failed=2"); n != 1 || strings.Count(logged.String(), "no answer") > 2 {
		t.Errorf("logged:\n%s", logged.String())
	}
}

// On a reload discovery moves while a watch waits at the old address. The list
// in hand stays until the new one has answered, with the whole list.
func TestDiscoveryMovesInMidWatch(t *testing.T) {
	asked, speak := make(chan string, 9), make(chan struct{})
	peer := func(name string, answers ...string) ashwood.Server {
		return engine(t, name, "", func(s seen) string {
			asked <- name + " " + s.Target
			if len(answers) == 0 {
				return ""
			}
			if name == "new" {
				<-speak
			}
			a := answers[0]
			answers = answers[1:]
			return a
		})
	}
	list := func(id string) string {
		b := fmt.Sprintf(`{"generation":3,"reset":true,"instances":[{"instanceId":%q,"hostPort":"a:1","lifecycle":"up"}]}`, id)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	old, next := peer("old", list("a")), peer("new", list("b"))
	told := make(chan ashwood.ServerID, 9)
	d := NewDiscovery(old.Address, clock.System(), slog.New(slog.DiscardHandler))
	update := func(_ ashwood.ListForm, l []ashwood.Server) {
		told <- l[0].ID
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx, update)
	var targets []string
	for range 2 {
		targets = append(targets, <-asked)
	}
	d.Move(next.Address)
	targets = append(targets, <-asked)
	if a := <-told; a != "a" || len(told) > 0 {
		t.Errorf("told of %s, then %d more before the new address spoke", a, len(told))
	}
	close(speak)
	targets = append(targets, <-asked)
	if b := <-told; b != "b" {
		t.Errorf("told of %s", b)
	}
	const from = " /api/targets?from=3&hold_ms=2000"
	want := []string{"old /api/targets", "old" + from, "new /api/targets", "new" + from}
	if diff := cmp.Diff(want, targets); diff != "" {
		t.Error(diff)
	}
}

// Clients may keep connections that they never use again, or open many and say
// nothing. A new client gets in, and no connection with a request is closed.
func TestNewClientsGetInPastSilentConnections(t *testing.T) {
	writing, finish := make(chan struct{}, 9), make(chan struct{})
	s, addr := serve(t, engine(t, "r1", "reader", reads), engine(t, "w1", "writer", writes(func(seen) string {
		writing <- struct{}{}
		<-finish
		return whole()
	})))
	busy := dial(t, addr)
	io.WriteString(busy, request("order", "", "{}"))
	<-writing
	silent := dial(t, addr)
	for range s.limit {
		dial(t, addr)
	}
	if _, err := silent.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest silent connection got an answer")
	}
	close(finish)
	for name, c := range map[string]net.Conn{"busy": busy, "new": dial(t, addr)} {
		text := ""
		if name == "new" {
			text = strings.Replace(request("order", "", "{}"), "9b1f", "9b20", 1)
		}
		if r, body, err := ask(t, c, text); r.StatusCode != 200 || err != nil {
			t.Errorf("%s: %s, %q, %v", name, r.Status, body, err)
		}
	}
}

// A client that says nothing, half of a request or a little now and then is
// not waited for beyond the time for a whole request.
func TestRequestsThatNeverEndAreGivenUp(t *testing.T) {
	_, addr := serve(t)
	conns := []net.Conn{dial(t, addr), dial(t, addr), dial(t, addr)}
	io.WriteString(conns[1], request("chat", "", "{}")[:200])
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

// A kept connection may be dead unnoticed, and an order that is lost on it must
// not be sent again: it goes to its writer on a new one.
func TestOrdersGoOnNewConnections(t *testing.T) {
	conns := map[net.Conn]bool{}
	c := start(t, engine(t, "r1", "reader", reads), engine(t, "w1", "writer", func(s seen) string {
		if s.Method == "DELETE" || strings.HasPrefix(s.Target, roomsPath) {
			return freed
		}
		conns[s.conn] = true
		return whole()
	}))
	for range 3 {
		if r, _, err := ask(t, c, request("order", "", "{}")); r.StatusCode != 200 || err != nil {
			t.Errorf("%s, %v", r.Status, err)
		}
	}
	if len(conns) != 3 {
		t.Errorf("three orders came on %d connections", len(conns))
	}
}

// A release on a kept connection that has gone silent, is closed, or breaks off in mid-answer
// has not been made; the next goes on none that was there then.
func TestReleaseIsMadeAgainOnANewConnection(t *testing.T) {
	for name, fault := range map[string]string{"silent": "", "closed": "\x00", "cut short": "HTTP/1.1 20\x00", "no head": "\r\n\x00"} {
		e, got, answers := NewEngines(settings(), clock.System(), 9), make(chan net.Conn), make(chan string)
		v := engine(t, "w1", "writer", func(s seen) string {
			got <- s.conn
			return <-answers
		})
		ctx, cancel := context.WithCancel(context.Background())
		end := make(chan error, 2)
		release := func(fresh bool) net.Conn {
			go func() { end <- e.Release(ctx, v, "q", fresh) }()
			return <-got
		}
		kept := []net.Conn{release(false), release(false)} // two at once
		for range kept {
			answers <- freed
			if err := <-end; err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		if c := release(false); !slices.Contains(kept, c) {
			t.Errorf("%s: not on a kept connection", name)
		}
		if answers <- fault; fault == "" {
			cancel() // its owner has waited for long enough
		}
		if err := <-end; err == nil {
			t.Errorf("%s: a release without an answer counts", name)
		}
		ctx = context.Background()
		if c := release(true); slices.Contains(kept, c) {
			t.Errorf("%s: made again on a connection that was there", name)
		}
		answers <- freed
		if err := <-end; err != nil {
			t.Errorf("%s: made again: %v", name, err)
		}
		cancel()
	}
}

// Gateways of a large fleet wait for connections as long as they take of late; those of a
// small one for the time in the settings, as they did.
func TestConnectsAreWaitedForAsLongAsTheyTake(t *testing.T) {
	for nodes, want := range map[int]float64{300: 400, 4: 2000} {
		set := settings()
		set.Nodes = nodes
		e := NewEngines(set, clock.NewManual(1), 99) // on which each takes no time
		addr := listen(t).Addr().String()
		for range 20 {
			c, err := e.pool.get(context.Background(), addr, newConn)
			if err != nil {
				t.Fatal(err)
			}
			e.pool.discard(c)
		}
		if w := e.pool.wait.Wait(); w != want {
			t.Errorf("%d gateways wait for %v ms, want %v", nodes, w, want)
		}
	}
}

// Where machines forget connections, most of the kept ones are dead: once one has
// shown, none is kept for a while.
func TestNoConnectionIsKeptAfterOneHasDied(t *testing.T) {
	c := clock.NewManual(1)
	p := newPool(c, 2000, 9000, 9)
	addr := listen(t).Addr().String()
	get := func() *conn {
		t.Helper()
		got, err := p.get(context.Background(), addr, anyConn)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	a, b := get(), get()
	p.broke(b) // a new one tells nothing of the kept
	p.put(a)
	p.put(b)
	if got := get(); got != b {
		t.Fatal("no connection is kept")
	}
	p.broke(b)
	p.discard(b)
	fresh := get()
	if fresh == a {
		t.Error("a kept connection is used after another had died")
	}
	if p.put(fresh); p.open != 1 {
		t.Errorf("%d open: a connection is kept", p.open)
	}
	c.Advance(doubtTime)
	if get() != a {
		t.Error("connections are not used again in time")
	}
}

// A watch may fall silent, or its list stop short, on a connection that stays
// open. Both are asked for again soon, and what had come of a list is not believed.
func TestDiscoveryThatStopsIsAskedAgain(t *testing.T) {
	list := func(state string) string {
		b := fmt.Sprintf(`{"generation":8,"reset":false,"instances":[{"instanceId":"s","hostPort":"a:1","lifecycle":%q}]}`, state)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	answers := []string{"", list("up")[:90], list("draining")}
	peer := engine(t, "d", "", func(seen) string {
		a := answers[0]
		if len(answers) > 1 {
			answers = answers[1:]
		}
		return a
	})
	told := make(chan ashwood.ServerState, 99)
	d := NewDiscovery(peer.Address, clock.System(), slog.New(slog.DiscardHandler))
	update := func(_ ashwood.ListForm, l []ashwood.Server) {
		told <- l[0].State
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.Known(7)
	go d.Run(ctx, update)
	if got := <-told; got != ashwood.StateFading {
		t.Errorf("told of state %v", got)
	}
}

// hasty is a clock on which waits are over at once, and are told.
type hasty struct {
	clock.Clock
	waits chan float64
}

func (h hasty) AfterFunc(ms float64, f func()) func() bool {
	h.waits <- ms
	return h.Clock.AfterFunc(0, f)
}

// A discovery that is asked serves a whole fleet. The first call is made at once, those after
// failures at waits that follow from its size and the seed; few gateways wait little, and so
// does one that has an agent of its own.
func TestCallsForListsAreSpreadOverTheFleet(t *testing.T) {
	const oops, list = "HTTP/1.1 503 Overbooked\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n" + `{"generation":8,"reset":false,"instances":[]}`
	for _, tt := range []struct {
		nodes int
		agent bool      // lists are pushed to one of its own
		most  []float64 // ms of the waits after four failures, a success, a failure
	}{
		{80, false, []float64{3200, 6400, 10000, 10000, 3200}},
		{4, false, []float64{160, 320, 640, 640, 160}},
		{1, false, []float64{100, 200, 400, 400, 100}},
		{300, true, []float64{100, 200, 200, 200, 100}},
	} {
		var first []float64
		for seed := range int64(2) {
			answers := []string{oops, oops, oops, oops, list, oops, ""}
			peer := engine(t, "d", "", func(seen) string {
				a := answers[0]
				answers = answers[1:]
				return a
			})
			c := hasty{clock.System(), make(chan float64, 9)}
			d := NewDiscovery(peer.Address, c, slog.New(slog.DiscardHandler))
			d.Known(7)
			d.Fleet(ashwood.Settings{Nodes: tt.nodes, Subscribe: !tt.agent}, seed)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go d.Run(ctx, func(ashwood.ListForm, []ashwood.Server) {})
			for n, most := range tt.most {
				wait := <-c.waits
				if n == 0 {
					first = append(first, wait)
				}
				if wait < most/2 || wait > most {
					t.Errorf("%d gateways, wait %d: %.0f ms, of %.0f", tt.nodes, n, wait, most)
				}
			}
		}
		if first[0] == first[1] {
			t.Errorf("%d gateways: two seeds wait %v ms alike", tt.nodes, first)
		}
	}
}

// An attempt given up in the moment in which it fails must not take the process
// down: what ends its connection then runs when the connection is cleared already.
// On one processor it runs after, each time.
func TestGivenUpInTheMomentOfAFailure(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	e := NewEngines(ashwood.Settings{}, clock.System(), 16)
	writer := engine(t, "w", "decode", func(seen) string { return "" })
	for i := range 50 {
		ctx, cancel := context.WithCancel(context.Background())
		ans := e.Send(ctx, gateway.Attempt{
			Request: &gateway.Request{Call: ashwood.Call{ID: ashwood.RequestID(fmt.Sprint(i))}, Method: "POST", Target: "/", Body: []byte("{}")},
			Engine:  writer, Remaining: 1000, Sent: func() {},
			Ready: func() bool {
				cancel()
				return false
			},
		})
		if ans.Status != ashwood.NotSent {
			t.Fatalf("try %d: %v, %v", i, ans.Status, ans.Err)
		}
		runtime.Gosched()
	}
}
