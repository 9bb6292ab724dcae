package grpcfront

import (
	"context"

	"google.golang.org/grpc"
)

// trackedStream is a call's stream whose first message completes the request.
type trackedStream struct {
	grpc.ServerStream
	call *clientCall
}

// RecvMsg receives the request. It returns early when the call is evicted; the end of the call then unblocks
// the library.
func (s *trackedStream) RecvMsg(m any) error {
	received := make(chan error, 1)
	go func() { received <- s.ServerStream.RecvMsg(m) }()
	select {
	case err := <-received:
		if err != nil {
			return err
		}
		return s.call.complete(messageBytes(m))
	case <-s.call.evicted:
		return s.call.complete(0) // its final status
	}
}

// messageBytes returns the length of a request as received. Those of other services than the gateway's are small
// and not counted.
func messageBytes(m any) int {
	if raw, ok := m.(*rawMessage); ok {
		return len(raw.bytes)
	}
	return 0
}

// interceptStream tracks the request of a streaming call.
func interceptStream(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if call := callOf(stream.Context()); call != nil {
		stream = &trackedStream{stream, call}
	}
	return handler(srv, stream)
}

// interceptUnary tracks the request of a unary call, which the library has received.
func interceptUnary(ctx context.Context, in any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if call := callOf(ctx); call != nil {
		if err := call.complete(messageBytes(in)); err != nil {
			return nil, err
		}
	}
	return handler(ctx, in)
}
