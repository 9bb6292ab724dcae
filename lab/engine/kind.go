// Package engine models the fleet's engines: prefill engines that process prompts,
// decode engines that fetch the KV states and generate answers, the links between
// them, and their faults. It is pure: no I/O, no goroutine, no clock of its own. A
// driver calls it with the time and carries its events to sockets, or a loop in
// virtual time does. It doesn't model gateways, clients or discovery.
//
// Times are milliseconds as float64, sizes are tokens. The behaviour follows the
// platform's protocol page and its description of two-stage serving;
// docs/design/emulator.md lists what the model leaves out.
package engine

import (
	"errors"
	"fmt"
	"math"
)

// Role tells which stage a kind of engine serves.
type Role string

// The roles of engines.
const (
	RolePrefill Role = "read"
	RoleDecode  Role = "write"
)

// CancelMode tells which work of a cancelled attempt an engine stops. An attempt that
// waits for its KV state and a stream that nobody reads end in any mode.
type CancelMode string

// The modes of cancelling.
const (
	CancelIgnored  CancelMode = "ignored" // queued and running work goes on
	CancelQueued   CancelMode = "queued"  // queued work is dropped, running work goes on
	CancelHonoured CancelMode = "honoured"
)

// Kind holds the parameters of one kind of engine. Rates are those of a warm engine
// of speed 1 with few connections.
type Kind struct {
	Name            string
	Role            Role
	Slots           int        // prefills, or answers, that run at once
	MaxQueue        int        // attempts that may wait
	MemoryTokens    float64    // for KV states, running answers and, at prefill engines, the prefix cache
	PrefillPerS     float64    // prompt tokens computed per second
	Chunk           float64    // most prompt tokens computed in one step
	StepMs          float64    // minimum length of a step
	PerSeqMs        float64    // added for each running answer
	ContextMsPerK   float64    // added for each 1,000 tokens of the answers' contexts
	AttentionMsPerM float64    // added for each million pairs of a computed token and an earlier one
	Speed           float64    // of this kind's engines; 1 = the rates above
	SpeedCV         float64    // coefficient of variation of the speed between engines
	ColdCapacity    float64    // share of its capacity that an engine starts with
	WarmUpMs        float64    // time until it is warm
	MaxConns        int        // maximum of open connections
	FullConnsCost   float64    // share of its capacity that a full connection table costs
	HandshakeMs     float64    // work of one new connection
	ProbeMs         float64    // work of one probe or reservation request
	Cancel          CancelMode // what a cancelled attempt stops
	DropExpired     bool       // whether queued work past its deadline is rejected
	ErrorRate       float64    // share of attempts that end with an error
}

// Validate reports values out of range; the error names the key.
func (k Kind) Validate() error {
	if k.Name == "" {
		return errors.New("name: missing")
	}
	if k.Role != RolePrefill && k.Role != RoleDecode {
		return fmt.Errorf("role: %q is neither %q nor %q", k.Role, RolePrefill, RoleDecode)
	}
	switch k.Cancel {
	case CancelIgnored, CancelQueued, CancelHonoured:
	default:
		return fmt.Errorf("cancel: %q is none of %q, %q, %q", k.Cancel, CancelIgnored, CancelQueued, CancelHonoured)
	}
	for _, field := range []struct {
		key      string
		value    float64
		min, max float64
	}{
		{"slots", float64(k.Slots), 1, 1e5}, {"queue", float64(k.MaxQueue), 0, 1e6}, {"memory_tokens", k.MemoryTokens, 1, 1e9},
		{"read_per_s", k.PrefillPerS, 1, 1e9}, {"chunk", k.Chunk, 1, 1e6}, {"step_ms", k.StepMs, 0, 1e4},
		{"per_seq_ms", k.PerSeqMs, 0, 1e3}, {"context_ms_per_k", k.ContextMsPerK, 0, 1e3}, {"pairs_ms_per_m", k.AttentionMsPerM, 0, 1e3},
		{"speed", k.Speed, 0.001, 1e3}, {"speed_cv", k.SpeedCV, 0, 1}, {"cold_from", k.ColdCapacity, 0.001, 1}, {"cold_ms", k.WarmUpMs, 0, 1e7},
		{"conns", float64(k.MaxConns), 1, 1e6}, {"full_tax", k.FullConnsCost, 0, 0.99}, {"handshake_ms", k.HandshakeMs, 0, 1e3},
		{"probe_ms", k.ProbeMs, 0, 1e3}, {"error_rate", k.ErrorRate, 0, 1},
	} {
		if !(field.value >= field.min && field.value <= field.max) {
			return fmt.Errorf("%s: %v is not from %v to %v", field.key, field.value, field.min, field.max)
		}
	}
	return nil
}

