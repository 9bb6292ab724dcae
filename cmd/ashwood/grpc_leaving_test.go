package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"ashwood.example/ashwood/ashwoodpb"
)

// heldPrefillEngine is a mixed engine whose prefills end when a test says so. It counts the decode attempts of each request.
type heldPrefillEngine struct {
	ashwoodpb.UnimplementedBoxServer
	started chan string   // requests in prefill
	finish  chan struct{} // a value ends a prefill
	mu      sync.Mutex
	decodes map[string]int
}

func newHeldPrefillEngine() *heldPrefillEngine {
	return &heldPrefillEngine{started: make(chan string, 99), finish: make(chan struct{}), decodes: map[string]int{}}
}

func (e *heldPrefillEngine) Read(_ context.Context, in *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	e.started <- in.GetRequestId()
	<-e.finish
	return &ashwoodpb.ReadResult{}, nil
}

func (e *heldPrefillEngine) Write(in *ashwoodpb.GenerateRequest, stream grpc.ServerStreamingServer[ashwoodpb.Token]) error {
	e.mu.Lock()
	e.decodes[in.GetRequestId()]++
	e.mu.Unlock()
	return stream.Send(&ashwoodpb.Token{Text: "hello"})
}

func (e *heldPrefillEngine) decodesOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decodes[id]
}

// Guards against attempts for gRPC clients whose cancel or close waits beside an engine's answer, as the process was held up.
func TestLeave_GRPCCallEndsWhileProcessStopped(t *testing.T) {
	const calls = 16
	for _, leaves := range []string{"cancels", "closes"} {
		t.Run(leaves, func(t *testing.T) {
			engine := newHeldPrefillEngine()
			cmd, _, front := startGRPCFrontAt(t, engine, "", insecure.NewCredentials())
			late := 0
			for n := range calls {
				conn, err := grpc.NewClient("passthrough:///"+front, grpc.WithTransportCredentials(insecure.NewCredentials()))
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(context.Background())
				id, class := fmt.Sprint("c", n), []string{"case-chat", "send-order"}[n%2]
				if _, err := ashwoodpb.NewInferenceClient(conn).Generate(ctx, &ashwoodpb.GenerateRequest{RequestId: id, Class: class, PromptTokens: 64}); err != nil {
					t.Fatal(err)
				}
				<-engine.started
				cmd.Process.Signal(syscall.SIGSTOP)
				if leaves == "closes" {
					conn.Close()
				}
				cancel()
				<-time.After(latestAttempt) // all that begins from now on is late
				engine.finish <- struct{}{}
				<-time.After(20 * time.Millisecond) // in which the engine's answer arrives
				cmd.Process.Signal(syscall.SIGCONT)
				<-time.After(20 * time.Millisecond) // in which an attempt would follow
				late += engine.decodesOf(id)
				conn.Close()
			}
			if late > 0 {
				t.Errorf("%d of %d calls went to the decode engine over %v after their client had left", late, calls, latestAttempt)
			}
		})
	}
}

// writeCall writes the frames of a Generate call.
func writeCall(t *testing.T, framer *http2.Framer, stream uint32, request *ashwoodpb.GenerateRequest) {
	t.Helper()
	message, err := proto.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: generateHeader(), EndHeaders: true})
	framer.WriteData(stream, true, append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...))
}

// Guards against attempts for gRPC clients whose cancel or close stands behind calls that the gateway reads at a bounded pace.
func TestLeave_GRPCCallEndsBehindQuickCalls(t *testing.T) {
	const quickCalls = 8000 // far more than are read at full speed
	for _, leaves := range []string{"cancels", "closes"} {
		t.Run(leaves, func(t *testing.T) {
			engine := newHeldPrefillEngine()
			_, _, front := startGRPCFrontAt(t, engine, "", insecure.NewCredentials())
			c, err := net.Dial("tcp", front)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go io.Copy(io.Discard, c)
			var frames bytes.Buffer
			framer := http2.NewFramer(&frames, nil)
			frames.WriteString(http2.ClientPreface)
			framer.WriteSettings()
			writeCall(t, framer, 1, &ashwoodpb.GenerateRequest{RequestId: "first", Class: "send-order", PromptTokens: 64})
			c.Write(frames.Bytes())
			<-engine.started
			frames.Reset()
			for n := range uint32(quickCalls) {
				writeCall(t, framer, 3+2*n, &ashwoodpb.GenerateRequest{RequestId: "quick", Class: "unknown", PromptTokens: 4})
			}
			framer.WriteRSTStream(1, http2.ErrCodeCancel)
			c.SetWriteDeadline(time.Now().Add(testTimeout))
			if _, err := c.Write(frames.Bytes()); err != nil {
				t.Fatal(err)
			}
			if leaves == "closes" {
				c.Close()
			}
			<-time.After(latestAttempt)
			engine.finish <- struct{}{}
			<-time.After(4 * latestAttempt) // in which an attempt would follow
			if engine.decodesOf("first") > 0 {
				t.Errorf("the call went to the decode engine over %v after its client had left", latestAttempt)
			}
		})
	}
}
