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
	conn       *grpc.ClientConn
	client     ashwoodpb.InferenceClient
	clock      clock.Clock
	promptText []byte
}

// NewGRPC returns a client of the gateway at an address.
func NewGRPC(addr string, c clock.Clock) (*GRPC, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	if err != nil {
		return nil, fmt.Errorf("load: %s: %w", addr, err)
	}
	return &GRPC{conn: conn, client: ashwoodpb.NewInferenceClient(conn), clock: c, promptText: NewHTTP(addr, 1, c).promptText}, nil
}

// Close closes the connection.
func (g *GRPC) Close() { g.conn.Close() }

// Do sends a try and reads its answer.
func (g *GRPC) Do(ctx context.Context, t Try, onSent func()) (out Outcome) {
	tryCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := g.clock.AfterFunc(t.Remaining+t.Grace, func() { cancel(errTimeout) })
	defer stop()
	check := answerChecker{id: t.ID}
	stream, err := g.client.Generate(tryCtx, &ashwoodpb.GenerateRequest{
		RequestId: t.ID, Class: t.Class.Name, Session: t.Session, Prefix: t.Prefix, PromptTokens: uint32(t.PromptTokens),
		PrefixTokens: uint32(t.PrefixTokens), MaxTokens: uint32(t.MaxOutput), Resent: t.Retry, FirstTokenMs: uint32(t.Remaining),
		Prompt: g.promptText[:min(4*t.PromptTokens, maxBody-4096)],
	})
	if err == nil {
		onSent()
		for {
			var piece *ashwoodpb.Token
			if piece, err = stream.Recv(); err != nil {
				break
			}
			if out.First == 0 {
				stop()
				out.First = g.clock.Now()
			}
			check.addText(piece.GetText())
		}
	}
	out.End, out.Tokens, out.Corrupted = g.clock.Now(), check.tokens, check.corrupted
	grpcStatus := status.Convert(err)
	switch {
	case errors.Is(err, io.EOF):
		out.Answer = rules.Served
	case ctx.Err() != nil:
		out.Answer = rules.ClientLeft
	case out.First > 0:
		out.Answer = rules.Broken
	case errors.Is(context.Cause(tryCtx), errTimeout), grpcStatus.Code() == codes.DeadlineExceeded:
		out.Answer = rules.Timeout
	case grpcStatus.Code() == codes.ResourceExhausted, grpcStatus.Code() == codes.Unavailable:
		for _, d := range grpcStatus.Details() {
			if info, ok := d.(*errdetails.RetryInfo); ok {
				out.Answer, out.RetryAfter = rules.Refused, clock.Millis(info.GetRetryDelay().AsDuration())
			}
		}
	default:
		out.Answer = rules.Failure
	}
	return out
}
