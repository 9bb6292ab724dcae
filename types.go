package ashwood

import "time"

// This file is the interface of the decision module: the settings it gets at
// start, the events it receives and the actions it returns. Times are durations
// since an arbitrary origin that never go back.

// Role tells which stages a kind of server serves.
type Role int

// The roles of a kind of server.
const (
	RolePrefill Role = iota + 1 // a prefill server: processes prompts into KV state
	RoleDecode                  // a decode server: fetches KV state and streams answers
	RoleMixed                   // a server that does both
)

// Effect tells how safe it is to run a request twice.
type Effect int

// The effects of a request class.
const (
	Pure        Effect = iota + 1 // may be repeated freely
	TokenEffect                   // repeats are dropped within a group of servers and a time window
	SideEffect                    // must not run twice
)

// Scope is the group of servers that drops repeats of a TokenEffect request.
type Scope int

// The scopes of a TokenEffect class.
const (
	ScopeAll Scope = iota + 1
	ScopeZone
	ScopeCell
)

// Status tells how an attempt or a probe ended.
type Status int

// The statuses of attempts and probes.
const (
	StatusServed         Status = iota + 1 // the server answered the request or the probe
	StatusServerError                      // the server reported an error; it may have run the request
	StatusRejected                         // the server rejected the request without running it
	StatusTimedOut                         // no answer before the timeout
	StatusConnectFailed                    // no connection came up, so the request never ran
	StatusConnectionLost                   // the connection broke; the server may have run the request
	StatusCancelled                        // the gateway or the client cancelled the attempt
	StatusNotSent                          // nothing was sent to the server
	StatusPrefilled                        // a prefill server has processed the prompt and keeps its KV state
)

// ReportMode tells where load reports come from.
type ReportMode int

// The report modes.
const (
	ReportNone   ReportMode = iota
	ReportProbe             // answers to probes alone
	ReportInline            // every answer of a server
)

// ServerID names a server. It is opaque.
type ServerID string

// RequestID names one try of a client.
type RequestID string

// Kind is a kind of server.
type Kind struct {
	Name         string
	Role         Role
	MemoryTokens float64 // 0 = not known
}

// Class is a class of requests.
type Class struct {
	Name      string
	Aim       time.Duration // time to first token that earns full worth
	AimPer1K  time.Duration // added to the aim for each 1,000 prompt tokens
	Deadline  time.Duration
	TokenAim  time.Duration // wanted time between the tokens of an answer
	Worth     float64
	LateShare float64 // part of the worth that an answer after the aim earns
	Effect    Effect
	Group     Scope         // with TokenEffect only
	Window    time.Duration // with TokenEffect only
}

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name        string
	Share       float64
	QuotaPerSec float64 // requests per second over all nodes; 0 = no quota
}

// Limits are what the site allows.
type Limits struct {
	MaxAttempts    int  // 0 = no limit
	Cancel         bool // attempts may be cancelled
	Hedging        bool // a request may have a second attempt in flight; not used by the scheduler
	Probes         bool // servers may be probed
	RetryAfter     bool // refusals may carry a time to try again
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // after which servers close an idle connection; used by transports only
}

// Rules are the values of the five rules that hold whatever fails: (1) each request gets one
// final answer; (2) a request with an effect is not repeated beyond what its effect allows;
// (3) a server that drains gets no new work; (4) a server in slow start gets at most its
// slow-start budget over all nodes; (5) KV state and reservations are used or released in time.
type Rules struct {
	// Within SlowStartWindow, a server in slow start may get SlowStartMultiple times the work that
	// it can finish at SlowStartCapacity of a warm server's speed. 0 = rule 4 is off.
	SlowStartMultiple float64
	SlowStartWindow   time.Duration
	SlowStartCapacity float64 // a server that has just started has at least this share of its capacity
	SlowStartDuration time.Duration
	ReleaseTimeout    time.Duration // for rule 5
	ResubscribeWithin time.Duration // longest pause between calls that watch a shared discovery; 0 = not set
}

// Settings are given once, at start. See New for defaults.
type Settings struct {
	Node             int
	Nodes            int
	Zone             string
	Kinds            []Kind
	Classes          []Class
	Tenants          []Tenant
	OverShareWorth   float64
	WorthByWork      bool
	Limits           Limits
	Rules            Rules
	Subscribe        bool // membership has to be asked for (see Watch)
	Reports          ReportMode
	ReportFields     []string
	Reservations     bool // decode servers take reservations while a prompt is in prefill
	DecodeCanPrefill bool // a decode server processes a prompt itself where there is no KV state
	Resume           bool
}

// ServerState is a server's life cycle as discovery reports it.
type ServerState int

// The states of a server.
const (
	StateActive ServerState = iota + 1
	StateDraining
	StateRemoved
)

