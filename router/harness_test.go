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

// fleet is a reader and a writer that do what a test says, without sockets.
type fleet struct {
	reading chan struct{} // a read is out; nil = it is answered at once
	writing chan struct{} // the same of an answer's first piece
	pieces  chan string   // of answers; closed = whole
	letting chan struct{} // a release is out; nil = it is answered at once
	reached chan string   // what has been asked of the fleet, in order

	mu     sync.Mutex
	held   map[ashwood.RequestID]map[ashwood.ServerID]bool
	closed bool
	sends  map[ashwood.RequestID]int     // to the writer
	told   map[ashwood.RequestID]float64 // ms that engines were told last
}

func newFleet() *fleet {
	return &fleet{pieces: make(chan string, 99), reached: make(chan string, 9999), held: map[ashwood.RequestID]map[ashwood.ServerID]bool{}, sends: map[ashwood.RequestID]int{}, told: map[ashwood.RequestID]float64{}}
}

func (f *fleet) hold(id ashwood.RequestID, at ashwood.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held[id] == nil {
		f.held[id] = map[ashwood.ServerID]bool{}
	}
	f.held[id][at] = true
}

func (f *fleet) holds() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.held {
		n += len(at)
	}
	return n
}

func (f *fleet) Send(ctx context.Context, a gateway.Attempt) gateway.AttemptResult {
	if !a.MayWrite() {
		return gateway.AttemptResult{Result: ashwood.Result{Status: ashwood.StatusNotSent}}
	}
	a.OnSent()
	f.mu.Lock()
	f.told[a.ID] = a.Remaining
	f.mu.Unlock()
	wait, what := f.writing, "write"
	if a.Prefill {
		wait, what = f.reading, "read"
		f.hold(a.ID, a.Engine.ID)
	} else {
		f.mu.Lock()
		f.sends[a.ID]++
		f.mu.Unlock()
	}
	f.reached <- what
	if wait != nil {
		select {
		case <-wait:
		case <-ctx.Done():
			return gateway.AttemptResult{Result: ashwood.Result{Status: ashwood.StatusConnectionLost}, Err: context.Cause(ctx)}
		}
	}
	if a.Prefill {
		return gateway.AttemptResult{Result: ashwood.Result{Status: ashwood.StatusPrefilled}}
	}
	f.mu.Lock()
	delete(f.held, a.ID) // the first token lets go of all
	f.mu.Unlock()
	return gateway.AttemptResult{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: &pieces{f.pieces, ctx}}
}

func (f *fleet) Reserve(_ context.Context, v ashwood.Server, id ashwood.RequestID, _ func() bool) gateway.ReserveResult {
	f.hold(id, v.ID)
	f.reached <- "place"
	return gateway.ReserveHeld
}

func (f *fleet) Release(ctx context.Context, v ashwood.Server, id ashwood.RequestID, _ bool) error {
	if f.letting != nil {
		f.reached <- "release"
		select {
		case <-f.letting:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if delete(f.held[id], v.ID); len(f.held[id]) == 0 {
		delete(f.held, id)
	}
	return nil
}

func (f *fleet) Probe(context.Context, ashwood.Server) (ashwood.Status, ashwood.Report) {
	return ashwood.StatusServed, nil
}

func (f *fleet) RetainOnly([]ashwood.Server) {}

func (f *fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

type pieces struct {
	from chan string
	ctx  context.Context
}

func (p *pieces) Next() ([]byte, error) {
	select {
	case text, ok := <-p.from:
		if !ok {
			return nil, io.EOF
		}
		return []byte(text), nil
	case <-p.ctx.Done():
		return nil, context.Cause(p.ctx)
	}
}

func (p *pieces) Report() ashwood.Report { return nil }
func (p *pieces) Close() error           { return nil }

var boxes = Static{
	{ID: "r", Kind: "prefill", Zone: "a", State: ashwood.StateActive, Weight: 1},
	{ID: "w", Kind: "decode", Zone: "a", State: ashwood.StateActive, Weight: 1},
}

func settings() ashwood.Settings {
	return ashwood.Settings{
		Nodes: 1, Zone: "a", Reservations: true,
		Kinds: []ashwood.Kind{{Name: "prefill", Role: ashwood.RoleRead, MemoryTokens: 1e6}, {Name: "decode", Role: ashwood.RoleWrite, MemoryTokens: 1e6}},
		Classes: []ashwood.Class{
			{Name: "chat", Aim: time.Second, Deadline: 30 * time.Second, Worth: 1, Effect: ashwood.Pure},
			{Name: "order", Aim: time.Second, Deadline: 30 * time.Second, Worth: 1, Effect: ashwood.SideEffect},
		},
		Limits: ashwood.Limits{MaxAttempts: 6, Cancel: true, RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond},
		Rules:  ashwood.Rules{ReleaseTimeout: 500 * time.Millisecond},
	}
}

func start(t *testing.T, f *fleet, cfg Config, opts ...Option) *Router {
	t.Helper()
	cfg.Settings = settings()
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

func request(id, class string) *Request {
	return &Request{RequestInfo: ashwood.RequestInfo{ID: ashwood.RequestID(id), Class: class, Remaining: 20000, PromptTokens: 100, MaxOutputTokens: 50}}
}

func until(t *testing.T, f *fleet, what ...string) {
	t.Helper()
	for _, want := range what {
		for got := ""; got != want; {
			select {
			case got = <-f.reached:
			case <-time.After(20 * time.Second):
				t.Fatalf("nothing has asked for a %s", want)
			}
		}
	}
}
