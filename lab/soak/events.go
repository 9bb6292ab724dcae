package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playEvent starts an event, waits for its duration and ends it.
func (tb *testbed) playEvent(ctx context.Context, e Event) {
	switch e.Kind {
	case DiscoverySilent:
		tb.changeDiscoverySilence(e, 1)
		sleep(ctx, e.Duration)
		tb.changeDiscoverySilence(e, -1)
	case GatewayReloads, GatewayPauses, GatewayRestarts, GatewayMoreSignals:
		for _, index := range e.Gateways {
			tb.background.Go(func() { tb.disturbGateway(ctx, tb.gateways[index], e) })
		}
		sleep(ctx, e.Duration)
	default:
		for _, index := range e.Engines {
			tb.beginFault(tb.engines[index], e)
		}
		sleep(ctx, e.Duration)
		for _, index := range e.Engines {
			tb.endFault(tb.engines[index], e)
		}
	}
}

// changeDiscoverySilence adds delta to the count of silences of each gateway's agent: 1 begins one, -1 ends it.
func (tb *testbed) changeDiscoverySilence(e Event, delta int) {
	for _, index := range e.Gateways {
		g := tb.gateways[index]
		g.mu.Lock()
		a := g.agent
		g.mu.Unlock()
		a.changeSilence(delta)
	}
}

// disturbGateway applies an event to a gateway's process.
func (tb *testbed) disturbGateway(ctx context.Context, g *gateway, e Event) {
	switch e.Kind {
	case GatewayPauses:
		g.pauseFor(e.Duration)
	case GatewayReloads:
		if err := g.reload(); err != nil {
			tb.checker.reportViolation(RuleCrash, "", fmt.Sprintf("gateway %d could not be reloaded: %v", g.index, err))
		}
	case GatewayMoreSignals:
		g.signalAgain()
	case GatewayRestarts:
		g.terminate()
		if ctx.Err() != nil {
			return
		}
		if err := g.start(); err != nil {
			tb.checker.reportViolation(RuleCrash, "", fmt.Sprintf("gateway %d did not restart: %v", g.index, err))
		}
	}
}

// signalAgain sends further signals to a process that is terminating.
func (g *gateway) signalAgain() {
	g.mu.Lock()
	terminating := !g.termAt.IsZero()
	g.mu.Unlock()
	if terminating {
		g.signal(syscall.SIGHUP)
		g.signal(syscall.SIGTERM)
	}
}

// silenceLinks begins or ends a silence of the links from some gateways to an engine.
func (tb *testbed) silenceLinks(e *engine, gateways []int, cut, silent bool) {
	var all sync.WaitGroup // filling a listener's backlog takes time
	for _, g := range gateways {
		all.Go(func() {
			var err error
			if silent {
				tb.checker.setReachable(g, e.index, false)
				err = e.links[g].beginSilence(cut)
			} else {
				err = e.links[g].endSilence(cut)
				tb.checker.setReachable(g, e.index, e.links[g].isOpen())
			}
			if err != nil { // without its silence the scenario tests nothing
				tb.checker.reportViolation(RuleCrash, "", fmt.Sprintf("soak failure: link of gateway %d to engine %d: %v", g, e.index, err))
			}
		})
	}
	all.Wait()
}

func (tb *testbed) allGateways() []int {
	indexes := make([]int, tb.scenario.Gateways)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// beginFault starts a fault at an engine.
func (tb *testbed) beginFault(e *engine, event Event) {
	switch event.Kind {
	case EngineStops, EngineUnreachable:
		tb.silenceLinks(e, tb.allGateways(), event.Kind == EngineUnreachable, true)
		e.pause()
	case NetworkCut:
		tb.silenceLinks(e, event.Gateways, true, true)
	case EngineResetsConnections:
		for _, gatewayLink := range e.links {
			gatewayLink.resetAll()
		}
	case ConnectionsDead:
		for _, gatewayLink := range e.links {
			gatewayLink.killConns(event.Share)
		}
	case EngineDrains:
		e.withLock(func() { e.draining = true })
		tb.updateMembership(e.index, lifecycleDraining, tb.startTime(e.index))
	case EngineCrashes:
		tb.crashEngine(e)
	default:
		e.withLock(func() { e.applyFault(event, 1) })
	}
}

// endFault ends a fault at an engine.
func (tb *testbed) endFault(e *engine, event Event) {
	switch event.Kind {
	case EngineStops, EngineUnreachable:
		e.resume()
		tb.silenceLinks(e, tb.allGateways(), event.Kind == EngineUnreachable, false)
	case NetworkCut:
		tb.silenceLinks(e, event.Gateways, true, false)
	case EngineResetsConnections:
	case ConnectionsDead:
		for _, gatewayLink := range e.links {
			gatewayLink.killConns(0)
		}
	case EngineDrains:
		e.withLock(func() { e.draining = false })
		tb.updateMembership(e.index, lifecycleUp, tb.startTime(e.index))
	case EngineCrashes:
		tb.restartEngine(e)
	default:
		e.withLock(func() { e.applyFault(event, -1) })
	}
}

// startTime returns the start of an engine's process as membership reports it, in ms since 1970.
func (tb *testbed) startTime(engine int) float64 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.startedAt[engine]
}

// crashEngine ends an engine's process; all its holds are lost.
func (tb *testbed) crashEngine(e *engine) {
	e.withLock(func() { e.incarnation++ })
	for g, gatewayLink := range e.links {
		tb.checker.setReachable(g, e.index, false)
		gatewayLink.crash()
	}
	tb.checker.holdsLost(e.index)
}

// restartEngine starts an engine's process, cold, at its old address.
func (tb *testbed) restartEngine(e *engine) {
	tb.checker.engineStarted(e.index)
	for g, gatewayLink := range e.links {
		if err := gatewayLink.restart(); err != nil {
			tb.checker.reportViolation(RuleCrash, "", fmt.Sprintf("soak failure: engine %d did not restart: %v", e.index, err))
			continue
		}
		tb.checker.setReachable(g, e.index, gatewayLink.isOpen())
	}
	tb.updateMembership(e.index, lifecycleUp, float64(time.Now().UnixMilli()))
}

// withLock calls f with the engine's lock held.
func (e *engine) withLock(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// pause stops the engine's process; resume continues it once every pause has ended.
func (e *engine) pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pauses++; e.pauses == 1 {
		e.resumed = make(chan struct{})
	}
}

func (e *engine) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pauses--; e.pauses == 0 {
		close(e.resumed)
	}
}

// applyFault starts (delta 1) or ends (delta -1) a fault. The caller holds the lock.
func (e *engine) applyFault(event Event, delta int) {
	switch event.Kind {
	case EngineHangs:
		if e.hangs += delta; e.hangs == 1 && delta > 0 {
			e.unhung = make(chan struct{})
		} else if e.hangs == 0 {
			close(e.unhung)
		}
	case EngineRefuses:
		e.refuses += delta
	case EngineResetsAttempts:
		e.resets += delta
	case EngineLosesAnswers:
		e.loses += delta
	case EngineStopsShort:
		e.stopsShort += float64(delta) * event.Share
	case EngineAnswersLate:
		e.answerDelay += time.Duration(delta) * event.Delay
	}
}
