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

// Metadata of the boxes' protocol.
const (
	trailerAway   = "ashwood-turned-away"
	trailerLoad   = "ashwood-load"
	metaRemaining = "ashwood-remaining-ms"
)

const (
	defaultConnect = 250.0
	lingers        = 120000.0         // ms that a forgotten box's answers have to end
	pingEvery      = 10 * time.Second // of a connection with calls on it
	pingWait       = 2 * time.Second
	idleAfter      = time.Minute
)

// Boxes is the transport to model boxes: one connection to each carries all
// its calls.
type Engines struct {
	clock   clock.Clock
	creds   credentials.TransportCredentials
	connect float64

	mu    sync.Mutex
	conns map[string]*boxConn // by address
}

// boxConn is a box's connection, and tells when one could not be made: the states
// that the library shows may come and go between two looks.
type boxConn struct {
	*grpc.ClientConn

	mu     sync.Mutex
	failed chan struct{} // closed when the next dial fails
}

func (c *boxConn) nextFailure() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

func (c *boxConn) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.failed)
		c.failed = make(chan struct{})
	}
	return nc, err
}

// NewBoxes makes a transport.
func NewEngines(set ashwood.Settings, creds credentials.TransportCredentials, c clock.Clock) *Engines {
	connect := clock.Millis(set.Limits.ConnectTimeout)
	if connect <= 0 {
		connect = defaultConnect
	}
	return &Engines{clock: c, creds: creds, connect: connect, conns: map[string]*boxConn{}}
}

// Keep forgets the boxes that a whole list no longer names. Their connections
// are closed only after a while, since answers may still come over them.
func (b *Engines) RetainOnly(list []ashwood.Server) {
	named := map[string]bool{}
	for _, v := range list {
		named[v.Address] = true
	}
	for _, cc := range b.forget(func(addr string) bool { return !named[addr] }) {
		b.clock.AfterFunc(lingers, func() { cc.Close() })
	}
}

// Close closes all connections.
func (b *Engines) Close() {
	for _, cc := range b.forget(func(string) bool { return true }) {
		cc.Close()
	}
}

func (b *Engines) forget(which func(addr string) bool) (list []*boxConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for addr, cc := range b.conns {
		if which(addr) {
			list = append(list, cc)
			delete(b.conns, addr)
		}
	}
	return list
}

// conn gives a box's connection once it is up. An error proves that nothing
// was sent.
func (b *Engines) conn(ctx context.Context, addr string) (*grpc.ClientConn, error) {
	cc, err := b.client(addr)
	if err != nil {
		return nil, err
	}
	return b.connected(ctx, cc, addr)
}

// connected gives a connection once it is up.
func (b *Engines) connected(ctx context.Context, cc *boxConn, addr string) (*grpc.ClientConn, error) {
	if cc.GetState() == connectivity.Ready {
		return cc.ClientConn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(b.connect))
	defer cancel()
	failed := cc.nextFailure()
	cc.Connect()
	cc.ResetConnectBackoff() // a call does not wait for an earlier failure's pause
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

func (b *Engines) client(addr string) (*boxConn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cc := b.conns[addr]; cc != nil {
		return cc, nil
	}
	c, err := b.newClient(addr)
	if err != nil {
		return nil, err
	}
	b.conns[addr] = c
	return c, nil
}

// newClient gives a connection of its own to an address, which is not up yet.
func (b *Engines) newClient(addr string) (*boxConn, error) {
	// The library may send a call again only where the box has not taken it up;
	// retries by policy are off.
	c := &boxConn{failed: make(chan struct{})}
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithContextDialer(c.dial),
		grpc.WithTransportCredentials(b.creds), grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(), grpc.WithStatsHandler(trailerWatch{}), grpc.WithIdleTimeout(idleAfter),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingWait}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
			MinConnectTimeout: clock.Duration(b.connect),
		}),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(newCodec())))
	if err != nil {
		return nil, fmt.Errorf("grpcfront: %s: %w", addr, err)
	}
	c.ClientConn = cc
	return c, nil
}

// trailerWatch tells a box's own status from one that the library makes up
// when a connection breaks: only the former comes in a trailer.
type trailerWatch struct{}

type trailerKey struct{}

func (trailerWatch) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (trailerWatch) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if seen, ok := ctx.Value(trailerKey{}).(*atomic.Bool); ok {
		if _, ok := s.(*stats.InTrailer); ok {
			seen.Store(true)
		}
	}
}

func (trailerWatch) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (trailerWatch) HandleConn(context.Context, stats.ConnStats) {}

// open writes a call whole. An error proves that it did not reach the box:
// grpc hands the message over whole or not at all. What headers gives goes with it, worked out
// once the connection is up.
func (b *Engines) open(
	ctx context.Context, box ashwood.Server, method string, msg any, ready func() bool, headers ...func() (name, value string),
) (*call, error) {
	cc, err := b.conn(ctx, box.Address)
	if err != nil {
		return nil, err
	}
	return openOn(ctx, cc, box, method, msg, ready, headers...)
}

