package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
)

// Errors of Do and of answers. Of all others than a RefusedError, the request may
// have run.
var (
	ErrShuttingDown = errors.New("router: shutting down")
	ErrDeadline     = gateway.ErrFirstTokenTimeout
	ErrClientGone   = gateway.ErrClientGone
	ErrDuplicate    = ashwood.ErrDuplicate
	ErrUnknownClass = ashwood.ErrUnknownClass
)

// RefusedError says that a request was turned away: trying again does no harm.
type RefusedError struct {
	RetryAfter float64 // ms to stay away, 0 = no advice
	Err        error   // what turned it away: a *limits.Refusal, ErrShuttingDown, or of the last attempt
}

func (e *RefusedError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("router: refused, again in %.0f ms", e.RetryAfter)
	}
	return fmt.Sprintf("router: refused, again in %.0f ms: %v", e.RetryAfter, e.Err)
}

// Unwrap gives what turned the request away.
func (e *RefusedError) Unwrap() error { return e.Err }

// FailedError says that a request failed and may have run.
type FailedError struct{ Err error }

func (e *FailedError) Error() string {
	if e.Err == nil {
		return "router: failed: it may have run"
	}
	return "router: failed: it may have run: " + e.Err.Error()
}

// Unwrap gives what the last attempt met.
func (e *FailedError) Unwrap() error { return e.Err }

// Request is what Do sends.
type Request = gateway.Request

// Answer is an answer on its way. It is used by one goroutine, and closed by it.
type Answer struct{ stream gateway.Stream }

// Next gives the next piece as the engine sent it, valid until the next call.
// After a whole answer the error is io.EOF; with any other it is broken.
func (a *Answer) Next() ([]byte, error) { return a.stream.Next() }

// Close gives up what is left of the answer. It is called in any case, and may be
// called again.
func (a *Answer) Close() error { return a.stream.Close() }

// Pieces ranges over the answer and closes it. A broken answer ends with its error.
func (a *Answer) Pieces() iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		defer a.Close()
		for {
			piece, err := a.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			if !yield(piece, err) || err != nil {
				return
			}
		}
	}
}

// directFront is Do's name to the limits.
const directFront = "direct"

// Do sends a request, for callers with no front. It waits for the first piece of
// the answer; ctx bounds the answer too. The errors are *RefusedError and
// *FailedError, those above, and what makes a request unusable.
func (r *Router) Do(ctx context.Context, req *Request) (*Answer, error) {
	in := *req
	if in.Front == "" {
		in.Front = directFront
	}
	reply, err := r.Serve(ctx, &in)
	if err != nil {
		return nil, err
	}
	switch reply.Kind {
	case gateway.Served:
		return &Answer{reply.Stream}, nil
	case gateway.Refused:
		return nil, &RefusedError{reply.RetryAfter, reply.Err}
	case gateway.ClientGone:
		return nil, fmt.Errorf("%w: %w", ErrClientGone, context.Cause(ctx))
	}
	return nil, &FailedError{reply.Err}
}
