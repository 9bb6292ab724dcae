package ashwood

import (
	"math"
	"slices"
	"time"
)

// judge moves the health of a server and of the path to its zone: one where all
// fails is left as a whole. Peers are the yardstick: shared trouble ejects nobody.
func (s *Scheduler) updateHealth(v *trackedServer, r *trackedRequest, ok bool) {
	v.addSample(ok)
	if v.Zone != s.settings.Zone {
		all := !slices.ContainsFunc(s.sortedServers, func(o *trackedServer) bool {
			return o.active && (o.Zone == v.Zone && o.failureRate < ejectFailureRate/2 || o.Zone == s.settings.Zone && o.failureRate > ejectFailureRate)
		})
		v.zonePath.addSample(ok)
		v.zonePath.updateEjection(s.now, r.ID, ok, !ok && all && v.zonePath.failureRate > 2*ejectFailureRate)
	}
	peers, gone, fails, ratios := 0.0, 1.0, 0.0, []float64{}
	for _, o := range s.sortedServers {
		if o == v || !o.active || o.role != v.role {
			continue
		}
		peers++
		fails += o.failureRate
		ratios = append(ratios, o.latencyRatio)
		if o.ejected {
			gone++
		}
	}
	var bad bool
	if peers > 0 && gone <= maxEjectedShare*(peers+1) {
		slices.Sort(ratios)
		bad = ok && v.latencyRatio > ejectLatencyRatio*max(ratios[len(ratios)/2], 1) || !ok && v.failureRate > ejectFailureRate+fails/peers/2
	}
	if was := v.ejected; v.updateEjection(s.now, r.ID, ok, bad) && was {
		v.latencyRatio = 1
	}
}

// sample takes in one result.
func (h *health) addSample(ok bool) {
	h.failureRate *= 1 - ewmaWeight
	if !ok {
		h.failureRate += ewmaWeight
	}
}

// judge ejects on bad and tells whether all is well. What is ejected comes
// back by a single trial, later each time that the trial fails.
func (h *health) updateEjection(now time.Duration, id RequestID, ok, bad bool) bool {
	switch {
	case h.ejected && h.trialRequest != id:
		return false
	case h.ejected && ok:
		h.ejected, h.failureRate = false, min(h.failureRate, ejectFailureRate*0.7)
	case h.ejected || bad:
		h.ejected = true
		h.backoff = max(min(h.backoff*2, maxBackoff), minBackoff)
		h.ejectedUntil = now + h.backoff
	case h.failureRate < ejectFailureRate/4:
		h.backoff = 0
	}
	return !h.ejected
}

func (h *health) trialDue(now time.Duration) bool {
	return h.ejected && now >= h.ejectedUntil && h.trialRequest == ""
}

// overloaded tells of a reader that by its own word holds far more than its peers: it
// hangs, or has been found by too many at once.
func (s *Scheduler) overloaded(v *trackedServer) bool {
	told, n := s.meanOver(v.role, func(o *trackedServer) (float64, bool) {
		return o.report[ReportInFlight], o != v && len(o.report) > 0
	})
	return s.settings.Nodes > manyNodes && v.role == RoleRead && n > 0 && v.report[ReportInFlight]-told > maxLoadGap
}

// usable tells whether a request may go to a server at this moment.
func (s *Scheduler) usable(r *trackedRequest, v *trackedServer) bool {
	return v.active && !r.tried[v] && r.mayRunOn(v, s.now) && s.now >= v.pausedUntil && s.slowStartAllows(v, r)
}

func (s *Scheduler) healthy(v *trackedServer) bool { return !v.ejected && !v.zonePath.ejected }

// avoided tells of a server in the list that the ordinary path leaves out at this moment: it
// drains, is ejected or its zone is, or it turned something away of late.
func (s *Scheduler) avoided(v *trackedServer) bool {
	return v.State != StateRemoved && (!v.active || !s.healthy(v) || s.now < v.pausedUntil)
}

