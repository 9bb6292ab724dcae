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
	maxRequestBody   = 256 << 10
	libraryBodyBytes = 1 // of a body, that fasthttp reads before the handler does; more can't be refused at once
	// From the accept to the last byte of the first request: some clients write for 2 s, and one that
	// never finishes must get an error or a close within 3 s. Later requests have as long from their
	// first byte.
	readTimeout = 2700 * time.Millisecond
	idleTimeout = 5 * time.Second // between requests
	readyPath   = "/-/ready"
	frontName   = "http" // name of this front in package limits
)

// Handler serves requests: a gateway or a router.
type Handler interface {
	Serve(ctx context.Context, req *gateway.Request) (gateway.Reply, error)
	// RecordRefusal records that a request of a class is refused before it is served, for lack of
	// capacity, and returns the ms after which its client may retry; 0 = no advice.
	RecordRefusal(class string) float64
}

// Server serves the platform's HTTP/1.1 protocol to clients, on fasthttp.
type Server struct {
	handler            Handler
	log                *slog.Logger
	http               *fasthttp.Server
	listener           *listener
	draining           atomic.Bool // set for good by Drain
	keepAlivesDisabled atomic.Bool // while a newer process serves
	adoptedAnswers     sync.WaitGroup
	readExpiry         atomic.Pointer[time.Timer] // set by ExpireReadsAfter

	idleCloserOnce sync.Once // starts idleCloser, or prevents its start
	idleCloser     sync.WaitGroup
	stopping       chan struct{} // closed when Shutdown begins
	stopOnce       sync.Once
}

// NewServer returns a server for at most limit connections at once. Its listener enforces the limit:
// fasthttp's own limit answers beyond it without a Retry-After, and counts connections that are being
// closed, so it keeps its default, which is never reached.
func NewServer(handler Handler, log *slog.Logger, limit int) *Server {
	s := &Server{handler: handler, log: log, listener: newListener(nil, limit), stopping: make(chan struct{})}
	s.listener.log = log
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleReadError,
		StreamRequestBody: true, MaxRequestBodySize: libraryBodyBytes, DisablePreParseMultipartForm: true, // see readBody
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, NoDefaultServerHeader: true, NoDefaultDate: true,
		CloseOnShutdown: true, Logger: discardLogger{},
		ReduceMemoryUsage: true, // otherwise each idle connection would keep the body of its last request
	}
	return s
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections on a listener and answers their requests until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.listener.mu.Lock() // Shutdown may run at the same time
	s.listener.Listener = l
	s.listener.mu.Unlock()
	return s.http.Serve(s.listener)
}

// DisableKeepAlives makes each answer close its connection, as Drain does, while a newer process takes
// clients on the same address.
func (s *Server) DisableKeepAlives(disabled bool) { s.keepAlivesDisabled.Store(disabled) }

// LimitMemory limits the memory of requests, for all processes of this gateway: their bodies, from the first byte
// to the end of the answer, and what clients send ahead. It is called before Serve.
func (s *Server) LimitMemory(maxBytes int64) { s.listener.memory.setMaxBytes(maxBytes) }

// SetProcesses sets how many processes share the connections and the memory that the limits allow.
func (s *Server) SetProcesses(processes int) {
	s.listener.share(processes)
	s.listener.memory.setProcesses(processes)
}

// ExpireReadsAfter limits how long requests may still be read, because the process ends. Requests that
// have been read in part by then get the error of a request that is not complete in time.
func (s *Server) ExpireReadsAfter(timeout time.Duration) {
	at := time.Now().Add(timeout)
	s.listener.readLimit.Store(&at)
	s.readExpiry.Store(time.AfterFunc(timeout, s.listener.expireReads))
}

// Shutdown stops accepting and waits for the requests that it has taken, until ctx ends. It closes
// connections without a request itself: fasthttp's own sweep compares wall-clock readings, leaves open
// for 5 s new connections that have sent nothing, and drops a request that has just been read. That sweep
// runs only when no connection is open.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.StopAccepting()
	s.stopClosingIdle()
	closed := s.listener.closeWaiting()
	s.log.Info("shutdown: connections without a request are closed", "count", closed)
	err := s.listener.waitNoneOpen(ctx)
	if err == nil {
		err = s.http.ShutdownWithContext(ctx)
	}
	s.adoptedAnswers.Wait() // each ends with its answer, and its connection is closed by now
	s.listener.waitAllClosed()
	if timer := s.readExpiry.Load(); timer != nil {
		timer.Stop()
	}
	return err
}

