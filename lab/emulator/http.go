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
	headerID   = "X-Txn"
	headerLeft = "X-Remaining"
	headerLoad = "X-Pressure"
	headerAway = "X-Turned-Away"
	roomsPath  = "/bootstrap/rooms/"
	maxBody    = 256 << 10
)

// taggedListener marks connections with the view that they came by.
type taggedListener struct {
	net.Listener
	view *view
}

type taggedConn struct {
	net.Conn
	view *view
}

func (l taggedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return taggedConn{c, l.view}, nil
}

type viewKey struct{}

func (e *Emulator) serveHTTP() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+roomsPath+"{id}", e.reserve)
	mux.HandleFunc("DELETE "+roomsPath+"{id}", e.release)
	mux.HandleFunc("GET /-/load", e.probe)
	mux.HandleFunc("GET /-/healthy", e.probe)
	mux.HandleFunc("/", e.attempt)
	e.http = &http.Server{
		Handler: mux, MaxHeaderBytes: 64 << 10,
		BaseContext: func(net.Listener) context.Context { return e.ctx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, viewKey{}, c.(taggedConn).view)
		},
	}
}

func viewOf(r *http.Request) *view { return r.Context().Value(viewKey{}).(*view) }

// travel waits for as long as bytes that leave at a time are on their way.
func (e *Emulator) travel(ctx context.Context, v *view, from float64) error {
	return e.driver.sleepUntil(ctx, from+v.oneWay)
}

