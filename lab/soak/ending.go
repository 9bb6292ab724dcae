package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of stories of gateways that end.
const (
	mostEndings      = 3                      // gateways of a story
	mostSignals      = 3                      // behind the first SIGTERM
	stopAhead        = 200 * time.Millisecond // of SIGTERM
	leastStopToKill  = 150 * time.Millisecond // behind SIGTERM: idle connections are closed by then
	mostStopToKill   = 900 * time.Millisecond
	stopBehindKill   = 20 * time.Millisecond
	endingSilence    = 0.5 // share of stories in which all engines are silent meanwhile
	endingWithFaults = 0.5 // share of the others with faults at engines
)

// GenerateEnding draws a story of gateways that are told to end, with more signals behind, and stopped around that: for as long as a
// process may be held up, for seconds, or to the kill. The same seed and length give the same story.
func GenerateEnding(seed uint64, length time.Duration) *Story {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0xe4d1)), story: &Story{Seed: seed, Length: length}}
	g.fleet()
	g.settings()
	g.clients()
	switch {
	case g.chance(endingSilence):
		g.silence(g.time(quietAtFirst, length/3))
	case g.chance(endingWithFaults):
		g.faults()
	}
	free := g.rng.Perm(g.story.Gateways)
	for _, gateway := range free[:min(g.number(1, mostEndings), len(free))] {
		g.ending([]int{gateway})
	}
	slices.SortStableFunc(g.story.Events, func(a, b Event) int { return int(a.At - b.At) })
	return g.story
}

// ending has one gateway restarted, with signals in series and a stop.
func (g *generator) ending(gateway []int) {
	s, life := g.story, g.story.life()
	at := g.time(quietAtFirst, max(s.Length-life, 2*quietAtFirst))
	s.Events = append(s.Events, Event{Kind: GatewayRestarts, At: at, For: life, Gateways: gateway})
	for range g.number(0, mostSignals) {
		s.Events = append(s.Events, Event{Kind: GatewayTermTwice, At: at + g.time(10*time.Millisecond, life), Gateways: gateway})
	}
	stop := Event{Kind: GatewayStops, At: at + g.time(-stopAhead, life), For: shortPause, Gateways: gateway}
	switch g.rng.IntN(4) {
	case 0:
		return
	case 1:
		stop.For = g.time(shortPause, longestPause)
	case 2:
		stop.At = at + g.time(leastStopToKill, mostStopToKill)
		stop.For = at + life + stopBehindKill - stop.At
	}
	s.Events = append(s.Events, stop)
}
