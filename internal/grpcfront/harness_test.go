package grpcfront

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// testMemory is the memory in bytes for calls.
const testMemory = 16 << 20

// scriptedEngine stands in for an engine. The request's session selects what it does
// with a request; it counts the calls that it gets.
type scriptedEngine struct {
	ashwoodpb.UnimplementedBoxServer
	*scriptedFleet
	name string
}

// scriptedFleet is the shared state of all scripted engines and the gateway that calls them.
type scriptedFleet struct {
	mu             sync.Mutex
	calls          map[string][]string // of each request, as "engine method", in order
	holds          map[string]int      // KV state and reservations, by request
	canceled       chan string         // requests whose stream the gateway has ended
	unanswered     chan string         // requests that an engine keeps without an answer
	lastWrite      *ashwoodpb.GenerateRequest
	errorCode      codes.Code    // by which the scripts "error code" end an answer
	releases       chan struct{} // gets a value at each release
	transport      *Engines      // the gateway's transport to them
	servers        []ashwood.Server
	front          *Server
	addr           net.Addr      // of the front
	continueAnswer chan struct{} // a value lets an answer continue after its first token
}

func (e *scriptedEngine) recordCall(id, method string) (nth int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls[id] {
		if c[len(c)-len(method):] == method {
			nth++
		}
	}
	e.calls[id] = append(e.calls[id], e.name+" "+method)
	return nth
}

func (e *scriptedEngine) addHolds(id string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds[id] += n
}

func (e *scriptedEngine) Read(ctx context.Context, in *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	nth := e.recordCall(in.RequestId, "read")
	switch {
	case in.Session == "prefill error" && nth == 0:
		return nil, status.Error(codes.Internal, "prefill engine failed")
	case in.Session == "refused":
		grpc.SetTrailer(ctx, metadata.Pairs(trailerTurnedAway, "1"))
		return nil, status.Error(codes.ResourceExhausted, "full")
	}
	e.addHolds(in.RequestId, 1)
	grpc.SetTrailer(ctx, metadata.Pairs(trailerLoad, "inflight=1,queue=0,x0=0.1"))
	return &ashwoodpb.ReadResult{CachedTokens: 16}, nil
}

func (e *scriptedEngine) Write(in *ashwoodpb.GenerateRequest, out grpc.ServerStreamingServer[ashwoodpb.Token]) error {
	nth := e.recordCall(in.RequestId, "write")
	e.mu.Lock()
	e.lastWrite = in
	errorCode := e.errorCode
	e.mu.Unlock()
	switch in.Session {
	case "error code":
		return engineError(errorCode)
	case "decode error":
		return status.Error(codes.Internal, "decode engine failed")
	case "turned away once":
		if nth == 0 {
			out.SetTrailer(metadata.Pairs(trailerTurnedAway, "1"))
			return status.Error(codes.ResourceExhausted, "full")
		}
	case "no KV state once":
		if nth == 0 {
			out.SetTrailer(metadata.Pairs(trailerTurnedAway, "1"))
			return status.Error(codes.FailedPrecondition, "no KV state")
		}
	case "silent":
		e.unanswered <- in.RequestId
		<-out.Context().Done()
		return out.Context().Err()
	}
	e.mu.Lock()
	e.holds[in.RequestId] = 0 // the first token releases all holds
	e.mu.Unlock()
	for i := range 3 {
		if err := out.Send(&ashwoodpb.Token{Text: fmt.Sprint("t", i)}); err != nil {
			return err
		}
		switch {
		case in.Session == "error after first":
			return status.Error(codes.DataLoss, "failed during the answer")
		case in.Session == "error code after first":
			return engineError(errorCode)
		case in.Session == "removed" && i == 0:
			e.transport.RetainOnly(nil)
		case in.Session == "halved" && i == 0:
			<-e.continueAnswer
		case in.Session == "endless":
			<-out.Context().Done()
			e.canceled <- in.RequestId
			return out.Context().Err()
		}
	}
	return nil
}

func (e *scriptedEngine) Load(ctx context.Context, _ *ashwoodpb.LoadRequest) (*ashwoodpb.LoadResult, error) {
	return &ashwoodpb.LoadResult{}, grpc.SetTrailer(ctx, metadata.Pairs(trailerLoad, "inflight=2"))
}

func (e *scriptedEngine) Reserve(_ context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReserveResult, error) {
	e.addHolds(in.RequestId, 1)
	return &ashwoodpb.ReserveResult{Held: true}, nil
}

func (e *scriptedEngine) Release(_ context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReleaseResult, error) {
	e.recordCall(in.RequestId, "release")
	e.mu.Lock()
	e.holds[in.RequestId] = 0
	e.mu.Unlock()
	e.releases <- struct{}{}
	return &ashwoodpb.ReleaseResult{}, nil
}

