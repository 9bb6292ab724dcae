// Package engine models the fleet's boxes: readers that read prompts, writers
// that fetch the read states and write answers, the links between them, and
// what goes wrong with them. It is pure: no I/O, no goroutine, no clock of its
// own. A driver calls it with the time and carries its events to sockets, or a
// loop in virtual time does.
//
// Times are milliseconds as float64, sizes are tokens. The behaviour follows
// the platform's protocol page and its description of two-stage serving; what
// the model leaves out stands in docs/design/emulator.md.
package engine

import (
	"errors"
	"fmt"
	"math"
)

// Role tells which stage a kind of box serves.
type Role string

// The roles of boxes.
const (
	RolePrefill Role = "read"
	RoleDecode  Role = "write"
)

// CancelMode tells what a box stops when a caller gives an attempt up. A
// request that waits for its state and a stream that nobody reads end in any mode.
type CancelMode string

// The modes of cancelling.
const (
	CancelIgnored CancelMode = "ignored" // waiting and running work goes on
	CancelQueued  CancelMode = "queued"  // waiting work is dropped, running goes on
	CancelHonours CancelMode = "honoured"
)

// Kind holds the figures of one kind of box. Rates are those of a warm box of
// speed 1 with few connections.
type Kind struct {
	Name          string
	Role          Role
	Slots         int        // requests read, or answers written, at once
	MaxQueue      int        // requests that may wait
	MemoryTokens  float64    // read states, answers under way and, at readers, kept prompts
	PrefillPerS   float64    // prompt tokens read a second
	Chunk         float64    // prompt tokens read in one step at most
	StepMs        float64    // a step's least length
	PerSeqMs      float64    // added for each answer that runs
	ContextMsPerK float64    // added for each 1,000 tokens of the answers' contexts
	PairsMsPerM   float64    // added for each million pairs of a token read and one before it
	Speed         float64    // of this kind's boxes; 1 = as above
	SpeedCV       float64    // spread of single boxes around it
	ColdCapacity  float64    // share of its capacity that a box starts with
	WarmUpMs      float64    // time until it is warm
	MaxConns      int        // connections that it holds at most
	FullTax       float64    // share of its capacity that a full connection table takes
	HandshakeMs   float64    // work of one new connection
	ProbeMs       float64    // work of one probe or asked place
	Cancel        CancelMode // what a given-up attempt stops
	DropExpired   bool       // whether waiting work whose time is up is turned away
	ErrorRate     float64    // share of attempts that end with an error
}

// Validate reports figures that no box can have; the error names the key.
func (k Kind) Validate() error {
	if k.Name == "" {
		return errors.New("name: it is missing")
	}
	if k.Role != RolePrefill && k.Role != RoleDecode {
		return fmt.Errorf("role: %q is neither %q nor %q", k.Role, RolePrefill, RoleDecode)
	}
	switch k.Cancel {
	case CancelIgnored, CancelQueued, CancelHonours:
	default:
		return fmt.Errorf("cancel: %q is none of %q, %q, %q", k.Cancel, CancelIgnored, CancelQueued, CancelHonours)
	}
	for _, v := range []struct {
		key      string
		v        float64
		min, max float64
	}{
		{"slots", float64(k.Slots), 1, 1e5}, {"queue", float64(k.MaxQueue), 0, 1e6}, {"memory_tokens", k.MemoryTokens, 1, 1e9},
		{"read_per_s", k.PrefillPerS, 1, 1e9}, {"chunk", k.Chunk, 1, 1e6}, {"step_ms", k.StepMs, 0, 1e4},
		{"per_seq_ms", k.PerSeqMs, 0, 1e3}, {"context_ms_per_k", k.ContextMsPerK, 0, 1e3}, {"pairs_ms_per_m", k.PairsMsPerM, 0, 1e3},
		{"speed", k.Speed, 0.001, 1e3}, {"speed_cv", k.SpeedCV, 0, 1}, {"cold_from", k.ColdCapacity, 0.001, 1}, {"cold_ms", k.WarmUpMs, 0, 1e7},
		{"conns", float64(k.MaxConns), 1, 1e6}, {"full_tax", k.FullTax, 0, 0.99}, {"handshake_ms", k.HandshakeMs, 0, 1e3},
		{"probe_ms", k.ProbeMs, 0, 1e3}, {"error_rate", k.ErrorRate, 0, 1},
	} {
		if !(v.v >= v.min && v.v <= v.max) {
			return fmt.Errorf("%s: %v is not from %v to %v", v.key, v.v, v.min, v.max)
		}
	}
	return nil
}

