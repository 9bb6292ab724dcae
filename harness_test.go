package ashwood

import (
	"testing"
	"time"
)

// settings are those of a small two-stage fleet.
func settings() Settings {
	return Settings{
		Nodes: 1, Zone: "a", Reservations: true, Reports: ReportInline,
		Kinds: []Kind{{"reader", RoleRead, 100000}, {"writer", RoleWrite, 100000}, {"mixed", RoleMixed, 100000}},
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

// node drives a scheduler and keeps what it asked for last.
type node struct {
	t   *testing.T
	s   *Scheduler
	now time.Duration
	out []Action
	set []SetTimer // all that it has asked for
}

func newNode(t *testing.T, set Settings, list ...Server) *node {
	t.Helper()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	n := &node{t: t, s: s, now: time.Hour}
	n.do(MembershipUpdate{Form: MembershipStale, Entries: list})
	return n
}

func (n *node) do(e Event) []Action {
	n.out = n.s.Handle(n.now, e, nil)
	for _, x := range n.out {
		if a, ok := x.(SetTimer); ok {
			n.set = append(n.set, a)
		}
	}
	return n.out
}

func reader(id string) Server {
	return Server{ID: ServerID(id), Zone: "a", Kind: "reader", State: StateActive}
}
func writer(id string, cell int) Server {
	return Server{ID: ServerID(id), Zone: "a", Cell: cell, Kind: "writer", State: StateActive}
}

func (n *node) ask(id string, session, prefix uint64) []Action {
	return n.do(Request{ID: RequestID(id), Class: "chat", Session: session, Prefix: prefix,
		PrefixTokens: 160, PromptTokens: 320, TimeLeft: 5 * time.Second})
}

func (n *node) end(id string, attempt int, v string, st Status) []Action {
	return n.do(Outcome{ID: RequestID(id), Attempt: attempt, Server: ServerID(v), Status: st, Latency: 50 * ms})
}

// pick gives the first action of a type in the last answer.
func pick[A Action](n *node) (a A, ok bool) {
	for _, x := range n.out {
		if a, ok := x.(A); ok {
			return a, true
		}
	}
	return a, false
}

func (n *node) sentTo(want string) {
	n.t.Helper()
	if a, ok := pick[Send](n); string(a.Server) != want || ok != (want != "") {
		n.t.Fatalf("sent to %q, want %q; actions %v", a.Server, want, n.out)
	}
}

func wants[A Action](n *node) {
	n.t.Helper()
	if _, ok := pick[A](n); !ok {
		n.t.Fatalf("no %T in %v", *new(A), n.out)
	}
}

func lacks[A Action](n *node) {
	n.t.Helper()
	if a, ok := pick[A](n); ok {
		n.t.Fatalf("unwanted %T: %v", a, n.out)
	}
}
