package grpcfront

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"ashwood.example/ashwood/internal/sockcall"
)

// clientConn is a client's connection, whose received bytes are counted while it has unfinished calls. It knows how much of what
// has arrived has been handled: cancels and closes behind other frames take effect only then.
type clientConn struct {
	net.Conn
	tracker *callTracker

	// Guarded by tracker.mu:
	unfinished map[*clientCall]struct{}
	received   int64 // bytes for its unfinished calls
	pace       connPace

	progress readProgress
}

// readProgress is how far a connection has been read.
type readProgress struct {
	mu      sync.Mutex
	read    int64         // bytes
	handled int64         // bytes of them whose frames have taken effect
	changed chan struct{} // closed when handled grows; nil = nobody waits
}

// connAddr is the remote address of a clientConn. The library passes it to the calls on the connection.
type connAddr struct {
	net.Addr
	conn *clientConn
}

// RemoteAddr returns a connAddr.
func (c *clientConn) RemoteAddr() net.Addr { return connAddr{c.Conn.RemoteAddr(), c} }

// Read is called by the one goroutine that handles the connection's frames, once it has handled all that it got before.
func (c *clientConn) Read(p []byte) (int, error) {
	c.progress.handledAll()
	c.tracker.awaitEvicted()
	n, err := c.receive(p)
	c.tracker.countReceived(c, int64(n))
	return n, err
}

// receive waits for bytes and counts them in the same moment as it takes them from the socket.
func (c *clientConn) receive(p []byte) (n int, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok || len(p) == 0 {
		return c.Conn.Read(p)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var callErr error
	err = raw.Read(func(fd uintptr) bool {
		c.progress.mu.Lock()
		defer c.progress.mu.Unlock()
		n, callErr = sockcall.Receive(int(fd), p)
		c.progress.read += int64(n)
		return !errors.Is(callErr, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case callErr != nil:
		return 0, os.NewSyscallError("recv", callErr)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// handledAll records that all that was read has been handled.
func (p *readProgress) handledAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handled = p.read
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// awaitHandled waits until some bytes have been handled, or ctx ends.
func (p *readProgress) awaitHandled(ctx context.Context, bytes int64) {
	for {
		p.mu.Lock()
		if p.handled >= bytes {
			p.mu.Unlock()
			return
		}
		if p.changed == nil {
			p.changed = make(chan struct{})
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// maxUnhandled is how many bytes may be unread for a close or cancel behind them to have arrived: a receive buffer has room for more.
const maxUnhandled = 64 << 10

// hasLeft reports whether the client has closed its connection, or ended the call of callCtx by anything that it had sent when this was
// called. While its reader is behind, for example in a pause, this waits until ctx ends.
func (c *clientConn) hasLeft(ctx, callCtx context.Context) bool {
	for ctx.Err() == nil && callCtx.Err() == nil {
		closed, arrived, unread := c.arrived()
		if closed {
			return true
		}
		c.progress.awaitHandled(ctx, arrived)
		if unread <= maxUnhandled {
			break
		}
	}
	return callCtx.Err() != nil
}

// arrived returns whether the client's close has arrived, how many bytes have arrived in all, and how many of them are unread.
func (c *clientConn) arrived() (closed bool, bytes int64, unread int) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, 0, 0
	}
	err := sockcall.Do(socket, func(fd int) (err error) {
		c.progress.mu.Lock()
		defer c.progress.mu.Unlock()
		closed = sockcall.PeerClosed(fd)
		unread, err = sockcall.UnreadBytes(fd)
		bytes = c.progress.read + int64(unread)
		return err
	})
	return closed || errors.Is(err, net.ErrClosed), bytes, unread
}

// peerClosed reports whether the client has closed its side or reset the connection, whatever it has sent before.
func (c *clientConn) peerClosed() bool { return sockcall.ConnPeerClosed(c.Conn) }

// trackedListener returns its connections as *clientConn.
type trackedListener struct {
	net.Listener
	tracker *callTracker
}

func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, tracker: l.tracker, unfinished: map[*clientCall]struct{}{}, pace: newConnPace()}, nil
}

// memory returns the bytes counted for a connection's unfinished calls.
func (c *clientConn) memory() int64 { return c.received + callOverhead*int64(len(c.unfinished)) }
