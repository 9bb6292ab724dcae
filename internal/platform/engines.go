// Package platform implements the platform's protocol over HTTP/1.1: the server
// for clients, the transport to engines and the discovery client. It makes no
// routing decisions: those belong to the packages gateway and ashwood.
package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/wire"
)

// Header names and paths of the protocol, and limits of the transport. Times are in ms.
const (
	headerID              = "X-Txn"
	headerClass           = "X-Lane"
	headerTenant          = "X-Org" // read only if the settings name tenants
	headerSession         = "X-Entity"
	headerRemaining       = "X-Remaining"
	headerLabels          = "X-Labels"
	headerResent          = "X-Resent"
	headerLoadReport      = "X-Pressure"
	headerRejected        = "X-Turned-Away"
	holdsPath             = "/bootstrap/rooms/"
	loadReportPath        = "/-/load"
	loadReportComment     = ": " + headerLoadReport + ": "
	maxShortBody          = 64 << 10
	completionTimeout     = 300.0 // for the next bytes of a response header, a stream's first event or a short body that has begun
	sweepInterval         = 1000.0
	defaultConnectTimeout = 250.0
	defaultIdleTimeout    = 15000.0
	adaptiveConnectNodes  = 8 // with more gateways than this, the connect timeout adapts to recent connects
)

// Engines sends attempts, reservations, releases and probes to engines over
// pooled HTTP/1.1 connections. It never resends a request by itself.
type Engines struct {
	pool  *connPool
	clock clock.Clock

	mu        sync.Mutex
	stopSweep func() bool // cancels the next sweep
	closed    bool
}

// NewEngines returns a transport with at most limit connections open. Releases
// may exceed the limit by overLimitShare.
func NewEngines(settings ashwood.Settings, c clock.Clock, limit int) *Engines {
	connectTimeout, idleTimeout := clock.Millis(settings.Limits.ConnectTimeout), clock.Millis(settings.Limits.ConnIdle)
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	e := &Engines{pool: newConnPool(c, connectTimeout, idleTimeout/2, limit), clock: c}
	e.pool.adaptTimeout = settings.Nodes > adaptiveConnectNodes
	e.sweep()
	return e
}

// SetLogger sets the logger that records each new connection at level debug. It must be
// called before the first request.
func (e *Engines) SetLogger(log *slog.Logger) { e.pool.log = log }

// SetProcesses sets the number of processes among which the connection limit is divided.
func (e *Engines) SetProcesses(processes int) { e.pool.setProcesses(processes) }

// sweep closes connections past the idle timeout and schedules the next sweep.
func (e *Engines) sweep() {
	e.pool.sweep()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed {
		e.stopSweep = e.clock.AfterFunc(sweepInterval, e.sweep)
	}
}

// RetainOnly does nothing: connections to engines that have left the membership end
// by the idle timeout.
func (e *Engines) RetainOnly([]ashwood.Server) {}

// Close closes all idle connections, and the others when they are returned to the pool.
func (e *Engines) Close() {
	e.mu.Lock()
	e.closed = true
	e.stopSweep()
	e.mu.Unlock()
	e.pool.close()
}

// engineCall is one HTTP request to an engine.
type engineCall struct {
	addr     string
	choice   connChoice // which connections it may use
	header   *fasthttp.RequestHeader
	body     []byte
	mayWrite func() bool       // called right before the first byte is written: false cancels the call; nil = always true
	sent     func()            // called right after the last byte has been written; nil = no call
	abort    func(*engineConn) // ends a connection whose response is not read to its end; nil = close it at once
}

// roundTrip writes one request and reads the response header. The caller owns the
// connection unless there is an error. written reports whether the last byte was
// written: only an error before that proves that the engine did not run the request.
// An idle connection may be dead without the gateway knowing, so a request that may
// be sent only once needs a new connection.
func (e *Engines) roundTrip(ctx context.Context, call engineCall, response *fasthttp.ResponseHeader) (c *engineConn, written bool, err error) {
	c, err = e.pool.get(ctx, call.addr, call.choice)
	if err != nil {
		return nil, false, err
	}
	stop := c.interruptOnDone(ctx)
	defer func() {
		if !stop() && err == nil {
			err = context.Cause(ctx)
		}
		if err == nil {
			return
		}
		if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) {
			e.pool.reportBroken(c)
		}
		if written && call.abort != nil {
			call.abort(c)
		} else {
			e.pool.discard(c)
		}
		c = nil
	}()
	if call.mayWrite != nil && !call.mayWrite() {
		return c, false, errNotReady
	}
	buffers := net.Buffers{call.header.AppendBytes(nil)}
	if len(call.body) > 0 {
		buffers = append(buffers, call.body)
	}
	if _, err = buffers.WriteTo(c.Conn); err != nil {
		return c, false, err
	}
	if call.sent != nil {
		call.sent()
	}
	return c, true, e.readHeader(c, response)
}

