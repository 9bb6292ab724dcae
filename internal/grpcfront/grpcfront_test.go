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

var stories = func() []story {
	whole := result{3, codes.OK, 1, 1}
	return []story{
		{"plain", whole, whole},
		{"removed", whole, whole}, // the list drops the box in mid-answer, which still ends whole
		{"read error", result{3, codes.OK, 2, 1}, result{3, codes.OK, 2, 1}},
		{"turned away once", result{3, codes.OK, 1, 2}, result{3, codes.OK, 1, 2}},
		{"no state once", result{3, codes.OK, 2, 2}, result{3, codes.OK, 2, 2}},
		{"writer error", result{0, codes.Unavailable, 1, 5}, result{0, codes.Internal, 1, 1}},
		{"error after first", result{1, codes.DataLoss, 1, 1}, result{1, codes.DataLoss, 1, 1}},
	}
}()

// story is a session as the boxes play it and what a request of each class sees.
type story struct {
	session     string
	chat, order result
}

// Each story has boxes of its own and one request at a time: what other
// requests meet at a box decides where the next one goes, or whether it goes.
func TestEachRequestGetsOneAnswer(t *testing.T) {
	for _, tt := range stories {
		t.Run(tt.session, func(t *testing.T) {
			client, f, _ := start(t)
			check := func(id, class string, want result) {
				got, calls := f.observe(client, id, class, tt.session)
				if class == "case-chat" && tt.session == "writer error" {
					got.Writes = want.Writes // as often as there was time for: repeating is harmless
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("%s: calls %v\n%s", class, calls, diff)
				}
			}
			for i := range 2 {
				check(fmt.Sprint("chat", i), "case-chat", tt.chat)
				check(fmt.Sprint("order", i), "send-order", tt.order)
			}
			f.released(t)
		})
	}
}

// All stories at once at the same boxes: no order is written again after it may
// have run, whoever is refused meanwhile, and nothing stays held.
func TestOrdersRunOnceAmongOthers(t *testing.T) {
	client, f, _ := start(t)
	var all sync.WaitGroup
	for _, tt := range stories {
		for i := range 8 {
			all.Go(func() {
				got, calls := f.observe(client, fmt.Sprint(tt.session, i), "send-order", tt.session)
				if got.Writes > tt.order.Writes {
					t.Errorf("%s: calls %v", tt.session, calls)
				}
				if got.Code == codes.OK && got.Tokens != tt.order.Tokens {
					t.Errorf("%s: %d tokens of an answer that ended well, want %d", tt.session, got.Tokens, tt.order.Tokens)
				}
			})
		}
	}
	all.Wait()
	f.released(t)
}

func TestCancelMidAnswerEndsTheBoxsStreamAndSendsNothingMore(t *testing.T) {
	client, f, _ := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := client.Generate(ctx, &ashwoodpb.GenerateRequest{RequestId: "q", Class: "send-order", Session: "endless", PromptTokens: 64})
	if err != nil {
		t.Fatal(err)
	}
	if tok, err := s.Recv(); err != nil || tok.Text != "t0" {
		t.Fatalf("first token %v, %v", tok, err)
	}
	cancel()
	if id := <-f.canceled; id != "q" {
		t.Errorf("the box's stream of %s ended", id)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	writes := 0
	for _, c := range f.calls["q"] {
		if c[3:] == "write" {
			writes++
		}
	}
	if writes != 1 {
		t.Errorf("calls %v, want one write", f.calls["q"])
	}
}

func TestDeadlineWithoutATokenIsOneFailureForAnOrder(t *testing.T) {
	c := clock.NewManual(0)
	client, f, _ := startAt(t, c)
	end := make(chan error, 1)
	go func() {
		_, err := ask(client, &ashwoodpb.GenerateRequest{RequestId: "q", Class: "send-order", Session: "silent", PromptTokens: 64, FirstTokenMs: 300})
		end <- err
	}()
	<-f.waiting
	c.Advance(300)
	if err := <-end; status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("got %v, want DEADLINE_EXCEEDED", err)
	}
	if len(f.waiting) > 0 {
		t.Errorf("written again; calls %v", f.calls["q"])
	}
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	client, _, gw := start(t)
	check := func(in *ashwoodpb.GenerateRequest, code codes.Code) {
		t.Helper()
		_, err := ask(client, in)
		st := status.Convert(err)
		if st.Code() != code || len(st.Details()) != 1 {
			t.Fatalf("got %v with %v, want %v with RetryInfo", err, st.Details(), code)
		}
		info, ok := st.Details()[0].(*errdetails.RetryInfo)
		if d := info.GetRetryDelay().AsDuration(); !ok || d <= 0 || d > 500*time.Millisecond {
			t.Errorf("detail %v", st.Details()[0])
		}
	}
	check(&ashwoodpb.GenerateRequest{RequestId: "a", Class: "send-order", Session: "refused", PromptTokens: 64, FirstTokenMs: 200}, codes.Unavailable)
	gw.UpdateMembership(ashwood.MembershipSnapshot, nil) // no box left
	check(&ashwoodpb.GenerateRequest{RequestId: "b", Class: "send-order", PromptTokens: 64, FirstTokenMs: 200}, codes.ResourceExhausted)
}

