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
func (s *Scheduler) pool(r *request, match func(Role) bool) (good []*server) {
	var rest, due []*server
	for _, v := range s.order {
		switch z := v.path; {
		case !match(v.role) || !s.usable(r, v):
		case s.trusted(v) && s.set.Nodes > manyNodes && s.inSlowStart(v) && v.role != RoleRead:
			due = append(due, v)
		case s.trusted(v) && s.now >= v.refuses[r.kind()] && !(r.near && v.Zone != s.set.Zone):
			good = append(good, v)
		case !s.trusted(v) && (v.due(s.now) || !v.ejected) && (z.due(s.now) || !z.ejected) && len(r.attempts) <= 1:
			return []*server{v}
		default:
			rest = append(rest, v)
		}
	}
	for _, some := range [][]*server{due, good} {
		if len(some) > 0 {
			return some
		}
	}
	return rest
}

// pickReader is the design's reader rule. Without a reader, a mixed server
// serves in one stage, and failing that a writer where writers read.
func (s *Scheduler) pickReader(r *request) (v *server, write bool) {
	if p := s.pool(r, reads); len(p) > 0 {
		return s.byPrefix(r, s.paired(r, s.answering(p))), false
	}
	if p := s.pool(r, mixed); len(p) > 0 {
		return s.byPrefix(r, p), true
	}
	if p := s.pool(r, writes); s.set.DecodeCanPrefill && len(p) > 0 {
		return s.roomiest(p, nil), true
	}
	return nil, false
}

// answering leaves of a pool the servers that answer probes at once, where there are any: one that
// does not has more work waiting than any report tells, or a path that would be as slow.
func (s *Scheduler) answering(pool []*server) []*server {
	prompt := slices.DeleteFunc(slices.Clone(pool), func(v *server) bool {
		asked := s.now - v.polled
		return v.polled > v.reportAt && asked >= probeWait && asked < backoffFirst
	})
	if len(prompt) == 0 {
		return pool
	}
	return prompt
}

// paired leaves of a pool the readers in whose cell a writer has room, near to the
// best anywhere, while states that leave their cell are slow to move: all of a
// cell's share its one link, which clogs where its writers are gone or full.
func (s *Scheduler) paired(r *request, pool []*server) []*server {
	hasRoom := s.cellsWithRoom(r, func(role Role) bool { return role == RoleWrite })
	near := slices.DeleteFunc(slices.Clone(pool), func(v *server) bool { return !hasRoom(v) })
	if len(near) == 0 || s.transferDelay() < transferLimit*float64(s.minAim) {
		return pool
	}
	return near
}

// cellsWithRoom tells of a server whether writers of its cell, of some roles, have room near to
// the best anywhere.
func (s *Scheduler) cellsWithRoom(r *request, match func(Role) bool) func(*server) bool {
	room, best, cells := s.rooms(RoleWrite), 0.0, map[int]float64{}
	for _, w := range s.order {
		if match(w.role) && s.trusted(w) && s.usable(r, w) {
			cells[w.Cell] = max(cells[w.Cell], room(w))
			best = max(best, room(w))
		}
	}
	return func(v *server) bool { return cells[v.Cell] >= best*nearRoom }
}

// detours gives what a reader's place costs a request, in unfinished reads behind which it rather
// waits: another zone is crossed to, and a state leaves its cell where no writer there has room.
func (s *Scheduler) detours(r *request) func(*server) float64 {
	read := s.pace[reading].Y
	if read <= 0 {
		return func(*server) float64 { return 0 }
	}
	patience, hasRoom := slightWait*float64(s.minAim)/read, s.cellsWithRoom(r, writes)
	return func(v *server) (cost float64) {
		if v.Zone != s.set.Zone {
			cost += patience
		}
		if !hasRoom(v) {
			cost += moveWait * patience
		}
		return cost
	}
}

