package grpcfront

import (
	"context"
	"log/slog"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// faulty is a handler that panics.
type faulty struct{}

func (faulty) Serve(context.Context, *gateway.Request) (gateway.Reply, error) {
	panic("a fault in the handler")
}

func (faulty) TurnAway(string) float64 { return 0 }

// A call that was read is answered although its handler panics, and so is the next one.
func TestPanic_CallIsAnswered(t *testing.T) {
	front := NewServer(faulty{}, settings(), insecure.NewCredentials(), clock.System(), slog.New(slog.DiscardHandler))
	l := listen(t)
	go front.Serve(l)
	t.Cleanup(front.grpc.Stop)
	cc, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	for call := range 2 {
		_, err := ask(ashwoodpb.NewInferenceClient(cc), &ashwoodpb.GenerateRequest{
			RequestId: "9b1f", Class: "case-chat", Session: "7f3a", PromptTokens: 64, MaxTokens: 9, FirstTokenMs: 4000,
		})
		if status.Code(err) != codes.Internal {
			t.Errorf("call %d: %v", call, err)
		}
	}
}
