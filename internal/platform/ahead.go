package platform

import (
	"fmt"
	"net"
	"time"
)

// This file reads what clients send while a request of theirs runs: a client that has left is
// seen behind whatever it has sent ahead, and the bytes go to the next read.

// Bounds of what is read ahead. Behind more, a client's leaving is seen only when it is written to.
const (
	aheadMost    = 16 << 10            // bytes that each connection may hold; messages to another process take them too
	aheadFar     = aheadMost + maxBody // where the listener has room: a whole request of the largest size
	aheadFarRoom = 4 << 20             // for all connections of a listener beyond aheadMost
)

// watch calls gone once if the client closes its side before unwatch. Requests that it has
// sent ahead do not hide that.
func (c *clientConn) watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut || !c.mayReadAhead() {
		return
	}
	c.Conn.SetReadDeadline(time.Time{})
	quit := make(chan struct{})
	c.quit = quit
	go func() {
		defer close(quit)
		var b [512]byte
		for {
			n, err := c.receive(b[:])
			c.mu.Lock()
			c.ahead = append(c.ahead, b[:n]...)
			full := !c.mayReadAhead()
			ne, ok := err.(net.Error)
			timeout := ok && ne.Timeout() // unwatch
			c.mu.Unlock()
			if err != nil && !timeout {
				gone()
			}
			if err != nil || full {
				return
			}
		}
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
	c.readUntil(time.Unix(1, 0))
	<-quit
	c.readUntil(time.Time{})
}

// Read gives first what the watch has read.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.ended {
		c.again()
		if c.l.isStopped() { // who closed idle connections has not seen this one
			c.closeUnread()
		}
	}
	c.mu.Lock()
	n := copy(p, c.ahead)
	c.fromAhead = c.fromAhead || n > 0
	c.ahead = c.ahead[n:]
	c.lend()
	c.mu.Unlock()
	if n == 0 {
		var err error
		if n, err = c.receive(p); err != nil {
			return n, err
		}
	}
	c.heard()
	c.got += n
	return n, nil
}

// finish tells that an answer has been passed on whole whose head did not say that the
// connection closes behind it: what its client has sent ahead is owed an answer too.
func (c *clientConn) finish() {
	c.mu.Lock()
	ahead := len(c.ahead)
	c.mu.Unlock()
	c.owes.Store(ahead > 0 || c.counted && c.got > c.taken)
}

// sentAhead tells whether the request that has just been read came, or a part of it, before the answer ahead of it had ended.
func (c *clientConn) sentAhead() bool {
	if c.ended { // it was read whole with the one before
		c.again()
		return true
	}
	ahead := c.fromAhead
	c.fromAhead = false
	return ahead
}

// sentAheadRefusal is the answer to a request that was sent ahead on a connection that closes.
var sentAheadRefusal = []byte(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"+
	"Content-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s", len(refusedText), refusedText))

// refuseSentAhead refuses what was sent ahead and will not be read as a request any more.
func (c *clientConn) refuseSentAhead() {
	if c.owes.Swap(false) {
		// Who does not take it has left, or sees the connection's end.
		_, _ = c.Write(sentAheadRefusal)
	}
}

// mayReadAhead tells whether there is room for more. The connection's lock is held.
func (c *clientConn) mayReadAhead() bool {
	c.lend()
	return len(c.ahead) < aheadMost || len(c.ahead) < aheadFar && c.l.lent.Load() < aheadFarRoom
}

// lend books what the connection holds beyond its own room. The connection's lock is held.
func (c *clientConn) lend() {
	far := int64(max(len(c.ahead)-aheadMost, 0))
	if c.shut { // what it holds goes with it
		far = 0
	}
	c.l.lent.Add(far - c.lent.Swap(far))
}
