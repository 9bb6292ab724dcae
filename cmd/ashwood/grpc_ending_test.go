package main

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood/ashwoodpb"
)

// hangingEngine accepts prompts and never finishes prefill.
type hangingEngine struct {
	grpcEngine
	mu       sync.Mutex
	attempts map[string]int
	arrived  chan string
}

func (e *hangingEngine) Read(ctx context.Context, in *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	e.mu.Lock()
	e.attempts[in.GetRequestId()]++
	e.mu.Unlock()
	e.arrived <- in.GetRequestId()
	<-ctx.Done()
	return nil, ctx.Err()
}

// Over gRPC too, a waiting call must have its answer before the process is killed, and a call
// whose message arrives late in the shutdown, on a stream that was open before, must be refused
// without being sent to an engine.
func TestShutdown_GRPCCalls(t *testing.T) {
	engine := &hangingEngine{attempts: map[string]int{}, arrived: make(chan string, 9)}
	cmd, conn := startGRPCFront(t, engine, "", insecure.NewCredentials())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	open := func() grpc.ClientStream {
		t.Helper()
		stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, ashwoodpb.Inference_Generate_FullMethodName, grpc.WaitForReady(true))
		if err != nil {
			t.Fatal(err)
		}
		return stream
	}
	send := func(stream grpc.ClientStream, id string) {
		t.Helper()
		if err := stream.SendMsg(&ashwoodpb.GenerateRequest{RequestId: id, Class: "send-order", PromptTokens: 64}); err != nil {
			t.Errorf("%s: %v", id, err)
		}
	}
	late, waiting := open(), open()
	send(waiting, "waits")
	<-engine.arrived // by then the stream that was opened first has reached the server
	signaledAt := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(killAfter, func() { cmd.Process.Kill() })
	defer kill.Stop()
	<-time.After(time.Until(signaledAt.Add(exemptPeriod + 100*time.Millisecond)))
	send(late, "late")
	for id, stream := range map[string]grpc.ClientStream{"late": late, "waits": waiting} {
		err := stream.RecvMsg(&ashwoodpb.Token{})
		if st := status.Convert(err); st.Code() != codes.Unavailable || len(st.Details()) == 0 { // with RetryInfo: a refusal by the gateway itself
			t.Errorf("%s: %v %v", id, err, st.Details())
		}
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.attempts["late"] > 0 || engine.attempts["waits"] != 1 {
		t.Errorf("sent to engines: %v", engine.attempts)
	}
}

// Guards against a process that one call without a request keeps alive to its kill.
func TestShutdown_GRPCUnfinishedCall(t *testing.T) {
	cmd, conn := startGRPCFront(t, &hangingEngine{}, "", insecure.NewCredentials())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, ashwoodpb.Inference_Generate_FullMethodName, grpc.WaitForReady(true))
	if err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	defer time.AfterFunc(killAfter, func() { cmd.Process.Kill() }).Stop()
	if err := cmd.Wait(); err != nil {
		t.Errorf("it did not end by itself: %v", err)
	}
}
