package ashwood

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"ashwood.example/ashwood/internal/trend"
)

// This file tests fleets with many gateways, each of which sees few of the requests.

// settingsForGateways returns settings for a number of gateways, with servers that report no load.
func settingsForGateways(nodes int) Settings {
	settings := testSettings()
	settings.Nodes, settings.Reports = nodes, ReportNone
	return settings
}

// newFleet returns prefill and decode servers in cells of two prefill and three decode servers.
func newFleet(prefillServers, decodeServers int) (servers []Server) {
	for i := 0; i < prefillServers; i++ {
		server := prefillServer(fmt.Sprint("r", i))
		server.Cell = i / 2
		servers = append(servers, server)
	}
	for i := 0; i < decodeServers; i++ {
		servers = append(servers, decodeServer(fmt.Sprint("w", i), i/3))
	}
	return servers
}

// With many gateways, one prefill of the gateway's own in flight must not divert a prompt from the server that holds its
// prefix. Multiplied by the number of gateways, it had exceeded both the gap and the cap on load.
func TestPrefillChoice_ManyGateways(t *testing.T) {
	for _, nodes := range []int{50, 300} {
		gateway := newGateway(t, settingsForGateways(nodes), newFleet(30, 30)...)
		gateway.requestChat("a", 1, 7)
		first, _ := firstAction[Send](gateway)
		gateway.requestChat("b", 1, 7)
		gateway.expectSentTo(string(first.Server))
	}
}

// Each of many gateways has no recent report of most servers. A server without a report counts as having the mean load,
// not as idle. Otherwise all gateways would prefer it to an affinity target that has reported, and overload it.
func TestPrefillChoice_ServerWithoutReport(t *testing.T) {
	for _, nodes := range []int{50, 300} {
		settings := settingsForGateways(nodes)
		settings.Reports = ReportInline
		gateway := newGateway(t, settings, newFleet(30, 0)...)
		gateway.requestChat("a", 1, 7)
		first, _ := firstAction[Send](gateway)
		for _, v := range gateway.scheduler.sortedServers {
			switch v.ID {
			case first.Server: // it holds the prefix and is busy
				v.report, v.reportAt = Report{ReportInFlight: 2}, gateway.now
			case "r1", "r2", "r3":
				v.report, v.reportAt = Report{ReportInFlight: 3}, gateway.now
			}
		}
		gateway.scheduler.servers[first.Server].pendingPrefills = 0 // the gateway's own requests in flight must not matter
		for key := uint64(2); ; key++ {                             // find a session with the same affinity target
			otherGateway := newGateway(t, settings, newFleet(30, 0)...)
			otherGateway.requestChat("b", key, 7)
			if a, _ := firstAction[Send](otherGateway); a.Server == first.Server {
				gateway.requestChat("b", key, 7)
				gateway.expectSentTo(string(first.Server))
				break
			}
		}
		gateway.scheduler.servers[first.Server].report = Report{ReportInFlight: 30}
		if gateway.requestChat("c", 1, 7); slices.Contains(gateway.actions, Action(Send{ID: "c", Server: first.Server, Timeout: 5 * time.Second})) {
			t.Errorf("%d gateways: request sent to an overloaded affinity target", nodes)
		}
	}
}

// The estimate for the fleet multiplies a gateway's own count by the number of gateways where that is reliable. With many
// gateways a small count may be chance and must not be multiplied.
func TestFleetEstimate_ManyGateways(t *testing.T) {
	for _, tt := range []struct {
		nodes     int
		own, mean float64
		low, high float64
	}{
		{1, 3, 1, 3, 3}, {2, 3, 1, 6, 6}, // own counts are reliable
		{50, 1, 0.04, 1, maxLoadGap}, {300, 1, 0.01, 1, maxLoadGap}, // chance
		{50, 20, 2, 300, 1000}, // more than chance gives
		{50, 0, 0, 0, 0},
	} {
		if got := trend.FleetTotal(tt.nodes, tt.own, tt.mean, 1); got < tt.low || got > tt.high {
			t.Errorf("%d gateways, own count %v, mean %v: estimate %v, want %v to %v", tt.nodes, tt.own, tt.mean, got, tt.low, tt.high)
		}
	}
}

