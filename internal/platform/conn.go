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
)

// writeWait bounds one write to a client that does not read.
const writeWait = 10 * time.Second

// Listener wraps one so that its connections tell when their client leaves.
func WrapListener(l net.Listener) net.Listener { return newListener(l, 0) }

func newListener(l net.Listener, limit int) *listener {
	in := &listener{Listener: l, begun: time.Now(), most: limit, limit: limit, log: slog.New(slog.DiscardHandler)}
	in.woken.L = &in.mu
	return in
}

// listener holds at most limit connections open, without a limit where that is
// 0. For a new one beyond, it closes one that waits without a request: clients may
// keep connections that they never use again, or open thousands and never finish a
// request, and those that do ask must still get in, though some write for seconds.
type listener struct {
	net.Listener
	begun time.Time                    // ages count from it: readings of the wall clock can't be compared
	most  int                          // for one process alone
	give  atomic.Pointer[HandoverFunc] // to another process; nil = answers end here
	log   *slog.Logger

	mu          sync.Mutex
	limit       int // for this one of several
	open        int
	waiting     list.List    // of *clientConn without an open request, longest first
	lent        atomic.Int64 // bytes that connections have read far ahead
	closing     int          // that have left the count, and whose descriptors are there yet
	lingering   list.List    // of these, *clientConn whose clients may still send, the first first
	woken       sync.Cond    // a descriptor is gone
	ended       bool
	queueTaken  chan struct{}             // closed once the system's queue is empty at the end; nil = not asked for
	queueFrom   time.Time                 // since when that is looked for
	queueSealed bool                      // the system takes no new connection into it
	stopped     bool                      // connections without a request are closed at once
	stopOnce    sync.Once                 // of stopAccepting
	readBy      atomic.Pointer[time.Time] // no request is read for longer; nil = not told
}

// busyShare is the part of a listener's connections that may have a request
// open, so that there is always one to close for a new one.
const busyShare = 0.8

// closingShare is the part of a listener's limit that may be closed and yet be there, each
// with its descriptor and its reader. Where the processor lags behind, new connections wait
// in the system's queue rather than being turned back.
const closingShare = 16

// scarceWait is between tries to accept where the machine has no descriptor or memory left.
const scarceWait = 10 * time.Millisecond

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &clientConn{Conn: nc, l: l, came: now, first: now.Add(readTimeout)}
	c.heard()
	nc.SetReadDeadline(c.first)
	l.mu.Lock()
	old, why := l.oldest(now)
	l.open++
	c.place = l.waiting.PushBack(c)
	stopped := l.stopped
	l.mu.Unlock()
	l.turnBack(old, why)
	if stopped {
		c.closeUnread()
	}
	return c, nil
}

// accept takes the next connection, once there is room for it. A machine that has no
// descriptor left, or can't accept for another reason, is waited for: fasthttp would end the
// server, and all requests with it. Without a limit, that and all else is for whoever serves
// the listener.
func (l *listener) accept() (net.Conn, error) {
	for scarce := false; ; {
		l.mu.Lock()
		for !l.ended && l.closing > l.closingRoom() {
			l.cutOldest()
			l.woken.Wait()
		}
		l.mu.Unlock()
		if l.sealedQueueIsEmpty() {
			return nil, net.ErrClosed
		}
		nc, err := l.Listener.Accept()
		if over, goOn := l.endOfQueue(err); over {
			return nil, net.ErrClosed
		} else if goOn {
			continue
		}
		if err == nil || l.most == 0 || errors.Is(err, net.ErrClosed) {
			return nc, err
		}
		if !scarce {
			scarce = true
			l.log.Warn("a client's connection has to wait", "err", err)
		}
		if slices.ContainsFunc(scarcity, func(e error) bool { return errors.Is(err, e) }) {
			l.makeRoom()
		}
		time.Sleep(scarceWait)
	}
}

// makeRoom closes the connection that is the first to go, for its descriptor.
func (l *listener) makeRoom() {
	l.mu.Lock()
	var old *clientConn
	var why string
	if !l.cutOldest() {
		old, why = l.least(time.Now())
	}
	l.mu.Unlock()
	l.turnBack(old, why)
}

// scarcity is what the machine says when it has no descriptor or memory for a connection.
var scarcity = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// turnBack closes a connection that has left the count for another; nil = none.
func (l *listener) turnBack(c *clientConn, why string) {
	if c == nil {
		return
	}
	if c.served { // its last answer may be under way, or a request be read just now
		c.closeResting()
	} else {
		c.cut()
	}
	l.log.Debug("turned back", "why", why, "ms", time.Since(c.came).Milliseconds())
}

