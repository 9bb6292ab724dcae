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

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/reqlog"
)

const (
	maxMessageBytes   = 256 << 10
	maxStreamsPerConn = 256
	streamWindowBytes = 64 << 10
	connWindowBytes   = 1 << 20
)

// Handler serves requests, as a gateway or a router does.
type Handler interface {
	Serve(ctx context.Context, req *gateway.Request) (gateway.Reply, error)
}

// frontName is this front's name in the configuration of limits.
const frontName = "grpc"

// Server serves the calls of clients.
type Server struct {
	handler   Handler
	clock     clock.Clock
	log       *slog.Logger
	deadlines map[string]float64 // in ms, by class
	grpc      *grpc.Server
	health    *health.Server
	calls     *callTracker
	hosted    bool // registered on a host's server, with the host's codec
}

// NewServer returns a server that passes requests to handler. Its clients' calls need at most maxBytes of memory,
// for all processes of this gateway.
func NewServer(handler Handler, settings ashwood.Settings, creds credentials.TransportCredentials, maxBytes int64, c clock.Clock, log *slog.Logger) *Server {
	refusal := gateway.Reply{Kind: gateway.Refused, RetryAfter: clock.Millis(settings.Limits.MaxRetryAfter)}
	calls := newCallTracker(maxBytes, refusal, c, log)
	s := &Server{handler: handler, clock: c, log: log, deadlines: classDeadlines(settings), health: health.NewServer(), calls: calls}
	s.grpc = grpc.NewServer(append(sizeOptions(), grpc.Creds(creds), grpc.ForceServerCodecV2(newPassthroughCodec()),
		grpc.InTapHandle(calls.begin), grpc.StreamInterceptor(interceptStream), grpc.UnaryInterceptor(interceptUnary),
		grpc.ConnectionTimeout(clock.Duration(readTimeout)),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 5 * time.Minute, Time: time.Minute, Timeout: 5 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}))...)
	s.register(s.grpc)
	grpc_health_v1.RegisterHealthServer(s.grpc, s.health)
	return s
}

// sizeOptions limits what a client may send. The windows are static: dynamic ones grow with the traffic, and a
// call's window is what it may send before its handler reads.
func sizeOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(maxHeaderBytes), grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.StaticStreamWindowSize(streamWindowBytes), grpc.StaticConnWindowSize(connWindowBytes),
	}
}

// Register adds the Inference service to a host's own gRPC server and passes its requests
// to handler. Codec, credentials and limits, also on unfinished calls, are the host's.
func Register(host grpc.ServiceRegistrar, handler Handler, settings ashwood.Settings, c clock.Clock, log *slog.Logger) {
	s := &Server{handler: handler, clock: c, log: log, deadlines: classDeadlines(settings), hosted: true}
	s.register(host)
}

func (s *Server) register(host grpc.ServiceRegistrar) {
	// This handler receives raw messages; the generated one would decode them.
	desc := ashwoodpb.Inference_ServiceDesc
	desc.HandlerType = nil
	desc.Streams = []grpc.StreamDesc{{StreamName: "Generate", ServerStreams: true, Handler: s.generate}}
	host.RegisterService(&desc, nil)
}

func classDeadlines(settings ashwood.Settings) map[string]float64 {
	deadlines := map[string]float64{}
	for _, class := range settings.Classes {
		deadlines[class.Name] = clock.Millis(class.Deadline)
	}
	return deadlines
}

// newMessage returns a message to receive into or to send, and a function that returns its
// bytes. A host's codec knows only protobuf: there, an empty message keeps all fields as
// the unknown bytes received.
func (s *Server) newMessage(raw []byte) (msg any, bytes func() []byte) {
	if !s.hosted {
		f := &rawMessage{raw}
		return f, func() []byte { return f.bytes }
	}
	m := &emptypb.Empty{}
	m.ProtoReflect().SetUnknown(raw)
	return m, func() []byte { return m.ProtoReflect().GetUnknown() }
}

