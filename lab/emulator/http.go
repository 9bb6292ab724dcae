package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/rules"
)

// Names of the platform's protocol.
const (
	headerID        = "X-Txn"
	headerRemaining = "X-Remaining"
	headerLoad      = "X-Pressure"
	headerRejected  = "X-Turned-Away"
	holdsPath       = "/bootstrap/rooms/"
	maxBody         = 256 << 10
)

// taggedListener tags connections with the endpoint whose listener accepted them.
type taggedListener struct {
	net.Listener
	endpoint *endpoint
}

type taggedConn struct {
	net.Conn
	endpoint *endpoint
}

func (l taggedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return taggedConn{c, l.endpoint}, nil
}

type endpointKey struct{}

func (e *Emulator) serveHTTP() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+holdsPath+"{id}", e.handleReserve)
	mux.HandleFunc("DELETE "+holdsPath+"{id}", e.handleRelease)
	mux.HandleFunc("GET /-/load", e.handleLoad)
	mux.HandleFunc("GET /-/healthy", e.handleLoad)
	mux.HandleFunc("/", e.handleAttempt)
	e.http = &http.Server{
		Handler: mux, MaxHeaderBytes: 64 << 10,
		BaseContext: func(net.Listener) context.Context { return e.ctx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, endpointKey{}, c.(taggedConn).endpoint)
		},
	}
}

func requestEndpoint(r *http.Request) *endpoint { return r.Context().Value(endpointKey{}).(*endpoint) }

// networkDelay waits until bytes that were sent at the given time have arrived.
func (e *Emulator) networkDelay(ctx context.Context, ep *endpoint, from float64) error {
	return e.driver.sleepUntil(ctx, from+ep.oneWay)
}

