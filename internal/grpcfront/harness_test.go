package grpcfront

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
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

// box is a stand-in for a model box. What it does with a request is scripted
// by the request's session; what it was sent is counted.
type box struct {
	ashwoodpb.UnimplementedBoxServer
	*fleet
	name string
}

// fleet keeps what all boxes were sent.
type fleet struct {
	mu       sync.Mutex
	calls    map[string][]string // of each request, as "box method", in order
	rooms    map[string]int      // held by a request: states and places
	canceled chan string         // requests whose stream the gateway has ended
	waiting  chan string         // requests that a box keeps without an answer
	last     *ashwoodpb.GenerateRequest
	freed    chan struct{} // gets a value with each release
	boxes    *Engines      // the gateway's transport to them
	list     []ashwood.Server
	front    *Server
	second   chan struct{} // a value lets an answer go on after its first token
}

func (b *box) note(id, method string) (nth int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.calls[id] {
		if c[len(c)-len(method):] == method {
			nth++
		}
	}
	b.calls[id] = append(b.calls[id], b.name+" "+method)
	return nth
}

func (b *box) hold(id string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rooms[id] += n
}

func (b *box) Read(ctx context.Context, in *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	nth := b.note(in.RequestId, "read")
	switch {
	case in.Session == "read error" && nth == 0:
		return nil, status.Error(codes.Internal, "reader broke")
	case in.Session == "refused":
		grpc.SetTrailer(ctx, metadata.Pairs(trailerAway, "1"))
		return nil, status.Error(codes.ResourceExhausted, "full")
	}
	b.hold(in.RequestId, 1)
	grpc.SetTrailer(ctx, metadata.Pairs(trailerLoad, "inflight=1,queue=0,x0=0.1"))
	return &ashwoodpb.ReadResult{CachedTokens: 16}, nil
}

func (b *box) Write(in *ashwoodpb.GenerateRequest, out grpc.ServerStreamingServer[ashwoodpb.Token]) error {
	nth := b.note(in.RequestId, "write")
	b.mu.Lock()
	b.last = in
	b.mu.Unlock()
	switch in.Session {
	case "writer error":
		return status.Error(codes.Internal, "writer broke")
	case "turned away once":
		if nth == 0 {
			out.SetTrailer(metadata.Pairs(trailerAway, "1"))
			return status.Error(codes.ResourceExhausted, "full")
		}
	case "no state once":
		if nth == 0 {
			out.SetTrailer(metadata.Pairs(trailerAway, "1"))
			return status.Error(codes.FailedPrecondition, "no state")
		}
	case "silent":
		b.waiting <- in.RequestId
		<-out.Context().Done()
		return out.Context().Err()
	}
	b.mu.Lock()
	b.rooms[in.RequestId] = 0 // the first token lets go of all that is held
	b.mu.Unlock()
	for i := range 3 {
		if err := out.Send(&ashwoodpb.Token{Text: fmt.Sprint("t", i)}); err != nil {
			return err
		}
		switch {
		case in.Session == "error after first":
			return status.Error(codes.DataLoss, "broke in the middle")
		case in.Session == "removed" && i == 0:
			b.boxes.RetainOnly(nil)
		case in.Session == "halved" && i == 0:
			<-b.second
		case in.Session == "endless":
			<-out.Context().Done()
			b.canceled <- in.RequestId
			return out.Context().Err()
		}
	}
	return nil
}

func (b *box) Load(ctx context.Context, _ *ashwoodpb.LoadRequest) (*ashwoodpb.LoadResult, error) {
	return &ashwoodpb.LoadResult{}, grpc.SetTrailer(ctx, metadata.Pairs(trailerLoad, "inflight=2"))
}

func (b *box) Reserve(_ context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReserveResult, error) {
	b.hold(in.RequestId, 1)
	return &ashwoodpb.ReserveResult{Held: true}, nil
}

