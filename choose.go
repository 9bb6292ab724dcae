package ashwood

import (
	"cmp"
	"math"
	"slices"

	"ashwood.example/ashwood/internal/prefix"
	"ashwood.example/ashwood/internal/trend"
)

// eligibleServers returns the servers of a stage that a request may use: the first of these groups
// that is not empty. One ejected server that is ready for its trial; with many nodes, decode servers in
// slow start that may get a send (prefill servers in slow start are chosen by their prefix cache);
// healthy servers without a known obstacle (a rejection of the same kind, an unreachable zone); all
// others.
func (s *Scheduler) eligibleServers(
	request *trackedRequest, roleMatches func(Role) bool) (preferred []*trackedServer) {
	var rest, slowStart []*trackedServer
	for _, server := range s.sortedServers {
		switch path := server.zonePath; {
		case !roleMatches(server.role) || !s.usable(request, server):
		case s.healthy(server) && s.settings.Nodes > manyNodes && s.inSlowStart(server) &&
			server.role != RolePrefill:
			slowStart = append(slowStart, server)
		case s.healthy(server) && s.now >= server.rejectsUntil[request.throttleKey()] &&
			!(request.stayInZone && server.Zone != s.settings.Zone):
			preferred = append(preferred, server)
		case !s.healthy(server) && (server.trialDue(s.now) || !server.ejected) &&
			(path.trialDue(s.now) || !path.ejected) && len(request.attempts) <= 1:
			return []*trackedServer{server}
		default:
			rest = append(rest, server)
		}
	}
	for _, group := range [][]*trackedServer{slowStart, preferred} {
		if len(group) > 0 {
			return group
		}
	}
	return rest
}

// pickPrefill chooses the server of a request's prefill. Without a prefill server, a mixed server
// does both stages, or else a decode server if the settings allow it.
func (s *Scheduler) pickPrefill(request *trackedRequest) (server *trackedServer, decodes bool) {
	if pool := s.eligibleServers(request, isPrefill); len(pool) > 0 {
		return s.pickByPrefix(request, s.withDecodeMemoryInCell(request, s.answeringProbes(pool))), false
	}
	if pool := s.eligibleServers(request, isMixed); len(pool) > 0 {
		return s.pickByPrefix(request, pool), true
	}
	if pool := s.eligibleServers(request, canDecode); s.settings.DecodeCanPrefill && len(pool) > 0 {
		return s.pickByFreeMemory(pool, nil), true
	}
	return nil, false
}

// answeringProbes returns the servers of a pool without an overdue load probe, or all if none is
// left. A server that does not answer a probe at once has more work waiting than its reports show,
// or a slow network path.
func (s *Scheduler) answeringProbes(pool []*trackedServer) []*trackedServer {
	answering := slices.DeleteFunc(slices.Clone(pool), func(server *trackedServer) bool {
		sinceProbe := s.now - server.loadProbedAt
		return server.loadProbedAt > server.reportAt && sinceProbe >= loadProbeWait && sinceProbe < minBackoff
	})
	if len(answering) == 0 {
		return pool
	}
	return answering
}

// withDecodeMemoryInCell returns the prefill servers of a pool whose cell has enough free decode
// memory, or all of them if there are none or transfers of KV state between cells are fast. All
// transfers of a cell share its one link, which becomes congested when the cell's decode servers are
// gone or full.
func (s *Scheduler) withDecodeMemoryInCell(request *trackedRequest, pool []*trackedServer) []*trackedServer {
	hasMemory := s.cellsWithMemory(request, func(role Role) bool { return role == RoleDecode })
	local := slices.DeleteFunc(slices.Clone(pool), func(server *trackedServer) bool {
		return !hasMemory(server)
	})
	if len(local) == 0 || s.transferDelay() < maxTransferDelay*float64(s.minAim) {
		return pool
	}
	return local
}

// cellsWithMemory returns a function that tells whether some server of the given roles in a server's
// cell has at least minNearMemory of the most free memory anywhere.
func (s *Scheduler) cellsWithMemory(
	request *trackedRequest, roleMatches func(Role) bool) func(*trackedServer) bool {
	free, most, mostInCell := s.freeMemory(RoleDecode), 0.0, map[int]float64{}
	for _, decode := range s.sortedServers {
		if roleMatches(decode.role) && s.healthy(decode) && s.usable(request, decode) {
			mostInCell[decode.Cell] = max(mostInCell[decode.Cell], free(decode))
			most = max(most, free(decode))
		}
	}
	return func(server *trackedServer) bool { return mostInCell[server.Cell] >= most*minNearMemory }
}

