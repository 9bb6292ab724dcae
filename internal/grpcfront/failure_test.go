package grpcfront

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"ashwood.example/ashwood/ashwoodpb"
)

// repeatingClient is the configuration of a gRPC client that repeats calls after the codes that usual policies name.
const repeatingClient = `{"methodConfig": [{"name": [{}], "retryPolicy": {"maxAttempts": 4, "initialBackoff": "0.01s", "maxBackoff": "0.01s",
	"backoffMultiplier": 1, "retryableStatusCodes": ["UNAVAILABLE", "RESOURCE_EXHAUSTED", "ABORTED", "UNAUTHENTICATED"]}}]}`

// engineError is the error by which an engine ends a call that has run, in the form of a refusal by the gateway.
func engineError(code codes.Code) error {
	st, err := status.New(code, "failed by script").WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Millisecond)})
	if err != nil {
		return err
	}
	return st.Err()
}

// An engine's RESOURCE_EXHAUSTED with RetryInfo, for an order that had run, was passed on as the gateway's own
// refusal, and the client sent the order again. Whatever an engine ends an order with, before or after the first
// token, the client gets neither a code that it repeats, nor one that says the order has not run, nor details.
func TestFailure_EngineErrorIsNoRefusal(t *testing.T) {
	_, fleet, _ := startGateway(t)
	cc, err := grpc.NewClient("passthrough:///"+fleet.addr.String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultServiceConfig(repeatingClient))
	if err != nil {
		t.Fatal(err)
	}
	defer cc.Close()
	client := ashwoodpb.NewInferenceClient(cc)
	mayHaveRun := map[codes.Code]bool{codes.Unknown: true, codes.Internal: true, codes.DataLoss: true}
	for code := codes.Canceled; code <= codes.Unauthenticated; code++ {
		for _, session := range []string{"error code", "error code after first"} {
			id := fmt.Sprintf("%s %d", session, code)
			fleet.setErrorCode(code)
			tokens, err := generate(client, &ashwoodpb.GenerateRequest{RequestId: id, Class: "send-order", Session: session, PromptTokens: 64})
			st := status.Convert(err)
			if !mayHaveRun[st.Code()] || len(st.Details()) > 0 {
				t.Errorf("%s: %v after %v ended as %v with %v", session, code, tokens, st.Code(), st.Details())
			}
			if n := fleet.countCalls(id, "write"); n != 1 {
				t.Errorf("%s: %v: the order ran %d times", session, code, n)
			}
		}
	}
}
