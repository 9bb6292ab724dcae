package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// An engine may close an idle connection; a request written to it would end as a reset.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	got := make(chan engineRequest, 9)
	c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(s engineRequest) string {
		got <- s
		return fullStream() + "\x00" // and closes it
	})))
	for range 3 {
		r, body, err := roundTrip(t, c, requestText("order", "", "{}"))
		s := <-got
		s.conn.Read(make([]byte, 1)) // until it is closed
		if r.StatusCode != 200 || err != nil {
			t.Fatalf("%s, %q, %v", r.Status, body, err)
		}
	}
}

// Clients and engines share the node's descriptors, so that the pool keeps to
// its part: it closes an idle connection for a new one, and opens none beyond.
func TestPoolKeepsToItsPartAndClosesWhatIsIdle(t *testing.T) {
	c := clock.NewManual(0)
	p := newPool(c, 2000, 1000, 2)
	get := func(addr string) *engineConn {
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
	p.put(a, 0)
	c.Advance(1)
	p.put(b, 0)
	other := get(second)
	if _, err := a.Write([]byte("x")); !errors.Is(err, net.ErrClosed) || p.open != 2 {
		t.Errorf("the oldest idle connection: %v; %d open", err, p.open)
	}
	if again := get(first); again != b {
		t.Error("an idle connection is not used again")
	}
	p.put(b, 0)
	p.put(other, 0)
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

// An engine may send more than belongs to a stream, some ms behind its end. The connection is
// not taken for that long, and what has come by then shows; none is used that brought more.
func TestASecondAnswerBehindAStreamIsNotTakenForTheNext(t *testing.T) {
	c, l := clock.NewManual(0), listen(t)
	p, addr := newPool(c, 2000, 1000, 9), l.Addr().String()
	take := func() *engineConn {
		t.Helper()
		got, err := p.get(t.Context(), addr, anyConn)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	first := take()
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	p.put(first, streamRest)
	c.Advance(streamRest - 1)
	other := take()
	if other == first {
		t.Fatal("taken while a second answer may be under way")
	}
	io.WriteString(peer, fullStream())
	if _, err := first.reader.Peek(1); err != nil { // it has come, unseen by the pool
		t.Fatal(err)
	}
	first.reader.Reset(first.Conn)
	io.WriteString(peer, "more")
	c.Advance(1)
	waitFor(t, "the second answer is seen", func() bool { return !first.alive() })
	if got := take(); got == first || p.open != 2 {
		t.Errorf("taken although it has brought more: %v, %d open", got == first, p.open)
	}
	p.put(other, 0)
	if got := take(); got != other {
		t.Error("one behind a short answer rests")
	}
}

func dialError(err error) error {
	return &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)}
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
		{live, true, io.EOF, ashwood.StatusConnectionLost},
		{ended, true, context.Canceled, ashwood.StatusConnectionLost},
		{live, false, io.ErrShortWrite, ashwood.StatusConnectFailed},
		{ended, false, io.ErrShortWrite, ashwood.StatusNotSent},
		{live, false, errNotReady, ashwood.StatusNotSent},
		{live, false, errTooMany, ashwood.StatusNotSent},
		{live, false, dialError(syscall.ECONNREFUSED), ashwood.StatusConnectFailed},
		{live, false, dialError(syscall.EMFILE), ashwood.StatusNotSent}, // this machine's, which says nothing of the engine
		{live, false, dialError(syscall.EADDRNOTAVAIL), ashwood.StatusNotSent},
		{live, false, dialError(syscall.ENETUNREACH), ashwood.StatusNotSent},
		{live, true, dialError(syscall.ENOBUFS), ashwood.StatusConnectionLost},
	}
	for _, tt := range tests {
		if got := failed(tt.ctx, tt.wrote, tt.err).Status; got != tt.want {
			t.Errorf("wrote %v, %v: %v, want %v", tt.wrote, tt.err, got, tt.want)
		}
	}
}

