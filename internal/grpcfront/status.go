package grpcfront

import (
	"context"
	"errors"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// This file words the ends of calls to clients.

// refusalStatus tells the client when to retry. Both codes say that the request
// did not run or may be repeated: RESOURCE_EXHAUSTED that there was no capacity for
// it, UNAVAILABLE that no engine has answered.
func refusalStatus(reply gateway.Reply) error {
	code := codes.ResourceExhausted
	if reply.Err != nil {
		code = codes.Unavailable
	}
	st, err := status.New(code, "refused: try again later").WithDetails(&errdetails.RetryInfo{
		RetryDelay: durationpb.New(clock.Duration(reply.RetryAfter)),
	})
	if err != nil {
		return status.Error(code, "refused: try again later")
	}
	return st.Err()
}

// departureStatus returns the status of a call whose client has left. The call's context may not have ended yet.
func departureStatus(ctx context.Context) error {
	if err := context.Cause(ctx); err != nil {
		return status.FromContextError(err).Err()
	}
	return status.Error(codes.Canceled, "the client has left")
}

// failureStatus returns the status of a request that may have run. Its code must be none that a client repeats a
// call after, and none by which this front says that a request has not run. An engine may end a call that has run
// with any code and details, so only the code of a plain failure is kept.
func failureStatus(err error) error {
	switch {
	case errors.Is(err, gateway.ErrFirstTokenTimeout):
		return status.Error(codes.DeadlineExceeded, err.Error())
	case errors.Is(err, gateway.ErrClientGone):
		return status.Error(codes.Canceled, err.Error())
	case err == nil:
		return status.Error(codes.Unknown, "failed: it may have run")
	}
	code := status.Code(err)
	if code != codes.Internal && code != codes.DataLoss {
		code = codes.Unknown
	}
	return status.Error(code, "failed: it may have run: "+err.Error())
}
