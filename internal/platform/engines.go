// Package platform speaks the platform's protocol, HTTP/1.1: a server for
// clients, a transport to engines, and discovery.
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
	"time"

	"github.com/valyala/fasthttp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/wire"
)

// Header names of the protocol.
const (
	headerID          = "X-Txn"
	headerClass       = "X-Lane"
	headerTenant      = "X-Org" // where the settings name tenants
	headerSession     = "X-Entity"
	headerRemaining   = "X-Remaining"
	headerLabels      = "X-Labels"
	headerResent      = "X-Resent"
	headerReport      = "X-Pressure"
	headerNotRun      = "X-Turned-Away"
	holdsPath         = "/bootstrap/rooms/"
	loadPath          = "/-/load"
	reportComment     = ": " + headerReport + ": "
	maxAnswerBody     = 64 << 10
	completionTimeout = 300.0 // ms for the rest of a head, a chunk or a short answer once it has begun
	sweepEvery        = 1000.0
	defaultConnect    = 250.0
	defaultIdle       = 15000.0
	manyNodes         = 8 // gateways, from which on a silent connect is not waited for in full
)

// Engines is the transport to the platform's engines.
type Engines struct {
	pool  *connPool
	clock clock.Clock

	mu   sync.Mutex
	stop func() bool // the next sweep
	over bool
}

// NewEngines makes a transport that holds at most limit connections.
func NewEngines(set ashwood.Settings, c clock.Clock, limit int) *Engines {
	connect, idle := clock.Millis(set.Limits.ConnectTimeout), clock.Millis(set.Limits.ConnIdle)
	if connect <= 0 {
		connect = defaultConnect
	}
	if idle <= 0 {
		idle = defaultIdle
	}
	e := &Engines{pool: newPool(c, connect, idle/2, limit), clock: c}
	e.pool.learn = set.Nodes > manyNodes
	e.sweep()
	return e
}

// Log has new connections logged, at level debug. It is to be called before the first request.
func (e *Engines) Log(log *slog.Logger) { e.pool.log = log }

// Share says how many processes share the connections that the limit allows.
func (e *Engines) SetProcesses(processes int) { e.pool.share(processes) }

// sweep closes what has been idle too long, now and every so often.
func (e *Engines) sweep() {
	e.pool.sweep()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.over {
		e.stop = e.clock.AfterFunc(sweepEvery, e.sweep)
	}
}

// Keep forgets nothing: connections to engines that are gone end by being idle.
func (e *Engines) RetainOnly([]ashwood.Server) {}

// Close closes idle connections and those that are put back from now on.
func (e *Engines) Close() {
	e.mu.Lock()
	e.over = true
	e.stop()
	e.mu.Unlock()
	e.pool.close()
}

// call is one request to an engine.
type call struct {
	addr   string
	with   which // connection it may go on
	head   *fasthttp.RequestHeader
	body   []byte
	ready  func() bool       // asked right before the first byte; nil = always
	sent   func()            // called right after the last byte; nil = nobody is told
	giveUp func(*engineConn) // ends a connection whose answer is not waited for; nil = at once
}

// exchange writes one request and reads the head of its answer. The caller
// owns the connection unless there is an error; wrote tells whether the last
// byte left. Only before that does an error prove that the engine never ran it.
// A kept connection may be dead unnoticed: what may be sent once goes on a new one.
func (e *Engines) exchange(ctx context.Context, v call, answer *fasthttp.ResponseHeader) (c *engineConn, wrote bool, err error) {
	c, err = e.pool.get(ctx, v.addr, v.with)
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
			e.pool.broke(c)
		}
		if wrote && v.giveUp != nil {
			v.giveUp(c)
		} else {
			e.pool.discard(c)
		}
		c = nil
	}()
	if v.ready != nil && !v.ready() {
		return c, false, errNotReady
	}
	out := net.Buffers{v.head.AppendBytes(nil)}
	if len(v.body) > 0 {
		out = append(out, v.body)
	}
	if _, err = out.WriteTo(c.Conn); err != nil {
		return c, false, err
	}
	if v.sent != nil {
		v.sent()
	}
	return c, true, e.readHead(c, answer)
}