func TestProbeTellsTheLoad(t *testing.T) {
	e := NewEngines(testSettings(), clock.NewManual(0), 9)
	for _, tt := range []struct {
		name, answer string
		status       ashwood.Status
		report       ashwood.Report
	}{
		{"in the head", "HTTP/1.1 200 OK\r\nX-Pressure: inflight=3,x0=0.5\r\nContent-Length: 0\r\n\r\n",
			ashwood.StatusServed, ashwood.Report{ashwood.ReportInFlight: 3, ashwood.ReportMemory: 0.5}},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encodeChunk("queue=2") + "0\r\n\r\n",
			ashwood.StatusServed, ashwood.Report{ashwood.ReportQueue: 2}},
		{"an error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", ashwood.StatusServerError, nil},
		{"a reset", "\x00", ashwood.StatusConnectionLost, nil},
	} {
		v := scriptedEngine(t, "w1", "writer", func(s engineRequest) string {
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

// A kept connection may be dead unnoticed, and an order that is lost on it must
// not be sent again: it goes to its writer on a new one.
func TestOrdersGoOnNewConnections(t *testing.T) {
	conns := map[net.Conn]bool{}
	c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", func(s engineRequest) string {
		if s.Method == "DELETE" || strings.HasPrefix(s.Target, holdsPath) {
			return releasedResponse
		}
		conns[s.conn] = true
		return fullStream()
	}))
	for range 3 {
		if r, _, err := roundTrip(t, c, requestText("order", "", "{}")); r.StatusCode != 200 || err != nil {
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
		e, got, answers := NewEngines(testSettings(), clock.System(), 9), make(chan net.Conn), make(chan string)
		v := scriptedEngine(t, "w1", "writer", func(s engineRequest) string {
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
			answers <- releasedResponse
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
		answers <- releasedResponse
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
		set := testSettings()
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
	get := func() *engineConn {
		t.Helper()
		got, err := p.get(context.Background(), addr, anyConn)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	a, b := get(), get()
	p.broke(b) // a new one tells nothing of the kept
	p.put(a, 0)
	p.put(b, 0)
	if got := get(); got != b {
		t.Fatal("no connection is kept")
	}
	p.broke(b)
	p.discard(b)
	fresh := get()
	if fresh == a {
		t.Error("a kept connection is used after another had died")
	}
	if p.put(fresh, 0); p.open != 1 {
		t.Errorf("%d open: a connection is kept", p.open)
	}
	c.Advance(doubtTime)
	if get() != a {
		t.Error("connections are not used again in time")
	}
}

// An attempt given up in the moment in which it fails must not take the process
// down: what ends its connection then runs when the connection is cleared already.
// On one processor it runs after, each time.
func TestGivenUpInTheMomentOfAFailure(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	e := NewEngines(ashwood.Settings{}, clock.System(), 16)
	writer := scriptedEngine(t, "w", "decode", func(engineRequest) string { return "" })
	for i := range 50 {
		ctx, cancel := context.WithCancel(context.Background())
		ans := e.Send(ctx, gateway.Attempt{
			Request: &gateway.Request{RequestInfo: ashwood.RequestInfo{ID: ashwood.RequestID(fmt.Sprint(i))}, Method: "POST", Target: "/", Body: []byte("{}")},
			Engine:  writer, Remaining: 1000, OnSent: func() {},
			MayWrite: func() bool {
				cancel()
				return false
			},
		})
		if ans.Status != ashwood.StatusNotSent {
			t.Fatalf("try %d: %v, %v", i, ans.Status, ans.Err)
		}
		runtime.Gosched()
	}
}

// While two processes serve one gateway, each keeps half of the connections to engines.
func TestPoolIsSharedBetweenProcesses(t *testing.T) {
	s := scriptedEngine(t, "e", "", func(engineRequest) string { return "HTTP/1.1 204 No Content\r\n\r\n" })
	p := newPool(clock.System(), 1000, 15000, 4)
	var conns []*engineConn
	for range 4 {
		c, err := p.get(t.Context(), s.Address, anyConn)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	p.put(conns[0], 0)
	p.share(2)
	if p.open != 3 {
		t.Errorf("%d open: an idle one beyond the part stays", p.open)
	}
	p.put(conns[1], 0) // beyond the part: it is closed
	p.put(conns[2], 0)
	if p.open != 2 || len(p.idle[s.Address]) != 1 {
		t.Errorf("%d open, %d of them idle", p.open, len(p.idle[s.Address]))
	}
	p.share(1)
	if p.max != 4 {
		t.Errorf("%d for one alone", p.max)
	}
	p.put(conns[3], 0)
	p.close()
}
