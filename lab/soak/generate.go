package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of what the generator draws.
const (
	minEngines         = 4
	maxEngines         = 30
	maxGateways        = 8
	minManyGateways    = 20 // gateways of a scenario with many
	maxManyGateways    = 28
	manyGatewaysShare  = 0.08
	silentClientsShare = 0.25 // share of scenarios with silent clients
	maxSilentClients   = 150
	minDeadline        = 300 * time.Millisecond
	maxDeadline        = 9 * time.Second
	minFaultTime       = 80 * time.Millisecond
	maxFaultTime       = 4 * time.Second
	minAnswerDelay     = 50 * time.Millisecond
	maxAnswerDelay     = 900 * time.Millisecond
	minPause           = 150 * time.Millisecond
	maxPause           = 2500 * time.Millisecond
	maxFaults          = 7
	maxRestarts        = 2
	quietPeriod        = 500 * time.Millisecond
)

// Generate draws a fault scenario from a seed. The same seed and length give the same scenario.
func Generate(seed uint64, length time.Duration) *FaultScenario {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0x50a4)), scenario: &FaultScenario{Seed: seed, Length: length}}
	g.fleet()
	g.settings()
	g.clients()
	g.faults()
	g.gatewaySignals()
	slices.SortStableFunc(g.scenario.Events, func(a, b Event) int { return int(a.At - b.At) })
	return g.scenario
}

// generator draws the parts of a scenario. The order of its draws is fixed: a change gives every seed another scenario.
type generator struct {
	rng      *rand.Rand
	scenario *FaultScenario
}

func (g *generator) chance(share float64) bool { return g.rng.Float64() < share }

// intBetween draws an integer from low to high, both included.
func (g *generator) intBetween(low, high int) int { return low + g.rng.IntN(high-low+1) }

func (g *generator) durationBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(g.rng.Float64()*float64(high-low)).Round(time.Millisecond)
}

func (g *generator) fleet() {
	s := g.scenario
	s.Zones = g.intBetween(1, 3)
	s.Gateways = g.intBetween(1, maxGateways)
	if g.chance(manyGatewaysShare) {
		s.Gateways = g.intBetween(minManyGateways, maxManyGateways)
	}
	mixed := g.chance(0.2)
	n := g.intBetween(minEngines, minEngines+g.rng.IntN(maxEngines-minEngines+1))
	for i := range n {
		role := Prefill
		switch {
		case i%2 == 1:
			role = Decode
		case mixed && i >= minEngines && g.chance(0.5):
			role = Mixed
		}
		s.Engines = append(s.Engines, Engine{ID: fmt.Sprintf("e%d", i), Role: role, Zone: i / 2 % s.Zones})
	}
}

func (g *generator) settings() {
	s := g.scenario
	deadline := func() time.Duration {
		if g.chance(0.3) {
			return g.durationBetween(minDeadline, time.Second)
		}
		return g.durationBetween(time.Second, maxDeadline)
	}
	for _, c := range []Class{{Name: "rate-check", Effect: Pure}, {Name: "case-chat", Effect: Pure}, {Name: "send-order", Effect: SideEffect}} {
		c.Deadline = deadline()
		c.Aim = c.Deadline / time.Duration(g.intBetween(2, 5))
		if g.chance(0.15) {
			c.Effect = SideEffect
		}
		s.Classes = append(s.Classes, c)
	}
	s.Reservations = g.chance(0.75)
	blind := g.chance(0.5)
	s.Probes = g.chance(0.8)
	s.BlindReservations = blind && s.Probes // without probes the 200 answer to a reservation is the only sign of a running prefill
	s.Reports = []string{"inline", "inline", "on_probe", "off"}[g.rng.IntN(4)]
	s.LocalReleases = g.chance(0.5)
	s.PrefillsOutliveCaller = g.chance(0.2)
	if g.chance(0.4) {
		s.SlowFirstTokenShare = 0.3 * g.rng.Float64()
	}
	s.Sockets = []int{256, 512, 1024}[g.rng.IntN(3)]
}

func (g *generator) clients() {
	s := g.scenario
	kinds := []ClientKind{
		ClientSteady, ClientSteady, ClientSteady, ClientSteady, ClientClosesEarly, ClientClosesEarly, ClientRetriesAtOnce, ClientIdlesLong,
		ClientStopsMidRequest, ClientReconnects,
	}
	for gateway := range s.Gateways {
		each := g.intBetween(3, 12)
		if s.Gateways > maxGateways {
			each = g.intBetween(2, 4)
		}
		for range each {
			s.Clients = append(s.Clients, Client{Kind: kinds[g.rng.IntN(len(kinds))], Gateway: gateway})
		}
	}
	if g.chance(silentClientsShare) {
		for range g.intBetween(1, maxSilentClients) {
			s.Clients = append(s.Clients, Client{Kind: ClientSilent, Gateway: g.rng.IntN(s.Gateways)})
		}
	}
}

