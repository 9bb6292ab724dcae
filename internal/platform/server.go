package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/reqlog"
)

const (
	maxBody = 256 << 10
	// From a connection's begin to its first request's last byte: some write for 2 s, and
	// who never ends is owed an error or a close within 3 s. Later ones have as long from
	// their first byte.
	readTimeout = 2700 * time.Millisecond
	idleTimeout = 5 * time.Second // between requests
	readyPath   = "/-/ready"
	frontName   = "http" // to limits
)

// Handler takes requests to their answers, as a gateway or a router does.
type Handler interface {
	Serve(ctx context.Context, req *gateway.Request) (gateway.Reply, error)
	// TurnAway tells of a request of a class that is refused before, for want of room, and
	// gives the ms that its client is to stay away; 0 = no advice.
	TurnAway(class string) float64
}

// Server takes clients' requests.
type Server struct {
	gw       Handler
	log      *slog.Logger
	http     *fasthttp.Server
	in       *listener
	draining atomic.Bool // for good
	yielding atomic.Bool // while a newer process serves
	adopted  sync.WaitGroup
	expiry   atomic.Pointer[time.Timer] // of EndBy

	closeIdle sync.Once // begins the closing of idle connections, or keeps it from beginning
	idle      sync.WaitGroup
	stopping  chan struct{} // closed as Shutdown begins
	stopOnce  sync.Once
}

// NewServer makes a server for at most limit connections at once: its listener sees to
// that. fasthttp's own limit answers beyond it, without a time to return, and counts
// connections that are being closed; it is left at what is never reached.
func NewServer(gw Handler, log *slog.Logger, limit int) *Server {
	s := &Server{gw: gw, log: log, in: newListener(nil, limit), stopping: make(chan struct{})}
	s.in.log = log
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.malformed, MaxRequestBodySize: maxBody,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, NoDefaultServerHeader: true, NoDefaultDate: true,
		CloseOnShutdown: true, Logger: discard{},
		ReduceMemoryUsage: true, // or each idle connection would keep its last request's body
	}
	return s
}

type discard struct{}

func (discard) Printf(string, ...any) {}

// Serve answers on a listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.in.mu.Lock() // a Shutdown may come at once
	s.in.Listener = l
	s.in.mu.Unlock()
	return s.http.Serve(s.in)
}

// Yield has each answer close its connection, as Drain does, for as long as a newer
// process takes clients on the same address.
func (s *Server) DisableKeepAlives(on bool) { s.yielding.Store(on) }

// Share says how many processes share the connections that the limit allows.
func (s *Server) SetProcesses(processes int) { s.in.share(processes) }

// EndBy says how long requests may still be read, since the process ends. Those of which
// a part has come get the error of a request that is not whole in time.
func (s *Server) ExpireReadsAfter(left time.Duration) {
	at := time.Now().Add(left)
	s.in.readBy.Store(&at)
	s.expiry.Store(time.AfterFunc(left, s.in.expire))
}

// Shutdown takes nothing more and waits for what it has taken, until ctx ends. Connections without a request
// are closed here: the library's own sweep compares readings of the wall clock, leaves new
// connections that have brought nothing for 5 s, and drops a request that has just been read. It comes when none is open.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.StopAccepting()
	s.stopDraining()
	closed := s.in.closeIdle()
	s.log.Info("shutdown: connections without a request are closed", "count", closed)
	err := s.in.waitOpen(ctx)
	if err == nil {
		err = s.http.ShutdownWithContext(ctx)
	}
	s.adopted.Wait() // each ends with its answer: its connection is closed behind it by now
	s.in.wait()
	if t := s.expiry.Load(); t != nil {
		t.Stop()
	}
	return err
}

// malformed answers what could not be read as a request.
func (s *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	code := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		code = fasthttp.StatusRequestTimeout
		s.log.Debug("turned back", "why", "slow")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		code = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Error(err.Error(), code)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic", "value", p, "stack", string(debug.Stack()))
			ctx.Error("internal error", fasthttp.StatusInternalServerError)
		}
	}()
	c, own := ctx.Conn().(*clientConn)
	clean := own && c.take(&ctx.Request)
	switch {
	case own && c.sentAhead() && s.isStopping(): // it is refused, as where its connection is closed behind that answer
		refuse(ctx, 0)
	case string(ctx.Path()) == readyPath && ctx.IsGet():
		ctx.SetStatusCode(s.readiness())
		if own { // it is no request of a client's, and nothing more is owed for it
			c.end()
		}
	default:
		HandleFastHTTP(ctx, s.gw, frontName)
	}
	if s.draining.Load() || s.yielding.Load() {
		ctx.SetConnectionClose()
	}
	if b, ok := ctx.Response.BodyStream().(*body); ok {
		b.movable = clean && ctx.Request.Header.IsHTTP11()
		b.closes = ctx.Response.ConnectionClose() || ctx.Request.Header.ConnectionClose()
	}
}

