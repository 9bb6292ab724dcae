package ashwood

import (
	"ashwood.example/ashwood/internal/slowstart"
	"ashwood.example/ashwood/internal/trend"
)

// This file keeps the picture of the servers that the list tells of. It decides nothing.

// enter takes in an entry of the server list. A server that is not on gets nothing more from
// this moment (rule 3).
func (s *Scheduler) enter(entry Server) {
	v := s.servers[entry.ID]
	if v == nil {
		v = newServer(entry.ID)
		s.servers[entry.ID], s.order = v, append(s.order, v)
	}
	if entry.Started > v.Started {
		s.restart(v)
	}
	if s.zones[entry.Zone] == nil {
		s.zones[entry.Zone] = &health{}
	}
	v.Server, v.path, v.listed = entry, s.zones[entry.Zone], entry.State == StateActive
	if kind, known := s.kinds[entry.Kind]; known {
		v.role, v.memory = kind.Role, max(kind.MemoryTokens, 1)
	}
	v.listed = v.listed && v.role != 0
}

// restart empties what was known of a server that has started anew: its record, its load and the
// blocks that it kept. Where this node stands among those that share its slow start is drawn.
func (s *Scheduler) restart(v *server) {
	v.health, v.ratio, v.pausedUntil, v.report, v.done = health{}, 1, 0, nil, trend.Rate{}
	v.sends, v.since, v.phase = nil, s.now, s.rng.Float64()
	v.credit = slowstart.NewCredit(s.now, v.phase)
	s.table.Void(v.runs, s.now+1)
}
