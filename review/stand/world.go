package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *record) close() { r.file.Close() }

// attempt is one sending of a request that has arrived whole at an engine.
type attempt struct {
	world      *world
	id, engine string
	role       string
	begun      time.Time
	ended      time.Time // zero = it is out
}

// request is what the engines know of a request.
type request struct {
	class     string
	readsOut  int
	state     bool // a read state waits
	runs      int  // streams begun
	payload   strings.Builder
	cutBy     bool // the gateway closed the connection while events were still coming
	attempts  []*attempt
	answer    string // what the client got
	got       string // body of a 200
	whole     bool   // ended with the last chunk
	clientErr string
	left      time.Time // when the client closed its connection
}

// world is the state that engines and clients share.
type world struct {
	rec     *record
	opts    options
	engines []*engine

	mu       sync.Mutex
	requests map[string]*request
	order    []string
}

func newWorld(rec *record, o options) *world {
	return &world{rec: rec, opts: o, requests: map[string]*request{}}
}

func (w *world) startEngines() error {
	for i, role := range []string{"reader", "reader", "reader", "writer", "writer", "writer", "writer"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		e := &engine{id: fmt.Sprintf("box-%d", i+1), role: role, addr: l.Addr().String(), world: w}
		w.engines = append(w.engines, e)
		go e.serve(l)
	}
	return nil
}

// load returns an engine's load report.
func (w *world) load(e *engine) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := 0
	for _, id := range w.order[max(len(w.order)-200, 0):] {
		for _, a := range w.requests[id].attempts {
			if a.engine == e.id && a.ended.IsZero() {
				out++
			}
		}
	}
	return fmt.Sprintf("inflight=%d,queue=0,x0=%.2f,x1=0", out, float64(out)*0.01)
}

// get returns a request's entry; the lock must be held.
func (w *world) get(id string) *request {
	r := w.requests[id]
	if r == nil {
		r = &request{}
		w.requests[id] = r
		w.order = append(w.order, id)
	}
	return r
}

// begin records the arrival of an attempt's last byte.
func (w *world) begin(in call, e *engine) *attempt {
	a := &attempt{world: w, id: in.id, engine: e.id, role: e.role, begun: in.arrived}
	w.mu.Lock()
	r := w.get(in.id)
	r.attempts = append(r.attempts, a)
	if e.role == "reader" {
		r.readsOut++
	}
	w.mu.Unlock()
	w.rec.printf("engine %s: %s (%s) arrives", e.id, in.id, in.class)
	return a
}

func (a *attempt) end(how string) {
	a.world.mu.Lock()
	a.ended = time.Now()
	if a.role == "reader" {
		a.world.get(a.id).readsOut--
	}
	a.world.mu.Unlock()
	a.world.rec.printf("engine %s: %s ends: %s", a.engine, a.id, how)
}

func (w *world) with(id string, change func(r *request)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w.get(id))
}

func (w *world) prefilled(id string) { w.with(id, func(r *request) { r.state = true }) }
func (w *world) release(id string)   { w.with(id, func(r *request) { r.state = false }) }
func (w *world) ran(id string)       { w.with(id, func(r *request) { r.runs++; r.payload.Reset() }) }
func (w *world) cut(id string)       { w.with(id, func(r *request) { r.cutBy = true }) }
func (w *world) sent(id, event string) {
	w.with(id, func(r *request) { r.payload.WriteString(event) })
}

func (w *world) reading(id string) (out bool) {
	w.with(id, func(r *request) { out = r.readsOut > 0 })
	return out
}

// take takes the read state of a request, if there is one.
func (w *world) take(id string) (taken bool) {
	w.with(id, func(r *request) { taken, r.state = r.state, false })
	return taken
}
