package ashwood

import (
	"strings"
	"testing"
	"time"
)

// A prompt goes to the prefill server that holds most of it, unless that server has far more in flight than others.
func TestPrefillChoice_PrefixAgainstLoad(t *testing.T) {
	tests := []struct {
		name       string
		unfinished map[string]int // prefills in flight, by server
		prefilled  map[string]int // prompts with the prefix that a server has served
		want       string
	}{
		{"cached prefix beats idle server", map[string]int{"r1": 1}, map[string]int{"r1": 1}, "r1"},
		{"equal prefixes, fewer in flight", map[string]int{"r1": 3, "r2": 1}, map[string]int{"r1": 1, "r2": 1}, "r2"},
		{"gap in load overrides prefix", map[string]int{"r1": maxLoadGap + 1}, map[string]int{"r1": 1}, "r2"},
		{"prefix counts at the gap", map[string]int{"r1": maxLoadGap}, map[string]int{"r1": 1}, "r1"},
		{"above mean and deviations of load", map[string]int{"r1": 12}, map[string]int{"r1": 1}, "not r1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			servers := []Server{prefillServer("r1"), prefillServer("r2")}
			if strings.HasPrefix(tt.name, "above") { // one of six is above the mean by more than two standard deviations
				servers = append(servers, prefillServer("r3"), prefillServer("r4"), prefillServer("r5"), prefillServer("r6"))
			}
			gateway := newGateway(t, testSettings(), servers...)
			req := &trackedRequest{Request: Request{Session: 1, Prefix: 7, PrefixTokens: 160, PromptTokens: 320}}
			for _, v := range gateway.scheduler.sortedServers {
				v.pendingPrefills = tt.unfinished[string(v.ID)]
				if tt.prefilled[string(v.ID)] > 0 {
					gateway.scheduler.prefixTable.Record(gateway.now, v.prefixRuns, req.prefixParts(), true)
				}
			}
			got := gateway.scheduler.pickByPrefix(req, gateway.scheduler.sortedServers)
			if string(got.ID) != tt.want && (tt.want != "not r1" || got.ID == "r1") {
				t.Errorf("picked %s, want %s", got.ID, tt.want)
			}
		})
	}
}

// A prefix has two affinity targets, of which the session's hash picks one. All gateways agree on it, so that a session's
// next turn finds its KV cache although another gateway decides.
func TestAffinityTargets_SameAtAllGateways(t *testing.T) {
	servers := []Server{prefillServer("r1"), prefillServer("r2"), prefillServer("r3"), decodeServer("w1", 0)}
	seen := map[ServerID]bool{}
	for prefix := uint64(1); prefix < 30; prefix++ {
		targets := map[ServerID]bool{}
		for session := uint64(1); session < 10; session++ {
			first, second := newGateway(t, testSettings(), servers...), newGateway(t, testSettings(), servers[2], servers[0], servers[1], servers[3])
			first.requestChat("x", session, prefix)
			second.requestChat("y", session, prefix)
			firstSent, _ := firstAction[Send](first)
			secondSent, _ := firstAction[Send](second)
			if firstSent.Server != secondSent.Server {
				t.Fatalf("prefix %d, session %d: two gateways send to %s and %s", prefix, session, firstSent.Server, secondSent.Server)
			}
			seen[firstSent.Server], targets[firstSent.Server] = true, true
		}
		if len(targets) > 2 {
			t.Errorf("prefix %d has %d affinity targets, want at most 2", prefix, len(targets))
		}
	}
	if len(seen) != 3 {
		t.Errorf("30 prefixes hash to %d of 3 prefill servers, want all", len(seen))
	}
}

