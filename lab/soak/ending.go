package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of scenarios in which gateways terminate.
const (
	maxTerminations    = 3                      // gateways that terminate in a scenario
	maxExtraSignals    = 3                      // after the first SIGTERM
	maxPauseLead       = 200 * time.Millisecond // before SIGTERM
	minPauseDelay      = 150 * time.Millisecond // after SIGTERM: idle connections are closed by then
	maxPauseDelay      = 900 * time.Millisecond
	pausePastKill      = 20 * time.Millisecond
	silentEnginesShare = 0.5 // share of scenarios in which all engines are silent meanwhile
	engineFaultsShare  = 0.5 // share of the other scenarios with engine faults
)

// GenerateTermination draws a scenario in which gateways get SIGTERM, then further signals, and are paused around that: for as long
// as the rules tolerate without excuse, for seconds, or until SIGKILL. The same seed and length give the same scenario.
func GenerateTermination(seed uint64, length time.Duration) *FaultScenario {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0xe4d1)), scenario: &FaultScenario{Seed: seed, Length: length}}
	g.fleet()
	g.settings()
	g.clients()
	switch {
	case g.chance(silentEnginesShare):
		g.engineSilence(g.durationBetween(quietPeriod, length/3))
	case g.chance(engineFaultsShare):
		g.faults()
	}
	free := g.rng.Perm(g.scenario.Gateways)
	for _, gateway := range free[:min(g.intBetween(1, maxTerminations), len(free))] {
		g.gatewayTermination([]int{gateway})
	}
	slices.SortStableFunc(g.scenario.Events, func(a, b Event) int { return int(a.At - b.At) })
	return g.scenario
}

// gatewayTermination adds a restart of one gateway, with further signals and a pause.
func (g *generator) gatewayTermination(gateway []int) {
	s, life := g.scenario, g.scenario.terminationGrace()
	at := g.durationBetween(quietPeriod, max(s.Length-life, 2*quietPeriod))
	s.Events = append(s.Events, Event{Kind: GatewayRestarts, At: at, Duration: life, Gateways: gateway})
	for range g.intBetween(0, maxExtraSignals) {
		s.Events = append(s.Events, Event{Kind: GatewayMoreSignals, At: at + g.durationBetween(10*time.Millisecond, life), Gateways: gateway})
	}
	stop := Event{Kind: GatewayPauses, At: at + g.durationBetween(-maxPauseLead, life), Duration: minPause, Gateways: gateway}
	switch g.rng.IntN(4) {
	case 0:
		return
	case 1:
		stop.Duration = g.durationBetween(minPause, maxPause)
	case 2:
		stop.At = at + g.durationBetween(minPauseDelay, maxPauseDelay)
		stop.Duration = at + life + pausePastKill - stop.At
	}
	s.Events = append(s.Events, stop)
}
