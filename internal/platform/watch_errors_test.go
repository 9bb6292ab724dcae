package platform

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"

	"ashwood.example/ashwood/internal/sockcall"
)

// failingConn is a connection that is no socket. Its reads fail with an error.
type failingConn struct {
	net.Conn
	err error
}

func (c failingConn) Read([]byte) (int, error)        { return 0, c.err }
func (c failingConn) SetReadDeadline(time.Time) error { return nil }

// watched starts a watch of a connection and returns a channel that is closed once the client is taken to have left.
func watched(conn net.Conn) (c *clientConn, left chan struct{}) {
	c, left = &clientConn{Conn: conn, listener: newListener(nil, 0)}, make(chan struct{})
	c.watchDisconnect(func() { close(left) })
	return c, left
}

func waitLeft(t *testing.T, left chan struct{}) {
	t.Helper()
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		t.Error("the watch ended or went on without noticing that the client has left")
	}
}

// Guards against an ETIMEDOUT of a lost client's connection that is taken for the end of the watch.
func TestWatchDisconnect_ReadTimesOut(t *testing.T) {
	_, left := watched(failingConn{err: &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}})
	waitLeft(t, left)
}

// Guards against the same on a socket whose peer's machine is gone.
func TestWatchDisconnect_ClientMachineGone(t *testing.T) {
	near, far, err := connPair(t)
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	if err := sockcall.Do(far.(*net.TCPConn), dropAll); err != nil {
		t.Fatal(err)
	}
	near.(*net.TCPConn).SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1})
	c, left := watched(near)
	waitLeft(t, left)
	c.stopWatch()
	near.Close()
}

// dropAll makes the kernel drop all that arrives on a socket, as if its machine were gone.
func dropAll(fd int) error {
	raw, err := bpf.Assemble([]bpf.Instruction{bpf.RetConstant{Val: 0}})
	if err != nil {
		return err
	}
	program := []unix.SockFilter{{Code: raw[0].Op, K: raw[0].K}}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &program[0]})
}

// unlimitedReads is a socket that tells each time when its reads get no deadline.
type unlimitedReads struct {
	*net.TCPConn
	told chan struct{}
}

func (c unlimitedReads) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if t.IsZero() {
		c.told <- struct{}{}
	}
	return err
}

// Guards against a watch that ends at the deadline that the end of the process sets for requests that are being read.
func TestWatchDisconnect_OtherDeadline(t *testing.T) {
	near, far, err := connPair(t)
	if err != nil {
		t.Fatal(err)
	}
	socket := unlimitedReads{near.(*net.TCPConn), make(chan struct{}, 9)}
	c, left := watched(socket)
	<-socket.told
	if err := c.limitRead(time.Now()); err != nil { // as expireReads does, for a request that has begun since
		t.Fatal(err)
	}
	select {
	case <-socket.told:
	case <-time.After(10 * time.Second):
		t.Error("the watch does not go on")
	}
	far.Close()
	waitLeft(t, left)
	c.stopWatch()
}
