package emulator

import (
	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/rules"
)

// Box is a box's address as a gateway reaches it.
type Engine struct {
	engine.Spec
	HTTP, GRPC string
}

// Boxes lists the boxes with the addresses that a gateway reaches them at.
func (e *Emulator) Engines(gateway int) []Engine {
	list := make([]Engine, len(e.views[gateway]))
	for i, v := range e.views[gateway] {
		list[i] = Engine{Spec: v.spec, HTTP: v.http.addr}
		if v.grpc != nil {
			list[i].GRPC = v.grpc.addr
		}
	}
	return list
}

// Discovery is the address of a gateway's agent.
func (e *Emulator) DiscoveryAddr(gateway int) string { return e.agents[gateway].addr }

// Rules is the checker that watches the boxes; clients tell it their part.
func (e *Emulator) Rules() *rules.Checker { return e.rules }

// Stats tell how the emulator itself is doing.
type Stats struct {
	Steps     int64    `json:"steps"`       // of the model that fell due while others waited
	LateP50   float64  `json:"late_p50_ms"` // how much later than due it carried them out
	LateP99   float64  `json:"late_p99_ms"`
	LateMax   float64  `json:"late_max_ms"`
	Malformed []string `json:"malformed,omitempty"` // requests of gateways that could not be read
}

// lateAt is the p99 lateness in ms from which on figures are not to be trusted.
const lateAt = 20.0

// Late tells whether the emulator was too late for its figures to be trusted.
func (s Stats) Late() bool { return s.LateP99 > lateAt }

// Stats tells how late the emulator has been, and what it could not read.
func (e *Emulator) Stats() (s Stats) {
	s.LateP50, s.LateP99, s.LateMax, s.Steps = e.driver.lateness()
	e.malformed.Range(func(k, _ any) bool {
		s.Malformed = append(s.Malformed, k.(string))
		return true
	})
	return s
}

// Held tells what is held anywhere; a rehearsal's end finds nothing.
func (e *Emulator) HoldCount() (n int) {
	e.driver.do(func(f *engine.Fleet) { n = f.HoldCount() })
	return n
}
