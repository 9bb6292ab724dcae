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

// hangingBox takes prompts and reads none.
type hangingBox struct {
	grpcBox
	mu   sync.Mutex
	seen map[string]int
	came chan string
}

func (b *hangingBox) Read(ctx context.Context, in *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	b.mu.Lock()
	b.seen[in.GetRequestId()]++
	b.mu.Unlock()
	b.came <- in.GetRequestId()
	<-ctx.Done()
	return nil, ctx.Err()
}

// Over gRPC too, a call that waits has its answer when the process is killed, and one whose
// message comes late in the shutdown, on a stream that was open before, is refused and sent nowhere.
func TestShutdown_GRPCCalls(t *testing.T) {
	box := &hangingBox{seen: map[string]int{}, came: make(chan string, 9)}
	cmd, cc := openFront(t, box, "", insecure.NewCredentials())
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	open := func() grpc.ClientStream {
		t.Helper()
		s, err := cc.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, ashwoodpb.Inference_Generate_FullMethodName, grpc.WaitForReady(true))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	send := func(s grpc.ClientStream, id string) {
		t.Helper()
		if err := s.SendMsg(&ashwoodpb.GenerateRequest{RequestId: id, Class: "send-order", PromptTokens: 64}); err != nil {
			t.Errorf("%s: %v", id, err)
		}
	}
	late, waits := open(), open()
	send(waits, "waits")
	<-box.came // the stream that was opened first is at the server by then
	told := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(killAfter, func() { cmd.Process.Kill() })
	defer kill.Stop()
	<-time.After(time.Until(told.Add(exemptFor + 100*time.Millisecond)))
	send(late, "late")
	for id, s := range map[string]grpc.ClientStream{"late": late, "waits": waits} {
		err := s.RecvMsg(&ashwoodpb.Token{})
		if st := status.Convert(err); st.Code() != codes.Unavailable || len(st.Details()) == 0 { // RetryInfo: a refusal of the gateway's own
			t.Errorf("%s: %v %v", id, err, st.Details())
		}
	}
	box.mu.Lock()
	defer box.mu.Unlock()
	if box.seen["late"] > 0 || box.seen["waits"] != 1 {
		t.Errorf("sent to engines: %v", box.seen)
	}
}
