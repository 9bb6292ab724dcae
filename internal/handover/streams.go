package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of a handover message.
const (
	messageTimeout  = 300 * time.Millisecond // for connecting, for writing and for reading one message
	maxMessageBytes = 64 << 10
	connsPerMessage = 2
)

// socketPath returns a path to a member's socket that is valid in this process until done is
// called. A path below /proc is short however long the directory's own path is; a socket's path
// is limited to 107 bytes.
func (g *Group) socketPath(name string) (path string, done func(), err error) {
	dir, err := os.Open(g.dir)
	if err != nil {
		return "", nil, fmt.Errorf("handover: %w", err)
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s.sock", dir.Fd(), name), func() { dir.Close() }, nil
}

// Receive accepts what other processes hand over because they can't finish it, until stop is
// called. handle gets each message with its connections, in a goroutine of its own; it owns
// the connections.
func (g *Group) Receive(handle func(message []byte, conns []net.Conn)) (stop func(), err error) {
	path, done, err := g.socketPath(g.Self().Name)
	if err != nil {
		return nil, err
	}
	defer done()
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the descriptor in the path may belong to something else
	acceptEnded := make(chan struct{})
	go func() {
		defer close(acceptEnded)
		for {
			c, err := l.AcceptUnix()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				time.Sleep(10 * time.Millisecond) // for example when the descriptor table is full
				continue
			}
			go func() {
				defer c.Close()
				if message, conns, err := receiveMessage(c); err == nil {
					handle(message, conns)
				}
			}()
		}
	}()
	return func() {
		l.Close()
		<-acceptEnded
		os.Remove(g.dir + "/" + g.Self().Name + ".sock")
	}, nil
}

// readMessage reads one message before the connection's deadline, and tries once more after it: a process that was stopped
// meanwhile finds its deadline passed although the message has arrived.
func readMessage(c *net.UnixConn, raw, oob []byte) (n, oobn, flags int, err error) {
	n, oobn, flags, _, err = c.ReadMsgUnix(raw, oob)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, oobn, flags, err
	}
	c.SetReadDeadline(time.Now().Add(messageTimeout))
	n, oobn, flags, _, err = c.ReadMsgUnix(raw, oob)
	return n, oobn, flags, err
}

// receiveMessage reads one message. A message that is not in the form written by Send is dropped and its connections are closed.
func receiveMessage(c *net.UnixConn) (message []byte, conns []net.Conn, err error) {
	c.SetReadDeadline(time.Now().Add(messageTimeout))
	raw, oob := make([]byte, maxMessageBytes), make([]byte, unix.CmsgSpace(4*connsPerMessage))
	n, oobn, flags, err := readMessage(c, raw, oob)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	var fds []int
	controls, err := unix.ParseSocketControlMessage(oob[:oobn])
	for _, m := range controls {
		some, e := unix.ParseUnixRights(&m)
		fds, err = append(fds, some...), errors.Join(err, e)
	}
	for _, fd := range fds {
		f := os.NewFile(uintptr(fd), "handed over")
		nc, e := net.FileConn(f)
		f.Close()
		if err = errors.Join(err, e); e == nil {
			conns = append(conns, nc)
		}
	}
	if err == nil && (flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 || len(conns) != connsPerMessage) {
		err = fmt.Errorf("handover: message truncated or with the wrong number of connections (%d)", len(conns))
	}
	if err != nil {
		for _, nc := range conns {
			nc.Close()
		}
		return nil, nil, err
	}
	return raw[:n], conns, nil
}

// Send hands a message and two connections over to a member. After a nil error the connections
// belong to the member, or are closed with it if it ends before it reads the message: the caller
// closes its own descriptors without sending another byte. After an error nothing was sent.
func (g *Group) Send(member string, message []byte, first, second syscall.Conn) error {
	path, done, err := g.socketPath(member)
	if err != nil {
		return err
	}
	defer done()
	d := net.Dialer{Timeout: messageTimeout}
	nc, err := d.Dial("unixpacket", path)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer nc.Close()
	nc.SetWriteDeadline(time.Now().Add(messageTimeout))
	one, err := first.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	two, err := second.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	sendErr := errors.New("handover: connection is closed")
	_ = one.Control(func(a uintptr) {
		_ = two.Control(func(b uintptr) {
			_, _, sendErr = nc.(*net.UnixConn).WriteMsgUnix(message, unix.UnixRights(int(a), int(b)), nil)
		})
	})
	if sendErr != nil {
		return fmt.Errorf("handover: %w", sendErr)
	}
	return nil
}
