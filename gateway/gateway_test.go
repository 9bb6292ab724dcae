package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ashwood.example/ashwood"
)

func request(class string) *Request {
	return &Request{RequestInfo: ashwood.RequestInfo{ID: "q", Class: class, PromptTokens: 64, Remaining: 3000}}
}

func serve(t *testing.T, g *Gateway, ctx context.Context, class string) Reply {
	t.Helper()
	reply, err := g.Serve(ctx, request(class))
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// wantReleasedAt waits until each of these engines has taken a release, possibly two:
// a reservation that is still being requested at the first release is released again after its answer.
func (f *fakeTransport) wantReleasedAt(t *testing.T, want ...string) {
	t.Helper()
	missing := map[string]bool{}
	for _, engine := range want {
		missing[engine] = true
	}
	for len(missing) > 0 {
		select {
		case engine := <-f.releasedAt:
			delete(missing, engine)
		case <-time.After(20 * time.Second):
			t.Fatalf("no release taken by %v", missing)
		}
	}
}

func TestServe_AnswerPassesAllPieces(t *testing.T) {
	fake := &fakeTransport{reserveResult: ReserveHeld, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.StatusPrefilled)}, "w1": {streamResult(io.EOF, "a", "b")}}}
	g, _ := startManualClock(t, fake)
	reply := serve(t, g, context.Background(), "order")
	got := ""
	for {
		piece, err := reply.Stream.Next()
		if err != nil {
			if err != io.EOF {
				t.Error(err)
			}
			break
		}
		got += string(piece)
	}
	reply.Stream.Close()
	if reply.Kind != Served || got != "ab" {
		t.Errorf("kind %v, answer %q", reply.Kind, got)
	}
	if _, err := g.Serve(context.Background(), request("no such class")); !errors.Is(err, ashwood.ErrUnknownClass) {
		t.Error(err)
	}
}

// A decision that waits for a load report continues after 12 ms without it.
func TestServe_ProbeBesideRequest(t *testing.T) {
	fake := &fakeTransport{gatewayCount: 4, reserveResult: ReserveHeld, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.StatusPrefilled)}, "w1": {streamResult(io.EOF, "a")}}}
	runInBubble(t, fake, func(t *testing.T, g *Gateway) {
		begun := time.Now()
		end := make(chan Reply, 1)
		go func() {
			reply, _ := g.Serve(t.Context(), request("order"))
			end <- reply
		}()
		if engine := <-fake.probed; engine != "r1" {
			t.Errorf("probed %s, want r1", engine)
		}
		if sends := fake.recordedCalls(); len(sends) > 0 {
			t.Errorf("sent before the probe was answered: %v", sends)
		}
		reply := <-end
		if waited := time.Since(begun); waited != 12*time.Millisecond || reply.Kind != Served {
			t.Errorf("kind %v after %v", reply.Kind, waited)
		}
		reply.Stream.Close()
	})
}

// A side-effect request that may have run fails and is not sent again. It is sent again only if it
// certainly has not run.
func TestServe_SideEffectRetry(t *testing.T) {
	for _, tt := range []struct {
		status ashwood.Status
		kind   ReplyKind
		sends  []string
	}{
		{ashwood.StatusConnectionLost, Failed, []string{"send r1", "send w1"}},
		{ashwood.StatusServerError, Failed, []string{"send r1", "send w1"}},
		{ashwood.StatusConnectFailed, Served, []string{"send r1", "send w1", "send w2"}},
		{ashwood.StatusRejected, Served, []string{"send r1", "send w1", "send w2"}},
	} {
		fake := &fakeTransport{reserveResult: ReserveUnknown, results: map[ashwood.ServerID][]AttemptResult{ // so that w1 comes first
			"r1": {resultOf(ashwood.StatusPrefilled)}, "w1": {resultOf(tt.status)}, "w2": {streamResult(io.EOF, "a")}}}
		g, _ := startManualClock(t, fake)
		g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w2", Kind: "w", Cell: 1, State: ashwood.StateActive}})
		reply := serve(t, g, context.Background(), "order")
		if diff := cmp.Diff(tt.sends, fake.recordedCalls()); reply.Kind != tt.kind || diff != "" {
			t.Errorf("after %v: kind %v, want %v\n%s", tt.status, reply.Kind, tt.kind, diff)
		}
		if reply.Kind == Failed {
			fake.wantReleasedAt(t, "r1", "w1")
		}
	}
}

