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

	"github.com/google/go-cmp/cmp"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

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
	boxes    *Boxes        // the gateway's transport to them
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
			b.boxes.Keep(nil)
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
		Nodes: 1, Ahead: true, Reports: ashwood.ReportInline,
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
		f.list = append(f.list, ashwood.Server{ID: ashwood.ServerID(name), Kind: kind, State: ashwood.StateOn, Address: l.Addr().String()})
	}
	log := slog.New(slog.DiscardHandler)
	f.boxes = NewBoxes(settings(), insecure.NewCredentials(), c)
	t.Cleanup(f.boxes.Close)
	gw, err := gateway.New(settings(), 1, f.boxes, c, log)
	if err != nil {
		t.Fatal(err)
	}
	gw.Update(ashwood.ListWhole, f.list)
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

var stories = func() []story {
	whole := result{3, codes.OK, 1, 1}
	return []story{
		{"plain", whole, whole},
		{"removed", whole, whole}, // the list drops the box in mid-answer, which still ends whole
		{"read error", result{3, codes.OK, 2, 1}, result{3, codes.OK, 2, 1}},
		{"turned away once", result{3, codes.OK, 1, 2}, result{3, codes.OK, 1, 2}},
		{"no state once", result{3, codes.OK, 2, 2}, result{3, codes.OK, 2, 2}},
		{"writer error", result{0, codes.Unavailable, 1, 5}, result{0, codes.Internal, 1, 1}},
		{"error after first", result{1, codes.DataLoss, 1, 1}, result{1, codes.DataLoss, 1, 1}},
	}
}()

// story is a session as the boxes play it and what a request of each class sees.
type story struct {
	session     string
	chat, order result
}

// Each story has boxes of its own and one request at a time: what other
// requests meet at a box decides where the next one goes, or whether it goes.
func TestEachRequestGetsOneAnswer(t *testing.T) {
	for _, tt := range stories {
		t.Run(tt.session, func(t *testing.T) {
			client, f, _ := start(t)
			check := func(id, class string, want result) {
				got, calls := f.observe(client, id, class, tt.session)
				if class == "case-chat" && tt.session == "writer error" {
					got.Writes = want.Writes // as often as there was time for: repeating is harmless
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("%s: calls %v\n%s", class, calls, diff)
				}
			}
			for i := range 2 {
				check(fmt.Sprint("chat", i), "case-chat", tt.chat)
				check(fmt.Sprint("order", i), "send-order", tt.order)
			}
			f.released(t)
		})
	}
}

// All stories at once at the same boxes: no order is written again after it may
// have run, whoever is refused meanwhile, and nothing stays held.
func TestOrdersRunOnceAmongOthers(t *testing.T) {
	client, f, _ := start(t)
	var all sync.WaitGroup
	for _, tt := range stories {
		for i := range 8 {
			all.Go(func() {
				got, calls := f.observe(client, fmt.Sprint(tt.session, i), "send-order", tt.session)
				if got.Writes > tt.order.Writes {
					t.Errorf("%s: calls %v", tt.session, calls)
				}
				if got.Code == codes.OK && got.Tokens != tt.order.Tokens {
					t.Errorf("%s: %d tokens of an answer that ended well, want %d", tt.session, got.Tokens, tt.order.Tokens)
				}
			})
		}
	}
	all.Wait()
	f.released(t)
}

