package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

	"ashwood.example/ashwood/internal/sockcall"
)

// port reserves a loopback address for a succession of processes or listeners: its socket is bound
// and does not listen, so it gets no connections, and no other program can take the address.
type port struct {
	addr string
	file *os.File
}

func reservePort() (*port, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	file := os.NewFile(uintptr(fd), "port")
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		file.Close()
		return nil, fmt.Errorf("soak: %w", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		file.Close()
		return nil, fmt.Errorf("soak: %w", err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("soak: %w", err)
	}
	return &port{addr: fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port), file: file}, nil
}

// listen opens a listener at the address.
func (p *port) listen() (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return sockcall.DoRaw(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	l, err := config.Listen(context.Background(), "tcp", p.addr)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	return l.(*net.TCPListener), nil
}

func (p *port) release() { p.file.Close() }
