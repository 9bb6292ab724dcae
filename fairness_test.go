package ashwood

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// scheduledEvent is something that happens at a time in a simulated fleet.
type scheduledEvent struct {
	at  time.Duration
	run func()
}

// eventQueue is a heap of scheduled events, the earliest first.
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

// fleetSimulation runs gateways in simulated time against prefill servers that serve one prompt after the other, and
// decode servers that answer after 5 ms.
type fleetSimulation struct {
	queue           eventQueue
	now             time.Duration
	gateways        []*testGateway
	idleAt          map[ServerID]time.Duration // when a prefill server has finished all of its prompts
	waitingTokens   map[ServerID]float64       // prompt tokens in flight at a prefill server
	tokensPerSecond float64                    // of each prefill server
	cancelled       map[string]bool            // attempts, by request and number
	refused         map[RequestID]bool
}

// after schedules something for a time from now.
func (s *fleetSimulation) after(d time.Duration, do func()) {
	heap.Push(&s.queue, scheduledEvent{s.now + d, do})
}

// loadReport returns what a server reports of its load.
func (s *fleetSimulation) loadReport(v ServerID) Report {
	return Report{ReportWaiting: s.waitingTokens[v] / 1000}
}

// deliver passes an event to a gateway and carries out its actions.
func (s *fleetSimulation) deliver(gateway *testGateway, e Event) {
	gateway.now = s.now
	for _, action := range gateway.handle(e) {
		switch a := action.(type) {
		case Send:
			s.runAttempt(gateway, a, len(gateway.scheduler.requests[a.ID].attempts)-1)
		case Reserve:
			s.after(ms, func() { s.deliver(gateway, ReservationResult{ID: a.ID, Server: a.Server, Held: true}) })
		case Probe:
			s.after(2*ms, func() {
				s.deliver(gateway, ProbeResult{Server: a.Server, Status: StatusServed, Report: s.loadReport(a.Server)})
			})
		case SetTimer:
			heap.Push(&s.queue, scheduledEvent{a.At, func() { s.deliver(gateway, TimerFired{a.Token}) }})
		case Cancel:
			s.cancelled[fmt.Sprint(a.ID, a.Attempt)] = true
		case Refuse:
			s.refused[a.ID] = true
		}
	}
}

// runAttempt simulates an attempt and schedules its outcome.
func (s *fleetSimulation) runAttempt(gateway *testGateway, a Send, number int) {
	request := gateway.scheduler.requests[a.ID]
	if gateway.scheduler.servers[a.Server].role != RolePrefill {
		s.after(5*ms, func() {
			s.deliver(gateway, Outcome{ID: a.ID, Attempt: number, Server: a.Server, Status: StatusServed, RequestDone: true, Latency: 5 * ms})
		})
		return
	}
	begun, tokens := s.now, request.PromptTokens
	s.waitingTokens[a.Server] += tokens
	s.idleAt[a.Server] = max(s.idleAt[a.Server], s.now) + time.Duration(tokens/s.tokensPerSecond*float64(time.Second))
	heap.Push(&s.queue, scheduledEvent{s.idleAt[a.Server], func() {
		s.waitingTokens[a.Server] -= tokens
		status := StatusPrefilled
		if s.cancelled[fmt.Sprint(a.ID, number)] {
			status = StatusCancelled
		}
		s.deliver(gateway, Outcome{
			ID: a.ID, Attempt: number, Server: a.Server, Status: status, Latency: s.now - begun, Report: s.loadReport(a.Server),
		})
	}})
}

// Under overload refusals fall on requests, not on sessions: sessions of which every turn is refused are hardly more
// frequent than chance makes them.
func TestRefusals_SpreadOverSessions(t *testing.T) {
	const (
		prefillServers, sessions, turns = 8, 150, 5
		tokens, speed                   = 1000.0, 10000.0
		load                            = 1.4
		allowed                         = 0.12 // share of the sessions beyond what chance gives; the operators' bound
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
				gateway := newGateway(t, settings, newFleet(prefillServers, 8)...)
				gateway.scheduler.rng.Seed(int64(i))
				sim.gateways = append(sim.gateways, gateway)
			}
			perSecond := load * prefillServers * speed / tokens
			requested := map[int][]RequestID{}
			for k := range sessions * turns {
				session := k % sessions // the turns of a session come one after the other
				id := RequestID(fmt.Sprint("s", session, "t", k/sessions))
				requested[session] = append(requested[session], id)
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
				t.Fatalf("%.2f of the requests are refused; the test needs between 0.05 and 0.9 to show anything", share)
			}
			refusedSessions := 0
			for _, ids := range requested {
				all := true
				for _, id := range ids {
					all = all && sim.refused[id]
				}
				if all {
					refusedSessions++
				}
			}
			chance := math.Pow(share, turns)
			t.Logf("%.2f of the requests refused, every turn of %d of %d sessions", share, refusedSessions, sessions)
			if got := float64(refusedSessions) / sessions; got > chance+allowed {
				t.Errorf("every turn is refused of %.2f of the sessions; chance gives %.2f", got, chance)
			}
		})
	}
}
