package platform

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
	"log/slog"
)

// headers is an engine that tells the headers of what it is sent, and says 202.
func headers(t *testing.T) (ashwood.Server, <-chan http.Header) {
	t.Helper()
	l, got := listen(t), make(chan http.Header, 9)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			go func() {
				in := bufio.NewReader(nc)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if r.Method == http.MethodPost {
						got <- r.Header
					}
					io.WriteString(nc, parsed)
				}
			}()
		}
	}()
	return ashwood.Server{ID: "r1", Kind: "reader", State: ashwood.StateActive, Address: l.Addr().String()}, got
}

// What a client says of its request reaches the engine as it came: a key by which engines
// drop repeats, say. What is said to the next one on the way alone does not, nor what frames
// the message or is the gateway's to say.
func TestHeadersGoToTheEngineAsTheyCame(t *testing.T) {
	const extra = "Idempotency-Key: 7f:3a,\"b\"\r\nX-Mark: one\r\nX-Mark: two\r\nConnection: keep-alive\r\nKeep-Alive: timeout=9\r\n" +
		"TE: trailers\r\nContent-Type: application/json\r\nX-Org: payroll\r\n"
	want := map[string][]string{
		"Idempotency-Key": {`7f:3a,"b"`}, "X-Mark": {"one", "two"}, "Content-Type": {"application/json"}, "X-Txn": {"9b1f"},
		"X-Org": {"payroll"}, "X-Lane": {"chat"}, "Connection": nil, "Keep-Alive": nil, "Te": nil, "Content-Length": {"2"},
	}
	check := func(front string, h http.Header) {
		for name, values := range want {
			if !slices.Equal(h.Values(name), values) {
				t.Errorf("%s: %s reaches the engine as %q, want %q", front, name, h.Values(name), values)
			}
		}
		if left, err := strconv.ParseFloat(h.Get(headerRemaining), 64); err != nil || left <= 0 || left > 15 {
			t.Errorf("%s: %s is %q", front, headerRemaining, h.Get(headerRemaining))
		}
	}
	v, got := headers(t)
	c := startAndDial(t, v)
	io.WriteString(c, requestText("chat", extra, "{}"))
	check("fasthttp", <-got)

	v, got = headers(t)
	log, clk := slog.New(slog.DiscardHandler), clock.System()
	gw, err := gateway.New(testSettings(), 1, NewEngines(testSettings(), clk, 50), clk, log)
	if err != nil {
		t.Fatal(err)
	}
	gw.UpdateMembership(ashwood.MembershipSnapshot, []ashwood.Server{v})
	go gw.Run(t.Context())
	host := httptest.NewServer(&NetHTTP{Handler: gw, Log: log})
	defer host.Close()
	nc := dial(t, host.Listener.Addr().String())
	io.WriteString(nc, requestText("chat", extra, "{}"))
	check("net/http", <-got)
	nc.Close()
}

// slowly is a clock by which each look at it takes 100 ms.
type slowly struct{ *clock.Manual }

func (s slowly) Now() float64 {
	s.Advance(100)
	return s.Manual.Now()
}

// The time that an attempt tells its engine is what is left when it is written: the connect
// before has taken its part.
func TestAnAttemptTellsWhatIsLeftBehindItsConnect(t *testing.T) {
	v, got := headers(t)
	c := slowly{clock.NewManual(0)}
	e := NewEngines(testSettings(), c, 9)
	answer := attempt(t.Context(), e, v)
	h := <-got
	if left, err := strconv.ParseFloat(h.Get(headerRemaining), 64); err != nil || left > 4.8 || left < 4 {
		t.Errorf("told %q s of 5, although looks at the clock took at least 0.2", h.Get(headerRemaining))
	}
	if a := <-answer; a.Status != ashwood.StatusPrefilled {
		t.Errorf("ended as %v, %v", a.Status, a.Err)
	}
}