// A prefix that only an ejected server holds goes to the server with the fewest prefills in flight, not to an affinity
// target that may be busy.
func TestPrefillChoice_PrefixAtEjectedServer(t *testing.T) {
	for prefix := uint64(1); prefix < 20; prefix++ {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), prefillServer("r3"), decodeServer("w1", 0))
		req := &trackedRequest{Request: Request{Session: 1, Prefix: prefix, PrefixTokens: 160, PromptTokens: 320}}
		gateway.scheduler.prefixTable.Record(gateway.now, gateway.scheduler.servers["r1"].prefixRuns, req.prefixParts(), true)
		gateway.scheduler.servers["r1"].ejected, gateway.scheduler.servers["r1"].ejectedUntil = true, gateway.now+time.Hour
		gateway.scheduler.servers["r2"].pendingPrefills = 1
		gateway.requestChat("x", 1, prefix)
		gateway.expectSentTo("r3")
	}
}

// Cached blocks are forgotten after their expiry and are capped in number.
func TestPrefixTable_ExpiryAndCap(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"))
	server := gateway.scheduler.servers["r1"]
	req := &trackedRequest{Request: Request{Session: 1, PromptTokens: 320}}
	gateway.scheduler.now = gateway.now
	gateway.scheduler.prefixTable.Record(gateway.now, server.prefixRuns, req.prefixParts(), true)
	if got, _ := gateway.scheduler.matchPrefix(req, server); got != 320 {
		t.Fatalf("server holds %v tokens, want 320", got)
	}
	gateway.scheduler.now += blockExpiry
	if got, _ := gateway.scheduler.matchPrefix(req, server); got != 0 {
		t.Errorf("server holds %v tokens after the expiry, want 0", got)
	}
	for i := uint64(2); i < 30; i++ {
		gateway.scheduler.prefixTable.Record(gateway.now, server.prefixRuns, (&trackedRequest{Request: Request{Session: i, PromptTokens: 10000 * blockTokens}}).prefixParts(), false)
	}
	if gateway.scheduler.prefixTable.Blocks() != maxBlocks || gateway.scheduler.prefixTable.Len() != len(server.prefixRuns) || len(server.prefixRuns) != 20 {
		t.Errorf("table holds %d blocks in %d runs, the server %d runs; want %d blocks in 20 runs",
			gateway.scheduler.prefixTable.Blocks(), gateway.scheduler.prefixTable.Len(), len(server.prefixRuns), maxBlocks)
	}
}

// A server that reports that it kept less than half of what it surely held has flushed its cache. Its blocks are all
// forgotten, as other prefixes would otherwise still be sent to it.
func TestPrefixTable_ServerFlushedItsCache(t *testing.T) {
	for _, tt := range []struct{ kept, want float64 }{{0, 0}, {320, 320}} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
		gateway.requestChat("other", 2, 0)
		gateway.endAttempt("other", 0, "r1", StatusPrefilled)
		gateway.requestChat("a", 1, 0)
		gateway.endAttempt("a", 0, "r1", StatusPrefilled)
		gateway.now += 100 * ms
		gateway.requestChat("b", 1, 0)
		gateway.now += 50 * ms
		gateway.handle(Outcome{ID: "b", Server: "r1", Status: StatusPrefilled, Detail: tt.kept, Latency: 50 * ms})
		other := &trackedRequest{Request: Request{Session: 2, PromptTokens: 320}}
		if got, _ := gateway.scheduler.matchPrefix(other, gateway.scheduler.servers["r1"]); got != tt.want {
			t.Errorf("server kept %v tokens: it holds %v tokens of the other session, want %v", tt.kept, got, tt.want)
		}
	}
}

// A server with a new start time has an empty cache.
func TestPrefixTable_ServerRestarted(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	gateway.requestChat("a", 1, 0)
	restarted := prefillServer("r1")
	restarted.Started = gateway.now
	gateway.handle(MembershipUpdate{Form: MembershipDelta, Entries: []Server{restarted}})
	if got := len(gateway.scheduler.servers["r1"].prefixRuns); got != 0 {
		t.Errorf("%d runs still known after a restart, want none", got)
	}
}

