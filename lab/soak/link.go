package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ashwood.example/ashwood/lab/backlog"
)

// link is the address at which one gateway reaches one engine. It can be silenced in two ways:
// the engine's process is stopped (connections are established, bytes are acknowledged, nothing is
// answered), or the path is cut (connections stay open, new ones are never established). Either way
// all bytes written are read once the silence ends, as with a real machine.
type link struct {
	addr string
	port *port

	sending sync.RWMutex // read-locked while an answer is sent, so that no silence begins meanwhile

	mu        sync.Mutex
	listener  *net.TCPListener
	silences  int           // active silences
	cuts      int           // those of them in which no connection is established
	resumed   chan struct{} // closed while there is no silence
	fillers   []net.Conn    // connections that keep the listener's backlog full
	conns     map[*linkConn]struct{}
	deadShare float64 // of new connections, which are dead from the start
	closed    chan struct{}
	listening chan struct{} // closed while the engine's process listens
	down      bool          // the engine's process does not listen
}

func openLink() (*link, error) {
	p, err := reservePort()
	if err != nil {
		return nil, err
	}
	l, err := p.listen()
	if err != nil {
		p.release()
		return nil, err
	}
	closedChannel := make(chan struct{})
	close(closedChannel)
	return &link{
		addr: p.addr, port: p, listener: l, resumed: closedChannel, conns: map[*linkConn]struct{}{}, closed: make(chan struct{}), listening: closedChannel,
	}, nil
}

// crash simulates the end of the engine's process: connections are reset, new ones refused.
func (k *link) crash() {
	k.mu.Lock()
	k.listening, k.down = make(chan struct{}), true
	k.listener.Close()
	k.mu.Unlock()
	k.resetAll()
}

// restart makes the engine's process listen at its address again.
func (k *link) restart() error {
	l, err := k.port.listen()
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener, k.down = l, false
	if k.cuts > 0 {
		err = k.fillBacklog()
	}
	close(k.listening)
	return err
}

// beginSilence begins a silence; with cut, no connection is established either.
func (k *link) beginSilence(cut bool) error {
	k.sending.Lock()
	defer k.sending.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.silences++; k.silences == 1 {
		k.resumed = make(chan struct{})
	}
	if cut {
		if k.cuts++; k.cuts == 1 && !k.down {
			return k.fillBacklog()
		}
	}
	return nil
}

// endSilence ends a silence.
func (k *link) endSilence(cut bool) (err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut {
		if k.cuts--; k.cuts == 0 {
			err = k.drainBacklog()
		}
	}
	if k.silences--; k.silences == 0 {
		close(k.resumed)
	}
	return err
}

// backlogLength is the length of the listener's backlog of connections that are not yet accepted.
const backlogLength = 512

// fillBacklog prevents new connections: it stops accepting and fills the listener's backlog.
func (k *link) fillBacklog() error {
	// The accept loop's call returns with a timeout; the loop then waits for the end of the cut.
	if err := k.listener.SetDeadline(time.Unix(1, 0)); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	fillers, err := backlog.Fill(k.listener)
	k.fillers = append(k.fillers, fillers...)
	return err
}

// drainBacklog allows new connections again, unless the listener has been closed meanwhile.
func (k *link) drainBacklog() error {
	for _, c := range k.fillers {
		c.Close()
	}
	k.fillers = nil
	if k.down {
		return nil
	}
	if err := backlog.SetLength(k.listener, backlogLength); err != nil {
		return err
	}
	return k.listener.SetDeadline(time.Time{})
}

// killConns makes a share of the open connections dead, and sets that share for new ones.
func (k *link) killConns(share float64) {
	k.sending.Lock()
	defer k.sending.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.deadShare = share
	for c := range k.conns {
		if rand.Float64() < share {
			c.dead.Store(true)
		}
	}
}