// readHead waits for an answer's head. Once that has begun it has to be whole in
// time: a spoilt one does not end, and its connection stays open. 1xx answers
// before the one that counts are skipped.
func (e *Engines) readHead(c *engineConn, answer *fasthttp.ResponseHeader) error {
	for range maxInterimResponses {
		if b, err := c.reader.Peek(1); err != nil || b[0] != 'H' {
			return cmp.Or(err, fmt.Errorf("%w: it begins with %q", errSpoilt, b))
		}
		stop := e.startTimeout(c, completionTimeout)
		err := answer.Read(c.reader)
		stop()
		if code := answer.StatusCode(); err != nil || code < 100 || code >= 200 {
			return err
		}
		if answer.StatusCode() == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	return fmt.Errorf("%w: no answer behind 1xx", errSpoilt)
}

// within ends all reading and writing on a connection after some ms, unless
// stop is called before. The connection is of no use then.
func (e *Engines) startTimeout(c *engineConn, ms float64) (stop func()) {
	cancel := e.clock.AfterFunc(ms, func() { c.SetDeadline(time.Unix(1, 0)) })
	return func() { cancel() }
}

var errNotReady = errors.New("platform: not to be sent any more")

func header(method, target, addr string) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(method)
	h.SetRequestURI(target)
	h.SetHost(addr)
	return h
}

// Send carries out an attempt.
func (e *Engines) Send(ctx context.Context, a gateway.Attempt) gateway.AttemptResult {
	h := header(a.Method, a.Target, a.Engine.Address)
	for _, f := range a.Header {
		h.Add(f[0], f[1])
	}
	h.Set(headerID, string(a.ID))
	h.SetContentLength(len(a.Body))
	begun := e.clock.Now()
	ready := func() bool { // a connect takes its time of what is left
		h.Set(headerRemaining, strconv.FormatFloat(max(a.Remaining-(e.clock.Now()-begun), 0)/1000, 'f', 3, 64))
		return a.MayWrite()
	}
	var head fasthttp.ResponseHeader
	with := anyConn
	if a.NonIdempotent {
		with = newConn
	}
	c, wrote, err := e.exchange(ctx, call{
		addr: a.Engine.Address, with: with, head: h, body: a.Body, ready: ready, sent: a.OnSent, giveUp: e.pool.abandon,
	}, &head)
	if err != nil {
		return failed(ctx, wrote, err)
	}
	res := ashwood.Result{Report: wire.ParseReport(string(head.Peek(headerReport)))}
	code := head.StatusCode()
	if code == fasthttp.StatusOK {
		s := e.newStream(ctx, c, &head)
		stop := e.startTimeout(c, completionTimeout) // the head comes with the first token
		err := s.first()
		stop()
		if err != nil {
			s.abandon()
			return failed(ctx, true, err)
		}
		res.Status = ashwood.StatusServed
		return gateway.AttemptResult{Result: res, Stream: s}
	}
	body, err := e.drain(ctx, c, &head, e.pool.abandon)
	away := len(head.Peek(headerNotRun)) > 0
	switch {
	case code == fasthttp.StatusAccepted && a.Prefill:
		var kept struct {
			Tokens float64 `json:"cached_tokens"`
		}
		if err == nil {
			err = json.Unmarshal(body, &kept)
		}
		res.Status, res.Detail = ashwood.StatusPrefilled, kept.Tokens
		return gateway.AttemptResult{Result: res, Err: err}
	case away && (code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout):
		res.Status = ashwood.StatusRejected
	case away && code == fasthttp.StatusGone:
		res.Status, res.Detail = ashwood.StatusRejected, 1
	default:
		res.Status = ashwood.StatusServerError
	}
	return gateway.AttemptResult{Result: res, Err: fmt.Errorf("platform: %s answered %d", a.Engine.ID, code)}
}

