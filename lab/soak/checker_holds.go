package soak

import (
	"context"
	"math"
	"slices"
	"time"
)

// This file checks how long engines keep KV state and reservations, and how many requests engines in slow start receive.

// holdBegun records that an engine holds KV state or a reservation for a request from now on.
func (c *checker) holdBegun(id string, engine int, h hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		c.counts.Holds++
		if h.reservation {
			r.dropReservations(engine)
		}
		r.holds[engine] = &h
		c.addHistory(r, "engine %d begins a hold (reservation: %v, closed by the gateway before: %v)", engine, h.reservation, h.callerGone)
	}
}

// dropReservations drops the reservations at other engines, as a request has at most one.
func (r *request) dropReservations(engine int) {
	for e, h := range r.holds {
		if h.reservation && e != engine {
			delete(r.holds, e)
		}
	}
}

// kvStateHolder returns the engine that holds a request's KV state.
func (c *checker) kvStateHolder(id string) (engine int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		for e, h := range r.holds {
			if !h.reservation {
				return e, true
			}
		}
	}
	return 0, false
}

// prefillRunning reports whether an engine is reading the request's prompt.
func (c *checker) prefillRunning(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return false
	}
	for _, a := range r.attempts {
		if a.role == Prefill && !a.ended {
			return true
		}
	}
	return false
}

// holdsTaken records that an answer has begun, which ends all holds of its request.
func (c *checker) holdsTaken(id string, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.answerBegun = true
	if r := c.requests[id]; r != nil {
		clear(r.holds)
	}
}

// releaseReceived records that a running engine has received a release for a request. Holds that
// an attempt still needs stay.
func (c *checker) releaseReceived(id string, engine int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Releases++
	r := c.requests[id]
	if r == nil {
		return
	}
	c.addHistory(r, "engine %d received a release", engine)
	for _, a := range r.attempts {
		if a.role != Prefill && !a.ended && !a.answerBegun {
			return
		}
	}
	if c.scenario.LocalReleases {
		delete(r.holds, engine)
	} else {
		clear(r.holds)
	}
}

// holdsLost records that an engine has lost all its holds.
func (c *checker) holdsLost(engine int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		delete(r.holds, engine)
	}
}

// setReachable records whether a gateway can reach an engine from now on.
func (c *checker) setReachable(gateway, engine int, reachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]int{gateway, engine}
	_, wasReachable := c.reachableSince[key]
	switch {
	case !reachable:
		delete(c.reachableSince, key)
	case !wasReachable:
		c.reachableSince[key] = time.Now()
	}
}

// setDrainKnown records that a gateway has been notified that an engine drains or is gone, or that it is up.
func (c *checker) setDrainKnown(gateway, engine int, drains bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]int{gateway, engine}
	if _, known := c.drainKnownSince[key]; drains && !known {
		c.drainKnownSince[key] = time.Now()
	} else if !drains {
		delete(c.drainKnownSince, key)
	}
}

// gatewayPaused records that a gateway's process is stopped.
func (c *checker) gatewayPaused(gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauses[gateway] = append(c.pauses[gateway], interval{from: time.Now()})
}

// gatewayResumed records that a gateway's process runs again.
func (c *checker) gatewayResumed(gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pauses := c.pauses[gateway]; len(pauses) > 0 {
		pauses[len(pauses)-1].to = time.Now()
	}
}

// pausedBetween is pausedBetweenLocked for callers that do not hold the lock.
func (c *checker) pausedBetween(gateway int, from, to time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pausedBetweenLocked(gateway, from, to)
}

// pausedThroughout reports whether a gateway's process was stopped during the whole time between from and to.
func (c *checker) pausedThroughout(gateway int, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.pauses[gateway], func(p interval) bool {
		return p.from.Before(from) && (p.to.IsZero() || p.to.After(to))
	})
}

// pausedBetweenLocked returns for how long a gateway could not run between two times: its process was
// stopped, which counts if it exceeds toleratedPause, or the machine itself was late.
func (c *checker) pausedBetweenLocked(gateway int, from, to time.Time) time.Duration {
	stopped := overlapping(c.pauses[gateway], from, to)
	if stopped <= toleratedPause {
		stopped = 0
	}
	return stopped + overlapping(c.machineLags, from, to)
}

// overlapping sums the parts of intervals that lie between two times.
func overlapping(intervals []interval, from, to time.Time) (sum time.Duration) {
	for _, p := range intervals {
		begin, end := p.from, p.to
		if end.IsZero() || end.After(to) {
			end = to
		}
		if begin.Before(from) {
			begin = from
		}
		if d := end.Sub(begin); d > 0 {
			sum += d
		}
	}
	return sum
}

// How often the machine's lateness is measured, and the smallest one that counts.
const (
	lagInterval = 5 * time.Millisecond
	minLag      = 20 * time.Millisecond
)

