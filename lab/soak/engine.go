package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers and paths of the platform protocol.
const (
	headerID         = "X-Txn"
	headerRemaining  = "X-Remaining"
	headerReport     = "X-Pressure"
	headerTurnedAway = "X-Turned-Away"
	roomsPath        = "/bootstrap/rooms/"
)

// Times and bounds of an engine's work.
const (
	minPrefill              = 10 * time.Millisecond
	maxPrefill              = 240 * time.Millisecond
	minFirstToken           = 10 * time.Millisecond
	maxFirstToken           = 200 * time.Millisecond
	minSlowFirstToken       = 600 * time.Millisecond
	maxSlowFirstToken       = 1800 * time.Millisecond
	tokenInterval           = 25 * time.Millisecond
	minTokens               = 2
	maxExtraTokens          = 40
	noPrefillWait           = 300 * time.Millisecond // until a reservation for which no prefill runs is answered
	kvStateWait             = 2 * time.Second        // for a silent engine that holds the KV state
	reservationRefusalShare = 0.15                   // share of reservations that the engine refuses
)

// engine is the stand-in for one engine. Each gateway reaches it over a link of its own.
type engine struct {
	spec    Engine
	index   int
	testbed *testbed
	links   []*link // by gateway
	http    []*http.Server

	mu          sync.Mutex
	rng         *rand.Rand
	incarnation int // number of restarts
	pauses      int // active pauses of its process
	resumed     chan struct{}
	hangs       int           // active hangs
	unhung      chan struct{} // closed while the engine does not hang
	refuses     int           // active faults that reject work
	resets      int           // active faults that reset attempts
	loses       int           // active faults that lose answers
	answerDelay time.Duration
	stopsShort  float64 // share of answers that it ends before they are whole
	draining    bool
	inFlight    int
}

func (tb *testbed) openEngine(index int, spec Engine) (*engine, error) {
	closedChannel := make(chan struct{})
	close(closedChannel)
	e := &engine{
		spec: spec, index: index, testbed: tb, resumed: closedChannel, unhung: closedChannel,
		rng: rand.New(rand.NewPCG(tb.scenario.Seed, uint64(index)|1<<32)),
	}
	for gateway := range tb.scenario.Gateways {
		gatewayLink, err := openLink()
		if err != nil {
			return nil, err
		}
		server := &http.Server{
			Handler: e.handler(gateway), IdleTimeout: time.Minute,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, c.(*linkConn))
			},
		}
		e.links, e.http = append(e.links, gatewayLink), append(e.http, server)
		tb.background.Go(func() { _ = server.Serve(gatewayLink) }) // returns when the link is closed
	}
	return e, nil
}

func (e *engine) close() {
	for i, gatewayLink := range e.links {
		gatewayLink.Close()
		e.http[i].Close()
	}
}

type connKey struct{}

func connOf(r *http.Request) *linkConn { return r.Context().Value(connKey{}).(*linkConn) }

func (e *engine) handler(gateway int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+roomsPath+"{id}", func(w http.ResponseWriter, r *http.Request) { e.reserve(w, r) })
	mux.HandleFunc("DELETE "+roomsPath+"{id}", func(w http.ResponseWriter, r *http.Request) { e.release(w, r) })
	mux.HandleFunc("GET /-/load", func(w http.ResponseWriter, r *http.Request) { e.probe(w, r) })
	mux.HandleFunc("GET /-/healthy", func(w http.ResponseWriter, r *http.Request) { e.probe(w, r) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveAttempt(w, r, gateway) })
	return mux
}

// durationBetween draws a duration from low to high.
func (e *engine) durationBetween(low, high time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return low + time.Duration(e.rng.Float64()*float64(high-low))
}

func (e *engine) extraTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.IntN(maxExtraTokens)
}

func (e *engine) chance(share float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < share
}

// work waits for d, and longer while the engine is paused or hangs; false means that the caller has closed the connection.
func (e *engine) work(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	for {
		wait := e.blocked()
		if wait == nil {
			return true
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return false
		}
	}
}

