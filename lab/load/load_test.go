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

func plan(t *testing.T, text string) *scenario.Plan {
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

func TestDrawIsTheScenarios(t *testing.T) {
	p := plan(t, "length_s = 600\n[load]\nrate_per_s = 30\nburst_cv = 0.2\n[[fault]]\nkind = \"burst\"\nat_s = 300\nlen_s = 60\nfactor = 2.0\n")
	list := Draw(p)
	if diff := cmp.Diff(list, Draw(p)); diff != "" {
		t.Fatal("two draws differ")
	}
	usual, burst := 0, 0
	sessions := map[string]Request{}
	shared, chat := 0, 0
	for _, r := range list {
		if r.At >= 300e3 && r.At < 360e3 {
			burst++
		} else {
			usual++
		}
		if last, ok := sessions[r.Session]; ok && (r.PromptTokens <= last.PromptTokens+last.OutTokens || r.SharedPrefix != last.SharedPrefix) {
			t.Fatalf("a turn that does not hold the one before: %+v after %+v", r, last)
		}
		sessions[r.Session] = r
		if r.Class == 1 {
			if chat++; r.SharedPrefix != "" {
				shared++
			}
		}
		if r.PromptTokens > maxContext || r.OutTokens < 1 || r.OutTokens > r.MaxOut || r.SharedPrefixTokens >= r.PromptTokens {
			t.Fatalf("%+v", r)
		}
	}
	if got := float64(usual) / 540; math.Abs(got-30) > 3 {
		t.Errorf("%.1f requests a second, 30 are wanted", got)
	}
	if got := float64(burst) / 60; math.Abs(got-60) > 9 {
		t.Errorf("%.1f in the burst, 60 are wanted", got)
	}
	if got := float64(chat) / float64(len(list)); math.Abs(got-0.28) > 0.05 {
		t.Errorf("%.2f are case-chat, 0.28 is wanted", got)
	}
	if got := float64(shared) / float64(chat); math.Abs(got-0.8) > 0.07 {
		t.Errorf("%.2f of case-chat share a beginning, 0.8 is wanted", got)
	}
}

func TestJudge(t *testing.T) {
	c := scenario.Class{AimMs: 800, AimMsPerK: 60, DeadlineMs: 4000, TokenMs: 50, Worth: 2, LateWorth: 0.2}
	for _, tt := range []struct {
		first, total float64
		kind         Kind
		earned       float64
	}{
		{900, 900 + 99*49, InTime, 2}, {900, 900 + 99*60, Late, 0.4}, {1000, 2000, Late, 0.4}, {900, 900 + 99*110, Late, 0}, {5000, 5100, Late, 0},
	} {
		r := Result{Request: Request{PromptTokens: 2000, Worth: 2}, First: tt.first, Total: tt.total, Tokens: 100}
		if judge(c, &r); r.Kind != tt.kind || r.Earned != tt.earned {
			t.Errorf("%v, %v: %s %v, want %s %v", tt.first, tt.total, r.Kind, r.Earned, tt.kind, tt.earned)
		}
	}
}

// jumps is a clock that stands at each time that is waited for, at once.
type jumps struct {
	mu  sync.Mutex
	now float64
}

func (j *jumps) Now() float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.now
}

func (j *jumps) AfterFunc(ms float64, f func()) func() bool {
	j.mu.Lock()
	j.now += ms
	j.mu.Unlock()
	go f()
	return func() bool { return false }
}

// client answers from a list, or holds tries back until it is let go.
type client struct {
	mu    sync.Mutex
	say   []Outcome
	tries []Try
	hold  chan struct{}
}

func (c *client) Do(_ context.Context, t Try, asked func()) Outcome {
	asked()
	c.mu.Lock()
	c.tries = append(c.tries, t)
	out := Outcome{Answer: rules.Served}
	if len(c.say) > 0 {
		out, c.say = c.say[0], c.say[1:]
	}
	c.mu.Unlock()
	if c.hold != nil {
		<-c.hold
	}
	return out
}

