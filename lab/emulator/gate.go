package emulator

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"ashwood.example/ashwood/lab/backlog"
)

// gatedListener is an engine's listener that can behave as machines do: accept
// connections, refuse them, or let connects time out. It keeps its address
// throughout.
type gatedListener struct {
	mu            sync.Mutex
	addr          string
	listener      *net.TCPListener
	accepted      chan *net.TCPConn
	fillers       []net.Conn
	blocked       bool
	conns         map[*trackedConn]struct{}
	unblocked     chan struct{} // closed while bytes pass; replaced when the listener is blocked
	stopped       chan struct{}
	loops         sync.WaitGroup
	onUndelivered func([]byte) // called with bytes that arrive while blocked
	connect       func() error // asks the model for room for a connection
	disconnect    func()
}

var errListenerClosed = fmt.Errorf("emulator: %w", net.ErrClosed)

func newGatedListener(ip string, connect func() error, disconnect func(), onUndelivered func([]byte)) (*gatedListener, error) {
	unblocked := make(chan struct{})
	close(unblocked)
	g := &gatedListener{
		addr: net.JoinHostPort(ip, "0"), accepted: make(chan *net.TCPConn), conns: map[*trackedConn]struct{}{}, unblocked: unblocked,
		stopped: make(chan struct{}), connect: connect, disconnect: disconnect, onUndelivered: onUndelivered,
	}
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.addr = g.listener.Addr().String() // kept from now on
	return g, nil
}

// listen starts to accept connections at the listener's address.
func (g *gatedListener) listen() error {
	l, err := net.Listen("tcp", g.addr)
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	g.listener = l.(*net.TCPListener)
	g.blocked = false
	g.loops.Add(1)
	go g.acceptLoop(g.listener)
	return nil
}

// acceptLoop accepts until the listener closes. While the listener is blocked nothing
// is accepted, so that the kernel's queue stays full.
func (g *gatedListener) acceptLoop(l *net.TCPListener) {
	defer g.loops.Done()
	for {
		c, err := l.AcceptTCP()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() { // blocked
			g.mu.Lock()
			wait := g.unblocked
			g.mu.Unlock()
			select {
			case <-wait:
				continue
			case <-g.stopped:
				return
			}
		}
		if err != nil {
			return
		}
		select {
		case g.accepted <- c:
		case <-g.stopped:
			c.Close()
			return
		}
	}
}

// Accept returns a connection that the model has room for. Others are reset.
func (g *gatedListener) Accept() (net.Conn, error) {
	for {
		select {
		case c := <-g.accepted:
			if g.connect() != nil {
				resetConn(c)
				continue
			}
			g.mu.Lock()
			tracked := &trackedConn{Conn: c, tcp: c, listener: g}
			g.conns[tracked] = struct{}{}
			g.mu.Unlock()
			return tracked, nil
		case <-g.stopped:
			return nil, errListenerClosed
		}
	}
}

// Close closes the listener for good.
func (g *gatedListener) Close() error {
	g.mu.Lock()
	select {
	case <-g.stopped:
		g.mu.Unlock()
		return nil
	default:
	}
	close(g.stopped)
	g.mu.Unlock()
	g.stop()
	g.loops.Wait()
	return nil
}

// Addr returns the listener's address.
func (g *gatedListener) Addr() net.Addr {
	a, err := net.ResolveTCPAddr("tcp", g.addr)
	if err != nil {
		panic(err) // the address came from a listener
	}
	return a
}

// stop behaves as a process that has died: connections are reset and connects refused.
func (g *gatedListener) stop() {
	g.mu.Lock()
	g.unblock()
	l := g.listener
	g.listener = nil
	g.mu.Unlock()
	if l != nil {
		l.Close()
	}
	g.resetAll()
}

// block behaves as a machine that has become unreachable: open connections stay open
// without any answer, and connects time out, since the kernel's accept queue is kept
// full.
func (g *gatedListener) block() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener == nil || g.blocked {
		return nil
	}
	g.blocked = true
	g.unblocked = make(chan struct{})
	if err := g.listener.SetDeadline(time.Unix(1, 0)); err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	fillers, err := backlog.Fill(g.listener)
	g.fillers = append(g.fillers, fillers...)
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	return nil
}

// unblock ends a block; the caller holds the lock.
func (g *gatedListener) unblock() {
	if !g.blocked {
		return
	}
	g.blocked = false
	for _, c := range g.fillers {
		c.Close()
	}
	g.fillers = nil
	close(g.unblocked)
}

// open accepts connections again. Connections that were open are reset: the engine
// has restarted.
func (g *gatedListener) open() error {
	g.resetAll()
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.stopped:
		return nil
	default:
	}
	if g.listener != nil && g.blocked { // a new listener has the full length of the accept queue again
		l := g.listener
		g.listener = nil
		g.unblock()
		l.Close()
	}
	if g.listener == nil {
		return g.listen()
	}
	return nil
}

func (g *gatedListener) resetAll() {
	g.mu.Lock()
	list := make([]*trackedConn, 0, len(g.conns))
	for c := range g.conns {
		list = append(list, c)
	}
	g.mu.Unlock()
	for _, c := range list {
		c.reset()
	}
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0) // a reset instead of a regular close; if this fails, the close still ends the connection
	c.Close()
}

// trackedConn is a connection that sends nothing while its engine is unreachable.
type trackedConn struct {
	net.Conn // without the methods that would bypass Write
	tcp      *net.TCPConn
	listener *gatedListener
	once     sync.Once
}

// Read returns what has arrived. While blocked, it still returns the end of the
// connection, for the emulator's own bookkeeping; nothing is sent in answer.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n > 0 && c.listener.isBlocked() {
		c.listener.onUndelivered(p[:n])
		n, err = c.Conn.Read(p) // until the caller closes, or the reset at the end of the block
		if n > 0 && !c.listener.isBlocked() {
			return 0, net.ErrClosed
		}
	}
	return n, err
}

func (g *gatedListener) isBlocked() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked
}

func (c *trackedConn) Write(p []byte) (int, error) {
	if c.waitUnblocked() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// waitUnblocked waits for the end of a block, and tells whether there was one: what
// arrived or was to be sent then is lost, and the connection is reset.
func (c *trackedConn) waitUnblocked() bool {
	c.listener.mu.Lock()
	unblocked, blocked := c.listener.unblocked, c.listener.blocked
	c.listener.mu.Unlock()
	if !blocked {
		return false
	}
	select {
	case <-unblocked:
	case <-c.listener.stopped:
	}
	return true
}

func (c *trackedConn) reset() {
	_ = c.tcp.SetLinger(0)
	c.Close()
}

// Close ends the connection and returns its room at the engine.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		c.listener.disconnect()
	})
	return err
}
