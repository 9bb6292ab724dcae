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

// An engine may close an idle connection. A request written to it would end with a reset.
func TestPool_IdleConnectionClosedByEngine(t *testing.T) {
	requests := make(chan engineRequest, 9)
	c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(s engineRequest) string {
		requests <- s
		return fullStream() + "\x00" // and closes it
	})))
	for n := range 3 {
		r, body, err := roundTrip(t, c, withID(requestText("order", "", "{}"), n))
		s := <-requests
		s.conn.Read(make([]byte, 1)) // returns when the connection is closed
		if r.StatusCode != 200 || err != nil {
			t.Fatalf("status %s, body %q, error %v", r.Status, body, err)
		}
	}
}

// Connections to clients and to engines share the process's file descriptors, so the pool keeps
// to its limit: it closes an idle connection for a new one, and opens none beyond the limit.
func TestPool_LimitAndIdleTimeout(t *testing.T) {
	c := clock.NewManual(0)
	p := newConnPool(c, 2000, 1000, 2)
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
	if _, err := p.get(context.Background(), second, anyConn); !errors.Is(err, errTooManyConns) {
		t.Errorf("a third connection: error %v, want errTooManyConns", err)
	}
	overLimit, err := p.get(context.Background(), second, newConnOverLimit) // as for a release
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.get(context.Background(), second, newConnOverLimit); !errors.Is(err, errTooManyConns) {
		t.Errorf("a second connection over the limit: error %v, want errTooManyConns", err)
	}
	p.discard(overLimit)
	p.put(a, 0)
	c.Advance(1)
	p.put(b, 0)
	other := get(second)
	if _, err := a.Write([]byte("x")); !errors.Is(err, net.ErrClosed) || p.open != 2 {
		t.Errorf("write to the oldest idle connection: error %v, want net.ErrClosed; %d open, want 2", err, p.open)
	}
	if again := get(first); again != b {
		t.Error("an idle connection is not reused")
	}
	p.put(b, 0)
	p.put(other, 0)
	c.Advance(1000)
	p.sweep()
	if p.open != 2 {
		t.Errorf("%d open at the idle timeout, want 2", p.open)
	}
	c.Advance(1)
	p.sweep()
	if p.open != 0 || len(p.idle) != 0 {
		t.Errorf("after the idle timeout: %d open, idle %v, want none", p.open, p.idle)
	}
}

// An engine may send surplus bytes some ms after the end of a stream. The connection is not
// reused for that long, and not at all if surplus bytes have arrived by then.
func TestPool_ExtraBytesAfterStream(t *testing.T) {
	c, l := clock.NewManual(0), listen(t)
	p, addr := newConnPool(c, 2000, 1000, 9), l.Addr().String()
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
	p.put(first, streamReuseDelay)
	c.Advance(streamReuseDelay - 1)
	other := take()
	if other == first {
		t.Fatal("the connection is reused while surplus bytes may still arrive")
	}
	io.WriteString(peer, fullStream())
	if _, err := first.reader.Peek(1); err != nil { // it has arrived, but the pool has not seen it
		t.Fatal(err)
	}
	first.reader.Reset(first.Conn)
	io.WriteString(peer, "more")
	c.Advance(1)
	waitFor(t, "the surplus bytes have arrived", func() bool { return !first.isOpen() })
	if got := take(); got == first || p.open != 2 {
		t.Errorf("connection with surplus bytes reused: %v; %d open, want 2", got == first, p.open)
	}
	p.put(other, 0)
	if got := take(); got != other {
		t.Error("a connection without a reuse delay is not reused at once")
	}
}

func dialError(err error) error {
	return &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)}
}

