package ashwood

import (
	"cmp"
	"math"
	"slices"

	"ashwood.example/ashwood/internal/prefix"
	"ashwood.example/ashwood/internal/trend"
)

// pool lists the servers of a stage that a request may use: the one whose single
// trial is due, writers in slow start that may get a send (readers are chosen by what they
// have kept), else the trusted, else, when none is left, all.
func (s *Scheduler) eligibleServers(r *trackedRequest, match func(Role) bool) (good []*trackedServer) {
	var rest, due []*trackedServer
	for _, v := range s.sortedServers {
		switch z := v.zonePath; {
		case !match(v.role) || !s.usable(r, v):
		case s.healthy(v) && s.settings.Nodes > manyNodes && s.inSlowStart(v) && v.role != RoleRead:
			due = append(due, v)
		case s.healthy(v) && s.now >= v.rejectsUntil[r.throttleKey()] && !(r.stayInZone && v.Zone != s.settings.Zone):
			good = append(good, v)
		case !s.healthy(v) && (v.trialDue(s.now) || !v.ejected) && (z.trialDue(s.now) || !z.ejected) && len(r.attempts) <= 1:
			return []*trackedServer{v}
		default:
			rest = append(rest, v)
		}
	}
	for _, some := range [][]*trackedServer{due, good} {
		if len(some) > 0 {
			return some
		}
	}
	return rest
}

// pickReader is the design's reader rule. Without a reader, a mixed server
// serves in one stage, and failing that a writer where writers read.
func (s *Scheduler) pickPrefill(r *trackedRequest) (v *trackedServer, write bool) {
	if p := s.eligibleServers(r, isPrefill); len(p) > 0 {
		return s.pickByPrefix(r, s.withDecodeMemoryInCell(r, s.answeringProbes(p))), false
	}
	if p := s.eligibleServers(r, isMixed); len(p) > 0 {
		return s.pickByPrefix(r, p), true
	}
	if p := s.eligibleServers(r, canDecode); s.settings.DecodeCanPrefill && len(p) > 0 {
		return s.pickByFreeMemory(p, nil), true
	}
	return nil, false
}

// answering leaves of a pool the servers that answer probes at once, where there are any: one that
// does not has more work waiting than any report tells, or a path that would be as slow.
func (s *Scheduler) answeringProbes(pool []*trackedServer) []*trackedServer {
	prompt := slices.DeleteFunc(slices.Clone(pool), func(v *trackedServer) bool {
		asked := s.now - v.loadProbedAt
		return v.loadProbedAt > v.reportAt && asked >= loadProbeWait && asked < minBackoff
	})
	if len(prompt) == 0 {
		return pool
	}
	return prompt
}

// paired leaves of a pool the readers in whose cell a writer has room, near to the
// best anywhere, while states that leave their cell are slow to move: all of a
// cell's share its one link, which clogs where its writers are gone or full.
func (s *Scheduler) withDecodeMemoryInCell(r *trackedRequest, pool []*trackedServer) []*trackedServer {
	hasRoom := s.cellsWithMemory(r, func(role Role) bool { return role == RoleWrite })
	near := slices.DeleteFunc(slices.Clone(pool), func(v *trackedServer) bool { return !hasRoom(v) })
	if len(near) == 0 || s.transferDelay() < maxTransferDelay*float64(s.minAim) {
		return pool
	}
	return near
}

// cellsWithRoom tells of a server whether writers of its cell, of some roles, have room near to
// the best anywhere.
func (s *Scheduler) cellsWithMemory(r *trackedRequest, match func(Role) bool) func(*trackedServer) bool {
	room, best, cells := s.freeMemory(RoleWrite), 0.0, map[int]float64{}
	for _, w := range s.sortedServers {
		if match(w.role) && s.healthy(w) && s.usable(r, w) {
			cells[w.Cell] = max(cells[w.Cell], room(w))
			best = max(best, room(w))
		}
	}
	return func(v *trackedServer) bool { return cells[v.Cell] >= best*minNearMemory }
}

// detours gives what a reader's place costs a request, in unfinished reads behind which it rather
// waits: another zone is crossed to, and a state leaves its cell where no writer there has room.
func (s *Scheduler) detourCost(r *trackedRequest) func(*trackedServer) float64 {
	read := s.stageLatency[stagePrefill].Mean
	if read <= 0 {
		return func(*trackedServer) float64 { return 0 }
	}
	patience, hasRoom := negligibleWait*float64(s.minAim)/read, s.cellsWithMemory(r, canDecode)
	return func(v *trackedServer) (cost float64) {
		if v.Zone != s.settings.Zone {
			cost += patience
		}
		if !hasRoom(v) {
			cost += transferWaitFactor * patience
		}
		return cost
	}
}

