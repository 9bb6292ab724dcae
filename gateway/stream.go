package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"

	"ashwood.example/ashwood"
)

// stream is a served answer. It detects stalls and reports the end of the answer to the router once.
type stream struct {
	Stream
	gateway    *Gateway
	client     *clientWatch
	id         ashwood.RequestID
	attempt    int
	cancel     context.CancelCauseFunc
	engine     ashwood.Server
	progress   *engineProgress // progress of all answers of the engine
	pieceCount int             // pieces received so far that were progress
	eventWait  float64         // ms waited in Next since the last of them
	class      string
	startedAt  float64 // when the request was accepted
	ended      bool
}

// Next passes on the next piece. A connection may fall silent and stay open although its engine
// has vanished, or while the engine is busy: so that the client does not wait forever, a stalled answer is
// cancelled and counts as broken.
func (s *stream) Next() ([]byte, error) {
	calledAt := s.gateway.clock.Now()
	watch := s.watchStall(calledAt)
	piece, err := s.Stream.Next()
	watch.stop()
	s.eventWait += s.gateway.clock.Now() - calledAt
	switch {
	case err == nil:
		if s.madeProgress() {
			s.pieceCount, s.eventWait = s.pieceCount+1, 0
		}
	case errors.Is(err, io.EOF):
		s.end(ashwood.StatusServed)
	case s.client.ctx.Err() != nil:
		s.end(ashwood.StatusCancelled)
		err = ErrClientGone
	default:
		s.gateway.log.Debug("stream broke", "id", s.id, "err", err, "waited_ms", s.eventWait)
		s.end(ashwood.StatusConnectionLost)
	}
	return piece, err
}

// madeProgress reports whether the last piece was progress.
func (s *stream) madeProgress() bool {
	progress, ok := s.Stream.(ProgressStream)
	return !ok || progress.MadeProgress()
}

// HandOver hands the answer over to another process. In this process, it ends as cancelled,
// which says nothing about its engine.
func (s *stream) HandOver(give func(HandoverState) error) error {
	source, ok := s.Stream.(HandoverStream)
	if !ok {
		return fmt.Errorf("gateway: a stream of type %T cannot be handed over", s.Stream)
	}
	err := source.HandOver(func(state HandoverState) error {
		state.ID, state.Class, state.Engine, state.StartedAt, state.EventWait = s.id, s.class, s.engine, s.startedAt, s.eventWait
		return give(state)
	})
	if err == nil {
		s.end(ashwood.StatusCancelled)
	}
	return err
}

// Adopt continues an answer that another process has begun: open returns its stream,
// which ctx bounds. The decision module of this process does not know the request and makes no decisions about it,
// but the end of the answer is reported to it.
func (g *Gateway) Adopt(ctx context.Context, state HandoverState, open func(context.Context, Transport) (Stream, error)) (Stream, error) {
	client := g.watchClient(ctx, &Request{RequestInfo: ashwood.RequestInfo{ID: state.ID, Class: state.Class}})
	attemptCtx, cancel := context.WithCancelCause(client.ctx)
	inner, err := open(attemptCtx, g.transport)
	if err != nil {
		cancel(nil)
		client.release()
		return nil, err
	}
	g.router.RecordRun(state.ID)
	g.log.Debug("adopted", "id", state.ID, "class", state.Class, "engine", state.Engine.ID, "ms", g.clock.Now()-state.StartedAt)
	return &stream{
		Stream: inner, gateway: g, client: client, id: state.ID, engine: state.Engine, progress: g.progress.join(state.Engine.ID), cancel: cancel,
		class: state.Class, startedAt: state.StartedAt, pieceCount: 2, eventWait: state.EventWait,
	}, nil
}

// Close cancels the answer if it has not ended.
func (s *stream) Close() error {
	s.end(ashwood.StatusCancelled)
	s.cancel(nil)
	s.client.release()
	return s.Stream.Close()
}

func (s *stream) end(status ashwood.Status) {
	if s.ended {
		return
	}
	s.ended = true
	s.gateway.progress.leave(s.engine.ID)
	s.gateway.log.Debug("end", "id", s.id, "class", s.class, "status", status, "ms", s.gateway.clock.Now()-s.startedAt)
	s.gateway.router.ReportResult(s.id, s.attempt, ashwood.Result{Status: status, Report: s.Stream.Report()})
}