// handleReadError answers a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	code := fasthttp.StatusBadRequest
	var smallBuffer *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		code = fasthttp.StatusRequestTimeout
		s.log.Debug("request was not complete in time", "why", "slow")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &smallBuffer), errors.Is(err, errTooManyFields):
		code = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Error(err.Error(), code)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if value := recover(); value != nil {
			s.log.Error("panic", "value", value, "stack", string(debug.Stack()))
			ctx.Error("internal error", fasthttp.StatusInternalServerError)
		}
	}()
	conn, ownListener := ctx.Conn().(*clientConn)
	if hasTooManyFields(&ctx.Request.Header) {
		rejectRequest(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, errTooManyFields)
		return
	}
	lease, ok := s.readBody(ctx)
	if !ok {
		return
	}
	answering := false // the request's memory is released when its answer has ended
	defer func() {
		if !answering {
			lease.release()
		}
	}()
	nothingBehind := ownListener && conn.countParsed(&ctx.Request)
	switch {
	case ownListener && conn.isPipelined() && s.isStopping(): // as where the connection closes after the answer
		refuse(ctx, 0)
	case string(ctx.Path()) == readyPath && ctx.IsGet():
		ctx.SetStatusCode(s.readinessStatus())
		if ownListener { // it is not a client's request, and no answer to one is pending
			conn.endAnswer()
			limitQuickAnswers(ctx, conn)
		}
	default:
		HandleFastHTTP(ctx, s.handler, frontName)
	}
	if s.draining.Load() || s.keepAlivesDisabled.Load() {
		ctx.SetConnectionClose()
	}
	if b, ok := ctx.Response.BodyStream().(*answerBody); ok {
		answering, b.lease = true, lease
		b.canHandOver = nothingBehind && ctx.Request.Header.IsHTTP11()
		b.closeAfter = ctx.Response.ConnectionClose() || ctx.Request.Header.ConnectionClose()
	}
}

// readBody reads the body of a request and returns the lease of its memory. If that fails it answers the request,
// and closes the connection.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) (lease *requestLease, ok bool) {
	socket := ctx.Conn()
	if c, ok := socket.(*clientConn); ok {
		socket = c.Conn
	}
	lease = s.listener.memory.begin(socket)
	err := readBody(&ctx.Request, lease)
	if err == nil {
		return lease, true
	}
	lease.release()
	if errors.Is(err, errEvicted) {
		s.log.Debug("request refused to free memory", "client", socket.RemoteAddr())
		refuse(ctx, s.handler.RecordRefusal(string(ctx.Request.Header.Peek(headerClass))))
	} else {
		s.handleReadError(ctx, err)
	}
	ctx.SetConnectionClose()
	return nil, false
}