// detourCost returns a function for the cost of a prefill server's location. The unit is unfinished
// prefills: waiting for that many at a server without the cost is as good. Another zone costs a network
// crossing, and a cell without free decode memory a transfer of the KV state to another cell.
func (s *Scheduler) detourCost(request *trackedRequest) func(*trackedServer) float64 {
	prefillTime := s.stageLatency[stagePrefill].Mean
	if prefillTime <= 0 {
		return func(*trackedServer) float64 { return 0 }
	}
	patience, hasMemory := negligibleWait*float64(s.minAim)/prefillTime, s.cellsWithMemory(request, canDecode)
	return func(server *trackedServer) (cost float64) {
		if server.Zone != s.settings.Zone {
			cost += patience
		}
		if !hasMemory(server) {
			cost += transferWaitFactor * patience
		}
		return cost
	}
}

// loadEstimate returns a function that estimates a server's unfinished prefills from all nodes, and
// how far chance may put the estimate off. With few nodes, own counts are scaled to the fleet, and a
// recent report counts if it is higher. With many nodes, own counts are mostly chance, so reports are
// used; the older a server's report, the more the mean of all reports counts instead.
func (s *Scheduler) loadEstimate(role Role) (load func(*trackedServer) float64, chance float64) {
	meanOwn, _ := s.meanOver(role, func(server *trackedServer) (float64, bool) {
		return float64(server.pendingPrefills), true
	})
	meanReported, reporting := s.meanOver(role, func(server *trackedServer) (float64, bool) {
		return s.reportedLoad(server), len(server.report) > 0
	})
	if s.settings.Nodes > manyNodes && reporting > 0 {
		return func(server *trackedServer) float64 {
			if len(server.report) == 0 {
				return meanReported
			}
			return meanReported + (s.reportedLoad(server)-meanReported)*
				math.Exp(-float64(s.now-server.reportAt)/float64(4*s.minAim))
		}, 1
	}
	return func(server *trackedServer) float64 {
		estimate := trend.FleetTotal(s.settings.Nodes, float64(server.pendingPrefills), meanOwn, 1)
		if len(server.report) > 0 && s.now-server.reportAt < loadProbeInterval {
			estimate = max(estimate*(1-s.unseenShare), s.reportedLoad(server))
		}
		return estimate
	}, s.unseenShare * float64(s.settings.Nodes-1) * meanOwn / math.Sqrt(1+meanOwn)
}

// pickByPrefix chooses a server by prefix match and load. If loads differ too much, it takes the
// least loaded server. Otherwise it takes the longest prefix match among servers whose load is not
// far above the mean, and among equal matches the lowest load plus detour cost. Without a match it
// takes the least loaded. An affinity target of the prefix counts as a match even if this node has
// sent nothing there, since all nodes send that prefix there.
func (s *Scheduler) pickByPrefix(request *trackedRequest, pool []*trackedServer) *trackedServer {
	load, chance := s.loadEstimate(pool[0].role)
	key := cmp.Or(request.Prefix, request.Session)
	leastLoaded, best := pool[0], (*trackedServer)(nil)
	var sum, sumSquares, maxLoad, longestMatch float64
	for _, server := range pool {
		current, least := load(server), load(leastLoaded)
		sum, sumSquares, maxLoad = sum+current, sumSquares+current*current, max(maxLoad, current)
		if sameZone := server.Zone == s.settings.Zone; current < least || current == least &&
			(sameZone && leastLoaded.Zone != s.settings.Zone ||
				sameZone == (leastLoaded.Zone == s.settings.Zone) &&
					server.rendezvousWeight(key) > leastLoaded.rendezvousWeight(key)) {
			leastLoaded = server
		}
	}
	if maxLoad-load(leastLoaded) > max(maxLoadGap, loadDeviations*chance) {
		return leastLoaded
	}
	poolSize := float64(len(pool))
	loadLimit := sum/poolSize +
		loadDeviations*max(math.Sqrt(max(sumSquares/poolSize-sum/poolSize*sum/poolSize, 0)), chance)
	targets, detour := s.affinityTargets(request, pool), s.detourCost(request)
	cost := func(server *trackedServer) float64 { return load(server) + detour(server) }
	for _, server := range pool {
		matched := s.assumedMatch(request, server, targets)
		if matched == 0 || load(server) > loadLimit+1e-9 || best != nil && matched < longestMatch {
			continue
		}
		if best == nil || matched > longestMatch || cost(server) < cost(best)-chance ||
			cost(server) <= cost(best)+chance && s.isCloser(request, server, best) {
			best, longestMatch = server, matched
		}
	}
	return s.preferSlowStart(cmp.Or(best, leastLoaded), pool, func(server *trackedServer) float64 {
		work := load(server)*s.meanPromptTokens + request.PromptTokens - s.assumedMatch(request, server, targets)
		if server == targets[0] {
			work = load(server) * s.meanPromptTokens // it has the session's earlier turns: little of the prompt is new
		}
		return work
	})
}

