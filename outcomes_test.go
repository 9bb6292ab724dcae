package ashwood

import (
	"testing"
	"time"
)

// Each failed attempt at a decode server is followed by an attempt at another one, or by a new prefill where the KV
// state is gone.
func TestRetry_AfterDecodeOutcome(t *testing.T) {
	tests := []struct {
		status Status
		note   float64
		next   string // server of the next attempt; "" = final answer
	}{
		{StatusRejected, 0, "w2"},
		{StatusRejected, 1, "r1"}, // the KV state is gone: prefill again
		{StatusServerError, 0, "w2"}, {StatusTimedOut, 0, "w2"}, {StatusConnectFailed, 0, "w2"}, {StatusConnectionLost, 0, "w2"},
		{StatusCancelled, 0, "w2"},
	}
	for _, tt := range tests {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 1))
		gateway.requestChat("a", 1, 0)
		gateway.endAttempt("a", 0, "r1", StatusPrefilled)
		gateway.expectSentTo("w1")
		gateway.handle(Outcome{ID: "a", Attempt: 1, Server: "w1", Status: tt.status, Detail: tt.note})
		gateway.expectSentTo(tt.next)
	}
}

func TestRetry_AfterPrefillOutcome(t *testing.T) {
	for _, status := range []Status{StatusRejected, StatusServerError, StatusTimedOut, StatusConnectFailed, StatusConnectionLost} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
		gateway.requestChat("a", 1, 0)
		first, _ := firstAction[Send](gateway)
		gateway.endAttempt("a", 0, string(first.Server), status)
		if second, _ := firstAction[Send](gateway); second.Server == first.Server || second.Server == "" {
			t.Errorf("status %v: first attempt at %s, second at %q, want another server", status, first.Server, second.Server)
		}
	}
}

func TestRequest_StateDroppedWhenServed(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	gateway.requestChat("a", 1, 0)
	gateway.endAttempt("a", 0, "r1", StatusPrefilled)
	gateway.handle(AnswerStarted{ID: "a", Attempt: 1, Server: "w1", Latency: 10 * ms})
	gateway.handle(Outcome{ID: "a", Attempt: 1, Server: "w1", Status: StatusServed, RequestDone: true})
	expectNoAction[Refuse](gateway)
	if len(gateway.scheduler.requests) != 0 || gateway.scheduler.servers["w1"].decodeTokens != 0 || gateway.scheduler.servers["w1"].queuedTokens != 0 {
		t.Errorf("still kept after the answer: requests %v, server %+v", gateway.scheduler.requests, gateway.scheduler.servers["w1"])
	}
}

func TestRequest_OneStageFleet(t *testing.T) {
	settings := testSettings()
	gateway := newGateway(t, settings, Server{ID: "m1", Zone: "a", Kind: "mixed", State: StateActive})
	gateway.requestChat("a", 1, 0)
	gateway.expectSentTo("m1")
	gateway = newGateway(t, settings, decodeServer("w1", 0))
	gateway.requestChat("a", 1, 0)
	gateway.expectSentTo("") // decode servers may not prefill
	settings.DecodeCanPrefill = true
	gateway = newGateway(t, settings, decodeServer("w1", 0))
	gateway.requestChat("a", 1, 0)
	gateway.expectSentTo("w1")
}

func TestDeadline_TimeLeftBelowClassDeadline(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	gateway.handle(Request{ID: "a", Class: "chat", Session: 1, PromptTokens: 100, TimeLeft: 300 * ms})
	if a, _ := firstAction[Send](gateway); a.Timeout != 300*ms {
		t.Errorf("timeout %v, want the 300ms that are left", a.Timeout)
	}
	gateway.now += 300 * ms
	gateway.endAttempt("a", 0, "r1", StatusTimedOut)
	expectAction[Refuse](gateway)
	gateway.now += ms
	gateway.endAttempt("a", 0, "r1", StatusPrefilled)
	expectNoAction[Send](gateway)
}

// A client that leaves during the answer says nothing of the time to first token: the whole time of its attempt, here a
// minute, must not enter the latency estimate.
func TestLatencyEstimate_ClientLeavesDuringAnswer(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	gateway.requestChat("a", 1, 0)
	gateway.endAttempt("a", 0, "r1", StatusPrefilled)
	gateway.handle(AnswerStarted{ID: "a", Attempt: 1, Server: "w1", Latency: 10 * ms})
	before := gateway.scheduler.stageLatency[stageDecode]
	gateway.handle(Outcome{ID: "a", Attempt: 1, Server: "w1", Status: StatusCancelled, RequestDone: true, Latency: time.Minute})
	if gateway.scheduler.stageLatency[stageDecode] != before || len(gateway.scheduler.requests) != 0 {
		t.Errorf("latency estimate %+v, was %+v; requests still kept: %v", gateway.scheduler.stageLatency[stageDecode], before, gateway.scheduler.requests)
	}
}
