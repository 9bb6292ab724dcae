package backlog

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

func newListener(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

func connect(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, 5*time.Second) }

// A late connect is no sign of a full queue. With the first connect that did not complete within 20 ms taken for one, 10 of
// 1,500 runs beside 24 busy processes failed: "fillers 0, queue 0 of 0, took 20.2 ms, then connect <nil>".
func TestFill_LateConnects(t *testing.T) {
	for late := range 4 {
		l := newListener(t)
		if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
		remaining := late
		fillers, err := fill(l, func(address string) (net.Conn, error) {
			if remaining > 0 {
				remaining--
				return nil, os.ErrDeadlineExceeded
			}
			return connect(address)
		})
		if err != nil {
			t.Fatal(err)
		}
		if full, err := Full(l); !full || err != nil {
			t.Errorf("%d late connects, %d fillers: full %v, %v", late, len(fillers), full, err)
		}
		var timeout net.Error
		if _, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("%d late connects: another connect ended with %v", late, err)
		}
		for _, c := range fillers {
			c.Close()
		}
	}
}

// An accept that is in progress as the deadline passes takes no filler: in 1,000 runs, the queue is full once it has ended.
func TestFill_AcceptUnderWay(t *testing.T) {
	for range 1000 {
		l := newListener(t)
		ended := make(chan struct{})
		begun := make(chan struct{})
		go func() {
			defer close(ended)
			close(begun)
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				c.Close()
			}
		}()
		<-begun
		if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
		fillers, err := Fill(l)
		if err != nil {
			t.Fatal(err)
		}
		<-ended
		if full, err := Full(l); !full || err != nil {
			t.Fatalf("full %v, %v", full, err)
		}
		for _, c := range fillers {
			c.Close()
		}
		l.Close()
	}
}

// Fill reports an error if connections are still accepted, or connects fail for another reason.
func TestFill_NotFull(t *testing.T) {
	open := newListener(t)
	c, err := connect(open.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := Fill(open); !errors.Is(err, ErrNotFull) {
		t.Errorf("listener without a passed deadline: %v", err)
	}
	past := newListener(t)
	if err := past.SetDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := fill(past, func(string) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }); !errors.Is(err, ErrNotFull) {
		t.Errorf("connects that never complete: %v", err)
	}
	if _, err := fill(past, func(string) (net.Conn, error) { return nil, os.ErrPermission }); !errors.Is(err, os.ErrPermission) {
		t.Errorf("connect without permission: %v", err)
	}
	past.Close()
	if _, err := Fill(past); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed listener: %v", err)
	}
}