// A gateway that receives something from a server only every many seconds must not take silence for a fault. With many
// gateways an attempt past its limit is cancelled only when its aim has passed.
func TestOverdueAttempt_ManyGateways(t *testing.T) {
	for nodes, want := range map[int]bool{1: true, 100: false} {
		gateway := newGateway(t, settingsForGateways(nodes), newFleet(20, 20)...)
		for i := 0; i < 30; i++ {
			gateway.now += time.Second
			gateway.scheduler.stageLatency[stagePrefill].Observe(gateway.now, 50*ms, 320)
		}
		gateway.requestChat("a", 1, 0)
		first, _ := firstAction[Send](gateway)
		gateway.now += 600 * ms
		gateway.scheduler.now, gateway.scheduler.actions = gateway.now, nil
		gateway.scheduler.handleOverdue(gateway.scheduler.requests["a"], 0)
		gateway.actions = gateway.scheduler.actions
		if _, got := firstAction[Cancel](gateway); got != want {
			t.Errorf("%d gateways: cancelled %v, want %v", nodes, got, want)
		}
		gateway.now += time.Second
		gateway.scheduler.now, gateway.scheduler.actions = gateway.now, nil
		gateway.scheduler.handleOverdue(gateway.scheduler.requests["a"], 0)
		gateway.actions = gateway.scheduler.actions
		expectAction[Cancel](gateway) // the answer may never come although the server serves others
		gateway.endAttempt("a", 0, string(first.Server), StatusCancelled)
		if second, _ := firstAction[Send](gateway); second.Server == first.Server || second.Server == "" {
			t.Errorf("%d gateways: first attempt at %s, second at %q, want another server", nodes, first.Server, second.Server)
		}
	}
}

// With many gateways, requests of the others may be waiting although none of the gateway's own are. High latencies
// therefore lead to refusals, until they have aged, so that a gateway that refuses tries again.
func TestAdmission_FleetLatencies(t *testing.T) {
	for _, tt := range []struct {
		nodes   int
		latency time.Duration
		age     time.Duration
		refused bool
	}{
		{2, 3 * time.Second, 0, false}, {300, 3 * time.Second, 0, true},
		{300, 3 * time.Second, 5 * time.Second, false}, {300, 100 * ms, 0, false},
	} {
		gateway := newGateway(t, settingsForGateways(tt.nodes), newFleet(20, 20)...)
		for i := 0; i < 30; i++ {
			gateway.scheduler.stageLatency[stagePrefill].Observe(gateway.now, tt.latency, 320)
		}
		gateway.now += tt.age
		gateway.requestChat("a", 1, 0)
		if _, got := firstAction[Refuse](gateway); got != tt.refused {
			t.Errorf("%d gateways, %v after a latency of %v: refused %v, want %v", tt.nodes, tt.age, tt.latency, got, tt.refused)
		}
	}
}

