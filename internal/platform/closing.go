package platform

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"ashwood.example/ashwood/internal/sockcall"
)

// This file closes clients' connections in two steps (lingering close). Closing a connection with
// unread bytes resets it, and discards answers that its client has not read yet; and a client may be
// sending a request at the moment its idle connection is closed. So the write side is closed first: the
// client sees the end of the answer, or that its request was not read. What still arrives is read up
// to a bound and dropped, and then the connection is closed.
//
// Lock order: a connection's lock before its listener's.

// Bounds of the second step.
const (
	lingerTimeout       = 500 * time.Millisecond // for the client to close its side
	maxLingerBytes      = maxRequestBody         // that may still arrive; nothing of it reaches an engine
	maxClosingUnlimited = 64                     // connections closing at once, for a listener without a limit
)

// Close begins closing the connection; its descriptor is released in the second step. It may be called
// more than once, and by any goroutine.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	c.listener.markClosing(c)
	c.listener.mu.Unlock()
	c.refusePipelined()
	c.startClose()
	return nil
}

// startClose is the first step. If a goroutine is reading from the connection, the second step begins
// when that read ends.
func (c *clientConn) startClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCloseLocked()
}

// closeIfNoRequest closes the connection unless bytes of a request have arrived, and reports whether it
// did. Bytes that have arrived but are not read yet, because the reading goroutine is late or has not
// started, would be dropped with the connection.
func (c *clientConn) closeIfNoRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted.Load() || c.hasUnreadBytes() {
		return false
	}
	c.listener.mu.Lock()
	waiting := c.waitingElement != nil
	if waiting {
		c.listener.markClosing(c)
	}
	c.listener.mu.Unlock()
	if waiting {
		c.closeIdleLocked()
	}
	return waiting
}

// closeIdle closes a connection without an open request that is no longer counted as open.
func (c *clientConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdleLocked()
}

// closeIdleLocked is the first step for a connection that is no longer counted as open. The connection's
// lock must be held. If a goroutine is reading from it, the step is left until that read ends: it may
// have read part of a request, which must be answered. Such a connection is counted as open again.
func (c *clientConn) closeIdleLocked() {
	_, canHalfClose := c.Conn.(interface{ CloseWrite() error })
	switch {
	case c.requestStarted.Load() && !c.writeClosed:
		c.listener.unmarkClosing(c)
	case c.readInProgress && canHalfClose && !c.writeClosed:
		c.closePending = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	default:
		c.startCloseLocked()
	}
}

// startCloseLocked is the first step. The connection's lock must be held.
func (c *clientConn) startCloseLocked() {
	if c.writeClosed {
		if c.aborted { // the reading goroutine has returned
			c.listener.markClosed(c)
		}
		return
	}
	c.writeClosed = true
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	switch {
	case !ok || halfCloser.CloseWrite() != nil: // it can't be half-closed, or its client has reset it
		c.Conn.Close()
		c.listener.markClosed(c)
	case c.readInProgress:
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	default:
		go c.linger()
	}
}

// abort closes at once a connection that needs no further answer. Its descriptor counts as closed when the
// reading goroutine has returned and calls Close.
func (c *clientConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeClosed, c.aborted = true, true
	c.Conn.Close()
}

// readNetwork reads from the network, and returns nothing any more once the connection is closing.
func (c *clientConn) readNetwork(p []byte) (int, error) {
	return c.waitNetwork(func() (int, error) { return c.Conn.Read(p) })
}

