package ashwood

import (
	"fmt"
	"testing"
	"time"
)

// Under overload a request whose first token would come too late is refused at once; the less a class is worth, the
// shorter the expected wait at which that happens.
func TestAdmission_ExpectedWait(t *testing.T) {
	settings := testSettings()
	settings.Classes = append(settings.Classes, Class{Name: "cheap", Aim: time.Second, Deadline: 5 * time.Second, Worth: 0.1,
		Effect: Pure})
	settings.Reports = ReportNone
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
		gateway := newGateway(t, settings, prefillServer("r1"), decodeServer("w1", 0))
		gateway.scheduler.servers["r1"].queuedTokens = 1000
		for i := 0; i < 10; i++ {
			gateway.scheduler.stageLatency[stagePrefill].Observe(0, tt.wait, 1000)
		}
		gateway.handle(Request{ID: "a", Class: tt.class, Session: 1, PromptTokens: 16, TimeLeft: 5 * time.Second})
		if _, got := firstAction[Refuse](gateway); got != tt.refused {
			t.Errorf("class %s, expected wait %v: refused %v, want %v", tt.class, tt.wait, got, tt.refused)
		}
	}
}

// Clients that leave long before their deadline shorten the wait up to which requests are admitted; served answers
// restore it.
func TestAdmission_ClientsLeaveEarly(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	for i := 0; i < 10; i++ {
		id := fmt.Sprint("q", i)
		gateway.requestChat(id, uint64(i), 0)
		gateway.now += 100 * ms
		gateway.handle(ClientDisconnected{RequestID(id)})
	}
	if patience := time.Second - time.Duration(gateway.scheduler.tenantImpatience[""]); patience > 300*ms {
		t.Errorf("requests are admitted up to a wait of %v after ten clients left at 100ms", patience)
	}
	for i := 0; i < 20; i++ {
		gateway.scheduler.requests["x"] = &trackedRequest{attempts: []*trackedAttempt{{server: gateway.scheduler.servers["w1"], decodes: true, inFlight: true}},
			class: gateway.scheduler.classes["chat"]}
		gateway.handle(AnswerStarted{ID: "x", Server: "w1", Latency: 10 * ms})
	}
	if patience := time.Second - time.Duration(gateway.scheduler.tenantImpatience[""]); patience < 900*ms {
		t.Errorf("requests are admitted only up to a wait of %v after twenty answers", patience)
	}
}

// Clients of one tenant that leave early and retry at once must not shorten the wait up to which other tenants'
// requests are admitted.
func TestAdmission_OneTenantsClientsLeaveEarly(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	for i := 0; i < 20; i++ {
		id := RequestID(fmt.Sprint("q", i))
		gateway.handle(Request{ID: id, Class: "chat", Tenant: "hasty", Session: 1, PromptTokens: 16, TimeLeft: 5 * time.Second})
		gateway.now += 10 * ms
		gateway.handle(ClientDisconnected{id})
	}
	gateway.scheduler.servers["r1"].queuedTokens = 1000
	for i := 0; i < 10; i++ {
		gateway.scheduler.stageLatency[stagePrefill].Observe(gateway.now, 500*ms, 1000)
	}
	for tenant, want := range map[string]bool{"hasty": true, "calm": false} {
		gateway.handle(Request{ID: RequestID(tenant), Class: "chat", Tenant: tenant, Session: 1, PromptTokens: 16,
			TimeLeft: 5 * time.Second})
		if _, got := firstAction[Refuse](gateway); got != want {
			t.Errorf("tenant %s: refused %v, want %v", tenant, got, want)
		}
	}
}

// A tenant over its share of the fleet is refused at an expected wait at which others are still admitted.
func TestAdmission_TenantOverItsShare(t *testing.T) {
	settings := testSettings()
	settings.Tenants, settings.OverShareWorth = []Tenant{{"big", 0.5, 1}, {"small", 0.5, 100}}, 0.1
	gateway := newGateway(t, settings, prefillServer("r1"), decodeServer("w1", 0))
	gateway.scheduler.servers["r1"].queuedTokens = 1000
	for i := 0; i < 10; i++ {
		gateway.scheduler.stageLatency[stagePrefill].Observe(0, 800*ms, 1000)
		gateway.scheduler.tenantRate["big"].Add(gateway.now, time.Second, 5)
	}
	for tenant, want := range map[string]bool{"big": true, "small": false} {
		gateway.handle(Request{ID: RequestID(tenant), Class: "chat", Tenant: tenant, Session: 1, PromptTokens: 16,
			TimeLeft: 5 * time.Second})
		if _, got := firstAction[Refuse](gateway); got != want {
			t.Errorf("tenant %s: refused %v, want %v", tenant, got, want)
		}
	}
}

// A decode server without free memory turns requests away after they were prefilled. Where servers report their memory,
// no request is admitted that doesn't fit.
func TestAdmission_DecodeMemoryFull(t *testing.T) {
	for _, used := range []float64{0.5, 1} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
		gateway.scheduler.servers["w1"].report = Report{ReportMemory: used}
		gateway.requestChat("a", 1, 0)
		if _, got := firstAction[Refuse](gateway); got != (used == 1) {
			t.Errorf("reported share of memory in use %v: refused %v", used, got)
		}
	}
}

