package emulator

import (
	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/rules"
)

// Engine is an engine with the addresses at which a gateway reaches it.
type Engine struct {
	engine.Spec
	HTTP, GRPC string
}

// Engines lists the engines with the addresses at which a gateway reaches them.
func (e *Emulator) Engines(gateway int) []Engine {
	list := make([]Engine, len(e.endpoints[gateway]))
	for i, ep := range e.endpoints[gateway] {
		list[i] = Engine{Spec: ep.spec, HTTP: ep.http.addr}
		if ep.grpc != nil {
			list[i].GRPC = ep.grpc.addr
		}
	}
	return list
}

// DiscoveryAddr returns the address of a gateway's discovery agent.
func (e *Emulator) DiscoveryAddr(gateway int) string { return e.agents[gateway].addr }

// Rules returns the rule checker; clients report their side to it.
func (e *Emulator) Rules() *rules.Checker { return e.rules }

// Stats tells how the emulator itself is doing.
type Stats struct {
	Steps     int64    `json:"steps"`       // timers of the model that ran late
	LateP50   float64  `json:"late_p50_ms"` // how late they ran
	LateP99   float64  `json:"late_p99_ms"`
	LateMax   float64  `json:"late_max_ms"`
	Malformed []string `json:"malformed,omitempty"` // errors of the gateways' malformed requests
}

// maxTrustedLateness is the p99 lateness in ms above which measurements are not to be
// trusted.
const maxTrustedLateness = 20.0

// Late tells whether the emulator was too late for its measurements to be trusted.
func (s Stats) Late() bool { return s.LateP99 > maxTrustedLateness }

// Stats returns how late the emulator has been, and what it could not parse.
func (e *Emulator) Stats() (s Stats) {
	s.LateP50, s.LateP99, s.LateMax, s.Steps = e.driver.lateness()
	e.malformed.Range(func(k, _ any) bool {
		s.Malformed = append(s.Malformed, k.(string))
		return true
	})
	return s
}

// HoldCount returns the number of requests with holds anywhere; it is 0 at the end of
// a correct rehearsal.
func (e *Emulator) HoldCount() (n int) {
	e.driver.do(func(f *engine.Fleet) { n = f.HoldCount() })
	return n
}