// counts estimates the unfinished reads at readers on the fleet's scale, or
// what is reported if that is more and new, and how far chance may put it off. Of
// many nodes, own counts are chance: reports tell, with age the less, and the mean.
func (s *Scheduler) counts(role Role) (count func(*server) float64, chance float64) {
	mean, _ := s.mean(role, func(v *server) (float64, bool) { return float64(v.reads), true })
	told, heard := s.mean(role, func(v *server) (float64, bool) { return s.running(v), len(v.report) > 0 })
	if s.set.Nodes > manyNodes && heard > 0 {
		return func(v *server) float64 {
			if len(v.report) == 0 {
				return told
			}
			return told + (s.running(v)-told)*math.Exp(-float64(s.now-v.reportAt)/float64(4*s.minAim))
		}, 1
	}
	return func(v *server) float64 {
		n := trend.Fleet(s.set.Nodes, float64(v.reads), mean, 1)
		if len(v.report) > 0 && s.now-v.reportAt < probeEvery {
			n = max(n*(1-s.crowd), s.running(v))
		}
		return n
	}, s.crowd * float64(s.set.Nodes-1) * mean / math.Sqrt(1+mean)
}

// byPrefix is the gap test, then matches up to the cap, then the fewest-running
// server, or one nearer to the node and to a writer with room that has few more. A reader
// among the prefix's homes counts as holding it: all nodes send there, so that it does whether
// this node has or not.
func (s *Scheduler) byPrefix(r *request, pool []*server) *server {
	count, chance := s.counts(pool[0].role)
	key := cmp.Or(r.Prefix, r.Session)
	fewest, best := pool[0], (*server)(nil)
	var sum, sq, most, top float64
	for _, v := range pool {
		n, least := count(v), count(fewest)
		sum, sq, most = sum+n, sq+n*n, max(most, n)
		if here := v.Zone == s.set.Zone; n < least || n == least && (here && fewest.Zone != s.set.Zone ||
			here == (fewest.Zone == s.set.Zone) && v.score(key) > fewest.score(key)) {
			fewest = v
		}
	}
	if most-count(fewest) > max(countGap, deviations*chance) {
		return fewest
	}
	n := float64(len(pool))
	limit := sum/n + deviations*max(math.Sqrt(max(sq/n-sum/n*sum/n, 0)), chance)
	homes, detour := s.homes(r, pool), s.detours(r)
	load := func(v *server) float64 { return count(v) + detour(v) }
	for _, v := range pool {
		share := s.share(r, v, homes)
		if share == 0 || count(v) > limit+1e-9 || best != nil && share < top {
			continue
		}
		if best == nil || share > top || load(v) < load(best)-chance ||
			load(v) <= load(best)+chance && s.closer(r, v, best) {
			best, top = v, share
		}
	}
	return s.orSlowStart(cmp.Or(best, fewest), pool, func(v *server) float64 {
		work := count(v)*s.prompt + r.PromptTokens - s.share(r, v, homes)
		if v == homes[0] {
			work = count(v) * s.prompt // little of the prompt is new where the session has been before
		}
		return work
	})
}

// closer prefers, of two readers that are alike, the one in the node's zone, then the session's.
func (s *Scheduler) closer(r *request, v, other *server) bool {
	here := v.Zone == s.set.Zone
	if here != (other.Zone == s.set.Zone) {
		return here
	}
	return v.score(r.Session) > other.score(r.Session)
}

// share is how much of a prompt a reader holds, in tokens, a home at least the shared prefix.
func (s *Scheduler) share(r *request, v *server, homes []*server) float64 {
	tokens, _ := s.match(r, v)
	if slices.Contains(homes, v) {
		return max(tokens, r.PrefixTokens, 1)
	}
	return tokens
}

// orSlowStart leaves a choice for a reader in slow start that has been heard from just now and would
// be sooner done: what a choice keeps of a prompt is worth the tokens that need not be read, no more.
// Others that are idle are not taken so: one that fails at once is idle too.
func (s *Scheduler) orSlowStart(choice *server, pool []*server, work func(*server) float64) *server {
	least := work(choice) * max(s.set.Rules.SlowStartCapacity, leastStartSpeed)
	for _, v := range pool {
		if s.inSlowStart(v) && s.now-v.reportAt < probeEvery && work(v) < least {
			choice, least = v, work(v)
		}
	}
	return choice
}

