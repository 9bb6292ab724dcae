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
	r, err := g.Serve(ctx, request(class))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// wantFreed waits until each of these engines was told to let go, maybe twice:
// a place still asked for at the first call is let go of after its answer.
func (p *peer) wantFreed(t *testing.T, want ...string) {
	t.Helper()
	left := map[string]bool{}
	for _, w := range want {
		left[w] = true
	}
	for len(left) > 0 {
		select {
		case v := <-p.freed:
			delete(left, v)
		case <-time.After(20 * time.Second):
			t.Fatalf("not let go at %v", left)
		}
	}
}

func TestServedAnswerPassesAllPieces(t *testing.T) {
	p := &peer{place: ReserveHeld, answers: map[ashwood.ServerID][]AttemptResult{
		"r1": {answer(ashwood.StatusPrefilled)}, "w1": {streams(io.EOF, "a", "b")}}}
	g, _ := start(t, p)
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
func TestProbesAreCarriedOutBesideTheRequest(t *testing.T) {
	p := &peer{nodes: 4, place: ReserveHeld, answers: map[ashwood.ServerID][]AttemptResult{
		"r1": {answer(ashwood.StatusPrefilled)}, "w1": {streams(io.EOF, "a")}}}
	in(t, p, func(t *testing.T, g *Gateway) {
		begun := time.Now()
		end := make(chan Reply, 1)
		go func() {
			r, _ := g.Serve(t.Context(), request("order"))
			end <- r
		}()
		if v := <-p.probed; v != "r1" {
			t.Errorf("probed %s", v)
		}
		if sends := p.sends(); len(sends) > 0 {
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
func TestOrderIsSentAgainOnlyOnProof(t *testing.T) {
	for _, tt := range []struct {
		first ashwood.Status
		kind  ReplyKind
		sends []string
	}{
		{ashwood.StatusConnectionLost, Failed, []string{"send r1", "send w1"}},
		{ashwood.StatusServerError, Failed, []string{"send r1", "send w1"}},
		{ashwood.StatusConnectFailed, Served, []string{"send r1", "send w1", "send w2"}},
		{ashwood.StatusRejected, Served, []string{"send r1", "send w1", "send w2"}},
	} {
		p := &peer{place: ReserveUnknown, answers: map[ashwood.ServerID][]AttemptResult{ // so that w1 comes first
			"r1": {answer(ashwood.StatusPrefilled)}, "w1": {answer(tt.first)}, "w2": {streams(io.EOF, "a")}}}
		g, _ := start(t, p)
		g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w2", Kind: "w", Cell: 1, State: ashwood.StateActive}})
		r := serve(t, g, context.Background(), "order")
		if diff := cmp.Diff(tt.sends, p.sends()); r.Kind != tt.kind || diff != "" {
			t.Errorf("after %v: kind %v, want %v\n%s", tt.first, r.Kind, tt.kind, diff)
		}
		if r.Kind == Failed {
			p.wantFreed(t, "r1", "w1")
		}
	}
}

// While connections to writers fail to come up, nothing is out: the state goes
// within its time, and what is sent after that is read anew.
func TestStateIsLetGoWhileConnectsFail(t *testing.T) {
	noState := answer(ashwood.StatusRejected)
	noState.Detail = 1
	p := &peer{noteFrees: true, place: ReserveNotSent, answers: map[ashwood.ServerID][]AttemptResult{
		"r1": {answer(ashwood.StatusPrefilled), answer(ashwood.StatusPrefilled)}, "w1": {answer(ashwood.StatusConnectFailed), streams(io.EOF, "a")},
		"w2": {answer(ashwood.StatusConnectFailed)}, "w3": {noState}}}
	g, c := start(t, p)
	p.before = func(v ashwood.Server) {
		if v.ID == "w1" || v.ID == "w2" {
			c.Advance(250)
		}
	}
	g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{
		{ID: "w2", Kind: "w", Cell: 1, State: ashwood.StateActive}, {ID: "w3", Kind: "w", Cell: 1, Zone: "far", State: ashwood.StateActive}})
	ended := make(chan Reply, 1)
	go func() { ended <- serve(t, g, context.Background(), "order") }()
	var r Reply
	select {
	case r = <-ended:
	case <-p.hanging:
		t.Fatalf("an attempt that was not expected: %v", p.sends())
	}
	want := []string{"send r1", "send w1", "send w2", "free r1", "send w3", "send r1", "send w1"}
	got := slices.DeleteFunc(p.sends(), func(s string) bool { return s != "free r1" && s[:4] == "free" })
	if diff := cmp.Diff(want, got); r.Kind != Served || diff != "" {
		t.Errorf("kind %v\n%s", r.Kind, diff)
	}
}

// A client that leaves while an attempt is out ends it, and what may be held
// is let go of, even where the first call does not get through.
func TestClientGoneLetsGo(t *testing.T) {
	p := &peer{place: ReserveUnknown, answers: map[ashwood.ServerID][]AttemptResult{}, refuse: map[ashwood.ServerID]int{"r1": 1}}
	g := startAt(t, p, SystemClock()) // the second try comes after a pause
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan Reply)
	go func() { done <- serve(t, g, ctx, "chat") }()
	<-p.hanging
	<-p.asked
	leave()
	if r := <-done; r.Kind != ClientGone {
		t.Errorf("kind %v", r.Kind)
	}
	p.wantFreed(t, "w1", "r1")
}

// No answer in time is one answer at once: a failure for an order that may
// have run, a refusal with a pause for one whose last byte has not left.
func TestTimeOut(t *testing.T) {
	for _, unsent := range []bool{false, true} {
		p := &peer{place: ReserveRefused, answers: map[ashwood.ServerID][]AttemptResult{"r1": {answer(ashwood.StatusPrefilled)}}}
		g, c := start(t, p)
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
func TestDrainIsSeenAtTheMomentOfWriting(t *testing.T) {
	p := &peer{place: ReserveRefused, answers: map[ashwood.ServerID][]AttemptResult{
		"r1": {answer(ashwood.StatusPrefilled)}, "w1": {streams(io.EOF, "a")}, "w2": {streams(io.EOF, "a")}}}
	g, _ := start(t, p)
	g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w2", Kind: "w", State: ashwood.StateActive}})
	var drained ashwood.ServerID
	p.before = func(v ashwood.Server) {
		if v.Kind == "w" && drained == "" {
			drained = v.ID
			v.State = ashwood.StateDraining
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{v})
		}
	}
	r := serve(t, g, context.Background(), "order")
	left := p.answers[drained]
	if r.Kind != Served || len(left) != 1 || len(p.sends()) != 3 {
		t.Errorf("kind %v; %s drained; sends %v", r.Kind, drained, p.sends())
	}
}

// A stream that breaks is not ended as if it were whole.
func TestBrokenStreamIsPassedOnAsBroken(t *testing.T) {
	broken := errors.New("reset")
	p := &peer{place: ReserveRefused, answers: map[ashwood.ServerID][]AttemptResult{
		"r1": {answer(ashwood.StatusPrefilled)}, "w1": {streams(broken, "a")}}}
	g, _ := start(t, p)
	r := serve(t, g, context.Background(), "chat")
	if piece, err := r.Stream.Next(); string(piece) != "a" || err != nil {
		t.Fatal(string(piece), err)
	}
	if _, err := r.Stream.Next(); !errors.Is(err, broken) {
		t.Errorf("end %v", err)
	}
	r.Stream.Close()
	if len(p.sends()) != 2 {
		t.Errorf("sent more: %v", p.sends())
	}
}
