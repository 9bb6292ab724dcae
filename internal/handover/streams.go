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

// Times and bounds of what one process hands another.
const (
	handWait  = 300 * time.Millisecond // for one message to be taken by the kernel, or read from it
	handBytes = 64 << 10
	handFiles = 2
)

// socket gives this process's way to a member's socket. A path below /proc is short
// whatever the folder's own is: a socket's may have 107 bytes.
func (g *Group) socket(name string) (path string, done func(), err error) {
	dir, err := os.Open(g.dir)
	if err != nil {
		return "", nil, fmt.Errorf("handover: %w", err)
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s.sock", dir.Fd(), name), func() { dir.Close() }, nil
}

// Receive has other processes hand this one what they can't finish, until the returned
// function is called. Take gets a message and the connections that came with it, each
// call in a goroutine of its own; it owns the connections.
func (g *Group) Receive(take func(message []byte, conns []net.Conn)) (stop func(), err error) {
	path, done, err := g.socket(g.Self().Name)
	if err != nil {
		return nil, err
	}
	defer done()
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // the path is another's by then
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := l.AcceptUnix()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				time.Sleep(10 * time.Millisecond) // a full descriptor table, say
				continue
			}
			go func() {
				defer c.Close()
				if message, conns, err := receive(c); err == nil {
					take(message, conns)
				}
			}()
		}
	}()
	return func() {
		l.Close()
		<-ended
		os.Remove(g.dir + "/" + g.Self().Name + ".sock")
	}, nil
}

// readMessage reads one message by the connection's deadline, and once more behind it: a process that was stopped meanwhile
// finds its deadline over, though the message has come.
func readMessage(c *net.UnixConn, raw, oob []byte) (n, oobn, flags int, err error) {
	n, oobn, flags, _, err = c.ReadMsgUnix(raw, oob)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, oobn, flags, err
	}
	c.SetReadDeadline(time.Now().Add(handWait))
	n, oobn, flags, _, err = c.ReadMsgUnix(raw, oob)
	return n, oobn, flags, err
}

// receive reads one message. What is not as Send makes it is dropped, with its connections.
func receive(c *net.UnixConn) (message []byte, conns []net.Conn, err error) {
	c.SetReadDeadline(time.Now().Add(handWait))
	raw, oob := make([]byte, handBytes), make([]byte, unix.CmsgSpace(4*handFiles))
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
	if err == nil && (flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 || len(conns) != handFiles) {
		err = fmt.Errorf("handover: a message cut short, with %d connections", len(conns))
	}
	if err != nil {
		for _, nc := range conns {
			nc.Close()
		}
		return nil, nil, err
	}
	return raw[:n], conns, nil
}

// Send hands a member a message with two connections. After nil they are the member's, or
// closed with it if it ends before it reads: the caller closes its own without another
// byte. With an error nothing has left.
func (g *Group) Send(member string, message []byte, first, second syscall.Conn) error {
	path, done, err := g.socket(member)
	if err != nil {
		return err
	}
	defer done()
	d := net.Dialer{Timeout: handWait}
	nc, err := d.Dial("unixpacket", path)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer nc.Close()
	nc.SetWriteDeadline(time.Now().Add(handWait))
	one, err := first.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	two, err := second.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	sent := errors.New("handover: a connection is closed")
	_ = one.Control(func(a uintptr) {
		_ = two.Control(func(b uintptr) {
			_, _, sent = nc.(*net.UnixConn).WriteMsgUnix(message, unix.UnixRights(int(a), int(b)), nil)
		})
	})
	if sent != nil {
		return fmt.Errorf("handover: %w", sent)
	}
	return nil
}
