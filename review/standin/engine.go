package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fleet is a set of engines, readers and writers, that keep read states for each other.
type Fleet struct {
	Record *Record
	// ReadTime, FirstToken and TokenGap are how long a read, the wait for the first token and each further event take.
	ReadTime, FirstToken, TokenGap time.Duration
	Events                         int // of each answer

	// Arrived is called as an attempt arrives at an engine; nil = not at all.
	Arrived func(engine, id string)

	mu     sync.Mutex
	states map[string]bool // requests whose prompt has been read
	out    map[string]int  // attempts of a request that are out
}

// Engine is one engine.
type Engine struct {
	ID, Addr string
	fleet    *Fleet
	reads    bool
}

// StartEngine starts a reader or a writer.
func (f *Fleet) StartEngine(id string, reads bool) (*Engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	if f.states == nil {
		f.states, f.out = map[string]bool{}, map[string]int{}
	}
	f.mu.Unlock()
	e := &Engine{ID: id, Addr: l.Addr().String(), fleet: f, reads: reads}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

// Instance returns the engine's entry in discovery's list.
func (e *Engine) Instance() Instance {
	kind := "decode-a"
	if e.reads {
		kind = "prefill"
	}
	return Instance{ID: e.ID, HostPort: e.Addr, Zone: "glenorchy", Type: kind, Lifecycle: "up", Weight: 1}
}

// AnyRead reports whether an engine has got a request.
func (f *Fleet) AnyRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.out) > 0
}

func eventText(id string, i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s-%d \"},\"finish_reason\":null}]}\n\n", id, i)
}

const (
	endText    = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
	loadReport = "inflight=3,queue=0,x0=0.2,x1=0.4"
)

// conn is a connection to an engine, whose writes don't mix.
type conn struct {
	net.Conn
	mu sync.Mutex
}

func (c *conn) write(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	io.WriteString(c.Conn, text)
}

// serve reads a connection's requests and answers one after the other. ctx ends with the connection.
func (e *Engine) serve(nc net.Conn) {
	c := &conn{Conn: nc}
	defer nc.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	requests := make(chan *http.Request, 16)
	go func() {
		defer cancel()
		defer close(requests)
		in := bufio.NewReader(nc)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if r.URL.Path == "/v1/chat/completions" {
				e.fleet.begin(e.ID, r.Header.Get("X-Txn"))
			}
			requests <- r
		}
	}()
	for r := range requests {
		e.handle(ctx, c, r)
	}
}

// begin counts an attempt whose last byte has arrived.
func (f *Fleet) begin(engine, id string) {
	f.mu.Lock()
	f.out[id]++
	n := f.out[id]
	f.mu.Unlock()
	f.Record.Log("%s got %s", engine, id)
	if f.Arrived != nil {
		f.Arrived(engine, id)
	}
	if n > 1 {
		f.Record.Broken("never two at once: %s has %d attempts out, the last at %s", id, n, engine)
	}
}

func (f *Fleet) end(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out[id]--
}

func (e *Engine) handle(ctx context.Context, c *conn, r *http.Request) {
	f := e.fleet
	id := r.Header.Get("X-Txn")
	switch {
	case r.URL.Path == "/-/load":
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(loadReport), loadReport))
	case r.Method == http.MethodDelete:
		f.mu.Lock()
		delete(f.states, r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
		f.mu.Unlock()
		c.write("HTTP/1.1 204 No Content\r\n\r\n")
	case strings.HasPrefix(r.URL.Path, "/bootstrap/rooms/"):
		c.write("HTTP/1.1 200 OK\r\nX-Pressure: " + loadReport + "\r\nContent-Length: 0\r\n\r\n")
	case e.reads:
		ended := pause(ctx, f.ReadTime)
		f.mu.Lock()
		f.states[id] = true
		f.mu.Unlock()
		f.end(id)
		if ended {
			f.Record.Log("%s has read %s", e.ID, id)
			c.write("HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nX-Pressure: " + loadReport + "\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}")
		}
	default:
		defer f.end(id)
		f.mu.Lock()
		found := f.states[id]
		delete(f.states, id)
		f.mu.Unlock()
		if !found {
			f.Record.Log("%s turned %s away: no state", e.ID, id)
			c.write("HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		e.stream(ctx, c, id)
	}
}

// stream writes an answer.
func (e *Engine) stream(ctx context.Context, c *conn, id string) {
	f := e.fleet
	if !pause(ctx, f.FirstToken) {
		return
	}
	c.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := range f.Events {
		if i > 0 && !pause(ctx, f.TokenGap) {
			return
		}
		text := eventText(id, i)
		c.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
	}
	c.write(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(endText), endText))
	f.Record.Log("%s has answered %s", e.ID, id)
}

// pause waits, and reports whether ctx has lasted.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
