package platform

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"

	"ashwood.example/ashwood/internal/sockcall"
)

// This file empties the kernel's accept queue before a listener is closed: the close resets the
// connections that wait in it, with the requests that their clients have written. However often the
// queue is polled, a connection may complete its handshake between the last poll and the close. So the
// kernel is first made to drop new handshakes, and the last poll follows that.

// queueDrainTime is how long the connections in the accept queue are accepted at the end. If the process
// notices the end later than by queueDrainSlack, it was delayed and more connections have arrived.
const (
	queueDrainTime  = 20 * time.Millisecond
	queueDrainSlack = 10 * time.Millisecond
)

// handshakeTimeout is how long a handshake that began before new ones were dropped may take to
// complete. Clients that connect meanwhile get no reply, and are refused when they retry.
const handshakeTimeout = 5 * time.Millisecond

// deadlineListener is a listener whose Accept can be bounded.
type deadlineListener interface{ SetDeadline(time.Time) error }

// drainQueue accepts the connections that wait in the accept queue, and then ends Accept.
func (l *listener) drainQueue() {
	l.mu.Lock()
	inner, ok := l.Listener.(deadlineListener)
	l.queueDrained, l.queueDrainStart = make(chan struct{}), time.Now()
	l.mu.Unlock()
	if !ok || inner.SetDeadline(time.Now().Add(queueDrainTime)) != nil {
		return // it can't be bounded, or has been closed
	}
	select {
	case <-l.queueDrained:
	case <-time.After(lingerTimeout): // Accept waits for room
	}
}

// checkQueueEnd reports whether an error of Accept is the deadline that drainQueue has set, and whether
// Accept is to be retried nevertheless: the process noticed it late, or a connection has arrived since.
func (l *listener) checkQueueEnd(err error) (ended, retry bool) {
	l.mu.Lock()
	draining := l.queueDrained != nil && errors.Is(err, os.ErrDeadlineExceeded)
	late := time.Since(l.queueDrainStart) > queueDrainTime+queueDrainSlack
	l.mu.Unlock()
	switch {
	case !draining:
		return false, false
	case late && l.extendQueueDrain():
		return false, true
	case l.stopHandshakes() && l.connectionPending() && l.extendQueueDrain():
		return false, true
	}
	l.finishQueueDrain()
	return true, false
}

// queueIsEmpty reports whether new handshakes are dropped and all connections have been accepted from the
// queue, which ends Accept.
func (l *listener) queueIsEmpty() bool {
	l.mu.Lock()
	dropped := l.handshakesDropped
	l.mu.Unlock()
	if !dropped || l.connectionPending() && l.extendQueueDrain() {
		return false
	}
	l.finishQueueDrain()
	return true
}

// extendQueueDrain sets a new deadline for Accept at the end, and reports whether it could.
func (l *listener) extendQueueDrain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	inner, ok := l.Listener.(deadlineListener)
	if !ok || l.closed {
		return false
	}
	l.queueDrainStart = time.Now()
	return inner.SetDeadline(l.queueDrainStart.Add(queueDrainTime)) == nil
}

// finishQueueDrain notifies drainQueue that no more connections will be accepted.
func (l *listener) finishQueueDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.queueDrained)
	}
}

// stopHandshakes makes the kernel drop new handshakes, and reports whether this call did it first. On a
// system without socket filters, connections are accepted up to the last poll.
func (l *listener) stopHandshakes() bool {
	l.mu.Lock()
	already := l.handshakesDropped
	l.handshakesDropped = true
	l.mu.Unlock()
	if already {
		return false
	}
	if err := l.control(dropHandshakes); err != nil {
		l.log.Info("shutdown: new handshakes can't be dropped, the listener accepts connections until its close", "err", err)
	}
	return true
}

// Offset and flags of a TCP header, and the filter result that passes a whole packet.
const (
	flagsOffset = 13
	flagSYN     = 0x02
	flagACK     = 0x10
	allBytes    = 1<<32 - 1
)

// dropHandshakes makes the kernel drop SYN packets to a listening socket. All else passes: accepted
// connections inherit the filter, and handshakes that have begun must be able to complete.
func dropHandshakes(fd int) error {
	raw, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: flagsOffset, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: flagSYN | flagACK},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: flagSYN, SkipTrue: 1},
		bpf.RetConstant{Val: allBytes},
		bpf.RetConstant{Val: 0},
	})
	if err != nil {
		return fmt.Errorf("platform: socket filter: %w", err)
	}
	program := make([]unix.SockFilter, len(raw))
	for i, instruction := range raw {
		program[i] = unix.SockFilter{Code: instruction.Op, Jt: instruction.Jt, Jf: instruction.Jf, K: instruction.K}
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}

// connectionPending reports whether a connection can be accepted now or within handshakeTimeout.
func (l *listener) connectionPending() (waits bool) {
	end := time.Now().Add(handshakeTimeout)
	err := l.control(func(fd int) error {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		for {
			left := max(time.Until(end).Milliseconds(), 0)
			n, err := unix.Poll(events, int(left))
			if !errors.Is(err, unix.EINTR) {
				waits = n > 0 && events[0].Revents&unix.POLLIN != 0
				return err
			}
		}
	})
	return err == nil && waits
}

// control calls a function with the descriptor of the listening socket.
func (l *listener) control(call func(fd int) error) error {
	l.mu.Lock()
	socket, ok := l.Listener.(syscall.Conn)
	l.mu.Unlock()
	if !ok {
		return errors.ErrUnsupported
	}
	return sockcall.Do(socket, call)
}
