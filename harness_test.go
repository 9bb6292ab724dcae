package ashwood

import (
	"testing"
	"time"
)

// testSettings returns the settings of a single gateway, with one kind each of prefill, decode and mixed servers and one
// class of each effect.
func testSettings() Settings {
	return Settings{
		Nodes: 1, Zone: "a", Reservations: true, Reports: ReportInline,
		Kinds: []Kind{{"prefill", RolePrefill, 100000}, {"decode", RoleDecode, 100000}, {"mixed", RoleMixed, 100000}},
		Classes: []Class{
			{Name: "chat", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: Pure},
			{Name: "order", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: TokenEffect,
				Group: ScopeCell, Window: 2 * time.Second},
			{Name: "pay", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: SideEffect},
		},
		Limits: Limits{MaxAttempts: 4, Cancel: true, ConnectTimeout: 100 * ms},
		Rules: Rules{SlowStartMultiple: 2, SlowStartWindow: time.Second, SlowStartCapacity: 0.25, SlowStartDuration: 10 * time.Second,
			ReleaseTimeout: time.Second},
	}
}

// testGateway drives the scheduler of one gateway with events at times that the test sets, and keeps its actions.
type testGateway struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
	actions   []Action
	timers    []SetTimer // all that were ever set
}

// newGateway returns a gateway that holds a membership, maybe out of date, of these servers.
func newGateway(t *testing.T, settings Settings, servers ...Server) *testGateway {
	t.Helper()
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	gateway := &testGateway{t: t, scheduler: s, now: time.Hour}
	gateway.handle(MembershipUpdate{Form: MembershipStale, Entries: servers})
	return gateway
}

// handle passes an event to the scheduler at the gateway's present time.
func (g *testGateway) handle(e Event) []Action {
	g.actions = g.scheduler.Handle(g.now, e, nil)
	for _, action := range g.actions {
		if timer, ok := action.(SetTimer); ok {
			g.timers = append(g.timers, timer)
		}
	}
	return g.actions
}

// prefillServer returns an active prefill server in the gateway's zone, in cell 0.
func prefillServer(id string) Server {
	return Server{ID: ServerID(id), Zone: "a", Kind: "prefill", State: StateActive}
}

// decodeServer returns an active decode server in the gateway's zone.
func decodeServer(id string, cell int) Server {
	return Server{ID: ServerID(id), Zone: "a", Cell: cell, Kind: "decode", State: StateActive}
}

// requestChat brings a request of the class chat with a prompt of 320 tokens, of which 160 are the shared prefix.
func (g *testGateway) requestChat(id string, session, prefix uint64) []Action {
	return g.handle(Request{ID: RequestID(id), Class: "chat", Session: session, Prefix: prefix,
		PrefixTokens: 160, PromptTokens: 320, TimeLeft: 5 * time.Second})
}

// endAttempt ends an attempt with a status, 50 ms after its start.
func (g *testGateway) endAttempt(id string, attempt int, server string, status Status) []Action {
	return g.handle(Outcome{ID: RequestID(id), Attempt: attempt, Server: ServerID(server), Status: status, Latency: 50 * ms})
}

// firstAction returns the first action of a type among those that the last event led to.
func firstAction[A Action](gateway *testGateway) (a A, ok bool) {
	for _, action := range gateway.actions {
		if a, ok := action.(A); ok {
			return a, true
		}
	}
	return a, false
}

// expectSentTo checks that the last event led to an attempt at a server, or to none if want is empty.
func (g *testGateway) expectSentTo(want string) {
	g.t.Helper()
	if a, ok := firstAction[Send](g); string(a.Server) != want || ok != (want != "") {
		g.t.Fatalf("request sent to %q, want %q; actions: %v", a.Server, want, g.actions)
	}
}

// expectAction checks that the last event led to an action of a type.
func expectAction[A Action](gateway *testGateway) {
	gateway.t.Helper()
	if _, ok := firstAction[A](gateway); !ok {
		gateway.t.Fatalf("no %T among the actions %v", *new(A), gateway.actions)
	}
}

// expectNoAction checks that the last event led to no action of a type.
func expectNoAction[A Action](gateway *testGateway) {
	gateway.t.Helper()
	if a, ok := firstAction[A](gateway); ok {
		gateway.t.Fatalf("unexpected %T %v among the actions %v", a, a, gateway.actions)
	}
}