// countHolds returns the number of holds for all requests.
func (f *scriptedFleet) countHolds() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, held := range f.holds {
		n += held
	}
	return n
}

func testSettings() ashwood.Settings {
	class := func(name string, e ashwood.Effect) ashwood.Class {
		return ashwood.Class{Name: name, Aim: 2 * time.Second, Deadline: 15 * time.Second, Worth: 1, Effect: e}
	}
	return ashwood.Settings{
		Nodes: 1, Reservations: true, Reports: ashwood.ReportInline,
		Kinds: []ashwood.Kind{
			{Name: "prefill", Role: ashwood.RolePrefill, MemoryTokens: 1e5}, {Name: "decode", Role: ashwood.RoleDecode, MemoryTokens: 1e5}},
		Classes: []ashwood.Class{class("case-chat", ashwood.Pure), class("send-order", ashwood.SideEffect)},
		Limits:  ashwood.Limits{MaxAttempts: 6, Cancel: true, RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond, ConnectTimeout: 2 * time.Second},
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startGateway starts two prefill engines, two decode engines and a gateway with its front.
func startGateway(t *testing.T) (ashwoodpb.InferenceClient, *scriptedFleet, *gateway.Gateway) {
	t.Helper()
	return startGatewayWith(t, clock.System())
}

func startGatewayWith(t *testing.T, c clock.Clock) (ashwoodpb.InferenceClient, *scriptedFleet, *gateway.Gateway) {
	t.Helper()
	f := &scriptedFleet{calls: map[string][]string{}, holds: map[string]int{}, canceled: make(chan string, 9), unanswered: make(chan string, 9),
		releases: make(chan struct{}, 999), continueAnswer: make(chan struct{})}
	for _, name := range []string{"r1", "r2", "w1", "w2"} {
		l, s := listen(t), grpc.NewServer()
		ashwoodpb.RegisterBoxServer(s, &scriptedEngine{scriptedFleet: f, name: name})
		go s.Serve(l)
		t.Cleanup(s.Stop)
		kind := map[byte]string{'r': "prefill", 'w': "decode"}[name[0]]
		f.servers = append(f.servers, ashwood.Server{ID: ashwood.ServerID(name), Kind: kind, State: ashwood.StateActive, Address: l.Addr().String()})
	}
	log := slog.New(slog.DiscardHandler)
	f.transport = NewEngines(testSettings(), insecure.NewCredentials(), c)
	t.Cleanup(f.transport.Close)
	gw, err := gateway.New(testSettings(), 1, f.transport, c, log)
	if err != nil {
		t.Fatal(err)
	}
	gw.UpdateMembership(ashwood.MembershipSnapshot, f.servers)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go gw.Run(ctx)
	f.front = NewServer(gw, testSettings(), insecure.NewCredentials(), testMemory, c, log)
	l := listen(t)
	f.addr = l.Addr()
	go f.front.Serve(l, 0)
	t.Cleanup(f.front.grpc.Stop)
	cc, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	return ashwoodpb.NewInferenceClient(cc), f, gw
}

// generate makes a call and returns its tokens and the error at its end.
func generate(client ashwoodpb.InferenceClient, in *ashwoodpb.GenerateRequest) (tokens []string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, err := client.Generate(ctx, in)
	for err == nil {
		var tok *ashwoodpb.Token
		if tok, err = s.Recv(); err == nil {
			tokens = append(tokens, tok.Text)
		}
	}
	return tokens, err
}

// callSummary is what the client and the engines saw of a call.
type callSummary struct {
	Tokens   int
	Code     codes.Code
	Prefills int
	Decodes  int
}

// callAndCount makes a call and counts its tokens and its calls at the engines.
func (f *scriptedFleet) callAndCount(client ashwoodpb.InferenceClient, id, class, session string) (got callSummary, calls []string) {
	tokens, err := generate(client, &ashwoodpb.GenerateRequest{RequestId: id, Class: class, Session: session, PromptTokens: 64, MaxTokens: 9})
	if got.Tokens = len(tokens); err != io.EOF {
		got.Code = status.Code(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls[id] {
		switch c[3:] {
		case "read":
			got.Prefills++
		case "write":
			got.Decodes++
		}
	}
	return got, f.calls[id]
}

// countCalls counts the calls of a method for a request.
func (f *scriptedFleet) countCalls(id, method string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, call := range f.calls[id] {
		if strings.HasSuffix(call, " "+method) {
			n++
		}
	}
	return n
}

// setErrorCode sets the code by which the scripts "error code" end answers.
func (f *scriptedFleet) setErrorCode(code codes.Code) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errorCode = code
}

// waitReleased waits until no engine holds anything.
func (f *scriptedFleet) waitReleased(t *testing.T) {
	t.Helper()
	for f.countHolds() > 0 {
		select {
		case <-f.releases:
		case <-time.After(20 * time.Second):
			t.Fatal("engines still hold something")
		}
	}
}
