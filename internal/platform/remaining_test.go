package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// Guards against an engine that is told more time than the client has left, as the look at the client's connection took some.
func TestSend_RemainingAfterWaitBeforeWrite(t *testing.T) {
	const wait, remaining = 250 * time.Millisecond, 2000.0
	told := make(chan string, 1)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get(headerRemaining)
		w.WriteHeader(http.StatusAccepted)
	}))
	defer engine.Close()
	e := NewEngines(testSettings(), clock.System(), 9)
	defer e.Close()
	e.Send(context.Background(), gateway.Attempt{
		Request: &gateway.Request{Method: "POST", Target: "/", RequestInfo: ashwood.RequestInfo{ID: "a"}}, Engine: ashwood.Server{ID: "r", Address: engine.Listener.Addr().String()}, Prefill: true,
		Remaining: remaining, OnSent: func() {},
		MayWrite: func() bool {
			<-time.After(wait)
			return true
		},
	})
	if seconds, err := strconv.ParseFloat(<-told, 64); err != nil || seconds*1000 > remaining-float64(wait.Milliseconds()) {
		t.Errorf("the engine was told %v s, %v; want %v ms less than %v", seconds, err, wait, remaining)
	}
}
