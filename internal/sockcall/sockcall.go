// Package sockcall makes system calls on the file descriptors of sockets that Go's network poller owns.
// It keeps a descriptor open during a call and knows nothing about the call itself, but for those that it offers.
package sockcall

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Do runs call with a socket's descriptor, which stays open until call returns. It returns the error of call, or the
// reason why call was not run.
func Do(socket syscall.Conn, call func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return DoRaw(raw, call)
}

// DoRaw is Do for a socket that is being opened (net.ListenConfig.Control and net.Dialer.Control).
func DoRaw(raw syscall.RawConn, call func(fd int) error) error {
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return err
	}
	return callErr
}

// PeerClosed reports whether the peer of a socket has closed its side or reset the connection. It reads nothing, so bytes
// that have come before may be unread.
func PeerClosed(fd int) bool {
	const events = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		switch _, err := unix.Poll(poll, 0); {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return false
		}
		return poll[0].Revents&events != 0
	}
}

// ConnPeerClosed is PeerClosed for a connection; false where that can't be determined. A connection that is closed on this side counts as
// closed.
func ConnPeerClosed(conn net.Conn) (closed bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	err := Do(socket, func(fd int) error {
		closed = PeerClosed(fd)
		return nil
	})
	return closed || errors.Is(err, net.ErrClosed)
}

// UnreadBytes returns the number of bytes that have arrived on a socket and have not been read.
func UnreadBytes(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.TIOCINQ) }

// Receive reads from a socket without waiting. The error is EAGAIN if nothing has arrived; 0 bytes without an error are the end.
func Receive(fd int, p []byte) (int, error) { return receive(fd, p, unix.MSG_DONTWAIT) }

// Discard is Receive for bytes that nobody reads. Linux throws the bytes of a TCP socket away without a copy (tcp(7));
// elsewhere they are copied to p, which several calls may share.
func Discard(fd int, p []byte) (int, error) {
	n, err := receive(fd, p, unix.MSG_DONTWAIT|unix.MSG_TRUNC)
	if errors.Is(err, unix.EINVAL) || errors.Is(err, unix.EOPNOTSUPP) {
		return Receive(fd, p)
	}
	return n, err
}

func receive(fd int, p []byte, flags int) (int, error) {
	for {
		n, _, err := unix.Recvfrom(fd, p, flags)
		if !errors.Is(err, unix.EINTR) {
			return max(n, 0), err
		}
	}
}