func (b *box) Release(_ context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReleaseResult, error) {
	b.note(in.RequestId, "release")
	b.mu.Lock()
	b.rooms[in.RequestId] = 0
	b.mu.Unlock()
	b.freed <- struct{}{}
	return &ashwoodpb.ReleaseResult{}, nil
}

// pinned counts what is held for requests.
func (f *fleet) pinned() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, held := range f.rooms {
		n += held
	}
	return n
}

func settings() ashwood.Settings {
	class := func(name string, e ashwood.Effect) ashwood.Class {
		return ashwood.Class{Name: name, Aim: 2 * time.Second, Deadline: 15 * time.Second, Worth: 1, Effect: e}
	}
	return ashwood.Settings{
		Nodes: 1, Reservations: true, Reports: ashwood.ReportInline,
		Kinds: []ashwood.Kind{
			{Name: "reader", Role: ashwood.RoleRead, MemoryTokens: 1e5}, {Name: "writer", Role: ashwood.RoleWrite, MemoryTokens: 1e5}},
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

// start brings up two readers, two writers and a gateway with its front.
func start(t *testing.T) (ashwoodpb.InferenceClient, *fleet, *gateway.Gateway) {
	t.Helper()
	return startAt(t, clock.System())
}

func startAt(t *testing.T, c clock.Clock) (ashwoodpb.InferenceClient, *fleet, *gateway.Gateway) {
	t.Helper()
	f := &fleet{calls: map[string][]string{}, rooms: map[string]int{}, canceled: make(chan string, 9), waiting: make(chan string, 9),
		freed: make(chan struct{}, 999), second: make(chan struct{})}
	for _, name := range []string{"r1", "r2", "w1", "w2"} {
		l, s := listen(t), grpc.NewServer()
		ashwoodpb.RegisterBoxServer(s, &box{fleet: f, name: name})
		go s.Serve(l)
		t.Cleanup(s.Stop)
		kind := map[byte]string{'r': "reader", 'w': "writer"}[name[0]]
		f.list = append(f.list, ashwood.Server{ID: ashwood.ServerID(name), Kind: kind, State: ashwood.StateActive, Address: l.Addr().String()})
	}
	log := slog.New(slog.DiscardHandler)
	f.boxes = NewEngines(settings(), insecure.NewCredentials(), c)
	t.Cleanup(f.boxes.Close)
	gw, err := gateway.New(settings(), 1, f.boxes, c, log)
	if err != nil {
		t.Fatal(err)
	}
	gw.UpdateMembership(ashwood.MembershipSnapshot, f.list)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go gw.Run(ctx)
	f.front = NewServer(gw, settings(), insecure.NewCredentials(), c, log)
	l := listen(t)
	go f.front.Serve(l)
	t.Cleanup(f.front.grpc.Stop)
	cc, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	return ashwoodpb.NewInferenceClient(cc), f, gw
}

// ask makes a call and gives its tokens and its end.
func ask(client ashwoodpb.InferenceClient, in *ashwoodpb.GenerateRequest) (tokens []string, err error) {
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

// result is what a call's client and the boxes saw of it.
type result struct {
	Tokens int
	Code   codes.Code
	Reads  int
	Writes int
}

// observe makes a call and counts what came of it.
func (f *fleet) observe(client ashwoodpb.InferenceClient, id, class, session string) (got result, calls []string) {
	tokens, err := ask(client, &ashwoodpb.GenerateRequest{RequestId: id, Class: class, Session: session, PromptTokens: 64, MaxTokens: 9})
	if got.Tokens = len(tokens); err != io.EOF {
		got.Code = status.Code(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls[id] {
		switch c[3:] {
		case "read":
			got.Reads++
		case "write":
			got.Writes++
		}
	}
	return got, f.calls[id]
}

// released waits until nothing is held at any box.
func (f *fleet) released(t *testing.T) {
	t.Helper()
	for f.pinned() > 0 {
		select {
		case <-f.freed:
		case <-time.After(20 * time.Second):
			t.Fatal("boxes still hold something")
		}
	}
}
