package ashwood

import (
	"fmt"
	"testing"
)

// Three hundred gateways see a prefix a few times each. Where engines tell their load, its two
// homes are left when they are overrun; where they tell none nothing would show that, and the
// sessions of one prefix are spread over more readers from the first request on. Few gateways
// see enough by themselves.
func TestAPrefixHasMoreHomesWhereNoLoadIsTold(t *testing.T) {
	for _, tt := range []struct {
		nodes       int
		reports     ReportMode
		least, most int
	}{{300, ReportNone, 6, 8}, {300, ReportInline, 1, 2}, {300, ReportProbe, 1, 2}, {4, ReportNone, 1, 2}} {
		set := nodesOf(tt.nodes)
		set.Reports = tt.reports
		n := newNode(t, set, fleetOf(40, 40)...)
		readers := n.s.eligibleServers(&trackedRequest{Request: Request{ID: "q"}, class: n.s.classes["chat"]}, isPrefill)
		found := map[ServerID]bool{}
		for session := range uint64(200) {
			r := &trackedRequest{Request: Request{ID: "q", Prefix: 7, Session: session + 1, PrefixTokens: 64, PromptTokens: 640}, class: n.s.classes["chat"]}
			for _, v := range n.s.affinityTargets(r, readers) {
				found[v.ID] = true
			}
		}
		if len(readers) != 40 || len(found) < tt.least || len(found) > tt.most {
			t.Errorf("%d gateways, reports %d: %d homes of %d readers, want %d to %d", tt.nodes, tt.reports, len(found), len(readers), tt.least, tt.most)
		}
	}
}

// A prefix that much of the traffic begins with has more homes than two, and one that little
// does has two where engines tell their load, a fifth of the readers where they do not.
func TestPopularPrefixHasMoreHomes(t *testing.T) {
	for _, tt := range []struct {
		reports     ReportMode
		share, most int // every second prompt, or every fortieth
	}{{ReportInline, 2, 30}, {ReportInline, 40, 2}, {ReportNone, 2, 30}, {ReportNone, 40, 6}} {
		share, most := tt.share, tt.most
		set := nodesOf(100)
		set.Reports = tt.reports
		n := newNode(t, set, fleetOf(30, 30)...)
		seen := map[*trackedServer]bool{}
		for i := 0; i < 200; i++ {
			r := &trackedRequest{Request: Request{Session: uint64(i), Prefix: uint64(i%share + 1), PrefixTokens: 160, PromptTokens: 320}}
			homes := n.s.affinityTargets(r, n.s.eligibleServers(r, isPrefill))
			n.s.prefixTable.Record(n.now, homes[0].prefixRuns, r.prefixParts(), false)
			if r.Prefix == 1 {
				seen[homes[0]] = true
			}
		}
		if len(seen) > most || most == 30 && len(seen) < 8 {
			t.Errorf("reports %d, every %d. prompt: %d homes", tt.reports, share, len(seen))
		}
	}
}

// A reader that does not answer a probe in time has more waiting than any report tells: it is
// left for one that does, or for others that are asked then, as long as there are any.
func TestSlowProbe_ReaderIsLeftForOthers(t *testing.T) {
	for _, tt := range []struct {
		name    string
		readers int
		answers func(asked int) bool // whether the nth reader that is asked answers in time
		slow    bool                 // whether one that did not may be chosen
	}{
		{"both homes answer", 10, func(int) bool { return true }, false},
		{"one home answers", 10, func(asked int) bool { return asked != 0 }, false},
		{"no home answers, others do", 10, func(asked int) bool { return asked > 1 }, false},
		{"none answers", 10, func(int) bool { return false }, false},
		{"none answers and there are no others", 2, func(int) bool { return false }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			set := nodesOf(300)
			set.Reports, set.Limits.Probes = ReportInline, true
			n := newNode(t, set, fleetOf(tt.readers, 4)...)
			silent := map[ServerID]bool{}
			asked := 0
			n.ask("q", 1, 7)
			for range 3 {
				if _, sent := pick[Send](n); sent {
					break
				}
				var timer SetTimer
				var answered []ServerID
				for _, action := range n.out {
					switch a := action.(type) {
					case Probe:
						silent[a.Server] = !tt.answers(asked)
						if asked++; !silent[a.Server] {
							answered = append(answered, a.Server)
						}
					case SetTimer:
						timer = a
					}
				}
				for _, id := range answered {
					n.do(ProbeResult{Server: id, Status: StatusServed, Report: Report{ReportInFlight: 0, ReportQueue: 0}})
				}
				n.now = timer.At
				n.do(TimerFired{timer.Token})
			}
			attempt, sent := pick[Send](n)
			if !sent || silent[attempt.Server] != tt.slow || asked == 0 {
				t.Errorf("sent to %q (%v), asked %d, silent %v", attempt.Server, sent, asked, silent)
			}
		})
	}
}

