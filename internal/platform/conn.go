package platform

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// writeTimeout bounds each write to a client that does not read.
const writeTimeout = 10 * time.Second

// WrapListener returns a listener whose connections detect that their client has disconnected while a
// request runs. It has no connection limit.
func WrapListener(l net.Listener) net.Listener { return newListener(l, 0) }

func newListener(l net.Listener, limit int) *listener {
	wrapped := &listener{Listener: l, started: time.Now(), maxConns: limit, limit: limit, log: slog.New(slog.DiscardHandler), memory: newRequestMemory(), quickAnswers: newQuickAnswerLimit(quickAnswersPerFront), discarded: make([]byte, discardBuffer)}
	wrapped.receiveBuffers.New = func() any { return new([receiveBuffer]byte) }
	wrapped.changed.L = &wrapped.mu
	return wrapped
}

// listener keeps at most limit connections open; 0 means no limit. When a new connection exceeds the
// limit, one without an open request is closed for it: clients may keep connections that they never
// use again, or open thousands and never finish a request. Clients that do send requests must still
// get in, although some take seconds to write one.
type listener struct {
	net.Listener
	started  time.Time                    // monotonic reference for ages: wall-clock readings can't be compared
	maxConns int                          // limit when this process is the only one
	handover atomic.Pointer[HandoverFunc] // sends answers to another process; nil = answers finish here
	memory   *requestMemory
	log      *slog.Logger

	quickAnswers *rate.Limiter // over all connections
	discarded    []byte        // what connections drop; never read

	receiveBuffers sync.Pool // of *[receiveBuffer]byte, for what connections read ahead

	mu                sync.Mutex
	limit             int // this process's part of maxConns
	open              int
	waiting           list.List // *clientConn without an open request, the longest-waiting first
	closing           int       // connections no longer counted as open whose descriptors still exist
	lingering         list.List // *clientConn of these whose clients may still send, oldest first
	changed           sync.Cond // signalled when a count above changes or the listener closes
	closed            bool
	queueDrained      chan struct{}             // closed once the accept queue is empty at the end; nil = not requested
	queueDrainStart   time.Time                 // when the current wait for the accept queue began
	handshakesDropped bool                      // the kernel has been made to drop new handshakes
	closingIdle       bool                      // connections without a request are closed at once
	stopOnce          sync.Once                 // guards stopAccepting
	readLimit         atomic.Pointer[time.Time] // no request is read for longer than this; nil = no bound
}

// maxBusyShare is the share of a listener's connections that may have a request open, so that there is
// always one that can be closed for a new connection.
const maxBusyShare = 0.8

// closingDivisor bounds the connections that are closing but still hold a descriptor and a reader: to
// the listener's limit divided by it. When the processor lags behind, new connections wait in the
// kernel's accept queue instead of being closed.
const closingDivisor = 16

// acceptRetryDelay is the pause between attempts to accept after an error, such as a lack of
// descriptors or memory.
const acceptRetryDelay = 10 * time.Millisecond

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &clientConn{Conn: nc, listener: l, acceptedAt: now, firstRequestDeadline: now.Add(readTimeout)}
	c.recordRead()
	nc.SetReadDeadline(c.firstRequestDeadline)
	l.mu.Lock()
	evicted, reason := l.evictIfFull(now)
	l.open++
	c.waitingElement = l.waiting.PushBack(c)
	stopped := l.closingIdle
	l.mu.Unlock()
	l.closeEvicted(evicted, reason)
	if stopped {
		c.closeIfNoRequest()
	}
	return c, nil
}

// accept returns the next connection once there is room for it. When the machine has no descriptor
// left, or accepting fails for another reason, it retries: fasthttp would stop the server, and all
// requests with it. Without a limit, the owner of the listener handles all errors itself.
func (l *listener) accept() (net.Conn, error) {
	for warned := false; ; {
		l.mu.Lock()
		for !l.closed && l.closing > l.maxClosing() {
			l.abortOldestLingering()
			l.changed.Wait()
		}
		l.mu.Unlock()
		if l.queueIsEmpty() {
			return nil, net.ErrClosed
		}
		nc, err := l.Listener.Accept()
		if ended, retry := l.checkQueueEnd(err); ended {
			return nil, net.ErrClosed
		} else if retry {
			continue
		}
		if err == nil || l.maxConns == 0 || errors.Is(err, net.ErrClosed) {
			return nc, err
		}
		if !warned {
			warned = true
			l.log.Warn("accepting a client's connection failed, retrying", "err", err)
		}
		if slices.ContainsFunc(resourceErrors, func(e error) bool { return errors.Is(err, e) }) {
			l.freeDescriptor()
		}
		time.Sleep(acceptRetryDelay)
	}
}

