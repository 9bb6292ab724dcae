package ashwood

import (
	"fmt"
	"testing"
)

// Each of three hundred gateways sees a prefix only a few times. Where engines report their load, the prefix has two
// affinity targets, and gateways avoid them when they are overloaded. Without load reports nothing would show an overload,
// so the sessions of one prefix are spread over more servers from the first request on. Few gateways see enough by
// themselves and need no such spread.
func TestAffinityTargets_NoLoadReports(t *testing.T) {
	for _, tt := range []struct {
		nodes                  int
		reports                ReportMode
		minTargets, maxTargets int
	}{{300, ReportNone, 6, 8}, {300, ReportInline, 1, 2}, {300, ReportProbe, 1, 2}, {4, ReportNone, 1, 2}} {
		settings := settingsForGateways(tt.nodes)
		settings.Reports = tt.reports
		gateway := newGateway(t, settings, newFleet(40, 40)...)
		pool := gateway.scheduler.eligibleServers(&trackedRequest{Request: Request{ID: "q"}, class: gateway.scheduler.classes["chat"]}, isPrefill)
		found := map[ServerID]bool{}
		for session := range uint64(200) {
			req := &trackedRequest{Request: Request{ID: "q", Prefix: 7, Session: session + 1, PrefixTokens: 64, PromptTokens: 640},
				class: gateway.scheduler.classes["chat"]}
			for _, v := range gateway.scheduler.affinityTargets(req, pool) {
				found[v.ID] = true
			}
		}
		if len(pool) != 40 || len(found) < tt.minTargets || len(found) > tt.maxTargets {
			t.Errorf("%d gateways, report mode %d: %d affinity targets among %d prefill servers, want %d to %d",
				tt.nodes, tt.reports, len(found), len(pool), tt.minTargets, tt.maxTargets)
		}
	}
}

// A prefix that many prompts begin with has more than two affinity targets. One that few begin with has two where engines
// report their load, and a fifth of the prefill servers where they don't.
func TestAffinityTargets_PopularPrefix(t *testing.T) {
	for _, tt := range []struct {
		reports           ReportMode
		every, maxTargets int // the prefix begins every second prompt, or every fortieth
	}{{ReportInline, 2, 30}, {ReportInline, 40, 2}, {ReportNone, 2, 30}, {ReportNone, 40, 6}} {
		every, maxTargets := tt.every, tt.maxTargets
		settings := settingsForGateways(100)
		settings.Reports = tt.reports
		gateway := newGateway(t, settings, newFleet(30, 30)...)
		seen := map[*trackedServer]bool{}
		for i := 0; i < 200; i++ {
			req := &trackedRequest{Request: Request{Session: uint64(i), Prefix: uint64(i%every + 1), PrefixTokens: 160, PromptTokens: 320}}
			targets := gateway.scheduler.affinityTargets(req, gateway.scheduler.eligibleServers(req, isPrefill))
			gateway.scheduler.prefixTable.Record(gateway.now, targets[0].prefixRuns, req.prefixParts(), false)
			if req.Prefix == 1 {
				seen[targets[0]] = true
			}
		}
		if len(seen) > maxTargets || maxTargets == 30 && len(seen) < 8 {
			t.Errorf("report mode %d, prefix in one of %d prompts: %d affinity targets", tt.reports, every, len(seen))
		}
	}
}