// waitNetwork calls read, which waits for the client until the read deadline, and returns its result. A close of
// the connection interrupts it, and then nothing is returned any more.
func (c *clientConn) waitNetwork(read func() (int, error)) (int, error) {
	c.mu.Lock()
	if c.writeClosed && !c.aborted { // on an aborted connection the read itself fails
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.readInProgress = true
	c.mu.Unlock()
	n, err := read()
	c.mu.Lock()
	defer c.mu.Unlock()
	for n == 0 && c.cancelPendingClose() {
		c.mu.Unlock()
		n, err = read()
		c.mu.Lock()
	}
	c.readInProgress = false
	if c.finishPendingClose(n > 0) {
		return 0, net.ErrClosed
	}
	if !c.writeClosed {
		if n > 0 { // from now on an answer is due
			c.requestStarted.Store(true)
		}
		return n, err
	}
	if !c.aborted {
		go c.linger()
	}
	return 0, net.ErrClosed
}

// finishPendingClose makes a close that was requested during a read, unless the read returned bytes. It
// reports whether it has. The connection's lock must be held.
func (c *clientConn) finishPendingClose(gotBytes bool) bool {
	if !c.closePending {
		return false
	}
	c.closePending = false
	switch {
	case c.writeClosed:
		return false
	case gotBytes:
		c.listener.unmarkClosing(c)
		c.Conn.SetReadDeadline(c.readDeadline)
		return false
	}
	c.startCloseLocked()
	return true
}

// cancelPendingClose keeps open a connection whose reader was interrupted for a close, if bytes have
// arrived that it has not read. The connection's lock must be held.
func (c *clientConn) cancelPendingClose() bool {
	if !c.closePending || c.writeClosed || !c.hasUnreadBytes() {
		return false
	}
	c.closePending = false
	c.listener.unmarkClosing(c)
	return c.Conn.SetReadDeadline(c.readDeadline) == nil
}

// hasUnreadBytes reports whether the kernel holds unread bytes; false where that can't be determined.
func (c *clientConn) hasUnreadBytes() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	count := 0
	err := sockcall.Do(socket, func(fd int) (err error) {
		count, err = sockcall.UnreadBytes(fd)
		return err
	})
	return err == nil && count > 0
}

// limitRead sets the deadline for reading requests; the second step of a close has its own deadline.
func (c *clientConn) limitRead(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed && !c.aborted {
		return net.ErrClosed
	}
	if by := c.listener.readLimit.Load(); by != nil && t.After(*by) {
		t = *by
	}
	c.readDeadline = t
	if c.closePending { // its reader is being interrupted
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// linger is the second step.
func (c *clientConn) linger() {
	l := c.listener
	l.mu.Lock()
	c.lingeringElement = l.lingering.PushBack(c)
	l.mu.Unlock()
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		// Any error ends it: the client's close, or the timeout.
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	}
	c.Conn.Close()
	l.markClosed(c)
}

// closeWaiting closes the connections without a request, now and as they are accepted, and counts them.
func (l *listener) closeWaiting() (closed int) {
	l.mu.Lock()
	l.closingIdle = true
	l.mu.Unlock()
	for _, c := range l.waitingConns() {
		if c.closeIfNoRequest() {
			closed++
		}
	}
	return closed
}

// isClosingIdle reports whether connections without a request are closed.
func (l *listener) isClosingIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closingIdle
}

// expireReads ends the wait for requests that have been read in part: each gets its error.
func (l *listener) expireReads() {
	for _, c := range l.waitingConns() {
		// An error means that the connection has ended, so there is nothing left to do.
		_ = c.limitRead(time.Now())
	}
}

// waitingConns returns the connections from which no whole request has been read.
func (l *listener) waitingConns() (waiting []*clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		waiting = append(waiting, e.Value.(*clientConn))
	}
	return waiting
}

// markClosed records that a connection's descriptor is closed.
func (l *listener) markClosed(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	l.memory.countReadAhead(c.countedAhead.Swap(0), 0)
	if c.lingeringElement != nil {
		l.lingering.Remove(c.lingeringElement)
		c.lingeringElement = nil
	}
	l.closing--
	l.changed.Broadcast()
}

// maxClosing is how many closing connections may still hold a descriptor.
func (l *listener) maxClosing() int {
	if l.limit == 0 {
		return maxClosingUnlimited
	}
	return l.limit / closingDivisor
}

// abortOldestLingering ends the second step of the connection that has been in it longest, and reports
// whether there was one. Its descriptor counts as closed once its reading goroutine has returned.
func (l *listener) abortOldestLingering() bool {
	e := l.lingering.Front()
	if e == nil {
		return false
	}
	c := e.Value.(*clientConn)
	l.lingering.Remove(e)
	c.lingeringElement = nil
	c.Conn.Close()
	return true
}

// waitNoneOpen waits until no connection is open, not counting those in the second step of their close.
func (l *listener) waitNoneOpen(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.changed.Broadcast()
	})()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open > 0 && ctx.Err() == nil {
		l.changed.Wait()
	}
	return ctx.Err()
}

// waitAllClosed waits until the descriptors of all connections are closed, for at most lingerTimeout.
func (l *listener) waitAllClosed() {
	over := false
	stop := time.AfterFunc(lingerTimeout, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		over = true
		l.changed.Broadcast()
	})
	defer stop.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for !over && l.open+l.closing > 0 {
		l.changed.Wait()
	}
}
