package grpcfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// Metadata and trailer names of the engines' protocol.
const (
	trailerTurnedAway = "ashwood-turned-away"
	trailerLoad       = "ashwood-load"
	metaRemaining     = "ashwood-remaining-ms"
)

const (
	defaultConnectTimeout = 250.0            // ms
	removedConnGrace      = 120000.0         // ms that the answers of a removed engine have to end
	keepaliveInterval     = 10 * time.Second // on a connection with calls in flight
	keepaliveTimeout      = 2 * time.Second
	idleTimeout           = time.Minute
	maxHeaderAge          = 100 * time.Millisecond // of a call whose message is sent: its headers tell the time that the client has left
)

// Engines is the transport to engines: one connection to each engine carries all
// its calls.
type Engines struct {
	clock          clock.Clock
	creds          credentials.TransportCredentials
	connectTimeout float64 // ms

	mu    sync.Mutex
	conns map[string]*engineConn // by address
}

// engineConn is the connection to an engine. It signals failed dials itself, because the
// states that the gRPC library reports may come and go between two checks.
type engineConn struct {
	*grpc.ClientConn

	mu         sync.Mutex
	dialFailed chan struct{} // closed when the next dial fails
}

func (c *engineConn) nextDialFailure() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialFailed
}

func (c *engineConn) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.dialFailed)
		c.dialFailed = make(chan struct{})
	}
	return nc, err
}

// NewEngines returns a transport without connections.
func NewEngines(settings ashwood.Settings, creds credentials.TransportCredentials, c clock.Clock) *Engines {
	connectTimeout := clock.Millis(settings.Limits.ConnectTimeout)
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	return &Engines{clock: c, creds: creds, connectTimeout: connectTimeout, conns: map[string]*engineConn{}}
}

// RetainOnly removes the engines that a membership snapshot no longer contains. Their
// connections are closed only after a grace period, since answers may still arrive on them.
func (e *Engines) RetainOnly(servers []ashwood.Server) {
	present := map[string]bool{}
	for _, server := range servers {
		present[server.Address] = true
	}
	for _, cc := range e.removeConns(func(addr string) bool { return !present[addr] }) {
		e.clock.AfterFunc(removedConnGrace, func() { cc.Close() })
	}
}

// Close closes all connections.
func (e *Engines) Close() {
	for _, cc := range e.removeConns(func(string) bool { return true }) {
		cc.Close()
	}
}

func (e *Engines) removeConns(remove func(addr string) bool) (removed []*engineConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for addr, cc := range e.conns {
		if remove(addr) {
			removed = append(removed, cc)
			delete(e.conns, addr)
		}
	}
	return removed
}

// readyConn returns the shared connection to an address once it is ready. An error
// proves that nothing was sent.
func (e *Engines) readyConn(ctx context.Context, addr string) (*grpc.ClientConn, error) {
	cc, err := e.sharedConn(addr)
	if err != nil {
		return nil, err
	}
	return e.waitReady(ctx, cc, addr)
}