// openOn is open on a connection that is up.
func openOn(
	ctx context.Context, cc *grpc.ClientConn, box ashwood.Server, method string, msg any, ready func() bool, headers ...func() (name, value string),
) (c *call, err error) {
	if !ready() {
		return nil, errNotReady
	}
	for _, header := range headers {
		name, value := header()
		ctx = metadata.AppendToOutgoingContext(ctx, name, value)
	}
	c = &call{trailed: &atomic.Bool{}}
	ctx = context.WithValue(ctx, trailerKey{}, c.trailed)
	if c.ClientStream, err = cc.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, method); err != nil {
		return nil, fmt.Errorf("grpcfront: %s: %v", box.ID, err)
	}
	if err = c.SendMsg(msg); errors.Is(err, io.EOF) {
		err = c.RecvMsg(&frame{}) // why the box has ended it before it had it
	}
	if err == nil {
		err = c.CloseSend()
	}
	if err != nil {
		return nil, fmt.Errorf("grpcfront: %s: %v", box.ID, err)
	}
	return c, nil
}

func always() bool { return true }

// Send carries out an attempt.
func (b *Engines) Send(ctx context.Context, a gateway.Attempt) gateway.AttemptResult {
	method := ashwoodpb.Box_Write_FullMethodName
	if a.Prefill {
		method = ashwoodpb.Box_Read_FullMethodName
	}
	begun := b.clock.Now()
	remaining := func() (name, value string) {
		left := max(a.Remaining-(b.clock.Now()-begun), 0)
		return metaRemaining, strconv.FormatFloat(left, 'f', 0, 64)
	}
	c, err := b.open(ctx, a.Engine, method, &frame{a.Body}, a.MayWrite, remaining)
	if err != nil {
		st := ashwood.StatusConnectFailed
		if ctx.Err() != nil || errors.Is(err, errNotReady) {
			st = ashwood.StatusNotSent
		}
		return gateway.AttemptResult{Result: ashwood.Result{Status: st}, Err: err}
	}
	a.OnSent()
	if a.Prefill {
		return c.read(a.Engine.ID)
	}
	first := &frame{}
	if err := c.RecvMsg(first); err != nil {
		return c.unserved(a.Engine.ID, err)
	}
	return gateway.AttemptResult{
		Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: &stream{call: c, box: a.Engine.ID, first: first},
	}
}

// Reserve asks a writer to hold a place.
func (b *Engines) Reserve(ctx context.Context, box ashwood.Server, id ashwood.RequestID, ready func() bool) gateway.ReserveResult {
	c, err := b.open(ctx, box, ashwoodpb.Box_Reserve_FullMethodName, &ashwoodpb.RoomRequest{RequestId: string(id)}, ready)
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

// Release lets go of what a box holds for a request. After a try without an answer it goes on a connection of its own:
// the box's may have gone silent alone, which the library's pings tell much later.
func (b *Engines) Release(ctx context.Context, box ashwood.Server, id ashwood.RequestID, fresh bool) error {
	connect := b.client
	if fresh {
		connect = b.newClient
	}
	conn, err := connect(box.Address)
	if err != nil {
		return err
	}
	if fresh {
		defer conn.Close()
	}
	cc, err := b.connected(ctx, conn, box.Address)
	if err != nil {
		return err
	}
	c, err := openOn(ctx, cc, box, ashwoodpb.Box_Release_FullMethodName, &ashwoodpb.RoomRequest{RequestId: string(id)}, always)
	if err != nil {
		return err
	}
	// The library takes the message also where the box is silent: only what comes back shows that it has it.
	err = c.RecvMsg(&frame{})
	switch {
	case err == nil, c.trailed.Load():
		return nil
	case ctx.Err() != nil:
		return fmt.Errorf("grpcfront: %s: %w: %w", box.ID, gateway.ErrUnanswered, err)
	}
	return fmt.Errorf("grpcfront: %s: %w", box.ID, err)
}

// Probe asks a box for its load.
func (b *Engines) Probe(ctx context.Context, box ashwood.Server) (ashwood.Status, ashwood.Report) {
	c, err := b.open(ctx, box, ashwoodpb.Box_Load_FullMethodName, &ashwoodpb.LoadRequest{}, always)
	if err != nil {
		return ashwood.StatusConnectFailed, nil
	}
	if err = c.RecvMsg(&frame{}); err == nil {
		err = c.RecvMsg(&frame{})
	}
	if !errors.Is(err, io.EOF) {
		return ashwood.StatusServerError, c.report()
	}
	return ashwood.StatusServed, c.report()
}