// A prefill server that doesn't answer a probe in time has more work waiting than any report says. It is avoided in favour
// of one that does, or of others that are probed next, as long as there are any.
func TestPrefillChoice_ProbeUnanswered(t *testing.T) {
	for _, tt := range []struct {
		name          string
		servers       int
		answersInTime func(probed int) bool // whether the nth server probed answers in time
		sentToSilent  bool                  // whether the request goes to one that didn't
	}{
		{"both targets answer", 10, func(int) bool { return true }, false},
		{"one target answers", 10, func(probed int) bool { return probed != 0 }, false},
		{"no target answers, others do", 10, func(probed int) bool { return probed > 1 }, false},
		{"none answers", 10, func(int) bool { return false }, false},
		{"none answers and there are no others", 2, func(int) bool { return false }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			settings := settingsForGateways(300)
			settings.Reports, settings.Limits.Probes = ReportInline, true
			gateway := newGateway(t, settings, newFleet(tt.servers, 4)...)
			silent := map[ServerID]bool{}
			probed := 0
			gateway.requestChat("q", 1, 7)
			for range 3 {
				if _, sent := firstAction[Send](gateway); sent {
					break
				}
				var timer SetTimer
				var answered []ServerID
				for _, action := range gateway.actions {
					switch a := action.(type) {
					case Probe:
						silent[a.Server] = !tt.answersInTime(probed)
						if probed++; !silent[a.Server] {
							answered = append(answered, a.Server)
						}
					case SetTimer:
						timer = a
					}
				}
				for _, id := range answered {
					gateway.handle(ProbeResult{Server: id, Status: StatusServed, Report: Report{ReportInFlight: 0, ReportQueue: 0}})
				}
				gateway.now = timer.At
				gateway.handle(TimerFired{timer.Token})
			}
			attempt, sent := firstAction[Send](gateway)
			if !sent || silent[attempt.Server] != tt.sentToSilent || probed == 0 {
				t.Errorf("sent to %q (%v) after %d probes, of which these were unanswered: %v", attempt.Server, sent, probed, silent)
			}
		})
	}
}

// Where servers report waiting tokens, these are their load rather than the number of requests, as a few long prompts are
// more work than many short ones.
func TestReportedLoad_TokensOrRequests(t *testing.T) {
	gateway := newGateway(t, settingsForGateways(300), newFleet(2, 2)...)
	gateway.scheduler.meanPromptTokens = 1000
	short := Report{ReportInFlight: 9, ReportQueue: 8, ReportWaiting: 2}
	long := Report{ReportInFlight: 2, ReportQueue: 1, ReportWaiting: 60}
	for report, want := range map[*Report]float64{&short: 2, &long: 60, {ReportInFlight: 9, ReportQueue: 8}: 9, {}: 0} {
		if got := gateway.scheduler.reportedLoad(&trackedServer{report: *report}); got != want {
			t.Errorf("report %v: load of %v requests, want %v", *report, got, want)
		}
	}
	fewGateways := newGateway(t, settingsForGateways(4), newFleet(2, 2)...)
	fewGateways.scheduler.meanPromptTokens = 1000
	if got := fewGateways.scheduler.reportedLoad(&trackedServer{report: long}); got != 2 {
		t.Errorf("with four gateways, which count requests themselves: load %v, want 2", got)
	}
	gateway.scheduler.meanPromptTokens = 0
	if got := gateway.scheduler.reportedLoad(&trackedServer{report: long}); got != 2 {
		t.Errorf("before the mean prompt length is known: load %v, want 2", got)
	}
}