// Server is an entry of the membership.
type Server struct {
	ID      ServerID
	Zone    string
	Cell    int
	Kind    string
	State   ServerState
	Weight  float64
	Started time.Duration // 0 = long ago
	Address string        // where a transport reaches it; no decision depends on it
}

// MembershipForm tells what a MembershipUpdate contains.
type MembershipForm int

// The forms of a MembershipUpdate.
const (
	MembershipDelta    MembershipForm = iota + 1 // changed entries only
	MembershipSnapshot                           // all entries
	MembershipStale                              // all entries as last known, possibly out of date
	MembershipFailed                             // a call to discovery has failed; no entries
)

// Event is an input of a scheduler: one of MembershipUpdate, Request, AnswerStarted,
// ReservationResult, Outcome, ClientDisconnected, TimerFired, ProbeResult and Shutdown.
type Event interface{ event() }

// MembershipUpdate reports the membership or changes of it.
type MembershipUpdate struct {
	Form    MembershipForm
	Entries []Server
}

// Request is a client's try. It gets exactly one final answer.
type Request struct {
	ID              RequestID
	Class           string
	Tenant          string
	Session         uint64
	Prefix          uint64 // hash of the prefix shared with other sessions; 0 = none
	PrefixTokens    float64
	PromptTokens    float64
	MaxOutputTokens float64
	TimeLeft        time.Duration
	Retry           bool
}

// AnswerStarted reports the first part of an attempt's answer.
type AnswerStarted struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Latency time.Duration
}

// ReservationResult is the result of a Reserve.
type ReservationResult struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Held    bool
}

// Report is a server's load report: values by name.
type Report map[string]float64

// Names of report values that the scheduler uses.
const (
	ReportInFlight = "inflight"
	ReportQueue    = "queue"
	ReportMemory   = "memory"  // share of the server's memory that is in use
	ReportWaiting  = "waiting" // thousands of prompt tokens waiting to be prefilled or fetched
)

// Outcome reports how an attempt ended.
type Outcome struct {
	ID          RequestID
	Attempt     int
	Server      ServerID
	Status      Status
	RequestDone bool    // no further attempt is wanted
	Detail      float64 // with StatusPrefilled: tokens found in the prefix cache; with StatusRejected: 1 = the KV state does not exist
	Latency     time.Duration
	Report      Report
}

// ClientDisconnected reports that a request's client has left.
type ClientDisconnected struct{ ID RequestID }

// TimerFired reports that a timer set with SetTimer has expired.
type TimerFired struct{ Token uint64 }

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Server  ServerID
	Status  Status
	Latency time.Duration
	Report  Report
}

// Shutdown announces that this node shuts down. A request whose answer has not started by
// Deadline is given up then.
type Shutdown struct{ Deadline time.Duration }

func (MembershipUpdate) event()   {}
func (Request) event()            {}
func (AnswerStarted) event()      {}
func (ReservationResult) event()  {}
func (Outcome) event()            {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (ProbeResult) event()        {}
func (Shutdown) event()           {}

// Action is an output of a scheduler: one of Send, Reserve, Release, Cancel, Refuse, Fail,
// SetTimer, Probe and Watch.
type Action interface{ action() }

// Send makes an attempt: it sends a request to a server. Attempts are numbered from 0.
type Send struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration
}

// Reserve asks a decode server for a reservation for a request that is in prefill.
type Reserve struct {
	ID     RequestID
	Server ServerID
}

// Release releases all KV state and reservations held for a request.
type Release struct{ ID RequestID }

// Cancel cancels one attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Reason tells why a request was given up, for logs and metrics.
type Reason string

// The reasons to give a request up.
const (
	ReasonUnknownClass    Reason = "unknown-class"
	ReasonExhausted       Reason = "spent"     // no time or no further attempt left
	ReasonNoPrefillServer Reason = "no-reader" // none took the request within its aim
	ReasonNoDecodeServer  Reason = "no-writer" // none took the KV state in time
	ReasonNoMemory        Reason = "no-room"   // the memory of the decode servers is full or reserved
	ReasonTooLate         Reason = "too-late"  // the first token would come too late
	ReasonPromptTooLong   Reason = "too-long"  // the prompt fits no server's memory
	ReasonShutdown        Reason = "ending"    // this node shuts down
)

// Refuse is a final answer after which trying again is safe.
type Refuse struct {
	ID         RequestID
	RetryAfter time.Duration
	Reason     Reason
}

// Fail is a final answer after which it is unknown whether the request has run.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// SetTimer asks for a TimerFired event.
type SetTimer struct {
	At    time.Duration
	Token uint64
}

// Probe asks a server for its load report.
type Probe struct{ Server ServerID }

// Watch subscribes to changes of the membership.
type Watch struct{}

func (Send) action()     {}
func (Reserve) action()  {}
func (Release) action()  {}
func (Cancel) action()   {}
func (Refuse) action()   {}
func (Fail) action()     {}
func (SetTimer) action() {}
func (Probe) action()    {}
func (Watch) action()    {}
