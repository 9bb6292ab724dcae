package grpcfront

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/internal/clock"
)

var sessionScripts = func() []sessionScript {
	whole := callSummary{3, codes.OK, 1, 1}
	return []sessionScript{
		{"plain", whole, whole},
		{"removed", whole, whole}, // the membership drops the engine during the answer, which is still complete
		{"prefill error", callSummary{3, codes.OK, 2, 1}, callSummary{3, codes.OK, 2, 1}},
		{"turned away once", callSummary{3, codes.OK, 1, 2}, callSummary{3, codes.OK, 1, 2}},
		{"no KV state once", callSummary{3, codes.OK, 2, 2}, callSummary{3, codes.OK, 2, 2}},
		{"decode error", callSummary{0, codes.Unavailable, 1, 5}, callSummary{0, codes.Internal, 1, 1}},
		{"error after first", callSummary{1, codes.DataLoss, 1, 1}, callSummary{1, codes.DataLoss, 1, 1}},
	}
}()

// sessionScript names a session that the engines have a script for, and the expected result for a request of each class.
type sessionScript struct {
	session     string
	chat, order callSummary
}

// Each script runs on engines of its own with one request at a time, since the results of
// other requests at an engine influence where the next one goes, or whether it is sent at all.
func TestServe_OneAnswerPerRequest(t *testing.T) {
	for _, tt := range sessionScripts {
		t.Run(tt.session, func(t *testing.T) {
			client, fleet, _ := startGateway(t)
			check := func(id, class string, want callSummary) {
				got, calls := fleet.callAndCount(client, id, class, tt.session)
				if class == "case-chat" && tt.session == "decode error" {
					got.Decodes = want.Decodes // as many as there was time for: a pure request may be repeated
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("%s: calls %v\n%s", class, calls, diff)
				}
			}
			for i := range 2 {
				check(fmt.Sprint("chat", i), "case-chat", tt.chat)
				check(fmt.Sprint("order", i), "send-order", tt.order)
			}
			fleet.waitReleased(t)
		})
	}
}

// All scripts run at once on the same engines: no side effect is decoded again after it may
// have run, whatever is refused meanwhile, and no holds remain.
func TestServe_NonIdempotentConcurrent(t *testing.T) {
	client, fleet, _ := startGateway(t)
	var all sync.WaitGroup
	for _, tt := range sessionScripts {
		for i := range 8 {
			all.Go(func() {
				got, calls := fleet.callAndCount(client, fmt.Sprint(tt.session, i), "send-order", tt.session)
				if got.Decodes > tt.order.Decodes {
					t.Errorf("%s: calls %v", tt.session, calls)
				}
				if got.Code == codes.OK && got.Tokens != tt.order.Tokens {
					t.Errorf("%s: %d tokens in an answer that ended with OK, want %d", tt.session, got.Tokens, tt.order.Tokens)
				}
			})
		}
	}
	all.Wait()
	fleet.waitReleased(t)
}

func TestServe_ClientCancelsMidAnswer(t *testing.T) {
	client, fleet, _ := startGateway(t)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := client.Generate(ctx, &ashwoodpb.GenerateRequest{RequestId: "q", Class: "send-order", Session: "endless", PromptTokens: 64})
	if err != nil {
		t.Fatal(err)
	}
	if tok, err := s.Recv(); err != nil || tok.Text != "t0" {
		t.Fatalf("first token %v, %v", tok, err)
	}
	cancel()
	if id := <-fleet.canceled; id != "q" {
		t.Errorf("the engine's stream of %s ended, want q", id)
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	writes := 0
	for _, c := range fleet.calls["q"] {
		if c[3:] == "write" {
			writes++
		}
	}
	if writes != 1 {
		t.Errorf("calls %v, want one write", fleet.calls["q"])
	}
}

func TestServe_NonIdempotentFirstTokenDeadline(t *testing.T) {
	c := clock.NewManual(0)
	client, fleet, _ := startGatewayWith(t, c)
	end := make(chan error, 1)
	go func() {
		_, err := generate(client, &ashwoodpb.GenerateRequest{RequestId: "q", Class: "send-order", Session: "silent", PromptTokens: 64, FirstTokenMs: 300})
		end <- err
	}()
	<-fleet.unanswered
	c.Advance(300)
	if err := <-end; status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("got %v, want DEADLINE_EXCEEDED", err)
	}
	if len(fleet.unanswered) > 0 {
		t.Errorf("decoded again; calls %v", fleet.calls["q"])
	}
}