// awaitOpen waits until there is no silence.
func (k *link) awaitOpen() {
	for {
		k.mu.Lock()
		running, silent := k.resumed, k.silences > 0
		k.mu.Unlock()
		if !silent {
			return
		}
		select {
		case <-running:
		case <-k.closed:
			return
		}
	}
}

// send waits until there is no silence and calls write, which records an answer as given and sends it. No silence begins between
// the two: otherwise the checker would assume that the caller knows an answer that has not reached it.
func (k *link) send(write func()) {
	for {
		k.awaitOpen()
		k.sending.RLock()
		if k.mayWrite() {
			defer k.sending.RUnlock()
			write()
			return
		}
		k.sending.RUnlock()
	}
}

// mayWrite reports whether there is no silence, or the link is closed and nothing needs to wait.
func (k *link) mayWrite() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.closed:
		return true
	default:
		return k.silences == 0
	}
}

// isOpen reports whether bytes and new connections pass now.
func (k *link) isOpen() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silences == 0 && !k.down
}

// Accept implements net.Listener.
func (k *link) Accept() (net.Conn, error) {
	for {
		k.mu.Lock()
		l, listening := k.listener, k.listening
		k.mu.Unlock()
		c, err := l.AcceptTCP()
		if err != nil { // the link is cut, its engine has crashed, or it is closed
			k.awaitOpen()
			select {
			case <-k.closed:
				return nil, net.ErrClosed
			case <-listening:
			}
			sleepShortly()
			continue
		}
		conn := &linkConn{TCPConn: c, link: k}
		k.mu.Lock()
		k.conns[conn] = struct{}{}
		conn.dead.Store(rand.Float64() < k.deadShare)
		k.mu.Unlock()
		return conn, nil
	}
}

// sleepShortly keeps the accept loop from spinning while a new listener is opened.
func sleepShortly() { time.Sleep(time.Millisecond) }

// Close implements net.Listener: it closes the link for good.
func (k *link) Close() error {
	k.mu.Lock()
	select {
	case <-k.closed:
		k.mu.Unlock()
		return nil
	default:
	}
	close(k.closed)
	for _, c := range k.fillers {
		c.Close()
	}
	l := k.listener
	k.mu.Unlock()
	k.port.release()
	return l.Close()
}

// Addr implements net.Listener.
func (k *link) Addr() net.Addr { return k.listener.Addr() }

// resetAll resets every open connection, as a crashing process does.
func (k *link) resetAll() {
	k.mu.Lock()
	conns := make([]*linkConn, 0, len(k.conns))
	for c := range k.conns {
		conns = append(conns, c)
	}
	k.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// linkConn is an engine's side of one connection of a link.
type linkConn struct {
	*net.TCPConn
	link     *link
	wasReset atomic.Bool // reset by the engine's side
	dead     atomic.Bool // stays open, and passes nothing on either way any more
}

// Read reads from the connection and returns once there is no silence; from a dead one, once the caller has closed it.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.link.awaitOpen()
	if err == nil && c.dead.Load() {
		_, err = io.Copy(io.Discard, c.TCPConn)
		return 0, cmp.Or(err, io.EOF)
	}
	return n, err
}

// Write writes once there is no silence.
func (c *linkConn) Write(p []byte) (int, error) {
	c.link.awaitOpen()
	if c.dead.Load() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.TCPConn.Close()
}

func (c *linkConn) reset() {
	c.wasReset.Store(true)
	_ = c.SetLinger(0) // if this fails, Close still closes the connection, without a reset
	c.Close()
}

// States of a connection in the kernel, from its TCP header file.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// closedByCaller reports whether the caller has closed the connection or shut down its sending side, also while
// the link is silent and nothing is read.
func (c *linkConn) closedByCaller() bool {
	info, err := kernelInfo(c)
	return err != nil || info.State == tcpClose || info.State == tcpCloseWait
}

// lastArrival returns when the last byte received on the connection arrived.
func (c *linkConn) lastArrival(now time.Time) time.Time { return lastArrival(c, now) }