func (c *client) Close() {}

// No request waits for another one's answer: all are asked while none is answered.
func TestLoadIsOpenLoop(t *testing.T) {
	p := plan(t, "length_s = 20\ngateways = 1\n[load]\nimpatient = 0.0\n")
	for i := range p.Load.Classes { // the clock jumps on while a request's goroutine has yet to begin
		p.Load.Classes[i].DeadlineMs = 1e9
	}
	list := Draw(p)
	c := &client{hold: make(chan struct{})}
	check := rules.New(rules.PlatformLimits())
	r := Runner{Plan: p, Clients: []Client{c}, Clock: &jumps{}, Watch: check}
	done := make(chan *Summary)
	go func() {
		_, s := r.Run(context.Background(), 0, list)
		done <- s
	}()
	for check.Counts().Requests < len(list) { // ends only if all are asked
		select {
		case <-done:
			t.Fatal("it ended with tries unanswered")
		default:
			runtime.Gosched()
		}
	}
	close(c.hold)
	if s := <-done; s.Whole.Offered != len(list) {
		t.Errorf("%d of %d", s.Whole.Offered, len(list))
	}
}

func TestRetriesKeepToTheClasssEffect(t *testing.T) {
	p := plan(t, "length_s = 10\ngateways = 1\n[load]\nretries = 2\nimpatient = 0.0\nhonour = 1.0\n")
	for _, c := range []struct {
		class int
		say   []Outcome
		tries int
		kind  Kind
	}{
		{0, []Outcome{{Answer: rules.Refused, RetryAfter: 100}, {Answer: rules.Refused}}, 3, InTime},
		{0, []Outcome{{Answer: rules.Failure}}, 2, InTime}, {0, []Outcome{{Answer: rules.Refused}, {Answer: rules.Refused}, {Answer: rules.Refused}}, 3, Refused},
		{2, []Outcome{{Answer: rules.Refused}}, 2, InTime}, {2, []Outcome{{Answer: rules.Failure}}, 1, Failed},
		{2, []Outcome{{Answer: rules.Timeout}}, 1, Timeout}, {2, []Outcome{{}}, 2, InTime}, {0, []Outcome{{Answer: rules.Broken, FirstTokenAt: 1}}, 1, Broken},
	} {
		cl := &client{say: c.say}
		r := Runner{Plan: p, Clients: []Client{cl}, Clock: &jumps{}, Watch: rules.New(rules.PlatformLimits())}
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

func TestHTTPClientReadsAnswers(t *testing.T) {
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
		how    string
		answer rules.Answer
		tokens int
		spoilt bool
	}{
		{"served", rules.Served, 5, false}, {"changed", rules.Served, 5, true}, {"short", rules.Served, 1, true}, {"cut", rules.Served, 1, true},
		{"broken", rules.Broken, 1, false}, {"refused", rules.Refused, 0, false}, {"failed", rules.Failure, 0, false}, {"dropped", rules.Dropped, 0, false},
		{"silent", rules.Timeout, 0, false},
	} {
		remaining := 20000.0
		if tt.how == "silent" {
			remaining = 30
		}
		asked := 0
		out := c.Do(context.Background(), Try{Request: &Request{Session: tt.how, PromptTokens: 50, SharedPrefixTokens: 20}, ID: "00112233445566aa", Remaining: remaining}, func() { asked++ })
		if out.Answer != tt.answer || out.Tokens != tt.tokens || (out.Corruption != "") != tt.spoilt || asked != 1 {
			t.Errorf("%s: %+v, asked %d times", tt.how, out, asked)
		}
		if tt.how == "refused" && out.RetryAfter != 250 {
			t.Errorf("to return after %v ms", out.RetryAfter)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	out := NewHTTP(addr, 1, clock.System()).Do(context.Background(), Try{Request: &Request{PromptTokens: 5}, ID: "x", Remaining: 20000}, func() { t.Error("asked of nobody") })
	if out.Answer != "" {
		t.Errorf("no gateway there: %+v", out)
	}
}