// counts estimates the unfinished reads at readers on the fleet's scale, or
// what is reported if that is more and new, and how far chance may put it off. Of
// many nodes, own counts are chance: reports tell, with age the less, and the mean.
func (s *Scheduler) loadEstimate(role Role) (count func(*trackedServer) float64, chance float64) {
	mean, _ := s.meanOver(role, func(v *trackedServer) (float64, bool) { return float64(v.pendingPrefills), true })
	told, heard := s.meanOver(role, func(v *trackedServer) (float64, bool) { return s.reportedLoad(v), len(v.report) > 0 })
	if s.settings.Nodes > manyNodes && heard > 0 {
		return func(v *trackedServer) float64 {
			if len(v.report) == 0 {
				return told
			}
			return told + (s.reportedLoad(v)-told)*math.Exp(-float64(s.now-v.reportAt)/float64(4*s.minAim))
		}, 1
	}
	return func(v *trackedServer) float64 {
		n := trend.FleetTotal(s.settings.Nodes, float64(v.pendingPrefills), mean, 1)
		if len(v.report) > 0 && s.now-v.reportAt < loadProbeInterval {
			n = max(n*(1-s.unseenShare), s.reportedLoad(v))
		}
		return n
	}, s.unseenShare * float64(s.settings.Nodes-1) * mean / math.Sqrt(1+mean)
}

// byPrefix is the gap test, then matches up to the cap, then the fewest-running
// server, or one nearer to the node and to a writer with room that has few more. A reader
// among the prefix's homes counts as holding it: all nodes send there, so that it does whether
// this node has or not.
func (s *Scheduler) pickByPrefix(r *trackedRequest, pool []*trackedServer) *trackedServer {
	count, chance := s.loadEstimate(pool[0].role)
	key := cmp.Or(r.Prefix, r.Session)
	fewest, best := pool[0], (*trackedServer)(nil)
	var sum, sq, most, top float64
	for _, v := range pool {
		n, least := count(v), count(fewest)
		sum, sq, most = sum+n, sq+n*n, max(most, n)
		if here := v.Zone == s.settings.Zone; n < least || n == least && (here && fewest.Zone != s.settings.Zone ||
			here == (fewest.Zone == s.settings.Zone) && v.rendezvousWeight(key) > fewest.rendezvousWeight(key)) {
			fewest = v
		}
	}
	if most-count(fewest) > max(maxLoadGap, loadDeviations*chance) {
		return fewest
	}
	n := float64(len(pool))
	limit := sum/n + loadDeviations*max(math.Sqrt(max(sq/n-sum/n*sum/n, 0)), chance)
	homes, detour := s.affinityTargets(r, pool), s.detourCost(r)
	load := func(v *trackedServer) float64 { return count(v) + detour(v) }
	for _, v := range pool {
		share := s.assumedMatch(r, v, homes)
		if share == 0 || count(v) > limit+1e-9 || best != nil && share < top {
			continue
		}
		if best == nil || share > top || load(v) < load(best)-chance ||
			load(v) <= load(best)+chance && s.isCloser(r, v, best) {
			best, top = v, share
		}
	}
	return s.preferSlowStart(cmp.Or(best, fewest), pool, func(v *trackedServer) float64 {
		work := count(v)*s.meanPromptTokens + r.PromptTokens - s.assumedMatch(r, v, homes)
		if v == homes[0] {
			work = count(v) * s.meanPromptTokens // little of the prompt is new where the session has been before
		}
		return work
	})
}

// closer prefers, of two readers that are alike, the one in the node's zone, then the session's.
func (s *Scheduler) isCloser(r *trackedRequest, v, other *trackedServer) bool {
	here := v.Zone == s.settings.Zone
	if here != (other.Zone == s.settings.Zone) {
		return here
	}
	return v.rendezvousWeight(r.Session) > other.rendezvousWeight(r.Session)
}

// share is how much of a prompt a reader holds, in tokens, a home at least the shared prefix.
func (s *Scheduler) assumedMatch(r *trackedRequest, v *trackedServer, homes []*trackedServer) float64 {
	tokens, _ := s.matchPrefix(r, v)
	if slices.Contains(homes, v) {
		return max(tokens, r.PrefixTokens, 1)
	}
	return tokens
}

// orSlowStart leaves a choice for a reader in slow start that has been heard from just now and would
// be sooner done: what a choice keeps of a prompt is worth the tokens that need not be read, no more.
// Others that are idle are not taken so: one that fails at once is idle too.
func (s *Scheduler) preferSlowStart(choice *trackedServer, pool []*trackedServer, work func(*trackedServer) float64) *trackedServer {
	least := work(choice) * max(s.settings.Rules.SlowStartCapacity, minSlowStartSpeed)
	for _, v := range pool {
		if s.inSlowStart(v) && s.now-v.reportAt < loadProbeInterval && work(v) < least {
			choice, least = v, work(v)
		}
	}
	return choice
}

// candidates are the readers to ask before a choice: the prefix's homes, and one in slow start,
// drawn, which few prompts would lead to.
func (s *Scheduler) probeCandidates(r *trackedRequest, pool []*trackedServer) []*trackedServer {
	candidates := s.affinityTargets(r, pool)
	for _, i := range s.rng.Perm(len(pool)) {
		if s.inSlowStart(pool[i]) {
			return append(candidates, pool[i])
		}
	}
	return candidates
}