// blocked returns a channel that is closed when the engine's pause or hang ends; nil = the engine works.
func (e *engine) blocked() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.pauses > 0:
		return e.resumed
	case e.hangs > 0:
		return e.unhung
	}
	return nil
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

// call is one attempt that an engine processes.
type call struct {
	engine      *engine
	id          string
	attempt     *attempt
	incarnation int
	conn        *linkConn
}

func (e *engine) serveAttempt(w http.ResponseWriter, r *http.Request, gateway int) {
	began, id, conn := time.Now(), r.Header.Get(headerID), connOf(r)
	if _, err := io.Copy(io.Discard, r.Body); err != nil || conn.wasReset.Load() {
		abort() // the request is incomplete, or the engine crashed before it was read
	}
	remaining, err := strconv.ParseFloat(r.Header.Get(headerRemaining), 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a := e.testbed.checker.attemptReceived(id, gateway, e.index, conn, began, time.Duration(remaining*float64(time.Second)))
	if a == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	c := &call{engine: e, id: id, attempt: a, incarnation: e.incarnation, conn: conn}
	resets, rejects := e.resets > 0, e.refuses > 0 || e.draining
	e.inFlight++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.inFlight--
		e.mu.Unlock()
	}()
	switch {
	case resets:
		c.end("resets the connection after the last byte", false)
		conn.reset()
		abort()
	case rejects:
		c.respond(w, r, http.StatusServiceUnavailable, "rejects it", true, "")
	case e.spec.Role == Prefill:
		c.prefill(w, r)
	default:
		c.decode(w, r)
	}
}

func (c *call) end(event string, rejected bool) {
	c.engine.testbed.checker.attemptEnded(c.id, c.attempt, event, rejected)
}

// engineCrashed reports whether the engine has crashed since the call began.
func (c *call) engineCrashed() bool {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return c.incarnation != c.engine.incarnation
}

// respond sends a short answer, unless a fault loses answers.
func (c *call) respond(w http.ResponseWriter, r *http.Request, code int, event string, rejected bool, body string) {
	c.engine.mu.Lock()
	delay, lost := c.engine.answerDelay, c.engine.loses > 0
	c.engine.mu.Unlock()
	if lost {
		c.dropAnswer(r.Context())
	}
	time.Sleep(delay)
	if rejected {
		w.Header().Set(headerTurnedAway, "1")
	}
	w.Header().Set(headerReport, c.engine.report())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.conn.link.send(func() { // an answer counts as given only if it can be sent
		if lost = c.conn.dead.Load(); lost {
			return
		}
		c.end(event, rejected)
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body) // the caller may have closed the connection
		w.(http.Flusher).Flush()
	})
	if lost {
		c.dropAnswer(r.Context())
	}
}

func (e *engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("inflight=%d,queue=0,x0=0.100,x1=0.00", e.inFlight)
}

// prefill reads a prompt and holds its KV state.
func (c *call) prefill(w http.ResponseWriter, r *http.Request) {
	e, checker := c.engine, c.engine.testbed.checker
	ctx := r.Context()
	work := e.durationBetween(minPrefill, maxPrefill)
	if e.testbed.scenario.PrefillsOutliveCaller {
		work, ctx = work/2, context.WithoutCancel(ctx)
	}
	if !e.work(ctx, work) || c.engineCrashed() {
		c.end("closed by the gateway during prefill", false)
		abort()
	}
	checker.holdBegun(c.id, e.index, hold{since: time.Now(), callerGone: c.conn.closedByCaller()})
	c.respond(w, r, http.StatusAccepted, "has read the prompt", false, `{"cached_tokens":0}`)
}

