package ashwood

import (
	"fmt"
	"testing"
)

// Three hundred gateways see a prefix a few times each. Where engines tell their load, its two
// homes are left when they are overrun; where they tell none nothing would show that, and the
// sessions of one prefix are spread over more readers from the first request on. Few gateways
// see enough by themselves.
func TestAffinityTargets_NoLoadReports(t *testing.T) {
	for _, tt := range []struct {
		nodes                  int
		reports                ReportMode
		minTargets, maxTargets int
	}{{300, ReportNone, 6, 8}, {300, ReportInline, 1, 2}, {300, ReportProbe, 1, 2}, {4, ReportNone, 1, 2}} {
		settings := settingsForGateways(tt.nodes)
		settings.Reports = tt.reports
		gateway := newGateway(t, settings, newFleet(40, 40)...)
		pool := gateway.scheduler.pool(&request{Request: Request{ID: "q"}, class: gateway.scheduler.classes["chat"]}, reads)
		found := map[ServerID]bool{}
		for session := range uint64(200) {
			req := &request{Request: Request{ID: "q", Prefix: 7, Session: session + 1, PrefixTokens: 64, PromptTokens: 640}, class: gateway.scheduler.classes["chat"]}
			for _, v := range gateway.scheduler.homes(req, pool) {
				found[v.ID] = true
			}
		}
		if len(pool) != 40 || len(found) < tt.minTargets || len(found) > tt.maxTargets {
			t.Errorf("%d gateways, reports %d: %d homes of %d readers, want %d to %d", tt.nodes, tt.reports, len(found), len(pool), tt.minTargets, tt.maxTargets)
		}
	}
}

// A prefix that much of the traffic begins with has more homes than two, and one that little
// does has two where engines tell their load, a fifth of the readers where they do not.
func TestAffinityTargets_PopularPrefix(t *testing.T) {
	for _, tt := range []struct {
		reports           ReportMode
		every, maxTargets int // every second prompt, or every fortieth
	}{{ReportInline, 2, 30}, {ReportInline, 40, 2}, {ReportNone, 2, 30}, {ReportNone, 40, 6}} {
		every, maxTargets := tt.every, tt.maxTargets
		settings := settingsForGateways(100)
		settings.Reports = tt.reports
		gateway := newGateway(t, settings, newFleet(30, 30)...)
		seen := map[*server]bool{}
		for i := 0; i < 200; i++ {
			req := &request{Request: Request{Session: uint64(i), Prefix: uint64(i%every + 1), PrefixTokens: 160, PromptTokens: 320}}
			targets := gateway.scheduler.homes(req, gateway.scheduler.pool(req, reads))
			gateway.scheduler.table.Record(gateway.now, targets[0].runs, req.parts(), false)
			if req.Prefix == 1 {
				seen[targets[0]] = true
			}
		}
		if len(seen) > maxTargets || maxTargets == 30 && len(seen) < 8 {
			t.Errorf("reports %d, every %d. prompt: %d homes", tt.reports, every, len(seen))
		}
	}
}

// A reader that does not answer a probe in time has more waiting than any report tells: it is
// left for one that does, or for others that are asked then, as long as there are any.
func TestPrefillChoice_ProbeUnanswered(t *testing.T) {
	for _, tt := range []struct {
		name          string
		servers       int
		answersInTime func(probed int) bool // whether the nth reader that is asked answers in time
		sentToSilent  bool                  // whether one that did not may be chosen
	}{
		{"both homes answer", 10, func(int) bool { return true }, false},
		{"one home answers", 10, func(probed int) bool { return probed != 0 }, false},
		{"no home answers, others do", 10, func(probed int) bool { return probed > 1 }, false},
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
				if _, sent := firstAction[Attempt](gateway); sent {
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
					gateway.handle(Probed{Server: id, Status: Served, Report: Report{ReportInFlight: 0, ReportQueue: 0}})
				}
				gateway.now = timer.At
				gateway.handle(Timer{timer.Token})
			}
			attempt, sent := firstAction[Attempt](gateway)
			if !sent || silent[attempt.Server] != tt.sentToSilent || probed == 0 {
				t.Errorf("sent to %q (%v), asked %d, silent %v", attempt.Server, sent, probed, silent)
			}
		})
	}
}