// Where tokens are told, they are the load: few long prompts are more work than many short ones.
func TestLoad_TokensCountBeforeRequests(t *testing.T) {
	n := newNode(t, nodesOf(300), fleetOf(2, 2)...)
	n.s.meanPromptTokens = 1000
	short := Report{ReportInFlight: 9, ReportQueue: 8, ReportWaiting: 2}
	long := Report{ReportInFlight: 2, ReportQueue: 1, ReportWaiting: 60}
	for report, want := range map[*Report]float64{&short: 2, &long: 60, {ReportInFlight: 9, ReportQueue: 8}: 9, {}: 0} {
		if got := n.s.reportedLoad(&trackedServer{report: *report}); got != want {
			t.Errorf("%v: load of %v requests, want %v", *report, got, want)
		}
	}
	few := newNode(t, nodesOf(4), fleetOf(2, 2)...)
	few.s.meanPromptTokens = 1000
	if got := few.s.reportedLoad(&trackedServer{report: long}); got != 2 {
		t.Errorf("of four gateways, which count requests themselves: %v, want 2", got)
	}
	n.s.meanPromptTokens = 0
	if got := n.s.reportedLoad(&trackedServer{report: long}); got != 2 {
		t.Errorf("before any prompt is known: %v, want 2", got)
	}
}

// A reader in slow start is taken where it will have read the prompt before the home has, by
// what both have told just now; a warm one that is idle is not, as one that fails at once is idle.
func TestReaderInSlowStart_TakenWhereItIsSooner(t *testing.T) {
	for _, tt := range []struct {
		name              string
		home, cold        float64 // thousands of tokens that wait there
		heard, inSlow, ok bool
	}{
		{"home idle", 0, 0, true, true, false},
		{"home has a few prompts", 0.5, 0, true, true, false},
		{"home is busy", 3, 0, true, true, true},
		{"both are busy", 3, 3, true, true, false},
		{"home is busy, the other not heard from", 3, 0, false, true, false},
		{"home is busy, the idle one is warm", 3, 0, true, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			set := nodesOf(300)
			set.Reports = ReportInline
			n := newNode(t, set, fleetOf(12, 2)...)
			n.s.meanPromptTokens, n.s.now = 400, n.now
			r := &trackedRequest{Request: Request{ID: "q", Session: 3, Prefix: 7, PrefixTokens: 160, PromptTokens: 320}, class: n.s.classes["chat"]}
			readers := n.s.eligibleServers(r, isPrefill)
			homes := n.s.affinityTargets(r, readers)
			for _, v := range readers { // all others have as much to do as the home
				v.report, v.reportAt = Report{ReportWaiting: tt.home}, n.now
			}
			var other *trackedServer
			for _, v := range readers {
				if v != homes[0] && v != homes[1] {
					other = v
				}
			}
			if tt.inSlow {
				other.Started = n.now
			}
			other.report, other.reportAt = Report{ReportWaiting: tt.cold}, n.now
			if !tt.heard {
				other.reportAt -= loadProbeInterval
			}
			if got := n.s.pickByPrefix(r, readers); (got == other) != tt.ok {
				t.Errorf("sent to %s, a home is %s, the other %s", got.ID, homes[0].ID, other.ID)
			}
		})
	}
}

// Gateways give a prefix one home in their own zone and one elsewhere, the first alike at all
// of a zone; the own one is taken where both are alike, the other where the own one is busy.
func TestHomes_OneInTheOwnZone(t *testing.T) {
	for _, nodes := range []int{2, 4, manyNodes, 300} {
		t.Run(fmt.Sprint(nodes, " gateways"), func(t *testing.T) { homesByZone(t, nodes) })
	}
}

func homesByZone(t *testing.T, nodes int) {
	fleet := fleetOf(20, 4)
	for i := range fleet {
		if i%2 == 1 {
			fleet[i].Zone = "b"
		}
	}
	first := map[string]map[uint64]ServerID{"a": {}, "b": {}}
	for seed := range 5 {
		for _, zone := range []string{"a", "b"} {
			set := nodesOf(nodes)
			set.Zone, set.Reports = zone, ReportInline
			n := newNode(t, set, fleet...)
			n.s.rng.Seed(int64(seed))
			for key := range uint64(50) {
				r := &trackedRequest{Request: Request{ID: "q", Session: key%3 + 1, Prefix: key/3 + 1, PrefixTokens: 160, PromptTokens: 320}, class: n.s.classes["chat"]}
				readers := n.s.eligibleServers(r, isPrefill)
				homes := n.s.affinityTargets(r, readers)
				if len(homes) != 2 || homes[0].Zone != zone || homes[1].Zone == zone {
					t.Fatalf("homes %v in zone %s", homes, zone)
				}
				if was, ok := first[zone][key]; ok && was != homes[0].ID {
					t.Errorf("key %d: a home of zone %s is %s and %s", key, zone, was, homes[0].ID)
				}
				first[zone][key] = homes[0].ID
				for _, v := range readers {
					v.report, v.reportAt = Report{ReportInFlight: 3}, n.s.now
				}
				if got := n.s.pickByPrefix(r, readers); got != homes[0] {
					t.Errorf("key %d: sent to %s, want the home %s of the own zone", key, got.ID, homes[0].ID)
				}
				homes[0].report = Report{ReportInFlight: 5}
				if got := n.s.pickByPrefix(r, readers); got != homes[1] {
					t.Errorf("key %d: sent to %s, want the other home %s", key, got.ID, homes[1].ID)
				}
			}
		}
	}
}
