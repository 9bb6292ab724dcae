package emulator

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func newTestListener(t *testing.T) *gatedListener {
	t.Helper()
	g, err := newGatedListener("127.83.0.1", func() error { return nil }, func() {}, func([]byte) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { g.Close() })
	go func() { // echoes each connection
		for {
			c, err := g.Accept()
			if err != nil {
				return
			}
			go io.Copy(struct{ io.Writer }{c}, struct{ io.Reader }{c})
		}
	}()
	return g
}

func dialListener(t *testing.T, g *gatedListener) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", g.addr, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func echoByte(c net.Conn, within time.Duration) error {
	c.SetDeadline(time.Now().Add(within))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestGatedListener_StopAndReopen(t *testing.T) {
	g := newTestListener(t)
	c := dialListener(t, g)
	if err := echoByte(c, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	g.stop()
	if err := echoByte(c, 5*time.Second); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Fatalf("open connection to a dead process: %v", err)
	}
	if _, err := net.DialTimeout("tcp", g.addr, 5*time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("connect to a dead process: %v", err)
	}
	if err := g.open(); err != nil {
		t.Fatal(err)
	}
	if err := echoByte(dialListener(t, g), 5*time.Second); err != nil {
		t.Fatal(err)
	}
}

func TestGatedListener_BlockAndReopen(t *testing.T) {
	g := newTestListener(t)
	c := dialListener(t, g)
	if err := echoByte(c, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if err := g.block(); err != nil {
		t.Fatal(err)
	}
	if err := echoByte(c, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("open connection to an unreachable machine: %v", err)
	}
	var timeout net.Error
	if _, err := net.DialTimeout("tcp", g.addr, 200*time.Millisecond); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("connect to an unreachable machine: %v", err)
	}
	if err := g.open(); err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("open connection after the machine is back: %v", err)
	}
	if err := echoByte(dialListener(t, g), 5*time.Second); err != nil {
		t.Fatal(err)
	}
}
