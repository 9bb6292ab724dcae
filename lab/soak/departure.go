package soak

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// Bounds of scenarios in which clients leave while they send at full speed.
const (
	maxFloodingLeavers  = 4   // of each gateway
	crowdShare          = 0.2 // share of scenarios with a crowd of them
	leaverCrowd         = 30  // of one gateway
	maxLongPauses       = 4
	longPause           = 400 * time.Millisecond
	maxEngineRefusals   = 4
	floodedAheadAtOnce  = 64 << 10 // bytes in one write
	minRefusingDuration = 500 * time.Millisecond
)

// GenerateDeparture draws a scenario in which clients send at full speed behind their requests and leave, engines turn requests away
// or break them off, and gateways are paused for longer than a client may have left, beside the faults and signals of Generate. The
// same seed and length give the same scenario.
func GenerateDeparture(seed uint64, length time.Duration) *FaultScenario {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0xdea7)), scenario: &FaultScenario{Seed: seed, Length: length}}
	g.fleet()
	g.settings()
	g.clients()
	g.moreEarlyClosers()
	g.floodingLeavers()
	g.faults()
	g.engineRefusals()
	g.longPauses()
	g.gatewaySignals()
	slices.SortStableFunc(g.scenario.Events, func(a, b Event) int { return int(a.At - b.At) })
	return g.scenario
}

// floodingLeavers adds clients that leave while they send at full speed.
func (g *generator) floodingLeavers() {
	s := g.scenario
	for gateway := range min(s.Gateways, maxGateways) {
		for range g.intBetween(1, maxFloodingLeavers) {
			s.Clients = append(s.Clients, Client{Kind: ClientFloodsAndLeaves, Gateway: gateway})
		}
	}
	if g.chance(crowdShare) {
		crowded := g.rng.IntN(s.Gateways)
		for range leaverCrowd {
			s.Clients = append(s.Clients, Client{Kind: ClientFloodsAndLeaves, Gateway: crowded})
		}
	}
}

// engineRefusals adds times in which engines turn attempts away or break them off, so that others follow.
func (g *generator) engineRefusals() {
	kinds := []EventKind{EngineRefuses, EngineResetsAttempts, EngineAnswersLate}
	for range g.intBetween(1, maxEngineRefusals) {
		g.scenario.Events = append(g.scenario.Events, Event{
			Kind: kinds[g.rng.IntN(len(kinds))], At: g.durationBetween(quietPeriod, g.scenario.Length*4/5), Duration: g.durationBetween(minRefusingDuration, maxFaultTime),
			Engines: g.engineSubset(), Delay: g.durationBetween(minAnswerDelay, maxAnswerDelay),
		})
	}
}

// longPauses adds pauses in which a client may leave while an answer comes.
func (g *generator) longPauses() {
	for range g.intBetween(0, maxLongPauses) {
		g.scenario.Events = append(g.scenario.Events, Event{
			Kind: GatewayPauses, At: g.durationBetween(quietPeriod, g.scenario.Length*4/5), Duration: longPause, Gateways: g.gatewaySubset(),
		})
	}
}

// floodAhead writes to a connection at full speed until it is closed.
func floodAhead(conn net.Conn) {
	zeros := make([]byte, floodedAheadAtOnce)
	for {
		if _, err := conn.Write(zeros); err != nil {
			return
		}
	}
}