func TestProbeTellsTheLoad(t *testing.T) {
	_, f, _ := start(t)
	status, report := f.boxes.Probe(context.Background(), f.list[0])
	if diff := cmp.Diff(ashwood.Report{ashwood.ReportInFlight: 2}, report); status != ashwood.StatusServed || diff != "" {
		t.Errorf("status %v\n%s", status, diff)
	}
	gone := listen(t)
	gone.Close()
	status, _ = f.boxes.Probe(context.Background(), ashwood.Server{ID: "gone", Address: gone.Addr().String()})
	if status != ashwood.StatusConnectFailed {
		t.Errorf("status %v of a box that is gone", status)
	}
}

func TestDrainingFrontSaysSoAndFinishesWhatRuns(t *testing.T) {
	client, f, _ := start(t)
	s, err := client.Generate(context.Background(), &ashwoodpb.GenerateRequest{RequestId: "q", Class: "send-order", Session: "halved", PromptTokens: 64})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Recv(); err != nil {
		t.Fatal(err)
	}
	f.front.Drain()
	health, err := f.front.health.Check(context.Background(), &grpc_health_v1.HealthCheckRequest{})
	if err != nil || health.Status != grpc_health_v1.HealthCheckResponse_NOT_SERVING {
		t.Errorf("health %v, %v", health, err)
	}
	if tokens, err := ask(client, &ashwoodpb.GenerateRequest{RequestId: "late", Class: "send-order", PromptTokens: 64}); len(tokens) != 3 || err != io.EOF {
		t.Errorf("a call while it drains: %v, %v", tokens, err)
	}
	ended := make(chan struct{})
	go func() {
		f.front.Shutdown()
		close(ended)
	}()
	f.second <- struct{}{}
	for err = nil; err == nil; {
		_, err = s.Recv()
	}
	if err != io.EOF {
		t.Errorf("the running answer ended with %v", err)
	}
	<-ended
}

func TestUnusableCallsAreInvalid(t *testing.T) {
	client, _, _ := start(t)
	for _, in := range []*ashwoodpb.GenerateRequest{{Class: "case-chat"}, {RequestId: "a", Class: "no such"}, {RequestId: "a"}} {
		if _, err := ask(client, in); status.Code(err) != codes.InvalidArgument {
			t.Errorf("%v: %v", in, err)
		}
	}
}

// Fields that this version does not know go on to the boxes.
func TestBytesPassThroughUnchanged(t *testing.T) {
	client, f, _ := start(t)
	in := &ashwoodpb.GenerateRequest{RequestId: "q", Class: "case-chat", PromptTokens: 64, Prompt: []byte{0, 255, 1}}
	in.ProtoReflect().SetUnknown([]byte{0xf8, 0x07, 0x2a}) // field 127 = 42
	if _, err := ask(client, in); err != io.EOF {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !proto.Equal(in, f.last) {
		t.Errorf("the box got %v, want %v", f.last, in)
	}
}