// readHeader reads a response header and skips up to maxInterimResponses 1xx
// responses before it. Waiting for its first byte has no limit here, but once begun
// bytes must go on coming, within completionTimeout of one another: a malformed one may
// never end while its connection stays open.
func (e *Engines) readHeader(c *engineConn, response *fasthttp.ResponseHeader) error {
	for range maxInterimResponses {
		if first, err := c.reader.Peek(1); err != nil || first[0] != 'H' {
			return cmp.Or(err, fmt.Errorf("%w: it begins with %q", errMalformed, first))
		}
		stopTimeout := e.limitSilence(c, completionTimeout)
		err := response.Read(c.reader)
		stopTimeout()
		if code := response.StatusCode(); err != nil || code < 100 || code >= 200 {
			return err
		}
		if response.StatusCode() == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	return fmt.Errorf("%w: no answer behind 1xx", errMalformed)
}

var errNotReady = errors.New("platform: not to be sent any more") // sent to clients

func newRequestHeader(method, target, addr string) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(method)
	h.SetRequestURI(target)
	h.SetHost(addr)
	return h
}

// Send sends an attempt to its engine and returns once the first event of the answer
// has been read, or the whole answer where it is not a stream.
func (e *Engines) Send(ctx context.Context, attempt gateway.Attempt) gateway.AttemptResult {
	header := newRequestHeader(attempt.Method, attempt.Target, attempt.Engine.Address)
	for _, field := range attempt.Header {
		header.Add(field[0], field[1])
	}
	header.Set(headerID, string(attempt.ID))
	header.SetContentLength(len(attempt.Body))
	start := e.clock.Now()
	mayWrite := func() bool { // it may wait; the time spent on that and on connecting counts against the remaining time
		allowed := attempt.MayWrite()
		header.Set(headerRemaining, strconv.FormatFloat(max(attempt.Remaining-(e.clock.Now()-start), 0)/1000, 'f', 3, 64))
		return allowed
	}
	var response fasthttp.ResponseHeader
	choice := anyConn
	if attempt.NonIdempotent {
		choice = newConn
	}
	c, written, err := e.roundTrip(ctx, engineCall{
		addr: attempt.Engine.Address, choice: choice, header: header, body: attempt.Body, mayWrite: mayWrite, sent: attempt.OnSent, abort: e.pool.abandon,
	}, &response)
	if err != nil {
		return failedAnswer(ctx, written, err)
	}
	result := ashwood.Result{Report: wire.ParseReport(string(response.Peek(headerLoadReport)))}
	code := response.StatusCode()
	if code == fasthttp.StatusOK {
		stream := e.newStream(ctx, c, &response)
		stopTimeout := e.limitSilence(c, completionTimeout) // the engine sends the header together with the first token
		err := stream.readFirstEvent()
		stopTimeout()
		if err != nil {
			stream.abandon()
			return failedAnswer(ctx, true, err)
		}
		result.Status = ashwood.StatusServed
		return gateway.AttemptResult{Result: result, Stream: stream}
	}
	body, err := e.readShortBody(ctx, c, &response, e.pool.abandon)
	rejected := len(response.Peek(headerRejected)) > 0
	switch {
	case code == fasthttp.StatusAccepted && attempt.Prefill:
		var cached struct {
			Tokens float64 `json:"cached_tokens"`
		}
		if err == nil {
			err = json.Unmarshal(body, &cached)
		}
		result.Status, result.Detail = ashwood.StatusPrefilled, cached.Tokens
		return gateway.AttemptResult{Result: result, Err: err}
	case rejected && (code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout):
		result.Status = ashwood.StatusRejected
	case rejected && code == fasthttp.StatusGone:
		result.Status, result.Detail = ashwood.StatusRejected, 1
	default:
		result.Status = ashwood.StatusServerError
	}
	return gateway.AttemptResult{Result: result, Err: fmt.Errorf("platform: %s answered %d", attempt.Engine.ID, code)}
}

