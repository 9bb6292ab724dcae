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
	return &Request{Call: ashwood.Call{ID: "q", Class: class, PromptTokens: 64, Remaining: 3000}}
}

func serve(t *testing.T, g *Gateway, ctx context.Context, class string) Reply {
	t.Helper()
	r, err := g.Serve(ctx, request(class))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// wantFreed waits until each of these engines was told to let go, maybe twice:
// a place still asked for at the first call is let go of after its answer.
func (p *fakeTransport) wantReleasedAt(t *testing.T, want ...string) {
	t.Helper()
	left := map[string]bool{}
	for _, w := range want {
		left[w] = true
	}
	for len(left) > 0 {
		select {
		case v := <-p.releasedAt:
			delete(left, v)
		case <-time.After(20 * time.Second):
			t.Fatalf("not let go at %v", left)
		}
	}
}

func TestServe_AnswerPassesAllPieces(t *testing.T) {
	p := &fakeTransport{reserveResult: ReserveHeld, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.Parsed)}, "w1": {streamResult(io.EOF, "a", "b")}}}
	g, _ := startManualClock(t, p)
	r := serve(t, g, context.Background(), "order")
	got := ""
	for {
		piece, err := r.Stream.Next()
		if err != nil {
			if err != io.EOF {
				t.Error(err)
			}
			break
		}
		got += string(piece)
	}
	r.Stream.Close()
	if r.Kind != Served || got != "ab" {
		t.Errorf("kind %v, answer %q", r.Kind, got)
	}
	if _, err := g.Serve(context.Background(), request("no such class")); !errors.Is(err, ashwood.ErrUnknownClass) {
		t.Error(err)
	}
}

// A choice that waits for a load goes on after 12 ms without the news.
func TestServe_ProbeBesideRequest(t *testing.T) {
	p := &fakeTransport{gatewayCount: 4, reserveResult: ReserveHeld, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.Parsed)}, "w1": {streamResult(io.EOF, "a")}}}
	runInBubble(t, p, func(t *testing.T, g *Gateway) {
		begun := time.Now()
		end := make(chan Reply, 1)
		go func() {
			r, _ := g.Serve(t.Context(), request("order"))
			end <- r
		}()
		if v := <-p.probed; v != "r1" {
			t.Errorf("probed %s", v)
		}
		if sends := p.recordedCalls(); len(sends) > 0 {
			t.Errorf("sent already: %v", sends)
		}
		r := <-end
		if waited := time.Since(begun); waited != 12*time.Millisecond || r.Kind != Served {
			t.Errorf("kind %v after %v", r.Kind, waited)
		}
		r.Stream.Close()
	})
}

// Once an order may have run, one failure follows and nothing is sent again;
// what is proved never to have run goes on.
func TestServe_SideEffectRetry(t *testing.T) {
	for _, tt := range []struct {
		first ashwood.Status
		kind  ReplyKind
		sends []string
	}{
		{ashwood.ConnectionLost, Failed, []string{"send r1", "send w1"}},
		{ashwood.ServerError, Failed, []string{"send r1", "send w1"}},
		{ashwood.NoConnection, Served, []string{"send r1", "send w1", "send w2"}},
		{ashwood.TurnedAway, Served, []string{"send r1", "send w1", "send w2"}},
	} {
		p := &fakeTransport{reserveResult: ReserveUnknown, results: map[ashwood.ServerID][]AttemptResult{ // so that w1 comes first
			"r1": {resultOf(ashwood.Parsed)}, "w1": {resultOf(tt.first)}, "w2": {streamResult(io.EOF, "a")}}}
		g, _ := startManualClock(t, p)
		g.UpdateMembership(ashwood.ListPatch, []ashwood.Server{{ID: "w2", Kind: "w", Cell: 1, State: ashwood.StateOn}})
		r := serve(t, g, context.Background(), "order")
		if diff := cmp.Diff(tt.sends, p.recordedCalls()); r.Kind != tt.kind || diff != "" {
			t.Errorf("after %v: kind %v, want %v\n%s", tt.first, r.Kind, tt.kind, diff)
		}
		if r.Kind == Failed {
			p.wantReleasedAt(t, "r1", "w1")
		}
	}
}

