package grpcfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/wire"
)

// engineCall is one RPC to an engine.
type engineCall struct {
	grpc.ClientStream
	trailerSeen *atomic.Bool       // a trailer came from the engine
	cancel      context.CancelFunc // of the call; its context's parent ends it as well
}

var errNotReady = errors.New("grpcfront: not to be sent any more") // sent to clients

func (c *engineCall) report() ashwood.Report {
	if v := c.Trailer().Get(trailerLoad); len(v) > 0 {
		return wire.ParseReport(v[0])
	}
	return nil
}

// wrapError wraps an error for clients. An engine's own error keeps its status; that of a broken connection has
// none, since the library and not the engine has worded it.
func (c *engineCall) wrapError(engine ashwood.ServerID, err error) error {
	if c.trailerSeen.Load() {
		return fmt.Errorf("grpcfront: %s: %w", engine, err)
	}
	return fmt.Errorf("grpcfront: %s: %v", engine, err)
}

func (c *engineCall) receivePrefill(engine ashwood.ServerID) gateway.AttemptResult {
	var result ashwoodpb.ReadResult
	err := c.RecvMsg(&result)
	if err == nil {
		err = c.RecvMsg(&rawMessage{}) // the end of the call, with the trailer
	}
	if !errors.Is(err, io.EOF) {
		return c.failedAttempt(engine, err)
	}
	return gateway.AttemptResult{Result: ashwood.Result{
		Status: ashwood.StatusPrefilled, Detail: float64(result.GetCachedTokens()), Report: c.report(),
	}}
}

// failedAttempt returns the result of an attempt that got no answer, as far as the
// call's status and trailer prove it.
func (c *engineCall) failedAttempt(engine ashwood.ServerID, err error) gateway.AttemptResult {
	result := ashwood.Result{Status: ashwood.StatusConnectionLost, Report: c.report()}
	switch {
	case !c.trailerSeen.Load():
	case len(c.Trailer().Get(trailerTurnedAway)) > 0:
		result.Status = ashwood.StatusRejected
		if status.Code(err) == codes.FailedPrecondition {
			result.Detail = 1
		}
	default:
		result.Status = ashwood.StatusServerError
	}
	if errors.Is(err, io.EOF) {
		err = errors.New("ended without a token")
	}
	return gateway.AttemptResult{Result: result, Err: c.wrapError(engine, err)}
}

// engineStream is an answer whose tokens are passed on as the bytes received.
type engineStream struct {
	*engineCall
	engine ashwood.ServerID
	first  *rawMessage
	ended  bool
}

// Next returns the next token, or io.EOF at the end of the answer.
func (s *engineStream) Next() ([]byte, error) {
	if f := s.first; f != nil {
		s.first = nil
		return f.bytes, nil
	}
	f := &rawMessage{}
	switch err := s.RecvMsg(f); {
	case err == nil:
		return f.bytes, nil
	case errors.Is(err, io.EOF):
		s.ended = true
		return nil, io.EOF
	default:
		s.ended = true
		return nil, s.wrapError(s.engine, err)
	}
}

// Report returns the load report that came at the stream's end.
func (s *engineStream) Report() ashwood.Report {
	if !s.ended {
		return nil
	}
	return s.report()
}

// Close does nothing: the gateway has ended the call's context, which ends the call.
func (s *engineStream) Close() error { return nil }
