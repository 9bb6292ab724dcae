package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/release"
)

// peer is a scripted transport. It notes what it is asked to do.
type fakeTransport struct {
	mu               sync.Mutex
	calls            []string
	results          map[ashwood.ServerID][]AttemptResult // by engine, in order; none left = hang until called off
	reserveResult    ReserveResult
	recordReleases   bool                      // in the log, beside the sends
	unsent           bool                      // a hanging attempt's last byte never leaves
	hanging          chan struct{}             // gets a value when an attempt begins to hang
	releasedAt       chan string               // gets each engine told to let go
	refuseReleases   map[ashwood.ServerID]int  // releases that fail to connect
	silentFor        map[ashwood.ServerID]int  // releases written to a connection gone silent
	answersNothing   map[ashwood.ServerID]bool // engines that take releases and answer none
	readsNothing     map[ashwood.ServerID]bool // engines that let calls be written and read none
	localFailures    int                       // calls that this machine can't make
	takenReleases    []release.Key             // that engines have taken
	freshConnections []bool                    // whether each release was to go on a new connection
	probed           chan string               // gets each engine asked for its load
	loadReport       ashwood.Report            // what probes tell
	muteProbes       bool                      // for probes
	gatewayCount     int                       // gateways, one by default; with more, loads are asked for
	reserving        chan struct{}             // gets a value when a place is asked for
	reserveGate      chan struct{}             // if set, a place is answered when it closes
	beforeWrite      func(ashwood.Server)      // called when an attempt is about to be written
	remainingTimes   []float64                 // times that attempts tell their engines
}

func (p *fakeTransport) recordedCalls() (list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.calls)
}

func (p *fakeTransport) record(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, fmt.Sprintf(format, a...))
}

func (p *fakeTransport) Send(ctx context.Context, a Attempt) AttemptResult {
	p.record("send %s", a.Engine.ID)
	if p.beforeWrite != nil {
		p.beforeWrite(a.Engine)
	}
	if !a.MayWrite() {
		return AttemptResult{Result: ashwood.Result{Status: ashwood.NotSent}}
	}
	p.mu.Lock()
	p.remainingTimes = append(p.remainingTimes, a.Remaining)
	list := p.results[a.Engine.ID]
	if len(list) > 0 {
		p.results[a.Engine.ID] = list[1:]
	}
	p.mu.Unlock()
	if !p.unsent && (len(list) == 0 || list[0].Status != ashwood.NoConnection) {
		a.OnSent()
	}
	if len(list) > 0 {
		if s, ok := list[0].Stream.(*hangingStream); ok {
			s.ctx = ctx
		}
		return list[0]
	}
	p.hanging <- struct{}{}
	<-ctx.Done()
	st := ashwood.ConnectionLost
	if p.unsent {
		st = ashwood.NotSent
	}
	return AttemptResult{Result: ashwood.Result{Status: st}}
}

func (p *fakeTransport) Reserve(_ context.Context, _ ashwood.Server, _ ashwood.RequestID, _ func() bool) ReserveResult {
	p.reserving <- struct{}{}
	if p.reserveGate != nil {
		<-p.reserveGate
	}
	return p.reserveResult
}

func (p *fakeTransport) Release(ctx context.Context, v ashwood.Server, id ashwood.RequestID, fresh bool) error {
	p.mu.Lock()
	p.freshConnections = append(p.freshConnections, fresh)
	if p.localFailures > 0 {
		p.localFailures--
		p.mu.Unlock()
		return fmt.Errorf("no socket: %w", ErrLocalFailure)
	}
	if p.silentFor[v.ID] > 0 {
		p.silentFor[v.ID]--
		p.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	defer p.mu.Unlock()
	if p.readsNothing[v.ID] {
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()
		return ErrUnanswered
	}
	if p.refuseReleases[v.ID] > 0 {
		p.refuseReleases[v.ID]--
		return errors.New("no connection")
	}
	p.releasedAt <- string(v.ID)
	p.takenReleases = append(p.takenReleases, release.Key{Engine: v.ID, Request: id})
	if p.recordReleases {
		p.calls = append(p.calls, "free "+string(v.ID))
	}
	if p.answersNothing[v.ID] {
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()
		return ErrUnanswered
	}
	return nil
}

func (p *fakeTransport) Probe(ctx context.Context, v ashwood.Server) (ashwood.Status, ashwood.Report) {
	p.probed <- string(v.ID)
	p.mu.Lock()
	local := p.localFailures > 0
	p.mu.Unlock()
	if local {
		return ashwood.NotSent, nil
	}
	if p.muteProbes {
		<-ctx.Done()
		return ashwood.ConnectionLost, nil
	}
	return ashwood.Served, p.loadReport
}

// pieces is a stream that ends with err.
type pieceStream struct {
	remaining []string
	err       error
	closed    bool
}

func (s *pieceStream) Next() ([]byte, error) {
	if len(s.remaining) == 0 {
		return nil, s.err
	}
	p := s.remaining[0]
	s.remaining = s.remaining[1:]
	return []byte(p), nil
}

func (s *pieceStream) Report() ashwood.Report { return nil }
func (s *pieceStream) Close() error           { s.closed = true; return nil }

func resultOf(st ashwood.Status) AttemptResult {
	return AttemptResult{Result: ashwood.Result{Status: st}}
}
func streamResult(err error, left ...string) AttemptResult {
	return AttemptResult{Result: ashwood.Result{Status: ashwood.Served}, Stream: &pieceStream{remaining: left, err: err}}
}

func startManualClock(t *testing.T, p *fakeTransport) (*Gateway, *clock.Manual) {
	t.Helper()
	c := clock.NewManual(1e12)
	return startGateway(t, p, c), c
}

func startGateway(t *testing.T, p *fakeTransport, c Clock) *Gateway {
	t.Helper()
	p.hanging, p.releasedAt, p.reserving = make(chan struct{}, 99), make(chan string, 99), make(chan struct{}, 99)
	p.probed = make(chan string, 99)
	class := func(name string, e ashwood.Effect) ashwood.Class {
		return ashwood.Class{Name: name, Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: e}
	}
	g, err := New(ashwood.Settings{
		Nodes: max(p.gatewayCount, 1), Ahead: true, Reports: ashwood.ReportInline,
		Kinds: []ashwood.Kind{{Name: "r", Role: ashwood.RoleRead, MemoryTokens: 1e5}, {Name: "w", Role: ashwood.RoleWrite, MemoryTokens: 1e5}},
		Classes: []ashwood.Class{class("chat", ashwood.Pure), class("order", ashwood.SideEffect), {
			Name: "quote", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: ashwood.Token, Group: ashwood.ScopeAll, Window: time.Second}},
		Limits: ashwood.Limits{MaxAttempts: 6, Cancel: true, Probes: p.gatewayCount > 1, RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond},
		Rules:  ashwood.Rules{Release: 500 * time.Millisecond},
	}, 1, p, c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	g.UpdateMembership(ashwood.ListWhole, []ashwood.Server{
		{ID: "r1", Kind: "r", State: ashwood.StateOn}, {ID: "w1", Kind: "w", State: ashwood.StateOn}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	return g
}