// candidates are the readers to ask before a choice: the prefix's homes, and one in slow start,
// drawn, which few prompts would lead to.
func (s *Scheduler) candidates(r *request, pool []*server) []*server {
	candidates := s.homes(r, pool)
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
func (s *Scheduler) homes(r *request, pool []*server) []*server {
	uses, n := 0.0, float64(len(pool))
	for _, v := range pool {
		uses += s.table.Used(v.runs, prefix.Key{Hash: r.Prefix})
	}
	want, need := 2, spread*n*max(uses-1, 0)/(s.table.Uses()+n) // what was seen once may be chance
	if s.set.Nodes > manyNodes && s.set.Reports == ReportNone {
		want = max(want, int(n*blindShare))
	}
	for float64(want) < need {
		want *= 2 // so that nodes mostly agree and a session finds its earlier turns
	}
	near, far := s.byZone(pool)
	if len(near) == 0 || len(far) == 0 {
		return r.homesIn(pool, want, 2)
	}
	part := max(want/2, 1)
	return append(r.homesIn(near, part, 1), r.homesIn(far, part, 1)...)
}

// pickWriter is the design's writer rule: the holder, else the roomiest.
func (s *Scheduler) pickWriter(r *request, reader *server) *server {
	h := r.ahead
	if r.state != nil && h != nil && h.listed && !r.tried[h] && r.mayRunOn(h, s.now) && s.slowStartAllows(h, r) {
		return h
	}
	return s.roomiest(s.soonest(r, s.pool(r, writes), reader), reader)
}

// soonest leaves of a pool the writers that are expected to begin an answer hardly later than the first
// of them would: room in memory tells nothing of what waits for a slot, or to be read.
func (s *Scheduler) soonest(r *request, pool []*server, reader *server) []*server {
	wait := func(v *server) float64 { return s.delay(v, stageOf(true, reader, v), r.PromptTokens) }
	least := math.Inf(1)
	for _, v := range pool {
		least = min(least, wait(v))
	}
	limit := least + slightWait*float64(s.minAim)
	return slices.DeleteFunc(slices.Clone(pool), func(v *server) bool { return wait(v) > limit })
}

// roomiest prefers the reader's cell, then its zone, while room there is not
// far below the best anywhere. Equals are drawn for, or all nodes would follow
// one old report to the same writer. Many nodes know so little of a writer that
// each would take those with the largest memory: they draw for all, by their room.
func (s *Scheduler) roomiest(pool []*server, reader *server) *server {
	if len(pool) == 0 {
		return nil
	}
	room := s.rooms(pool[0].role)
	var best [3]*server // anywhere, in the zone, in the cell
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
			if sum[near] += max(n, 1); s.set.Nodes > manyNodes {
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
		if best[near] != nil && most[near] >= max(most[0], 0)*nearRoom {
			return best[near]
		}
	}
	return best[0]
}

// rooms estimates the memory free at writers, less where one is slow: the lower
// of what it reported less prompts sent since, and of what own requests suggest.
// With age its cell's mean counts instead: some cells have too few writers.
func (s *Scheduler) rooms(role Role) func(*server) float64 {
	wanted := func(v *server) (float64, bool) { // held, and waited for
		x, ok := v.report[ReportMemory]
		return x + v.report[ReportQueue]*s.prompt/max(v.memory, 1), ok
	}
	used, heard := s.mean(role, wanted)
	held, _ := s.mean(role, func(v *server) (float64, bool) { return v.held, true })
	cell, told := s.byCell(role, wanted)
	return func(v *server) float64 {
		room := v.memory - trend.Fleet(s.set.Nodes, v.held, held, s.prompt)
		if heard > 0 {
			x := (cell[v.Cell] + used) / (told[v.Cell] + 1)
			if own, ok := wanted(v); ok {
				x += (own - x) * math.Exp(-float64(s.now-v.reportAt)/float64(4*s.minAim))
			}
			room = min(v.memory-v.held, v.memory*(1-x)-v.sentSince)
		}
		return min(room, room/max(v.ratio, 1))
	}
}