// neverAnswer waits until the caller closes: this call gets no answer.
func neverAnswer(ctx context.Context) {
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// bodyJSON is what an engine reads of a request's body. Gateways pass bodies on
// unchanged and need not pass on headers, so the lab's clients put the rest into the
// metadata, where the API has room for it.
type bodyJSON struct {
	Metadata  *metadataJSON `json:"metadata"`
	MaxTokens int           `json:"max_tokens"`
}

type metadataJSON struct {
	Class        string  `json:"class"`
	Session      string  `json:"session"`
	Prefix       string  `json:"prefix"`
	PromptTokens float64 `json:"prompt_len"`
	PrefixTokens float64 `json:"prefix_len"`
}

// charsPerToken is the length of a token in a prompt's text.
const charsPerToken = 4

// parseJob reads what the model needs. Without metadata in the body, the prompt's
// length is taken from the body's length, and the class is the fleet's first.
func parseJob(h http.Header, body []byte, firstClass string) (engine.Job, error) {
	j := engine.Job{Request: h.Get(headerID)}
	left, err := strconv.ParseFloat(h.Get(headerRemaining), 64)
	if err != nil || !(left >= 0) {
		return j, fmt.Errorf("%s: %q", headerRemaining, h.Get(headerRemaining))
	}
	j.Remaining = left * 1000
	if len(body) > maxBody {
		return j, fmt.Errorf("a body of more than %d bytes", maxBody)
	}
	var in bodyJSON
	if err := json.Unmarshal(body, &in); err != nil {
		return j, fmt.Errorf("the body: %w", err)
	}
	m := in.Metadata
	if m == nil {
		m = &metadataJSON{Class: firstClass, Session: j.Request, PromptTokens: float64(len(body) / charsPerToken)}
	}
	j.Class, j.MaxOutputTokens = m.Class, in.MaxTokens
	j.Prompt = engine.Prompt{Session: m.Session, Prefix: m.Prefix, Tokens: m.PromptTokens, PrefixTokens: m.PrefixTokens}
	if !(m.PromptTokens >= 1) || !(m.PrefixTokens >= 0) || m.PrefixTokens > m.PromptTokens || j.MaxOutputTokens < 0 {
		return j, fmt.Errorf("the body: a prompt of %v tokens, %v of them shared, for %d at most", m.PromptTokens, m.PrefixTokens, j.MaxOutputTokens)
	}
	return j, nil
}

func (e *Emulator) handleAttempt(w http.ResponseWriter, r *http.Request) {
	ep, firstByte := requestEndpoint(r), e.clock.Now()
	if r.Header.Get(headerID) == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		panic(http.ErrAbortHandler) // the body was never complete
	}
	j, err := parseJob(r.Header, body, e.plan.Engine.Classes[0].Name)
	if err != nil {
		e.malformed.Store(fmt.Sprintf("%s: %v", j.Request, err), true)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.serveAttempt(r.Context(), ep, firstByte, j, httpAnswer{w, r, j.Request})
}

// answerWriter writes an attempt's answer to HTTP or gRPC.
type answerWriter interface {
	rejected(ev engine.Event, report string)
	prefilled(ev engine.Event, report string)
	failed(report string)
	tokens(from int, ev engine.Event)
	malformed(fault engine.StreamFault) // writes malformed bytes, and returns once the caller has closed
	finished(prompt int, ev engine.Event, report string)
	broken()
	stall(ctx context.Context) // sends nothing more, and keeps the connection
}

// serveAttempt takes an attempt through the model, for any transport. It returns once
// the answer is complete or the caller has gone.
func (e *Emulator) serveAttempt(ctx context.Context, ep *endpoint, firstByte float64, j engine.Job, out answerWriter) {
	now := e.clock.Now()
	coldSince := e.coldStart(ep.spec.ID)
	e.rules.AttemptSent(firstByte, now, ep.gateway, ep.spec.ID, j.Request, ep.prefill, coldSince)
	ended := func(outcome rules.Outcome) { e.rules.AttemptEnded(e.clock.Now(), ep.spec.ID, j.Request, outcome) }
	if e.networkDelay(ctx, ep, now) != nil {
		ended(rules.Cancelled)
		return
	}
	c, err := e.driver.openCall(func(f *engine.Fleet) (engine.Call, error) { return f.Send(ep.spec.ID, j) })
	if err != nil { // the engine has just died
		out.stall(ctx)
		ended(rules.Reset)
		return
	}
	sent := 0
	for {
		ev, err := c.next(ctx)
		if err == nil {
			err = e.networkDelay(ctx, ep, ev.At)
		}
		if err != nil {
			e.driver.cancelCall(c)
			ended(rules.Cancelled)
			return
		}
		report := e.formatLoad(ep.spec.ID, ev.Report)
		switch ev.Kind {
		case engine.EventPrefilled:
			ended(rules.Prefilled)
			out.prefilled(ev, report)
			return
		case engine.EventRejected, engine.EventNoState:
			ended(rules.Rejected)
			out.rejected(ev, report)
			return
		case engine.EventError:
			ended(rules.Failed)
			out.failed(report)
			return
		case engine.EventTokens:
			if sent == 0 {
				e.rules.AnswerStarted(e.clock.Now(), ep.spec.ID, j.Request)
			}
			if ev.StreamFault == engine.StreamMalformedHead {
				out.malformed(ev.StreamFault)
				ended(rules.Reset)
				return
			}
			e.rules.AnswerEvent(e.clock.Now(), j.Request)
			out.tokens(sent, ev)
			sent += ev.Tokens
			if ev.StreamFault == engine.StreamMalformedChunk {
				out.malformed(ev.StreamFault)
				ended(rules.Reset)
				return
			}
		case engine.EventEnd:
			e.rules.AnswerEvent(e.clock.Now(), j.Request)
			ended(rules.Whole)
			out.finished(int(j.Prompt.Tokens), ev, report)
			return
		case engine.EventLost:
			ended(rules.Reset)
			out.broken()
			return
		}
	}
}

// coldStart returns the time of the engine's last start while it is cold, else -1.
func (e *Emulator) coldStart(engineID string) float64 {
	at := -1.0
	e.driver.do(func(f *engine.Fleet) {
		if f.Cold(engineID) {
			at = f.StartedAt(engineID)
		}
	})
	return at
}

// formatLoad formats a load report as it is sent.
func (e *Emulator) formatLoad(engineID string, r engine.Report) string {
	malformed := false
	e.driver.do(func(f *engine.Fleet) {
		c, _ := f.Condition(engineID)
		malformed = c.MalformedReports
	})
	if malformed {
		return "inflight=,queue=?,x0=-inf;"
	}
	return fmt.Sprintf("inflight=%.0f,queue=%.0f,x0=%.3f,x1=%.2f", r.InFlight, r.Queue, r.Memory, r.Pending)
}

func (e *Emulator) handleReserve(w http.ResponseWriter, r *http.Request) {
	ep, id, now := requestEndpoint(r), r.PathValue("id"), e.clock.Now()
	if e.networkDelay(r.Context(), ep, now) != nil {
		return
	}
	kind, report, ok := e.askReservation(r.Context(), ep, id, now)
	if !ok {
		neverAnswer(r.Context())
	}
	w.Header().Set(headerLoad, report)
	w.WriteHeader(map[engine.EventKind]int{
		engine.EventReserved: http.StatusOK, engine.EventNotReserved: http.StatusConflict, engine.EventNoPrefill: http.StatusNoContent,
	}[kind])
}

// askReservation asks the model for a reservation, for any transport; ok is false if
// the caller has gone or is never answered.
func (e *Emulator) askReservation(ctx context.Context, ep *endpoint, id string, firstByte float64) (kind engine.EventKind, report string, ok bool) {
	c, err := e.driver.openCall(func(f *engine.Fleet) (engine.Call, error) { return f.Reserve(ep.spec.ID, id) })
	if err != nil {
		return 0, "", false
	}
	ev, err := c.next(ctx)
	if err != nil {
		e.driver.cancelCall(c)
		return 0, "", false
	}
	e.rules.ReservationAnswered(firstByte, ep.gateway, ep.spec.ID, id, ev.Kind == engine.EventReserved)
	if e.networkDelay(ctx, ep, ev.At) != nil {
		return 0, "", false
	}
	return ev.Kind, e.formatLoad(ep.spec.ID, ev.Report), true
}

func (e *Emulator) handleRelease(w http.ResponseWriter, r *http.Request) {
	ep, id := requestEndpoint(r), r.PathValue("id")
	if !e.releaseHolds(r.Context(), ep, id) {
		neverAnswer(r.Context())
	}
	w.WriteHeader(http.StatusNoContent)
}

// releaseHolds passes a release to the model, for any transport. A hung engine
// releases and does not answer.
func (e *Emulator) releaseHolds(ctx context.Context, ep *endpoint, id string) bool {
	if e.networkDelay(ctx, ep, e.clock.Now()) != nil {
		return false
	}
	var err error
	hung := false
	e.driver.do(func(f *engine.Fleet) {
		err = f.Release(ep.spec.ID, id)
		c, _ := f.Condition(ep.spec.ID)
		hung = c.Hung
	})
	if err == nil {
		e.rules.HoldsReleased(e.clock.Now(), ep.spec.ID, id)
	}
	return err == nil && !hung && e.networkDelay(ctx, ep, e.clock.Now()) == nil
}

func (e *Emulator) handleLoad(w http.ResponseWriter, r *http.Request) {
	report, ok := e.probeLoad(r.Context(), requestEndpoint(r))
	if !ok {
		neverAnswer(r.Context())
	}
	w.Header().Set(headerLoad, report)
	_, _ = io.WriteString(w, report)
}

// probeLoad probes the model, for any transport.
func (e *Emulator) probeLoad(ctx context.Context, ep *endpoint) (string, bool) {
	if e.networkDelay(ctx, ep, e.clock.Now()) != nil {
		return "", false
	}
	var report engine.Report
	var ok bool
	e.driver.do(func(f *engine.Fleet) { report, ok = f.Probe(ep.spec.ID) })
	if !ok || e.networkDelay(ctx, ep, e.clock.Now()) != nil {
		return "", false
	}
	return e.formatLoad(ep.spec.ID, report), true
}