// DefaultKinds returns the fleet's three kinds with the middle of the ranges that
// the operators' brief gives.
func DefaultKinds() []Kind {
	prefill := Kind{
		Name: "prefill", Role: RolePrefill, Slots: 8, MaxQueue: 38, MemoryTokens: 260e3, PrefillPerS: 17500, Chunk: 2048,
		StepMs: 6, AttentionMsPerM: 0.8, Speed: 1, SpeedCV: 0.05, ColdCapacity: 0.4, WarmUpMs: 9000, MaxConns: 2500, FullConnsCost: 0.1,
		HandshakeMs: 1.1, ProbeMs: 0.35, Cancel: CancelQueued, DropExpired: true, ErrorRate: 0.001,
	}
	decodeA := prefill
	decodeA.Name, decodeA.Role, decodeA.Slots, decodeA.MaxQueue, decodeA.MemoryTokens, decodeA.PrefillPerS = "decode-a", RoleDecode, 85, 27, 180e3, 7700
	decodeA.Chunk, decodeA.StepMs, decodeA.PerSeqMs, decodeA.ContextMsPerK = 1024, 17, 0.2, 0.05
	decodeB := decodeA
	decodeB.Name, decodeB.MemoryTokens, decodeB.PrefillPerS, decodeB.Speed, decodeB.SpeedCV = "decode-b", 150e3, 6900, 0.7, 0.08
	return []Kind{prefill, decodeA, decodeB}
}

// Spec gives an engine's id, kind and location.
type Spec struct {
	ID   string
	Kind string
	Zone string
	Cell int
}

// Links holds the parameters of KV state transfers.
type Links struct {
	LocalPerS       float64 // tokens per second out of a prefill engine to engines of its cell
	UplinkFactor    float64 // capacity of a cell's uplink, relative to what its prefill engines compute at full load
	CrossZoneFactor float64 // how many times longer a token takes to another zone
	EarlyShare      float64 // share of a KV state that is transferred during the prefill where a reservation is held
}

// Reports holds the parameters of load reports.
type Reports struct {
	PeriodMs float64 // between refreshes
	DelayMs  float64 // minimum age of the reported values
	Noise    float64 // standard deviation of each value, relative to it
}

// Class gives the mean work of a class, which the budget of a cold engine counts.
type Class struct {
	Name          string
	PrefillTokens float64 // mean tokens computed for a request, without cached ones
	OutputTokens  float64 // mean length of an answer
	OutputSigma   float64 // standard deviation of the length's logarithm
}

// ColdLimit holds the parameters of the limit on work sent to cold engines.
type ColdLimit struct {
	Multiple  float64 // of its present capacity that a cold engine withstands
	WindowMs  float64 // over which the work sent to it is counted
	Tolerance float64 // share by which the limit may be exceeded by chance
}

// Config holds all that a fleet is made from.
type Config struct {
	Seed       uint64
	Kinds      []Kind
	Engines    []Spec
	Links      Links
	Reports    Reports
	Classes    []Class
	Cold       ColdLimit
	StateTTLMs float64 // after which an unused KV state is freed
}

// DefaultConfig returns the values of the operators' brief, without engines.
func DefaultConfig() Config {
	return Config{
		Kinds:   DefaultKinds(),
		Links:   Links{LocalPerS: 335e3, UplinkFactor: 3, CrossZoneFactor: 2.4, EarlyShare: 0.7},
		Reports: Reports{PeriodMs: 450, DelayMs: 180, Noise: 0.07},
		Classes: []Class{
			{Name: "rate-check", PrefillTokens: 500, OutputTokens: 74, OutputSigma: 0.7},
			{Name: "case-chat", PrefillTokens: 1100, OutputTokens: 123, OutputSigma: 0.7},
			{Name: "send-order", PrefillTokens: 800, OutputTokens: 192, OutputSigma: 0.6},
		},
		Cold:       ColdLimit{Multiple: 2.5, WindowMs: 1000, Tolerance: 0.1},
		StateTTLMs: 10000,
	}
}

// Validate reports settings that are out of range; the error names the key.
func (c Config) Validate() error {
	kinds := map[string]bool{}
	for i, k := range c.Kinds {
		if err := k.Validate(); err != nil {
			return fmt.Errorf("kinds[%d].%w", i, err)
		}
		if kinds[k.Name] {
			return fmt.Errorf("kinds[%d].name: %q is not unique", i, k.Name)
		}
		kinds[k.Name] = true
	}
	ids := map[string]bool{}
	for i, spec := range c.Engines {
		if !kinds[spec.Kind] {
			return fmt.Errorf("boxes[%d].kind: unknown value %q", i, spec.Kind)
		}
		if spec.ID == "" || ids[spec.ID] {
			return fmt.Errorf("boxes[%d].id: %q is empty or not unique", i, spec.ID)
		}
		ids[spec.ID] = true
	}
	links := c.Links
	if !(links.LocalPerS > 0) || !(links.UplinkFactor > 0) || !(links.CrossZoneFactor >= 1) || !(links.EarlyShare >= 0 && links.EarlyShare < 1) {
		return fmt.Errorf("links: %+v has a value out of range", links)
	}
	if !(c.Cold.Multiple > 0) || !(c.Cold.WindowMs > 0) || !(c.Cold.Tolerance >= 0) {
		return fmt.Errorf("cold: %+v has a value out of range", c.Cold)
	}
	if !(c.Reports.PeriodMs > 0) || !(c.Reports.DelayMs >= 0) || !(c.Reports.Noise >= 0 && c.Reports.Noise < 1) {
		return fmt.Errorf("reports: %+v has a value out of range", c.Reports)
	}
	if !(c.StateTTLMs > 0) || math.IsInf(c.StateTTLMs, 0) {
		return fmt.Errorf("state_ttl_ms: %v is not above zero", c.StateTTLMs)
	}
	return nil
}
