package ashwood

import (
	"strings"
	"testing"
	"time"
)

func TestReaderPick(t *testing.T) {
	tests := []struct {
		name  string
		reads map[string]int // unfinished
		holds map[string]int // prompts of the prefix read before
		want  string
	}{
		{"match beats an idle reader", map[string]int{"r1": 1}, map[string]int{"r1": 1}, "r1"},
		{"equal matches go by count", map[string]int{"r1": 3, "r2": 1}, map[string]int{"r1": 1, "r2": 1}, "r2"},
		{"gap ignores matches", map[string]int{"r1": maxLoadGap + 1}, map[string]int{"r1": 1}, "r2"},
		{"at the gap matches count", map[string]int{"r1": maxLoadGap}, map[string]int{"r1": 1}, "r1"},
		{"above mean and deviations", map[string]int{"r1": 12}, map[string]int{"r1": 1}, "not r1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := []Server{reader("r1"), reader("r2")}
			if strings.HasPrefix(tt.name, "above") { // one of six stands out by more than two deviations
				list = append(list, reader("r3"), reader("r4"), reader("r5"), reader("r6"))
			}
			n := newNode(t, settings(), list...)
			r := &trackedRequest{Request: Request{Session: 1, Prefix: 7, PrefixTokens: 160, PromptTokens: 320}}
			for _, v := range n.s.sortedServers {
				v.pendingPrefills = tt.reads[string(v.ID)]
				if tt.holds[string(v.ID)] > 0 {
					n.s.prefixTable.Record(n.now, v.prefixRuns, r.prefixParts(), true)
				}
			}
			got := n.s.pickByPrefix(r, n.s.sortedServers)
			if string(got.ID) != tt.want && (tt.want != "not r1" || got.ID == "r1") {
				t.Errorf("picked %s, want %s", got.ID, tt.want)
			}
		})
	}
}

// A prefix has two homes, the session tells which: alike at all nodes, so that
// a session's next turn finds its texts although another node decides.
func TestUnknownPrefixIsHashedAlikeAtAllNodes(t *testing.T) {
	list := []Server{reader("r1"), reader("r2"), reader("r3"), writer("w1", 0)}
	seen := map[ServerID]bool{}
	for p := uint64(1); p < 30; p++ {
		homes := map[ServerID]bool{}
		for session := uint64(1); session < 10; session++ {
			a, b := newNode(t, settings(), list...), newNode(t, settings(), list[2], list[0], list[1], list[3])
			a.ask("x", session, p)
			b.ask("y", session, p)
			x, _ := pick[Send](a)
			y, _ := pick[Send](b)
			if x.Server != y.Server {
				t.Fatalf("prefix %d, session %d: %s and %s", p, session, x.Server, y.Server)
			}
			seen[x.Server], homes[x.Server] = true, true
		}
		if len(homes) > 2 {
			t.Errorf("prefix %d has %d homes", p, len(homes))
		}
	}
	if len(seen) != 3 {
		t.Errorf("30 prefixes hash to %d of 3 readers", len(seen))
	}
}

// A prefix that only an ejected reader holds is not unknown: it goes to the
// fewest-running reader, not to a hash that may be busy.
func TestPrefixHeldByAnEjectedReaderIsKnown(t *testing.T) {
	for p := uint64(1); p < 20; p++ {
		n := newNode(t, settings(), reader("r1"), reader("r2"), reader("r3"), writer("w1", 0))
		r := &trackedRequest{Request: Request{Session: 1, Prefix: p, PrefixTokens: 160, PromptTokens: 320}}
		n.s.prefixTable.Record(n.now, n.s.servers["r1"].prefixRuns, r.prefixParts(), true)
		n.s.servers["r1"].ejected, n.s.servers["r1"].ejectedUntil = true, n.now+time.Hour
		n.s.servers["r2"].pendingPrefills = 1
		n.ask("x", 1, p)
		n.sentTo("r3")
	}
}

func TestBlocksExpireAndAreCapped(t *testing.T) {
	n := newNode(t, settings(), reader("r1"))
	v := n.s.servers["r1"]
	r := &trackedRequest{Request: Request{Session: 1, PromptTokens: 320}}
	n.s.now = n.now
	n.s.prefixTable.Record(n.now, v.prefixRuns, r.prefixParts(), true)
	if got, _ := n.s.matchPrefix(r, v); got != 320 {
		t.Fatalf("holds %v tokens, want 320", got)
	}
	n.s.now += blockExpiry
	if got, _ := n.s.matchPrefix(r, v); got != 0 {
		t.Errorf("holds %v tokens after the expiry", got)
	}
	for i := uint64(2); i < 30; i++ {
		n.s.prefixTable.Record(n.now, v.prefixRuns, (&trackedRequest{Request: Request{Session: i, PromptTokens: 10000 * blockTokens}}).prefixParts(), false)
	}
	if n.s.prefixTable.Blocks() != maxBlocks || n.s.prefixTable.Len() != len(v.prefixRuns) || len(v.prefixRuns) != 20 {
		t.Errorf("table holds %d blocks in %d and %d runs, want %d", n.s.prefixTable.Blocks(), n.s.prefixTable.Len(), len(v.prefixRuns), maxBlocks)
	}
}

