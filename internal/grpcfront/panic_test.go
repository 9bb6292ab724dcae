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

// panickingHandler is a Handler that panics on each request.
type panickingHandler struct{}

func (panickingHandler) Serve(context.Context, *gateway.Request) (gateway.Reply, error) {
	panic("a fault in the handler")
}

func (panickingHandler) RecordRefusal(string) float64 { return 0 }

// A call whose handler panics is answered with INTERNAL, and so is the next one.
func TestPanic_Handler(t *testing.T) {
	front := NewServer(panickingHandler{}, testSettings(), insecure.NewCredentials(), testMemory, clock.System(), slog.New(slog.DiscardHandler))
	l := listen(t)
	go front.Serve(l, 0)
	t.Cleanup(front.grpc.Stop)
	cc, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	for call := range 2 {
		_, err := generate(ashwoodpb.NewInferenceClient(cc), &ashwoodpb.GenerateRequest{
			RequestId: "9b1f", Class: "case-chat", Session: "7f3a", PromptTokens: 64, MaxTokens: 9, FirstTokenMs: 4000,
		})
		if status.Code(err) != codes.Internal {
			t.Errorf("call %d: %v", call, err)
		}
	}
}
