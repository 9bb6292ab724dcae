package rules

// Rule names a rule.
type Rule string

// The rules.
const (
	Lost      Rule = "lost"      // one final answer for each accepted request, complete or openly broken
	Duplicate Rule = "duplicate" // no side effect twice, no two attempts in flight, no refusal of what may have run
	Drain     Rule = "drain"     // no new work 1 s after the gateway was notified
	Cold      Rule = "cold"      // a cold engine is not overloaded until it crashes
	Pinned    Rule = "pinned"    // holds are used or released within 500 ms
	Unchanged Rule = "unchanged" // bytes pass on unchanged
)

// Limits holds the rules' limits in ms, with the tolerances of sockets.
type Limits struct {
	DrainGrace      float64
	ReleaseWithin   float64
	MaxOverlap      float64 // until the end of an attempt is seen
	StreamEndWithin float64 // from an engine's last event to the end of a client's stream
	ColdShare       float64 // share of a cold engine's work, from notified gateways, that violates the rule
	ColdWindow      float64
	ForgetAfter     float64
}

// PlatformLimits returns the protocol's limits.
func PlatformLimits() Limits {
	return Limits{DrainGrace: 1050, ReleaseWithin: 800, MaxOverlap: 50, StreamEndWithin: 5050, ColdShare: 2.0 / 3, ColdWindow: 1000, ForgetAfter: 60000}
}

// RelaxedLimits returns limits for tests that share their machine: short delays are
// allowed, so that the verdict does not depend on the machine's speed.
func RelaxedLimits() Limits {
	l := PlatformLimits()
	l.DrainGrace, l.ReleaseWithin, l.MaxOverlap, l.StreamEndWithin = 6000, 6000, 3000, 15000
	return l
}

// Violation is a violated rule, with the history of the request.
type Violation struct {
	Rule    Rule     `json:"rule"`
	At      float64  `json:"at_ms"`
	Request string   `json:"request,omitempty"`
	Engine  string   `json:"box,omitempty"`
	Text    string   `json:"text"`
	History []string `json:"history,omitempty"`
}

// Outcome tells how an attempt ended at its engine.
type Outcome string

// The outcomes of attempts.
const (
	Prefilled Outcome = "read"    // 202: the KV state waits
	Whole     Outcome = "whole"   // the answer was written to its end
	Rejected  Outcome = "away"    // rejected, or no KV state: it never ran
	Failed    Outcome = "error"   // an error; it may have run
	Cancelled Outcome = "givenup" // the caller closed
	Reset     Outcome = "reset"   // the engine died or broke the connection
)

// Answer tells how a client's try ended.
type Answer string

// The answers to clients.
const (
	Served     Answer = "served"
	Refused    Answer = "refused"
	Failure    Answer = "failed"
	Broken     Answer = "broken"  // a stream ended without its last chunk
	Timeout    Answer = "timeout" // the client's timeout expired first
	ClientLeft Answer = "left"    // the client disconnected early
	Dropped    Answer = "dropped" // the gateway closed the connection without an answer
)

// Counts holds what the checker has seen.
type Counts struct {
	Requests, Attempts, Places, Releases int
	Answers                              map[Answer]int
	Runs                                 int // answers begun by decode engines
	Doubles                              int // runs of a side effect beyond its first
}
