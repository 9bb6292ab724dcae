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

// fakeTransport is a scripted Transport that records the calls made to it.
type fakeTransport struct {
	mu               sync.Mutex
	calls            []string
	results          map[ashwood.ServerID][]AttemptResult // by engine, in order; none left = hang until cancelled
	reserveResult    ReserveResult
	recordReleases   bool                      // releases are recorded in calls too
	unsent           bool                      // the last byte of a hanging attempt is never written
	hanging          chan struct{}             // receives a value when an attempt begins to hang
	releasedAt       chan string               // receives each engine that takes a release
	refuseReleases   map[ashwood.ServerID]int  // by engine, number of releases that fail to connect
	silentFor        map[ashwood.ServerID]int  // by engine, number of releases that hang on a connection gone silent
	answersNothing   map[ashwood.ServerID]bool // engines that take releases and answer none of them
	readsNothing     map[ashwood.ServerID]bool // engines to which releases are written, but which read none
	localFailures    int                       // number of releases that fail on this machine; probes fail too while it is above 0
	takenReleases    []release.Key             // releases that engines have taken
	freshConnections []bool                    // for each release call, whether it demanded a new connection
	probed           chan string               // receives each engine that is probed
	loadReport       ashwood.Report            // result of probes
	muteProbes       bool                      // probes hang until cancelled
	gatewayCount     int                       // default 1; probes are allowed with more
	reserving        chan struct{}             // receives a value for each Reserve call
	reserveGate      chan struct{}             // if set, Reserve calls return once it is closed
	beforeWrite      func(ashwood.Server)      // called before an attempt is written
	remainingTimes   []float64                 // Remaining of each attempt
}

func (f *fakeTransport) recordedCalls() (list []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

func (f *fakeTransport) record(format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, fmt.Sprintf(format, a...))
}

func (f *fakeTransport) Send(ctx context.Context, a Attempt) AttemptResult {
	f.record("send %s", a.Engine.ID)
	if f.beforeWrite != nil {
		f.beforeWrite(a.Engine)
	}
	if !a.MayWrite() {
		return AttemptResult{Result: ashwood.Result{Status: ashwood.StatusNotSent}}
	}
	f.mu.Lock()
	f.remainingTimes = append(f.remainingTimes, a.Remaining)
	list := f.results[a.Engine.ID]
	if len(list) > 0 {
		f.results[a.Engine.ID] = list[1:]
	}
	f.mu.Unlock()
	if !f.unsent && (len(list) == 0 || list[0].Status != ashwood.StatusConnectFailed) {
		a.OnSent()
	}
	if len(list) > 0 {
		switch s := list[0].Stream.(type) {
		case *hangingStream:
			s.ctx = ctx
		case *resumingStream:
			s.ctx = ctx
		}
		return list[0]
	}
	f.hanging <- struct{}{}
	<-ctx.Done()
	status := ashwood.StatusConnectionLost
	if f.unsent {
		status = ashwood.StatusNotSent
	}
	return AttemptResult{Result: ashwood.Result{Status: status}}
}

func (f *fakeTransport) Reserve(_ context.Context, _ ashwood.Server, _ ashwood.RequestID, _ func() bool) ReserveResult {
	f.reserving <- struct{}{}
	if f.reserveGate != nil {
		<-f.reserveGate
	}
	return f.reserveResult
}

func (f *fakeTransport) Release(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, newConnection bool) error {
	f.mu.Lock()
	f.freshConnections = append(f.freshConnections, newConnection)
	if f.localFailures > 0 {
		f.localFailures--
		f.mu.Unlock()
		return fmt.Errorf("no socket: %w", ErrLocalFailure)
	}
	if f.silentFor[engine.ID] > 0 {
		f.silentFor[engine.ID]--
		f.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	defer f.mu.Unlock()
	if f.readsNothing[engine.ID] {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return ErrUnanswered
	}
	if f.refuseReleases[engine.ID] > 0 {
		f.refuseReleases[engine.ID]--
		return errors.New("no connection")
	}
	f.releasedAt <- string(engine.ID)
	f.takenReleases = append(f.takenReleases, release.Key{Engine: engine.ID, Request: id})
	if f.recordReleases {
		f.calls = append(f.calls, "free "+string(engine.ID))
	}
	if f.answersNothing[engine.ID] {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return ErrUnanswered
	}
	return nil
}

func (f *fakeTransport) Probe(ctx context.Context, engine ashwood.Server) (ashwood.Status, ashwood.Report) {
	f.probed <- string(engine.ID)
	f.mu.Lock()
	local := f.localFailures > 0
	f.mu.Unlock()
	if local {
		return ashwood.StatusNotSent, nil
	}
	if f.muteProbes {
		<-ctx.Done()
		return ashwood.StatusConnectionLost, nil
	}
	return ashwood.StatusServed, f.loadReport
}

// pieceStream is a stream of pieces that ends with err.
type pieceStream struct {
	remaining []string
	err       error
	closed    bool
}

func (s *pieceStream) Next() ([]byte, error) {
	if len(s.remaining) == 0 {
		return nil, s.err
	}
	piece := s.remaining[0]
	s.remaining = s.remaining[1:]
	return []byte(piece), nil
}

func (s *pieceStream) Report() ashwood.Report { return nil }
func (s *pieceStream) Close() error           { s.closed = true; return nil }

func resultOf(status ashwood.Status) AttemptResult {
	return AttemptResult{Result: ashwood.Result{Status: status}}
}
func streamResult(err error, pieces ...string) AttemptResult {
	return AttemptResult{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: &pieceStream{remaining: pieces, err: err}}
}

func startManualClock(t *testing.T, fake *fakeTransport) (*Gateway, *clock.Manual) {
	t.Helper()
	c := clock.NewManual(1e12)
	return startGateway(t, fake, c), c
}

func startGateway(t *testing.T, fake *fakeTransport, c Clock) *Gateway {
	t.Helper()
	fake.hanging, fake.releasedAt, fake.reserving = make(chan struct{}, 99), make(chan string, 99), make(chan struct{}, 99)
	fake.probed = make(chan string, 99)
	class := func(name string, e ashwood.Effect) ashwood.Class {
		return ashwood.Class{Name: name, Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: e}
	}
	g, err := New(ashwood.Settings{
		Nodes: max(fake.gatewayCount, 1), Reservations: true, Reports: ashwood.ReportInline,
		Kinds: []ashwood.Kind{{Name: "r", Role: ashwood.RolePrefill, MemoryTokens: 1e5}, {Name: "w", Role: ashwood.RoleDecode, MemoryTokens: 1e5}},
		Classes: []ashwood.Class{class("chat", ashwood.Pure), class("order", ashwood.SideEffect), {
			Name: "quote", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: ashwood.TokenEffect, Group: ashwood.ScopeAll, Window: time.Second}},
		Limits: ashwood.Limits{MaxAttempts: 6, Cancel: true, Probes: fake.gatewayCount > 1, RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond},
		Rules:  ashwood.Rules{ReleaseTimeout: 500 * time.Millisecond},
	}, 1, fake, c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	g.UpdateMembership(ashwood.MembershipSnapshot, []ashwood.Server{
		{ID: "r1", Kind: "r", State: ashwood.StateActive}, {ID: "w1", Kind: "w", State: ashwood.StateActive}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	return g
}