// DefaultKinds are the fleet's three kinds with the middle of the ranges that
// the operators' brief gives.
func DefaultKinds() []Kind {
	reader := Kind{
		Name: "prefill", Role: RolePrefill, Slots: 8, MaxQueue: 38, MemoryTokens: 260e3, PrefillPerS: 17500, Chunk: 2048,
		StepMs: 6, PairsMsPerM: 0.8, Speed: 1, SpeedCV: 0.05, ColdCapacity: 0.4, WarmUpMs: 9000, MaxConns: 2500, FullTax: 0.1,
		HandshakeMs: 1.1, ProbeMs: 0.35, Cancel: CancelQueued, DropExpired: true, ErrorRate: 0.001,
	}
	a := reader
	a.Name, a.Role, a.Slots, a.MaxQueue, a.MemoryTokens, a.PrefillPerS = "decode-a", RoleDecode, 85, 27, 180e3, 7700
	a.Chunk, a.StepMs, a.PerSeqMs, a.ContextMsPerK = 1024, 17, 0.2, 0.05
	b := a
	b.Name, b.MemoryTokens, b.PrefillPerS, b.Speed, b.SpeedCV = "decode-b", 150e3, 6900, 0.7, 0.08
	return []Kind{reader, a, b}
}

// BoxSpec places a box.
type Spec struct {
	ID   string
	Kind string
	Zone string
	Cell int
}

// Links are the figures of moving states.
type Links struct {
	NearPerS   float64 // tokens a second out of a reader's port to a box of its cell
	FarRoom    float64 // a cell's link against all that its readers read at full load
	ZoneSlower float64 // how much longer a token takes to another zone
	FlowsAhead float64 // share of a state that flows during the read where a place is held
}

// Reports are the figures of load reports.
type Reports struct {
	PeriodMs float64 // between refreshes
	DelayMs  float64 // age of the freshest that is shown
	Noise    float64 // spread of each value
}

// Class tells the mean work of a class, by which a cold box's budget counts.
type Class struct {
	Name          string
	PrefillTokens float64 // read for a request on average, kept ones not counted
	OutputTokens  float64 // mean length of an answer
	OutputSigma   float64 // spread of its logarithm
}

// Cold are the figures of the rule on cold boxes.
type Cold struct {
	Multiple float64 // of its present capacity that a cold box bears
	WindowMs float64 // over which the work sent to it is counted
	Slack    float64 // share by which chance may go over
}

// Config is all that a fleet is made from.
type Config struct {
	Seed       uint64
	Kinds      []Kind
	Engines    []Spec
	Links      Links
	Reports    Reports
	Classes    []Class
	Cold       Cold
	StateTTLMs float64 // after which a state that nobody takes is freed
}

// DefaultConfig has the figures of the operators' brief and no boxes.
func DefaultConfig() Config {
	return Config{
		Kinds:   DefaultKinds(),
		Links:   Links{NearPerS: 335e3, FarRoom: 3, ZoneSlower: 2.4, FlowsAhead: 0.7},
		Reports: Reports{PeriodMs: 450, DelayMs: 180, Noise: 0.07},
		Classes: []Class{
			{Name: "rate-check", PrefillTokens: 500, OutputTokens: 74, OutputSigma: 0.7},
			{Name: "case-chat", PrefillTokens: 1100, OutputTokens: 123, OutputSigma: 0.7},
			{Name: "send-order", PrefillTokens: 800, OutputTokens: 192, OutputSigma: 0.6},
		},
		Cold:       Cold{Multiple: 2.5, WindowMs: 1000, Slack: 0.1},
		StateTTLMs: 10000,
	}
}

// Validate reports what no fleet can be made from; the error names the key.
func (c Config) Validate() error {
	kinds := map[string]bool{}
	for i, k := range c.Kinds {
		if err := k.Validate(); err != nil {
			return fmt.Errorf("kinds[%d].%w", i, err)
		}
		if kinds[k.Name] {
			return fmt.Errorf("kinds[%d].name: %q comes twice", i, k.Name)
		}
		kinds[k.Name] = true
	}
	ids := map[string]bool{}
	for i, b := range c.Engines {
		if !kinds[b.Kind] {
			return fmt.Errorf("boxes[%d].kind: unknown value %q", i, b.Kind)
		}
		if b.ID == "" || ids[b.ID] {
			return fmt.Errorf("boxes[%d].id: %q is empty or comes twice", i, b.ID)
		}
		ids[b.ID] = true
	}
	l := c.Links
	if !(l.NearPerS > 0) || !(l.FarRoom > 0) || !(l.ZoneSlower >= 1) || !(l.FlowsAhead >= 0 && l.FlowsAhead < 1) {
		return fmt.Errorf("links: %+v has a figure out of its range", l)
	}
	if !(c.Cold.Multiple > 0) || !(c.Cold.WindowMs > 0) || !(c.Cold.Slack >= 0) {
		return fmt.Errorf("cold: %+v has a figure out of its range", c.Cold)
	}
	if !(c.Reports.PeriodMs > 0) || !(c.Reports.DelayMs >= 0) || !(c.Reports.Noise >= 0 && c.Reports.Noise < 1) {
		return fmt.Errorf("reports: %+v has a figure out of its range", c.Reports)
	}
	if !(c.StateTTLMs > 0) || math.IsInf(c.StateTTLMs, 0) {
		return fmt.Errorf("state_ttl_ms: %v is not above zero", c.StateTTLMs)
	}
	return nil
}
