package ashwood

import (
	"testing"
	"time"
)

// The path of a request after each outcome of its writing attempt.
func TestWriterOutcomes(t *testing.T) {
	tests := []struct {
		status Status
		note   float64
		to     string // "" = final answer
	}{
		{StatusRejected, 0, "w2"},
		{StatusRejected, 1, "r1"}, // no state: read again
		{StatusServerError, 0, "w2"}, {StatusTimedOut, 0, "w2"}, {StatusConnectFailed, 0, "w2"}, {StatusConnectionLost, 0, "w2"},
		{StatusCancelled, 0, "w2"},
	}
	for _, tt := range tests {
		n := newNode(t, settings(), reader("r1"), writer("w1", 0), writer("w2", 1))
		n.ask("a", 1, 0)
		n.end("a", 0, "r1", StatusPrefilled)
		n.sentTo("w1")
		n.do(Outcome{ID: "a", Attempt: 1, Server: "w1", Status: tt.status, Detail: tt.note})
		n.sentTo(tt.to)
	}
}

func TestReaderOutcomes(t *testing.T) {
	for _, st := range []Status{StatusRejected, StatusServerError, StatusTimedOut, StatusConnectFailed, StatusConnectionLost} {
		n := newNode(t, settings(), reader("r1"), reader("r2"), writer("w1", 0))
		n.ask("a", 1, 0)
		a, _ := pick[Send](n)
		n.end("a", 0, string(a.Server), st)
		if b, _ := pick[Send](n); b.Server == a.Server || b.Server == "" {
			t.Errorf("status %v: %s, then %q", st, a.Server, b.Server)
		}
	}
}

func TestServedRequestIsForgotten(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0))
	n.ask("a", 1, 0)
	n.end("a", 0, "r1", StatusPrefilled)
	n.do(AnswerStarted{ID: "a", Attempt: 1, Server: "w1", Latency: 10 * ms})
	n.do(Outcome{ID: "a", Attempt: 1, Server: "w1", Status: StatusServed, RequestDone: true})
	lacks[Refuse](n)
	if len(n.s.requests) != 0 || n.s.servers["w1"].decodeTokens != 0 || n.s.servers["w1"].queuedTokens != 0 {
		t.Errorf("left: %v, %+v", n.s.requests, n.s.servers["w1"])
	}
}

func TestOneStageFleets(t *testing.T) {
	set := settings()
	n := newNode(t, set, Server{ID: "m1", Zone: "a", Kind: "mixed", State: StateActive})
	n.ask("a", 1, 0)
	n.sentTo("m1")
	n = newNode(t, set, writer("w1", 0))
	n.ask("a", 1, 0)
	n.sentTo("") // a writer that may not read
	set.DecodeCanPrefill = true
	n = newNode(t, set, writer("w1", 0))
	n.ask("a", 1, 0)
	n.sentTo("w1")
}

func TestTimeLeftGovernsNotTheClass(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0))
	n.do(Request{ID: "a", Class: "chat", Session: 1, PromptTokens: 100, TimeLeft: 300 * ms})
	if a, _ := pick[Send](n); a.Timeout != 300*ms {
		t.Errorf("time-out %v, want the 300ms left", a.Timeout)
	}
	n.now += 300 * ms
	n.end("a", 0, "r1", StatusTimedOut)
	wants[Refuse](n)
	n.now += ms
	n.end("a", 0, "r1", StatusPrefilled)
	lacks[Send](n)
}

// A client that leaves in mid-answer must not teach the pace of first tokens.
func TestLeavingABegunAnswerTeachesNoPace(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0))
	n.ask("a", 1, 0)
	n.end("a", 0, "r1", StatusPrefilled)
	n.do(AnswerStarted{ID: "a", Attempt: 1, Server: "w1", Latency: 10 * ms})
	before := n.s.stageLatency[stageDecode]
	n.do(Outcome{ID: "a", Attempt: 1, Server: "w1", Status: StatusCancelled, RequestDone: true, Latency: time.Minute})
	if n.s.stageLatency[stageDecode] != before || len(n.s.requests) != 0 {
		t.Errorf("pace %+v, was %+v; left %v", n.s.stageLatency[stageDecode], before, n.s.requests)
	}
}
