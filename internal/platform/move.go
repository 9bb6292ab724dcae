package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
)

// This file hands a begun answer to another process of the same gateway and takes one
// over: both connections go there as they are, between two pieces of the answer, and the
// bytes that were read ahead of them go with them. One process alone holds an answer.

// Give hands another process a message with the client's and the engine's connections.
// After an error nothing of them has gone.
type HandoverFunc func(message []byte, client, engine syscall.Conn) error

// moved is an answer on its way from one process to another.
type moved struct {
	ID     ashwood.RequestID `json:"id"`
	Class  string            `json:"class"`
	Engine ashwood.Server    `json:"engine"`
	Begun  float64           `json:"begun"` // ms, when the request was taken
	Closes bool              `json:"closes"`
	Ahead  []byte            `json:"ahead"` // of the client
	Body   moving            `json:"body"`
}

// moving is where an engine's answer stands.
type moving struct {
	Form     string `json:"form"` // chunks, length, close
	Left     int    `json:"left"` // bytes of the chunk or of the whole
	Keep     bool   `json:"keep"`
	Buffered []byte `json:"buffered"`
	Tail     []byte `json:"tail"`
}

// errMoved ends an answer here that another process goes on with.
var errMoved = errors.New("platform: another process goes on with the answer")

// Give has answers that have begun, and those that begin from now on, handed over; nil
// ends that. One that can't be goes on here.
func (s *Server) SetHandover(give HandoverFunc) {
	if give == nil {
		s.in.give.Store(nil)
		return
	}
	s.in.give.Store(&give)
}

// Move hands the stream's parts to give, between two pieces.
func (s *engineStream) HandOver(give func(gateway.HandoverState) error) error {
	state := moving{Keep: s.reusable, Tail: s.tail}
	switch b := s.body.(type) {
	case *chunkedReader:
		state.Form, state.Left = "chunks", b.remaining
	case *fixedLengthReader:
		state.Form, state.Left = "length", b.remaining
	default:
		state.Form = "close"
	}
	sc, ok := s.conn.Conn.(syscall.Conn)
	if !ok || s.firstEvent != nil || s.done {
		return errors.New("platform: this answer can't be moved")
	}
	state.Buffered, _ = s.conn.reader.Peek(s.conn.reader.Buffered())
	if err := give(gateway.HandoverState{TransportState: state, Conn: sc}); err != nil {
		return err
	}
	s.stopInterrupt()
	s.pool.discard(s.conn)
	s.conn = nil
	return nil
}

// adopt makes a stream of an answer that another process has begun.
func (e *Engines) adopt(ctx context.Context, nc net.Conn, addr string, state moving) (*engineStream, error) {
	c := &engineConn{Conn: nc, reader: bufio.NewReaderSize(io.MultiReader(bytes.NewReader(state.Buffered), nc), 4096), addr: addr}
	s := &engineStream{pool: e.pool, conn: c, reusable: state.Keep, tail: state.Tail}
	switch state.Form {
	case "chunks":
		s.body = &chunkedReader{reader: c.reader, startTimeout: func() func() { return e.startTimeout(c, completionTimeout) }, remaining: state.Left}
	case "length":
		s.body = &fixedLengthReader{reader: c.reader, remaining: state.Left}
	case "close":
		s.body = c.reader
	default:
		return nil, fmt.Errorf("platform: an answer in the form %q", state.Form)
	}
	if state.Left < 0 {
		return nil, fmt.Errorf("platform: an answer with %d bytes left", state.Left)
	}
	s.stopInterrupt = c.interruptOnDone(ctx)
	e.pool.adopted()
	return s, nil
}

