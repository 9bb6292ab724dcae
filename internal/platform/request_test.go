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

// headerRecorder is an engine that reports the headers of its requests and answers 202.
func headerRecorder(t *testing.T) (ashwood.Server, <-chan http.Header) {
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
					io.WriteString(nc, prefillResponse)
				}
			}()
		}
	}()
	return ashwood.Server{ID: "r1", Kind: "reader", State: ashwood.StateActive, Address: l.Addr().String()}, got
}

// A client's headers reach the engine unchanged: an idempotency key, for example. Hop-by-hop headers,
// those that frame the message and those that the gateway sets do not.
func TestForwardHeader_BothFronts(t *testing.T) {
	const extra = "Idempotency-Key: 7f:3a,\"b\"\r\nX-Mark: one\r\nX-Mark: two\r\nConnection: keep-alive\r\nKeep-Alive: timeout=9\r\n" +
		"TE: trailers\r\nContent-Type: application/json\r\nX-Org: payroll\r\n"
	want := map[string][]string{
		"Idempotency-Key": {`7f:3a,"b"`}, "X-Mark": {"one", "two"}, "Content-Type": {"application/json"}, "X-Txn": {"9b1f"},
		"X-Org": {"payroll"}, "X-Lane": {"chat"}, "Connection": nil, "Keep-Alive": nil, "Te": nil, "Content-Length": {"2"},
	}
	check := func(front string, h http.Header) {
		for name, values := range want {
			if !slices.Equal(h.Values(name), values) {
				t.Errorf("%s: %s reached the engine as %q, want %q", front, name, h.Values(name), values)
			}
		}
		if left, err := strconv.ParseFloat(h.Get(headerRemaining), 64); err != nil || left <= 0 || left > 15 {
			t.Errorf("%s: %s is %q", front, headerRemaining, h.Get(headerRemaining))
		}
	}
	engine, got := headerRecorder(t)
	c := startAndDial(t, engine)
	io.WriteString(c, requestText("chat", extra, "{}"))
	check("fasthttp", <-got)

	engine, got = headerRecorder(t)
	log, clk := slog.New(slog.DiscardHandler), clock.System()
	gw, err := gateway.New(testSettings(), 1, NewEngines(testSettings(), clk, 50), clk, log)
	if err != nil {
		t.Fatal(err)
	}
	gw.UpdateMembership(ashwood.MembershipSnapshot, []ashwood.Server{engine})
	go gw.Run(t.Context())
	host := httptest.NewServer(&NetHTTP{Handler: gw, Log: log})
	defer host.Close()
	nc := dialClient(t, host.Listener.Addr().String())
	io.WriteString(nc, requestText("chat", extra, "{}"))
	check("net/http", <-got)
	nc.Close()
}

// steppingClock advances by 100 ms each time it is read.
type steppingClock struct{ *clock.Manual }

func (s steppingClock) Now() float64 {
	s.Advance(100)
	return s.Manual.Now()
}

// The remaining time that an attempt sends to its engine is measured when the request is written: it
// excludes the time of the connect.
func TestSend_RemainingTimeAfterConnect(t *testing.T) {
	v, got := headerRecorder(t)
	c := steppingClock{clock.NewManual(0)}
	e := NewEngines(testSettings(), c, 9)
	answer := sendAsync(t.Context(), e, v)
	h := <-got
	if left, err := strconv.ParseFloat(h.Get(headerRemaining), 64); err != nil || left > 4.8 || left < 4 {
		t.Errorf("sent %q s of 5, although reading the clock took at least 0.2", h.Get(headerRemaining))
	}
	if a := <-answer; a.Status != ashwood.StatusPrefilled {
		t.Errorf("status %v, error %v", a.Status, a.Err)
	}
}
