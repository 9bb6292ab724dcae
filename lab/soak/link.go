package soak

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ashwood.example/ashwood/lab/backlog"
)

// link is the address at which one gateway reaches one engine. It can be made silent in two
// ways: the peer's process is stopped (connections come up, bytes are acknowledged, nothing is
// answered), or the path is cut (connections stay open, new ones never come up). Either way all
// that was written is read once the link runs again, as with a real machine.
type link struct {
	addr string
	port *port

	sending sync.RWMutex // held while an answer leaves, which a silence does not cut short

	mu      sync.Mutex
	l       *net.TCPListener
	frozen  int           // silences that are on
	cuts    int           // of these, those in which no connection comes up
	running chan struct{} // closed while bytes pass
	fillers []net.Conn    // connections that keep the system's queue full
	conns   map[*linkConn]struct{}
	closed  chan struct{}
	up      chan struct{} // closed while the process listens
	down    bool          // it does not
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
	running := make(chan struct{})
	close(running)
	return &link{
		addr: p.addr, port: p, l: l, running: running, conns: map[*linkConn]struct{}{}, closed: make(chan struct{}), up: running,
	}, nil
}

// die is the end of the engine's process: connections are reset, new ones refused.
func (k *link) die() {
	k.mu.Lock()
	k.up, k.down = make(chan struct{}), true
	k.l.Close()
	k.mu.Unlock()
	k.resetAll()
}

// revive has the engine's process listen at its address again.
func (k *link) revive() error {
	l, err := k.port.listen()
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.l, k.down = l, false
	if k.cuts > 0 {
		err = k.fill()
	}
	close(k.up)
	return err
}

// freeze begins a silence; with cut, no connection comes up either.
func (k *link) freeze(cut bool) error {
	k.sending.Lock()
	defer k.sending.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.frozen++; k.frozen == 1 {
		k.running = make(chan struct{})
	}
	if cut {
		if k.cuts++; k.cuts == 1 && !k.down {
			return k.fill()
		}
	}
	return nil
}

// thaw ends a silence.
func (k *link) thaw(cut bool) (err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut {
		if k.cuts--; k.cuts == 0 {
			err = k.drain()
		}
	}
	if k.frozen--; k.frozen == 0 {
		close(k.running)
	}
	return err
}

// queueLength is how many connections the system keeps for an engine that does not accept them yet.
const queueLength = 512

// fill has no connection come up: nothing is accepted, and the system's queue is kept full.
func (k *link) fill() error {
	// The accept loop ends its call with a timeout and waits for the end of the cut.
	if err := k.l.SetDeadline(time.Unix(1, 0)); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	fillers, err := backlog.Fill(k.l)
	k.fillers = append(k.fillers, fillers...)
	return err
}

// drain lets connections come up again; a listener that has been closed meanwhile has none.
func (k *link) drain() error {
	for _, c := range k.fillers {
		c.Close()
	}
	k.fillers = nil
	if k.down {
		return nil
	}
	if err := backlog.SetLength(k.l, queueLength); err != nil {
		return err
	}
	return k.l.SetDeadline(time.Time{})
}

// pass waits until bytes pass.
func (k *link) pass() {
	for {
		k.mu.Lock()
		running, frozen := k.running, k.frozen > 0
		k.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-running:
		case <-k.closed:
			return
		}
	}
}

// send has something noted as sent and written once bytes pass. No silence begins between the two, or what is noted would
// be taken for known to a caller that it has not reached.
func (k *link) send(write func()) {
	for {
		k.pass()
		k.sending.RLock()
		if k.passes() {
			defer k.sending.RUnlock()
			write()
			return
		}
		k.sending.RUnlock()
	}
}

// passes tells whether bytes pass, or the link is closed and nothing waits any more.
func (k *link) passes() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.closed:
		return true
	default:
		return k.frozen == 0
	}
}

// open tells whether the link carries bytes and connections now.
func (k *link) open() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.frozen == 0 && !k.down
}

// Accept is for net/http.
func (k *link) Accept() (net.Conn, error) {
	for {
		k.mu.Lock()
		l, up := k.l, k.up
		k.mu.Unlock()
		c, err := l.AcceptTCP()
		if err != nil { // the link is cut, or its process has died, or it is closed for good
			k.pass()
			select {
			case <-k.closed:
				return nil, net.ErrClosed
			case <-up:
			}
			sleepShortly()
			continue
		}
		out := &linkConn{TCPConn: c, link: k}
		k.mu.Lock()
		k.conns[out] = struct{}{}
		k.mu.Unlock()
		return out, nil
	}
}

// sleepShortly keeps a loop from spinning while an address is taken again.
func sleepShortly() { time.Sleep(time.Millisecond) }

// Close ends the link for good.
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
	l := k.l
	k.mu.Unlock()
	k.port.release()
	return l.Close()
}

// Addr is for net/http.
func (k *link) Addr() net.Addr { return k.l.Addr() }

// resetAll resets every open connection, as a process that dies does.
func (k *link) resetAll() {
	k.mu.Lock()
	list := make([]*linkConn, 0, len(k.conns))
	for c := range k.conns {
		list = append(list, c)
	}
	k.mu.Unlock()
	for _, c := range list {
		c.reset()
	}
}

// linkConn is one connection of a link.
type linkConn struct {
	*net.TCPConn
	link    *link
	wasLost atomic.Bool // the engine's side has reset it
}

// Read gives what has come, once the link runs.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.link.pass()
	return n, err
}

// Write writes once the link runs.
func (c *linkConn) Write(p []byte) (int, error) {
	c.link.pass()
	return c.TCPConn.Write(p)
}

// Close ends the connection.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.TCPConn.Close()
}

func (c *linkConn) reset() {
	c.wasLost.Store(true)
	_ = c.SetLinger(0) // without it the close ends the connection all the same
	c.Close()
}

// States of a connection in the kernel, from its TCP header file.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// ended tells whether the caller has closed the connection or ended its sending, also while
// the link is silent and nobody reads.
func (c *linkConn) ended() bool {
	info, err := kernelInfo(c)
	return err != nil || info.State == tcpClose || info.State == tcpCloseWait
}

// arrived is the arrival of the last byte that has come.
func (c *linkConn) arrived(now time.Time) time.Time { return arrival(c, now) }