// Serve serves calls on a listener until Shutdown, from at most maxConns connections at once; 0 means no limit.
func (s *Server) Serve(l net.Listener, maxConns int) error {
	l = trackedListener{l, s.calls}
	if maxConns > 0 {
		l = netutil.LimitListener(l, maxConns)
	}
	return s.grpc.Serve(l)
}

// SetProcesses sets the number of processes among which the memory for calls is divided.
func (s *Server) SetProcesses(processes int) { s.calls.setProcesses(processes) }

// ExpireReadsAfter ends calls whose request is not complete after d, also those that begin later.
func (s *Server) ExpireReadsAfter(d time.Duration) { s.calls.expireReadsAfter(d) }

// Drain makes the health service report that the server is not serving, so that clients go elsewhere.
func (s *Server) Drain() { s.health.Shutdown() }

// Shutdown accepts no new calls and waits for the open ones to end.
func (s *Server) Shutdown() { s.grpc.GracefulStop() }

// generate serves one Generate call. A panic in it does not end the process.
func (s *Server) generate(_ any, serverStream grpc.ServerStream) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic", "value", p, "stack", string(debug.Stack()))
			err = status.Error(codes.Internal, "internal error")
		}
	}()
	in, raw := s.newMessage(nil)
	if err := serverStream.RecvMsg(in); err != nil {
		return err
	}
	req, err := s.parseRequest(serverStream.Context(), raw())
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if call := callOf(serverStream.Context()); call != nil {
		req.ClientLeft = func(ctx context.Context) bool { return call.conn.hasLeft(ctx, serverStream.Context()) }
	}
	reqlog.Write(s.log, reqlog.Change{ID: string(req.ID), Class: req.Class, State: reqlog.Read, Remaining: req.Remaining})
	reply, err := s.handler.Serve(serverStream.Context(), req)
	switch {
	case errors.Is(err, ashwood.ErrDuplicate):
		return status.Error(codes.AlreadyExists, err.Error())
	case err != nil:
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if call := callOf(serverStream.Context()); call != nil && (reply.Kind == gateway.Served || reply.Kind == gateway.Failed) {
		call.recordWork()
	}
	switch reply.Kind {
	case gateway.Served:
		return s.relayStream(serverStream, reply.Stream)
	case gateway.Refused:
		return refusalStatus(reply)
	case gateway.ClientGone:
		return departureStatus(serverStream.Context())
	}
	return failureStatus(reply.Err)
}

// relayStream sends tokens to the client as they arrive.
func (s *Server) relayStream(serverStream grpc.ServerStream, stream gateway.Stream) error {
	defer stream.Close()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return failureStatus(err)
		}
		out, _ := s.newMessage(token)
		if err := serverStream.SendMsg(out); err != nil {
			return err
		}
	}
}

// parseRequest decodes the fields that decisions need.
func (s *Server) parseRequest(ctx context.Context, raw []byte) (*gateway.Request, error) {
	var in ashwoodpb.GenerateRequest
	if err := proto.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	if in.GetRequestId() == "" {
		return nil, errors.New("request_id is missing")
	}
	remaining, ok := s.deadlines[in.GetClass()]
	if !ok {
		return nil, errors.New("class is unknown: " + in.GetClass())
	}
	if ms := in.GetFirstTokenMs(); ms > 0 {
		remaining = float64(ms)
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, clock.Millis(time.Until(deadline))) // time.Until uses the monotonic clock; the wall clock may be stepped
	}
	return &gateway.Request{Front: frontName, ClientAddr: clientAddr(ctx), Body: raw, RequestInfo: ashwood.RequestInfo{
		ID: ashwood.RequestID(in.GetRequestId()), Class: in.GetClass(), Tenant: in.GetTenant(),
		Session: gateway.AffinityKey(in.GetSession()), Prefix: gateway.AffinityKey(in.GetPrefix()), PromptTokens: float64(in.GetPromptTokens()),
		PrefixTokens: float64(in.GetPrefixTokens()), MaxOutputTokens: float64(in.GetMaxTokens()),
		Remaining: max(remaining, 0), Retry: in.GetResent(),
	}}, nil
}

// clientAddr returns the address that a call comes from, or the zero Addr if it has none.
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
