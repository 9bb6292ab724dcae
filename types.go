package ashwood

import "time"

// This file is the interface of the decision module: the settings it gets at
// start, the events it is told and the actions it answers with. Times are
// durations since an arbitrary origin that only ever advances.

// Role tells which stage a kind of server serves.
type Role int

// The roles of a server kind.
const (
	RoleRead  Role = iota + 1 // a reader (prefill): reads prompts
	RoleWrite                 // a writer (decode): streams answers
	RoleMixed                 // a mixed server: reads and writes
)

// Effect tells how safe it is to run a request twice.
type Effect int

// The effects of a request class.
const (
	Pure        Effect = iota + 1 // may be repeated freely
	TokenEffect                   // repeats are dropped within a group and a window
	SideEffect                    // must not run twice
)

// Scope is the set of servers that drop repeats of a Token request.
type Scope int

// The scopes of a Token class.
const (
	ScopeAll Scope = iota + 1
	ScopeZone
	ScopeCell
)

// Status tells how an attempt or a probe ended.
type Status int

// The statuses of attempts and probes.
const (
	StatusServed Status = iota + 1
	StatusServerError
	StatusRejected
	StatusTimedOut
	StatusConnectFailed
	StatusConnectionLost
	StatusCancelled
	StatusNotSent
	StatusPrefilled
)

// ReportMode tells where load reports come from.
type ReportMode int

// The report modes.
const (
	ReportNone ReportMode = iota
	ReportProbe
	ReportInline
)

// ServerID names a server; nothing may be read into it.
type ServerID string

// RequestID names one try of a client.
type RequestID string

// Kind is a kind of server.
type Kind struct {
	Name         string
	Role         Role
	MemoryTokens float64 // 0 = not told
}

// Class is a class of requests.
type Class struct {
	Name      string
	Aim       time.Duration // a first token within it earns full worth
	AimPer1K  time.Duration // added to the aim for each 1,000 prompt tokens
	Deadline  time.Duration
	TokenAim  time.Duration // wanted pace of the answer's tokens
	Worth     float64
	LateShare float64
	Effect    Effect
	Group     Scope         // Token classes only
	Window    time.Duration // Token classes only
}

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name        string
	Share       float64
	QuotaPerSec float64 // requests a second over all nodes; 0 = no quota
}

// Limits are what the site allows.
type Limits struct {
	MaxAttempts    int // 0 = no cap
	Cancel         bool
	Hedging        bool
	Probes         bool
	RetryAfter     bool
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // after which servers close an idle connection; for transports alone
}

// Rules are the figures of the five rules.
type Rules struct {
	SlowStartMultiple float64
	SlowStartWindow   time.Duration
	SlowStartCapacity float64 // a server starts at no less than this share of its capacity
	SlowStartDuration time.Duration
	ReleaseTimeout    time.Duration
	ResubscribeWithin time.Duration
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
	Subscribe        bool // the server list must be asked for
	Reports          ReportMode
	ReportFields     []string
	Reservations     bool // places may be held ahead at writers
	DecodeCanPrefill bool // a writer reads a prompt itself where there is no state
	Resume           bool
}

// ServerState is a server's life cycle as the list tells it.
type ServerState int

// The states of a listed server.
const (
	StateActive ServerState = iota + 1
	StateDraining
	StateRemoved
)

// Server is an entry of the server list.
type Server struct {
	ID      ServerID
	Zone    string
	Cell    int
	Kind    string
	State   ServerState
	Weight  float64
	Started time.Duration // 0 = long ago
	Address string        // where a transport reaches it; nothing is decided by it
}

// ListForm tells what a Members event brings.
type MembershipForm int

// The forms of a Members event.
const (
	MembershipDelta    MembershipForm = iota + 1 // changed entries only
	MembershipSnapshot                           // all entries
	MembershipStale                              // all entries as last held, maybe out of date
	MembershipFailed                             // a call has failed; no entries
)

// Event is something that a scheduler is told: one of Members, Request,
// First, PlaceNote, Outcome, Gone, Timer, Probed and Ending.
type Event interface{ event() }

// Members brings news of the server list.
type MembershipUpdate struct {
	Form    MembershipForm
	Entries []Server
}

// Request is a client's try, for which one final answer is owed.
type Request struct {
	ID              RequestID
	Class           string
	Tenant          string
	Session         uint64
	Prefix          uint64 // the beginning shared with other sessions; 0 = none
	PrefixTokens    float64
	PromptTokens    float64
	MaxOutputTokens float64
	TimeLeft        time.Duration
	Retry           bool
}

// First tells that an attempt's answer has begun.
type AnswerStarted struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Latency time.Duration
}

// PlaceNote answers an Ahead.
type ReservationResult struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Held    bool
}

// Report is a server's load report: values by name.
type Report map[string]float64

// Names of report values that the scheduler knows.
const (
	ReportInFlight = "inflight"
	ReportQueue    = "queue"
	ReportMemory   = "memory"  // share of its memory that is held
	ReportWaiting  = "waiting" // thousands of prompt tokens to be read or fetched
)

// Outcome tells how an attempt ended.
type Outcome struct {
	ID          RequestID
	Attempt     int
	Server      ServerID
	Status      Status
	RequestDone bool    // the request is over
	Detail      float64 // kept tokens, or 1 with TurnedAway: no state to fetch
	Latency     time.Duration
	Report      Report
}

// Gone tells that the client has left.
type ClientDisconnected struct{ ID RequestID }

// Timer tells that a timer set with SetTimer has come due.
type TimerFired struct{ Token uint64 }

// Probed answers a Probe.
type ProbeResult struct {
	Server  ServerID
	Status  Status
	Latency time.Duration
	Report  Report
}

// Ending tells that this node ends: what has no answer by then gets one.
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

// Action is something that a scheduler wants done: one of Attempt, Ahead,
// Release, Cancel, Refuse, Fail, SetTimer, Probe and Watch.
type Action interface{ action() }

// Attempt sends a request to a server; attempts are numbered from 0.
type Send struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration
}

// Ahead asks a writer to hold a place for a request that is being read.
type Reserve struct {
	ID     RequestID
	Server ServerID
}

// Release lets go of every state and place held for a request.
type Release struct{ ID RequestID }

// Cancel calls off one attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Why tells for what reason a request was given up, for logs and counts.
type Reason string

// The reasons to give a request up.
const (
	ReasonUnknownClass    Reason = "unknown-class"
	ReasonExhausted       Reason = "spent" // no time or no further attempt left
	ReasonNoPrefillServer Reason = "no-reader"
	ReasonNoDecodeServer  Reason = "no-writer"
	ReasonNoMemory        Reason = "no-room"  // the writers' memory is spoken for
	ReasonTooLate         Reason = "too-late" // a first token would be
	ReasonPromptTooLong   Reason = "too-long" // no server's memory takes the prompt
	ReasonShutdown        Reason = "ending"   // this node ends
)

// Refuse is a final answer: trying again does no harm.
type Refuse struct {
	ID         RequestID
	RetryAfter time.Duration
	Reason     Reason
}

// Fail is a final answer that promises nothing.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// SetTimer asks for a Timer event.
type SetTimer struct {
	At    time.Duration
	Token uint64
}

// Probe asks a server for its load report.
type Probe struct{ Server ServerID }

// Watch subscribes to changes of the server list.
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