// Close ends Accept, also one that waits for room. It may be called again.
func (l *listener) Close() error {
	l.mu.Lock()
	l.ended = true
	l.woken.Broadcast()
	inner := l.Listener
	l.mu.Unlock()
	if inner == nil { // it was never served
		return nil
	}
	if err := inner.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// share leaves this process its part of the connections; those beyond it that have no
// request are closed.
func (l *listener) share(processes int) {
	if l.most == 0 {
		return
	}
	var over []*clientConn
	l.mu.Lock()
	l.limit = max(l.most/max(processes, 1), 1)
	for l.open > l.limit {
		old, _ := l.oldest(time.Now())
		if old == nil {
			break
		}
		over = append(over, old)
	}
	l.mu.Unlock()
	for _, c := range over {
		l.turnBack(c, "shared")
	}
}

// silentAfter is how long a new connection may bring nothing before it is no client's:
// those that ask write at once.
const silentAfter = 500 * time.Millisecond

// oldest gives the connection to close for a new one, nil where there is room.
func (l *listener) oldest(now time.Time) (c *clientConn, why string) {
	if l.limit == 0 || l.open < l.limit {
		return nil, ""
	}
	return l.least(now)
}

// least takes out the connection that is the first to go, nil where all have requests, and
// says why that one: one that has said nothing since it came, for long; else one that has been
// served and is idle; of these the one that has waited longest. Else, of those whose first
// request is not whole, the one that has brought nothing for longest: who writes slowly still
// writes, and one that has just come may not have been read yet.
func (l *listener) least(now time.Time) (c *clientConn, why string) {
	var idle, unfinished *clientConn
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		v := e.Value.(*clientConn)
		switch reading := v.reading.Load(); {
		case v.served && reading: // a later request that has been read in part is owed an answer
		case v.served && idle == nil:
			idle = v
		case !v.served && !reading && now.Sub(v.came) >= silentAfter:
			l.leave(v)
			return v, "silent"
		case !v.served && (unfinished == nil || v.latest.Load() < unfinished.latest.Load()):
			unfinished = v
		}
	}
	switch {
	case idle != nil:
		c, why = idle, "idle"
	case unfinished != nil:
		c, why = unfinished, "unfinished"
	default:
		return nil, ""
	}
	l.leave(c)
	return c, why
}

// leave takes a connection out of the count that is about to be closed.
func (l *listener) leave(c *clientConn) {
	if c.left {
		return
	}
	c.left = true
	l.open--
	l.closing++
	l.woken.Broadcast() // a shutdown may wait for it
	if c.place != nil {
		l.waiting.Remove(c.place)
		c.place = nil
	}
}

// rejoin takes a connection back into the count that was about to be closed, as a request has been read from it.
func (l *listener) rejoin(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.left || c.gone {
		return
	}
	c.left = false
	l.open++
	l.closing--
	if c.place == nil {
		c.place = l.waiting.PushBack(c)
	}
	l.woken.Broadcast()
}

// clientConn notices that its client closes while a request runs, which
// fasthttp does not look for: it reads ahead meanwhile, and gives what it has
// read to the next Read.
type clientConn struct {
	net.Conn
	l       *listener
	came    time.Time
	latest  atomic.Int64 // when it last brought a byte, or came; ns since its listener's begin
	first   time.Time    // by then the first request must be whole
	reading atomic.Bool  // bytes of a request have been read
	written atomic.Bool  // bytes of an answer have been
	owes    atomic.Bool  // an answer to what was sent ahead, should it close now

	// Of the listener:
	place  *list.Element // among those that wait; nil with a request open
	served bool          // it has had a request
	left   bool

	lingers *list.Element // among those whose clients may still send
	gone    bool          // its descriptor is

	// Of whoever reads requests: bytes that have been read, those of the requests that have
	// been taken, and whether the last of these has ended.
	got, taken int
	counted    bool // taken is known: of a body in chunks, its length on the wire is not
	fromAhead  bool // some of the next request was read while an answer was under way
	ended      bool

	mu     sync.Mutex
	ahead  []byte
	lent   atomic.Int64  // of the listener's room, for what is read far ahead
	quit   chan struct{} // closed when the watch has ended; nil without one
	inRead bool          // somebody reads from the network
	shut   bool          // nothing is written any more, and nothing read is passed on
	cutOff bool          // closed without a second step

	closeAsked bool      // by whoever reads from the network, once that read has ended without a byte
	readBound  time.Time // of reads of requests
}

// heard notes that the connection has just brought something.
func (c *clientConn) heard() { c.latest.Store(int64(time.Since(c.l.begun))) }

// begin tells that a whole request has been read, and gives whether there is
// room for it beside the others that are open.
func (c *clientConn) begin() bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.served, c.ended = true, false
	if c.place != nil {
		c.l.waiting.Remove(c.place)
		c.place = nil
	}
	busy := c.l.open - c.l.waiting.Len()
	return c.l.limit == 0 || float64(busy) <= float64(c.l.limit)*busyShare
}

// take notes a request that has been read, and tells whether nothing behind it has been
// read as well: what fasthttp holds of a next request can't be got back from it.
func (c *clientConn) take(r *fasthttp.Request) (clean bool) {
	h := &r.Header
	first := len(h.Method()) + len(h.RequestURI()) + len(h.Protocol()) + len("  \r\n")
	c.counted = h.ContentLength() >= 0
	c.taken += first + len(h.RawHeaders()) + len(r.Body())
	return c.taken == c.got
}

// end tells that its answer is ready or, where that is a stream, over. What is left of it may
// still have to be written: the connection waits for a next request once that is read for.
func (c *clientConn) end() { c.ended = true }

// again tells that the next request is being read for: all of the answer before has left.
func (c *clientConn) again() {
	c.ended = false
	c.owes.Store(false)
	c.mu.Lock()
	c.reading.Store(len(c.ahead) > 0)
	c.mu.Unlock()
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if !c.left && c.place == nil {
		c.place = c.l.waiting.PushBack(c)
	}
}

// SetReadDeadline bounds the first request from the connection's begin on:
// fasthttp counts anew from its first byte, and a client may send that late.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if !c.written.Load() && t.After(c.first) {
		t = c.first
	}
	return c.readUntil(t)
}

// Write gives up on a client that does not read.
func (c *clientConn) Write(p []byte) (int, error) {
	c.written.Store(true)
	c.Conn.SetWriteDeadline(time.Now().Add(writeWait))
	return c.Conn.Write(p)
}
