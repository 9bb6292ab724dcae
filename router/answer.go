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

// stream is a served answer that gives its request's place back when it ends.
type stream struct {
	gateway.Stream
	ctx   context.Context
	leave func()
	ended func(metrics.RequestEnd) // counts it
	whole bool                     // its last piece has been passed on
	left  bool                     // its client has
	over  bool                     // it has been counted
}

func (r *Router) stream(ctx context.Context, id lifecycle.ID, class string, inner gateway.Stream) *stream {
	return &stream{
		Stream: inner, ctx: ctx, leave: func() { r.leave(id) },
		ended: func(how metrics.RequestEnd) { r.gw.Metrics().RequestEnded(class, how) },
	}
}

// Next gives the next piece. Of an answer that the stop has ended, the error is
// ErrShuttingDown.
func (s *stream) Next() ([]byte, error) {
	piece, err := s.Stream.Next()
	s.whole = s.whole || errors.Is(err, io.EOF)
	s.left = s.left || errors.Is(err, gateway.ErrClientGone)
	if err != nil && errors.Is(context.Cause(s.ctx), ErrShuttingDown) {
		err = ErrShuttingDown
	}
	return piece, err
}

// Move hands the answer to another process, which counts it.
func (s *stream) HandOver(give func(gateway.HandoverState) error) error {
	m, ok := s.Stream.(gateway.HandoverStream)
	if !ok {
		return fmt.Errorf("router: a stream of %T can't be moved", s.Stream)
	}
	err := m.HandOver(give)
	s.over = s.over || err == nil
	return err
}

// Close ends the answer.
func (s *stream) Close() error {
	defer s.leave()
	switch {
	case s.over || s.left: // whose client has left is counted nowhere
	case s.whole:
		s.ended(metrics.Fulfilled)
	default:
		s.ended(metrics.Faulted)
	}
	s.over = true
	return s.Stream.Close()
}

// Adopt goes on with an answer that another process of this gateway has begun; see
// gateway.Gateway. It is counted as this router's request from now on, whatever its limits.
func (r *Router) Adopt(ctx context.Context, live gateway.HandoverState, make func(context.Context, gateway.Transport) (gateway.Stream, error)) (gateway.Stream, error) {
	vctx, cancel := context.WithCancelCause(ctx)
	v := &activeRequest{cancel: cancel}
	r.mu.Lock()
	id, err := r.life.Adopt()
	if err == nil {
		r.active[id] = v
	}
	r.mu.Unlock()
	if err != nil {
		v.cancel(nil)
		return nil, fmt.Errorf("router: %w", err)
	}
	inner, err := r.gw.Adopt(vctx, live, make)
	if err != nil {
		r.leave(id)
		return nil, err
	}
	return r.stream(vctx, id, live.Class, inner), nil
}

// EndWaiting ends the active requests whose answer has not begun; what is held for them is
// let go of. Answers that have begun go on.
func (r *Router) EndUnanswered() {
	r.mu.Lock()
	var end []context.CancelCauseFunc
	for _, id := range r.life.EndWaiting() {
		end = append(end, r.active[id].cancel)
	}
	r.mu.Unlock()
	r.logCounts("shutdown: the time to answer is over")
	for _, cancel := range end {
		cancel(ErrShuttingDown)
	}
}

// unanswered is the answer to a request that the stop has ended: a refusal where trying
// again does no harm whatever has run.
func (r *Router) unanswered(class string) gateway.Reply {
	for _, c := range r.cfg.Settings.Classes {
		if c.Name == class && c.Effect == ashwood.Pure {
			return gateway.Reply{Kind: gateway.Refused, RetryAfter: r.gw.RetryAfter(), Err: ErrShuttingDown}
		}
	}
	return gateway.Reply{Kind: gateway.Failed, Err: ErrShuttingDown}
}