// freeDescriptor closes the connection that is first in the eviction order, to get its descriptor.
func (l *listener) freeDescriptor() {
	l.mu.Lock()
	var evicted *clientConn
	var reason string
	if !l.abortOldestLingering() {
		evicted, reason = l.evict(time.Now())
	}
	l.mu.Unlock()
	l.closeEvicted(evicted, reason)
}

// resourceErrors are the errors of a machine without a descriptor or memory for a connection.
var resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// closeEvicted closes a connection that is no longer counted as open, to make room; nil = none.
func (l *listener) closeEvicted(c *clientConn, reason string) {
	if c == nil {
		return
	}
	if c.served { // its last answer may still be in flight, or a request may just be being read
		c.closeIdle()
	} else {
		c.abort()
	}
	l.log.Debug("connection closed to make room", "why", reason, "ms", time.Since(c.acceptedAt).Milliseconds())
}

// Close ends Accept, even while it waits for room. It may be called more than once.
func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	inner := l.Listener
	l.mu.Unlock()
	if inner == nil { // Serve was never called
		return nil
	}
	if err := inner.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// share limits this process to its part of the connections. Excess connections without a request are
// closed.
func (l *listener) share(processes int) {
	if l.maxConns == 0 {
		return
	}
	var excess []*clientConn
	l.mu.Lock()
	l.limit = max(l.maxConns/max(processes, 1), 1)
	for l.open > l.limit {
		evicted, _ := l.evictIfFull(time.Now())
		if evicted == nil {
			break
		}
		excess = append(excess, evicted)
	}
	l.mu.Unlock()
	for _, c := range excess {
		l.closeEvicted(c, "shared")
	}
}

// silentTimeout is how long a new connection may send nothing before it is first in line for eviction:
// clients that have a request write at once.
const silentTimeout = 500 * time.Millisecond

// evictIfFull evicts a connection for a new one; nil if there is room.
func (l *listener) evictIfFull(now time.Time) (c *clientConn, reason string) {
	if l.limit == 0 || l.open < l.limit {
		return nil, ""
	}
	return l.evict(now)
}

// evict selects a connection without an open request, marks it as closing and returns it with the
// reason; nil if all have requests. Its first choice is one that has sent nothing for silentTimeout since it
// was accepted; then the connection that has been idle longest after an answer; then, of those with an
// unfinished first request, the one that has sent nothing for longest: a slow writer still writes,
// and a connection accepted just now may not have been read yet.
func (l *listener) evict(now time.Time) (c *clientConn, reason string) {
	var idle, unfinished *clientConn
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		candidate := e.Value.(*clientConn)
		switch reading := candidate.requestStarted.Load(); {
		case candidate.served && reading: // a later request that has been read in part must be answered
		case candidate.served && idle == nil:
			idle = candidate
		case !candidate.served && !reading && now.Sub(candidate.acceptedAt) >= silentTimeout:
			l.markClosing(candidate)
			return candidate, "silent"
		case !candidate.served && (unfinished == nil || candidate.lastRead.Load() < unfinished.lastRead.Load()):
			unfinished = candidate
		}
	}
	switch {
	case idle != nil:
		c, reason = idle, "idle"
	case unfinished != nil:
		c, reason = unfinished, "unfinished"
	default:
		return nil, ""
	}
	l.markClosing(c)
	return c, reason
}

// markClosing moves a connection that is about to be closed from the open count to the closing count.
func (l *listener) markClosing(c *clientConn) {
	if c.markedClosing {
		return
	}
	c.markedClosing = true
	l.open--
	l.closing++
	l.changed.Broadcast() // a shutdown may wait for it
	if c.waitingElement != nil {
		l.waiting.Remove(c.waitingElement)
		c.waitingElement = nil
	}
}

// unmarkClosing returns a connection that was about to be closed to the open count, because a request
// has been read from it.
func (l *listener) unmarkClosing(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.markedClosing || c.closed {
		return
	}
	c.markedClosing = false
	l.open++
	l.closing--
	if c.waitingElement == nil {
		c.waitingElement = l.waiting.PushBack(c)
	}
	l.changed.Broadcast()
}

