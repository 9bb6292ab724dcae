package soak

import "time"

// This file checks attempts: that none runs beside another, or after another that may have run, and that they arrive in time.

// attemptReceived records that a running engine has read an attempt whole. It returns the attempt,
// or nil if no client has sent the request.
func (c *checker) attemptReceived(id string, gateway, engine int, conn *linkConn, began time.Time, remaining time.Duration) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, now := c.requests[id], time.Now()
	if r == nil {
		c.addViolation(RuleLost, nil, "engine %d received request %q, which no client sent", engine, id)
		return nil
	}
	c.counts.Attempts++
	a := &attempt{engine: engine, role: c.scenario.Engines[engine].Role, conn: conn, ended: conn.closedByCaller()}
	arrived := conn.lastArrival(now)
	if arrived.Before(began) { // the engine's handler started late
		began = arrived
	}
	if since, ok := c.reachableSince[[2]int{gateway, engine}]; ok && since.Before(arrived) { // otherwise the engine was silent by a fault
		c.recordLatenessLocked(lateEngine, arrived, now.Sub(arrived))
	}
	c.addHistory(r, "engine %d (%s) received an attempt that arrived %v before, remaining time %v; closed by the gateway before: %v",
		engine, a.role, now.Sub(arrived), remaining, a.ended)
	for _, other := range r.attempts {
		if !a.ended && !other.ended && other.overlapSince.IsZero() {
			other.overlapSince = now
		}
		if r.class.Effect == SideEffect && a.role != Prefill && other.role != Prefill && !other.rejected {
			c.addViolation(RuleDuplicate, r, "engine %d runs it as well, after engine %d", engine, other.engine)
		}
	}
	r.attempts = append(r.attempts, a)
	if a.role != Prefill {
		r.dropReservations(engine)
	}
	if r.outcome == answerRefused {
		c.checkRefusal(r)
	}
	c.checkTiming(r, gateway, engine, now, began, arrived, remaining)
	c.checkSlowStart(engine, now)
	return a
}

// checkTiming checks when an attempt began and the remaining time it carried when its last byte arrived, if only the gateway can have
// delayed it. Times count to the arrival, not to the read: the laboratory itself may read late, and a client may record late that its
// request is written.
func (c *checker) checkTiming(r *request, gateway, engine int, now, began, arrived time.Time, remaining time.Duration) {
	open, reachable := c.reachableSince[[2]int{gateway, engine}]
	reachableAt := func(from time.Time) bool { return reachable && open.Before(from) }
	if since, drains := c.drainKnownSince[[2]int{gateway, engine}]; drains && reachableAt(since) {
		if late := began.Sub(since) - c.pausedBetweenLocked(gateway, since, now); late > maxDrainDelay {
			c.addViolation(RuleDrain, r, "sent to engine %d %v after gateway %d was notified that it drains or is gone", engine, late, gateway)
		}
	}
	if !r.leftAt.IsZero() && reachableAt(r.leftAt) {
		if late := began.Sub(r.leftAt); late > cancelSlack { // a pause is no excuse: the close waits at the gateway's machine
			c.addViolation(RuleLost, r, "an attempt at engine %d began %v after its client had closed its connection", engine, late)
		}
	}
	r.pendingChecks = append(r.pendingChecks, func() {
		left := r.class.Deadline - arrived.Sub(r.sentAt)
		if reachableAt(r.sentAt) && remaining > left+remainingTimeSlack+c.pausedBetweenLocked(gateway, r.sentAt, arrived) {
			c.addViolation(RuleRemainingTime, r, "an attempt at engine %d carries a remaining time of %v with %v left", engine, remaining, left)
		}
	})
	if r.fullyWritten {
		r.runPendingChecks()
	}
}

// attemptEnded records how an attempt has ended at its engine, and whether the engine rejected it.
func (c *checker) attemptEnded(id string, a *attempt, event string, rejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil || a == nil {
		return
	}
	c.addHistory(r, "engine %d: %s", a.engine, event)
	a.rejected = a.rejected || rejected
	if !a.ended {
		a.ended, r.lastAttemptEnd = true, time.Now()
	}
}

// streamClosedByCaller records that a working engine saw the gateway close a stream. It ignores an
// attempt that the gateway has already replaced by another.
func (c *checker) streamClosedByCaller(id string, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil && r.attempts[len(r.attempts)-1] == a {
		r.streamClosed = a
	}
}
