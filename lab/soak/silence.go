package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of scenarios in which all engines are silent.
const (
	maxSilences           = 2
	minSilence            = 150 * time.Millisecond
	maxSilence            = 4 * time.Second
	silenceStartSpread    = 120 * time.Millisecond // time within which all engines fall silent
	maxReturnGap          = 900 * time.Millisecond // from the return of one engine to that of the next
	maxAbsence            = 6 * time.Second        // of the last engine that returns
	hangOnReturnShare     = 0.2                    // share of engines that hang when they return
	staysSilentShare      = 0.25                   // share of silences whose last engine does not return within the scenario
	disturbedSilenceShare = 0.7                    // share of silences with a signal, a drain or both during the silence
)

// GenerateSilence draws a scenario in which all engines fall silent at about the same time and return one by one, with
// signals, drains and clients that close early during the silence. The same seed and length give the same scenario.
func GenerateSilence(seed uint64, length time.Duration) *FaultScenario {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0x51e4)), scenario: &FaultScenario{Seed: seed, Length: length}}
	g.fleet()
	g.settings()
	g.clients()
	g.moreEarlyClosers()
	at := g.durationBetween(quietPeriod, length/4)
	for range g.intBetween(1, maxSilences) {
		end := g.engineSilence(at)
		g.eventsDuringSilence(at, end)
		if at = end + g.durationBetween(quietPeriod, 2*quietPeriod); at > length*4/5 {
			break
		}
	}
	slices.SortStableFunc(g.scenario.Events, func(a, b Event) int { return int(a.At - b.At) })
	return g.scenario
}

// moreEarlyClosers turns some steady clients into ones that close early.
func (g *generator) moreEarlyClosers() {
	for i := range g.scenario.Clients {
		if g.scenario.Clients[i].Kind == ClientSteady && g.chance(0.3) {
			g.scenario.Clients[i].Kind = ClientClosesEarly
		}
	}
}

// engineSilence makes all engines fall silent and return one by one, and returns the time at which the first is back. Engines are
// cut off, stopped or unreachable; only those that are stopped still establish connections.
func (g *generator) engineSilence(at time.Duration) (firstBack time.Duration) {
	kinds := []EventKind{EngineStops, EngineUnreachable, NetworkCut}
	kindOfAll, mixed := kinds[g.rng.IntN(len(kinds))], g.chance(0.3)
	firstBack = at + g.durationBetween(minSilence, maxSilence)
	back := firstBack
	order := g.rng.Perm(len(g.scenario.Engines))
	lastStaysSilent := g.chance(staysSilentShare)
	for i, engine := range order {
		kind := kindOfAll
		if mixed {
			kind = kinds[g.rng.IntN(len(kinds))]
		}
		from := at + g.durationBetween(0, silenceStartSpread)
		if lastStaysSilent && i == len(order)-1 {
			back = g.scenario.Length + 2*settleTime
		}
		e := Event{Kind: kind, At: from, Duration: max(back-from, minFaultTime), Engines: []int{engine}}
		if kind == NetworkCut {
			e.Gateways = g.allGateways()
		}
		g.scenario.Events = append(g.scenario.Events, e)
		if g.chance(hangOnReturnShare) {
			g.scenario.Events = append(g.scenario.Events, Event{
				Kind: EngineHangs, At: from, Duration: e.Duration + g.durationBetween(minFaultTime, time.Second), Engines: []int{engine},
			})
		}
		back = min(back+g.durationBetween(0, maxReturnGap), at+maxAbsence)
	}
	return firstBack
}

func (g *generator) allGateways() (indexes []int) {
	for i := range g.scenario.Gateways {
		indexes = append(indexes, i)
	}
	return indexes
}

// eventsDuringSilence draws events that overlap with a silence.
func (g *generator) eventsDuringSilence(from, to time.Duration) {
	if !g.chance(disturbedSilenceShare) {
		return
	}
	s := g.scenario
	inside := func() time.Duration { return g.durationBetween(from, to+maxReturnGap) }
	switch g.rng.IntN(4) {
	case 0:
		s.Events = append(s.Events, Event{Kind: EngineDrains, At: inside(), Duration: g.durationBetween(time.Second, maxFaultTime), Engines: g.engineSubset()})
	case 1:
		s.Events = append(s.Events, Event{Kind: GatewayReloads, At: inside(), Gateways: g.gatewaySubset()})
	case 2:
		stop := Event{Kind: GatewayPauses, At: inside(), Duration: minPause, Gateways: g.gatewaySubset()}
		if g.chance(0.5) {
			stop.Duration = g.durationBetween(minPause, maxPause)
		}
		s.Events = append(s.Events, stop)
	}
	if g.chance(0.4) {
		gateway, at := []int{g.rng.IntN(s.Gateways)}, inside()
		s.Events = append(s.Events, Event{Kind: GatewayRestarts, At: at, Duration: s.terminationGrace(), Gateways: gateway},
			Event{Kind: GatewayMoreSignals, At: at + g.durationBetween(10*time.Millisecond, s.terminationGrace()), Gateways: gateway})
	}
}