// Only a request that was not written completely is known not to have run.
func TestFailedAnswer_Status(t *testing.T) {
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
		{live, false, errTooManyConns, ashwood.StatusNotSent},
		{live, false, dialError(syscall.ECONNREFUSED), ashwood.StatusConnectFailed},
		{live, false, dialError(syscall.EMFILE), ashwood.StatusNotSent}, // an error of this machine, which says nothing about the engine
		{live, false, dialError(syscall.EADDRNOTAVAIL), ashwood.StatusNotSent},
		{live, false, dialError(syscall.ENETUNREACH), ashwood.StatusNotSent},
		{live, true, dialError(syscall.ENOBUFS), ashwood.StatusConnectionLost},
	}
	for _, tt := range tests {
		if got := failedAnswer(tt.ctx, tt.wrote, tt.err).Status; got != tt.want {
			t.Errorf("written %v, error %v: status %v, want %v", tt.wrote, tt.err, got, tt.want)
		}
	}
}

func TestProbe_LoadReport(t *testing.T) {
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
		target := scriptedEngine(t, "w1", "writer", func(s engineRequest) string {
			if s.Method != "GET" || s.Target != loadReportPath {
				t.Errorf("probe sent as %s %s", s.Method, s.Target)
			}
			return tt.answer
		})
		status, report := e.Probe(context.Background(), target)
		if diff := cmp.Diff(tt.report, report); status != tt.status || diff != "" {
			t.Errorf("%s: status %v, report differs:\n%s", tt.name, status, diff)
		}
	}
}

// An idle connection may be dead without the gateway knowing, and a request with a side effect
// that is lost on it must not be resent. It goes to its decode engine on a new connection.
func TestSend_SideEffectsUseNewConnections(t *testing.T) {
	conns := map[net.Conn]bool{}
	c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", func(s engineRequest) string {
		if s.Method == "DELETE" || strings.HasPrefix(s.Target, holdsPath) {
			return releasedResponse
		}
		conns[s.conn] = true
		return fullStream()
	}))
	for n := range 3 {
		if r, _, err := roundTrip(t, c, withID(requestText("order", "", "{}"), n)); r.StatusCode != 200 || err != nil {
			t.Errorf("status %s, error %v", r.Status, err)
		}
	}
	if len(conns) != 3 {
		t.Errorf("three requests with a side effect used %d connections, want 3", len(conns))
	}
}

