// Package soak runs fault scenarios against real gateway processes: stand-in engines, discovery
// agents and clients on loopback, with faults and signals that overlap. A checker that shares no
// code with the gateway verifies every rule from what engines and clients observe. A seed
// determines a scenario; a scenario that breaks a rule is printed with the history of the requests
// concerned and can be run again alone. Load scenarios are in lab/scenario, not here.
package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Effect says whether a request of a class may run twice. Its values are those of the settings.
type Effect string

// The effects.
const (
	Pure       Effect = "pure"
	SideEffect Effect = "side_effect"
)

// Class describes a class of requests, with its time-to-first-token aim and its deadline.
type Class struct {
	Name     string
	Effect   Effect
	Aim      time.Duration
	Deadline time.Duration
}

// Role says whether an engine reads prompts, writes answers or does both. Its values are those of the settings.
type Role string

// The roles.
const (
	Prefill Role = "read"
	Decode  Role = "write"
	Mixed   Role = "both"
)

// Engine describes one engine of a fault scenario.
type Engine struct {
	ID   string
	Role Role
	Zone int
}

// EventKind names a fault or a signal.
type EventKind string

// The kinds of events. A fault of an engine lasts for Event.Duration.
const (
	EngineStops             EventKind = "engine-stops"      // process stopped: connections are established, nothing is answered; all is read on resumption
	EngineUnreachable       EventKind = "engine-vanishes"   // machine gone for a while: no connection is established; all is read once it is back
	NetworkCut              EventKind = "cut"               // network cut between some gateways and some engines
	EngineHangs             EventKind = "engine-hangs"      // accepts requests, answers nothing until the fault ends
	EngineRefuses           EventKind = "engine-refuses"    // rejects all work
	EngineResetsAttempts    EventKind = "resets-after"      // resets the connection of each attempt after its last byte has arrived
	EngineResetsConnections EventKind = "resets-open"       // resets all its open connections, once
	EngineLosesAnswers      EventKind = "loses-answers"     // processes requests and never answers
	EngineAnswersLate       EventKind = "answers-late"      // answers later by Event.Delay
	EngineStopsShort        EventKind = "stops-short"       // ends a share of its answers, in the middle, as if they were whole
	ConnectionsDead         EventKind = "conns-dead"        // a share of the open and new connections stays open and passes nothing on any more; all else works
	EngineDrains            EventKind = "engine-drains"     // membership says draining; the engine finishes what it has
	EngineCrashes           EventKind = "engine-dies"       // restarts at the same address: cold, with all its state lost
	DiscoverySilent         EventKind = "discovery-silent"  // the gateway's discovery agent does not answer
	GatewayReloads          EventKind = "gateway-reloads"   // SIGHUP, with discovery at a new address
	GatewayPauses           EventKind = "gateway-stops"     // SIGSTOP, then SIGCONT
	GatewayRestarts         EventKind = "gateway-restarts"  // SIGTERM, SIGKILL at the earliest time the protocol allows, then a new process
	GatewayMoreSignals      EventKind = "gateway-term-more" // SIGHUP and SIGTERM to a process that is already terminating
)

// Event is a fault or a signal that hits some engines or gateways at a time after the start.
type Event struct {
	At       time.Duration
	Duration time.Duration
	Kind     EventKind
	Engines  []int
	Gateways []int
	Delay    time.Duration
	Share    float64 // of the connections concerned
}

// String formats the event on one line.
func (e Event) String() string {
	return fmt.Sprintf("%7.3fs %-18s for %.3fs engines %v gateways %v delay %v share %.2f", e.At.Seconds(), e.Kind, e.Duration.Seconds(), e.Engines, e.Gateways, e.Delay, e.Share)
}

// ClientKind names a client's behaviour.
type ClientKind string

// The kinds of clients.
const (
	ClientSteady          ClientKind = "steady"       // sends a request, waits for the whole answer, sends the next
	ClientClosesEarly     ClientKind = "leaver"       // closes its connection before the answer to many of its requests is complete
	ClientRetriesAtOnce   ClientKind = "retrier"      // sends the next request at once after a refusal
	ClientIdlesLong       ClientKind = "rester"       // keeps its connection idle for long between requests
	ClientStopsMidRequest ClientKind = "half-way"     // stops writing in the middle of some requests
	ClientReconnects      ClientKind = "newcomer"     // opens a new connection for each request
	ClientSilent          ClientKind = "crowd-idle"   // opens a connection and sends nothing
	ClientFloods          ClientKind = "flood"        // sends requests of unknown classes at full speed
	ClientFloodsAndLeaves ClientKind = "flood-leaver" // sends at full speed behind each request, and closes its connection soon
)

// Client describes one client, which has at most one request in flight.
type Client struct {
	Kind    ClientKind
	Gateway int
}

// FaultScenario describes one run completely: the fleet, its settings, the clients and all events.
type FaultScenario struct {
	Seed     uint64
	Length   time.Duration // for how long clients send requests
	Zones    int
	Gateways int
	Engines  []Engine
	Classes  []Class
	Clients  []Client
	Events   []Event

	Reservations          bool
	UnknownHeld           bool // engines hold a reservation also when they answer that they know of no prefill
	BlindReservations     bool // engines hold a reservation whether or not its prompt is being read
	Probes                bool
	Reports               string  // "inline", "on_probe" or "off"
	LocalReleases         bool    // a release drops the holds of the engine that receives it, not those of other engines
	PrefillsOutliveCaller bool    // a prefill runs to its end though the caller has closed its connection
	SlowFirstTokenShare   float64 // share of answers whose first token is slow though the engine is healthy
	Sockets               int
}

// String formats the scenario as a script, one line for each class, engine and event.
func (s *FaultScenario) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %v, %d gateways, %d zones, %d clients, reservations %v (blind %v, unknown held %v), probes %v, reports %s, own releases %v, reads outlive %v, slow %.2f, sockets %d\n",
		s.Seed, s.Length, s.Gateways, s.Zones, len(s.Clients), s.Reservations, s.BlindReservations, s.UnknownHeld, s.Probes, s.Reports, s.LocalReleases, s.PrefillsOutliveCaller, s.SlowFirstTokenShare, s.Sockets)
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "  class %s %s aim %v deadline %v\n", c.Name, c.Effect, c.Aim, c.Deadline)
	}
	for i, e := range s.Engines {
		fmt.Fprintf(&b, "  engine %d %s %s zone %d\n", i, e.ID, e.Role, e.Zone)
	}
	for _, e := range s.Events {
		fmt.Fprintf(&b, "  %s\n", e)
	}
	return b.String()
}

// hasSilentClients reports whether silent clients occupy connections of the gateways.
func (s *FaultScenario) hasSilentClients() bool {
	return slices.ContainsFunc(s.Clients, func(c Client) bool { return c.Kind == ClientSilent })
}

// longestDeadline returns the longest deadline of all classes.
func (s *FaultScenario) longestDeadline() time.Duration {
	var longest time.Duration
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Times that the protocol sets for a planned restart: SIGKILL may follow SIGTERM after the longest deadline,
// capped at maxGraceDeadline, plus graceSlack.
const (
	maxGraceDeadline = 3 * time.Second
	graceSlack       = 700 * time.Millisecond
)

// terminationGrace returns the shortest time from SIGTERM to SIGKILL that the protocol allows.
func (s *FaultScenario) terminationGrace() time.Duration {
	return min(s.longestDeadline(), maxGraceDeadline) + graceSlack
}