// watchLag records when timers of this machine fire late, until ctx ends: its processors are busy
// then, and a gateway that is late at that time is not at fault.
func (c *checker) watchLag(ctx context.Context) {
	for start := time.Now(); sleep(ctx, lagInterval); start = time.Now() {
		if now := time.Now(); now.Sub(start) > lagInterval+minLag {
			c.mu.Lock()
			c.machineLags = append(c.machineLags, interval{start.Add(lagInterval), now})
			c.recordLatenessLocked(lateTimer, start.Add(lagInterval), now.Sub(start)-lagInterval)
			c.mu.Unlock()
		}
	}
}

// gatewayExited records that a gateway's process has exited; dropping the holds of its requests is then up to the engines.
func (c *checker) gatewayExited(gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exitedAt[gateway] = time.Now()
	for _, r := range c.requests {
		if r.gateway == gateway {
			clear(r.holds)
		}
	}
}

// sweep looks for holds that last too long and for attempts that overlap.
func (c *checker) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range c.requests {
		inFlight := c.inFlightAttempts(r, now)
		for e, h := range r.holds {
			if r.sentAt.Before(c.exitedAt[r.gateway]) {
				delete(r.holds, e) // its gateway has exited since
				continue
			}
			if from, counts := c.holdCountedFrom(r, e, h); counts && inFlight == 0 {
				if held := now.Sub(from) - c.pausedBetweenLocked(r.gateway, from, now); held > maxHoldTime {
					c.addViolation(RuleHolds, r, "engine %d keeps a hold (reservation: %v) for %v with no attempt in flight", e, h.reservation, held)
				}
			}
		}
	}
}

// inFlightAttempts counts the attempts of a request that are in flight, and records those that the gateway has closed.
func (c *checker) inFlightAttempts(r *request, now time.Time) (inFlight int) {
	for _, a := range r.attempts {
		if a.ended {
			continue
		}
		if a.conn.closedByCaller() {
			a.ended, r.lastAttemptEnd = true, now
			c.addHistory(r, "engine %d: closed by the gateway", a.engine)
			continue
		}
		inFlight++
		if !a.overlapSince.IsZero() && now.Sub(a.overlapSince) > maxOverlap {
			c.addViolation(RuleDuplicate, r, "an attempt at engine %d is still in flight beside another", a.engine)
		}
	}
	return inFlight
}

// holdCountedFrom returns the time from which a hold counts; counts is false while no gateway can release it. A hold for
// an attempt or a call that the gateway had closed before is known to its engine alone, and can't be released while that
// engine is unreachable.
func (c *checker) holdCountedFrom(r *request, engine int, h *hold) (from time.Time, counts bool) {
	from = h.since
	if r.lastAttemptEnd.After(from) {
		from = r.lastAttemptEnd
	}
	var reachableSince time.Time
	for e := range c.scenario.Engines {
		if (c.scenario.LocalReleases || h.callerGone) && e != engine {
			continue
		}
		if at, ok := c.reachableSince[[2]int{r.gateway, e}]; ok && (!counts || at.Before(reachableSince)) {
			reachableSince, counts = at, true
		}
	}
	if reachableSince.After(from) {
		from = reachableSince
	}
	return from, counts
}

// Limits of slow start; the first three are also in the gateways' settings.
const (
	slowStartMultiple  = 2.5
	coldCapacity       = 0.31
	warmUpTime         = 12 * time.Second
	engineRate         = 20.0 // assumed capacity of a warm engine, in requests per second
	burstSlackRoots    = 3
	burstSlackRequests = 3
)

// engineStarted records that an engine has restarted and is cold.
func (c *checker) engineStarted(engine int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldEngines[engine] = &coldEngine{startedAt: time.Now()}
}

// checkSlowStart counts the requests that a cold engine receives within a second. The limit is the slow-start budget, plus
// burstSlackRoots times its square root, plus burstSlackRequests.
func (c *checker) checkSlowStart(engine int, now time.Time) {
	e := c.coldEngines[engine]
	if e == nil || now.Sub(e.startedAt) > warmUpTime {
		return
	}
	e.arrivals = append(e.arrivals, now)
	for len(e.arrivals) > 0 && now.Sub(e.arrivals[0]) > time.Second {
		e.arrivals = e.arrivals[1:]
	}
	budget := slowStartMultiple * coldCapacity * engineRate
	if n := float64(len(e.arrivals)); n > budget+burstSlackRoots*math.Sqrt(budget)+burstSlackRequests {
		c.addViolation(RuleSlowStart, nil, "engine %d, started %v ago, received %v requests within a second", engine, now.Sub(e.startedAt), n)
		delete(c.coldEngines, engine)
	}
}