// While connections to decode engines fail, no attempt is in flight: the KV state is released
// at its deadline, and the next attempt needs a new prefill.
func TestServe_KVStateReleasedWhileConnectsFail(t *testing.T) {
	noState := resultOf(ashwood.StatusRejected)
	noState.Detail = 1
	fake := &fakeTransport{recordReleases: true, reserveResult: ReserveNotSent, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.StatusPrefilled), resultOf(ashwood.StatusPrefilled)}, "w1": {resultOf(ashwood.StatusConnectFailed), streamResult(io.EOF, "a")},
		"w2": {resultOf(ashwood.StatusConnectFailed)}, "w3": {noState}}}
	g, manualClock := startManualClock(t, fake)
	fake.beforeWrite = func(engine ashwood.Server) {
		if engine.ID == "w1" || engine.ID == "w2" {
			manualClock.Advance(250)
		}
	}
	g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{
		{ID: "w2", Kind: "w", Cell: 1, State: ashwood.StateActive}, {ID: "w3", Kind: "w", Cell: 1, Zone: "far", State: ashwood.StateActive}})
	ended := make(chan Reply, 1)
	go func() { ended <- serve(t, g, context.Background(), "order") }()
	var reply Reply
	select {
	case reply = <-ended:
	case <-fake.hanging:
		t.Fatalf("unexpected attempt: %v", fake.recordedCalls())
	}
	want := []string{"send r1", "send w1", "send w2", "free r1", "send w3", "send r1", "send w1"}
	got := slices.DeleteFunc(fake.recordedCalls(), func(s string) bool { return s != "free r1" && s[:4] == "free" })
	if diff := cmp.Diff(want, got); reply.Kind != Served || diff != "" {
		t.Errorf("kind %v\n%s", reply.Kind, diff)
	}
}

// When a client disconnects, its attempt in flight is cancelled and everything that may be held is
// released, even if the first release call fails.
func TestServe_ClientGoneReleasesHolds(t *testing.T) {
	fake := &fakeTransport{reserveResult: ReserveUnknown, results: map[ashwood.ServerID][]AttemptResult{}, refuseReleases: map[ashwood.ServerID]int{"r1": 1}}
	g := startGateway(t, fake, SystemClock()) // the second release call comes after a backoff
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan Reply)
	go func() { done <- serve(t, g, ctx, "chat") }()
	<-fake.hanging
	<-fake.reserving
	leave()
	if reply := <-done; reply.Kind != ClientGone {
		t.Errorf("kind %v", reply.Kind)
	}
	fake.wantReleasedAt(t, "w1", "r1")
}

// After a timeout, the client gets its one answer at once: a failure if a side-effect request may
// have run, a refusal with a retry time if its last byte was not written.
func TestServe_FirstTokenTimeout(t *testing.T) {
	for _, unsent := range []bool{false, true} {
		fake := &fakeTransport{reserveResult: ReserveRefused, results: map[ashwood.ServerID][]AttemptResult{"r1": {resultOf(ashwood.StatusPrefilled)}}}
		g, manualClock := startManualClock(t, fake)
		done := make(chan Reply)
		fake.unsent = unsent
		go func() { done <- serve(t, g, context.Background(), "order") }()
		<-fake.hanging
		manualClock.Advance(3000)
		reply := <-done
		want, pause := Failed, 0.0
		if unsent {
			want, pause = Refused, 500
		}
		if reply.Kind != want || reply.RetryAfter != pause {
			t.Errorf("unsent %v: kind %v after %v ms, want %v", unsent, reply.Kind, reply.RetryAfter, want)
		}
	}
}

// An engine that starts to drain between the decision and the first byte is sent nothing.
func TestServe_DrainBeforeFirstByte(t *testing.T) {
	fake := &fakeTransport{reserveResult: ReserveRefused, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.StatusPrefilled)}, "w1": {streamResult(io.EOF, "a")}, "w2": {streamResult(io.EOF, "a")}}}
	g, _ := startManualClock(t, fake)
	g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w2", Kind: "w", State: ashwood.StateActive}})
	var drained ashwood.ServerID
	fake.beforeWrite = func(engine ashwood.Server) {
		if engine.Kind == "w" && drained == "" {
			drained = engine.ID
			engine.State = ashwood.StateDraining
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{engine})
		}
	}
	reply := serve(t, g, context.Background(), "order")
	unused := fake.results[drained]
	if reply.Kind != Served || len(unused) != 1 || len(fake.recordedCalls()) != 3 {
		t.Errorf("kind %v; %s drained; sends %v", reply.Kind, drained, fake.recordedCalls())
	}
}

// A stream that breaks ends with its error, not as if it were complete.
func TestStream_BrokenByEngine(t *testing.T) {
	broken := errors.New("reset")
	fake := &fakeTransport{reserveResult: ReserveRefused, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.StatusPrefilled)}, "w1": {streamResult(broken, "a")}}}
	g, _ := startManualClock(t, fake)
	reply := serve(t, g, context.Background(), "chat")
	if piece, err := reply.Stream.Next(); string(piece) != "a" || err != nil {
		t.Fatal(string(piece), err)
	}
	if _, err := reply.Stream.Next(); !errors.Is(err, broken) {
		t.Errorf("ended with %v", err)
	}
	reply.Stream.Close()
	if len(fake.recordedCalls()) != 2 {
		t.Errorf("sent more: %v", fake.recordedCalls())
	}
}
