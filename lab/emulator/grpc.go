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

// Metadata of the engines' gRPC protocol.
const (
	trailerRejected   = "ashwood-turned-away"
	trailerLoad       = "ashwood-load"
	metadataRemaining = "ashwood-remaining-ms"
)

// engineServer is the gRPC Box service of all engines; the connection tells which
// engine is meant.
type engineServer struct {
	ashwoodpb.UnimplementedBoxServer
	emulator *Emulator
}

func (e *Emulator) serveGRPC() {
	e.grpc = grpc.NewServer(grpc.StatsHandler(&connTags{emulator: e}), grpc.MaxRecvMsgSize(maxBody+4096))
	ashwoodpb.RegisterBoxServer(e.grpc, &engineServer{emulator: e})
}

// connTags tags calls with the endpoint whose listener accepted their connection.
type connTags struct {
	emulator *Emulator
	once     sync.Once
	byAddr   map[string]*endpoint
}

func (t *connTags) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	t.once.Do(func() {
		t.byAddr = map[string]*endpoint{}
		for _, endpoints := range t.emulator.endpoints {
			for _, ep := range endpoints {
				t.byAddr[ep.grpc.addr] = ep
			}
		}
	})
	return context.WithValue(ctx, endpointKey{}, t.byAddr[info.LocalAddr.String()])
}

func (t *connTags) HandleConn(context.Context, stats.ConnStats)                     {}
func (t *connTags) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (t *connTags) HandleRPC(context.Context, stats.RPCStats)                       {}

func endpointFrom(ctx context.Context) *endpoint { return ctx.Value(endpointKey{}).(*endpoint) }

func jobFromProto(ctx context.Context, in *ashwoodpb.GenerateRequest) (engine.Job, error) {
	j := engine.Job{
		Request: in.GetRequestId(), Class: in.GetClass(), MaxOutputTokens: int(in.GetMaxTokens()),
		Prompt: engine.Prompt{
			Session: in.GetSession(), Prefix: in.GetPrefix(), Tokens: float64(in.GetPromptTokens()), PrefixTokens: float64(in.GetPrefixTokens()),
		},
	}
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get(metadataRemaining); len(v) == 1 {
		left, err := strconv.ParseFloat(v[0], 64)
		if err != nil || left < 0 {
			return j, status.Errorf(codes.InvalidArgument, "%s: %q", metadataRemaining, v[0])
		}
		j.Remaining = left
	}
	if j.Request == "" || j.Class == "" || j.Prompt.Tokens < 1 || j.Prompt.PrefixTokens > j.Prompt.Tokens {
		return j, status.Error(codes.InvalidArgument, "request_id, class or prompt_tokens can't be used")
	}
	return j, nil
}

// grpcAnswer writes an attempt's answer to a gRPC call.
type grpcAnswer struct {
	requestID    string
	stream       grpc.ServerStreamingServer[ashwoodpb.Token] // of a Write call
	trailer      func(metadata.MD)
	cachedTokens int
	err          error
}

func (a *grpcAnswer) setLoad(report string) { a.trailer(metadata.Pairs(trailerLoad, report)) }

func (a *grpcAnswer) rejected(ev engine.Event, report string) {
	a.trailer(metadata.Pairs(trailerLoad, report, trailerRejected, "1"))
	code := codes.Unavailable
	if ev.Kind == engine.EventNoState {
		code = codes.FailedPrecondition
	}
	a.err = status.Error(code, "turned away: "+ev.Reason)
}

func (a *grpcAnswer) prefilled(ev engine.Event, report string) {
	a.setLoad(report)
	a.cachedTokens = ev.CachedTokens
}

func (a *grpcAnswer) failed(report string) {
	a.setLoad(report)
	a.err = status.Error(codes.Internal, "error")
}

func (a *grpcAnswer) tokens(from int, ev engine.Event) {
	// If the caller has gone, the call's context shows it.
	_ = a.stream.Send(&ashwoodpb.Token{Text: engine.AnswerText(a.requestID, from, ev.Tokens)})
}

func (a *grpcAnswer) finished(_ int, _ engine.Event, report string) {
	a.setLoad(report)
	_ = a.stream.Send(&ashwoodpb.Token{FinishReason: "stop"})
}

// malformed ends the call as broken, in place of a message that can't be decoded.
func (a *grpcAnswer) malformed(engine.StreamFault) {
	a.err = status.Error(codes.DataLoss, "spoilt")
}

func (a *grpcAnswer) broken() { a.err = status.Error(codes.DataLoss, "the stream broke") }

func (a *grpcAnswer) stall(ctx context.Context) {
	if a.err == nil {
		<-ctx.Done()
	}
}

// Read prefills a prompt.
func (s *engineServer) Read(ctx context.Context, in *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	firstByte := s.emulator.clock.Now()
	j, err := jobFromProto(ctx, in)
	if err != nil {
		return nil, err
	}
	a := &grpcAnswer{requestID: j.Request, trailer: func(md metadata.MD) { _ = grpc.SetTrailer(ctx, md) }} // fails only outside a call
	s.emulator.serveAttempt(ctx, endpointFrom(ctx), firstByte, j, a)
	if a.err == nil {
		a.err = ctx.Err()
	}
	return &ashwoodpb.ReadResult{CachedTokens: uint32(a.cachedTokens)}, a.err
}

// Write fetches the KV state and streams the answer.
func (s *engineServer) Write(in *ashwoodpb.GenerateRequest, stream grpc.ServerStreamingServer[ashwoodpb.Token]) error {
	ctx, firstByte := stream.Context(), s.emulator.clock.Now()
	j, err := jobFromProto(ctx, in)
	if err != nil {
		return err
	}
	a := &grpcAnswer{requestID: j.Request, stream: stream, trailer: stream.SetTrailer}
	s.emulator.serveAttempt(ctx, endpointFrom(ctx), firstByte, j, a)
	if a.err == nil {
		a.err = ctx.Err()
	}
	return a.err
}

// Reserve asks for a reservation.
func (s *engineServer) Reserve(ctx context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReserveResult, error) {
	ep, firstByte := endpointFrom(ctx), s.emulator.clock.Now()
	if err := s.emulator.networkDelay(ctx, ep, firstByte); err != nil {
		return nil, err
	}
	kind, report, ok := s.emulator.askReservation(ctx, ep, in.GetRequestId(), firstByte)
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_ = grpc.SetTrailer(ctx, metadata.Pairs(trailerLoad, report))
	if kind == engine.EventNoPrefill {
		return nil, status.Error(codes.NotFound, "no read is out")
	}
	return &ashwoodpb.ReserveResult{Held: kind == engine.EventReserved}, nil
}

// Release releases what is held for a request.
func (s *engineServer) Release(ctx context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReleaseResult, error) {
	if !s.emulator.releaseHolds(ctx, endpointFrom(ctx), in.GetRequestId()) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &ashwoodpb.ReleaseResult{}, nil
}

// Load returns the load report.
func (s *engineServer) Load(ctx context.Context, _ *ashwoodpb.LoadRequest) (*ashwoodpb.LoadResult, error) {
	report, ok := s.emulator.probeLoad(ctx, endpointFrom(ctx))
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_ = grpc.SetTrailer(ctx, metadata.Pairs(trailerLoad, report))
	return &ashwoodpb.LoadResult{}, nil
}