// silent waits until the caller closes: the box says nothing to this call.
func silent(ctx context.Context) {
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// bodyJSON is what a box reads of a request's body. Gateways pass bodies on
// unchanged and need not pass on headers, so the lab's clients tell the rest in
// the metadata, where the API has room for it.
type bodyJSON struct {
	Metadata  *metadataJSON `json:"metadata"`
	MaxTokens int           `json:"max_tokens"`
}

type metadataJSON struct {
	Class  string  `json:"class"`
	Talk   string  `json:"session"`
	Prefix string  `json:"prefix"`
	Prompt float64 `json:"prompt_len"`
	Shared float64 `json:"prefix_len"`
}

// charsAToken is how long a token is in a prompt's text.
const charsAToken = 4

// parseJob reads what the model needs. Of a body without metadata, the length
// tells the prompt's, and the class is the fleet's first.
func parseJob(h http.Header, body []byte, firstClass string) (engine.Job, error) {
	j := engine.Job{Request: h.Get(headerID)}
	left, err := strconv.ParseFloat(h.Get(headerLeft), 64)
	if err != nil || !(left >= 0) {
		return j, fmt.Errorf("%s: %q", headerLeft, h.Get(headerLeft))
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
		m = &metadataJSON{Class: firstClass, Talk: j.Request, Prompt: float64(len(body) / charsAToken)}
	}
	j.Class, j.MaxOut = m.Class, in.MaxTokens
	j.Prompt = engine.Prompt{Session: m.Talk, Shared: m.Prefix, Tokens: m.Prompt, SharedTokens: m.Shared}
	if !(m.Prompt >= 1) || !(m.Shared >= 0) || m.Shared > m.Prompt || j.MaxOut < 0 {
		return j, fmt.Errorf("the body: a prompt of %v tokens, %v of them shared, for %d at most", m.Prompt, m.Shared, j.MaxOut)
	}
	return j, nil
}

func (e *Emulator) attempt(w http.ResponseWriter, r *http.Request) {
	v, first := viewOf(r), e.clock.Now()
	if r.Header.Get(headerID) == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		panic(http.ErrAbortHandler) // it never was whole
	}
	j, err := parseJob(r.Header, body, e.plan.Engine.Classes[0].Name)
	if err != nil {
		e.malformed.Store(fmt.Sprintf("%s: %v", j.Request, err), true)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.run(r.Context(), v, first, j, httpAnswer{w, r, j.Request})
}

// answer is the wire's side of an attempt.
type answer interface {
	away(ev engine.Event, report string)
	read(ev engine.Event, report string)
	failed(report string)
	tokens(from int, ev engine.Event)
	spoil(fate engine.Fate) // writes what can't be read, and returns once the caller has closed
	end(prompt int, ev engine.Event, report string)
	lost()
	hold(ctx context.Context) // says nothing more, and keeps the connection
}

// run takes an attempt through the model, for any wire. It returns once the
// answer is whole or the caller has gone.
func (e *Emulator) run(ctx context.Context, v *view, first float64, j engine.Job, out answer) {
	now := e.clock.Now()
	cold := e.coldSince(v.spec.ID)
	e.rules.Sent(first, now, v.gateway, v.spec.ID, j.Request, v.reads, cold)
	ended := func(how rules.Outcome) { e.rules.Ended(e.clock.Now(), v.spec.ID, j.Request, how) }
	if e.travel(ctx, v, now) != nil {
		ended(rules.GivenUp)
		return
	}
	c, err := e.driver.open(func(f *engine.Fleet) (engine.Call, error) { return f.Send(v.spec.ID, j) })
	if err != nil { // it has just died
		out.hold(ctx)
		ended(rules.Reset)
		return
	}
	sent := 0
	for {
		ev, err := c.next(ctx)
		if err == nil {
			err = e.travel(ctx, v, ev.At)
		}
		if err != nil {
			e.driver.give(c)
			ended(rules.GivenUp)
			return
		}
		report := e.loadText(v.spec.ID, ev.Report)
		switch ev.Kind {
		case engine.EventRead:
			ended(rules.Read)
			out.read(ev, report)
			return
		case engine.EventAway, engine.EventNoState:
			ended(rules.Away)
			out.away(ev, report)
			return
		case engine.EventError:
			ended(rules.Failed)
			out.failed(report)
			return
		case engine.EventTokens:
			if sent == 0 {
				e.rules.Ran(e.clock.Now(), v.spec.ID, j.Request)
			}
			if ev.Fate == engine.FateSpoilHead {
				out.spoil(ev.Fate)
				ended(rules.Reset)
				return
			}
			e.rules.Event(e.clock.Now(), j.Request)
			out.tokens(sent, ev)
			sent += ev.Tokens
			if ev.Fate == engine.FateSpoilChunk {
				out.spoil(ev.Fate)
				ended(rules.Reset)
				return
			}
		case engine.EventEnd:
			e.rules.Event(e.clock.Now(), j.Request)
			ended(rules.Whole)
			out.end(int(j.Prompt.Tokens), ev, report)
			return
		case engine.EventLost:
			ended(rules.Reset)
			out.lost()
			return
		}
	}
}

// coldSince is the box's last start where it is still cold, else -1.
func (e *Emulator) coldSince(box string) float64 {
	at := -1.0
	e.driver.do(func(f *engine.Fleet) {
		if f.Cold(box) {
			at = f.StartedAt(box)
		}
	})
	return at
}

// loadText is a report as it is written.
func (e *Emulator) loadText(box string, r engine.Report) string {
	bad := false
	e.driver.do(func(f *engine.Fleet) {
		c, _ := f.Condition(box)
		bad = c.BadReports
	})
	if bad {
		return "inflight=,queue=?,x0=-inf;"
	}
	return fmt.Sprintf("inflight=%.0f,queue=%.0f,x0=%.3f,x1=%.2f", r.InFlight, r.Queue, r.Memory, r.Pending)
}

func (e *Emulator) reserve(w http.ResponseWriter, r *http.Request) {
	v, id, now := viewOf(r), r.PathValue("id"), e.clock.Now()
	if e.travel(r.Context(), v, now) != nil {
		return
	}
	kind, report, ok := e.place(r.Context(), v, id, now)
	if !ok {
		silent(r.Context())
	}
	w.Header().Set(headerLoad, report)
	w.WriteHeader(map[engine.EventKind]int{
		engine.EventHeld: http.StatusOK, engine.EventNotHeld: http.StatusConflict, engine.EventUnknown: http.StatusNoContent,
	}[kind])
}

// place asks the model for a place, for any wire; ok is false where the caller
// has gone or is never answered.
func (e *Emulator) place(ctx context.Context, v *view, id string, first float64) (kind engine.EventKind, report string, ok bool) {
	c, err := e.driver.open(func(f *engine.Fleet) (engine.Call, error) { return f.Reserve(v.spec.ID, id) })
	if err != nil {
		return 0, "", false
	}
	ev, err := c.next(ctx)
	if err != nil {
		e.driver.give(c)
		return 0, "", false
	}
	e.rules.Place(first, v.gateway, v.spec.ID, id, ev.Kind == engine.EventHeld)
	if e.travel(ctx, v, ev.At) != nil {
		return 0, "", false
	}
	return ev.Kind, e.loadText(v.spec.ID, ev.Report), true
}

func (e *Emulator) release(w http.ResponseWriter, r *http.Request) {
	v, id := viewOf(r), r.PathValue("id")
	if !e.letGo(r.Context(), v, id) {
		silent(r.Context())
	}
	w.WriteHeader(http.StatusNoContent)
}

// letGo carries a release to the model, for any wire. A box that hangs lets go
// and does not answer.
func (e *Emulator) letGo(ctx context.Context, v *view, id string) bool {
	if e.travel(ctx, v, e.clock.Now()) != nil {
		return false
	}
	var err error
	hung := false
	e.driver.do(func(f *engine.Fleet) {
		err = f.Release(v.spec.ID, id)
		c, _ := f.Condition(v.spec.ID)
		hung = c.Hung
	})
	if err == nil {
		e.rules.Release(e.clock.Now(), v.spec.ID, id)
	}
	return err == nil && !hung && e.travel(ctx, v, e.clock.Now()) == nil
}

func (e *Emulator) probe(w http.ResponseWriter, r *http.Request) {
	report, ok := e.load(r.Context(), viewOf(r))
	if !ok {
		silent(r.Context())
	}
	w.Header().Set(headerLoad, report)
	_, _ = io.WriteString(w, report)
}

// load probes the model, for any wire.
func (e *Emulator) load(ctx context.Context, v *view) (string, bool) {
	if e.travel(ctx, v, e.clock.Now()) != nil {
		return "", false
	}
	var rep engine.Report
	var ok bool
	e.driver.do(func(f *engine.Fleet) { rep, ok = f.Probe(v.spec.ID) })
	if !ok || e.travel(ctx, v, e.clock.Now()) != nil {
		return "", false
	}
	return e.loadText(v.spec.ID, rep), true
}