// readiness is the answer to who asks whether this process takes clients.
func (s *Server) readiness() int {
	if s.draining.Load() {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusOK
}

// Answer routes a request in the platform's form and answers it. A streamed
// answer goes on after Answer has returned, for as long as it lasts.
func HandleFastHTTP(ctx *fasthttp.RequestCtx, gw Handler, front string) {
	req, err := parseRequest(&ctx.Request)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		ctx.SetConnectionClose() // what follows may not begin where it seems to
		return
	}
	req.Front = front
	if addr, ok := netip.AddrFromSlice(ctx.RemoteIP()); ok {
		req.ClientAddr = addr.Unmap()
	}
	client, gone := context.WithCancel(context.Background())
	conn, _ := ctx.Conn().(*clientConn)
	logRead(conn, ctx, req)
	room := true
	if conn != nil {
		room = conn.begin()
		conn.watch(gone)
	}
	end := func() {
		gone()
		if conn != nil {
			conn.unwatch()
			conn.end()
		}
	}
	streams := false
	defer func() {
		if !streams {
			end()
		}
	}()
	if !room {
		refuse(ctx, gw.TurnAway(req.Class))
		return
	}
	reply, err := gw.Serve(client, req)
	switch {
	case errors.Is(err, ashwood.ErrDuplicate):
		ctx.Error(err.Error(), fasthttp.StatusConflict)
		return
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	switch reply.Kind {
	case gateway.Served:
		streams = true
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(&body{
			stream: reply.Stream, end: end, conn: conn, client: client, gone: gone,
		}, -1)
	case gateway.Refused:
		refuse(ctx, reply.RetryAfter)
	case gateway.Failed:
		ctx.Error(failedText(reply.Err), fasthttp.StatusBadGateway)
	case gateway.ClientGone:
		ctx.SetConnectionClose()
		ctx.SetStatusCode(499)
	}
}

// logRead records a request that has been read, with its connection's age and how many have
// been read from it, this one among them.
func logRead(conn *clientConn, ctx *fasthttp.RequestCtx, req *gateway.Request) {
	if conn == nil {
		return // a host's own listener: there is no log
	}
	reqlog.Write(conn.l.log, reqlog.Change{ID: string(req.ID), Class: req.Class, State: reqlog.Read, Remaining: req.Remaining},
		slog.Int64("connection_ms", time.Since(conn.came).Milliseconds()), slog.Uint64("of_connection", ctx.ConnRequestNum()))
}

const refusedText = "refused: try again later"

func failedText(err error) string {
	if err == nil {
		return "failed: it may have run"
	}
	return "failed: it may have run: " + err.Error()
}

// refuse tells a client to come back after a pause in ms, 0 = no advice.
func refuse(ctx *fasthttp.RequestCtx, pause float64) {
	ctx.Error(refusedText, fasthttp.StatusServiceUnavailable)
	if pause > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(pause/1000, 'f', 3, 64))
	}
}

// body feeds a stream's pieces to fasthttp, which flushes each. When Read
// fails, fasthttp closes the connection without the last chunk.
type body struct {
	stream gateway.Stream
	rest   []byte
	end    func()

	conn    *clientConn     // nil where it is not the platform's own listener's
	client  context.Context // of the client
	gone    func()          // ends it
	movable bool            // another process could go on with it
	passed  bool            // a piece has been passed on
	whole   bool            // all of it has been
	closes  bool            // the client's connection is to be closed behind it
}

func (b *body) Read(p []byte) (n int, err error) {
	defer func() { // fasthttp calls this outside the handler, which recovers for itself
		if v := recover(); v != nil {
			err = fmt.Errorf("platform: panic in a stream: %v", v)
		}
	}()
	if len(b.rest) == 0 {
		if b.handOver() {
			return 0, errMoved
		}
		piece, err := b.stream.Next()
		if err != nil {
			if b.whole = errors.Is(err, io.EOF); !b.whole {
				err = fmt.Errorf("platform: broken stream: %w", err)
			}
			return 0, err
		}
		b.rest = piece
	}
	n = copy(p, b.rest)
	b.rest, b.passed = b.rest[n:], true
	return n, nil
}

// Close is called by fasthttp once the answer has ended or failed.
func (b *body) Close() error {
	err := b.stream.Close()
	b.end()
	if b.conn != nil && b.whole && !b.closes {
		b.conn.finish()
	}
	return err
}
