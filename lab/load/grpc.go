package load

import (
	"context"
	"errors"
	"fmt"
	"io"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lab/rules"
)

// GRPC is a client of the gateway's gRPC front.
type GRPC struct {
	cc     *grpc.ClientConn
	client ashwoodpb.InferenceClient
	clock  clock.Clock
	text   []byte
}

// NewGRPC makes a client of the gateway at an address.
func NewGRPC(addr string, c clock.Clock) (*GRPC, error) {
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	if err != nil {
		return nil, fmt.Errorf("load: %s: %w", addr, err)
	}
	return &GRPC{cc: cc, client: ashwoodpb.NewInferenceClient(cc), clock: c, text: NewHTTP(addr, 1, c).text}, nil
}

// Close ends the connection.
func (g *GRPC) Close() { g.cc.Close() }

// Do sends a try.
func (g *GRPC) Do(ctx context.Context, t Try, asked func()) (out Outcome) {
	tctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := g.clock.AfterFunc(t.Remaining+t.Grace, func() { cancel(errTimeout) })
	defer stop()
	check := checker{id: t.ID}
	stream, err := g.client.Generate(tctx, &ashwoodpb.GenerateRequest{
		RequestId: t.ID, Class: t.Class.Name, Session: t.Session, Prefix: t.SharedPrefix, PromptTokens: uint32(t.PromptTokens),
		PrefixTokens: uint32(t.SharedPrefixTokens), MaxTokens: uint32(t.MaxOut), Resent: t.Retry, FirstTokenMs: uint32(t.Remaining),
		Prompt: g.text[:min(4*t.PromptTokens, maxBody-4096)],
	})
	if err == nil {
		asked()
		for {
			var piece *ashwoodpb.Token
			if piece, err = stream.Recv(); err != nil {
				break
			}
			if out.FirstTokenAt == 0 {
				stop()
				out.FirstTokenAt = g.clock.Now()
			}
			check.add(piece.GetText())
		}
	}
	out.EndedAt, out.Tokens, out.Corruption = g.clock.Now(), check.tokens, check.spoilt
	st := status.Convert(err)
	switch {
	case errors.Is(err, io.EOF):
		out.Answer = rules.Served
	case ctx.Err() != nil:
		out.Answer = rules.ClientLeft
	case out.FirstTokenAt > 0:
		out.Answer = rules.Broken
	case errors.Is(context.Cause(tctx), errTimeout), st.Code() == codes.DeadlineExceeded:
		out.Answer = rules.Timeout
	case st.Code() == codes.ResourceExhausted, st.Code() == codes.Unavailable:
		for _, d := range st.Details() {
			if info, ok := d.(*errdetails.RetryInfo); ok {
				out.Answer, out.RetryAfter = rules.Refused, clock.Millis(info.GetRetryDelay().AsDuration())
			}
		}
	default:
		out.Answer = rules.Failure
	}
	return out
}
