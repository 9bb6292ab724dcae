package soak

import (
	"context"
	"math"
	"slices"
	"time"
)

// This file checks what is held, and what engines that have just started are sent.

// holds tells that an engine holds a KV state or a reservation for a request from now on.
func (c *checker) holds(id string, engine int, h hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		c.counts.Holds++
		if h.place {
			r.dropPlaces(engine)
		}
		r.holds[engine] = &h
		c.note(r, "engine %d holds (reservation: %v, given up before: %v)", engine, h.place, h.unknown)
	}
}

// dropPlaces takes back the reservations at other engines: a request has one.
func (r *request) dropPlaces(engine int) {
	for e, h := range r.holds {
		if h.place && e != engine {
			delete(r.holds, e)
		}
	}
}

// stateAt gives the engine that holds a request's KV state.
func (c *checker) stateAt(id string) (engine int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		for e, h := range r.holds {
			if !h.place {
				return e, true
			}
		}
	}
	return 0, false
}

// reading tells whether a prompt is being read for a request.
func (c *checker) reading(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return false
	}
	for _, a := range r.attempts {
		if a.role == Prefill && !a.over {
			return true
		}
	}
	return false
}

// takesHolds tells that an answer has begun, with which all that is held goes.
func (c *checker) takesHolds(id string, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.begun = true
	if r := c.requests[id]; r != nil {
		clear(r.holds)
	}
}

// releases tells that an engine that runs has got the call to let go of a request. What an
// attempt waits for stays.
func (c *checker) releases(id string, engine int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Releases++
	r := c.requests[id]
	if r == nil {
		return
	}
	c.note(r, "engine %d is told to release", engine)
	for _, a := range r.attempts {
		if a.role != Prefill && !a.over && !a.begun {
			return
		}
	}
	if c.story.OwnReleases {
		delete(r.holds, engine)
	} else {
		clear(r.holds)
	}
}

// forgets tells that an engine has lost all that it held.
func (c *checker) forgets(engine int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		delete(r.holds, engine)
	}
}

// reaches tells whether a gateway can reach an engine from now on.
func (c *checker) reaches(gateway, engine int, can bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := [2]int{gateway, engine}
	_, could := c.openFrom[k]
	switch {
	case !can:
		delete(c.openFrom, k)
	case !could:
		c.openFrom[k] = time.Now()
	}
}

// drains tells that a gateway has been told that an engine drains or is gone, or is up again.
func (c *checker) drains(gateway, engine int, drains bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := [2]int{gateway, engine}
	if _, known := c.told[k]; drains && !known {
		c.told[k] = time.Now()
	} else if !drains {
		delete(c.told, k)
	}
}

// pausedFrom tells that a gateway's process is stopped; the end of the pause is set by resumed.
func (c *checker) pausedFrom(gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauses[gateway] = append(c.pauses[gateway], pause{from: time.Now()})
}

func (c *checker) resumed(gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list := c.pauses[gateway]; len(list) > 0 {
		list[len(list)-1].to = time.Now()
	}
}

// pausedSince is paused, for clients.
func (c *checker) pausedSince(gateway int, from, to time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused(gateway, from, to)
}

// stoppedThrough tells whether a gateway's process did not run at any moment between two times.
func (c *checker) stoppedThrough(gateway int, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.pauses[gateway], func(p pause) bool {
		return p.from.Before(from) && (p.to.IsZero() || p.to.After(to))
	})
}

// paused is for how long a gateway could not run between two times: it was stopped, for longer than
// it may be held up without excuse, or the machine itself was late.
func (c *checker) paused(gateway int, from, to time.Time) time.Duration {
	stopped := within(c.pauses[gateway], from, to)
	if stopped <= heldUpFor {
		stopped = 0
	}
	return stopped + within(c.lags, from, to)
}

