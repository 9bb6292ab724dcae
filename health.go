package ashwood

import (
	"math"
	"slices"
	"time"
)

// updateHealth records the result of an attempt for a server and for the network path to its zone,
// and ejects outliers. A server is compared with its peers, so that a problem which all of them share
// ejects none. A zone in which every server fails is ejected as a whole.
func (s *Scheduler) updateHealth(server *trackedServer, request *trackedRequest, ok bool) {
	server.addSample(ok)
	if server.Zone != s.settings.Zone {
		zoneFails := !slices.ContainsFunc(s.sortedServers, func(other *trackedServer) bool {
			return other.active && (other.Zone == server.Zone && other.failureRate < ejectFailureRate/2 ||
				other.Zone == s.settings.Zone && other.failureRate > ejectFailureRate)
		})
		server.zonePath.addSample(ok)
		server.zonePath.updateEjection(s.now, request.ID, ok,
			!ok && zoneFails && server.zonePath.failureRate > 2*ejectFailureRate)
	}
	peers, ejected, sumFailureRates, latencyRatios := 0.0, 1.0, 0.0, []float64{}
	for _, other := range s.sortedServers {
		if other == server || !other.active || other.role != server.role {
			continue
		}
		peers++
		sumFailureRates += other.failureRate
		latencyRatios = append(latencyRatios, other.latencyRatio)
		if other.ejected {
			ejected++
		}
	}
	var bad bool
	if peers > 0 && ejected <= maxEjectedShare*(peers+1) {
		slices.Sort(latencyRatios)
		bad = ok && server.latencyRatio > ejectLatencyRatio*max(latencyRatios[len(latencyRatios)/2], 1) ||
			!ok && server.failureRate > ejectFailureRate+sumFailureRates/peers/2
	}
	if wasEjected := server.ejected; server.updateEjection(s.now, request.ID, ok, bad) && wasEjected {
		server.latencyRatio = 1
	}
}

// addSample adds one result to the failure rate.
func (h *health) addSample(ok bool) {
	h.failureRate *= 1 - ewmaWeight
	if !ok {
		h.failureRate += ewmaWeight
	}
}

// updateEjection ejects the server or path if bad is set, and returns whether it is in rotation. After
// an ejection, a single trial request decides about its return; the backoff doubles with each failed
// trial.
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

// overloaded tells whether a prefill server reports far more requests in flight than its peers: it
// hangs, or too many nodes have chosen it at once.
func (s *Scheduler) overloaded(server *trackedServer) bool {
	meanInFlight, reporting := s.meanOver(server.role, func(peer *trackedServer) (float64, bool) {
		return peer.report[ReportInFlight], peer != server && len(peer.report) > 0
	})
	return s.settings.Nodes > manyNodes && server.role == RolePrefill && reporting > 0 &&
		server.report[ReportInFlight]-meanInFlight > maxLoadGap
}

// usable tells whether a request may be sent to a server at this moment. Ejected servers may be
// usable: see eligibleServers.
func (s *Scheduler) usable(request *trackedRequest, server *trackedServer) bool {
	return server.active && !request.tried[server] && request.mayRunOn(server, s.now) &&
		s.now >= server.pausedUntil && s.slowStartAllows(server, request)
}

// healthy tells whether neither the server nor the network path to its zone is ejected.
func (s *Scheduler) healthy(server *trackedServer) bool {
	return !server.ejected && !server.zonePath.ejected
}

// avoided tells whether a server of the membership gets no ordinary requests at this moment: it
// drains, it or its zone is ejected, or sends to it are paused after a rejection or a failed connect.
func (s *Scheduler) avoided(server *trackedServer) bool {
	return server.State != StateRemoved && (!server.active || !s.healthy(server) || s.now < server.pausedUntil)
}

// inSlowStart tells whether a server may still be warming up.
func (s *Scheduler) inSlowStart(server *trackedServer) bool {
	return server.Started > 0 && s.now-server.Started < s.settings.Rules.SlowStartDuration
}

