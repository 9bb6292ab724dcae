package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"

	"ashwood.example/ashwood/ashwoodpb"
)

// callsPerFloodClient is how many calls a client of a flood has open on its connection.
const callsPerFloodClient = 50

// grpcFloods are calls that one client makes on one connection at full speed. Without a call, it begins calls and cancels
// them at once.
var grpcFloods = []struct {
	name string
	call func(ctx context.Context, conn *grpc.ClientConn, n int64)
}{
	{"unknown classes", func(ctx context.Context, conn *grpc.ClientConn, n int64) {
		generate(ctx, conn, &ashwoodpb.GenerateRequest{RequestId: fmt.Sprint("u", n), Class: fmt.Sprint("class-", n), PromptTokens: 4})
	}},
	{"too long prompts", func(ctx context.Context, conn *grpc.ClientConn, n int64) {
		generate(ctx, conn, &ashwoodpb.GenerateRequest{RequestId: fmt.Sprint("l", n), Class: "case-chat", PromptTokens: 900000000})
	}},
	{"health checks", func(ctx context.Context, conn *grpc.ClientConn, _ int64) {
		grpc_health_v1.NewHealthClient(conn).Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	}},
	{"calls cancelled at once", nil},
}

// generateHeader returns the encoded metadata of a Generate call. Its fields are not in the table, so that the same bytes serve for each call.
func generateHeader() []byte {
	var header bytes.Buffer
	fields := hpack.NewEncoder(&header)
	for _, field := range []hpack.HeaderField{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: ashwoodpb.Inference_Generate_FullMethodName},
		{Name: ":authority", Value: "a"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"},
	} {
		field.Sensitive = true
		fields.WriteField(field)
	}
	return header.Bytes()
}

// cancelCalls begins calls and cancels them at once, until stop is closed, on a new connection whenever the gateway closes
// one. It writes the frames itself: the library's client is too slow for it.
func cancelCalls(front string, sent *atomic.Int64, stop chan struct{}) {
	const batch = 20
	header := generateHeader()
	for {
		c, err := net.Dial("tcp", front)
		if err != nil {
			return
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			io.Copy(io.Discard, c)
		}()
		go func() { // a write may be blocked, as the gateway does not read
			select {
			case <-stop:
				c.Close()
			case <-ended:
			}
		}()
		var frames bytes.Buffer
		framer := http2.NewFramer(&frames, nil)
		frames.WriteString(http2.ClientPreface)
		framer.WriteSettings()
		for stream := uint32(1); err == nil; {
			for range batch {
				framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: header, EndHeaders: true})
				framer.WriteRSTStream(stream, http2.ErrCodeCancel)
				stream += 2
			}
			sent.Add(batch)
			_, err = c.Write(frames.Bytes())
			frames.Reset()
		}
		c.Close()
		<-ended
		select {
		case <-stop:
			return
		default:
		}
	}
}

// generate makes a call and reads its answer to the end.
func generate(ctx context.Context, conn *grpc.ClientConn, request *ashwoodpb.GenerateRequest) (tokens int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := ashwoodpb.NewInferenceClient(conn).Generate(ctx, request)
	for ; err == nil; tokens++ {
		_, err = stream.Recv()
	}
	if errors.Is(err, io.EOF) {
		return tokens - 1, nil
	}
	return 0, err
}

// Guards against gRPC clients whose answers come late or never while others make small or unsound calls at full speed.
func TestFlood_OtherGRPCClientsAnsweredInTime(t *testing.T) {
	for _, tt := range shortened(grpcFloods) {
		t.Run(tt.name, func(t *testing.T) {
			cmd, _, front := startGRPCFrontAt(t, grpcEngine{}, "", insecure.NewCredentials())
			dial := func() *grpc.ClientConn {
				conn, err := grpc.NewClient("passthrough:///"+front, grpc.WithTransportCredentials(insecure.NewCredentials()))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { conn.Close() })
				return conn
			}
			stop := make(chan struct{})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var flooding, sound sync.WaitGroup
			flooding.Go(func() { shareCore(cmd.Process, coreShare, stop) })
			var sent, asked, wrong atomic.Int64
			for range floodClients {
				if tt.call == nil {
					flooding.Go(func() { cancelCalls(front, &sent, stop) })
					continue
				}
				conn := dial()
				for range callsPerFloodClient {
					flooding.Go(func() {
						for ctx.Err() == nil {
							tt.call(ctx, conn, sent.Add(1))
						}
					})
				}
			}
			for client := range soundClients {
				conn := dial()
				sound.Go(func() {
					for started := time.Now(); time.Since(started) < floodTime; {
						n, begun := asked.Add(1), time.Now()
						callCtx, cancelCall := context.WithTimeout(context.Background(), 10*time.Second)
						tokens, err := generate(callCtx, conn, &ashwoodpb.GenerateRequest{RequestId: fmt.Sprintf("s%d-%d", client, n), Class: "case-chat",
							PromptTokens: 64, FirstTokenMs: uint32(soundWait.Milliseconds())})
						cancelCall()
						if waited := time.Since(begun); err != nil || tokens != 1 || waited > soundWait+answerSlack {
							wrong.Add(1)
							t.Logf("request %d: %d tokens, %v, after %v", n, tokens, err, waited)
						}
					}
				})
			}
			sound.Wait()
			cancel()
			close(stop)
			flooding.Wait()
			t.Logf("%d requests beside %d of the flood", asked.Load(), sent.Load())
			if wrong.Load() > 0 {
				t.Errorf("%d of %d requests were not served within %v", wrong.Load(), asked.Load(), soundWait+answerSlack)
			}
		})
	}
}
