package platform

import (
	"net"
	"sync"
	"time"
)

// writeWait bounds one write to a client that does not read.
const writeWait = 10 * time.Second

// Listener wraps one so that its connections tell when their client leaves.
func Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c}, nil
}

// clientConn notices that its client closes while a request runs, which
// fasthttp does not look for: it reads ahead meanwhile, and gives what it has
// read to the next Read.
type clientConn struct {
	net.Conn

	mu    sync.Mutex
	ahead []byte
	quit  chan struct{} // closed when the watch has ended; nil without one
}

// watch calls gone once if the client closes its side before unwatch.
func (c *clientConn) watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 { // it has sent more already, so it is there
		return
	}
	c.Conn.SetReadDeadline(time.Time{})
	quit := make(chan struct{})
	c.quit = quit
	go func() {
		defer close(quit)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n > 0 {
			c.mu.Lock()
			c.ahead = append(c.ahead, b[0])
			c.mu.Unlock()
			return
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return // unwatch
		}
		gone()
	}()
}

// unwatch ends the watch, so that the connection can be read again.
func (c *clientConn) unwatch() {
	c.mu.Lock()
	quit := c.quit
	c.quit = nil
	c.mu.Unlock()
	if quit == nil {
		return
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-quit
	c.Conn.SetReadDeadline(time.Time{})
}

// Read gives first what the watch has read.
func (c *clientConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	return c.Conn.Read(p)
}

// Write gives up on a client that does not read.
func (c *clientConn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(writeWait))
	return c.Conn.Write(p)
}