// slowStartAllows enforces rule 4: this node's part of the slow-start budget of a server, which
// follows from what warm servers finish. If that part is less than one request per window, it is one
// request per several windows, the first at a random time, so that the sum over all nodes stays within
// the budget.
// With many nodes, creditSlowStart and creditChanceAllowance hand out the budget instead.
func (s *Scheduler) slowStartAllows(server *trackedServer, request *trackedRequest) bool {
	if !s.inSlowStart(server) || s.settings.Rules.SlowStartMultiple == 0 {
		return true
	}
	if s.settings.Nodes > manyNodes {
		return server.slowStartCredit.Covers()
	}
	rules, cost := s.settings.Rules, max(s.classTokens[request.class], 1)
	warmRate, _ := s.meanOver(server.role, func(peer *trackedServer) (float64, bool) {
		return peer.warmThroughput.Add(s.now, rules.SlowStartWindow, 0), !s.inSlowStart(peer)
	})
	budget, nodes := warmRate*rules.SlowStartWindow.Seconds()*rules.SlowStartMultiple*
		rules.SlowStartCapacity, float64(s.settings.Nodes)
	// The sends of all nodes may by chance fall into one window: leave room for three standard deviations.
	fleetSends := max(budget*nodes/cost, 1)
	share := min(slowStartMargin, 1-s.unseenShare+math.Pow(math.Sqrt(9+4*fleetSends)-3, 2)/4/fleetSends)
	// The budget is at least one request. More than two nodes share it.
	budget = max(budget*share, cost*max(1/nodes, math.Pow(1-s.unseenShare, 2))) / s.processes
	span := time.Duration(float64(rules.SlowStartWindow) * max(1, cost/budget))
	sent := cost + server.slowStartSends.Within(s.now, span)
	return sent <= max(budget, cost) && s.now-server.restartedAt >=
		time.Duration(server.slowStartPhase*float64(span-rules.SlowStartWindow))
}

// creditSlowStart adds to the slow-start credit of servers when a warm peer has finished a request,
// for fleets of many nodes. What a warm server finishes is a lower bound of what a server can do, and
// the settings allow a part of it in slow start. Each node credits only what its own requests earn, so
// that the sum over all nodes is that part.
func (s *Scheduler) creditSlowStart(finished *trackedServer) {
	for _, server := range s.sortedServers {
		if server.role == finished.role && s.inSlowStart(server) && !s.inSlowStart(finished) {
			server.slowStartCredit.Earn(s.settings.Rules.SlowStartMultiple *
				s.settings.Rules.SlowStartCapacity / max(s.countWarm(finished.role), 1))
		}
	}
}

// countWarm counts the healthy servers of a role that are not in slow start.
func (s *Scheduler) countWarm(role Role) float64 {
	_, count := s.meanOver(role, func(server *trackedServer) (float64, bool) {
		return 0, !s.inSlowStart(server) && s.healthy(server)
	})
	return count
}

// creditChanceAllowance adds to the slow-start credit a part of the allowance for chance: beyond a
// budget of n sends, rule 4 tolerates 3*sqrt(n)+3 more in a window. Half of it is handed out here, the
// other half is left for chance. Each node estimates n from its own traffic; the mean of the square
// roots of these estimates is at most the root of their mean, so the sum over all nodes stays within
// the half. The credit is for prefill servers, which leave much of theirs unused, since only prompts
// whose prefix hashes to them go there, and for roles that have no warm server left.
func (s *Scheduler) creditChanceAllowance() {
	rules := s.settings.Rules
	_, prefillServers := s.meanOver(RolePrefill, func(*trackedServer) (float64, bool) { return 0, true })
	requestRate := s.arrivingTokens.Add(s.now, time.Second, 0) /
		max(s.meanPromptTokens, 1) * float64(s.settings.Nodes)
	sends := rules.SlowStartMultiple * rules.SlowStartCapacity *
		requestRate * rules.SlowStartWindow.Seconds() / max(prefillServers, 1)
	for _, server := range s.sortedServers {
		windows := float64(server.slowStartCredit.Elapsed(s.now)) / float64(rules.SlowStartWindow)
		if s.inSlowStart(server) && (server.role == RolePrefill || s.countWarm(server.role) == 0) {
			server.slowStartCredit.Earn(windows * chanceAllowance * (math.Sqrt(sends) + 1) /
				float64(s.settings.Nodes) / s.processes)
		}
	}
}
