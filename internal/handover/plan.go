package handover

import "slices"

// Plan is what a process does by the members that live.
type Plan struct {
	Processes  int  // that share the gateway's part, this one among them
	Superseded bool // a newer one takes clients: this one sends its own there
}

// Decide gives a process's plan. Members are as Group.Members gives them, oldest first. A
// process that starts counts from its first sign, before it takes any client, and one that
// leaves until it is gone.
func MakePlan(self string, members []Member) Plan {
	p := Plan{Processes: max(len(members), 1)}
	at := slices.IndexFunc(members, func(m Member) bool { return m.Name == self })
	for _, m := range members[at+1:] {
		p.Superseded = p.Superseded || m.State == Serving
	}
	return p
}

// Heir is the newest process that serves, if one newer than this does.
func Successor(self string, members []Member) (name string, ok bool) {
	at := slices.IndexFunc(members, func(m Member) bool { return m.Name == self })
	for _, m := range members[at+1:] {
		if m.State == Serving {
			name, ok = m.Name, true
		}
	}
	return name, ok
}

// Noted tells whether all others have taken note of a process.
func NotedByAll(self string, members []Member) bool {
	return !slices.ContainsFunc(members, func(m Member) bool {
		return m.Name != self && !slices.Contains(m.Noted, self)
	})
}