// A prefill server in slow start is preferred to the affinity target if, by recent load reports of both, it will finish
// the prompt earlier. A warm server that is idle is not, as a server that fails at once looks idle too.
func TestPrefillChoice_ServerInSlowStart(t *testing.T) {
	for _, tt := range []struct {
		name                         string
		targetWaiting, otherWaiting  float64 // thousands of tokens waiting at the affinity target and at the other server
		reported, inSlowStart, taken bool
	}{
		{"target idle", 0, 0, true, true, false},
		{"target has a few prompts", 0.5, 0, true, true, false},
		{"target is busy", 3, 0, true, true, true},
		{"both are busy", 3, 3, true, true, false},
		{"target is busy, the other has not reported recently", 3, 0, false, true, false},
		{"target is busy, the idle one is warm", 3, 0, true, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			settings := settingsForGateways(300)
			settings.Reports = ReportInline
			gateway := newGateway(t, settings, newFleet(12, 2)...)
			gateway.scheduler.meanPromptTokens, gateway.scheduler.now = 400, gateway.now
			req := &trackedRequest{Request: Request{ID: "q", Session: 3, Prefix: 7, PrefixTokens: 160, PromptTokens: 320}, class: gateway.scheduler.classes["chat"]}
			pool := gateway.scheduler.eligibleServers(req, isPrefill)
			targets := gateway.scheduler.affinityTargets(req, pool)
			for _, v := range pool { // all others have as much waiting as the target
				v.report, v.reportAt = Report{ReportWaiting: tt.targetWaiting}, gateway.now
			}
			var other *trackedServer
			for _, v := range pool {
				if v != targets[0] && v != targets[1] {
					other = v
				}
			}
			if tt.inSlowStart {
				other.Started = gateway.now
			}
			other.report, other.reportAt = Report{ReportWaiting: tt.otherWaiting}, gateway.now
			if !tt.reported {
				other.reportAt -= loadProbeInterval
			}
			if got := gateway.scheduler.pickByPrefix(req, pool); (got == other) != tt.taken {
				t.Errorf("sent to %s; affinity target %s, other server %s", got.ID, targets[0].ID, other.ID)
			}
		})
	}
}

// A prefix has one affinity target in the gateway's own zone, the same for all gateways of the zone, and one in another
// zone. The own one is chosen where both have the same load, the other where the own one is busier.
func TestAffinityTargets_TwoZones(t *testing.T) {
	for _, nodes := range []int{2, 4, manyNodes, 300} {
		t.Run(fmt.Sprint(nodes, " gateways"), func(t *testing.T) { checkAffinityTargetsByZone(t, nodes) })
	}
}

// checkAffinityTargetsByZone checks TestAffinityTargets_TwoZones for a number of gateways.
func checkAffinityTargetsByZone(t *testing.T, nodes int) {
	fleet := newFleet(20, 4)
	for i := range fleet {
		if i%2 == 1 {
			fleet[i].Zone = "b"
		}
	}
	firstTarget := map[string]map[uint64]ServerID{"a": {}, "b": {}}
	for seed := range 5 {
		for _, zone := range []string{"a", "b"} {
			settings := settingsForGateways(nodes)
			settings.Zone, settings.Reports = zone, ReportInline
			gateway := newGateway(t, settings, fleet...)
			gateway.scheduler.rng.Seed(int64(seed))
			for key := range uint64(50) {
				req := &trackedRequest{Request: Request{ID: "q", Session: key%3 + 1, Prefix: key/3 + 1, PrefixTokens: 160, PromptTokens: 320},
					class: gateway.scheduler.classes["chat"]}
				pool := gateway.scheduler.eligibleServers(req, isPrefill)
				targets := gateway.scheduler.affinityTargets(req, pool)
				if len(targets) != 2 || targets[0].Zone != zone || targets[1].Zone == zone {
					t.Fatalf("affinity targets %v in zone %s, want one in this zone and then one elsewhere", targets, zone)
				}
				if previous, ok := firstTarget[zone][key]; ok && previous != targets[0].ID {
					t.Errorf("key %d: gateways of zone %s have the targets %s and %s", key, zone, previous, targets[0].ID)
				}
				firstTarget[zone][key] = targets[0].ID
				for _, v := range pool {
					v.report, v.reportAt = Report{ReportInFlight: 3}, gateway.scheduler.now
				}
				if got := gateway.scheduler.pickByPrefix(req, pool); got != targets[0] {
					t.Errorf("key %d: sent to %s, want the target %s in the own zone", key, got.ID, targets[0].ID)
				}
				targets[0].report = Report{ReportInFlight: 5}
				if got := gateway.scheduler.pickByPrefix(req, pool); got != targets[1] {
					t.Errorf("key %d: sent to %s, want the target %s in the other zone", key, got.ID, targets[1].ID)
				}
			}
		}
	}
}
