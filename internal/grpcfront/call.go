package grpcfront

import (
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

// call is one RPC at a box.
type call struct {
	grpc.ClientStream
	trailed *atomic.Bool
}

var errNotReady = errors.New("grpcfront: not to be sent any more")

func (c *call) report() ashwood.Report {
	if v := c.Trailer().Get(trailerLoad); len(v) > 0 {
		return wire.ParseReport(v[0])
	}
	return nil
}

// failure is an error as the front may show it: a box's own keeps its code, a
// broken connection's has none, since UNAVAILABLE would invite another try.
func (c *call) failure(box ashwood.ServerID, err error) error {
	if c.trailed.Load() {
		return fmt.Errorf("grpcfront: %s: %w", box, err)
	}
	return fmt.Errorf("grpcfront: %s: %v", box, err)
}

func (c *call) read(box ashwood.ServerID) gateway.AttemptResult {
	var kept ashwoodpb.ReadResult
	err := c.RecvMsg(&kept)
	if err == nil {
		err = c.RecvMsg(&frame{}) // its end, with the trailer
	}
	if !errors.Is(err, io.EOF) {
		return c.unserved(box, err)
	}
	return gateway.AttemptResult{Result: ashwood.Result{
		Status: ashwood.StatusPrefilled, Detail: float64(kept.GetCachedTokens()), Report: c.report(),
	}}
}

// unserved tells what a call that brought no answer proves.
func (c *call) unserved(box ashwood.ServerID, err error) gateway.AttemptResult {
	res := ashwood.Result{Status: ashwood.StatusConnectionLost, Report: c.report()}
	switch {
	case !c.trailed.Load():
	case len(c.Trailer().Get(trailerAway)) > 0:
		res.Status = ashwood.StatusRejected
		if status.Code(err) == codes.FailedPrecondition {
			res.Detail = 1
		}
	default:
		res.Status = ashwood.StatusServerError
	}
	if errors.Is(err, io.EOF) {
		err = errors.New("ended without a token")
	}
	return gateway.AttemptResult{Result: res, Err: c.failure(box, err)}
}

// stream is an answer whose tokens go on as the bytes that came.
type stream struct {
	*call
	box   ashwood.ServerID
	first *frame
	ended bool
}

// Next gives the next token.
func (s *stream) Next() ([]byte, error) {
	if f := s.first; f != nil {
		s.first = nil
		return f.raw, nil
	}
	f := &frame{}
	switch err := s.RecvMsg(f); {
	case err == nil:
		return f.raw, nil
	case errors.Is(err, io.EOF):
		s.ended = true
		return nil, io.EOF
	default:
		s.ended = true
		return nil, s.failure(s.box, err)
	}
}

// Report is the load told at the stream's end.
func (s *stream) Report() ashwood.Report {
	if !s.ended {
		return nil
	}
	return s.report()
}

// Close ends the call; its context, which the gateway has ended, does the rest.
func (s *stream) Close() error { return nil }
