package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"ashwood.example/ashwood"
)

// stream reports the end of a served answer to the router, once.
type stream struct {
	Stream
	g       *Gateway
	ctx     context.Context // of the client
	id      ashwood.RequestID
	attempt int
	cancel  context.CancelCauseFunc
	engine  ashwood.Server
	pulse   *pulse // of the engine
	pieces  int    // brought so far
	class   string
	begun   float64 // when the request was taken
	ended   bool
}

// Next passes a piece on. Connections may fall silent and stay open, with an
// engine that has vanished or one that is at work: the client is not to be left
// waiting, and the answer counts as broken.
func (s *stream) Next() ([]byte, error) {
	stop := s.watch()
	piece, err := s.Stream.Next()
	stop()
	switch {
	case err == nil:
		s.pieces++
	case errors.Is(err, io.EOF):
		s.end(ashwood.StatusServed)
	case s.ctx.Err() != nil:
		s.end(ashwood.StatusCancelled)
		err = ErrClientGone
	default:
		s.g.log.Debug("stream broke", "id", s.id, "err", err)
		s.end(ashwood.StatusConnectionLost)
	}
	return piece, err
}

// watch ends the answer if it has stopped. The module may know from other answers, or from
// a probe; without any sign it is ended in time for its client all the same. One that hangs
// is not told from one that has stopped: of some 3,000 answers silent for over a second on
// eight panels of narrow moments, none went on.
func (s *stream) watch() (stop func()) {
	var mu sync.Mutex
	var cancel func() bool
	var look func()
	over, first, since := false, s.pieces == 1, s.g.clock.Now()
	s.pulse.beat(since) // the piece before has just gone on
	arm := func(ms float64) {
		mu.Lock()
		defer mu.Unlock()
		if !over {
			cancel = s.g.clock.AfterFunc(ms, look)
		}
	}
	look = func() {
		stopped, ask := s.g.router.AnswerStalled(s.id, s.attempt, s.engine.ID, since, s.pulse.at(), first)
		left := stallWait - (s.g.clock.Now() - since)
		if stopped || left <= 0 {
			s.cancel(ErrStalled)
			return
		}
		arm(min(stopLook, left)) // before asking: who sees the probe may take the next look as set
		if ask {
			s.g.spawn(func() { s.g.probe(s.engine) })
		}
	}
	arm(stopWait)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		over = true
		cancel()
	}
}

// Move hands the answer to another process. Here it ends as one that was called off,
// which says nothing of its engine.
func (s *stream) HandOver(give func(HandoverState) error) error {
	m, ok := s.Stream.(HandoverStream)
	if !ok {
		return fmt.Errorf("gateway: a stream of %T can't be moved", s.Stream)
	}
	err := m.HandOver(func(v HandoverState) error {
		v.ID, v.Class, v.Engine, v.StartedAt = s.id, s.class, s.engine, s.begun
		return give(v)
	})
	if err == nil {
		s.end(ashwood.StatusCancelled)
	}
	return err
}

// Adopt goes on with an answer that another process has begun: make gives its stream,
// which ctx bounds. The decisions have not heard of its request and are not asked about it;
// what it tells of its engine at its end is.
func (g *Gateway) Adopt(ctx context.Context, live HandoverState, make func(context.Context, Transport) (Stream, error)) (Stream, error) {
	actx, cancel := context.WithCancelCause(ctx)
	inner, err := make(actx, g.transport)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	g.log.Debug("adopted", "id", live.ID, "class", live.Class, "engine", live.Engine.ID, "ms", g.clock.Now()-live.StartedAt)
	return &stream{Stream: inner, g: g, ctx: ctx, id: live.ID, engine: live.Engine, pulse: g.pulses.enter(live.Engine.ID), cancel: cancel, class: live.Class, begun: live.StartedAt, pieces: 2}, nil
}

// Close ends the engine's stream if it has not ended.
func (s *stream) Close() error {
	s.end(ashwood.StatusCancelled)
	s.cancel(nil)
	return s.Stream.Close()
}

func (s *stream) end(status ashwood.Status) {
	if s.ended {
		return
	}
	s.ended = true
	s.g.pulses.leave(s.engine.ID)
	s.g.log.Debug("end", "id", s.id, "class", s.class, "status", status, "ms", s.g.clock.Now()-s.begun)
	s.g.router.ReportResult(s.id, s.attempt, ashwood.Result{Status: status, Report: s.Stream.Report()})
}
