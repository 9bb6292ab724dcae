package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"ashwood.example/ashwood/internal/sockcall"
)

// This file reads what clients send while one of their requests runs: that is how a disconnect is
// detected even behind pipelined requests. The bytes go to the next Read. When no more may be read, the
// socket is asked for the disconnect instead.

// Bounds of reading ahead.
const (
	maxReadAhead         = 16 << 10 // bytes that any connection may hold; a handover message has room for as many
	maxReadAheadExtended = 1 << 20  // while the listener's memory allows: a few requests of the largest size
	// maxUnread is how many bytes may wait in the kernel where the listener's memory allows no more reading ahead: its receive
	// buffer has room for them and a close behind. Beyond maxReadAheadExtended none may: how many make it full is not known.
	maxUnread = 8 << 10
	// What a client has sent and closed behind fits into the buffers of both machines, and is dropped at full speed. Of more than
	// maxDroppedAtSpeed bytes, droppedPerPause are dropped in each disconnectCheckPause.
	maxDroppedAtSpeed = 48 << 20
	droppedPerPause   = 64 << 10
	dropBuffer        = 16 << 10 // bytes
	// disconnectCheckPause bounds what it costs to check a connection on which bytes keep arriving.
	disconnectCheckPause = 5 * time.Millisecond
)

// watchDisconnect calls onDisconnect once if the client closes its side before stopWatch. Pipelined
// requests do not hide the close: if they are more than may be read ahead and wait behind that, they are dropped, and the
// connection is closed behind the request that runs.
func (c *clientConn) watchDisconnect(onDisconnect func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return
	}
	if c.pipelined && sockcall.ConnPeerClosed(c.Conn) { // before the request begins: it may have been sent ahead of the close
		onDisconnect()
	}
	c.Conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	c.watchDone = done
	go func() {
		defer close(done)
		err := c.fillReadAhead()
		if err == nil {
			err = c.awaitDisconnect()
		}
		if err == nil {
			err = c.dropReadAhead()
		}
		netErr, ok := err.(net.Error)
		stopped := ok && netErr.Timeout() // by stopWatch
		if !stopped && !errors.Is(err, errors.ErrUnsupported) {
			onDisconnect()
		}
	}()
}

// fillReadAhead reads until no more may be read ahead, or reading fails.
func (c *clientConn) fillReadAhead() error {
	var buffer [512]byte
	for {
		c.mu.Lock()
		mayRead := c.canReadAhead()
		c.mu.Unlock()
		if !mayRead {
			return nil
		}
		n, err := c.readNetwork(buffer[:])
		c.mu.Lock()
		c.readAhead = append(c.readAhead, buffer[:n]...)
		c.countReadAhead()
		c.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// awaitDisconnect waits until the client has closed its side or reset the connection, without reading what it
// has sent before, and returns io.EOF then, or the error that ended the wait. It returns nil once so much is unread that
// a close could not arrive behind it.
func (c *clientConn) awaitDisconnect() error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	closed, allowed := false, c.allowedUnread()
	_, err = c.waitNetwork(func() (int, error) {
		// Read calls the function again whenever more has arrived.
		return 0, raw.Read(func(fd uintptr) bool {
			if closed = sockcall.PeerClosed(int(fd)); closed {
				return true
			}
			if unread, err := sockcall.UnreadBytes(int(fd)); err == nil && unread > allowed {
				return true
			}
			time.Sleep(disconnectCheckPause)
			return false
		})
	})
	if err == nil && closed {
		return io.EOF
	}
	return err
}

// allowedUnread returns how many bytes may wait in the kernel behind what has been read ahead.
func (c *clientConn) allowedUnread() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.readAhead) >= maxReadAheadExtended {
		return 0
	}
	return maxUnread
}

// dropReadAhead reads what the client sends and drops it, until the client has closed its side or reset the connection. No
// request can be read from the connection any more. It always returns an error.
func (c *clientConn) dropReadAhead() error {
	c.mu.Lock()
	c.aheadDropped = true
	c.readAhead = nil
	c.countReadAhead()
	c.mu.Unlock()
	var buffer [dropBuffer]byte
	for dropped, paused := 0, 0; ; {
		n, err := c.readNetwork(buffer[:])
		if err != nil {
			return err
		}
		dropped += n
		if dropped-paused > maxDroppedAtSpeed { // it is more than a client can have sent before it closed
			time.Sleep(disconnectCheckPause)
			paused += droppedPerPause
		}
	}
}

// hasDroppedAhead reports whether a part of what the client has sent ahead was dropped, so that the connection is to be closed.
func (c *clientConn) hasDroppedAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aheadDropped
}

// stopWatch ends the watch, so that the connection can be read again.
func (c *clientConn) stopWatch() {
	c.mu.Lock()
	done := c.watchDone
	c.watchDone = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	c.limitRead(time.Unix(1, 0))
	<-done
	c.limitRead(time.Time{})
}

// Read returns first what the watch has read ahead.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.answerEnded {
		c.awaitNextRequest()
		if c.listener.isClosingIdle() { // closeWaiting did not see this connection
			c.closeIfNoRequest()
		}
	}
	c.mu.Lock()
	if c.aheadDropped {
		c.mu.Unlock()
		return 0, io.EOF
	}
	n := copy(p, c.readAhead)
	c.usedReadAhead = c.usedReadAhead || n > 0
	c.readAhead = c.readAhead[n:]
	c.countReadAhead()
	c.mu.Unlock()
	if n == 0 {
		var err error
		if n, err = c.readNetwork(p); err != nil {
			return n, err
		}
	}
	c.recordRead()
	c.bytesRead += n
	if c.head.read(p[:n]) {
		return 0, errTooManyFields
	}
	return n, nil
}

// checkPipelined is called after a complete answer whose head did not announce a close. It records
// whether the client has pipelined another request, which must be answered too.
func (c *clientConn) checkPipelined() {
	c.mu.Lock()
	pipelined := len(c.readAhead) > 0 || c.aheadDropped
	c.mu.Unlock()
	c.pipelinedUnanswered.Store(pipelined || c.parsedLengthKnown && c.bytesRead > c.bytesParsed)
}

// isPipelined reports whether at least part of the request that has just been read arrived before the
// previous answer had ended.
func (c *clientConn) isPipelined() bool {
	if c.answerEnded { // it was read whole together with the previous request
		c.awaitNextRequest()
		c.pipelined = true
		return true
	}
	c.pipelined = c.usedReadAhead
	c.usedReadAhead = false
	return c.pipelined
}

// pipelinedRefusal answers a pipelined request on a connection that closes.
var pipelinedRefusal = []byte(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"+
	"Content-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s", len(refusedText), refusedText))

// refusePipelined refuses a pipelined request that will not be read any more.
func (c *clientConn) refusePipelined() {
	if c.pipelinedUnanswered.Swap(false) {
		// On an error the client has left, or sees the end of the connection.
		_, _ = c.Write(pipelinedRefusal)
	}
}

// canReadAhead reports whether more may be read ahead. The connection's lock must be held.
func (c *clientConn) canReadAhead() bool {
	c.countReadAhead()
	return len(c.readAhead) < maxReadAhead || len(c.readAhead) < maxReadAheadExtended && c.listener.memory.mayReadAhead()
}

// countReadAhead counts what the connection has read ahead. The connection's lock must be held.
func (c *clientConn) countReadAhead() {
	held := int64(len(c.readAhead))
	if c.writeClosed { // its buffer is dropped with it
		held = 0
	}
	c.listener.memory.countReadAhead(c.countedAhead.Swap(held), held)
}
