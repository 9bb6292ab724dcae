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

// This file hands an answer that has begun over to another process of the same gateway, and takes one
// over. Both connections are passed as they are, between two pieces of the answer, together with the
// bytes that were read ahead from them. An answer is never held by two processes.

// HandoverFunc sends another process a message with the client's and the engine's connections. If it
// returns an error, nothing has been sent.
type HandoverFunc func(message []byte, client, engine syscall.Conn) error

// handoverMessage is the JSON message that describes an answer to the process that takes it over.
type handoverMessage struct {
	ID         ashwood.RequestID `json:"id"`
	Class      string            `json:"class"`
	Engine     ashwood.Server    `json:"engine"`
	TakenAt    float64           `json:"begun"`  // ms, when the request was taken
	EventWait  float64           `json:"waited"` // ms waited so far for the end of the current event
	CloseAfter bool              `json:"closes"`
	ReadAhead  []byte            `json:"ahead"` // bytes read ahead from the client
	Body       bodyState         `json:"body"`
}

// bodyState is how far the body of an engine's answer has been read.
type bodyState struct {
	Form     string `json:"form"`      // chunks, length, close
	Left     int    `json:"left"`      // bytes of the current chunk or of the whole body
	BreakDue bool   `json:"break_due"` // the line break behind the current chunk's data has not been read
	Keep     bool   `json:"keep"`
	Buffered []byte `json:"buffered"`
	Tail     []byte `json:"tail"`
}

// errHandedOver ends an answer in this process after another one has taken it over.
var errHandedOver = errors.New("platform: the answer was handed over to another process")

// SetHandover makes answers that have begun, now or later, go to another process through send; nil ends
// that. An answer that can't be handed over finishes here.
func (s *Server) SetHandover(send HandoverFunc) {
	if send == nil {
		s.listener.handover.Store(nil)
		return
	}
	s.listener.handover.Store(&send)
}

// HandOver passes the stream's state and connection to give, between two pieces.
func (s *engineStream) HandOver(give func(gateway.HandoverState) error) error {
	state := bodyState{Keep: s.reusable, Tail: s.tail}
	switch b := s.body.(type) {
	case *chunkedReader:
		state.Form, state.Left, state.BreakDue = "chunks", b.remaining, b.lineBreakDue
	case *fixedLengthReader:
		state.Form, state.Left = "length", b.remaining
	default:
		state.Form = "close"
	}
	socket, ok := s.conn.Conn.(syscall.Conn)
	if !ok || s.firstEvent != nil || s.done {
		return errors.New("platform: the answer can't be handed over in its current state")
	}
	state.Buffered, _ = s.conn.reader.Peek(s.conn.reader.Buffered())
	if err := give(gateway.HandoverState{TransportState: state, Conn: socket}); err != nil {
		return err
	}
	s.stopInterrupt()
	s.pool.discard(s.conn)
	s.conn = nil
	return nil
}

// adoptStream continues an engine's answer that another process has begun.
func (e *Engines) adoptStream(ctx context.Context, nc net.Conn, engine ashwood.Server, state bodyState) (*engineStream, error) {
	c := &engineConn{Conn: nc, reader: bufio.NewReaderSize(io.MultiReader(bytes.NewReader(state.Buffered), nc), 4096), addr: engine.Address}
	s := &engineStream{pool: e.pool, conn: c, reusable: state.Keep, tail: state.Tail}
	s.events.scan(state.Tail)
	switch state.Form {
	case "chunks":
		s.body = &chunkedReader{reader: c.reader, remaining: state.Left, lineBreakDue: state.BreakDue}
	case "length":
		s.body = &fixedLengthReader{reader: c.reader, remaining: state.Left}
	case "close":
		s.body = c.reader
	default:
		return nil, fmt.Errorf("platform: unknown body form %q in a handover message", state.Form)
	}
	if state.Left < 0 {
		return nil, fmt.Errorf("platform: handover message with %d bytes of the body left", state.Left)
	}
	s.stopInterrupt = c.interruptOnDone(ctx)
	e.pool.countAdopted()
	return s, nil
}

