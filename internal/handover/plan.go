package handover

import "slices"

// Plan is what a process has to do, given the living members.
type Plan struct {
	Processes  int  // that share the gateway's work, this one included
	Superseded bool // a newer process accepts clients: this one sends its own clients there
}

// MakePlan returns a process's plan. Members are as returned by Group.Members, oldest first.
// A starting process counts from its first entry, before it accepts any client, and a leaving
// one until it has ended.
func MakePlan(selfName string, members []Member) Plan {
	p := Plan{Processes: max(len(members), 1)}
	at := slices.IndexFunc(members, func(m Member) bool { return m.Name == selfName })
	for _, m := range members[at+1:] {
		p.Superseded = p.Superseded || m.State == Serving
	}
	return p
}

// Successor returns the newest process that serves, if one that is newer than this process does.
func Successor(selfName string, members []Member) (name string, ok bool) {
	at := slices.IndexFunc(members, func(m Member) bool { return m.Name == selfName })
	for _, m := range members[at+1:] {
		if m.State == Serving {
			name, ok = m.Name, true
		}
	}
	return name, ok
}

// NotedByAll reports whether all other processes have noted this one.
func NotedByAll(selfName string, members []Member) bool {
	return !slices.ContainsFunc(members, func(m Member) bool {
		return m.Name != selfName && !slices.Contains(m.Noted, selfName)
	})
}