// A refusal carries a time to retry after, but only where the settings allow it, and never above their maximum.
func TestRefusal_RetryAfter(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		settings := testSettings()
		settings.Limits.RetryAfter, settings.Limits.MaxRetryAfter = allowed, 500*ms
		gateway := newGateway(t, settings)
		gateway.requestChat("a", 1, 0)
		gateway.now += 5 * time.Second
		timer, _ := firstAction[SetTimer](gateway) // its deadline
		gateway.handle(TimerFired{timer.Token})
		want := map[bool]time.Duration{true: 500 * ms}[allowed]
		if refusal, ok := firstAction[Refuse](gateway); !ok || refusal.RetryAfter != want {
			t.Errorf("retry-after allowed %v: actions %v, want a refusal that has the client wait %v", allowed, gateway.actions, want)
		}
	}
}

// A prompt that fits into no server's memory is refused at once, without an attempt or a reservation. Where the settings
// give no memory for a kind of server, any prompt may fit.
func TestAdmission_PromptLongerThanAnyMemory(t *testing.T) {
	for _, tt := range []struct {
		name         string
		read, write  float64 // memory in tokens of the prefill and the decode servers; 0 = not known
		prompt       float64
		wantsRefusal bool
	}{
		{"fits", 1e5, 1e5, 99999, false},
		{"too long for prefill", 1e4, 1e5, 10001, true},
		{"too long for decode", 1e5, 1e4, 10001, true},
		{"memory of one token", 1, 1, 320, true},
		{"memory for decode unknown", 1e5, 0, 99999, false},
		{"memory unknown", 0, 0, 1e9, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			settings := testSettings()
			settings.Kinds = []Kind{{"prefill", RolePrefill, tt.read}, {"decode", RoleDecode, tt.write}}
			gateway := newGateway(t, settings, prefillServer("r1"), decodeServer("w1", 0))
			gateway.handle(Request{ID: "a", Class: "chat", Session: 1, PromptTokens: tt.prompt, TimeLeft: 5 * time.Second})
			if !tt.wantsRefusal {
				gateway.expectSentTo("r1")
				return
			}
			expectNoAction[Send](gateway)
			expectNoAction[Reserve](gateway)
			if refusal, ok := firstAction[Refuse](gateway); !ok || refusal.Reason != ReasonPromptTooLong {
				t.Errorf("actions %v, want a refusal as too long", gateway.actions)
			}
		})
	}
}

// Guards against requests refused for lack of memory that others' prompts, too long for any engine, were counted to need.
func TestAdmission_TooLongPromptsOfOthers(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 4
	gateway := newGateway(t, settings, prefillServer("r1"), decodeServer("w1", 0))
	for i := range 20 {
		id := fmt.Sprint("q", i)
		gateway.requestChat(id, uint64(i), 0)
		gateway.endAttempt(id, 0, "r1", StatusPrefilled)
		gateway.handle(Outcome{ID: RequestID(id), Attempt: 1, Server: "w1", Status: StatusServed, RequestDone: true,
			Latency: 50 * ms, Report: Report{ReportMemory: 0.1}})
		gateway.now += 10 * ms
	}
	for i := range 50 {
		gateway.handle(Request{ID: RequestID(fmt.Sprint("long", i)), Class: "chat", Session: 1, PromptTokens: 9e8, TimeLeft: 5 * time.Second})
	}
	gateway.requestChat("a", 1, 0)
	gateway.expectSentTo("r1")
}

// Where the settings add to the aim for each 1,000 prompt tokens, the wait at which a request is refused as too late
// grows with its prompt.
func TestAdmission_AimGrowsWithPrompt(t *testing.T) {
	for _, tt := range []struct {
		per1K   time.Duration
		wait    time.Duration
		refused bool
	}{
		{0, 900 * ms, false}, {0, 1200 * ms, true},
		{100 * ms, 1200 * ms, false}, {100 * ms, 1700 * ms, true}, // aim: 1 s and five times 100 ms
	} {
		settings := testSettings()
		settings.Reports = ReportNone
		settings.Classes[0].AimPer1K = tt.per1K
		gateway := newGateway(t, settings, prefillServer("r1"), decodeServer("w1", 0))
		gateway.scheduler.servers["r1"].queuedTokens = 1000
		for range 10 {
			gateway.scheduler.stageLatency[stagePrefill].Observe(0, tt.wait, 6000)
		}
		gateway.handle(Request{ID: "a", Class: "chat", Session: 1, PromptTokens: 5000, TimeLeft: 5 * time.Second})
		if _, got := firstAction[Refuse](gateway); got != tt.refused {
			t.Errorf("%v added for 1,000 tokens, expected wait %v: refused %v, want %v", tt.per1K, tt.wait, got, tt.refused)
		}
	}
}