// handOver hands the answer over if that is requested, and reports whether it has.
func (b *answerBody) handOver() bool {
	if b.conn == nil || !b.canHandOver || !b.started {
		return false
	}
	send := b.conn.listener.handover.Load()
	client, ok := b.conn.Conn.(syscall.Conn)
	movable, canMove := b.stream.(gateway.HandoverStream)
	if send == nil || !ok || !canMove {
		return false
	}
	b.conn.stopWatch()
	if len(b.conn.readAhead) > maxReadAhead || b.conn.hasDroppedAhead() { // more than a message has room for
		b.canHandOver = false
		b.conn.watchDisconnect(b.cancelClient)
		return false
	}
	err := movable.HandOver(func(live gateway.HandoverState) error {
		if b.clientCtx.Err() != nil {
			return b.clientCtx.Err() // the client has disconnected: there is nothing to continue
		}
		message, err := json.Marshal(handoverMessage{
			ID: live.ID, Class: live.Class, Engine: live.Engine, TakenAt: live.StartedAt, EventWait: live.EventWait, CloseAfter: b.closeAfter,
			ReadAhead: b.conn.readAhead, Body: live.TransportState.(bodyState),
		})
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		return (*send)(message, client, live.Conn)
	})
	if err != nil {
		b.canHandOver = false // it finishes here
		b.conn.watchDisconnect(b.cancelClient)
		return false
	}
	b.conn.abort() // closes this process's descriptor alone: a shutdown would affect the other process too
	return true
}

// Adopter is a Handler that can continue answers begun by another process.
type Adopter interface {
	Handler
	// Adopt takes over a request whose answer has begun; newStream opens the rest of the answer. client
	// ends when the request's client disconnects.
	Adopt(client context.Context, live gateway.HandoverState, newStream func(context.Context, gateway.Transport) (gateway.Stream, error)) (gateway.Stream, error)
}

// Adopt continues an answer that another process has handed over to its end, and then serves its client's
// connection like any other. It owns both connections.
func (s *Server) Adopt(message []byte, clientSide, engineSide net.Conn) error {
	fail := func(err error) error {
		clientSide.Close()
		engineSide.Close()
		return fmt.Errorf("platform: adopting an answer: %w", err)
	}
	var handedOver handoverMessage
	if err := json.Unmarshal(message, &handedOver); err != nil {
		return fail(err)
	}
	adopter, ok := s.handler.(Adopter)
	if !ok {
		return fail(errors.New("the handler can't adopt answers"))
	}
	c := s.listener.adoptConn(clientSide, handedOver.ReadAhead)
	clientCtx, cancelClient := context.WithCancel(context.Background())
	live := gateway.HandoverState{ID: handedOver.ID, Class: handedOver.Class, Engine: handedOver.Engine, StartedAt: handedOver.TakenAt, EventWait: handedOver.EventWait}
	stream, err := adopter.Adopt(clientCtx, live, func(ctx context.Context, t gateway.Transport) (gateway.Stream, error) {
		e, ok := t.(*Engines)
		if !ok {
			return nil, fmt.Errorf("unsupported transport %T", t)
		}
		return e.adoptStream(ctx, engineSide, handedOver.Engine, handedOver.Body)
	})
	if err != nil {
		cancelClient()
		c.Close()
		return fail(err)
	}
	c.watchDisconnect(cancelClient)
	answer := &answerBody{
		stream: stream, conn: c, clientCtx: clientCtx, cancelClient: cancelClient,
		canHandOver: true, started: true, closeAfter: handedOver.CloseAfter,
		endRequest: func() {
			cancelClient()
			c.stopWatch()
			c.endAnswer()
		},
	}
	s.adoptedAnswers.Go(func() { s.relay(answer, c) })
	return nil
}

// relay writes an adopted answer to its client as fasthttp does for answers of this process.
func (s *Server) relay(b *answerBody, c *clientConn) {
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
		if flushErr := w.Flush(); flushErr != nil && err == nil {
			err = flushErr
		}
		if err == nil {
			continue
		}
		b.Close()
		if !errors.Is(err, io.EOF) || b.closeAfter || s.draining.Load() || s.keepAlivesDisabled.Load() {
			c.Close()
			return
		}
		s.http.ServeConn(c)
		return
	}
}

// countAdopted counts a connection that came from another process.
func (p *connPool) countAdopted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
}

// adoptConn wraps a connection that another process accepted, with a request in flight.
func (l *listener) adoptConn(nc net.Conn, ahead []byte) *clientConn {
	now := time.Now()
	c := &clientConn{Conn: nc, listener: l, acceptedAt: now, firstRequestDeadline: now, served: true, readAhead: ahead}
	c.answerStarted.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	return c
}