// The gateway's own count of prefills in flight is scaled up to all gateways. Unscaled, it would look like a gap in load
// compared with reports, which cover all gateways.
func TestLoadEstimate_OwnCountsAndReports(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 3
	gateway := newGateway(t, settings, prefillServer("r1"))
	server := gateway.scheduler.servers["r1"]
	server.pendingPrefills = 2
	count, _ := gateway.scheduler.loadEstimate(RolePrefill)
	if got := count(server); got != 6 {
		t.Errorf("estimate of %v in flight, want 6", got)
	}
	gateway.handle(ProbeResult{Server: "r1", Status: StatusServed, Report: Report{ReportInFlight: 9}})
	if got := count(server); got != 9 {
		t.Errorf("estimate of %v in flight, want the reported 9", got)
	}
}

// An answer goes to a decode server in the cell of the prefill server, as long as free memory there is near to the best.
func TestDecodeChoice_FreeMemory(t *testing.T) {
	tests := []struct {
		name string
		used map[string]float64 // reported share of memory in use
		held map[string]float64 // tokens of the gateway's own requests
		want string
	}{
		{"cell of the prefill server", map[string]float64{"near": 0.4, "far": 0.1}, nil, "near"},
		{"far if near is almost full", map[string]float64{"near": 0.9, "far": 0.1}, nil, "far"},
		{"near if memory suffices", map[string]float64{"near": 0.63, "far": 0.1}, nil, "near"},
		{"far if memory does not suffice", map[string]float64{"near": 0.72, "far": 0.1}, nil, "far"},
		{"own requests without reports", nil, map[string]float64{"near": 90000}, "far"},
		{"own requests beside an old report", map[string]float64{"near": 0.1, "far": 0.1},
			map[string]float64{"near": 90000}, "far"},
		{"no report counts as average", map[string]float64{"near": 0.9, "mid": 0.3}, nil, "mid"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("near", 0), decodeServer("mid", 1), decodeServer("far", 2))
			for id, x := range tt.used {
				v := gateway.scheduler.servers[ServerID(id)]
				v.report, v.reportAt = Report{ReportMemory: x}, gateway.scheduler.now
			}
			for id, x := range tt.held {
				gateway.scheduler.servers[ServerID(id)].decodeTokens = x
			}
			pool := []*trackedServer{gateway.scheduler.servers["near"], gateway.scheduler.servers["mid"], gateway.scheduler.servers["far"]}
			if tt.want != "mid" {
				pool = []*trackedServer{pool[0], pool[2]}
			}
			if got := gateway.scheduler.pickByFreeMemory(pool, gateway.scheduler.servers["r1"]); string(got.ID) != tt.want {
				t.Errorf("picked %s, want %s", got.ID, tt.want)
			}
		})
	}
}

// The older a report, the less it counts against the mean of all reports: a decode server that reported an hour ago that
// it is almost full is taken to have average free memory.
func TestDecodeChoice_OldReport(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("near", 0), decodeServer("far", 2))
	near, far := gateway.scheduler.servers["near"], gateway.scheduler.servers["far"]
	for age, want := range map[time.Duration]*trackedServer{0: far, time.Hour: near} {
		near.report, near.reportAt = Report{ReportMemory: 0.9}, gateway.scheduler.now-age
		far.report, far.reportAt = Report{ReportMemory: 0.1}, gateway.scheduler.now-age
		if got := gateway.scheduler.pickByFreeMemory([]*trackedServer{near, far}, gateway.scheduler.servers["r1"]); got != want {
			t.Errorf("reports %v old: picked %s, want %s", age, got.ID, want.ID)
		}
	}
}

// A connection may fail although the decode server that holds the reservation, and has fetched the KV state, is healthy.
// It is tried once more before other servers, which have neither.
func TestReservation_ConnectionFails(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 0))
	gateway.requestChat("a", 1, 0)
	reservation, _ := firstAction[Reserve](gateway)
	gateway.handle(ReservationResult{ID: "a", Server: reservation.Server, Held: true})
	gateway.endAttempt("a", 0, "r1", StatusPrefilled)
	gateway.expectSentTo(string(reservation.Server))
	gateway.endAttempt("a", 1, string(reservation.Server), StatusConnectFailed)
	gateway.expectSentTo(string(reservation.Server))
	gateway.endAttempt("a", 2, string(reservation.Server), StatusConnectFailed)
	if next, _ := firstAction[Send](gateway); next.Server == reservation.Server || next.Server == "" {
		t.Errorf("third attempt at %q, want another server than the holder", next.Server)
	}
}