// within sums the parts of pauses that lie between two times.
func within(list []pause, from, to time.Time) (sum time.Duration) {
	for _, p := range list {
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

// Times of looks at how late the machine is.
const (
	lagEvery = 5 * time.Millisecond
	leastLag = 20 * time.Millisecond
)

// watchLag notes when the machine itself is late, until ctx ends: its processor is busy with
// other things then, and a gateway that is late as well is not to blame.
func (c *checker) watchLag(ctx context.Context) {
	for begun := time.Now(); sleep(ctx, lagEvery); begun = time.Now() {
		if now := time.Now(); now.Sub(begun) > lagEvery+leastLag {
			c.mu.Lock()
			c.lags = append(c.lags, pause{begun.Add(lagEvery), now})
			c.noteLate(lateTimer, begun.Add(lagEvery), now.Sub(begun)-lagEvery)
			c.mu.Unlock()
		}
	}
}

// ended tells that a gateway's process has: what it held for requests is the engines' to drop.
func (c *checker) ended(gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.died[gateway] = time.Now()
	for _, r := range c.requests {
		if r.gateway == gateway {
			clear(r.holds)
		}
	}
}

// sweep looks for what has been held too long and for attempts that overlap.
func (c *checker) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range c.requests {
		out := c.out(r, now)
		for e, h := range r.holds {
			if r.asked.Before(c.died[r.gateway]) {
				delete(r.holds, e) // its gateway has ended since
				continue
			}
			if from, counts := c.heldFrom(r, e, h); counts && out == 0 {
				if held := now.Sub(from) - c.paused(r.gateway, from, now); held > heldFor {
					c.broke(Held, r, "engine %d has held (reservation: %v) for %v with no attempt out", e, h.place, held)
				}
			}
		}
	}
}

// out counts a request's attempts that are out, and notes those that their callers have closed.
func (c *checker) out(r *request, now time.Time) (out int) {
	for _, a := range r.attempts {
		if a.over {
			continue
		}
		if a.conn.ended() {
			a.over, r.lastEnd = true, now
			c.note(r, "engine %d: the caller has closed", a.engine)
			continue
		}
		out++
		if !a.overlapAt.IsZero() && now.Sub(a.overlapAt) > overlapFor {
			c.broke(Duplicate, r, "an attempt at engine %d is still out beside another", a.engine)
		}
	}
	return out
}

// heldFrom is the time from which a hold counts; counts is false while nobody could release it. What
// came to be held for an attempt or a call that had been given up is known to nobody but its engine,
// and can't be released before that is reached.
func (c *checker) heldFrom(r *request, engine int, h *hold) (from time.Time, counts bool) {
	from = h.since
	if r.lastEnd.After(from) {
		from = r.lastEnd
	}
	var open time.Time
	for e := range c.story.Engines {
		if (c.story.OwnReleases || h.unknown) && e != engine {
			continue
		}
		if at, ok := c.openFrom[[2]int{r.gateway, e}]; ok && (!counts || at.Before(open)) {
			open, counts = at, true
		}
	}
	if open.After(from) {
		from = open
	}
	return from, counts
}

// Figures of engines in slow start, which the settings tell as well.
const (
	fallMultiple  = 2.5
	coldFrom      = 0.31
	warmWithin    = 12 * time.Second
	engineRate    = 20.0 // requests a second that a warm engine of the soak stands for
	slackRoots    = 3
	slackRequests = 3
)

// starts tells that an engine has started anew, cold.
func (c *checker) starts(engine int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold[engine] = &coldEngine{since: time.Now()}
}

// bear counts what a cold engine is sent within a second.
func (c *checker) bear(engine int, now time.Time) {
	e := c.cold[engine]
	if e == nil || now.Sub(e.since) > warmWithin {
		return
	}
	e.arrivals = append(e.arrivals, now)
	for len(e.arrivals) > 0 && now.Sub(e.arrivals[0]) > time.Second {
		e.arrivals = e.arrivals[1:]
	}
	budget := fallMultiple * coldFrom * engineRate
	if n := float64(len(e.arrivals)); n > budget+slackRoots*math.Sqrt(budget)+slackRequests {
		c.broke(Failback, nil, "engine %d, started %v ago, got %v requests in a second", engine, now.Sub(e.since), n)
		delete(c.cold, engine)
	}
}