// failed tells what an attempt without an answer proves.
func failed(ctx context.Context, wrote bool, err error) gateway.AttemptResult {
	st := ashwood.StatusConnectionLost
	switch {
	case wrote:
	case ctx.Err() != nil, errors.Is(err, errNotReady), isLocal(err):
		st = ashwood.StatusNotSent
	default:
		st = ashwood.StatusConnectFailed
	}
	return gateway.AttemptResult{Result: ashwood.Result{Status: st}, Err: fmt.Errorf("platform: no answer: %w", err)}
}

// drain reads a short answer's body and gives the connection back.
// One whose body can't be read is ended by giveUp.
func (e *Engines) drain(ctx context.Context, c *engineConn, head *fasthttp.ResponseHeader, giveUp func(*engineConn)) (body []byte, err error) {
	stop := c.interruptOnDone(ctx)
	late := e.startTimeout(c, completionTimeout)
	defer func() {
		late()
		switch whole := stop() && err == nil; {
		case whole && !head.ConnectionClose():
			e.pool.put(c, 0)
		case whole:
			e.pool.discard(c)
		default:
			giveUp(c)
		}
	}()
	switch n := head.ContentLength(); {
	case head.StatusCode() == fasthttp.StatusNoContent:
		return nil, nil
	case n >= 0 && n <= maxAnswerBody:
		body = make([]byte, n)
		_, err = io.ReadFull(c.reader, body)
		return body, err
	case n == -1:
		body, err = io.ReadAll(io.LimitReader(&chunkedReader{reader: c.reader, startTimeout: func() func() { return func() {} }}, maxAnswerBody))
		if err == nil && len(body) == maxAnswerBody {
			err = fmt.Errorf("%w: a short answer without end", errSpoilt)
		}
		return body, err
	}
	return nil, fmt.Errorf("%w: no usable length", errSpoilt)
}

// Reserve asks a writer to hold a place.
func (e *Engines) Reserve(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, ready func() bool) gateway.ReserveResult {
	var head fasthttp.ResponseHeader
	h := header(fasthttp.MethodPost, holdsPath+string(id), engine.Address)
	h.SetContentLength(0)
	c, wrote, err := e.exchange(ctx, call{addr: engine.Address, head: h, ready: ready}, &head)
	if err == nil {
		_, err = e.drain(ctx, c, &head, e.pool.discard)
	}
	switch code := head.StatusCode(); {
	case !wrote:
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

// Release lets go of what an engine holds for a request. Without an answer the
// call may have been written to a connection that was dead, and is to be made again.
func (e *Engines) Release(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, fresh bool) error {
	var head fasthttp.ResponseHeader
	h := header(fasthttp.MethodDelete, holdsPath+string(id), engine.Address)
	with := anySpare
	if fresh {
		with = newSpare
	}
	c, wrote, err := e.exchange(ctx, call{addr: engine.Address, with: with, head: h}, &head)
	switch {
	case err == nil:
		e.drain(ctx, c, &head, e.pool.discard)
		return nil
	case wrote && ctx.Err() != nil:
		return fmt.Errorf("platform: %s: %w: %w", engine.ID, gateway.ErrUnanswered, err)
	case !wrote && isLocal(err):
		return fmt.Errorf("platform: %s: %w: %w", engine.ID, gateway.ErrLocalFailure, err)
	}
	return fmt.Errorf("platform: %s: %w", engine.ID, err)
}

// Probe asks an engine for its load.
func (e *Engines) Probe(ctx context.Context, engine ashwood.Server) (ashwood.Status, ashwood.Report) {
	var head fasthttp.ResponseHeader
	h := header(fasthttp.MethodGet, loadPath, engine.Address)
	c, wrote, err := e.exchange(ctx, call{addr: engine.Address, head: h}, &head)
	var body []byte
	if err == nil {
		body, err = e.drain(ctx, c, &head, e.pool.discard)
	}
	if err != nil {
		return failed(ctx, wrote, err).Status, nil
	}
	report := wire.ParseReport(string(head.Peek(headerReport)))
	if report == nil {
		report = wire.ParseReport(string(body))
	}
	if head.StatusCode() != fasthttp.StatusOK {
		return ashwood.StatusServerError, report
	}
	return ashwood.StatusServed, report
}
