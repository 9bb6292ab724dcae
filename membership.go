package ashwood

import (
	"ashwood.example/ashwood/internal/slowstart"
	"ashwood.example/ashwood/internal/trend"
)

// This file keeps the picture of the servers that the list tells of. It decides nothing.

// enter takes in an entry of the server list. A server that is not on gets nothing more from
// this moment (rule 3).
func (s *Scheduler) applyEntry(entry Server) {
	v := s.servers[entry.ID]
	if v == nil {
		v = newServer(entry.ID)
		s.servers[entry.ID], s.sortedServers = v, append(s.sortedServers, v)
	}
	if entry.Started > v.Started {
		s.resetServer(v)
	}
	if s.zonePaths[entry.Zone] == nil {
		s.zonePaths[entry.Zone] = &health{}
	}
	v.Server, v.zonePath, v.active = entry, s.zonePaths[entry.Zone], entry.State == StateActive
	if kind, known := s.kinds[entry.Kind]; known {
		v.role, v.memoryTokens = kind.Role, max(kind.MemoryTokens, 1)
	}
	v.active = v.active && v.role != 0
}

// restart empties what was known of a server that has started anew: its record, its load and the
// blocks that it kept. Where this node stands among those that share its slow start is drawn.
func (s *Scheduler) resetServer(v *trackedServer) {
	v.health, v.latencyRatio, v.pausedUntil, v.report, v.warmThroughput = health{}, 1, 0, nil, trend.Rate{}
	v.slowStartSends, v.restartedAt, v.slowStartPhase = nil, s.now, s.rng.Float64()
	v.slowStartCredit = slowstart.NewCredit(s.now, v.slowStartPhase)
	s.prefixTable.DropOlderThan(v.prefixRuns, s.now+1)
}