// homes are the two readers to which a prefix's and then the session's key hash, the prefix's
// among more readers the more traffic begins with it. Many nodes see too little of that, and where
// no load is told nothing else shows that a home is overrun: it has a good part of them at once.
// A node has one home in its own zone and one elsewhere: less leaves the zone, and one cut off serves itself.
func (s *Scheduler) affinityTargets(r *trackedRequest, pool []*trackedServer) []*trackedServer {
	uses, n := 0.0, float64(len(pool))
	for _, v := range pool {
		uses += s.prefixTable.UsesOf(v.prefixRuns, prefix.Key{Hash: r.Prefix})
	}
	want, need := 2, affinitySpread*n*max(uses-1, 0)/(s.prefixTable.TotalUses()+n) // what was seen once may be chance
	if s.settings.Nodes > manyNodes && s.settings.Reports == ReportNone {
		want = max(want, int(n*minBlindAffinity))
	}
	for float64(want) < need {
		want *= 2 // so that nodes mostly agree and a session finds its earlier turns
	}
	near, far := s.splitByZone(pool)
	if len(near) == 0 || len(far) == 0 {
		return r.affinityTargetsIn(pool, want, 2)
	}
	part := max(want/2, 1)
	return append(r.affinityTargetsIn(near, part, 1), r.affinityTargetsIn(far, part, 1)...)
}

// pickWriter is the design's writer rule: the holder, else the roomiest.
func (s *Scheduler) pickDecode(r *trackedRequest, reader *trackedServer) *trackedServer {
	h := r.reservation
	if r.stateHolder != nil && h != nil && h.active && !r.tried[h] && r.mayRunOn(h, s.now) && s.slowStartAllows(h, r) {
		return h
	}
	return s.pickByFreeMemory(s.soonestToStart(r, s.eligibleServers(r, canDecode), reader), reader)
}

// soonest leaves of a pool the writers that are expected to begin an answer hardly later than the first
// of them would: room in memory tells nothing of what waits for a slot, or to be read.
func (s *Scheduler) soonestToStart(r *trackedRequest, pool []*trackedServer, reader *trackedServer) []*trackedServer {
	wait := func(v *trackedServer) float64 { return s.expectedDelay(v, stageOf(true, reader, v), r.PromptTokens) }
	least := math.Inf(1)
	for _, v := range pool {
		least = min(least, wait(v))
	}
	limit := least + negligibleWait*float64(s.minAim)
	return slices.DeleteFunc(slices.Clone(pool), func(v *trackedServer) bool { return wait(v) > limit })
}

// roomiest prefers the reader's cell, then its zone, while room there is not
// far below the best anywhere. Equals are drawn for, or all nodes would follow
// one old report to the same writer. Many nodes know so little of a writer that
// each would take those with the largest memory: they draw for all, by their room.
func (s *Scheduler) pickByFreeMemory(pool []*trackedServer, reader *trackedServer) *trackedServer {
	if len(pool) == 0 {
		return nil
	}
	room := s.freeMemory(pool[0].role)
	var best [3]*trackedServer // anywhere, in the zone, in the cell
	var most, sum [3]float64
	first := s.rng.Intn(len(pool))
	for i := range pool {
		v := pool[(first+i)%len(pool)]
		n := room(v)
		for near := range best {
			more := best[near] == nil || n > most[near]
			if more {
				most[near] = n
			}
			if sum[near] += max(n, 1); s.settings.Nodes > manyNodes {
				more = s.rng.Float64()*sum[near] < max(n, 1)
			}
			if more {
				best[near] = v
			}
			if reader == nil || near == 0 && v.Zone != reader.Zone || near == 1 && v.Cell != reader.Cell {
				break
			}
		}
	}
	for near := 2; near > 0; near-- {
		if best[near] != nil && most[near] >= max(most[0], 0)*minNearMemory {
			return best[near]
		}
	}
	return best[0]
}

// rooms estimates the memory free at writers, less where one is slow: the lower
// of what it reported less prompts sent since, and of what own requests suggest.
// With age its cell's mean counts instead: some cells have too few writers.
func (s *Scheduler) freeMemory(role Role) func(*trackedServer) float64 {
	wanted := func(v *trackedServer) (float64, bool) { // held, and waited for
		x, ok := v.report[ReportMemory]
		return x + v.report[ReportQueue]*s.meanPromptTokens/max(v.memoryTokens, 1), ok
	}
	used, heard := s.meanOver(role, wanted)
	held, _ := s.meanOver(role, func(v *trackedServer) (float64, bool) { return v.decodeTokens, true })
	cell, told := s.sumByCell(role, wanted)
	return func(v *trackedServer) float64 {
		room := v.memoryTokens - trend.FleetTotal(s.settings.Nodes, v.decodeTokens, held, s.meanPromptTokens)
		if heard > 0 {
			x := (cell[v.Cell] + used) / (told[v.Cell] + 1)
			if own, ok := wanted(v); ok {
				x += (own - x) * math.Exp(-float64(s.now-v.reportAt)/float64(4*s.minAim))
			}
			room = min(v.memoryTokens-v.decodeTokens, v.memoryTokens*(1-x)-v.sentSinceReport)
		}
		return min(room, room/max(v.latencyRatio, 1))
	}
}