// A reader that kept under half of what it surely held has forgotten the rest:
// the other prefixes aimed at it must not follow.
func TestFlushVoidsAReadersBlocks(t *testing.T) {
	for _, tt := range []struct{ kept, want float64 }{{0, 0}, {320, 320}} {
		n := newNode(t, settings(), reader("r1"), writer("w1", 0))
		n.ask("other", 2, 0)
		n.end("other", 0, "r1", StatusPrefilled)
		n.ask("a", 1, 0)
		n.end("a", 0, "r1", StatusPrefilled)
		n.now += 100 * ms
		n.ask("b", 1, 0)
		n.now += 50 * ms
		n.do(Outcome{ID: "b", Server: "r1", Status: StatusPrefilled, Detail: tt.kept, Latency: 50 * ms})
		other := &trackedRequest{Request: Request{Session: 2, PromptTokens: 320}}
		if got, _ := n.s.matchPrefix(other, n.s.servers["r1"]); got != tt.want {
			t.Errorf("kept %v: the other session's match is %v, want %v", tt.kept, got, tt.want)
		}
	}
}

func TestNewStartTimeEmptiesBlocks(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0))
	n.ask("a", 1, 0)
	v := reader("r1")
	v.Started = n.now
	n.do(MembershipUpdate{Form: MembershipDelta, Entries: []Server{v}})
	if got := len(n.s.servers["r1"].prefixRuns); got != 0 {
		t.Errorf("%d blocks left after a restart", got)
	}
}

// Counts of this node alone would set off the gap test against reports of all nodes.
func TestCountsAreOnTheFleetsScale(t *testing.T) {
	set := settings()
	set.Nodes = 3
	n := newNode(t, set, reader("r1"))
	v := n.s.servers["r1"]
	v.pendingPrefills = 2
	count, _ := n.s.loadEstimate(RoleRead)
	if got := count(v); got != 6 {
		t.Errorf("count is %v, want 6", got)
	}
	n.do(ProbeResult{Server: "r1", Status: StatusServed, Report: Report{ReportInFlight: 9}})
	if got := count(v); got != 9 {
		t.Errorf("count is %v, want the reported 9", got)
	}
}

func TestWriterPick(t *testing.T) {
	tests := []struct {
		name string
		used map[string]float64 // reported share of memory
		held map[string]float64 // own tokens
		want string
	}{
		{"the reader's cell", map[string]float64{"near": 0.4, "far": 0.1}, nil, "near"},
		{"far where near is nearly full", map[string]float64{"near": 0.9, "far": 0.1}, nil, "far"},
		{"near while there is room for long", map[string]float64{"near": 0.63, "far": 0.1}, nil, "near"},
		{"far where there is not", map[string]float64{"near": 0.72, "far": 0.1}, nil, "far"},
		{"own streams without reports", nil, map[string]float64{"near": 90000}, "far"},
		{"own streams against an old report", map[string]float64{"near": 0.1, "far": 0.1},
			map[string]float64{"near": 90000}, "far"},
		{"unheard counts as average", map[string]float64{"near": 0.9, "mid": 0.3}, nil, "mid"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(t, settings(), reader("r1"), writer("near", 0), writer("mid", 1), writer("far", 2))
			for id, x := range tt.used {
				v := n.s.servers[ServerID(id)]
				v.report, v.reportAt = Report{ReportMemory: x}, n.s.now
			}
			for id, x := range tt.held {
				n.s.servers[ServerID(id)].decodeTokens = x
			}
			pool := []*trackedServer{n.s.servers["near"], n.s.servers["mid"], n.s.servers["far"]}
			if tt.want != "mid" {
				pool = []*trackedServer{pool[0], pool[2]}
			}
			if got := n.s.pickByFreeMemory(pool, n.s.servers["r1"]); string(got.ID) != tt.want {
				t.Errorf("picked %s, want %s", got.ID, tt.want)
			}
		})
	}
}

