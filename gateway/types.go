package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"net/netip"
	"strconv"
	"syscall"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
)

// Errors of replies and streams.
var (
	ErrClientGone        = errors.New("gateway: the client has left")
	ErrFirstTokenTimeout = errors.New("gateway: no first token in time")
	ErrStalled           = errors.New("gateway: the answer has stalled")

	// ErrUnanswered is of a call that was written whole to a connection that stayed up, and got no answer in its time.
	ErrUnanswered = errors.New("gateway: written, and not answered")
	// ErrLocal is of a call that this machine could not make, for want of a socket for instance: it says nothing of the engine.
	ErrLocalFailure = errors.New("gateway: this machine could not make the call")
)

// Clock tells the time and calls back; see SystemClock.
type Clock = clock.Clock

// SystemClock is the machine's clock.
func SystemClock() Clock { return clock.System() }

// Request is a client's try in the form that its front and the transport share.
type Request struct {
	ashwood.RequestInfo
	Front      string     // by which it came, for limits
	ClientAddr netip.Addr // of the client, for limits; zero = not known
	Method     string
	Target     string // path and query
	Header     [][2]string
	Body       []byte // as it came
}

// Key turns the opaque name of a session or a prefix into the number that
// decisions take: hexadecimal digits as they read, else a hash. None gives 0.
func AffinityKey(name string) uint64 {
	if name == "" {
		return 0
	}
	if v, err := strconv.ParseUint(name, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Kind tells how a request ended, as far as Serve knows.
type ReplyKind int

// String names a kind in logs and records.
func (k ReplyKind) String() string {
	switch k {
	case Served:
		return "served"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	case ClientGone:
		return "gone"
	}
	return "none"
}

// The kinds of replies.
const (
	Served     ReplyKind = iota + 1 // Stream brings the answer
	Refused                         // trying again does no harm
	Failed                          // it may have run
	ClientGone                      // the client has left: no answer is owed
)

// Reply is the one final answer to a request.
type Reply struct {
	Kind       ReplyKind
	Stream     Stream
	RetryAfter float64        // ms, with Refused; 0 = no advice
	Reason     ashwood.Reason // with Refused and Failed
	Err        error          // of the last attempt, where an engine gave one
}

// Stream is an answer on its way. It is used by one goroutine.
type Stream interface {
	// Next gives the next piece as it came, valid until the next call. After
	// a whole answer the error is io.EOF; with any other the answer is broken.
	Next() ([]byte, error)
	// Report is the engine's load as told at the stream's end, if it was.
	Report() ashwood.Report
	// Close gives up what is left. It may be called at any time, and again.
	Close() error
}

// Movable is a stream that another process of the same gateway can go on with.
type HandoverStream interface {
	// Move hands give what the stream is made of, between two calls of Next. After nil the
	// stream is over here without having ended; with an error it goes on.
	HandOver(give func(HandoverState) error) error
}

// Live is a begun answer as one process hands it to another.
type HandoverState struct {
	ID             ashwood.RequestID
	Class          string
	Engine         ashwood.Server
	StartedAt      float64      // ms, when the request was taken
	TransportState any          // where the transport stands in it
	Conn           syscall.Conn // the engine's connection
}

// Attempt is one sending of a request to an engine.
type Attempt struct {
	*Request
	Engine        ashwood.Server
	Prefill       bool        // a reader, which answers with a read state
	NonIdempotent bool        // it may have an effect: not to be risked on a connection that may be dead
	Remaining     float64     // ms that the gateway will wait for the first token
	MayWrite      func() bool // asked right before the first byte is written; false forbids it
	OnSent        func()      // called right after the last byte has been
}

// Answer is what came of an attempt. With Served, Stream has its first piece.
type AttemptResult struct {
	ashwood.Result
	Stream Stream
	Err    error // what the engine or the network said, for the front and the log
}

// Transport speaks to engines. A transport never sends anything twice by
// itself. Its statuses are NotSent and NoConnection (the last byte has not
// left), TurnedAway, Parsed, Served, ServerError and ConnectionLost.
type Transport interface {
	// Send carries an attempt out until its first piece or its end. When ctx
	// ends, it gives the attempt up at once, and returns when the engine has noticed
	// where that can be seen, some ms later at most; ctx goes on to bound the stream.
	Send(ctx context.Context, a Attempt) AttemptResult
	// Reserve asks a writer to hold a place for a request that is being read.
	// Ready is asked right before the first byte is written.
	Reserve(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, ready func() bool) ReserveResult
	// Release lets go of all that is held for a request; nil once the engine has sent something back
	// for it, ErrUnanswered where it was written and that is not known to have arrived, ErrLocal where this machine could not make it. After a try that got no answer, fresh asks for a connection
	// that was not there then. It may use a few sockets beyond what attempts may.
	Release(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, fresh bool) error
	// Probe asks an engine for its load.
	Probe(ctx context.Context, engine ashwood.Server) (ashwood.Status, ashwood.Report)
}

// Place tells what came of asking for a place.
type ReserveResult int

// What may come of asking for a place.
const (
	ReserveHeld    ReserveResult = iota + 1
	ReserveRefused               // surely not held
	ReserveUnknown               // no clear answer: it may be held
	ReserveNotSent               // the call has not left: surely not held
)