// isCloser breaks ties between prefill servers: a server of this node's zone comes first, then the
// one that ranks higher for the session.
func (s *Scheduler) isCloser(request *trackedRequest, server, other *trackedServer) bool {
	sameZone := server.Zone == s.settings.Zone
	if sameZone != (other.Zone == s.settings.Zone) {
		return sameZone
	}
	return server.rendezvousWeight(request.Session) > other.rendezvousWeight(request.Session)
}

// assumedMatch returns how many tokens of a prompt a prefill server is taken to have in its cache.
// An affinity target is taken to have at least the shared prefix.
func (s *Scheduler) assumedMatch(
	request *trackedRequest, server *trackedServer, targets []*trackedServer) float64 {
	tokens, _ := s.matchPrefix(request, server)
	if slices.Contains(targets, server) {
		return max(tokens, request.PrefixTokens, 1)
	}
	return tokens
}

// preferSlowStart replaces a choice by a server in slow start that has just reported its load and
// would finish earlier. A cached prefix is worth only the tokens that need no prefill. Servers
// outside slow start don't replace a choice because they are idle: one that fails at once is idle too.
func (s *Scheduler) preferSlowStart(
	choice *trackedServer, pool []*trackedServer, work func(*trackedServer) float64) *trackedServer {
	least := work(choice) * max(s.settings.Rules.SlowStartCapacity, minSlowStartSpeed)
	for _, server := range pool {
		if s.inSlowStart(server) && s.now-server.reportAt < loadProbeInterval && work(server) < least {
			choice, least = server, work(server)
		}
	}
	return choice
}

// probeCandidates returns the prefill servers to probe before a choice: the affinity targets, and a
// random one in slow start, which few choices would consider otherwise.
func (s *Scheduler) probeCandidates(request *trackedRequest, pool []*trackedServer) []*trackedServer {
	candidates := s.affinityTargets(request, pool)
	for _, i := range s.rng.Perm(len(pool)) {
		if s.inSlowStart(pool[i]) {
			return append(candidates, pool[i])
		}
	}
	return candidates
}

// affinityTargets returns the two prefill servers to which the prefix and then the session hash.
// The set of servers for a prefix grows with the share of traffic that begins with it. With many
// nodes, each sees too little of that traffic, and without load reports nothing shows that a target
// is overloaded; the set is then a fixed share of all servers from the start. If there are servers in
// other zones, one target is in this node's zone and one elsewhere: less traffic leaves the zone, and
// a zone that is cut off serves itself.
func (s *Scheduler) affinityTargets(request *trackedRequest, pool []*trackedServer) []*trackedServer {
	prefixUses, poolSize := 0.0, float64(len(pool))
	for _, server := range pool {
		prefixUses += s.prefixTable.UsesOf(server.prefixRuns, prefix.Key{Hash: request.Prefix})
	}
	// A prefix that was seen once may be chance.
	width, needed := 2, affinitySpread*poolSize*max(prefixUses-1, 0)/(s.prefixTable.TotalUses()+poolSize)
	if s.settings.Nodes > manyNodes && s.settings.Reports == ReportNone {
		width = max(width, int(poolSize*minBlindAffinity))
	}
	for float64(width) < needed {
		width *= 2 // in coarse steps, so that nodes mostly agree and a session finds its earlier turns
	}
	near, far := s.splitByZone(pool)
	if len(near) == 0 || len(far) == 0 {
		return request.affinityTargetsIn(pool, width, 2)
	}
	zoneWidth := max(width/2, 1)
	return append(request.affinityTargetsIn(near, zoneWidth, 1), request.affinityTargetsIn(far, zoneWidth, 1)...)
}