// handOver gives the answer away if it is asked for, and tells whether it has.
func (b *body) handOver() bool {
	if b.conn == nil || !b.movable || !b.passed {
		return false
	}
	give := b.conn.l.give.Load()
	client, ok := b.conn.Conn.(syscall.Conn)
	m, can := b.stream.(gateway.HandoverStream)
	if give == nil || !ok || !can {
		return false
	}
	b.conn.unwatch()
	if len(b.conn.ahead) > aheadMost { // more than a message takes
		b.movable = false
		b.conn.watch(b.gone)
		return false
	}
	err := m.HandOver(func(v gateway.HandoverState) error {
		if b.client.Err() != nil {
			return b.client.Err() // it has left: there is nothing to go on with
		}
		message, err := json.Marshal(moved{
			ID: v.ID, Class: v.Class, Engine: v.Engine, Begun: v.StartedAt, Closes: b.closes, Ahead: b.conn.ahead, Body: v.TransportState.(moving),
		})
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		return (*give)(message, client, v.Conn)
	})
	if err != nil {
		b.movable = false // it goes on here to its end
		b.conn.watch(b.gone)
		return false
	}
	b.conn.cut() // here alone: a shutdown would be the other process's too
	return true
}

// Adopter is a Handler that can go on with answers begun elsewhere.
type Adopter interface {
	Handler
	// Adopt counts a request in whose answer make goes on with; client is its client's life.
	Adopt(client context.Context, live gateway.HandoverState, make func(context.Context, gateway.Transport) (gateway.Stream, error)) (gateway.Stream, error)
}

// Adopt goes on with an answer that another process has handed over, to its end, and then
// serves its client's connection like any other. It owns both connections.
func (s *Server) Adopt(message []byte, clientConn, engine net.Conn) error {
	fail := func(err error) error {
		clientConn.Close()
		engine.Close()
		return fmt.Errorf("platform: an answer handed over: %w", err)
	}
	var m moved
	if err := json.Unmarshal(message, &m); err != nil {
		return fail(err)
	}
	gw, ok := s.gw.(Adopter)
	if !ok {
		return fail(errors.New("nobody goes on with it"))
	}
	c := s.in.adopt(clientConn, m.Ahead)
	client, gone := context.WithCancel(context.Background())
	live := gateway.HandoverState{ID: m.ID, Class: m.Class, Engine: m.Engine, StartedAt: m.Begun}
	stream, err := gw.Adopt(client, live, func(ctx context.Context, t gateway.Transport) (gateway.Stream, error) {
		e, ok := t.(*Engines)
		if !ok {
			return nil, fmt.Errorf("engines are reached by %T here", t)
		}
		return e.adopt(ctx, engine, m.Engine.Address, m.Body)
	})
	if err != nil {
		gone()
		c.Close()
		return fail(err)
	}
	c.watch(gone)
	b := &body{stream: stream, conn: c, client: client, gone: gone, movable: true, passed: true, closes: m.Closes, end: func() {
		gone()
		c.unwatch()
		c.end()
	}}
	s.adopted.Go(func() { s.relay(b, c) })
	return nil
}

// relay passes an adopted answer on as fasthttp does those of this process.
func (s *Server) relay(b *body, c *clientConn) {
	w := bufio.NewWriterSize(c, 4096+16)
	var piece [4096]byte
	for {
		n, err := b.Read(piece[:])
		if n > 0 {
			fmt.Fprintf(w, "%x\r\n", n)
			w.Write(piece[:n])
			w.WriteString("\r\n")
		}
		if errors.Is(err, io.EOF) {
			w.WriteString("0\r\n\r\n")
		}
		if e := w.Flush(); e != nil && err == nil {
			err = e
		}
		if err == nil {
			continue
		}
		b.Close()
		if !errors.Is(err, io.EOF) || b.closes || s.draining.Load() || s.yielding.Load() {
			c.Close()
			return
		}
		s.http.ServeConn(c)
		return
	}
}

// adopted counts a connection that came from another process.
func (p *connPool) adopted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
}

// adopt makes a connection of one that another process had accepted, with a request on its way.
func (l *listener) adopt(nc net.Conn, ahead []byte) *clientConn {
	now := time.Now()
	c := &clientConn{Conn: nc, l: l, came: now, first: now, served: true, ahead: ahead}
	c.written.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	return c
}
