package router

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
)

// fakeFleet is a prefill and a decode engine that a test controls, without sockets.
type fakeFleet struct {
	prefillGate chan struct{} // prefills wait until it closes; nil = answered at once
	decodeGate  chan struct{} // the same for the first piece of answers
	pieces      chan string   // of answers; closed = the answers are complete
	releaseGate chan struct{} // releases wait until it closes; nil = answered at once
	calls       chan string   // the calls to the fleet, in order

	mu          sync.Mutex
	held        map[ashwood.RequestID]map[ashwood.ServerID]bool
	closed      bool
	decodeSends map[ashwood.RequestID]int     // to the decode engine
	remaining   map[ashwood.RequestID]float64 // the last remaining time in ms sent to an engine
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{pieces: make(chan string, 99), calls: make(chan string, 9999), held: map[ashwood.RequestID]map[ashwood.ServerID]bool{}, decodeSends: map[ashwood.RequestID]int{}, remaining: map[ashwood.RequestID]float64{}}
}

func (f *fakeFleet) hold(id ashwood.RequestID, at ashwood.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held[id] == nil {
		f.held[id] = map[ashwood.ServerID]bool{}
	}
	f.held[id][at] = true
}

func (f *fakeFleet) countHeld() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, holders := range f.held {
		n += len(holders)
	}
	return n
}

func (f *fakeFleet) Send(ctx context.Context, a gateway.Attempt) gateway.AttemptResult {
	if !a.MayWrite() {
		return gateway.AttemptResult{Result: ashwood.Result{Status: ashwood.StatusNotSent}}
	}
	a.OnSent()
	f.mu.Lock()
	f.remaining[a.ID] = a.Remaining
	f.mu.Unlock()
	gate, call := f.decodeGate, "decode"
	if a.Prefill {
		gate, call = f.prefillGate, "prefill"
		f.hold(a.ID, a.Engine.ID)
	} else {
		f.mu.Lock()
		f.decodeSends[a.ID]++
		f.mu.Unlock()
	}
	f.calls <- call
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return gateway.AttemptResult{Result: ashwood.Result{Status: ashwood.StatusConnectionLost}, Err: context.Cause(ctx)}
		}
	}
	if a.Prefill {
		return gateway.AttemptResult{Result: ashwood.Result{Status: ashwood.StatusPrefilled}}
	}
	f.mu.Lock()
	delete(f.held, a.ID) // the first token ends all holds
	f.mu.Unlock()
	return gateway.AttemptResult{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: &scriptedStream{f.pieces, ctx}}
}

func (f *fakeFleet) Reserve(_ context.Context, engine ashwood.Server, id ashwood.RequestID, _ func() bool) gateway.ReserveResult {
	f.hold(id, engine.ID)
	f.calls <- "reserve"
	return gateway.ReserveHeld
}

func (f *fakeFleet) Release(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, _ bool) error {
	if f.releaseGate != nil {
		f.calls <- "release"
		select {
		case <-f.releaseGate:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if delete(f.held[id], engine.ID); len(f.held[id]) == 0 {
		delete(f.held, id)
	}
	return nil
}

func (f *fakeFleet) Probe(context.Context, ashwood.Server) (ashwood.Status, ashwood.Report) {
	return ashwood.StatusServed, nil
}

func (f *fakeFleet) RetainOnly([]ashwood.Server) {}

func (f *fakeFleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

type scriptedStream struct {
	source chan string
	ctx    context.Context
}

func (p *scriptedStream) Next() ([]byte, error) {
	select {
	case text, ok := <-p.source:
		if !ok {
			return nil, io.EOF
		}
		return []byte(text), nil
	case <-p.ctx.Done():
		return nil, context.Cause(p.ctx)
	}
}

func (p *scriptedStream) Report() ashwood.Report { return nil }
func (p *scriptedStream) Close() error           { return nil }

var testEngines = Static{
	{ID: "r", Kind: "prefill", Zone: "a", State: ashwood.StateActive, Weight: 1},
	{ID: "w", Kind: "decode", Zone: "a", State: ashwood.StateActive, Weight: 1},
}

func testSettings() ashwood.Settings {
	return ashwood.Settings{
		Nodes: 1, Zone: "a", Reservations: true,
		Kinds: []ashwood.Kind{{Name: "prefill", Role: ashwood.RolePrefill, MemoryTokens: 1e6}, {Name: "decode", Role: ashwood.RoleDecode, MemoryTokens: 1e6}},
		Classes: []ashwood.Class{
			{Name: "chat", Aim: time.Second, Deadline: 30 * time.Second, Worth: 1, Effect: ashwood.Pure},
			{Name: "order", Aim: time.Second, Deadline: 30 * time.Second, Worth: 1, Effect: ashwood.SideEffect},
		},
		Limits: ashwood.Limits{MaxAttempts: 6, Cancel: true, RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond},
		Rules:  ashwood.Rules{ReleaseTimeout: 500 * time.Millisecond},
	}
}

func startRouter(t *testing.T, f *fakeFleet, cfg Config, opts ...Option) *Router {
	t.Helper()
	cfg.Settings = testSettings()
	r, err := New(cfg, append([]Option{WithTransport(func(ashwood.Settings, gateway.Clock) (Transport, error) { return f, nil })}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

func newRequest(id, class string) *Request {
	return &Request{RequestInfo: ashwood.RequestInfo{ID: ashwood.RequestID(id), Class: class, Remaining: 20000, PromptTokens: 100, MaxOutputTokens: 50}}
}

func waitForCalls(t *testing.T, f *fakeFleet, calls ...string) {
	t.Helper()
	for _, want := range calls {
		for got := ""; got != want; {
			select {
			case got = <-f.calls:
			case <-time.After(20 * time.Second):
				t.Fatalf("no %s call within 20 s", want)
			}
		}
	}
}