func TestRefusal_RetryInfo(t *testing.T) {
	client, _, gw := startGateway(t)
	check := func(in *ashwoodpb.GenerateRequest, code codes.Code) {
		t.Helper()
		_, err := generate(client, in)
		st := status.Convert(err)
		if st.Code() != code || len(st.Details()) != 1 {
			t.Fatalf("got %v with %v, want %v with RetryInfo", err, st.Details(), code)
		}
		info, ok := st.Details()[0].(*errdetails.RetryInfo)
		if d := info.GetRetryDelay().AsDuration(); !ok || d <= 0 || d > 500*time.Millisecond {
			t.Errorf("detail %v, want RetryInfo with a delay in (0, 500 ms]", st.Details()[0])
		}
	}
	check(&ashwoodpb.GenerateRequest{RequestId: "a", Class: "send-order", Session: "refused", PromptTokens: 64, FirstTokenMs: 200}, codes.Unavailable)
	gw.UpdateMembership(ashwood.MembershipSnapshot, nil) // no engine left
	check(&ashwoodpb.GenerateRequest{RequestId: "b", Class: "send-order", PromptTokens: 64, FirstTokenMs: 200}, codes.ResourceExhausted)
}

func TestProbe_LoadReport(t *testing.T) {
	_, fleet, _ := startGateway(t)
	status, report := fleet.transport.Probe(context.Background(), fleet.servers[0])
	if diff := cmp.Diff(ashwood.Report{ashwood.ReportInFlight: 2}, report); status != ashwood.StatusServed || diff != "" {
		t.Errorf("status %v\n%s", status, diff)
	}
	gone := listen(t)
	gone.Close()
	status, _ = fleet.transport.Probe(context.Background(), ashwood.Server{ID: "gone", Address: gone.Addr().String()})
	if status != ashwood.StatusConnectFailed {
		t.Errorf("status %v of an engine that is gone", status)
	}
}

func TestDrain_OpenAnswers(t *testing.T) {
	client, fleet, _ := startGateway(t)
	s, err := client.Generate(context.Background(), &ashwoodpb.GenerateRequest{RequestId: "q", Class: "send-order", Session: "halved", PromptTokens: 64})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Recv(); err != nil {
		t.Fatal(err)
	}
	fleet.front.Drain()
	health, err := fleet.front.health.Check(context.Background(), &grpc_health_v1.HealthCheckRequest{})
	if err != nil || health.Status != grpc_health_v1.HealthCheckResponse_NOT_SERVING {
		t.Errorf("health %v, %v", health, err)
	}
	if tokens, err := generate(client, &ashwoodpb.GenerateRequest{RequestId: "late", Class: "send-order", PromptTokens: 64}); len(tokens) != 3 || err != io.EOF {
		t.Errorf("call during the drain: %v, %v", tokens, err)
	}
	ended := make(chan struct{})
	go func() {
		fleet.front.Shutdown()
		close(ended)
	}()
	fleet.continueAnswer <- struct{}{}
	for err = nil; err == nil; {
		_, err = s.Recv()
	}
	if err != io.EOF {
		t.Errorf("the open answer ended with %v", err)
	}
	<-ended
}

func TestServe_InvalidRequests(t *testing.T) {
	client, _, _ := startGateway(t)
	for _, in := range []*ashwoodpb.GenerateRequest{{Class: "case-chat"}, {RequestId: "a", Class: "no such"}, {RequestId: "a"}} {
		if _, err := generate(client, in); status.Code(err) != codes.InvalidArgument {
			t.Errorf("%v: %v", in, err)
		}
	}
}

// Fields that this version does not know are passed on to the engines.
func TestServe_UnknownFields(t *testing.T) {
	client, fleet, _ := startGateway(t)
	in := &ashwoodpb.GenerateRequest{RequestId: "q", Class: "case-chat", PromptTokens: 64, Prompt: []byte{0, 255, 1}}
	in.ProtoReflect().SetUnknown([]byte{0xf8, 0x07, 0x2a}) // field 127 = 42
	if _, err := generate(client, in); err != io.EOF {
		t.Fatal(err)
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if !proto.Equal(in, fleet.lastWrite) {
		t.Errorf("the engine got %v, want %v", fleet.lastWrite, in)
	}
}