// failedAnswer returns the status of an attempt without a usable response, which says
// whether the engine may have run it.
func failedAnswer(ctx context.Context, written bool, err error) gateway.AttemptResult {
	status := ashwood.StatusConnectionLost
	switch {
	case written:
	case ctx.Err() != nil, errors.Is(err, errNotReady), isLocalError(err):
		status = ashwood.StatusNotSent
	default:
		status = ashwood.StatusConnectFailed
	}
	return gateway.AttemptResult{Result: ashwood.Result{Status: status}, Err: fmt.Errorf("platform: no answer: %w", err)}
}

// readShortBody reads a response body of at most maxShortBody bytes and returns the
// connection to the pool. If the body can't be read, abort ends the connection.
func (e *Engines) readShortBody(ctx context.Context, c *engineConn, response *fasthttp.ResponseHeader, abort func(*engineConn)) (body []byte, err error) {
	stopInterrupt := c.interruptOnDone(ctx)
	stopTimeout := e.limitSilence(c, completionTimeout)
	defer func() {
		stopTimeout()
		switch complete := stopInterrupt() && err == nil; {
		case complete && !response.ConnectionClose():
			e.pool.put(c, 0)
		case complete:
			e.pool.discard(c)
		default:
			abort(c)
		}
	}()
	switch n := response.ContentLength(); {
	case response.StatusCode() == fasthttp.StatusNoContent:
		return nil, nil
	case n >= 0 && n <= maxShortBody:
		body = make([]byte, n)
		_, err = io.ReadFull(c.reader, body)
		return body, err
	case n == -1:
		body, err = io.ReadAll(io.LimitReader(&chunkedReader{reader: c.reader}, maxShortBody))
		if err == nil && len(body) == maxShortBody {
			err = fmt.Errorf("%w: a short answer without end", errMalformed)
		}
		return body, err
	}
	return nil, fmt.Errorf("%w: no usable length", errMalformed)
}

// Reserve asks a decode engine for a reservation.
func (e *Engines) Reserve(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, mayWrite func() bool) gateway.ReserveResult {
	var response fasthttp.ResponseHeader
	header := newRequestHeader(fasthttp.MethodPost, holdsPath+string(id), engine.Address)
	header.SetContentLength(0)
	c, written, err := e.roundTrip(ctx, engineCall{addr: engine.Address, header: header, mayWrite: mayWrite}, &response)
	if err == nil {
		_, err = e.readShortBody(ctx, c, &response, e.pool.discard)
	}
	switch code := response.StatusCode(); {
	case !written:
		return gateway.ReserveNotSent
	case err != nil:
		return gateway.ReserveUnknown
	case code == fasthttp.StatusOK:
		return gateway.ReserveHeld
	case code == fasthttp.StatusConflict:
		return gateway.ReserveRefused
	}
	return gateway.ReserveUnknown
}

// Release has an engine drop its KV state and reservation for a request. After an
// error the call must be repeated: it may have been written to a dead connection.
func (e *Engines) Release(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, newConnection bool) error {
	var response fasthttp.ResponseHeader
	header := newRequestHeader(fasthttp.MethodDelete, holdsPath+string(id), engine.Address)
	choice := anyConnOverLimit
	if newConnection {
		choice = newConnOverLimit
	}
	c, written, err := e.roundTrip(ctx, engineCall{addr: engine.Address, choice: choice, header: header}, &response)
	switch {
	case err == nil:
		e.readShortBody(ctx, c, &response, e.pool.discard)
		return nil
	case written && ctx.Err() != nil:
		return fmt.Errorf("platform: %s: %w: %w", engine.ID, gateway.ErrUnanswered, err)
	case !written && isLocalError(err):
		return fmt.Errorf("platform: %s: %w: %w", engine.ID, gateway.ErrLocalFailure, err)
	}
	return fmt.Errorf("platform: %s: %w", engine.ID, err)
}

// Probe asks an engine for its load report, which comes in a header or in the body.
func (e *Engines) Probe(ctx context.Context, engine ashwood.Server) (ashwood.Status, ashwood.Report) {
	var response fasthttp.ResponseHeader
	header := newRequestHeader(fasthttp.MethodGet, loadReportPath, engine.Address)
	c, written, err := e.roundTrip(ctx, engineCall{addr: engine.Address, header: header}, &response)
	var body []byte
	if err == nil {
		body, err = e.readShortBody(ctx, c, &response, e.pool.discard)
	}
	if err != nil {
		return failedAnswer(ctx, written, err).Status, nil
	}
	report := wire.ParseReport(string(response.Peek(headerLoadReport)))
	if report == nil {
		report = wire.ParseReport(string(body))
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return ashwood.StatusServerError, report
	}
	return ashwood.StatusServed, report
}
