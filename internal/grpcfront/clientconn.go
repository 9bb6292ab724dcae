package grpcfront

import (
	"net"

	"ashwood.example/ashwood/internal/sockcall"
)

// clientConn is a client's connection, whose received bytes are counted while it has unfinished calls.
type clientConn struct {
	net.Conn
	tracker *callTracker

	// Guarded by tracker.mu:
	unfinished map[*clientCall]struct{}
	received   int64 // bytes for its unfinished calls
	pace       connPace
}

// connAddr is the remote address of a clientConn. The library passes it to the calls on the connection.
type connAddr struct {
	net.Addr
	conn *clientConn
}

// RemoteAddr returns a connAddr.
func (c *clientConn) RemoteAddr() net.Addr { return connAddr{c.Conn.RemoteAddr(), c} }

func (c *clientConn) Read(p []byte) (int, error) {
	c.tracker.awaitEvicted()
	n, err := c.Conn.Read(p)
	c.tracker.countReceived(c, int64(n))
	return n, err
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