// waitReady returns a connection once it is ready.
func (e *Engines) waitReady(ctx context.Context, cc *engineConn, addr string) (*grpc.ClientConn, error) {
	if cc.GetState() == connectivity.Ready {
		return cc.ClientConn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(e.connectTimeout))
	defer cancel()
	failed := cc.nextDialFailure()
	cc.Connect()
	cc.ResetConnectBackoff() // a call does not wait for the backoff of an earlier failure
	go func() {
		select {
		case <-failed:
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		switch state := cc.GetState(); state {
		case connectivity.Ready:
			return cc.ClientConn, nil
		case connectivity.Shutdown:
			return nil, fmt.Errorf("grpcfront: no connection to %s", addr)
		default:
			if state == connectivity.Idle {
				cc.Connect()
			}
			if !cc.WaitForStateChange(ctx, state) {
				return nil, fmt.Errorf("grpcfront: no connection to %s: %w", addr, ctx.Err())
			}
		}
	}
}

func (e *Engines) sharedConn(addr string) (*engineConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cc := e.conns[addr]; cc != nil {
		return cc, nil
	}
	c, err := e.newConn(addr)
	if err != nil {
		return nil, err
	}
	e.conns[addr] = c
	return c, nil
}

// newConn returns an unshared connection to an address, which is not ready yet.
func (e *Engines) newConn(addr string) (*engineConn, error) {
	// The library retries a call only if the engine has not processed it;
	// retries by policy are disabled.
	c := &engineConn{dialFailed: make(chan struct{})}
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithContextDialer(c.dial),
		grpc.WithTransportCredentials(e.creds), grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(), grpc.WithStatsHandler(trailerObserver{}), grpc.WithIdleTimeout(idleTimeout),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
			MinConnectTimeout: clock.Duration(e.connectTimeout),
		}),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(newPassthroughCodec())))
	if err != nil {
		return nil, fmt.Errorf("grpcfront: %s: %w", addr, err)
	}
	c.ClientConn = cc
	return c, nil
}

// trailerObserver distinguishes an engine's own status from one that the library
// generates when a connection breaks: only the former arrives in a trailer.
type trailerObserver struct{}

type trailerSeenKey struct{}

func (trailerObserver) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (trailerObserver) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if seen, ok := ctx.Value(trailerSeenKey{}).(*atomic.Bool); ok {
		if _, ok := s.(*stats.InTrailer); ok {
			seen.Store(true)
		}
	}
}

func (trailerObserver) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (trailerObserver) HandleConn(context.Context, stats.ConnStats) {}

// openCall sends a complete request. An error proves that it did not reach the engine:
// grpc hands over the whole message or nothing. The headers are computed once the connection
// is ready.
func (e *Engines) openCall(
	ctx context.Context, engine ashwood.Server, method string, msg any, mayWrite func() bool, headers ...func() (name, value string),
) (*engineCall, error) {
	cc, err := e.readyConn(ctx, engine.Address)
	if err != nil {
		return nil, err
	}
	return openCallOn(ctx, cc, engine, method, msg, mayWrite, headers...)
}

// openCallOn is openCall on a connection that is ready.
func openCallOn(
	ctx context.Context, cc *grpc.ClientConn, engine ashwood.Server, method string, msg any, mayWrite func() bool, headers ...func() (name, value string),
) (c *engineCall, err error) {
	if !mayWrite() {
		return nil, errNotReady
	}
	headersAt := time.Now()
	for _, header := range headers {
		name, value := header()
		ctx = metadata.AppendToOutgoingContext(ctx, name, value)
	}
	c = &engineCall{trailerSeen: &atomic.Bool{}}
	ctx, c.cancel = context.WithCancel(context.WithValue(ctx, trailerSeenKey{}, c.trailerSeen))
	defer func() {
		if err != nil {
			c.cancel()
		}
	}()
	if c.ClientStream, err = cc.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, method); err != nil {
		return nil, fmt.Errorf("grpcfront: %s: %v", engine.ID, err)
	}
	// It may have waited for a free stream; without its message the call does not run.
	if !mayWrite() || time.Since(headersAt) > maxHeaderAge {
		return nil, errNotReady
	}
	if err = c.SendMsg(msg); errors.Is(err, io.EOF) {
		err = c.RecvMsg(&rawMessage{}) // the status with which the engine ended the call before it had the request
	}
	if err == nil {
		err = c.CloseSend()
	}
	if err != nil {
		return nil, fmt.Errorf("grpcfront: %s: %v", engine.ID, err)
	}
	return c, nil
}

func alwaysReady() bool { return true }

