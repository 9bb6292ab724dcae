package platform

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"ashwood.example/ashwood/internal/sockcall"
)

// This file takes from a client's socket what has arrived, without waiting, to find out whether a close stands behind it.

const (
	discardBuffer = 64 << 10 // bytes; nothing is copied to it where the system can throw bytes away
	// maxReceivedAtOnce is how many bytes of one connection are dropped without a pause.
	maxReceivedAtOnce = 2 << 20
	// settleTime is how long what follows may take to arrive once there is room for it: a close may stand behind it.
	settleTime = 5 * time.Millisecond
)

// arrival is what is found on a client's socket.
type arrival int

const (
	arrivedAll  arrival = iota // nothing is left to take
	arrivedMore                // there may be more
	clientLeft                 // the client has closed its side or reset the connection
)

// awaitQuiet calls take until nobody has taken anything for settleTime, and reports whether the client has left. If ctx ends first there
// will be no attempt.
func awaitQuiet(ctx context.Context, take func() (lastTaken time.Time, state arrival)) (left bool) {
	for pause := settleTime; ; pause = min(2*pause, disconnectCheckPause) {
		lastTaken, state := take()
		switch {
		case state == clientLeft:
			return true
		case state == arrivedAll && time.Since(lastTaken) >= settleTime:
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
	}
}

// rawConn returns the socket of a connection that is no more than a socket.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// socketOf returns the connection below an encrypted one.
func socketOf(conn net.Conn) net.Conn {
	if outer, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return outer.NetConn()
	}
	return conn
}

// receive takes bytes from a socket without waiting. If it took none, the state says whether the client has left.
func receive(raw syscall.RawConn, take func(fd int) (int, error)) (n int, state arrival) {
	left := false
	err := sockcall.DoRaw(raw, func(fd int) (err error) {
		if left = sockcall.PeerClosed(fd); !left {
			n, err = take(fd)
		}
		return err
	})
	switch {
	case left, err != nil && !errors.Is(err, syscall.EAGAIN), err == nil && n == 0:
		return 0, clientLeft
	case err != nil:
		return 0, arrivedAll
	}
	return n, arrivedMore
}

// inspect returns whether the peer has closed its side, and how many bytes are unread.
func inspect(raw syscall.RawConn) (closed bool, unread int) {
	err := sockcall.DoRaw(raw, func(fd int) (err error) {
		closed = sockcall.PeerClosed(fd)
		unread, err = sockcall.UnreadBytes(fd)
		return err
	})
	return closed || errors.Is(err, net.ErrClosed), unread
}

// discardArrived throws away what has arrived, without waiting, until stopped, and returns how many bytes it took.
func discardArrived(raw syscall.RawConn, buffer []byte, stopped func() bool) (taken int, state arrival) {
	for taken < maxReceivedAtOnce && !stopped() {
		n, state := receive(raw, func(fd int) (int, error) { return sockcall.Discard(fd, buffer) })
		if taken += n; n == 0 {
			return taken, state
		}
	}
	return taken, arrivedMore
}