// While connections to writers fail to come up, nothing is out: the state goes
// within its time, and what is sent after that is read anew.
func TestServe_KVStateReleasedWhileConnectsFail(t *testing.T) {
	noState := resultOf(ashwood.TurnedAway)
	noState.Note = 1
	p := &fakeTransport{recordReleases: true, reserveResult: ReserveNotSent, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.Parsed), resultOf(ashwood.Parsed)}, "w1": {resultOf(ashwood.NoConnection), streamResult(io.EOF, "a")},
		"w2": {resultOf(ashwood.NoConnection)}, "w3": {noState}}}
	g, c := startManualClock(t, p)
	p.beforeWrite = func(v ashwood.Server) {
		if v.ID == "w1" || v.ID == "w2" {
			c.Advance(250)
		}
	}
	g.UpdateMembership(ashwood.ListPatch, []ashwood.Server{
		{ID: "w2", Kind: "w", Cell: 1, State: ashwood.StateOn}, {ID: "w3", Kind: "w", Cell: 1, Zone: "far", State: ashwood.StateOn}})
	ended := make(chan Reply, 1)
	go func() { ended <- serve(t, g, context.Background(), "order") }()
	var r Reply
	select {
	case r = <-ended:
	case <-p.hanging:
		t.Fatalf("an attempt that was not expected: %v", p.recordedCalls())
	}
	want := []string{"send r1", "send w1", "send w2", "free r1", "send w3", "send r1", "send w1"}
	got := slices.DeleteFunc(p.recordedCalls(), func(s string) bool { return s != "free r1" && s[:4] == "free" })
	if diff := cmp.Diff(want, got); r.Kind != Served || diff != "" {
		t.Errorf("kind %v\n%s", r.Kind, diff)
	}
}

// A client that leaves while an attempt is out ends it, and what may be held
// is let go of, even where the first call does not get through.
func TestServe_ClientGoneReleasesHolds(t *testing.T) {
	p := &fakeTransport{reserveResult: ReserveUnknown, results: map[ashwood.ServerID][]AttemptResult{}, refuseReleases: map[ashwood.ServerID]int{"r1": 1}}
	g := startGateway(t, p, SystemClock()) // the second try comes after a pause
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan Reply)
	go func() { done <- serve(t, g, ctx, "chat") }()
	<-p.hanging
	<-p.reserving
	leave()
	if r := <-done; r.Kind != ClientGone {
		t.Errorf("kind %v", r.Kind)
	}
	p.wantReleasedAt(t, "w1", "r1")
}

// No answer in time is one answer at once: a failure for an order that may
// have run, a refusal with a pause for one whose last byte has not left.
func TestServe_FirstTokenTimeout(t *testing.T) {
	for _, unsent := range []bool{false, true} {
		p := &fakeTransport{reserveResult: ReserveRefused, results: map[ashwood.ServerID][]AttemptResult{"r1": {resultOf(ashwood.Parsed)}}}
		g, c := startManualClock(t, p)
		done := make(chan Reply)
		p.unsent = unsent
		go func() { done <- serve(t, g, context.Background(), "order") }()
		<-p.hanging
		c.Advance(3000)
		r := <-done
		want, pause := Failed, 0.0
		if unsent {
			want, pause = Refused, 500
		}
		if r.Kind != want || r.RetryAfter != pause {
			t.Errorf("unsent %v: kind %v after %v ms, want %v", unsent, r.Kind, r.RetryAfter, want)
		}
	}
}

// A server that starts to drain between the choice and the first byte gets nothing.
func TestServe_DrainBeforeFirstByte(t *testing.T) {
	p := &fakeTransport{reserveResult: ReserveRefused, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.Parsed)}, "w1": {streamResult(io.EOF, "a")}, "w2": {streamResult(io.EOF, "a")}}}
	g, _ := startManualClock(t, p)
	g.UpdateMembership(ashwood.ListPatch, []ashwood.Server{{ID: "w2", Kind: "w", State: ashwood.StateOn}})
	var drained ashwood.ServerID
	p.beforeWrite = func(v ashwood.Server) {
		if v.Kind == "w" && drained == "" {
			drained = v.ID
			v.State = ashwood.StateFading
			g.UpdateMembership(ashwood.ListPatch, []ashwood.Server{v})
		}
	}
	r := serve(t, g, context.Background(), "order")
	left := p.results[drained]
	if r.Kind != Served || len(left) != 1 || len(p.recordedCalls()) != 3 {
		t.Errorf("kind %v; %s drained; sends %v", r.Kind, drained, p.recordedCalls())
	}
}

// A stream that breaks is not ended as if it were whole.
func TestStream_BrokenByEngine(t *testing.T) {
	broken := errors.New("reset")
	p := &fakeTransport{reserveResult: ReserveRefused, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.Parsed)}, "w1": {streamResult(broken, "a")}}}
	g, _ := startManualClock(t, p)
	r := serve(t, g, context.Background(), "chat")
	if piece, err := r.Stream.Next(); string(piece) != "a" || err != nil {
		t.Fatal(string(piece), err)
	}
	if _, err := r.Stream.Next(); !errors.Is(err, broken) {
		t.Errorf("end %v", err)
	}
	r.Stream.Close()
	if len(p.recordedCalls()) != 2 {
		t.Errorf("sent more: %v", p.recordedCalls())
	}
}