// Where tokens are told, they are the load: few long prompts are more work than many short ones.
func TestReportedLoad_TokensOrRequests(t *testing.T) {
	gateway := newGateway(t, settingsForGateways(300), newFleet(2, 2)...)
	gateway.scheduler.prompt = 1000
	short := Report{ReportInFlight: 9, ReportQueue: 8, ReportWaiting: 2}
	long := Report{ReportInFlight: 2, ReportQueue: 1, ReportWaiting: 60}
	for report, want := range map[*Report]float64{&short: 2, &long: 60, {ReportInFlight: 9, ReportQueue: 8}: 9, {}: 0} {
		if got := gateway.scheduler.running(&server{report: *report}); got != want {
			t.Errorf("%v: load of %v requests, want %v", *report, got, want)
		}
	}
	fewGateways := newGateway(t, settingsForGateways(4), newFleet(2, 2)...)
	fewGateways.scheduler.prompt = 1000
	if got := fewGateways.scheduler.running(&server{report: long}); got != 2 {
		t.Errorf("of four gateways, which count requests themselves: %v, want 2", got)
	}
	gateway.scheduler.prompt = 0
	if got := gateway.scheduler.running(&server{report: long}); got != 2 {
		t.Errorf("before any prompt is known: %v, want 2", got)
	}
}

// A reader in slow start is taken where it will have read the prompt before the home has, by
// what both have told just now; a warm one that is idle is not, as one that fails at once is idle.
func TestPrefillChoice_ServerInSlowStart(t *testing.T) {
	for _, tt := range []struct {
		name                         string
		targetWaiting, otherWaiting  float64 // thousands of tokens that wait there
		reported, inSlowStart, taken bool
	}{
		{"home idle", 0, 0, true, true, false},
		{"home has a few prompts", 0.5, 0, true, true, false},
		{"home is busy", 3, 0, true, true, true},
		{"both are busy", 3, 3, true, true, false},
		{"home is busy, the other not heard from", 3, 0, false, true, false},
		{"home is busy, the idle one is warm", 3, 0, true, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			settings := settingsForGateways(300)
			settings.Reports = ReportInline
			gateway := newGateway(t, settings, newFleet(12, 2)...)
			gateway.scheduler.prompt, gateway.scheduler.now = 400, gateway.now
			req := &request{Request: Request{ID: "q", Session: 3, Prefix: 7, PrefixTokens: 160, PromptTokens: 320}, class: gateway.scheduler.classes["chat"]}
			pool := gateway.scheduler.pool(req, reads)
			targets := gateway.scheduler.homes(req, pool)
			for _, v := range pool { // all others have as much to do as the home
				v.report, v.reportAt = Report{ReportWaiting: tt.targetWaiting}, gateway.now
			}
			var other *server
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
				other.reportAt -= probeEvery
			}
			if got := gateway.scheduler.byPrefix(req, pool); (got == other) != tt.taken {
				t.Errorf("sent to %s, a home is %s, the other %s", got.ID, targets[0].ID, other.ID)
			}
		})
	}
}

// Gateways give a prefix one home in their own zone and one elsewhere, the first alike at all
// of a zone; the own one is taken where both are alike, the other where the own one is busy.
func TestAffinityTargets_TwoZones(t *testing.T) {
	for _, nodes := range []int{2, 4, manyNodes, 300} {
		t.Run(fmt.Sprint(nodes, " gateways"), func(t *testing.T) { checkAffinityTargetsByZone(t, nodes) })
	}
}

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
				req := &request{Request: Request{ID: "q", Session: key%3 + 1, Prefix: key/3 + 1, PrefixTokens: 160, PromptTokens: 320}, class: gateway.scheduler.classes["chat"]}
				pool := gateway.scheduler.pool(req, reads)
				targets := gateway.scheduler.homes(req, pool)
				if len(targets) != 2 || targets[0].Zone != zone || targets[1].Zone == zone {
					t.Fatalf("homes %v in zone %s", targets, zone)
				}
				if previous, ok := firstTarget[zone][key]; ok && previous != targets[0].ID {
					t.Errorf("key %d: a home of zone %s is %s and %s", key, zone, previous, targets[0].ID)
				}
				firstTarget[zone][key] = targets[0].ID
				for _, v := range pool {
					v.report, v.reportAt = Report{ReportInFlight: 3}, gateway.scheduler.now
				}
				if got := gateway.scheduler.byPrefix(req, pool); got != targets[0] {
					t.Errorf("key %d: sent to %s, want the home %s of the own zone", key, got.ID, targets[0].ID)
				}
				targets[0].report = Report{ReportInFlight: 5}
				if got := gateway.scheduler.byPrefix(req, pool); got != targets[1] {
					t.Errorf("key %d: sent to %s, want the other home %s", key, got.ID, targets[1].ID)
				}
			}
		}
	}
}