// decode writes the answer, with the KV state that a prefill engine holds or, at a mixed engine, without any.
func (c *call) decode(w http.ResponseWriter, r *http.Request) {
	e, checker, ctx := c.engine, c.engine.testbed.checker, r.Context()
	if !c.fetchKVState(ctx) {
		c.respond(w, r, http.StatusGone, "finds no KV state", true, "")
		return
	}
	first := e.durationBetween(minFirstToken, maxFirstToken)
	if e.chance(e.testbed.scenario.SlowFirstTokenShare) {
		first = e.durationBetween(minSlowFirstToken, maxSlowFirstToken)
	}
	if !e.work(ctx, first) || c.engineCrashed() {
		c.end("closed by the gateway before the first token", false)
		abort()
	}
	if !c.fetchKVState(ctx) {
		c.respond(w, r, http.StatusGone, "has lost the KV state", true, "")
		return
	}
	e.mu.Lock()
	delay, lost := e.answerDelay, e.loses > 0 || c.conn.dead.Load()
	e.mu.Unlock()
	checker.holdsTaken(c.id, c.attempt)
	if lost {
		c.dropAnswer(ctx)
	}
	time.Sleep(delay)
	c.stream(ctx, w)
}

// fetchKVState reports whether there is KV state to fetch; it waits up to kvStateWait for a silent engine that holds it.
func (c *call) fetchKVState(ctx context.Context) bool {
	if c.engine.spec.Role == Mixed {
		return true
	}
	for deadline := time.Now().Add(kvStateWait); time.Now().Before(deadline); {
		holder, ok := c.engine.testbed.checker.kvStateHolder(c.id)
		if !ok {
			return false
		}
		if !c.engine.testbed.engines[holder].isPaused() {
			return true
		}
		if !c.engine.work(ctx, sweepInterval) {
			return false
		}
	}
	return false
}

func (e *engine) isPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pauses > 0
}

// dropAnswer sends nothing until the caller closes the connection.
func (c *call) dropAnswer(ctx context.Context) {
	<-ctx.Done()
	c.end("its answer was lost", false)
	abort()
}

// stream writes an answer's events, each stamped with the time of its write.
func (c *call) stream(ctx context.Context, w http.ResponseWriter) {
	e := c.engine
	n := minTokens + e.extraTokens()
	short := e.drawShortStop(n)
	w.Header().Set("Content-Type", "text/event-stream")
	if short.withoutFraming {
		w.Header().Set("Transfer-Encoding", "identity") // the end of the connection is the end of the body
	}
	for i := range n {
		if short.stops && i == short.after {
			c.end("ends its answer before it is whole", false)
			if short.withinEvent {
				_, _ = fmt.Fprintf(w, "data: {\"id\":%q", c.id) // the caller may have closed the connection
			}
			return
		}
		if i > 0 && !e.work(ctx, tokenInterval) || c.engineCrashed() {
			c.streamCut(i)
			abort()
		}
		c.conn.link.awaitOpen()
		_, err := fmt.Fprintf(w, "data: {\"id\":%q,\"n\":%d,\"of\":%d,\"at\":%d}\n\n", c.id, i, n, time.Since(e.testbed.start).Nanoseconds())
		w.(http.Flusher).Flush()
		if err != nil {
			c.streamCut(i)
			abort()
		}
	}
	c.end("has written the whole answer", false)
	_, _ = fmt.Fprintf(w, ": %s: %s\n\ndata: [DONE]\n\n", headerReport, e.report()) // the caller may have closed the connection
}

// shortStop says whether and how an engine ends an answer before it is whole.
type shortStop struct {
	stops          bool
	after          int  // events
	withinEvent    bool // the last one is begun and not finished
	withoutFraming bool // the body ends with the connection
}

// drawShortStop draws whether and how the engine stops short in an answer of n events.
func (e *engine) drawShortStop(n int) shortStop {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopsShort == 0 || e.rng.Float64() >= e.stopsShort {
		return shortStop{}
	}
	return shortStop{stops: true, after: 1 + e.rng.IntN(n-1), withinEvent: e.rng.IntN(2) == 0, withoutFraming: e.rng.IntN(2) == 0}
}

// streamCut records that the caller closed a stream in the middle, or that the engine crashed or reset it.
func (c *call) streamCut(events int) {
	event := "its stream is closed by the gateway"
	if c.engineCrashed() || c.conn.wasReset.Load() {
		event = "crashes or resets its stream"
	} else {
		c.engine.testbed.checker.streamClosedByCaller(c.id, c.attempt)
	}
	c.end(fmt.Sprintf("%s after event %d", event, events), false)
}
