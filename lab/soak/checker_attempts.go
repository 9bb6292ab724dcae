package soak

import "time"

// This file checks attempts: that none runs beside or behind another that may have run, and when they come.

// takes tells that an engine that runs has read an attempt whole. It gives the attempt, or nil
// for a request that no client has sent.
func (c *checker) takes(id string, gateway, engine int, conn *linkConn, begun time.Time, remaining time.Duration) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, now := c.requests[id], time.Now()
	if r == nil {
		c.broke(Lost, nil, "engine %d got a request %q that no client sent", engine, id)
		return nil
	}
	c.counts.Attempts++
	a := &attempt{engine: engine, role: c.story.Engines[engine].Role, conn: conn, over: conn.ended()}
	came := conn.arrived(now)
	if came.Before(begun) { // its engine was late to see that it begins
		begun = came
	}
	if open, ok := c.openFrom[[2]int{gateway, engine}]; ok && open.Before(came) { // else it was silent on purpose
		c.noteLate(lateEngine, came, now.Sub(came))
	}
	c.note(r, "engine %d (%s) takes an attempt that came %v before, told %v; given up before: %v", engine, a.role, now.Sub(came), remaining, a.over)
	for _, other := range r.attempts {
		if !a.over && !other.over && other.overlapAt.IsZero() {
			other.overlapAt = now
		}
		if r.class.Effect == SideEffect && a.role != Prefill && other.role != Prefill && !other.turned {
			c.broke(Duplicate, r, "engine %d runs it too, after engine %d", engine, other.engine)
		}
	}
	r.attempts = append(r.attempts, a)
	if a.role != Prefill {
		r.dropPlaces(engine)
	}
	if r.answer == answerRefused {
		c.refusedAfterRun(r)
	}
	c.timely(r, gateway, engine, now, begun, came, remaining)
	c.bear(engine, now)
	return a
}

// timely checks when an attempt began, and what it was told as its last byte came, where nothing but the gateway can have delayed
// it. That the lab itself reads that byte late is not the gateway's doing, nor that a client notes late that its request is written.
func (c *checker) timely(r *request, gateway, engine int, now, begun, came time.Time, remaining time.Duration) {
	open, reachable := c.openFrom[[2]int{gateway, engine}]
	steady := func(from time.Time) bool { return reachable && open.Before(from) }
	if since, drains := c.told[[2]int{gateway, engine}]; drains && steady(since) {
		if late := begun.Sub(since) - c.paused(gateway, since, now); late > drainFor {
			c.broke(Drain, r, "sent to engine %d %v after gateway %d was told that it drains or is gone", engine, late, gateway)
		}
	}
	if !r.left.IsZero() && steady(r.left) {
		if late := begun.Sub(r.left) - c.paused(gateway, r.left, now); late > leaveSlack {
			c.broke(Lost, r, "an attempt at engine %d began %v after its client had left", engine, late)
		}
	}
	r.untimed = append(r.untimed, func() {
		left := r.class.Deadline - came.Sub(r.asked)
		if steady(r.asked) && remaining > left+toldSlack+c.paused(gateway, r.asked, came) {
			c.broke(Told, r, "engine %d is told %v with %v left", engine, remaining, left)
		}
	})
	if r.written {
		r.time()
	}
}

// ends tells how an attempt has ended at its engine.
func (c *checker) ends(id string, a *attempt, how string, turned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil || a == nil {
		return
	}
	c.note(r, "engine %d: %s", a.engine, how)
	a.turned = a.turned || turned
	if !a.over {
		a.over, r.lastEnd = true, time.Now()
	}
}

// leftInStream tells that an engine at work saw a stream left by the caller. That of an attempt
// which had been given up for another is nobody's.
func (c *checker) leftInStream(id string, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil && r.attempts[len(r.attempts)-1] == a {
		r.leftIn = true
	}
}
