package ashwood

import (
	"math"
	"slices"
	"time"
)

// judge moves the health of a server and of the path to its zone: one where all
// fails is left as a whole. Peers are the yardstick: shared trouble ejects nobody.
func (s *Scheduler) judge(v *server, r *request, ok bool) {
	v.sample(ok)
	if v.Zone != s.set.Zone {
		all := !slices.ContainsFunc(s.order, func(o *server) bool {
			return o.listed && (o.Zone == v.Zone && o.fail < failLimit/2 || o.Zone == s.set.Zone && o.fail > failLimit)
		})
		v.path.sample(ok)
		v.path.judge(s.now, r.ID, ok, !ok && all && v.path.fail > 2*failLimit)
	}
	peers, gone, fails, ratios := 0.0, 1.0, 0.0, []float64{}
	for _, o := range s.order {
		if o == v || !o.listed || o.role != v.role {
			continue
		}
		peers++
		fails += o.fail
		ratios = append(ratios, o.ratio)
		if o.ejected {
			gone++
		}
	}
	var bad bool
	if peers > 0 && gone <= ejectShare*(peers+1) {
		slices.Sort(ratios)
		bad = ok && v.ratio > slowLimit*max(ratios[len(ratios)/2], 1) || !ok && v.fail > failLimit+fails/peers/2
	}
	if was := v.ejected; v.judge(s.now, r.ID, ok, bad) && was {
		v.ratio = 1
	}
}

// sample takes in one result.
func (h *health) sample(ok bool) {
	h.fail *= 1 - ewma
	if !ok {
		h.fail += ewma
	}
}

// judge ejects on bad and tells whether all is well. What is ejected comes
// back by a single trial, later each time that the trial fails.
func (h *health) judge(now time.Duration, id RequestID, ok, bad bool) bool {
	switch {
	case h.ejected && h.trial != id:
		return false
	case h.ejected && ok:
		h.ejected, h.fail = false, min(h.fail, failLimit*0.7)
	case h.ejected || bad:
		h.ejected = true
		h.backoff = max(min(h.backoff*2, backoffMax), backoffFirst)
		h.until = now + h.backoff
	case h.fail < failLimit/4:
		h.backoff = 0
	}
	return !h.ejected
}

func (h *health) due(now time.Duration) bool { return h.ejected && now >= h.until && h.trial == "" }

// overloaded tells of a reader that by its own word holds far more than its peers: it
// hangs, or has been found by too many at once.
func (s *Scheduler) overloaded(v *server) bool {
	told, n := s.mean(v.role, func(o *server) (float64, bool) {
		return o.report[ReportInFlight], o != v && len(o.report) > 0
	})
	return s.set.Nodes > manyNodes && v.role == RoleRead && n > 0 && v.report[ReportInFlight]-told > countGap
}

// usable tells whether a request may go to a server at this moment.
func (s *Scheduler) usable(r *request, v *server) bool {
	return v.listed && !r.tried[v] && r.mayRunOn(v, s.now) && s.now >= v.pausedUntil && s.slowStartAllows(v, r)
}

func (s *Scheduler) trusted(v *server) bool { return !v.ejected && !v.path.ejected }

// avoided tells of a server in the list that the ordinary path leaves out at this moment: it
// drains, is ejected or its zone is, or it turned something away of late.
func (s *Scheduler) avoided(v *server) bool {
	return v.State != StateRemoved && (!v.listed || !s.trusted(v) || s.now < v.pausedUntil)
}

// inSlowStart tells whether a server may still be warming up.
func (s *Scheduler) inSlowStart(v *server) bool {
	return v.Started > 0 && s.now-v.Started < s.set.Rules.SlowStartDuration
}

// slowStartAllows keeps rule 4: this node's part of what a cold server can take, from
// what warm ones finish. Under one request a window it is one in so many
// windows, the first at a time drawn by seed, so that the sum keeps to it.
func (s *Scheduler) slowStartAllows(v *server, r *request) bool {
	if !s.inSlowStart(v) || s.set.Rules.SlowStartMultiple == 0 {
		return true
	}
	if s.set.Nodes > manyNodes {
		return v.credit.Covers()
	}
	rules, cost := s.set.Rules, max(s.cost[r.class], 1)
	each, _ := s.mean(v.role, func(o *server) (float64, bool) {
		return o.done.Add(s.now, rules.SlowStartWindow, 0), !s.inSlowStart(o)
	})
	budget, nodes := each*rules.SlowStartWindow.Seconds()*rules.SlowStartMultiple*
		rules.SlowStartCapacity, float64(s.set.Nodes)
	k := max(budget*nodes/cost, 1) // of all nodes; their draws may by chance fall together, by three deviations
	part := min(slowStartMargin, 1-s.crowd+math.Pow(math.Sqrt(9+4*k)-3, 2)/4/k)
	budget = max(budget*part, cost*max(1/nodes, math.Pow(1-s.crowd, 2))) / s.copies // many nodes share one
	span := time.Duration(float64(rules.SlowStartWindow) * max(1, cost/budget))
	sent := cost + v.sends.Within(s.now, span)
	return sent <= max(budget, cost) && s.now-v.since >=
		time.Duration(v.phase*float64(span-rules.SlowStartWindow))
}

// creditSlowStart hands out sends to servers in slow start, where many nodes share their budget,
// for a request that a warm peer has finished. What warm peers finish shows what a server can do
// at the least, of which the settings allow a part in slow start. Every node hands out what its
// own requests show, so that the sum over all nodes is that part.
func (s *Scheduler) creditSlowStart(done *server) {
	for _, v := range s.order {
		if v.role == done.role && s.inSlowStart(v) && !s.inSlowStart(done) {
			v.credit.Earn(s.set.Rules.SlowStartMultiple * s.set.Rules.SlowStartCapacity / max(s.warm(done.role), 1))
		}
	}
}

// warm counts the servers of a role that bear the usual load.
func (s *Scheduler) warm(role Role) float64 {
	_, n := s.mean(role, func(v *server) (float64, bool) { return 0, !s.inSlowStart(v) && s.trusted(v) })
	return n
}

// creditChance hands out half of what the rule grants beyond the budget of n sends, 3 root n + 3
// in a window; the other half is left to chance. The roots of the nodes' parts add up to no more
// than the root of their sum. It is for readers, which leave much of their credit unused, as only
// prompts go there whose beginning hashes to them, and for roles of which no warm server is left.
func (s *Scheduler) creditChance() {
	rules := s.set.Rules
	_, readers := s.mean(RoleRead, func(*server) (float64, bool) { return 0, true })
	requests := s.coming.Add(s.now, time.Second, 0) / max(s.prompt, 1) * float64(s.set.Nodes)
	n := rules.SlowStartMultiple * rules.SlowStartCapacity *
		requests * rules.SlowStartWindow.Seconds() / max(readers, 1)
	for _, v := range s.order {
		windows := float64(v.credit.Elapsed(s.now)) / float64(rules.SlowStartWindow)
		if s.inSlowStart(v) && (v.role == RoleRead || s.warm(v.role) == 0) {
			v.credit.Earn(windows * chanceShare * (math.Sqrt(n) + 1) / float64(s.set.Nodes) / s.copies)
		}
	}
}
