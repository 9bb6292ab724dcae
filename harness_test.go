package ashwood

import (
	"testing"
	"time"
)

// settings are those of a small two-stage fleet.
func testSettings() Settings {
	return Settings{
		Nodes: 1, Zone: "a", Ahead: true, Reports: ReportInline,
		Kinds: []Kind{{"reader", RoleRead, 100000}, {"writer", RoleWrite, 100000}, {"mixed", RoleBoth, 100000}},
		Classes: []Class{
			{Name: "chat", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: Pure},
			{Name: "order", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: Token,
				Group: ScopeCell, Window: 2 * time.Second},
			{Name: "pay", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: SideEffect},
		},
		Limits: Limits{MaxAttempts: 4, Cancel: true, ConnectTimeout: 100 * ms},
		Rules: Rules{FallMultiple: 2, FallWindow: time.Second, ColdFrom: 0.25, ColdTime: 10 * time.Second,
			Release: time.Second},
	}
}

// node drives a scheduler and keeps what it asked for last.
type testGateway struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
	actions   []Action
	timers    []SetTimer // all that it has asked for
}

func newGateway(t *testing.T, settings Settings, servers ...Server) *testGateway {
	t.Helper()
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	gateway := &testGateway{t: t, scheduler: s, now: time.Hour}
	gateway.handle(Members{Form: ListStale, Entries: servers})
	return gateway
}

func (g *testGateway) handle(e Event) []Action {
	g.actions = g.scheduler.Handle(g.now, e, nil)
	for _, action := range g.actions {
		if timer, ok := action.(SetTimer); ok {
			g.timers = append(g.timers, timer)
		}
	}
	return g.actions
}

func prefillServer(id string) Server {
	return Server{ID: ServerID(id), Zone: "a", Kind: "reader", State: StateOn}
}
func decodeServer(id string, cell int) Server {
	return Server{ID: ServerID(id), Zone: "a", Cell: cell, Kind: "writer", State: StateOn}
}

func (g *testGateway) requestChat(id string, session, prefix uint64) []Action {
	return g.handle(Request{ID: RequestID(id), Class: "chat", Session: session, Prefix: prefix,
		PrefixTokens: 160, PromptTokens: 320, TimeLeft: 5 * time.Second})
}

func (g *testGateway) endAttempt(id string, attempt int, server string, status Status) []Action {
	return g.handle(Outcome{ID: RequestID(id), Attempt: attempt, Server: ServerID(server), Status: status, Latency: 50 * ms})
}

// pick gives the first action of a type in the last answer.
func firstAction[A Action](gateway *testGateway) (a A, ok bool) {
	for _, action := range gateway.actions {
		if a, ok := action.(A); ok {
			return a, true
		}
	}
	return a, false
}

func (g *testGateway) expectSentTo(want string) {
	g.t.Helper()
	if a, ok := firstAction[Attempt](g); string(a.Server) != want || ok != (want != "") {
		g.t.Fatalf("sent to %q, want %q; actions %v", a.Server, want, g.actions)
	}
}

func expectAction[A Action](gateway *testGateway) {
	gateway.t.Helper()
	if _, ok := firstAction[A](gateway); !ok {
		gateway.t.Fatalf("no %T in %v", *new(A), gateway.actions)
	}
}

func expectNoAction[A Action](gateway *testGateway) {
	gateway.t.Helper()
	if a, ok := firstAction[A](gateway); ok {
		gateway.t.Fatalf("unwanted %T: %v", a, gateway.actions)
	}
}