// engineSubset draws one engine, some, all of a role, or all of a zone.
func (g *generator) engineSubset() []int {
	s := g.scenario
	all := func(want func(Engine) bool) (indexes []int) {
		for i, e := range s.Engines {
			if want(e) {
				indexes = append(indexes, i)
			}
		}
		return indexes
	}
	role, zone := []Role{Prefill, Decode}[g.rng.IntN(2)], g.rng.IntN(s.Zones)
	switch g.rng.IntN(5) {
	case 0:
		return all(func(e Engine) bool { return e.Role == role })
	case 1:
		if s.Zones > 1 {
			return all(func(e Engine) bool { return e.Zone == zone })
		}
	case 2:
		return all(func(e Engine) bool { return e.Role == role && g.chance(0.7) })
	case 3:
		return all(func(Engine) bool { return g.chance(0.3) })
	}
	return []int{g.rng.IntN(len(s.Engines))}
}

func (g *generator) gatewaySubset() []int {
	if g.chance(0.5) {
		return []int{g.rng.IntN(g.scenario.Gateways)}
	}
	var indexes []int
	for i := range g.scenario.Gateways {
		if g.chance(0.6) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (g *generator) faults() {
	s := g.scenario
	kinds := []EventKind{
		EngineStops, EngineStops, EngineStops, EngineUnreachable, EngineUnreachable, NetworkCut, NetworkCut,
		EngineHangs, EngineRefuses, EngineResetsAttempts, EngineResetsConnections,
		EngineLosesAnswers, EngineAnswersLate, EngineDrains, EngineCrashes, DiscoverySilent,
	}
	crashed := map[int]bool{} // an engine crashes at most once
	for range g.intBetween(1, maxFaults) {
		e := Event{
			Kind: kinds[g.rng.IntN(len(kinds))], At: g.durationBetween(quietPeriod, s.Length*4/5),
			Duration: g.durationBetween(minFaultTime, maxFaultTime),
		}
		switch e.Kind {
		case DiscoverySilent:
			e.Gateways = g.gatewaySubset()
		case NetworkCut:
			e.Engines, e.Gateways = g.engineSubset(), g.gatewaySubset()
		case EngineCrashes:
			e.Engines = slices.DeleteFunc(g.engineSubset(), func(i int) bool { return crashed[i] })
			for _, i := range e.Engines {
				crashed[i] = true
			}
		case EngineAnswersLate:
			e.Engines, e.Delay = g.engineSubset(), g.durationBetween(minAnswerDelay, maxAnswerDelay)
		case EngineStops, EngineUnreachable:
			e.Engines = g.engineSubset()
			if g.chance(0.3) { // short outages in a row
				g.flicker(e)
				continue
			}
		default:
			e.Engines = g.engineSubset()
		}
		s.Events = append(s.Events, e)
	}
}

// flicker repeats an event several times, each for a short time.
func (g *generator) flicker(e Event) {
	for range g.intBetween(2, 6) {
		e.Duration = g.durationBetween(minFaultTime, time.Second)
		g.scenario.Events = append(g.scenario.Events, e)
		e.At += e.Duration + g.durationBetween(minFaultTime, 600*time.Millisecond)
	}
}

// gatewaySignals draws pauses, series of reloads, and restarts with further signals after the first SIGTERM.
func (g *generator) gatewaySignals() {
	s := g.scenario
	for range g.intBetween(0, 3) {
		e := Event{Kind: GatewayPauses, Gateways: g.gatewaySubset(), At: g.durationBetween(quietPeriod, s.Length*4/5), Duration: minPause}
		if g.chance(0.3) {
			e.Duration = g.durationBetween(minPause, maxPause)
		}
		s.Events = append(s.Events, e)
	}
	if g.chance(0.5) {
		at := g.durationBetween(quietPeriod, s.Length*4/5)
		gateways := g.gatewaySubset()
		for range g.intBetween(1, 5) {
			s.Events = append(s.Events, Event{Kind: GatewayReloads, Gateways: gateways, At: at})
			at += g.durationBetween(10*time.Millisecond, 500*time.Millisecond)
		}
	}
	free := g.rng.Perm(s.Gateways)
	for _, gateway := range free[:min(g.intBetween(0, maxRestarts), len(free))] {
		at := g.durationBetween(quietPeriod, s.Length/2)
		s.Events = append(s.Events, Event{Kind: GatewayRestarts, Gateways: []int{gateway}, At: at, Duration: s.terminationGrace()})
		for range g.intBetween(0, 3) {
			s.Events = append(s.Events, Event{Kind: GatewayMoreSignals, Gateways: []int{gateway}, At: at + g.durationBetween(10*time.Millisecond, s.terminationGrace())})
		}
	}
}