// inSlowStart tells whether a server may still be warming up.
func (s *Scheduler) inSlowStart(v *trackedServer) bool {
	return v.Started > 0 && s.now-v.Started < s.settings.Rules.SlowStartDuration
}

// slowStartAllows keeps rule 4: this node's part of what a cold server can take, from
// what warm ones finish. Under one request a window it is one in so many
// windows, the first at a time drawn by seed, so that the sum keeps to it.
func (s *Scheduler) slowStartAllows(v *trackedServer, r *trackedRequest) bool {
	if !s.inSlowStart(v) || s.settings.Rules.SlowStartMultiple == 0 {
		return true
	}
	if s.settings.Nodes > manyNodes {
		return v.slowStartCredit.Covers()
	}
	rules, cost := s.settings.Rules, max(s.classTokens[r.class], 1)
	each, _ := s.meanOver(v.role, func(o *trackedServer) (float64, bool) {
		return o.warmThroughput.Add(s.now, rules.SlowStartWindow, 0), !s.inSlowStart(o)
	})
	budget, nodes := each*rules.SlowStartWindow.Seconds()*rules.SlowStartMultiple*rules.SlowStartCapacity, float64(s.settings.Nodes)
	k := max(budget*nodes/cost, 1) // of all nodes; their draws may by chance fall together, by three deviations
	part := min(slowStartMargin, 1-s.unseenShare+math.Pow(math.Sqrt(9+4*k)-3, 2)/4/k)
	budget = max(budget*part, cost*max(1/nodes, math.Pow(1-s.unseenShare, 2))) / s.processes // many nodes share one
	span := time.Duration(float64(rules.SlowStartWindow) * max(1, cost/budget))
	sent := cost + v.slowStartSends.Within(s.now, span)
	return sent <= max(budget, cost) && s.now-v.restartedAt >= time.Duration(v.slowStartPhase*float64(span-rules.SlowStartWindow))
}

// creditSlowStart hands out sends to servers in slow start, where many nodes share their budget,
// for a request that a warm peer has finished. What warm peers finish shows what a server can do
// at the least, of which the settings allow a part in slow start. Every node hands out what its
// own requests show, so that the sum over all nodes is that part.
func (s *Scheduler) creditSlowStart(done *trackedServer) {
	for _, v := range s.sortedServers {
		if v.role == done.role && s.inSlowStart(v) && !s.inSlowStart(done) {
			v.slowStartCredit.Earn(s.settings.Rules.SlowStartMultiple * s.settings.Rules.SlowStartCapacity / max(s.countWarm(done.role), 1))
		}
	}
}

// warm counts the servers of a role that bear the usual load.
func (s *Scheduler) countWarm(role Role) float64 {
	_, n := s.meanOver(role, func(v *trackedServer) (float64, bool) { return 0, !s.inSlowStart(v) && s.healthy(v) })
	return n
}

// creditChance hands out half of what the rule grants beyond the budget of n sends, 3 root n + 3
// in a window; the other half is left to chance. The roots of the nodes' parts add up to no more
// than the root of their sum. It is for readers, which leave much of their credit unused, as only
// prompts go there whose beginning hashes to them, and for roles of which no warm server is left.
func (s *Scheduler) creditChanceAllowance() {
	rules := s.settings.Rules
	_, readers := s.meanOver(RoleRead, func(*trackedServer) (float64, bool) { return 0, true })
	requests := s.arrivingTokens.Add(s.now, time.Second, 0) / max(s.meanPromptTokens, 1) * float64(s.settings.Nodes)
	n := rules.SlowStartMultiple * rules.SlowStartCapacity * requests * rules.SlowStartWindow.Seconds() / max(readers, 1)
	for _, v := range s.sortedServers {
		windows := float64(v.slowStartCredit.Elapsed(s.now)) / float64(rules.SlowStartWindow)
		if s.inSlowStart(v) && (v.role == RoleRead || s.countWarm(v.role) == 0) {
			v.slowStartCredit.Earn(windows * chanceAllowance * (math.Sqrt(n) + 1) / float64(s.settings.Nodes) / s.processes)
		}
	}
}
