package ashwood

import (
	"ashwood.example/ashwood/internal/slowstart"
	"ashwood.example/ashwood/internal/trend"
)

// This file applies membership entries to the scheduler's state. It decides nothing.

// applyEntry applies an entry of the membership. A server that is not active gets no new work
// from this moment (rule 3).
func (s *Scheduler) applyEntry(entry Server) {
	server := s.servers[entry.ID]
	if server == nil {
		server = newServer(entry.ID)
		s.servers[entry.ID], s.sortedServers = server, append(s.sortedServers, server)
	}
	if entry.Started > server.Started {
		s.resetServer(server)
	}
	if s.zonePaths[entry.Zone] == nil {
		s.zonePaths[entry.Zone] = &health{}
	}
	server.Server, server.zonePath, server.active = entry, s.zonePaths[entry.Zone], entry.State == StateActive
	if kind, known := s.kinds[entry.Kind]; known {
		server.role, server.memoryTokens = kind.Role, max(kind.MemoryTokens, 1)
	}
	server.active = server.active && server.role != 0
}

// resetServer drops what was known about a server that has restarted: its health, its load and its
// prefix cache. It draws a new slowStartPhase, by which the nodes that share the
// slow-start budget stagger their sends.
func (s *Scheduler) resetServer(server *trackedServer) {
	server.health, server.latencyRatio, server.pausedUntil, server.report, server.warmThroughput =
		health{}, 1, 0, nil, trend.Rate{}
	server.slowStartSends, server.restartedAt, server.slowStartPhase = nil, s.now, s.rng.Float64()
	server.slowStartCredit = slowstart.NewCredit(s.now, server.slowStartPhase)
	s.prefixTable.DropOlderThan(server.prefixRuns, s.now+1)
}