// A release fails if its reused connection is silent, is closed, or breaks off within the
// response. The next try uses none of the connections that were open then.
func TestRelease_RetryOnNewConnection(t *testing.T) {
	for name, fault := range map[string]string{"silent": "", "closed": "\x00", "cut short": "HTTP/1.1 20\x00", "no header": "\r\n\x00"} {
		e, conns, answers := NewEngines(testSettings(), clock.System(), 9), make(chan net.Conn), make(chan string)
		target := scriptedEngine(t, "w1", "writer", func(s engineRequest) string {
			conns <- s.conn
			return <-answers
		})
		ctx, cancel := context.WithCancel(context.Background())
		results := make(chan error, 2)
		release := func(newConnection bool) net.Conn {
			go func() { results <- e.Release(ctx, target, "q", newConnection) }()
			return <-conns
		}
		idle := []net.Conn{release(false), release(false)} // two at the same time
		for range idle {
			answers <- releasedResponse
			if err := <-results; err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		if c := release(false); !slices.Contains(idle, c) {
			t.Errorf("%s: the release did not use an idle connection", name)
		}
		if answers <- fault; fault == "" {
			cancel() // as the caller does after its timeout
		}
		if err := <-results; err == nil {
			t.Errorf("%s: a release without a complete response reports success", name)
		}
		ctx = context.Background()
		if c := release(true); slices.Contains(idle, c) {
			t.Errorf("%s: the retry used an old connection", name)
		}
		answers <- releasedResponse
		if err := <-results; err != nil {
			t.Errorf("%s: the retry failed: %v", name, err)
		}
		cancel()
	}
}

// In a large fleet the connect timeout adapts to recent connects. In a small one it stays
// at the value from the settings.
func TestConnectTimeout_ByFleetSize(t *testing.T) {
	for nodes, want := range map[int]float64{300: 400, 4: 2000} {
		config := testSettings()
		config.Nodes = nodes
		e := NewEngines(config, clock.NewManual(1), 99) // a clock on which a connect takes no time
		addr := listen(t).Addr().String()
		for range 20 {
			c, err := e.pool.get(context.Background(), addr, newConn)
			if err != nil {
				t.Fatal(err)
			}
			e.pool.discard(c)
		}
		if w := e.pool.connectTimeout.Timeout(); w != want {
			t.Errorf("%d gateways: connect timeout %v ms, want %v", nodes, w, want)
		}
	}
}

// If a machine on the path has dropped its connection state, most idle connections are dead.
// Once one proves dead, none is kept or reused for noReusePeriod.
func TestPool_NoReuseAfterDeadConnection(t *testing.T) {
	c := clock.NewManual(1)
	p := newConnPool(c, 2000, 9000, 9)
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
	p.reportBroken(b) // a connection that was never idle says nothing about the idle ones
	p.put(a, 0)
	p.put(b, 0)
	if got := get(); got != b {
		t.Fatal("an idle connection is not reused")
	}
	p.reportBroken(b)
	p.discard(b)
	fresh := get()
	if fresh == a {
		t.Error("an idle connection is reused after another proved dead")
	}
	if p.put(fresh, 0); p.open != 1 {
		t.Errorf("%d open, want 1: a connection is kept after another proved dead", p.open)
	}
	c.Advance(noReusePeriod)
	if get() != a {
		t.Error("an idle connection is not reused after noReusePeriod")
	}
}

// An attempt whose context is cancelled at the moment in which it fails must not crash the
// process: the cancellation callback may run after the connection variable has been set to nil.
// With one processor it runs after that every time.
func TestSend_CancelDuringFailure(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	e := NewEngines(ashwood.Settings{}, clock.System(), 16)
	target := scriptedEngine(t, "w", "decode", func(engineRequest) string { return "" })
	for i := range 50 {
		ctx, cancel := context.WithCancel(context.Background())
		answer := e.Send(ctx, gateway.Attempt{
			Request: &gateway.Request{RequestInfo: ashwood.RequestInfo{ID: ashwood.RequestID(fmt.Sprint(i))}, Method: "POST", Target: "/", Body: []byte("{}")},
			Engine:  target, Remaining: 1000, OnSent: func() {},
			MayWrite: func() bool {
				cancel()
				return false
			},
		})
		if answer.Status != ashwood.StatusNotSent {
			t.Fatalf("attempt %d: status %v, error %v", i, answer.Status, answer.Err)
		}
		runtime.Gosched()
	}
}

// While two processes serve one gateway, each may have half of the connections to engines.
func TestPool_SharedBetweenProcesses(t *testing.T) {
	target := scriptedEngine(t, "e", "", func(engineRequest) string { return "HTTP/1.1 204 No Content\r\n\r\n" })
	p := newConnPool(clock.System(), 1000, 15000, 4)
	var conns []*engineConn
	for range 4 {
		c, err := p.get(t.Context(), target.Address, anyConn)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	p.put(conns[0], 0)
	p.setProcesses(2)
	if p.open != 3 {
		t.Errorf("%d open, want 3: an idle connection beyond the process limit stays open", p.open)
	}
	p.put(conns[1], 0) // beyond the process limit: it is closed
	p.put(conns[2], 0)
	if p.open != 2 || len(p.idle[target.Address]) != 1 {
		t.Errorf("%d open, %d of them idle, want 2 and 1", p.open, len(p.idle[target.Address]))
	}
	p.setProcesses(1)
	if p.processLimit != 4 {
		t.Errorf("%d for a single process, want 4", p.processLimit)
	}
	p.put(conns[3], 0)
	p.close()
}