// readinessStatus is the answer to a readiness check: whether this process takes clients.
func (s *Server) readinessStatus() int {
	if s.draining.Load() {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusOK
}

// HandleFastHTTP parses a request in the platform's form, has it served and answers it. A streamed answer
// continues after HandleFastHTTP has returned.
func HandleFastHTTP(ctx *fasthttp.RequestCtx, handler Handler, front string) {
	req, err := parseFastHTTP(&ctx.Request)
	if err != nil {
		rejectRequest(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	req.Front = front
	if addr, ok := netip.AddrFromSlice(ctx.RemoteIP()); ok {
		req.ClientAddr = addr.Unmap()
	}
	clientCtx, cancelClient := context.WithCancel(context.Background())
	conn, _ := ctx.Conn().(*clientConn)
	logRequestRead(conn, ctx, req)
	admitted := true
	if conn != nil {
		req.ClientLeft = conn.clientLeft
		admitted = conn.beginRequest() && !conn.hasDroppedAhead()
		conn.watchDisconnect(cancelClient)
	} else {
		host := &hostConn{conn: ctx.Conn()}
		req.ClientLeft = host.clientLeft
		defer func() {
			if host.dropped.Load() {
				ctx.SetConnectionClose()
			}
		}()
	}
	endRequest := func() {
		cancelClient()
		if conn != nil {
			conn.stopWatch()
			conn.endAnswer()
		}
	}
	streaming := false
	defer func() {
		if !streaming {
			endRequest()
			limitQuickAnswers(ctx, conn)
		}
	}()
	if !admitted {
		refuse(ctx, handler.RecordRefusal(req.Class))
		return
	}
	reply, err := handler.Serve(clientCtx, req)
	switch {
	case errors.Is(err, ashwood.ErrDuplicate):
		rejectRequest(ctx, fasthttp.StatusConflict, err)
		return
	case err != nil:
		rejectRequest(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	switch reply.Kind {
	case gateway.Served:
		streaming = true
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(&answerBody{
			stream: reply.Stream, endRequest: endRequest, conn: conn, clientCtx: clientCtx, cancelClient: cancelClient,
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

// rejectRequest answers a request that is not sound and closes its connection: the next request may not begin where
// it seems to, and a client of such requests is not to be served at full speed.
func rejectRequest(ctx *fasthttp.RequestCtx, code int, err error) {
	ctx.Error(err.Error(), code)
	if conn, ok := ctx.Conn().(*clientConn); ok {
		conn.closeBehindAnswer(ctx, "unsound")
	}
	ctx.SetConnectionClose()
}

// logRequestRead logs a request that has been read, with the age of its connection and the number of
// requests read from it, including this one.
func logRequestRead(conn *clientConn, ctx *fasthttp.RequestCtx, req *gateway.Request) {
	if conn == nil {
		return // a host's own listener: there is no log
	}
	reqlog.Write(conn.listener.log, reqlog.Change{ID: string(req.ID), Class: req.Class, State: reqlog.Read, Remaining: req.Remaining},
		slog.Int64("connection_ms", time.Since(conn.acceptedAt).Milliseconds()), slog.Uint64("of_connection", ctx.ConnRequestNum()))
}

const refusedText = "refused: try again later"

func failedText(err error) string {
	if err == nil {
		return "failed: it may have run"
	}
	return "failed: it may have run: " + err.Error()
}

// refuse tells a client to retry after some ms; 0 = no advice.
func refuse(ctx *fasthttp.RequestCtx, retryAfter float64) {
	ctx.Error(refusedText, fasthttp.StatusServiceUnavailable)
	if retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(retryAfter/1000, 'f', 3, 64))
	}
}

// answerBody passes the pieces of a stream to fasthttp, which flushes each. When Read fails, fasthttp
// closes the connection without the last chunk.
type answerBody struct {
	stream     gateway.Stream
	pending    []byte
	endRequest func()
	lease      *requestLease // of the request's memory; nil where its host limits that

	conn         *clientConn     // nil unless it belongs to the platform's own listener
	clientCtx    context.Context // done when the client has disconnected
	cancelClient func()          // cancels clientCtx
	canHandOver  bool            // another process can take it over
	started      bool            // a piece has been passed on
	complete     bool            // all of the stream has been passed on
	closeAfter   bool            // the client's connection is closed after it
}

func (b *answerBody) Read(p []byte) (n int, err error) {
	defer func() { // fasthttp calls Read outside the handler, which has its own recover
		if value := recover(); value != nil {
			err = fmt.Errorf("platform: panic in a stream: %v", value)
		}
	}()
	if len(b.pending) == 0 {
		if b.handOver() {
			return 0, errHandedOver
		}
		piece, err := b.stream.Next()
		if err != nil {
			if b.complete = errors.Is(err, io.EOF); !b.complete {
				err = fmt.Errorf("platform: broken stream: %w", err)
			}
			return 0, err
		}
		b.pending = piece
	}
	n = copy(p, b.pending)
	b.pending, b.started = b.pending[n:], true
	return n, nil
}

// Close is called by fasthttp once the answer has ended or failed.
func (b *answerBody) Close() error {
	err := b.stream.Close()
	b.endRequest()
	if b.lease != nil {
		b.lease.release()
	}
	if b.conn != nil && b.complete && !b.closeAfter {
		b.conn.checkPipelined()
	}
	return err
}
