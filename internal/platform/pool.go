package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/trend"
)

// errTooManyConns is returned when the limit on connections to engines is reached.
var errTooManyConns = errors.New("platform: too many connections to engines")

// engineConn is a connection to an engine. It carries one request at a time.
type engineConn struct {
	net.Conn
	reader     *bufio.Reader
	addr       string
	idleSince  float64       // ms; 0 = it has not been idle yet
	reusableAt float64       // ms; not reused before that
	silence    *silenceLimit // nil = how long the engine may be silent has no limit here
}

// interruptOnDone makes all reads and writes on the connection fail once ctx is done, until
// stop is called. stop returns true if it came before that. Otherwise it waits until the
// interruption has been applied, so that this can't affect a later use of the connection.
func (c *engineConn) interruptOnDone(ctx context.Context) (stop func() bool) {
	interrupted := make(chan struct{})
	prevent := context.AfterFunc(ctx, func() {
		c.SetDeadline(time.Unix(1, 0))
		close(interrupted)
	})
	return sync.OnceValue(func() bool {
		if prevent() {
			return true
		}
		<-interrupted
		return false
	})
}

// connPool keeps the connections to engines. It never writes to them: the caller
// knows when the last byte of a request has been written, and no request is resent
// without its knowledge, as an HTTP client library might do.
type connPool struct {
	clock       clock.Clock
	idleTimeout float64 // ms after which an idle connection is closed, well before the engine closes it
	limit       int     // open connections, for all processes of this gateway
	log         *slog.Logger

	mu             sync.Mutex
	processLimit   int                      // open connections, for this process
	connectTimeout trend.AdaptiveTimeout    // how long a connect may take
	adaptTimeout   bool                     // whether connectTimeout adapts to how long connects take
	idle           map[string][]*engineConn // by address, the most recently used last
	open           int
	noReuseUntil   float64 // ms; no idle connection is kept or reused before that
	closed         bool    // connections that are returned are closed
}

// noReusePeriod is the time in ms for which no idle connection is kept or reused after
// one turned out to be dead: if a machine on the path has dropped its connection state,
// most of the other idle connections are dead too.
const noReusePeriod = 2000.0

// connChoice says which connections a call may use. Releases may exceed the limit:
// engines must not keep KV state and reservations because attempts use up all sockets.
type connChoice int

const (
	anyConn          connChoice = iota
	newConn                     // a new one, since an idle one may be dead
	anyConnOverLimit            // any, over the limit if necessary
	newConnOverLimit            // a new one, over the limit if necessary
)

// overLimitShare is the share of the limit by which releases may exceed it. The
// program leaves that many file descriptors free.
const overLimitShare = 1.0 / 16

func newConnPool(c clock.Clock, connectTimeout, idleTimeout float64, limit int) *connPool {
	return &connPool{clock: c, connectTimeout: trend.AdaptiveTimeout{Max: connectTimeout}, idleTimeout: idleTimeout, limit: limit, processLimit: limit, idle: map[string][]*engineConn{}, log: slog.New(slog.DiscardHandler)}
}

// get returns an idle connection that the engine has not closed, or a new one.
func (p *connPool) get(ctx context.Context, addr string, choice connChoice) (*engineConn, error) {
	for {
		c, err := p.takeIdleOrCount(addr, choice)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.isOpen() {
			return c, nil
		}
		p.discard(c)
	}
}

// takeIdleOrCount takes an idle connection. If there is none, it returns nil and counts
// a new connection as open; the caller dials it.
func (p *connPool) takeIdleOrCount(addr string, choice connChoice) (*engineConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.clock.Now(); (choice == anyConn || choice == anyConnOverLimit) && now >= p.noReuseUntil {
		for i, c := range slices.Backward(p.idle[addr]) {
			if now >= c.reusableAt {
				p.idle[addr] = slices.Delete(p.idle[addr], i, i+1)
				return c, nil
			}
		}
	}
	limit := p.processLimit
	if choice >= anyConnOverLimit {
		limit += max(int(float64(p.processLimit)*overLimitShare), 1)
	}
	if p.open >= p.processLimit && !p.closeOldestIdle() && p.open >= limit {
		return nil, errTooManyConns
	}
	p.open++
	return nil, nil
}

