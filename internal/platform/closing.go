package platform

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ashwood.example/ashwood/internal/sockcall"
)

// This file closes clients' connections in two steps. A close over bytes that have not been
// read resets the connection, and takes answers with it that its client has not read; and a
// request may be under way in the very moment in which a resting connection is closed. So
// the write side is shut first: the client sees the end of the answer, or that its request
// was not read. What still comes is read to a bound and dropped, and then it is closed.
//
// A connection's lock comes before its listener's.

// Bounds of the second step.
const (
	lingerTime  = 500 * time.Millisecond // for the client to close in turn
	lingerBytes = maxBody                // that may still come; none of it is sent on
	hostLingers = 64                     // at once, where a listener has no limit
)

// Close shuts the connection; its descriptor goes with the second step. It may be called
// again, and by others than who reads it.
func (c *clientConn) Close() error {
	c.l.mu.Lock()
	c.l.leave(c)
	c.l.mu.Unlock()
	c.refuseSentAhead()
	c.shutdown()
	return nil
}

// shutdown is the first step. Where somebody reads from the connection, the second is left
// to that moment in which the read ends.
func (c *clientConn) shutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutLocked()
}

// closeUnread closes the connection unless a byte of a request has come, and tells whether it has. What
// has come and is not read yet would be dropped with the connection: its reader is late, or has not begun.
func (c *clientConn) closeUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading.Load() || c.bytesWait() {
		return false
	}
	c.l.mu.Lock()
	waits := c.place != nil
	if waits {
		c.l.leave(c)
	}
	c.l.mu.Unlock()
	if waits {
		c.shutResting()
	}
	return waits
}

// closeResting closes a connection that has left the count without an open request.
func (c *clientConn) closeResting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutResting()
}

// shutResting is the first step for a connection that has left the count, with its lock held. Where somebody is reading from it, the
// step is left to that moment in which the read ends: it may have brought a request, which is owed an
// answer. Such a connection goes back into the count.
func (c *clientConn) shutResting() {
	_, half := c.Conn.(interface{ CloseWrite() error })
	switch {
	case c.reading.Load() && !c.shut:
		c.l.rejoin(c)
	case c.inRead && half && !c.shut:
		c.closeAsked = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	default:
		c.shutLocked()
	}
}

// shutLocked is the first step, with the connection's lock held.
func (c *clientConn) shutLocked() {
	if c.shut {
		if c.cutOff { // who reads it has woken
			c.l.forget(c)
		}
		return
	}
	c.shut = true
	half, ok := c.Conn.(interface{ CloseWrite() error })
	switch {
	case !ok || half.CloseWrite() != nil: // of another kind, or its client has reset it
		c.Conn.Close()
		c.l.forget(c)
	case c.inRead:
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	default:
		go c.linger()
	}
}

// cut closes a connection at once that owes nobody an answer. Its descriptor counts as gone
// when who reads it has woken, and closes it in turn.
func (c *clientConn) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut, c.cutOff = true, true
	c.Conn.Close()
}

