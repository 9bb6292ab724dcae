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

// Errors of Do and of answers. Except after a RefusedError, the request may have run.
var (
	ErrShuttingDown = errors.New("router: shutting down")
	ErrDeadline     = gateway.ErrFirstTokenTimeout
	ErrClientGone   = gateway.ErrClientGone
	ErrDuplicate    = ashwood.ErrDuplicate
	ErrUnknownClass = ashwood.ErrUnknownClass
)

// RefusedError reports that a request was refused: it is safe to send it again.
type RefusedError struct {
	RetryAfter float64 // ms to wait before the next try; 0 = no advice
	Err        error   // the cause: a *limits.Refusal, ErrShuttingDown, or the last attempt's error
}

func (e *RefusedError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("router: refused, retry after %.0f ms", e.RetryAfter)
	}
	return fmt.Sprintf("router: refused, retry after %.0f ms: %v", e.RetryAfter, e.Err)
}

// Unwrap returns the cause of the refusal.
func (e *RefusedError) Unwrap() error { return e.Err }

// FailedError reports that a request failed and may have run.
type FailedError struct{ Err error }

func (e *FailedError) Error() string {
	if e.Err == nil {
		return "router: request failed and may have run"
	}
	return "router: request failed and may have run: " + e.Err.Error()
}

// Unwrap returns the error of the last attempt.
func (e *FailedError) Unwrap() error { return e.Err }

// Request is a request as Do and Serve take it.
type Request = gateway.Request

// Answer is a streamed answer. Only one goroutine may use it, and that goroutine must close it.
type Answer struct{ stream gateway.Stream }

// Next returns the next piece as the engine sent it; it is valid until the next call.
// The error is io.EOF at the end of a complete answer; any other error means that the
// answer broke off.
func (a *Answer) Next() ([]byte, error) { return a.stream.Next() }

// Close discards the rest of the answer. It must always be called, and may be called
// more than once.
func (a *Answer) Close() error { return a.stream.Close() }

// Pieces iterates over the answer and then closes it. An answer that breaks off yields its
// error last.
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

// directFront is the name under which limits count the requests of Do.
const directFront = "direct"

// Do sends a request, for callers that have no front. It returns once the first piece of
// the answer is there; ctx also bounds the rest of the answer. The error is a *RefusedError,
// a *FailedError, one of the errors above, or says why the request is invalid.
func (r *Router) Do(ctx context.Context, req *Request) (*Answer, error) {
	request := *req
	if request.Front == "" {
		request.Front = directFront
	}
	reply, err := r.Serve(ctx, &request)
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
