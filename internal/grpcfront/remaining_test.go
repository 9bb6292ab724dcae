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

// slowly is a clock on which each look takes 100 ms, as a connect would.
type slowly struct{ *clock.Manual }

func (s slowly) Now() float64 {
	s.Advance(100)
	return s.Manual.Now()
}

// listening is a box that notes the time that a read is told.
type listening struct {
	ashwoodpb.UnimplementedBoxServer
	told chan string
}

func (l *listening) Read(ctx context.Context, _ *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	told := ""
	if md, ok := metadata.FromIncomingContext(ctx); ok && len(md.Get(metaRemaining)) == 1 {
		told = md.Get(metaRemaining)[0]
	}
	l.told <- told
	return &ashwoodpb.ReadResult{}, nil
}

// An attempt tells its box what the client has left once the connection is up, not what it had
// when the box was chosen.
func TestRemaining_IsToldBehindTheConnect(t *testing.T) {
	box := &listening{told: make(chan string, 1)}
	l, s := listen(t), grpc.NewServer()
	ashwoodpb.RegisterBoxServer(s, box)
	go s.Serve(l)
	t.Cleanup(s.Stop)
	boxes := NewEngines(settings(), insecure.NewCredentials(), slowly{clock.NewManual(0)})
	t.Cleanup(boxes.Close)
	answer := boxes.Send(t.Context(), gateway.Attempt{
		Request: &gateway.Request{RequestInfo: ashwood.RequestInfo{ID: "q", Class: "case-chat"}},
		Engine:  ashwood.Server{ID: "r1", Kind: "reader", Address: l.Addr().String()}, Prefill: true, Remaining: 5000,
		MayWrite: func() bool { return true }, OnSent: func() {},
	})
	if answer.Status != ashwood.StatusPrefilled {
		t.Fatalf("ended as %v, %v", answer.Status, answer.Err)
	}
	told := <-box.told
	if left, err := strconv.ParseFloat(told, 64); err != nil || left > 4900 || left < 4000 {
		t.Errorf("told %q ms of 5000, although a look at the clock takes 100", told)
	}
}