// With age a report counts less, and what all tell counts instead: a writer that told an hour ago that it is nearly full is
// taken as one with the average room.
func TestWriterPick_OldReport(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("near", 0), writer("far", 2))
	near, far := n.s.servers["near"], n.s.servers["far"]
	for age, want := range map[time.Duration]*trackedServer{0: far, time.Hour: near} {
		near.report, near.reportAt = Report{ReportMemory: 0.9}, n.s.now-age
		far.report, far.reportAt = Report{ReportMemory: 0.1}, n.s.now-age
		if got := n.s.pickByFreeMemory([]*trackedServer{near, far}, n.s.servers["r1"]); got != want {
			t.Errorf("reports %v old: picked %s, want %s", age, got.ID, want.ID)
		}
	}
}

// A connection may fail while the writer that holds the place, and the state that
// has moved there, is well: it is tried once more before the others, which lack it.
func TestHolderIsTriedOnceMore(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0), writer("w2", 0))
	n.ask("a", 1, 0)
	place, _ := pick[Reserve](n)
	n.do(ReservationResult{ID: "a", Server: place.Server, Held: true})
	n.end("a", 0, "r1", StatusPrefilled)
	n.sentTo(string(place.Server))
	n.end("a", 1, string(place.Server), StatusConnectFailed)
	n.sentTo(string(place.Server))
	n.end("a", 2, string(place.Server), StatusConnectFailed)
	if b, _ := pick[Send](n); b.Server == place.Server || b.Server == "" {
		t.Errorf("then sent to %q", b.Server)
	}
}

// A refused place leads to the next roomiest writer, once.
func TestRefusedPlaceTriesTheNextOnce(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0), writer("w2", 0), writer("w3", 0))
	n.ask("a", 1, 0)
	first, _ := pick[Reserve](n)
	n.do(ReservationResult{ID: "a", Server: first.Server})
	second, ok := pick[Reserve](n)
	if !ok || second.Server == first.Server {
		t.Fatalf("after %s was refused: %v", first.Server, n.out)
	}
	n.do(ReservationResult{ID: "a", Server: second.Server})
	lacks[Reserve](n)
}

func TestHolderGetsTheRead(t *testing.T) {
	n := newNode(t, settings(), reader("r1"), writer("w1", 0), writer("w2", 0))
	n.ask("a", 1, 0)
	p, _ := pick[Reserve](n)
	n.do(ReservationResult{ID: "a", Server: p.Server, Held: true})
	n.s.servers[p.Server].decodeTokens = 90000 // no longer the roomiest
	n.end("a", 0, "r1", StatusPrefilled)
	n.sentTo(string(p.Server))
}

func TestNoPlaceAskedWhereNotAllowed(t *testing.T) {
	set := settings()
	set.Reservations = false
	n := newNode(t, set, reader("r1"), writer("w1", 0))
	n.ask("a", 1, 0)
	n.sentTo("r1")
	lacks[Reserve](n)
}

// While states are slow to leave a cell, reads go where a writer of the cell has
// room; else a prefix stays where it is known.
func TestReadsStayNearWritersWhileMovesAreSlow(t *testing.T) {
	for _, tt := range []struct {
		name string
		far  time.Duration
		age  time.Duration
		used map[ServerID]float64
		want string
	}{
		{"moves are fast", 60 * ms, 0, nil, "r1"},
		{"moves are slow", 2 * time.Second, 0, nil, "r2"},
		{"moves were slow long ago", 2 * time.Second, time.Minute, nil, "r1"},
		{"its writer is full", 2 * time.Second, 0, map[ServerID]float64{"w2": 0.9, "w3": 0.1}, "r3"},
	} {
		list := []Server{reader("r1"), reader("r2"), reader("r3"), writer("w2", 2), writer("w3", 3)}
		for i := range 3 {
			list[i].Cell = i + 1 // r1 has no writer beside it
		}
		n := newNode(t, settings(), list...)
		known := &trackedRequest{Request: Request{Session: 1, Prefix: 7, PrefixTokens: 160, PromptTokens: 320}}
		n.s.stageLatency[stageDecode].Observe(n.now, 50*ms, 320)
		n.s.stageLatency[stageDecodeFar].Observe(n.now, tt.far, 320)
		n.now += tt.age
		if tt.used == nil {
			tt.used = map[ServerID]float64{"w2": 0.1, "w3": 0.9}
		}
		for id, x := range tt.used {
			n.s.servers[id].report, n.s.servers[id].reportAt = Report{ReportMemory: x}, n.now
		}
		n.s.now = n.now
		n.s.prefixTable.Record(n.now, n.s.servers["r1"].prefixRuns, known.prefixParts(), true)
		n.ask("a", 1, 7)
		if a, _ := pick[Send](n); string(a.Server) != tt.want {
			t.Errorf("%s: sent to %q, want %s", tt.name, a.Server, tt.want)
		}
	}
}
