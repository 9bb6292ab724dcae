package ashwood

import (
	"fmt"
	"testing"
	"time"
)

// In overload what would come too late is refused at once, the cheaper sooner.
func TestHopelessIsRefusedEarly(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, Class{Name: "cheap", Aim: time.Second, Deadline: 5 * time.Second, Worth: 0.1,
		Effect: Pure})
	set.Reports = ReportNone
	tests := []struct {
		class   string
		wait    time.Duration
		refused bool
	}{
		{"chat", 200 * ms, false}, {"cheap", 200 * ms, false},
		{"chat", 800 * ms, false}, {"cheap", 800 * ms, true},
		{"chat", 1500 * ms, true},
	}
	for _, tt := range tests {
		n := newNode(t, set, reader("r1"), writer("w1", 0))
		n.s.servers["r1"].queuedTokens = 1000
		for i := 0; i < 10; i++ {
			n.s.stageLatency[stagePrefill].Observe(0, tt.wait, 1000)
		}
		n.do(Request{ID: "a", Class: tt.class, Session: 1, PromptTokens: 16, TimeLeft: 5 * time.Second})
		if _, got := pick[Refuse](n); got != tt.refused {
			t.Errorf("%s at %v: refused %v, want %v", tt.class, tt.wait, got, tt.refused)
		}
	}
}

// Clients that leave long before their time shorten the wait that is worth
// queueing for; served answers restore it.
func TestLeavingClientsShortenTheLimit(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0))
	for i := 0; i < 10; i++ {
		id := fmt.Sprint("q", i)
		n.ask(id, uint64(i), 0)
		n.now += 100 * ms
		n.do(ClientDisconnected{RequestID(id)})
	}
	if p := time.Second - time.Duration(n.s.tenantImpatience[""]); p > 300*ms {
		t.Errorf("patience still %v after ten clients left at 100ms", p)
	}
	for i := 0; i < 20; i++ {
		n.s.requests["x"] = &trackedRequest{attempts: []*trackedAttempt{{server: n.s.servers["w1"], decodes: true, inFlight: true}},
			class: n.s.classes["chat"]}
		n.do(AnswerStarted{ID: "x", Server: "w1", Latency: 10 * ms})
	}
	if p := time.Second - time.Duration(n.s.tenantImpatience[""]); p < 900*ms {
		t.Errorf("patience only %v after twenty answers", p)
	}
}

// One tenant's clients that leave early and repeat at once must not shorten the wait of the others.
func TestHasteIsOfTheTenantAlone(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0))
	for i := 0; i < 20; i++ {
		id := RequestID(fmt.Sprint("q", i))
		n.do(Request{ID: id, Class: "chat", Tenant: "hasty", Session: 1, PromptTokens: 16, TimeLeft: 5 * time.Second})
		n.now += 10 * ms
		n.do(ClientDisconnected{id})
	}
	n.s.servers["r1"].queuedTokens = 1000
	for i := 0; i < 10; i++ {
		n.s.stageLatency[stagePrefill].Observe(n.now, 500*ms, 1000)
	}
	for tenant, want := range map[string]bool{"hasty": true, "calm": false} {
		n.do(Request{ID: RequestID(tenant), Class: "chat", Tenant: tenant, Session: 1, PromptTokens: 16,
			TimeLeft: 5 * time.Second})
		if _, got := pick[Refuse](n); got != want {
			t.Errorf("%s: refused %v, want %v", tenant, got, want)
		}
	}
}

func TestOverShareTenantIsRefusedSooner(t *testing.T) {
	set := settings()
	set.Tenants, set.OverShareWorth = []Tenant{{"big", 0.5, 1}, {"small", 0.5, 100}}, 0.1
	n := newNode(t, set, reader("r1"), writer("w1", 0))
	n.s.servers["r1"].queuedTokens = 1000
	for i := 0; i < 10; i++ {
		n.s.stageLatency[stagePrefill].Observe(0, 800*ms, 1000)
		n.s.tenantRate["big"].Add(n.now, time.Second, 5)
	}
	for tenant, want := range map[string]bool{"big": true, "small": false} {
		n.do(Request{ID: RequestID(tenant), Class: "chat", Tenant: tenant, Session: 1, PromptTokens: 16,
			TimeLeft: 5 * time.Second})
		if _, got := pick[Refuse](n); got != want {
			t.Errorf("%s: refused %v, want %v", tenant, got, want)
		}
	}
}

