package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"ashwood.example/ashwood/internal/sockcall"
)

// This file takes what clients send while one of their requests runs: that is how a disconnect is
// detected even behind pipelined requests. The bytes go to the next Read. What is more than may be kept is
// dropped: a close can arrive only where there is room for all that the client has sent before it.

// Bounds of reading ahead.
const (
	maxReadAhead         = 16 << 10 // bytes that any connection may hold; a handover message has room for as many
	maxReadAheadExtended = 1 << 20  // while the listener's memory allows: a few requests of the largest size
	// maxUnread is how many bytes may wait in the kernel where the listener's memory allows no more reading ahead: its receive
	// buffer has room for them and a close behind. Beyond maxReadAheadExtended none may: how many make it full is not known.
	maxUnread     = 8 << 10
	receiveBuffer = 4 << 10 // bytes
	// disconnectCheckPause bounds what it costs to check a connection on which bytes keep arriving. Before an attempt it is
	// checked without waiting.
	disconnectCheckPause = 25 * time.Millisecond
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
	if c.pipelined && sockcall.ConnPeerClosed(socketOf(c.Conn)) { // before the request begins: it may have been sent ahead of the close
		onDisconnect()
	}
	c.Conn.SetReadDeadline(time.Time{})
	watch := &disconnectWatch{done: make(chan struct{})}
	c.watch = watch
	go func() {
		defer close(watch.done)
		err := c.awaitDisconnect(watch)
		for errors.Is(err, os.ErrDeadlineExceeded) && c.resumeWatch(watch) {
			err = c.awaitDisconnect(watch)
		}
		if !watch.stopped.Load() {
			onDisconnect()
		}
	}()
}

// resumeWatch removes a read deadline that was not set to stop the watch, and reports whether the watch goes on: a limit on reading
// requests may reach a connection just as its request begins.
func (c *clientConn) resumeWatch(watch *disconnectWatch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if watch.stopped.Load() {
		return false
	}
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// clientLeft reports whether the client has closed its side or reset the connection. It takes all that has arrived, as a
// close may stand behind that.
func (c *clientConn) clientLeft(ctx context.Context) bool {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return sockcall.ConnPeerClosed(socketOf(c.Conn))
	}
	return awaitQuiet(ctx, func() (lastTaken time.Time, state arrival) {
		return c.receiveArrived(raw, func() bool { return ctx.Err() != nil })
	})
}

// disconnectWatch is the watch of a connection during one request.
type disconnectWatch struct {
	stopped atomic.Bool
	done    chan struct{} // closed when it has ended
}

// awaitDisconnect takes what arrives until the client has closed its side or reset the connection, and returns io.EOF then, or
// the error that ended the wait.
func (c *clientConn) awaitDisconnect(watch *disconnectWatch) error {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return c.readUntilDisconnect()
	}
	for {
		switch _, state := c.receiveArrived(raw, watch.stopped.Load); state {
		case clientLeft:
			return io.EOF
		case arrivedMore:
			if watch.stopped.Load() {
				return os.ErrDeadlineExceeded
			}
			time.Sleep(disconnectCheckPause)
			continue
		}
		if c.hasDroppedAhead() {
			time.Sleep(disconnectCheckPause)
		}
		if err := c.awaitArrival(raw); err != nil {
			return err
		}
	}
}

// receiveArrived takes what has arrived, without waiting, until stopped, and returns when anything was last taken. It may be called by
// several goroutines at once.
func (c *clientConn) receiveArrived(raw syscall.RawConn, stopped func() bool) (lastTaken time.Time, state arrival) {
	c.receiving.Lock()
	defer c.receiving.Unlock()
	taken, state := c.takeArrived(raw, stopped)
	if taken > 0 {
		c.lastTaken = time.Now()
	}
	return c.lastTaken, state
}

// takeArrived is receiveArrived for a caller that holds c.receiving; it returns how many bytes it took.
func (c *clientConn) takeArrived(raw syscall.RawConn, stopped func() bool) (taken int, state arrival) {
	buffer := c.listener.receiveBuffers.Get().(*[receiveBuffer]byte)
	defer c.listener.receiveBuffers.Put(buffer)
	for c.mayKeepMore() {
		if stopped() {
			return taken, arrivedMore
		}
		n, state := receive(raw, func(fd int) (int, error) { return sockcall.Receive(fd, buffer[:]) })
		c.keepAhead(buffer[:n])
		if taken += n; n == 0 {
			return taken, state
		}
	}
	if !c.hasDroppedAhead() {
		if state := c.checkUnread(raw); state != arrivedMore {
			return taken, state
		}
		c.dropAhead()
	}
	n, state := discardArrived(raw, c.listener.discarded, stopped)
	return taken + n, state
}

// checkUnread reports whether more has arrived than may wait unread, or whether the client has left.
func (c *clientConn) checkUnread(raw syscall.RawConn) arrival {
	closed, unread := inspect(raw)
	switch {
	case closed:
		return clientLeft
	case unread > c.allowedUnread():
		return arrivedMore
	}
	return arrivedAll
}

// awaitArrival waits until there is something to take, or the client has left.
func (c *clientConn) awaitArrival(raw syscall.RawConn) error {
	allowed := 0
	if !c.mayKeepMore() && !c.hasDroppedAhead() {
		allowed = c.allowedUnread()
	}
	_, err := c.waitNetwork(func() (int, error) {
		// Read calls the function again whenever more has arrived.
		return 0, raw.Read(func(fd uintptr) bool {
			unread, err := sockcall.UnreadBytes(int(fd))
			return err != nil || unread > allowed || sockcall.PeerClosed(int(fd))
		})
	})
	return err
}

// readUntilDisconnect is awaitDisconnect for a connection that is more than a socket: it has to be read.
func (c *clientConn) readUntilDisconnect() error {
	var buffer [receiveBuffer]byte
	for {
		n, err := c.readNetwork(buffer[:])
		switch {
		case err != nil:
			return err
		case c.mayKeepMore():
			c.keepAhead(buffer[:n])
		default:
			c.dropAhead()
		}
	}
}

// mayKeepMore reports whether more may be read ahead.
func (c *clientConn) mayKeepMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.aheadDropped && c.canReadAhead()
}

// keepAhead keeps what has been read ahead.
func (c *clientConn) keepAhead(bytes []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(bytes) > 0 && !c.writeClosed {
		c.requestStarted.Store(true) // from now on an answer is due
	}
	c.readAhead = append(c.readAhead, bytes...)
	c.countReadAhead()
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

// dropAhead drops what the client has sent ahead. No request can be read from the connection any more.
func (c *clientConn) dropAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aheadDropped = true
	c.readAhead = nil
	c.countReadAhead()
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
	watch := c.watch
	c.watch = nil
	c.mu.Unlock()
	if watch == nil {
		return
	}
	watch.stopped.Store(true)
	c.limitRead(time.Unix(1, 0))
	<-watch.done
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
