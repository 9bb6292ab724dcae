package gateway

import (
	"math"
	"sync"
	"sync/atomic"

	"ashwood.example/ashwood"
)

// pulses tell when an answer of each engine last went on, for as long as this gateway has
// one of its answers open.
type pulses struct {
	mu sync.Mutex
	by map[ashwood.ServerID]*pulse
}

type pulse struct {
	open int           // answers; of pulses
	last atomic.Uint64 // ms, the bits of a float64
}

// enter gives an engine's pulse to one more answer.
func (p *pulses) enter(engine ashwood.ServerID) *pulse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.by == nil {
		p.by = map[ashwood.ServerID]*pulse{}
	}
	v := p.by[engine]
	if v == nil {
		v = &pulse{}
		p.by[engine] = v
	}
	v.open++
	return v
}

// leave takes an answer's part in a pulse back.
func (p *pulses) leave(engine ashwood.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.by[engine]; v != nil {
		if v.open--; v.open == 0 {
			delete(p.by, engine)
		}
	}
}

// beat tells that an answer has gone on; at is when, later than any before it of its own.
func (v *pulse) beat(at float64) { v.last.Store(math.Float64bits(at)) }

func (v *pulse) at() float64 { return math.Float64frombits(v.last.Load()) }