// pickDecode chooses the decode server of a request: the one with the reservation, or else, of those
// that would start soonest, one by free memory.
func (s *Scheduler) pickDecode(request *trackedRequest, prefill *trackedServer) *trackedServer {
	reserved := request.reservation
	if request.stateHolder != nil && reserved != nil && reserved.active && !request.tried[reserved] &&
		request.mayRunOn(reserved, s.now) && s.slowStartAllows(reserved, request) {
		return reserved
	}
	return s.pickByFreeMemory(s.soonestToStart(request, s.eligibleServers(request, canDecode), prefill), prefill)
}

// soonestToStart returns the decode servers of a pool that are expected to start an answer at most
// negligibly later than the soonest. Free memory says nothing about requests that wait for a
// slot or for their prefill.
func (s *Scheduler) soonestToStart(
	request *trackedRequest, pool []*trackedServer, prefill *trackedServer) []*trackedServer {
	delay := func(server *trackedServer) float64 {
		return s.expectedDelay(server, stageOf(true, prefill, server), request.PromptTokens)
	}
	minDelay := math.Inf(1)
	for _, server := range pool {
		minDelay = min(minDelay, delay(server))
	}
	maxDelay := minDelay + negligibleWait*float64(s.minAim)
	return slices.DeleteFunc(slices.Clone(pool), func(server *trackedServer) bool {
		return delay(server) > maxDelay
	})
}

// pickByFreeMemory chooses the server with the most free memory. It prefers the prefill server's
// cell, then its zone, while free memory there is not far below the best anywhere. Ties are broken at
// random, or all nodes would follow one old report to the same server. With many nodes, each knows so
// little of a server that it would always take those with the largest memory, so the choice
// is random, weighted by free memory.
func (s *Scheduler) pickByFreeMemory(pool []*trackedServer, prefill *trackedServer) *trackedServer {
	if len(pool) == 0 {
		return nil
	}
	freeMemory := s.freeMemory(pool[0].role)
	var best [3]*trackedServer // anywhere, in the zone, in the cell
	var maxFree, sumFree [3]float64
	offset := s.rng.Intn(len(pool))
	for i := range pool {
		server := pool[(offset+i)%len(pool)]
		free := freeMemory(server)
		for level := range best {
			replace := best[level] == nil || free > maxFree[level]
			if replace {
				maxFree[level] = free
			}
			if sumFree[level] += max(free, 1); s.settings.Nodes > manyNodes {
				replace = s.rng.Float64()*sumFree[level] < max(free, 1)
			}
			if replace {
				best[level] = server
			}
			if prefill == nil || level == 0 && server.Zone != prefill.Zone ||
				level == 1 && server.Cell != prefill.Cell {
				break
			}
		}
	}
	for level := 2; level > 0; level-- {
		if best[level] != nil && maxFree[level] >= max(maxFree[0], 0)*minNearMemory {
			return best[level]
		}
	}
	return best[0]
}

// freeMemory returns a function that estimates a server's free memory in tokens, reduced for
// a slow server. With reports, it is the lower of the reported free memory less prompts sent since,
// and the memory less own requests. The older a report, the more the mean of the server's cell counts
// instead, mixed with the fleet's since some cells have too few servers. Without reports, own
// requests are scaled to the fleet.
func (s *Scheduler) freeMemory(role Role) func(*trackedServer) float64 {
	usedShare := func(server *trackedServer) (float64, bool) { // in use, or needed by queued requests
		memory, ok := server.report[ReportMemory]
		return memory + server.report[ReportQueue]*s.meanPromptTokens/max(server.memoryTokens, 1), ok
	}
	meanUsed, reporting := s.meanOver(role, usedShare)
	meanOwnTokens, _ := s.meanOver(role, func(server *trackedServer) (float64, bool) {
		return server.decodeTokens, true
	})
	usedInCell, reportingInCell := s.sumByCell(role, usedShare)
	return func(server *trackedServer) float64 {
		free := server.memoryTokens -
			trend.FleetTotal(s.settings.Nodes, server.decodeTokens, meanOwnTokens, s.meanPromptTokens)
		if reporting > 0 {
			used := (usedInCell[server.Cell] + meanUsed) / (reportingInCell[server.Cell] + 1)
			if own, ok := usedShare(server); ok {
				used += (own - used) * math.Exp(-float64(s.now-server.reportAt)/float64(4*s.minAim))
			}
			free = min(server.memoryTokens-server.decodeTokens, server.memoryTokens*(1-used)-server.sentSinceReport)
		}
		return min(free, free/max(server.latencyRatio, 1))
	}
}
