package gateway

import (
	"math"
	"sync"
	"sync/atomic"

	"ashwood.example/ashwood"
)

// progressTracker keeps the time at which any answer of an engine last made progress, for each engine
// with open answers at this gateway.
type progressTracker struct {
	mu       sync.Mutex
	byEngine map[ashwood.ServerID]*engineProgress
}

// engineProgress is the last progress of an engine's answers.
type engineProgress struct {
	openAnswers int           // guarded by progressTracker.mu
	lastAt      atomic.Uint64 // ms of the clock, the bits of a float64
}

// join adds an answer to an engine's open ones and returns the engine's progress.
func (p *progressTracker) join(engine ashwood.ServerID) *engineProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byEngine == nil {
		p.byEngine = map[ashwood.ServerID]*engineProgress{}
	}
	progress := p.byEngine[engine]
	if progress == nil {
		progress = &engineProgress{}
		p.byEngine[engine] = progress
	}
	progress.openAnswers++
	return progress
}

// leave removes an answer from an engine's open ones.
func (p *progressTracker) leave(engine ashwood.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if progress := p.byEngine[engine]; progress != nil {
		if progress.openAnswers--; progress.openAnswers == 0 {
			delete(p.byEngine, engine)
		}
	}
}

// advance records that an answer made progress at a time that is later than any earlier one of that answer.
func (p *engineProgress) advance(at float64) { p.lastAt.Store(math.Float64bits(at)) }

// at returns the time of the last progress.
func (p *engineProgress) at() float64 { return math.Float64frombits(p.lastAt.Load()) }
