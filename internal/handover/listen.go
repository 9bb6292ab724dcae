package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"ashwood.example/ashwood/internal/sockcall"
)

// Listen opens a listener whose address a newer process can share.
func Listen(addr string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		err := sockcall.DoRaw(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		// Without the option, the address can't be shared, but this process can still serve it.
		if errors.Is(err, unix.ENOPROTOOPT) || errors.Is(err, unix.EOPNOTSUPP) {
			return nil
		}
		return err
	}}
	cfg.SetMultipathTCP(false) // enabled by default, but a reuseport group of MPTCP listeners accepts no BPF program
	l, err := cfg.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// Steer directs all new connections to the listener that opened last, out of the given number
// of listeners on its address. The others keep the connections that they have. The kernel numbers
// the listeners in the order of their opening. Once the selected one is closed, it spreads
// connections over the remaining ones.
func Steer(l net.Listener, listeners int) error {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return fmt.Errorf("handover: listener %T has no file descriptor", l)
	}
	const returns = unix.BPF_RET | unix.BPF_K
	program := []unix.SockFilter{{Code: returns, K: uint32(listeners - 1)}}
	err := sockcall.Do(sc, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err != nil {
		return fmt.Errorf("handover: steering new connections to the last listener: %w", err)
	}
	return nil
}
