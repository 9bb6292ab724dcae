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
type peer struct {
	mu        sync.Mutex
	log       []string
	answers   map[ashwood.ServerID][]AttemptResult // by engine, in order; none left = hang until called off
	place     ReserveResult
	noteFrees bool                      // in the log, beside the sends
	unsent    bool                      // a hanging attempt's last byte never leaves
	hanging   chan struct{}             // gets a value when an attempt begins to hang
	freed     chan string               // gets each engine told to let go
	refuse    map[ashwood.ServerID]int  // releases that fail to connect
	silent    map[ashwood.ServerID]int  // releases written to a connection gone silent
	hung      map[ashwood.ServerID]bool // engines that take releases and answer none
	stopped   map[ashwood.ServerID]bool // engines that let calls be written and read none
	local     int                       // calls that this machine can't make
	releases  []release.Key             // that engines have taken
	fresh     []bool                    // whether each release was to go on a new connection
	probed    chan string               // gets each engine asked for its load
	load      ashwood.Report            // what probes tell
	mute      bool                      // for probes
	nodes     int                       // gateways, one by default; with more, loads are asked for
	asked     chan struct{}             // gets a value when a place is asked for
	answer    chan struct{}             // if set, a place is answered when it closes
	before    func(ashwood.Server)      // called when an attempt is about to be written
	told      []float64                 // times that attempts tell their engines
}

func (p *peer) sends() (list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.log)
}

func (p *peer) note(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log = append(p.log, fmt.Sprintf(format, a...))
}

func (p *peer) Send(ctx context.Context, a Attempt) AttemptResult {
	p.note("send %s", a.Engine.ID)
	if p.before != nil {
		p.before(a.Engine)
	}
	if !a.MayWrite() {
		return AttemptResult{Result: ashwood.Result{Status: ashwood.StatusNotSent}}
	}
	p.mu.Lock()
	p.told = append(p.told, a.Remaining)
	list := p.answers[a.Engine.ID]
	if len(list) > 0 {
		p.answers[a.Engine.ID] = list[1:]
	}
	p.mu.Unlock()
	if !p.unsent && (len(list) == 0 || list[0].Status != ashwood.StatusConnectFailed) {
		a.OnSent()
	}
	if len(list) > 0 {
		if s, ok := list[0].Stream.(*stalls); ok {
			s.ctx = ctx
		}
		return list[0]
	}
	p.hanging <- struct{}{}
	<-ctx.Done()
	st := ashwood.StatusConnectionLost
	if p.unsent {
		st = ashwood.StatusNotSent
	}
	return AttemptResult{Result: ashwood.Result{Status: st}}
}

func (p *peer) Reserve(_ context.Context, _ ashwood.Server, _ ashwood.RequestID, _ func() bool) ReserveResult {
	p.asked <- struct{}{}
	if p.answer != nil {
		<-p.answer
	}
	return p.place
}

func (p *peer) Release(ctx context.Context, v ashwood.Server, id ashwood.RequestID, fresh bool) error {
	p.mu.Lock()
	p.fresh = append(p.fresh, fresh)
	if p.local > 0 {
		p.local--
		p.mu.Unlock()
		return fmt.Errorf("no socket: %w", ErrLocalFailure)
	}
	if p.silent[v.ID] > 0 {
		p.silent[v.ID]--
		p.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	defer p.mu.Unlock()
	if p.stopped[v.ID] {
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()
		return ErrUnanswered
	}
	if p.refuse[v.ID] > 0 {
		p.refuse[v.ID]--
		return errors.New("no connection")
	}
	p.freed <- string(v.ID)
	p.releases = append(p.releases, release.Key{Engine: v.ID, Request: id})
	if p.noteFrees {
		p.log = append(p.log, "free "+string(v.ID))
	}
	if p.hung[v.ID] {
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()
		return ErrUnanswered
	}
	return nil
}

func (p *peer) Probe(ctx context.Context, v ashwood.Server) (ashwood.Status, ashwood.Report) {
	p.probed <- string(v.ID)
	p.mu.Lock()
	local := p.local > 0
	p.mu.Unlock()
	if local {
		return ashwood.StatusNotSent, nil
	}
	if p.mute {
		<-ctx.Done()
		return ashwood.StatusConnectionLost, nil
	}
	return ashwood.StatusServed, p.load
}

// pieces is a stream that ends with err.
type pieces struct {
	left   []string
	err    error
	closed bool
}

func (s *pieces) Next() ([]byte, error) {
	if len(s.left) == 0 {
		return nil, s.err
	}
	p := s.left[0]
	s.left = s.left[1:]
	return []byte(p), nil
}

func (s *pieces) Report() ashwood.Report { return nil }
func (s *pieces) Close() error           { s.closed = true; return nil }

func answer(st ashwood.Status) AttemptResult {
	return AttemptResult{Result: ashwood.Result{Status: st}}
}
func streams(err error, left ...string) AttemptResult {
	return AttemptResult{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: &pieces{left: left, err: err}}
}

func start(t *testing.T, p *peer) (*Gateway, *clock.Manual) {
	t.Helper()
	c := clock.NewManual(1e12)
	return startAt(t, p, c), c
}

func startAt(t *testing.T, p *peer, c Clock) *Gateway {
	t.Helper()
	p.hanging, p.freed, p.asked = make(chan struct{}, 99), make(chan string, 99), make(chan struct{}, 99)
	p.probed = make(chan string, 99)
	class := func(name string, e ashwood.Effect) ashwood.Class {
		return ashwood.Class{Name: name, Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: e}
	}
	g, err := New(ashwood.Settings{
		Nodes: max(p.nodes, 1), Reservations: true, Reports: ashwood.ReportInline,
		Kinds: []ashwood.Kind{{Name: "r", Role: ashwood.RoleRead, MemoryTokens: 1e5}, {Name: "w", Role: ashwood.RoleWrite, MemoryTokens: 1e5}},
		Classes: []ashwood.Class{class("chat", ashwood.Pure), class("order", ashwood.SideEffect), {
			Name: "quote", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: ashwood.TokenEffect, Group: ashwood.ScopeAll, Window: time.Second}},
		Limits: ashwood.Limits{MaxAttempts: 6, Cancel: true, Probes: p.nodes > 1, RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond},
		Rules:  ashwood.Rules{ReleaseTimeout: 500 * time.Millisecond},
	}, 1, p, c, slog.New(slog.DiscardHandler))
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
