package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
)

// Bounds of scenarios in which clients flood gateways and engines stop short.
const (
	maxFloodedGateways = 2
	maxFloodClients    = 3 // of each flooded gateway
	maxShortStops      = 3
	floodBatch         = 20 // requests in one write
)

// GenerateFlood draws a scenario in which some clients send unsound requests at full speed and engines end answers before they are
// whole, beside the faults and signals of Generate. The same seed and length give the same scenario.
func GenerateFlood(seed uint64, length time.Duration) *FaultScenario {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0xf10d)), scenario: &FaultScenario{Seed: seed, Length: length}}
	g.fleet()
	g.settings()
	g.clients()
	g.floodClients()
	g.faults()
	g.shortStops()
	g.gatewaySignals()
	slices.SortStableFunc(g.scenario.Events, func(a, b Event) int { return int(a.At - b.At) })
	return g.scenario
}

// floodClients adds clients that flood one gateway or two.
func (g *generator) floodClients() {
	s := g.scenario
	for _, gateway := range g.rng.Perm(s.Gateways)[:min(g.intBetween(1, maxFloodedGateways), s.Gateways)] {
		for range g.intBetween(1, maxFloodClients) {
			s.Clients = append(s.Clients, Client{Kind: ClientFloods, Gateway: gateway})
		}
	}
}

// shortStops adds times in which engines end their answers before they are whole.
func (g *generator) shortStops() {
	s := g.scenario
	for range g.intBetween(1, maxShortStops) {
		s.Events = append(s.Events, Event{
			Kind: EngineStopsShort, At: g.durationBetween(quietPeriod, s.Length*4/5), Duration: g.durationBetween(minFaultTime, maxFaultTime),
			Engines: g.engineSubset(), Share: 0.5,
		})
	}
}

// flood sends requests of classes that the settings do not have, without waiting for their answers, until ctx ends.
func (c *client) flood(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.gateway.listen, dialTimeout)
		if err != nil {
			sleep(ctx, redialWait)
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn) // returns when the connection ends
		}()
		for err == nil {
			var text strings.Builder
			for range floodBatch {
				c.requestCount++
				fmt.Fprintf(&text, "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %s%06x\r\nX-Lane: flood-%d\r\nX-Remaining: 5.000\r\nContent-Length: 2\r\n\r\n{}",
					c.name, c.requestCount, c.requestCount)
			}
			_, err = io.WriteString(conn, text.String())
		}
		conn.Close()
		stop()
		<-ended
	}
}