// After a refused reservation the decode server with the next most free memory is asked, once.
func TestReservation_Refused(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 0), decodeServer("w3", 0))
	gateway.requestChat("a", 1, 0)
	first, _ := firstAction[Reserve](gateway)
	gateway.handle(ReservationResult{ID: "a", Server: first.Server})
	second, ok := firstAction[Reserve](gateway)
	if !ok || second.Server == first.Server {
		t.Fatalf("after %s refused a reservation: actions %v, want a reservation at another server", first.Server, gateway.actions)
	}
	gateway.handle(ReservationResult{ID: "a", Server: second.Server})
	expectNoAction[Reserve](gateway)
}

// The decode server that granted the reservation gets the attempt, although another has more free memory by then.
func TestReservation_Granted(t *testing.T) {
	gateway := newGateway(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0), decodeServer("w2", 0))
	gateway.requestChat("a", 1, 0)
	reservation, _ := firstAction[Reserve](gateway)
	gateway.handle(ReservationResult{ID: "a", Server: reservation.Server, Held: true})
	gateway.scheduler.servers[reservation.Server].decodeTokens = 90000 // no longer the one with the most free memory
	gateway.endAttempt("a", 0, "r1", StatusPrefilled)
	gateway.expectSentTo(string(reservation.Server))
}

// No reservation is asked for where the settings don't allow it.
func TestReservation_Disabled(t *testing.T) {
	settings := testSettings()
	settings.Reservations = false
	gateway := newGateway(t, settings, prefillServer("r1"), decodeServer("w1", 0))
	gateway.requestChat("a", 1, 0)
	gateway.expectSentTo("r1")
	expectNoAction[Reserve](gateway)
}

// While transfers of KV state between cells are slow, prompts go to cells where a decode server has free memory.
// Otherwise they go where their prefix is cached.
func TestPrefillChoice_SlowTransfers(t *testing.T) {
	for _, tt := range []struct {
		name       string
		farLatency time.Duration
		age        time.Duration
		used       map[ServerID]float64
		want       string
	}{
		{"transfers are fast", 60 * ms, 0, nil, "r1"},
		{"transfers are slow", 2 * time.Second, 0, nil, "r2"},
		{"transfers were slow long ago", 2 * time.Second, time.Minute, nil, "r1"},
		{"decode server is full", 2 * time.Second, 0, map[ServerID]float64{"w2": 0.9, "w3": 0.1}, "r3"},
	} {
		servers := []Server{prefillServer("r1"), prefillServer("r2"), prefillServer("r3"), decodeServer("w2", 2), decodeServer("w3", 3)}
		for i := range 3 {
			servers[i].Cell = i + 1 // there is no decode server in the cell of r1
		}
		gateway := newGateway(t, testSettings(), servers...)
		req := &trackedRequest{Request: Request{Session: 1, Prefix: 7, PrefixTokens: 160, PromptTokens: 320}}
		gateway.scheduler.stageLatency[stageDecode].Observe(gateway.now, 50*ms, 320)
		gateway.scheduler.stageLatency[stageDecodeFar].Observe(gateway.now, tt.farLatency, 320)
		gateway.now += tt.age
		if tt.used == nil {
			tt.used = map[ServerID]float64{"w2": 0.1, "w3": 0.9}
		}
		for id, x := range tt.used {
			gateway.scheduler.servers[id].report, gateway.scheduler.servers[id].reportAt = Report{ReportMemory: x}, gateway.now
		}
		gateway.scheduler.now = gateway.now
		gateway.scheduler.prefixTable.Record(gateway.now, gateway.scheduler.servers["r1"].prefixRuns, req.prefixParts(), true)
		gateway.requestChat("a", 1, 7)
		if a, _ := firstAction[Send](gateway); string(a.Server) != tt.want {
			t.Errorf("%s: sent to %q, want %s", tt.name, a.Server, tt.want)
		}
	}
}
