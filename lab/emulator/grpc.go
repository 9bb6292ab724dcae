package emulator

import (
	"context"
	"strconv"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/lab/engine"
)

// Metadata of the boxes' gRPC protocol.
const (
	trailerAway = "ashwood-turned-away"
	trailerLoad = "ashwood-load"
	metaLeft    = "ashwood-remaining-ms"
)

// boxServer is the gRPC Box service of all boxes; the connection tells which.
type boxServer struct {
	ashwoodpb.UnimplementedBoxServer
	e *Emulator
}

func (e *Emulator) serveGRPC() {
	e.grpc = grpc.NewServer(grpc.StatsHandler(&connTags{e: e}), grpc.MaxRecvMsgSize(maxBody+4096))
	ashwoodpb.RegisterBoxServer(e.grpc, &boxServer{e: e})
}

// connTags marks calls with the view whose listener their connection came by.
type connTags struct {
	e    *Emulator
	once sync.Once
	byAt map[string]*view
}

func (t *connTags) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	t.once.Do(func() {
		t.byAt = map[string]*view{}
		for _, views := range t.e.views {
			for _, v := range views {
				t.byAt[v.grpc.addr] = v
			}
		}
	})
	return context.WithValue(ctx, viewKey{}, t.byAt[info.LocalAddr.String()])
}

func (t *connTags) HandleConn(context.Context, stats.ConnStats)                     {}
func (t *connTags) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (t *connTags) HandleRPC(context.Context, stats.RPCStats)                       {}

func viewIn(ctx context.Context) *view { return ctx.Value(viewKey{}).(*view) }

func jobOf(ctx context.Context, in *ashwoodpb.GenerateRequest) (engine.Job, error) {
	j := engine.Job{
		Request: in.GetRequestId(), Class: in.GetClass(), MaxOut: int(in.GetMaxTokens()),
		Prompt: engine.Prompt{
			Session: in.GetSession(), Shared: in.GetPrefix(), Tokens: float64(in.GetPromptTokens()), SharedTokens: float64(in.GetPrefixTokens()),
		},
	}
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get(metaLeft); len(v) == 1 {
		left, err := strconv.ParseFloat(v[0], 64)
		if err != nil || left < 0 {
			return j, status.Errorf(codes.InvalidArgument, "%s: %q", metaLeft, v[0])
		}
		j.Remaining = left
	}
	if j.Request == "" || j.Class == "" || j.Prompt.Tokens < 1 || j.Prompt.SharedTokens > j.Prompt.Tokens {
		return j, status.Error(codes.InvalidArgument, "request_id, class or prompt_tokens can't be used")
	}
	return j, nil
}

// grpcAnswer writes an attempt's answer as a gRPC call's.
type grpcAnswer struct {
	id      string
	stream  grpc.ServerStreamingServer[ashwoodpb.Token] // of a Write
	trailer func(metadata.MD)
	kept    int
	err     error
}

func (a *grpcAnswer) load(report string) { a.trailer(metadata.Pairs(trailerLoad, report)) }

func (a *grpcAnswer) away(ev engine.Event, report string) {
	a.trailer(metadata.Pairs(trailerLoad, report, trailerAway, "1"))
	code := codes.Unavailable
	if ev.Kind == engine.EventNoState {
		code = codes.FailedPrecondition
	}
	a.err = status.Error(code, "turned away: "+ev.Why)
}

func (a *grpcAnswer) read(ev engine.Event, report string) {
	a.load(report)
	a.kept = ev.Kept
}

func (a *grpcAnswer) failed(report string) {
	a.load(report)
	a.err = status.Error(codes.Internal, "error")
}

func (a *grpcAnswer) tokens(from int, ev engine.Event) {
	// A caller that has gone shows in the call's context.
	_ = a.stream.Send(&ashwoodpb.Token{Text: engine.AnswerText(a.id, from, ev.Tokens)})
}

func (a *grpcAnswer) end(_ int, _ engine.Event, report string) {
	a.load(report)
	_ = a.stream.Send(&ashwoodpb.Token{FinishReason: "stop"})
}

// spoil sends what is no message; the call then ends as broken.
func (a *grpcAnswer) spoil(engine.Fate) {
	a.err = status.Error(codes.DataLoss, "spoilt")
}

func (a *grpcAnswer) lost() { a.err = status.Error(codes.DataLoss, "the stream broke") }

func (a *grpcAnswer) hold(ctx context.Context) {
	if a.err == nil {
		<-ctx.Done()
	}
}

// Read reads a prompt.
func (s *boxServer) Read(ctx context.Context, in *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	first := s.e.clock.Now()
	j, err := jobOf(ctx, in)
	if err != nil {
		return nil, err
	}
	a := &grpcAnswer{id: j.Request, trailer: func(md metadata.MD) { _ = grpc.SetTrailer(ctx, md) }} // fails only outside a call
	s.e.run(ctx, viewIn(ctx), first, j, a)
	if a.err == nil {
		a.err = ctx.Err()
	}
	return &ashwoodpb.ReadResult{CachedTokens: uint32(a.kept)}, a.err
}

// Write fetches the state and streams the answer.
func (s *boxServer) Write(in *ashwoodpb.GenerateRequest, stream grpc.ServerStreamingServer[ashwoodpb.Token]) error {
	ctx, first := stream.Context(), s.e.clock.Now()
	j, err := jobOf(ctx, in)
	if err != nil {
		return err
	}
	a := &grpcAnswer{id: j.Request, stream: stream, trailer: stream.SetTrailer}
	s.e.run(ctx, viewIn(ctx), first, j, a)
	if a.err == nil {
		a.err = ctx.Err()
	}
	return a.err
}

// Reserve asks for a place.
func (s *boxServer) Reserve(ctx context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReserveResult, error) {
	v, first := viewIn(ctx), s.e.clock.Now()
	if err := s.e.travel(ctx, v, first); err != nil {
		return nil, err
	}
	kind, report, ok := s.e.place(ctx, v, in.GetRequestId(), first)
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_ = grpc.SetTrailer(ctx, metadata.Pairs(trailerLoad, report))
	if kind == engine.EventUnknown {
		return nil, status.Error(codes.NotFound, "no read is out")
	}
	return &ashwoodpb.ReserveResult{Held: kind == engine.EventHeld}, nil
}

// Release lets go of what is held.
func (s *boxServer) Release(ctx context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReleaseResult, error) {
	if !s.e.letGo(ctx, viewIn(ctx), in.GetRequestId()) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &ashwoodpb.ReleaseResult{}, nil
}

// Load tells the load report.
func (s *boxServer) Load(ctx context.Context, _ *ashwoodpb.LoadRequest) (*ashwoodpb.LoadResult, error) {
	report, ok := s.e.load(ctx, viewIn(ctx))
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_ = grpc.SetTrailer(ctx, metadata.Pairs(trailerLoad, report))
	return &ashwoodpb.LoadResult{}, nil
}
