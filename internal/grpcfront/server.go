package grpcfront

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/emptypb"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/reqlog"
)

const (
	maxMessage = 256 << 10
	maxStreams = 256 // of a connection
)

// Handler takes requests to their answers, as a gateway or a router does.
type Handler interface {
	Serve(ctx context.Context, req *gateway.Request) (gateway.Reply, error)
}

// frontName is this front's name to limits.
const frontName = "grpc"

// Server takes clients' calls.
type Server struct {
	gw      Handler
	clock   clock.Clock
	log     *slog.Logger
	classes map[string]float64 // deadlines in ms
	grpc    *grpc.Server
	health  *health.Server
	hosted  bool // on a host's server, with its codec
}

// NewServer makes a server that routes through gw.
func NewServer(gw Handler, set ashwood.Settings, creds credentials.TransportCredentials, c clock.Clock, log *slog.Logger) *Server {
	s := &Server{gw: gw, clock: c, log: log, classes: deadlines(set), health: health.NewServer()}
	s.grpc = grpc.NewServer(grpc.Creds(creds), grpc.ForceServerCodecV2(newCodec()), grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 5 * time.Minute, Time: time.Minute, Timeout: 5 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}))
	s.register(s.grpc)
	grpc_health_v1.RegisterHealthServer(s.grpc, s.health)
	return s
}

// Register has a host's own server answer Inference calls through gw. Its codec,
// credentials and limits are the host's.
func Register(host grpc.ServiceRegistrar, gw Handler, set ashwood.Settings, c clock.Clock, log *slog.Logger) {
	s := &Server{gw: gw, clock: c, log: log, classes: deadlines(set), hosted: true}
	s.register(host)
}

func (s *Server) register(host grpc.ServiceRegistrar) {
	// The handler takes frames, which the generated one would decode for good.
	desc := ashwoodpb.Inference_ServiceDesc
	desc.HandlerType = nil
	desc.Streams = []grpc.StreamDesc{{StreamName: "Generate", ServerStreams: true, Handler: s.generate}}
	host.RegisterService(&desc, nil)
}

func deadlines(set ashwood.Settings) map[string]float64 {
	classes := map[string]float64{}
	for _, class := range set.Classes {
		classes[class.Name] = clock.Millis(class.Deadline)
	}
	return classes
}

// message is what a call's messages are read into and written from. A host's codec
// knows protobuf alone: there, an empty message keeps all fields as the bytes that came.
func (s *Server) message(raw []byte) (msg any, bytes func() []byte) {
	if !s.hosted {
		f := &frame{raw}
		return f, func() []byte { return f.raw }
	}
	m := &emptypb.Empty{}
	m.ProtoReflect().SetUnknown(raw)
	return m, func() []byte { return m.ProtoReflect().GetUnknown() }
}

// Serve answers on a listener until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Drain has the health service send clients elsewhere.
func (s *Server) Drain() { s.health.Shutdown() }

// Shutdown takes nothing more and waits for what it has taken.
func (s *Server) Shutdown() { s.grpc.GracefulStop() }

// generate answers a call. A panic in one does not end the process.
func (s *Server) generate(_ any, ss grpc.ServerStream) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic", "value", p, "stack", string(debug.Stack()))
			err = status.Error(codes.Internal, "internal error")
		}
	}()
	in, raw := s.message(nil)
	if err := ss.RecvMsg(in); err != nil {
		return err
	}
	req, err := s.request(ss.Context(), raw())
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	reqlog.Write(s.log, reqlog.Change{ID: string(req.ID), Class: req.Class, State: reqlog.Read, Remaining: req.Remaining})
	reply, err := s.gw.Serve(ss.Context(), req)
	switch {
	case errors.Is(err, ashwood.ErrDuplicate):
		return status.Error(codes.AlreadyExists, err.Error())
	case err != nil:
		return status.Error(codes.InvalidArgument, err.Error())
	}
	switch reply.Kind {
	case gateway.Served:
		return s.pass(ss, reply.Stream)
	case gateway.Refused:
		return refusal(reply)
	case gateway.ClientGone:
		return status.FromContextError(context.Cause(ss.Context())).Err()
	}
	return failure(reply.Err)
}

// pass sends tokens on as they come.
func (s *Server) pass(ss grpc.ServerStream, stream gateway.Stream) error {
	defer stream.Close()
	for {
		piece, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return failure(err)
		}
		out, _ := s.message(piece)
		if err := ss.SendMsg(out); err != nil {
			return err
		}
	}
}

// refusal tells the client when to come back. Both codes say that the request
// never ran, or may be repeated: RESOURCE_EXHAUSTED that there was no room for
// it, UNAVAILABLE that no box has answered.
func refusal(reply gateway.Reply) error {
	code := codes.ResourceExhausted
	if reply.Err != nil {
		code = codes.Unavailable
	}
	st, err := status.New(code, "refused: try again later").WithDetails(&errdetails.RetryInfo{
		RetryDelay: durationpb.New(clock.Duration(reply.RetryAfter)),
	})
	if err != nil {
		return status.Error(code, "refused: try again later")
	}
	return st.Err()
}

// failure keeps a box's code. A lost connection gets UNKNOWN: it may have run,
// and clients repeat UNAVAILABLE by themselves.
func failure(err error) error {
	st, ok := status.FromError(err)
	switch {
	case errors.Is(err, gateway.ErrFirstTokenTimeout):
		return status.Error(codes.DeadlineExceeded, err.Error())
	case errors.Is(err, gateway.ErrClientGone):
		return status.Error(codes.Canceled, err.Error())
	case err == nil:
		return status.Error(codes.Unknown, "failed: it may have run")
	case ok && st.Code() != codes.OK:
		return st.Err()
	}
	return status.Error(codes.Unknown, "failed: it may have run: "+err.Error())
}

// request takes out the fields that decisions need.
func (s *Server) request(ctx context.Context, raw []byte) (*gateway.Request, error) {
	var in ashwoodpb.GenerateRequest
	if err := proto.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	if in.GetRequestId() == "" {
		return nil, errors.New("request_id is missing")
	}
	left, ok := s.classes[in.GetClass()]
	if !ok {
		return nil, errors.New("class is unknown: " + in.GetClass())
	}
	if ms := in.GetFirstTokenMs(); ms > 0 {
		left = float64(ms)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, clock.Millis(time.Until(deadline))) // not by the wall clock, which may be stepped
	}
	return &gateway.Request{Front: frontName, ClientAddr: clientAddr(ctx), Body: raw, RequestInfo: ashwood.RequestInfo{
		ID: ashwood.RequestID(in.GetRequestId()), Class: in.GetClass(), Tenant: in.GetTenant(),
		Session: gateway.AffinityKey(in.GetSession()), Prefix: gateway.AffinityKey(in.GetPrefix()), PromptTokens: float64(in.GetPromptTokens()),
		PrefixTokens: float64(in.GetPrefixTokens()), MaxOutputTokens: float64(in.GetMaxTokens()),
		Remaining: max(left, 0), Retry: in.GetResent(),
	}}, nil
}

// clientAddr is the address that a call comes from, zero where it has none.
func clientAddr(ctx context.Context) netip.Addr {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return netip.Addr{}
	}
	at, err := netip.ParseAddrPort(p.Addr.String())
	if err != nil {
		return netip.Addr{}
	}
	return at.Addr().Unmap()
}
