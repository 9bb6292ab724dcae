package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/rules"
	"ashwood.example/ashwood/lab/scenario"
)

func testPlan(t *testing.T, text string) *scenario.Plan {
	t.Helper()
	s, err := scenario.Parse([]byte("name = \"x\"\n" + text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := s.Compile()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestDraw_MatchesScenario(t *testing.T) {
	p := testPlan(t, "length_s = 600\n[load]\nrate_per_s = 30\nburst_cv = 0.2\n[[fault]]\nkind = \"burst\"\nat_s = 300\nlen_s = 60\nfactor = 2.0\n")
	requests := Draw(p)
	if diff := cmp.Diff(requests, Draw(p)); diff != "" {
		t.Fatal("two draws of one plan differ")
	}
	usual, burst := 0, 0
	sessions := map[string]Request{}
	shared, chat := 0, 0
	for _, r := range requests {
		if r.At >= 300e3 && r.At < 360e3 {
			burst++
		} else {
			usual++
		}
		if last, ok := sessions[r.Session]; ok && (r.PromptTokens <= last.PromptTokens+last.OutputTokens || r.Prefix != last.Prefix) {
			t.Fatalf("a turn does not contain the one before: %+v after %+v", r, last)
		}
		sessions[r.Session] = r
		if r.Class == 1 {
			if chat++; r.Prefix != "" {
				shared++
			}
		}
		if r.PromptTokens > maxContext || r.OutputTokens < 1 || r.OutputTokens > r.MaxOutput || r.PrefixTokens >= r.PromptTokens {
			t.Fatalf("%+v", r)
		}
	}
	if got := float64(usual) / 540; math.Abs(got-30) > 3 {
		t.Errorf("%.1f requests per second, want 30", got)
	}
	if got := float64(burst) / 60; math.Abs(got-60) > 9 {
		t.Errorf("%.1f requests per second in the burst, want 60", got)
	}
	if got := float64(chat) / float64(len(requests)); math.Abs(got-0.28) > 0.05 {
		t.Errorf("share of case-chat is %.2f, want 0.28", got)
	}
	if got := float64(shared) / float64(chat); math.Abs(got-0.8) > 0.07 {
		t.Errorf("share of case-chat with a shared prefix is %.2f, want 0.8", got)
	}
}

func TestScoreAnswer(t *testing.T) {
	c := scenario.Class{AimMs: 800, AimMsPerKTokens: 60, DeadlineMs: 4000, TokenMs: 50, Worth: 2, LateWorth: 0.2}
	for _, tt := range []struct {
		first, total float64
		kind         Kind
		earned       float64
	}{
		{900, 900 + 99*49, InTime, 2}, {900, 900 + 99*60, Late, 0.4}, {1000, 2000, Late, 0.4}, {900, 900 + 99*110, Late, 0}, {5000, 5100, Late, 0},
	} {
		r := Result{Request: Request{PromptTokens: 2000, Worth: 2}, First: tt.first, Total: tt.total, Tokens: 100}
		if scoreAnswer(c, &r); r.Kind != tt.kind || r.Earned != tt.earned {
			t.Errorf("%v, %v: %s %v, want %s %v", tt.first, tt.total, r.Kind, r.Earned, tt.kind, tt.earned)
		}
	}
}

// jumpingClock is a clock that jumps at once to each time that is waited for.
type jumpingClock struct {
	mu  sync.Mutex
	now float64
}

func (j *jumpingClock) Now() float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.now
}

func (j *jumpingClock) AfterFunc(ms float64, f func()) func() bool {
	j.mu.Lock()
	j.now += ms
	j.mu.Unlock()
	go f()
	return func() bool { return false }
}

// fakeClient answers from a list, or with hold set answers only once that is closed.
type fakeClient struct {
	mu       sync.Mutex
	outcomes []Outcome
	tries    []Try
	hold     chan struct{}
}

func (c *fakeClient) Do(_ context.Context, t Try, onSent func()) Outcome {
	onSent()
	c.mu.Lock()
	c.tries = append(c.tries, t)
	out := Outcome{Answer: rules.Served}
	if len(c.outcomes) > 0 {
		out, c.outcomes = c.outcomes[0], c.outcomes[1:]
	}
	c.mu.Unlock()
	if c.hold != nil {
		<-c.hold
	}
	return out
}

func (c *fakeClient) Close() {}

// No request waits for the answer to another one: all are sent while none is answered.
func TestRun_OpenLoop(t *testing.T) {
	p := testPlan(t, "length_s = 20\ngateways = 1\n[load]\nimpatient = 0.0\n")
	for i := range p.Load.Classes { // the clock may jump ahead before a request's goroutine has started
		p.Load.Classes[i].DeadlineMs = 1e9
	}
	requests := Draw(p)
	c := &fakeClient{hold: make(chan struct{})}
	check := rules.New(rules.PlatformLimits())
	r := Runner{Plan: p, Clients: []Client{c}, Clock: &jumpingClock{}, Watch: check}
	done := make(chan *Summary)
	go func() {
		_, s := r.Run(context.Background(), 0, requests)
		done <- s
	}()
	for check.Counts().Requests < len(requests) { // ends only once all are sent
		select {
		case <-done:
			t.Fatal("the run ended with unanswered tries")
		default:
			runtime.Gosched()
		}
	}
	close(c.hold)
	if s := <-done; s.Overall.Offered != len(requests) {
		t.Errorf("%d requests offered, want %d", s.Overall.Offered, len(requests))
	}
}

func TestRun_RetriesByEffect(t *testing.T) {
	p := testPlan(t, "length_s = 10\ngateways = 1\n[load]\nretries = 2\nimpatient = 0.0\nhonour = 1.0\n")
	for _, c := range []struct {
		class int
		say   []Outcome
		tries int
		kind  Kind
	}{
		{0, []Outcome{{Answer: rules.Refused, RetryAfter: 100}, {Answer: rules.Refused}}, 3, InTime},
		{0, []Outcome{{Answer: rules.Failure}}, 2, InTime}, {0, []Outcome{{Answer: rules.Refused}, {Answer: rules.Refused}, {Answer: rules.Refused}}, 3, Refused},
		{2, []Outcome{{Answer: rules.Refused}}, 2, InTime}, {2, []Outcome{{Answer: rules.Failure}}, 1, Failed},
		{2, []Outcome{{Answer: rules.Timeout}}, 1, Timeout}, {2, []Outcome{{}}, 2, InTime}, {0, []Outcome{{Answer: rules.Broken, First: 1}}, 1, Broken},
	} {
		cl := &fakeClient{outcomes: c.say}
		r := Runner{Plan: p, Clients: []Client{cl}, Clock: &jumpingClock{}, Watch: rules.New(rules.PlatformLimits())}
		results, _ := r.Run(context.Background(), 0, []Request{{Class: c.class, PromptTokens: 100, Worth: 1}})
		if results[0].Tries != c.tries || results[0].Kind != c.kind {
			t.Errorf("class %d, %v: %d tries, %s; want %d, %s", c.class, c.say, results[0].Tries, results[0].Kind, c.tries, c.kind)
		}
		ids := map[string]bool{}
		for i, try := range cl.tries {
			if ids[try.ID] || try.Retry != (i > 0) {
				t.Errorf("try %d: %+v", i, try)
			}
			ids[try.ID] = true
		}
	}
}

func TestHTTP_Outcomes(t *testing.T) {
	event := func(id string, from, n int) string {
		return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", engine.AnswerText(id, from, n))
	}
	end := "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":5,\"x\":0}}\n\ndata: [DONE]\n\n"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Txn")
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.Header.Get("X-Entity") {
		case "served":
			io.WriteString(w, event(id, 0, 1)+event(id, 1, 4)+end)
		case "changed":
			io.WriteString(w, event(id, 0, 1)+event("another", 1, 4)+end)
		case "short":
			io.WriteString(w, event(id, 0, 1)+end)
		case "cut":
			io.WriteString(w, event(id, 0, 1))
		case "broken":
			io.WriteString(w, event(id, 0, 1))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		case "refused":
			w.Header().Set("Retry-After", "0.25")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "failed":
			w.WriteHeader(http.StatusBadGateway)
		case "dropped":
			panic(http.ErrAbortHandler)
		case "silent":
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	c := NewHTTP(strings.TrimPrefix(s.URL, "http://"), 4, clock.System())
	defer c.Close()
	for _, tt := range []struct {
		name   string
		answer rules.Answer
		tokens int
		spoilt bool
	}{
		{"served", rules.Served, 5, false}, {"changed", rules.Served, 5, true}, {"short", rules.Served, 1, true}, {"cut", rules.Served, 1, true},
		{"broken", rules.Broken, 1, false}, {"refused", rules.Refused, 0, false}, {"failed", rules.Failure, 0, false}, {"dropped", rules.Dropped, 0, false},
		{"silent", rules.Timeout, 0, false},
	} {
		remaining := 20000.0
		if tt.name == "silent" {
			remaining = 30
		}
		asked := 0
		out := c.Do(context.Background(), Try{Request: &Request{Session: tt.name, PromptTokens: 50, PrefixTokens: 20}, ID: "00112233445566aa", Remaining: remaining}, func() { asked++ })
		if out.Answer != tt.answer || out.Tokens != tt.tokens || (out.Corrupted != "") != tt.spoilt || asked != 1 {
			t.Errorf("%s: %+v, reported as sent %d times", tt.name, out, asked)
		}
		if tt.name == "refused" && out.RetryAfter != 250 {
			t.Errorf("retry after %v ms, want 250", out.RetryAfter)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	out := NewHTTP(addr, 1, clock.System()).Do(context.Background(), Try{Request: &Request{PromptTokens: 5}, ID: "x", Remaining: 20000}, func() { t.Error("reported as sent with no gateway at the address") })
	if out.Answer != "" {
		t.Errorf("no gateway at the address: %+v", out)
	}
}