func TestCancelMidAnswerEndsTheBoxsStreamAndSendsNothingMore(t *testing.T) {
	client, f, _ := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := client.Generate(ctx, &ashwoodpb.GenerateRequest{RequestId: "q", Class: "send-order", Session: "endless", PromptTokens: 64})
	if err != nil {
		t.Fatal(err)
	}
	if tok, err := s.Recv(); err != nil || tok.Text != "t0" {
		t.Fatalf("first token %v, %v", tok, err)
	}
	cancel()
	if id := <-f.canceled; id != "q" {
		t.Errorf("the box's stream of %s ended", id)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	writes := 0
	for _, c := range f.calls["q"] {
		if c[3:] == "write" {
			writes++
		}
	}
	if writes != 1 {
		t.Errorf("calls %v, want one write", f.calls["q"])
	}
}

func TestDeadlineWithoutATokenIsOneFailureForAnOrder(t *testing.T) {
	c := clock.NewManual(0)
	client, f, _ := startAt(t, c)
	end := make(chan error, 1)
	go func() {
		_, err := ask(client, &ashwoodpb.GenerateRequest{RequestId: "q", Class: "send-order", Session: "silent", PromptTokens: 64, FirstTokenMs: 300})
		end <- err
	}()
	<-f.waiting
	c.Advance(300)
	if err := <-end; status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("got %v, want DEADLINE_EXCEEDED", err)
	}
	if len(f.waiting) > 0 {
		t.Errorf("written again; calls %v", f.calls["q"])
	}
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	client, _, gw := start(t)
	check := func(in *ashwoodpb.GenerateRequest, code codes.Code) {
		t.Helper()
		_, err := ask(client, in)
		st := status.Convert(err)
		if st.Code() != code || len(st.Details()) != 1 {
			t.Fatalf("got %v with %v, want %v with RetryInfo", err, st.Details(), code)
		}
		info, ok := st.Details()[0].(*errdetails.RetryInfo)
		if d := info.GetRetryDelay().AsDuration(); !ok || d <= 0 || d > 500*time.Millisecond {
			t.Errorf("detail %v", st.Details()[0])
		}
	}
	check(&ashwoodpb.GenerateRequest{RequestId: "a", Class: "send-order", Session: "refused", PromptTokens: 64, FirstTokenMs: 200}, codes.Unavailable)
	gw.Update(ashwood.ListWhole, nil) // no box left
	check(&ashwoodpb.GenerateRequest{RequestId: "b", Class: "send-order", PromptTokens: 64, FirstTokenMs: 200}, codes.ResourceExhausted)
}

func TestProbeTellsTheLoad(t *testing.T) {
	_, f, _ := start(t)
	status, report := f.boxes.Probe(context.Background(), f.list[0])
	if diff := cmp.Diff(ashwood.Report{ashwood.ReportInFlight: 2}, report); status != ashwood.Served || diff != "" {
		t.Errorf("status %v\n%s", status, diff)
	}
	gone := listen(t)
	gone.Close()
	status, _ = f.boxes.Probe(context.Background(), ashwood.Server{ID: "gone", Address: gone.Addr().String()})
	if status != ashwood.NoConnection {
		t.Errorf("status %v of a box that is gone", status)
	}
}

func TestDrainingFrontSaysSoAndFinishesWhatRuns(t *testing.T) {
	client, f, _ := start(t)
	s, err := client.Generate(context.Background(), &ashwoodpb.GenerateRequest{RequestId: "q", Class: "send-order", Session: "halved", PromptTokens: 64})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Recv(); err != nil {
		t.Fatal(err)
	}
	f.front.Drain()
	health, err := f.front.health.Check(context.Background(), &grpc_health_v1.HealthCheckRequest{})
	if err != nil || health.Status != grpc_health_v1.HealthCheckResponse_NOT_SERVING {
		t.Errorf("health %v, %v", health, err)
	}
	if tokens, err := ask(client, &ashwoodpb.GenerateRequest{RequestId: "late", Class: "send-order", PromptTokens: 64}); len(tokens) != 3 || err != io.EOF {
		t.Errorf("a call while it drains: %v, %v", tokens, err)
	}
	ended := make(chan struct{})
	go func() {
		f.front.Shutdown()
		close(ended)
	}()
	f.second <- struct{}{}
	for err = nil; err == nil; {
		_, err = s.Recv()
	}
	if err != io.EOF {
		t.Errorf("the running answer ended with %v", err)
	}
	<-ended
}

func TestUnusableCallsAreInvalid(t *testing.T) {
	client, _, _ := start(t)
	for _, in := range []*ashwoodpb.GenerateRequest{{Class: "case-chat"}, {RequestId: "a", Class: "no such"}, {RequestId: "a"}} {
		if _, err := ask(client, in); status.Code(err) != codes.InvalidArgument {
			t.Errorf("%v: %v", in, err)
		}
	}
}

// Fields that this version does not know go on to the boxes.
func TestBytesPassThroughUnchanged(t *testing.T) {
	client, f, _ := start(t)
	in := &ashwoodpb.GenerateRequest{RequestId: "q", Class: "case-chat", PromptTokens: 64, Prompt: []byte{0, 255, 1}}
	in.ProtoReflect().SetUnknown([]byte{0xf8, 0x07, 0x2a}) // field 127 = 42
	if _, err := ask(client, in); err != io.EOF {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !proto.Equal(in, f.last) {
		t.Errorf("the box got %v, want %v", f.last, in)
	}
}