// clientConn detects that its client closes while a request runs, which fasthttp does not check: it
// reads ahead meanwhile, and returns these bytes from the next Read.
type clientConn struct {
	net.Conn
	listener             *listener
	acceptedAt           time.Time
	lastRead             atomic.Int64 // when it last received a byte or was accepted; ns since listener.started
	firstRequestDeadline time.Time    // the first request must be complete by then
	requestStarted       atomic.Bool  // bytes of a request have been read
	answerStarted        atomic.Bool  // bytes of an answer have been written
	pipelinedUnanswered  atomic.Bool  // a pipelined request would need an answer if the connection closed now

	// Managed by the listener:
	waitingElement *list.Element // in listener.waiting; nil while a request is open
	served         bool          // it has had a request
	markedClosing  bool

	lingeringElement *list.Element // in listener.lingering
	closed           bool          // its descriptor is closed

	// Owned by the goroutine that reads requests: bytes read, bytes of the requests parsed from them,
	// and whether the answer to the last of these has ended.
	bytesRead, bytesParsed int
	parsedLengthKnown      bool // bytesParsed is exact; it is not after a chunked body, whose length on the wire is unknown
	usedReadAhead          bool // part of the next request was read while an answer was in flight
	answerEnded            bool
	head                   headLines     // of the request that is being read
	pipelined              bool          // at least a part of the request that is served was sent ahead
	quickAnswers           *rate.Limiter // nil before the first answer without an engine's work

	receiving sync.Mutex // held while bytes that are sent ahead are taken; before mu
	lastTaken time.Time  // when that took any; guarded by receiving

	mu             sync.Mutex
	readAhead      []byte
	aheadDropped   bool             // more was sent ahead than may be kept
	countedAhead   atomic.Int64     // bytes of readAhead as counted in listener.memory
	watch          *disconnectWatch // nil without a request that runs
	readInProgress bool             // a goroutine is reading from the network
	writeClosed    bool             // nothing more is written, and bytes read are not passed on
	aborted        bool             // closed without lingering

	closePending bool      // the goroutine reading from the network closes it if that read ends without a byte
	readDeadline time.Time // for reads of requests
}

// recordRead notes that the connection has just received bytes.
func (c *clientConn) recordRead() { c.lastRead.Store(int64(time.Since(c.listener.started))) }

// beginRequest records that a whole request has been read, and reports whether there is room for it
// in addition to the other open requests.
func (c *clientConn) beginRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.served, c.answerEnded = true, false
	if c.waitingElement != nil {
		c.listener.waiting.Remove(c.waitingElement)
		c.waitingElement = nil
	}
	busy := c.listener.open - c.listener.waiting.Len()
	return c.listener.limit == 0 || float64(busy) <= float64(c.listener.limit)*maxBusyShare
}

// countParsed counts a request that has been read, and reports whether nothing behind it has been read
// yet: bytes of a next request that fasthttp has buffered can't be recovered from it.
func (c *clientConn) countParsed(request *fasthttp.Request) (nothingBehind bool) {
	header := &request.Header
	requestLine := len(header.Method()) + len(header.RequestURI()) + len(header.Protocol()) + len("  \r\n")
	c.parsedLengthKnown = header.ContentLength() >= 0
	c.bytesParsed += requestLine + len(header.RawHeaders()) + len(request.Body())
	return c.bytesParsed == c.bytesRead
}

// endAnswer records that the answer is ready or, if it is a stream, has ended. Part of it may still have
// to be written, so the connection counts as waiting only from the next read for a request.
func (c *clientConn) endAnswer() { c.answerEnded = true }

// awaitNextRequest records that the next request is being read: the previous answer has been written.
func (c *clientConn) awaitNextRequest() {
	c.answerEnded = false
	// Behind a request that was sent ahead, the bytes that come may be of its body.
	c.head = headLines{ended: !c.parsedLengthKnown || c.bytesRead > c.bytesParsed}
	c.pipelinedUnanswered.Store(false)
	c.mu.Lock()
	c.requestStarted.Store(len(c.readAhead) > 0)
	c.mu.Unlock()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.markedClosing && c.waitingElement == nil {
		c.waitingElement = c.listener.waiting.PushBack(c)
	}
}

// SetReadDeadline bounds the first request from the accept on: fasthttp restarts its timeout at the
// first byte, and a client may send that late.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if !c.answerStarted.Load() && t.After(c.firstRequestDeadline) {
		t = c.firstRequestDeadline
	}
	return c.limitRead(t)
}

// Write fails when the client does not read within writeTimeout.
func (c *clientConn) Write(p []byte) (int, error) {
	c.answerStarted.Store(true)
	c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}