// Send makes an attempt. For a decode attempt it returns once the first token has arrived.
func (e *Engines) Send(ctx context.Context, attempt gateway.Attempt) gateway.AttemptResult {
	method := ashwoodpb.Box_Write_FullMethodName
	if attempt.Prefill {
		method = ashwoodpb.Box_Read_FullMethodName
	}
	startedAt := e.clock.Now()
	remaining := func() (name, value string) {
		remainingMs := max(attempt.Remaining-(e.clock.Now()-startedAt), 0)
		return metaRemaining, strconv.FormatFloat(remainingMs, 'f', 0, 64)
	}
	c, err := e.openCall(ctx, attempt.Engine, method, &rawMessage{attempt.Body}, attempt.MayWrite, remaining)
	if err != nil {
		status := ashwood.StatusConnectFailed
		if ctx.Err() != nil || errors.Is(err, errNotReady) {
			status = ashwood.StatusNotSent
		}
		return gateway.AttemptResult{Result: ashwood.Result{Status: status}, Err: err}
	}
	attempt.OnSent()
	if attempt.Prefill {
		return c.receivePrefill(attempt.Engine.ID)
	}
	first := &rawMessage{}
	if err := c.RecvMsg(first); err != nil {
		return c.failedAttempt(attempt.Engine.ID, err)
	}
	return gateway.AttemptResult{
		Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: &engineStream{engineCall: c, engine: attempt.Engine.ID, first: first},
	}
}

// Reserve asks a decode engine for a reservation.
func (e *Engines) Reserve(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, mayWrite func() bool) gateway.ReserveResult {
	c, err := e.openCall(ctx, engine, ashwoodpb.Box_Reserve_FullMethodName, &ashwoodpb.RoomRequest{RequestId: string(id)}, mayWrite)
	if err != nil {
		return gateway.ReserveNotSent
	}
	var res ashwoodpb.ReserveResult
	switch err := c.RecvMsg(&res); {
	case err != nil:
		return gateway.ReserveUnknown
	case res.GetHeld():
		return gateway.ReserveHeld
	}
	return gateway.ReserveRefused
}

// Release has an engine drop its holds for a request. After a try without an answer, newConn makes it use a connection of
// its own: the shared one alone may have gone silent, which the library's keep-alive detects much later.
func (e *Engines) Release(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, newConn bool) error {
	getConn := e.sharedConn
	if newConn {
		getConn = e.newConn
	}
	conn, err := getConn(engine.Address)
	if err != nil {
		return err
	}
	if newConn {
		defer conn.Close()
	}
	cc, err := e.waitReady(ctx, conn, engine.Address)
	if err != nil {
		return err
	}
	c, err := openCallOn(ctx, cc, engine, ashwoodpb.Box_Release_FullMethodName, &ashwoodpb.RoomRequest{RequestId: string(id)}, alwaysReady)
	if err != nil {
		return err
	}
	// The library accepts the message even if the engine is silent: only a response shows that the engine has received it.
	err = c.RecvMsg(&rawMessage{})
	switch {
	case err == nil, c.trailerSeen.Load():
		return nil
	case ctx.Err() != nil:
		return fmt.Errorf("grpcfront: %s: %w: %w", engine.ID, gateway.ErrUnanswered, err)
	}
	return fmt.Errorf("grpcfront: %s: %w", engine.ID, err)
}

// Probe asks an engine for its load report.
func (e *Engines) Probe(ctx context.Context, engine ashwood.Server) (ashwood.Status, ashwood.Report) {
	c, err := e.openCall(ctx, engine, ashwoodpb.Box_Load_FullMethodName, &ashwoodpb.LoadRequest{}, alwaysReady)
	if err != nil {
		return ashwood.StatusConnectFailed, nil
	}
	if err = c.RecvMsg(&rawMessage{}); err == nil {
		err = c.RecvMsg(&rawMessage{})
	}
	if !errors.Is(err, io.EOF) {
		return ashwood.StatusServerError, c.report()
	}
	return ashwood.StatusServed, c.report()
}
