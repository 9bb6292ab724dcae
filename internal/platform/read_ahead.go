package platform

import (
	"cmp"
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
	// disconnectCheckPause bounds what it costs to check a connection on which bytes keep arriving.
	disconnectCheckPause = 5 * time.Millisecond
)

// watchDisconnect calls onDisconnect once if the client closes its side before stopWatch. Pipelined
// requests do not hide the close, unless they are more than maxReadAheadExtended and the kernel's receive buffer hold.
func (c *clientConn) watchDisconnect(onDisconnect func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return
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
// has sent before. It always returns an error: io.EOF then, or the one that ended the wait.
func (c *clientConn) awaitDisconnect() error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	_, err = c.waitNetwork(func() (int, error) {
		// Read calls the function again whenever more has arrived.
		return 0, cmp.Or(raw.Read(func(fd uintptr) bool {
			if sockcall.PeerClosed(int(fd)) {
				return true
			}
			time.Sleep(disconnectCheckPause)
			return false
		}), io.EOF)
	})
	return err
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
	return n, nil
}

// checkPipelined is called after a complete answer whose head did not announce a close. It records
// whether the client has pipelined another request, which must be answered too.
func (c *clientConn) checkPipelined() {
	c.mu.Lock()
	pipelined := len(c.readAhead)
	c.mu.Unlock()
	c.pipelinedUnanswered.Store(pipelined > 0 || c.parsedLengthKnown && c.bytesRead > c.bytesParsed)
}

// isPipelined reports whether at least part of the request that has just been read arrived before the
// previous answer had ended.
func (c *clientConn) isPipelined() bool {
	if c.answerEnded { // it was read whole together with the previous request
		c.awaitNextRequest()
		return true
	}
	pipelined := c.usedReadAhead
	c.usedReadAhead = false
	return pipelined
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
