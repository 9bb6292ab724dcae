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

// Errors of replies, streams and calls to engines.
var (
	ErrClientGone        = errors.New("gateway: the client has left")
	ErrFirstTokenTimeout = errors.New("gateway: no first token in time")
	ErrStalled           = errors.New("gateway: the answer has stalled")

	// ErrUnanswered reports a call that was written completely to a connection that stayed up, and was not answered in time.
	ErrUnanswered = errors.New("gateway: written, and not answered")
	// ErrLocalFailure reports a call that failed on this machine, for example because no socket was free. It says nothing about
	// the engine.
	ErrLocalFailure = errors.New("gateway: this machine could not make the call")
)

// Clock provides the current time and timers; see SystemClock.
type Clock = clock.Clock

// SystemClock returns the clock of this machine.
func SystemClock() Clock { return clock.System() }

// Request is one try of a client in the form that fronts and transports share.
type Request struct {
	ashwood.RequestInfo
	Front      string     // name of the front that took it, for limits
	ClientAddr netip.Addr // for limits; the zero value = unknown
	Method     string
	Target     string // path and query
	Header     [][2]string
	Body       []byte // as received
	// ClientLeft reports whether the client has closed its connection or cancelled the request. It asks the connection itself, however
	// late whoever reads from it is, and takes into account all that the client had sent when it was called; it gives up when
	// ctx ends. nil = the end of Serve's context alone shows it.
	ClientLeft func(ctx context.Context) bool
}

// AffinityKey converts the opaque name of a session or a prefix into the number that the
// decision module uses: the value of a hexadecimal name, else its hash, and 0 for an empty name.
func AffinityKey(name string) uint64 {
	if name == "" {
		return 0
	}
	if key, err := strconv.ParseUint(name, 16, 64); err == nil {
		return key
	}
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

// ReplyKind is the outcome of a request at the time when Serve returns.
type ReplyKind int

// String returns the name of a kind for logs.
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
	Served     ReplyKind = iota + 1 // Stream carries the answer
	Refused                         // safe to try again
	Failed                          // it may have run
	ClientGone                      // the client disconnected and gets no answer
)

// Reply is the only final answer to a request.
type Reply struct {
	Kind       ReplyKind
	Stream     Stream
	RetryAfter float64        // ms, with Refused; 0 = no advice
	Reason     ashwood.Reason // with Refused and Failed
	Err        error          // of the last attempt that reported one
}

// Stream is an answer that is being received. Only one goroutine uses it.
type Stream interface {
	// Next returns the next piece as received, valid until the next call. After
	// a complete answer the error is io.EOF; any other error means that the answer is broken.
	Next() ([]byte, error)
	// Report returns the load report that the engine sent at the end of the stream, if any.
	Report() ashwood.Report
	// Close discards the rest of the answer. It may be called at any time and more than once.
	Close() error
}

// ProgressStream is a stream whose pieces need not end where an event of the answer ends. Of any other stream,
// each piece is progress.
type ProgressStream interface {
	// MadeProgress reports whether the last piece that Next returned ended an event, or was a good part of a long one.
	MadeProgress() bool
}

// HandoverStream is a stream that another process of the same gateway can take over.
type HandoverStream interface {
	// HandOver passes the state of the stream to give, between two calls of Next. If it returns nil, this
	// process must not use the stream any more, although the answer has not ended; after an error the
	// stream continues here.
	HandOver(give func(HandoverState) error) error
}

// HandoverState describes a begun answer that one process hands over to another.
type HandoverState struct {
	ID             ashwood.RequestID
	Class          string
	Engine         ashwood.Server
	StartedAt      float64      // ms of the clock, when the request was accepted
	EventWait      float64      // ms waited so far for the end of the current event
	TransportState any          // the transport's position in the stream
	Conn           syscall.Conn // the engine's connection
}

// Attempt is one sending of a request to an engine.
type Attempt struct {
	*Request
	Engine        ashwood.Server
	Prefill       bool        // sent to a prefill engine, which answers once it holds the KV state
	NonIdempotent bool        // the request may have an effect: it must not use a connection that may be dead
	Remaining     float64     // ms that the gateway waits for the first token
	MayWrite      func() bool // called right before the first byte is written; false forbids the write
	OnSent        func()      // called right after the last byte has been written
}

// AttemptResult is the outcome of an attempt. If Status is StatusServed, Stream has received its first piece.
type AttemptResult struct {
	ashwood.Result
	Stream Stream
	Err    error // reported by the engine or the network, for the front and the log
}

// Transport makes calls to engines. It never retries a call by itself. The statuses that it returns are
// StatusNotSent and StatusConnectFailed (the last byte was not written), StatusRejected, StatusPrefilled,
// StatusServed, StatusServerError and StatusConnectionLost.
type Transport interface {
	// Send makes an attempt and returns at its first piece or its end. When ctx
	// ends, it cancels the attempt at once. It then waits a few ms at most until the engine
	// has noticed, where the protocol shows that. ctx also bounds the returned stream.
	Send(ctx context.Context, a Attempt) AttemptResult
	// Reserve asks a decode engine to hold a reservation for a request that is still in prefill.
	// It calls mayWrite right before the first byte is written; false forbids the write.
	Reserve(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, mayWrite func() bool) ReserveResult
	// Release has KV state and reservations for a request dropped. It returns nil once the engine has sent
	// something back, ErrUnanswered if the call was written but may not have arrived, and ErrLocalFailure if
	// this machine could not make the call. newConnection is set after a try without an answer: it demands a
	// connection that did not exist at that try. Release may use a few sockets beyond the limit for attempts.
	Release(ctx context.Context, engine ashwood.Server, id ashwood.RequestID, newConnection bool) error
	// Probe asks an engine for its load report.
	Probe(ctx context.Context, engine ashwood.Server) (ashwood.Status, ashwood.Report)
}

// ReserveResult is the outcome of a Reserve call.
type ReserveResult int

// The outcomes of Reserve.
const (
	ReserveHeld    ReserveResult = iota + 1
	ReserveRefused               // certainly not held
	ReserveUnknown               // no clear answer: the engine may hold a reservation
	ReserveNotSent               // the call was not written: certainly not held
)
