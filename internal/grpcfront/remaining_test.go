package grpcfront

import (
	"context"
	"strconv"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// steppingClock is a clock that advances by 100 ms at each reading, as if a connect took that long.
type steppingClock struct{ *clock.Manual }

func (s steppingClock) Now() float64 {
	s.Advance(100)
	return s.Manual.Now()
}

// recordingEngine is an engine that records the remaining time that a prefill request carries.
type recordingEngine struct {
	ashwoodpb.UnimplementedBoxServer
	remaining chan string
}

func (l *recordingEngine) Read(ctx context.Context, _ *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	remaining := ""
	if md, ok := metadata.FromIncomingContext(ctx); ok && len(md.Get(metaRemaining)) == 1 {
		remaining = md.Get(metaRemaining)[0]
	}
	l.remaining <- remaining
	return &ashwoodpb.ReadResult{}, nil
}

// The remaining time that an attempt carries is computed once the connection is ready, not when
// the engine was chosen.
func TestRemaining_SlowConnect(t *testing.T) {
	engine := &recordingEngine{remaining: make(chan string, 1)}
	l, s := listen(t), grpc.NewServer()
	ashwoodpb.RegisterBoxServer(s, engine)
	go s.Serve(l)
	t.Cleanup(s.Stop)
	transport := NewEngines(testSettings(), insecure.NewCredentials(), steppingClock{clock.NewManual(0)})
	t.Cleanup(transport.Close)
	answer := transport.Send(t.Context(), gateway.Attempt{
		Request: &gateway.Request{RequestInfo: ashwood.RequestInfo{ID: "q", Class: "case-chat"}},
		Engine:  ashwood.Server{ID: "r1", Kind: "prefill", Address: l.Addr().String()}, Prefill: true, Remaining: 5000,
		MayWrite: func() bool { return true }, OnSent: func() {},
	})
	if answer.Status != ashwood.StatusPrefilled {
		t.Fatalf("status %v, error %v", answer.Status, answer.Err)
	}
	remaining := <-engine.remaining
	if left, err := strconv.ParseFloat(remaining, 64); err != nil || left > 4900 || left < 4000 {
		t.Errorf("remaining %q ms of 5000, although each reading of the clock takes 100 ms", remaining)
	}
}
