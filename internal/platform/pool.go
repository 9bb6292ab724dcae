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

// errTooMany says that the gateway's share of sockets is used up.
var errTooMany = errors.New("platform: too many connections to engines")

// conn carries one request at a time.
type engineConn struct {
	net.Conn
	reader *bufio.Reader
	addr   string
	idle   float64 // since when; 0 = never yet
	from   float64 // when it may be used again
}

// endWith has the end of ctx end all reading and writing on the connection, until stop. That
// tells whether it came before; else the end has been seen to, and disturbs nothing later.
func (c *engineConn) interruptOnDone(ctx context.Context) (stop func() bool) {
	ended := make(chan struct{})
	prevent := context.AfterFunc(ctx, func() {
		c.SetDeadline(time.Unix(1, 0))
		close(ended)
	})
	return sync.OnceValue(func() bool {
		if prevent() {
			return true
		}
		<-ended
		return false
	})
}

// pool keeps connections to engines. It never sends anything: whoever takes a
// connection knows when the last byte of a request has left, and nothing is
// sent again behind its back.
type connPool struct {
	clock   clock.Clock
	maxIdle float64 // ms after which an idle connection is closed, well before the engine does
	most    int     // connections open at once, for one process alone
	log     *slog.Logger

	mu    sync.Mutex
	max   int                      // the same for this one of several
	wait  trend.Patience           // for a connection
	learn bool                     // whether that is shortened by how long they take
	idle  map[string][]*engineConn // by address, the latest used last
	open  int
	doubt float64 // until when no connection is kept
	over  bool    // none is kept any more
}

// doubtTime is for how long no connection is kept, in ms, after a kept one had
// died unnoticed: where machines forget connections, most of the kept are dead.
const doubtTime = 2000.0

// which connection a call may go on. Releases have some beyond the bound: what is
// held is not to stay because attempts use all sockets up.
type which int

const (
	anyConn  which = iota
	newConn        // none that may have died unnoticed
	anySpare       // any, with the spare ones
	newSpare       // a new one, with the spare ones
)

// spareShare is the part of the bound by which releases may go beyond it; the
// program leaves that many descriptors free.
const spareShare = 1.0 / 16

func newPool(c clock.Clock, connect, maxIdle float64, limit int) *connPool {
	return &connPool{clock: c, wait: trend.Patience{Most: connect}, maxIdle: maxIdle, most: limit, max: limit, idle: map[string][]*engineConn{}, log: slog.New(slog.DiscardHandler)}
}

// get gives an idle connection that the engine has not closed, or a new one.
func (p *connPool) get(ctx context.Context, addr string, with which) (*engineConn, error) {
	for {
		c, err := p.reuse(addr, with)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.alive() {
			return c, nil
		}
		p.discard(c)
	}
}

// reuse takes an idle connection, or counts a new one, which it leaves to dial.
func (p *connPool) reuse(addr string, with which) (*engineConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.clock.Now(); (with == anyConn || with == anySpare) && now >= p.doubt {
		for i, c := range slices.Backward(p.idle[addr]) {
			if now >= c.from {
				p.idle[addr] = slices.Delete(p.idle[addr], i, i+1)
				return c, nil
			}
		}
	}
	most := p.max
	if with >= anySpare {
		most += max(int(float64(p.max)*spareShare), 1)
	}
	if p.open >= p.max && !p.dropOldest() && p.open >= most {
		return nil, errTooMany
	}
	p.open++
	return nil, nil
}

func (p *connPool) dial(ctx context.Context, addr string) (*engineConn, error) {
	p.mu.Lock()
	d := net.Dialer{Timeout: clock.Duration(p.wait.Wait()), KeepAlive: -1}
	p.mu.Unlock()
	begun := p.clock.Now()
	nc, err := d.DialContext(ctx, "tcp", addr)
	took := p.clock.Now() - begun
	p.log.Debug("connect", "address", addr, "ms", took, "err", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		if ne, ok := err.(net.Error); ok && ne.Timeout() && ctx.Err() == nil {
			p.wait.Missed()
		}
		return nil, err
	}
	if p.learn {
		p.wait.Came(took)
	}
	return &engineConn{Conn: nc, reader: bufio.NewReaderSize(nc, 4096), addr: addr}, nil
}

// streamRest is how many ms a connection rests behind a stream. Engines may send more than
// belongs to it, some ms late; the next request's answer would begin with that.
const streamRest = 50.0

// put keeps a connection for another request, some ms from now on.
func (p *connPool) put(c *engineConn, rest float64) {
	if c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idle = p.clock.Now(); c.idle < p.doubt || p.over || p.open > p.max {
		c.Close()
		p.open--
		return
	}
	c.from = c.idle + rest
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// broke tells of a connection that ended in place of an answer.
func (p *connPool) broke(c *engineConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idle > 0 {
		p.doubt = p.clock.Now() + doubtTime
	}
}

// discard closes a connection.
func (p *connPool) discard(c *engineConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Bounds of giving up a request: what its engine has noticed no later is taken to be given up
// all the same. A packet takes some ms between data centres; a machine that vanished says nothing.
const (
	abandonTimeout = 20.0     // ms
	noticeBytes    = 64 << 10 // of an answer that still comes
)

// abandon gives up a request whose last byte has been written, and returns once its engine
// has noticed, or noticeWait later. An engine works for a request for as long as it sees the
// connection open: the next attempt, or the answer that trying again does no harm, could come
// before it has seen the end. The write side is shut, and the engine closes or resets in turn.
func (p *connPool) abandon(c *engineConn) {
	defer p.discard(c)
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetDeadline(time.Time{}) != nil {
		return
	}
	defer p.clock.AfterFunc(abandonTimeout, func() { c.SetDeadline(time.Unix(1, 0)) })()
	// Any error is the end that is waited for: the engine's, or that of the time.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, noticeBytes))
}

// dropOldest makes room for a new connection.
func (p *connPool) dropOldest() bool {
	oldest := ""
	for addr, list := range p.idle {
		if len(list) > 0 && (oldest == "" || list[0].idle < p.idle[oldest][0].idle) {
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

// close closes idle connections, and has others closed when they are put back.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
			p.open--
		}
	}
	clear(p.idle)
}

// share leaves this process its part of the connections. Those beyond it that are in use
// are closed when they are put back.
func (p *connPool) share(processes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = max(p.most/max(processes, 1), 1)
	for p.open > p.max && p.dropOldest() {
	}
}

// sweep closes what has been idle too long.
func (p *connPool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for addr, list := range p.idle {
		for len(list) > 0 && now-list[0].idle > p.maxIdle {
			list[0].Close()
			list = list[1:]
			p.open--
		}
		if p.idle[addr] = list; len(list) == 0 {
			delete(p.idle, addr)
		}
	}
}

// alive tells whether the engine has left an idle connection open. A request
// written to a closed one would end as a reset, which proves nothing.
func (c *engineConn) alive() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
