// Package backlog keeps a listener from completing connects, as a machine that has become unreachable does: the kernel's
// accept queue is made short and kept full. Whether it is full is read from the kernel: a connect that does not complete in
// time may just be late on a busy machine. The caller ends this by closing the connections in the queue.
package backlog

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ashwood.example/ashwood/internal/sockcall"
)

// Limits of filling a queue.
const (
	connectTimeout = 20 * time.Millisecond // for one connect; one that takes longer is tried again
	maxTries       = 200
)

// ErrNotFull means that connects would still complete.
var ErrNotFull = errors.New("backlog: the accept queue could not be filled")

// dialFunc connects to an address.
type dialFunc func(address string) (net.Conn, error)

// Fill keeps connects from completing at a listener that no longer accepts: its deadline has passed. It returns the
// connections that fill the queue; the caller closes them to let connects complete again.
func Fill(l *net.TCPListener) (fillers []net.Conn, err error) {
	return fill(l, func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, connectTimeout) })
}

func fill(l *net.TCPListener, connect dialFunc) (fillers []net.Conn, err error) {
	if err := SetLength(l, 0); err != nil {
		return nil, err
	}
	if err := waitForAccept(l); err != nil {
		return nil, err
	}
	for range maxTries {
		full, err := Full(l)
		if err != nil || full {
			return fillers, err
		}
		c, err := connect(l.Addr().String())
		var timeout net.Error
		switch {
		case err == nil:
			fillers = append(fillers, c)
		case !errors.As(err, &timeout) || !timeout.Timeout():
			return fillers, fmt.Errorf("backlog: %w", err)
		}
	}
	return fillers, ErrNotFull
}

// waitForAccept waits for the end of a call to accept that was in progress when the deadline passed, and might take a
// filler out of the queue.
func waitForAccept(l *net.TCPListener) error {
	c, err := l.AcceptTCP() // accept calls run one at a time; this one fails at once, by the deadline
	var timeout net.Error
	switch {
	case err == nil:
		c.Close()
		return fmt.Errorf("%w: connections are still accepted", ErrNotFull)
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil
	}
	return fmt.Errorf("backlog: %w", err)
}

// SetLength sets how many connections may wait to be accepted; Linux allows one more than that.
func SetLength(l *net.TCPListener, length int) error {
	return control(l, func(fd int) error { return syscall.Listen(fd, length) })
}

// Full tells whether the kernel's accept queue is full.
func Full(l *net.TCPListener) (full bool, err error) {
	err = control(l, func(fd int) error {
		// For a listener, these two fields are the queue's present length and its limit.
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		full = err == nil && info.Unacked > info.Sacked
		return err
	})
	return full, err
}

func control(l *net.TCPListener, do func(fd int) error) error {
	if err := sockcall.Do(l, do); err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	return nil
}