// A full writer throws answers back; where memory is reported, no more is taken on than fits.
func TestFullWritersMeanRefusal(t *testing.T) {
	for _, used := range []float64{0.5, 1} {
		n := newNode(t, settings(), reader("r1"), writer("w1", 0))
		n.s.servers["w1"].report = Report{ReportMemory: used}
		n.ask("a", 1, 0)
		if _, got := pick[Refuse](n); got != (used == 1) {
			t.Errorf("memory %v held: refused %v", used, got)
		}
	}
}

// A refused client hears when to come back, but only where the site allows it.
func TestRefusalNamesAPause(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		set := settings()
		set.Limits.RetryAfter, set.Limits.MaxRetryAfter = allowed, 500*ms
		n := newNode(t, set)
		n.ask("a", 1, 0)
		n.now += 5 * time.Second
		x, _ := pick[SetTimer](n) // its deadline
		n.do(TimerFired{x.Token})
		want := map[bool]time.Duration{true: 500 * ms}[allowed]
		if r, ok := pick[Refuse](n); !ok || r.RetryAfter != want {
			t.Errorf("allowed %v: %v", allowed, n.out)
		}
	}
}

// A prompt that fits into no server's memory is refused at once: nothing is read, and no place is
// asked for. Where a kind does not tell its memory, nobody knows.
func TestPromptLongerThanAnyMemory_IsRefused(t *testing.T) {
	for _, tt := range []struct {
		name         string
		read, write  float64 // memory of the kinds
		prompt       float64
		wantsRefusal bool
	}{
		{"fits", 1e5, 1e5, 99999, false},
		{"too long for prefill", 1e4, 1e5, 10001, true},
		{"too long for decode", 1e5, 1e4, 10001, true},
		{"memory of one token", 1, 1, 320, true},
		{"decode does not tell", 1e5, 0, 99999, false},
		{"nobody tells", 0, 0, 1e9, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			set := settings()
			set.Kinds = []Kind{{"reader", RoleRead, tt.read}, {"writer", RoleWrite, tt.write}}
			n := newNode(t, set, reader("r1"), writer("w1", 0))
			n.do(Request{ID: "a", Class: "chat", Session: 1, PromptTokens: tt.prompt, TimeLeft: 5 * time.Second})
			if !tt.wantsRefusal {
				n.sentTo("r1")
				return
			}
			lacks[Send](n)
			lacks[Reserve](n)
			if refusal, ok := pick[Refuse](n); !ok || refusal.Reason != ReasonPromptTooLong {
				t.Errorf("actions %v", n.out)
			}
		})
	}
}

// Where the settings allow long prompts more time, what is too late grows with the prompt.
func TestTooLate_LongPromptsHaveTheirAim(t *testing.T) {
	for _, tt := range []struct {
		per1K   time.Duration
		wait    time.Duration
		refused bool
	}{
		{0, 900 * ms, false}, {0, 1200 * ms, true},
		{100 * ms, 1200 * ms, false}, {100 * ms, 1700 * ms, true}, // a second and five times 100 ms
	} {
		set := settings()
		set.Reports = ReportNone
		set.Classes[0].AimPer1K = tt.per1K
		n := newNode(t, set, reader("r1"), writer("w1", 0))
		n.s.servers["r1"].queuedTokens = 1000
		for range 10 {
			n.s.stageLatency[stagePrefill].Observe(0, tt.wait, 6000)
		}
		n.do(Request{ID: "a", Class: "chat", Session: 1, PromptTokens: 5000, TimeLeft: 5 * time.Second})
		if _, got := pick[Refuse](n); got != tt.refused {
			t.Errorf("%v for 1,000 tokens, %v to wait: refused %v, want %v", tt.per1K, tt.wait, got, tt.refused)
		}
	}
}