// receive reads from the network, nothing any more once the connection is shut.
func (c *clientConn) receive(p []byte) (int, error) {
	c.mu.Lock()
	if c.shut && !c.cutOff { // of one that was cut off, the connection itself says so
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.inRead = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	for n == 0 && c.keepForBytes() {
		c.mu.Unlock()
		n, err = c.Conn.Read(p)
		c.mu.Lock()
	}
	c.inRead = false
	if c.endResting(n > 0) {
		return 0, net.ErrClosed
	}
	if !c.shut {
		if n > 0 { // from now on it is owed an answer
			c.reading.Store(true)
		}
		return n, err
	}
	if !c.cutOff {
		go c.linger()
	}
	return 0, net.ErrClosed
}

// endResting shuts a connection of which that has been asked during a read, unless this has brought something. The lock is held. It tells
// whether it has.
func (c *clientConn) endResting(brought bool) bool {
	if !c.closeAsked {
		return false
	}
	c.closeAsked = false
	switch {
	case c.shut:
		return false
	case brought:
		c.l.rejoin(c)
		c.Conn.SetReadDeadline(c.readBound)
		return false
	}
	c.shutLocked()
	return true
}

// keepForBytes has a connection that was to be closed go on, where its reader was woken for that and bytes
// have come that it has not seen. The lock is held.
func (c *clientConn) keepForBytes() bool {
	if !c.closeAsked || c.shut || !c.bytesWait() {
		return false
	}
	c.closeAsked = false
	c.l.rejoin(c)
	return c.Conn.SetReadDeadline(c.readBound) == nil
}

// bytesWait tells whether the system holds bytes that have not been read; false where it does not say.
func (c *clientConn) bytesWait() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	count := 0
	err := sockcall.Do(socket, func(fd int) (err error) {
		count, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	})
	return err == nil && count > 0
}

// readUntil bounds reads of requests; the second step has a bound of its own.
func (c *clientConn) readUntil(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut && !c.cutOff {
		return net.ErrClosed
	}
	if by := c.l.readBy.Load(); by != nil && t.After(*by) {
		t = *by
	}
	c.readBound = t
	if c.closeAsked { // its reader is being woken
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// linger is the second step.
func (c *clientConn) linger() {
	l := c.l
	l.mu.Lock()
	c.lingers = l.lingering.PushBack(c)
	l.mu.Unlock()
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// Any error is an end: the client's, or that of the time.
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
	}
	c.Conn.Close()
	l.forget(c)
}

// closeIdle closes the connections without a request, now and as they come, and counts them.
func (l *listener) closeIdle() (closed int) {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	for _, c := range l.withoutRequest() {
		if c.closeUnread() {
			closed++
		}
	}
	return closed
}

// isStopped tells whether connections without a request are closed.
func (l *listener) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// expire ends the wait for requests of which a part has been read: each gets its error.
func (l *listener) expire() {
	for _, c := range l.withoutRequest() {
		// It fails where the connection has ended, which is as well.
		_ = c.readUntil(time.Now())
	}
}

// withoutRequest gives the connections from which no whole request has been read.
func (l *listener) withoutRequest() (waiting []*clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		waiting = append(waiting, e.Value.(*clientConn))
	}
	return waiting
}

// forget tells that a connection's descriptor is gone.
func (l *listener) forget(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.gone {
		return
	}
	c.gone = true
	l.lent.Add(-c.lent.Swap(0))
	if c.lingers != nil {
		l.lingering.Remove(c.lingers)
		c.lingers = nil
	}
	l.closing--
	l.woken.Broadcast()
}

// closingRoom is how many connections may be closed and yet be there, each with its descriptor.
func (l *listener) closingRoom() int {
	if l.limit == 0 {
		return hostLingers
	}
	return l.limit / closingShare
}

// cutOldest ends the second step of the connection that has been in it for longest, and tells
// whether there was one. Its descriptor is gone once its reader has woken.
func (l *listener) cutOldest() bool {
	e := l.lingering.Front()
	if e == nil {
		return false
	}
	c := e.Value.(*clientConn)
	l.lingering.Remove(e)
	c.lingers = nil
	c.Conn.Close()
	return true
}

// waitOpen waits until no connection is open, but for those whose clients may still send.
func (l *listener) waitOpen(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.woken.Broadcast()
	})()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open > 0 && ctx.Err() == nil {
		l.woken.Wait()
	}
	return ctx.Err()
}

// wait waits until the descriptors of all connections are gone, for as long as a second step
// may take.
func (l *listener) wait() {
	over := false
	stop := time.AfterFunc(lingerTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		over = true
		l.woken.Broadcast()
	})
	defer stop.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for !over && l.open+l.closing > 0 {
		l.woken.Wait()
	}
}
