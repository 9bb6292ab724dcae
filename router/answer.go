package router

import (
	"context"
	"errors"
	"fmt"
	"io"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/metrics"
	"ashwood.example/ashwood/lifecycle"
)

// stream is the answer to a served request. Close removes the request from the router and
// counts how it ended.
type stream struct {
	gateway.Stream
	ctx        context.Context
	release    func()
	countEnd   func(metrics.RequestEnd)
	complete   bool // Next has returned io.EOF
	clientGone bool // the client disconnected first
	counted    bool // the end is already counted, here or by another process
}

func (r *Router) newStream(ctx context.Context, id lifecycle.ID, class string, inner gateway.Stream) *stream {
	return &stream{
		Stream: inner, ctx: ctx, release: func() { r.release(id) },
		countEnd: func(how metrics.RequestEnd) { r.gateway.Metrics().RequestEnded(class, how) },
	}
}

// Next returns the next piece. If the shutdown ended the answer, the error is
// ErrShuttingDown.
func (s *stream) Next() ([]byte, error) {
	piece, err := s.Stream.Next()
	s.complete = s.complete || errors.Is(err, io.EOF)
	s.clientGone = s.clientGone || errors.Is(err, gateway.ErrClientGone)
	if err != nil && errors.Is(context.Cause(s.ctx), ErrShuttingDown) {
		err = ErrShuttingDown
	}
	return piece, err
}

// Move hands the answer over to another process, which then counts its end.
func (s *stream) HandOver(transfer func(gateway.HandoverState) error) error {
	movable, ok := s.Stream.(gateway.HandoverStream)
	if !ok {
		return fmt.Errorf("router: a stream of type %T does not support handover", s.Stream)
	}
	err := movable.HandOver(transfer)
	s.counted = s.counted || err == nil
	return err
}

// Close closes the answer and counts its end, unless another process counts it or the
// client disconnected, which is not counted at all.
func (s *stream) Close() error {
	defer s.release()
	switch {
	case s.counted || s.clientGone:
	case s.complete:
		s.countEnd(metrics.Fulfilled)
	default:
		s.countEnd(metrics.Faulted)
	}
	s.counted = true
	return s.Stream.Close()
}

// Adopt continues an answer that another process of this gateway has started; see
// gateway.Gateway. From now on it counts as a request of this router. Limits don't apply to it.
func (r *Router) Adopt(ctx context.Context, state gateway.HandoverState, newStream func(context.Context, gateway.Transport) (gateway.Stream, error)) (gateway.Stream, error) {
	requestCtx, cancel := context.WithCancelCause(ctx)
	entry := &activeRequest{cancel: cancel}
	r.mu.Lock()
	id, err := r.machine.Adopt()
	if err == nil {
		r.active[id] = entry
	}
	r.mu.Unlock()
	if err != nil {
		entry.cancel(nil)
		return nil, fmt.Errorf("router: %w", err)
	}
	inner, err := r.gateway.Adopt(requestCtx, state, newStream)
	if err != nil {
		r.release(id)
		return nil, err
	}
	return r.newStream(requestCtx, id, state.Class, inner), nil
}

// EndUnanswered ends the active requests whose answer has not started, and releases the KV
// state and reservations that engines hold for them. Answers that have started continue.
func (r *Router) EndUnanswered() {
	r.mu.Lock()
	var cancels []context.CancelCauseFunc
	for _, id := range r.machine.EndUnanswered() {
		cancels = append(cancels, r.active[id].cancel)
	}
	r.mu.Unlock()
	r.logCounts("shutdown: answer deadline reached")
	for _, cancel := range cancels {
		cancel(ErrShuttingDown)
	}
}

// shutdownReply is the reply to a request that the shutdown ended before its answer started:
// refused if its class is pure, because repeating it is safe even if it ran, else failed.
func (r *Router) shutdownReply(class string) gateway.Reply {
	for _, candidate := range r.cfg.Settings.Classes {
		if candidate.Name == class && candidate.Effect == ashwood.Pure {
			return gateway.Reply{Kind: gateway.Refused, RetryAfter: r.gateway.RetryAfter(), Err: ErrShuttingDown}
		}
	}
	return gateway.Reply{Kind: gateway.Failed, Err: ErrShuttingDown}
}
