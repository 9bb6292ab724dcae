package rules

// Rule names a rule.
type Rule string

// The rules.
const (
	Lost      Rule = "lost"      // one final answer for whatever was taken, whole or openly broken
	Duplicate Rule = "duplicate" // no side effect twice, no two attempts out, no refusal of what may have run
	Drain     Rule = "drain"     // nothing new 1 s after the gateway was told
	Cold      Rule = "cold"      // a cold box is not pushed over
	Pinned    Rule = "pinned"    // what is held is taken or let go within 500 ms
	Unchanged Rule = "unchanged" // bytes pass on as they came
)

// Limits are the rules' figures in ms, with the tolerances of sockets.
type Limits struct {
	DrainGrace    float64
	ReleaseWithin float64
	Overlap       float64 // for the end of an attempt to be seen
	StreamLast    float64 // after an engine's last event, until a client's stream has ended
	ColdShare     float64 // of a cold box's work, from gateways that knew, that breaks the rule
	ColdWindow    float64
	ForgetAfter   float64
}

// Platform are the protocol's figures.
func PlatformLimits() Limits {
	return Limits{DrainGrace: 1050, ReleaseWithin: 800, Overlap: 50, StreamLast: 5050, ColdShare: 2.0 / 3, ColdWindow: 1000, ForgetAfter: 60000}
}

// Patient are limits for tests that share their machine: what takes a moment is
// let pass there, so that a verdict does not depend on how fast the machine is.
func RelaxedLimits() Limits {
	l := PlatformLimits()
	l.DrainGrace, l.ReleaseWithin, l.Overlap, l.StreamLast = 6000, 6000, 3000, 15000
	return l
}

// Break is a broken rule, with all that the request went through.
type Violation struct {
	Rule    Rule     `json:"rule"`
	At      float64  `json:"at_ms"`
	Request string   `json:"request,omitempty"`
	Engine  string   `json:"box,omitempty"`
	Text    string   `json:"text"`
	History []string `json:"history,omitempty"`
}

// Outcome tells how an attempt ended at its box.
type Outcome string

// The outcomes of attempts.
const (
	Read    Outcome = "read"    // 202: the state waits
	Whole   Outcome = "whole"   // the answer has been written to its end
	Away    Outcome = "away"    // turned away, or no state: it never ran
	Failed  Outcome = "error"   // an error; it may have run
	GivenUp Outcome = "givenup" // the caller closed
	Reset   Outcome = "reset"   // the box died or broke it
)

// Answer tells how a client's try ended.
type Answer string

// The answers to clients.
const (
	Served     Answer = "served"
	Refused    Answer = "refused"
	Failure    Answer = "failed"
	Broken     Answer = "broken"  // a begun stream ended without its last chunk
	Timeout    Answer = "timeout" // the client's time was up first
	ClientLeft Answer = "left"    // the client left early
	Dropped    Answer = "dropped" // the gateway closed the connection without an answer
)

// Counts are what the checker has seen.
type Counts struct {
	Requests, Attempts, Places, Releases int
	Answers                              map[Answer]int
	Runs                                 int // answers begun by writers
	Doubles                              int // runs of a side effect beyond its first
}
