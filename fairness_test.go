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
type scheduledEvent struct {
	at  time.Duration
	run func()
}

// agenda is a heap of occasions, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(event any)    { *q = append(*q, event.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation plays gateways against readers that read one prompt after the other, and writers
// that answer at once. Time is simulated.
type fleetSimulation struct {
	queue           eventQueue
	now             time.Duration
	gateways        []*testGateway
	idleAt          map[ServerID]time.Duration // when a reader has read all that it has
	waitingTokens   map[ServerID]float64       // tokens there
	tokensPerSecond float64                    // tokens a second
	cancelled       map[string]bool            // attempts called off
	refused         map[RequestID]bool
}

func (s *fleetSimulation) after(d time.Duration, do func()) {
	heap.Push(&s.queue, scheduledEvent{s.now + d, do})
}

func (s *fleetSimulation) loadReport(v ServerID) Report {
	return Report{ReportWaiting: s.waitingTokens[v] / 1000}
}

// tell puts an event to a gateway and carries out what it wants done.
func (s *fleetSimulation) deliver(gateway *testGateway, e Event) {
	gateway.now = s.now
	for _, action := range gateway.handle(e) {
		switch a := action.(type) {
		case Attempt:
			s.runAttempt(gateway, a, len(gateway.scheduler.reqs[a.ID].attempts)-1)
		case Ahead:
			s.after(ms, func() { s.deliver(gateway, PlaceNote{ID: a.ID, Server: a.Server, Held: true}) })
		case Probe:
			s.after(2*ms, func() {
				s.deliver(gateway, Probed{Server: a.Server, Status: Served, Report: s.loadReport(a.Server)})
			})
		case SetTimer:
			heap.Push(&s.queue, scheduledEvent{a.At, func() { s.deliver(gateway, Timer{a.Token}) }})
		case Cancel:
			s.cancelled[fmt.Sprint(a.ID, a.Attempt)] = true
		case Refuse:
			s.refused[a.ID] = true
		}
	}
}

func (s *fleetSimulation) runAttempt(gateway *testGateway, a Attempt, number int) {
	request := gateway.scheduler.reqs[a.ID]
	if gateway.scheduler.servers[a.Server].role != RoleRead {
		s.after(5*ms, func() {
			s.deliver(gateway, Outcome{ID: a.ID, Attempt: number, Server: a.Server, Status: Served, Done: true, Latency: 5 * ms})
		})
		return
	}
	begun, tokens := s.now, request.PromptTokens
	s.waitingTokens[a.Server] += tokens
	s.idleAt[a.Server] = max(s.idleAt[a.Server], s.now) + time.Duration(tokens/s.tokensPerSecond*float64(time.Second))
	heap.Push(&s.queue, scheduledEvent{s.idleAt[a.Server], func() {
		s.waitingTokens[a.Server] -= tokens
		status := Parsed
		if s.cancelled[fmt.Sprint(a.ID, number)] {
			status = CalledOff
		}
		s.deliver(gateway, Outcome{
			ID: a.ID, Attempt: number, Server: a.Server, Status: status, Latency: s.now - begun, Report: s.loadReport(a.Server),
		})
	}})
}

// Under more than the fleet can do, refusals fall on requests, not on sessions: those of which
// every turn is refused are few more than chance makes them.
func TestRefusals_SpreadOverSessions(t *testing.T) {
	const (
		readers, sessions, turns = 8, 150, 5
		tokens, speed            = 1000.0, 10000.0
		load                     = 1.4
		allowed                  = 0.12 // of the sessions, more than chance gives; the operators' bound
	)
	for _, nodes := range []int{4, 40} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			settings := settingsForGateways(nodes)
			settings.Reports, settings.Limits.Probes = ReportInline, true
			rng := rand.New(rand.NewSource(1))
			sim := &fleetSimulation{
				now: time.Hour, idleAt: map[ServerID]time.Duration{}, waitingTokens: map[ServerID]float64{}, tokensPerSecond: speed,
				cancelled: map[string]bool{}, refused: map[RequestID]bool{},
			}
			for i := range nodes {
				gateway := newGateway(t, settings, newFleet(readers, 8)...)
				gateway.scheduler.rng.Seed(int64(i))
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
				heap.Push(&sim.queue, scheduledEvent{at, func() {
					sim.deliver(gateway, Request{ID: id, Class: "chat", Session: uint64(session) + 1, Prefix: uint64(session%10) + 1,
						PrefixTokens: tokens / 2, PromptTokens: tokens, TimeLeft: 5 * time.Second})
				}})
			}
			for sim.queue.Len() > 0 {
				next := heap.Pop(&sim.queue).(scheduledEvent)
				sim.now = max(sim.now, next.at)
				next.run()
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
