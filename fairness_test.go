package ashwood

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// occasion is something that happens at a time in a simulated fleet.
type occasion struct {
	at time.Duration
	do func()
}

// agenda is a heap of occasions, the earliest first.
type agenda []occasion

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(occasion)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation plays gateways against readers that read one prompt after the other, and writers
// that answer at once. Time is simulated.
type simulation struct {
	agenda   agenda
	now      time.Duration
	gateways []*node
	free     map[ServerID]time.Duration // when a reader has read all that it has
	waiting  map[ServerID]float64       // tokens there
	speed    float64                    // tokens a second
	called   map[string]bool            // attempts called off
	refused  map[RequestID]bool
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.agenda, occasion{s.now + d, do})
}

func (s *simulation) report(v ServerID) Report { return Report{ReportWaiting: s.waiting[v] / 1000} }

// tell puts an event to a gateway and carries out what it wants done.
func (s *simulation) tell(gateway *node, e Event) {
	gateway.now = s.now
	for _, action := range gateway.do(e) {
		switch a := action.(type) {
		case Send:
			s.attempt(gateway, a, len(gateway.s.requests[a.ID].attempts)-1)
		case Reserve:
			s.after(ms, func() { s.tell(gateway, ReservationResult{ID: a.ID, Server: a.Server, Held: true}) })
		case Probe:
			s.after(2*ms, func() {
				s.tell(gateway, ProbeResult{Server: a.Server, Status: StatusServed, Report: s.report(a.Server)})
			})
		case SetTimer:
			heap.Push(&s.agenda, occasion{a.At, func() { s.tell(gateway, TimerFired{a.Token}) }})
		case Cancel:
			s.called[fmt.Sprint(a.ID, a.Attempt)] = true
		case Refuse:
			s.refused[a.ID] = true
		}
	}
}

func (s *simulation) attempt(gateway *node, a Send, number int) {
	request := gateway.s.requests[a.ID]
	if gateway.s.servers[a.Server].role != RoleRead {
		s.after(5*ms, func() {
			s.tell(gateway, Outcome{ID: a.ID, Attempt: number, Server: a.Server, Status: StatusServed, RequestDone: true, Latency: 5 * ms})
		})
		return
	}
	begun, tokens := s.now, request.PromptTokens
	s.waiting[a.Server] += tokens
	s.free[a.Server] = max(s.free[a.Server], s.now) + time.Duration(tokens/s.speed*float64(time.Second))
	heap.Push(&s.agenda, occasion{s.free[a.Server], func() {
		s.waiting[a.Server] -= tokens
		status := StatusPrefilled
		if s.called[fmt.Sprint(a.ID, number)] {
			status = StatusCancelled
		}
		s.tell(gateway, Outcome{
			ID: a.ID, Attempt: number, Server: a.Server, Status: status, Latency: s.now - begun, Report: s.report(a.Server),
		})
	}})
}

// Under more than the fleet can do, refusals fall on requests, not on sessions: those of which
// every turn is refused are few more than chance makes them.
func TestRefusals_SingleOutNoSession(t *testing.T) {
	const (
		readers, sessions, turns = 8, 150, 5
		tokens, speed            = 1000.0, 10000.0
		load                     = 1.4
		allowed                  = 0.12 // of the sessions, more than chance gives; the operators' bound
	)
	for _, nodes := range []int{4, 40} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			set := nodesOf(nodes)
			set.Reports, set.Limits.Probes = ReportInline, true
			rng := rand.New(rand.NewSource(1))
			sim := &simulation{
				now: time.Hour, free: map[ServerID]time.Duration{}, waiting: map[ServerID]float64{}, speed: speed,
				called: map[string]bool{}, refused: map[RequestID]bool{},
			}
			for i := range nodes {
				gateway := newNode(t, set, fleetOf(readers, 8)...)
				gateway.s.rng.Seed(int64(i))
				sim.gateways = append(sim.gateways, gateway)
			}
			perSecond := load * readers * speed / tokens
			asked := map[int][]RequestID{}
			for k := range sessions * turns {
				session := k % sessions // turns of a session come one after the other
				id := RequestID(fmt.Sprint("s", session, "t", k/sessions))
				asked[session] = append(asked[session], id)
				at := sim.now + time.Duration(float64(k)/perSecond*float64(time.Second))
				gateway := sim.gateways[rng.Intn(nodes)]
				heap.Push(&sim.agenda, occasion{at, func() {
					sim.tell(gateway, Request{ID: id, Class: "chat", Session: uint64(session) + 1, Prefix: uint64(session%10) + 1,
						PrefixTokens: tokens / 2, PromptTokens: tokens, TimeLeft: 5 * time.Second})
				}})
			}
			for sim.agenda.Len() > 0 {
				next := heap.Pop(&sim.agenda).(occasion)
				sim.now = max(sim.now, next.at)
				next.do()
			}
			share := float64(len(sim.refused)) / (sessions * turns)
			if share < 0.05 || share > 0.9 {
				t.Fatalf("%.2f of the requests are refused: nothing is shown", share)
			}
			shutOut := 0
			for _, ids := range asked {
				all := true
				for _, id := range ids {
					all = all && sim.refused[id]
				}
				if all {
					shutOut++
				}
			}
			chance := math.Pow(share, turns)
			t.Logf("%.2f of the requests refused, all of %d of %d sessions", share, shutOut, sessions)
			if got := float64(shutOut) / sessions; got > chance+allowed {
				t.Errorf("all turns of %.2f of the sessions are refused, chance gives %.2f", got, chance)
			}
		})
	}
}