// A full server refuses at once. One that refuses only after a while has capacity and refuses one class or tenant: other
// classes still go there, this one only if no other server is left.
func TestPause_SlowRefusal(t *testing.T) {
	for latency, usableForOthers := range map[time.Duration]bool{2 * ms: false, 300 * ms: true} {
		gateway := newGateway(t, testSettings(), prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
		gateway.requestChat("a", 1, 7)
		first, _ := firstAction[Send](gateway)
		gateway.handle(Outcome{ID: "a", Server: first.Server, Status: StatusRejected, Latency: latency})
		second, _ := firstAction[Send](gateway)
		if second.Server == first.Server {
			t.Fatalf("refusal after %v: second attempt at the same server %s", latency, first.Server)
		}
		gateway.requestChat("same", 1, 7)
		gateway.expectSentTo(string(second.Server))
		gateway.handle(Request{ID: "other", Class: "pay", Session: 1, Prefix: 7, PrefixTokens: 160, PromptTokens: 160,
			TimeLeft: 5 * time.Second})
		third, _ := firstAction[Send](gateway)
		if got := gateway.scheduler.usable(&trackedRequest{class: gateway.scheduler.classes["pay"]}, gateway.scheduler.servers[first.Server]); got != usableForOthers {
			t.Errorf("refusal after %v: usable for other classes %v, want %v; another class was sent to %s",
				latency, got, usableForOthers, third.Server)
		}
	}
}

// Six in ten engines are replaced at once, while each of eighty gateways sends an engine something only every many
// seconds. The new engines get their share of the load, but none gets more than its slow-start budget allows, although
// many gateways may find that it has the most free memory.
func TestSlowStartBudget_MostServersReplaced(t *testing.T) {
	const nodes, perSecond, seconds = 80, 90, 12
	settings := settingsForGateways(nodes)
	settings.Rules.SlowStartMultiple, settings.Rules.SlowStartCapacity, settings.Rules.SlowStartDuration = 2.5, 0.31, 12*time.Second
	old := newFleet(24, 36)
	patch := []Server{}
	for i, v := range old {
		if i%5 < 3 {
			removed := v
			removed.State = StateRemoved
			replacement := v
			replacement.ID, replacement.Started = "new-"+v.ID, time.Hour
			patch = append(patch, removed, replacement)
		}
	}
	var gateways []*testGateway
	for i := range nodes {
		gateway := newGateway(t, settings, old...)
		gateway.scheduler.rng.Seed(int64(i))
		gateway.now = time.Hour
		gateway.handle(MembershipUpdate{Form: MembershipDelta, Entries: patch})
		gateways = append(gateways, gateway)
	}
	sent := map[ServerID][]time.Duration{}
	for k := range perSecond * seconds {
		gateway := gateways[k%nodes]
		gateway.now = time.Hour + time.Duration(k)*time.Second/perSecond
		id := fmt.Sprint("q", k)
		gateway.requestChat(id, uint64(k), uint64(k%40+1))
		prefillAttempt, _ := firstAction[Send](gateway)
		gateway.endAttempt(id, 0, string(prefillAttempt.Server), StatusPrefilled)
		decodeAttempt, _ := firstAction[Send](gateway)
		gateway.handle(Outcome{ID: RequestID(id), Attempt: 1, Server: decodeAttempt.Server, Status: StatusServed, RequestDone: true, Latency: 9 * ms})
		sent[prefillAttempt.Server], sent[decodeAttempt.Server] = append(sent[prefillAttempt.Server], gateway.now), append(sent[decodeAttempt.Server], gateway.now)
	}
	slowStartShare := settings.Rules.SlowStartMultiple * settings.Rules.SlowStartCapacity
	total := map[Role]int{}
	for _, v := range gateways[0].scheduler.sortedServers {
		if v.Started == 0 {
			continue
		}
		capacity := slowStartShare * perSecond / 36
		if v.role == RolePrefill {
			capacity = slowStartShare * perSecond / 24
		}
		got := sent[v.ID]
		total[v.role] += len(got)
		if maxRequests := capacity*seconds + nodes*2/3; float64(len(got)) > maxRequests { // each gateway may hold credit for a send
			t.Errorf("%s got %d requests, limit %.0f", v.ID, len(got), maxRequests)
		}
		if inWindow := maxWithinWindow(got, settings.Rules.SlowStartWindow); float64(inWindow) > slowStartLimit(capacity) {
			t.Errorf("%s got %d requests within a second, more than its slow-start budget of %.1f and the margin for chance", v.ID, inWindow, capacity)
		}
	}
	// Otherwise the few old servers would carry the load of all; the new ones are six in ten.
	for role, count := range total {
		if share := float64(count) / (perSecond * seconds); share < 0.3 || share > 0.75 {
			t.Errorf("role %d: new servers got %.2f of the requests, want 0.3 to 0.75", role, share)
		}
	}
}

// With eighty gateways and sixty engines, a request leads to two probes at most, whatever the gateway knows, and no
// gateway probes an engine again while its last report is fresh (probeEvery).
func TestProbe_ManyGateways(t *testing.T) {
	const nodes, rounds = 80, 200
	settings := testSettings()
	settings.Nodes, settings.Limits.Probes = nodes, true
	requests, probes := 0, 0
	for i := range nodes {
		gateway := newGateway(t, settings, newFleet(30, 30)...)
		lastProbe := map[ServerID]time.Duration{}
		for k := range rounds {
			gateway.now += 73 * ms
			gateway.requestChat(fmt.Sprint(k), uint64(i*rounds+k), uint64(k%7))
			requests++
			for _, a := range gateway.actions {
				probe, ok := a.(Probe)
				if !ok {
					continue
				}
				probes++
				if lastAt, probedBefore := lastProbe[probe.Server]; probedBefore && gateway.now-lastAt < loadProbeInterval {
					t.Errorf("%s is probed again after %v", probe.Server, gateway.now-lastAt)
				}
				lastProbe[probe.Server] = gateway.now
				gateway.handle(ProbeResult{Server: probe.Server, Status: StatusServed, Report: Report{ReportInFlight: 1}})
			}
		}
	}
	if probes == 0 || probes > maxProbesPerChoice*requests {
		t.Errorf("%d probes for %d requests", probes, requests)
	}
}

// Eighty gateways without load reports must not all choose the decode server with the largest memory in the prefill
// server's cell, as answers there would come too slowly.
func TestDecodeChoice_ManyGateways(t *testing.T) {
	// The least share of answers at the small server, by gateways; its share of the memory is 0.33.
	for nodes, minShare := range map[int]float64{3: 0, 80: 0.25} {
		settings := settingsForGateways(nodes)
		settings.Kinds = []Kind{{Name: "prefill", Role: RolePrefill}, {Name: "decode", Role: RoleDecode, MemoryTokens: 200e3},
			{Name: "small", Role: RoleDecode, MemoryTokens: 100e3}}
		small, answers := 0, 0
		for seed := range int64(80) {
			smallServer := decodeServer("small", 0)
			smallServer.Kind = "small"
			gateway := newGateway(t, settings, prefillServer("r1"), decodeServer("large", 0), smallServer)
			gateway.scheduler.rng.Seed(seed)
			for i := range 5 {
				gateway.requestChat(fmt.Sprint(i), uint64(i), 0)
				gateway.endAttempt(fmt.Sprint(i), 0, "r1", StatusPrefilled)
				decodeAttempt, _ := firstAction[Send](gateway)
				if answers++; decodeAttempt.Server == "small" {
					small++
				}
				gateway.handle(Outcome{ID: RequestID(fmt.Sprint(i)), Attempt: 1, Server: decodeAttempt.Server, Status: StatusServed, RequestDone: true, Latency: 9 * ms})
			}
		}
		if share := float64(small) / float64(answers); share < minShare || share > 0.45 || nodes == 3 && share > 0 {
			t.Errorf("%d gateways: %.2f of the answers at the small decode server", nodes, share)
		}
	}
}

// A prefill server that hangs still answers probes, and reports ever more in flight. With many gateways it is excluded at
// the first such report. Otherwise its count would exceed the gap for every request, or each gateway would lose a request
// to it.
func TestPrefillChoice_OverloadedServer(t *testing.T) {
	for _, tt := range []struct {
		nodes    int
		inflight float64
		excluded bool
	}{{80, 60, true}, {80, 10, false}, {4, 60, false}} {
		settings := settingsForGateways(tt.nodes)
		settings.Reports, settings.Limits.Probes = ReportInline, true
		gateway := newGateway(t, settings, newFleet(6, 6)...)
		for i := range 6 {
			gateway.handle(ProbeResult{Server: ServerID(fmt.Sprint("r", i)), Status: StatusServed, Report: Report{ReportInFlight: 2}})
		}
		gateway.handle(ProbeResult{Server: "r3", Status: StatusServed, Report: Report{ReportInFlight: tt.inflight}})
		pool := gateway.scheduler.eligibleServers(&trackedRequest{class: gateway.scheduler.classes["chat"]}, isPrefill)
		if excluded := len(pool) == 5; excluded != tt.excluded {
			t.Errorf("%+v: %d of 6 prefill servers to choose from", tt, len(pool))
		}
	}
}

// What a scheduler remembers is bounded by the expiry of prefixes, not by how long it has run: here for ten minutes.
func TestScheduler_MemoryBounded(t *testing.T) {
	gateway := newGateway(t, settingsForGateways(2), newFleet(4, 4)...)
	for i := 0; i < 3000; i++ {
		gateway.now += 200 * ms
		id := fmt.Sprint("q", i)
		gateway.requestChat(id, uint64(i), uint64(i))
		prefillAttempt, _ := firstAction[Send](gateway)
		gateway.endAttempt(id, 0, string(prefillAttempt.Server), StatusPrefilled)
		decodeAttempt, _ := firstAction[Send](gateway)
		gateway.handle(Outcome{ID: RequestID(id), Attempt: 1, Server: decodeAttempt.Server, Status: StatusServed, RequestDone: true, Latency: 9 * ms})
	}
	if maxRuns := int(2 * 2 * blockExpiry / (200 * ms)); gateway.scheduler.prefixTable.Len() > maxRuns || len(gateway.scheduler.requests) > 0 {
		t.Errorf("%d runs and %d requests remembered, want at most %d runs and no request",
			gateway.scheduler.prefixTable.Len(), len(gateway.scheduler.requests), maxRuns)
	}
	if math.Abs(gateway.scheduler.prefixTable.TotalUses()-float64(gateway.scheduler.prefixTable.Len()/2)) > 1 {
		t.Errorf("%v uses counted for %d runs, want half as many", gateway.scheduler.prefixTable.TotalUses(), gateway.scheduler.prefixTable.Len())
	}
}

// BenchmarkRequest takes requests through prefill and decode at one of 300 gateways, with 100 servers.
func BenchmarkRequest(b *testing.B) {
	scheduler, err := New(settingsForGateways(300), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	actions := scheduler.Handle(now, MembershipUpdate{Form: MembershipStale, Entries: newFleet(40, 60)}, nil)
	for i := 0; b.Loop(); i++ {
		now += 500 * ms
		id := RequestID(fmt.Sprint("q", i))
		actions = scheduler.Handle(now, Request{ID: id, Class: "chat", Session: uint64(i / 3), Prefix: uint64(i % 50), PrefixTokens: 3000,
			PromptTokens: 4000, TimeLeft: 5 * time.Second}, actions[:0])
		for number := 0; number < 2; number++ {
			for _, a := range actions {
				if a, ok := a.(Send); ok {
					status := []Status{StatusPrefilled, StatusServed}[number]
					actions = scheduler.Handle(now, Outcome{ID: id, Attempt: number, Server: a.Server, Status: status, RequestDone: number == 1,
						Latency: 50 * ms}, nil)
					break
				}
			}
		}
	}
}