func (p *connPool) dial(ctx context.Context, addr string) (*engineConn, error) {
	p.mu.Lock()
	dialer := net.Dialer{Timeout: clock.Duration(p.connectTimeout.Timeout()), KeepAlive: -1}
	p.mu.Unlock()
	start := p.clock.Now()
	netConn, err := dialer.DialContext(ctx, "tcp", addr)
	elapsed := p.clock.Now() - start
	p.log.Debug("connect", "address", addr, "ms", elapsed, "err", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() && ctx.Err() == nil {
			p.connectTimeout.TimedOut()
		}
		return nil, err
	}
	if p.adaptTimeout {
		p.connectTimeout.Observe(elapsed)
	}
	c := &engineConn{Conn: netConn, addr: addr}
	c.reader = bufio.NewReaderSize(c, 4096)
	return c, nil
}

// streamReuseDelay is the time in ms that a connection is not reused after a stream. Engines may
// send surplus bytes some ms after its end, and the next request's response would begin with them.
const streamReuseDelay = 50.0

// put returns a connection to the pool. It is reused after delay ms at the earliest.
func (p *connPool) put(c *engineConn, delay float64) {
	if c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idleSince = p.clock.Now(); c.idleSince < p.noReuseUntil || p.closed || p.open > p.processLimit {
		c.Close()
		p.open--
		return
	}
	c.reusableAt = c.idleSince + delay
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// reportBroken records that a connection ended instead of bringing a response. If it was a
// reused one, noReusePeriod begins.
func (p *connPool) reportBroken(c *engineConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idleSince > 0 {
		p.noReuseUntil = p.clock.Now() + noReusePeriod
	}
}

// discard closes a connection and takes it out of the count.
func (p *connPool) discard(c *engineConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Limits on waiting for an engine to notice that a request was abandoned. When they are reached,
// the request counts as abandoned all the same: a packet takes some ms between data centres, and
// a machine that is gone never responds.
const (
	abandonTimeout  = 20.0     // ms
	abandonMaxBytes = 64 << 10 // of a response that still arrives
)

// abandon cancels a request whose last byte has been written, and returns once its engine has
// noticed, or after abandonTimeout. An engine works on a request for as long as its connection is
// open. Without the wait, the next attempt, or the reply that a retry is safe, could come before the
// engine has stopped. abandon closes the write side; the engine then closes or resets the connection.
func (p *connPool) abandon(c *engineConn) {
	defer p.discard(c)
	writeCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || writeCloser.CloseWrite() != nil || c.SetDeadline(time.Time{}) != nil {
		return
	}
	defer p.clock.AfterFunc(abandonTimeout, func() { c.SetDeadline(time.Unix(1, 0)) })()
	// Any error ends the wait: the engine has closed the connection, or the time is up.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, abandonMaxBytes))
}

// closeOldestIdle closes the connection that has been idle longest, to make room for a new
// one. It returns false if no connection is idle.
func (p *connPool) closeOldestIdle() bool {
	oldest := ""
	for addr, conns := range p.idle {
		if len(conns) > 0 && (oldest == "" || conns[0].idleSince < p.idle[oldest][0].idleSince) {
			oldest = addr
		}
	}
	if oldest == "" {
		return false
	}
	p.idle[oldest][0].Close()
	p.idle[oldest] = p.idle[oldest][1:]
	p.open--
	return true
}

// close closes the idle connections, and the others when they are returned.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range conns {
			c.Close()
			p.open--
		}
	}
	clear(p.idle)
}

// setProcesses divides the limit among the processes of this gateway. Connections beyond this
// process's part are closed, those in use when they are returned.
func (p *connPool) setProcesses(processes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processLimit = max(p.limit/max(processes, 1), 1)
	for p.open > p.processLimit && p.closeOldestIdle() {
	}
}

// sweep closes connections that have been idle for longer than idleTimeout.
func (p *connPool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for addr, conns := range p.idle {
		for len(conns) > 0 && now-conns[0].idleSince > p.idleTimeout {
			conns[0].Close()
			conns = conns[1:]
			p.open--
		}
		if p.idle[addr] = conns; len(conns) == 0 {
			delete(p.idle, addr)
		}
	}
}

// isOpen reports whether an idle connection is still open at the engine's side and has
// received no data. A request written to a closed one would end with a reset, which does
// not show whether the engine ran it.
func (c *engineConn) isOpen() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errno == syscall.EAGAIN || errno == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
