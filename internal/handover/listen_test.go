package handover

import (
	"net"
	"testing"
)

// With two listeners on an address, every new connection comes to the one that opened
// last; once that has gone, all come to the one that is left, and to a third that opens.
func TestConnectionsComeToTheListenerThatOpenedLast(t *testing.T) {
	var addr string
	open := func() (net.Listener, chan net.Conn) {
		l, err := Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		came := make(chan net.Conn, 99)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				came <- c
			}
		}()
		return l, came
	}
	addr = "127.0.0.1:0"
	first, old := open()
	addr = first.Addr().String()
	wantAll := func(where string, came chan net.Conn) {
		t.Helper()
		for range 40 {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			select {
			case s := <-came:
				defer s.Close()
			case <-t.Context().Done():
			}
		}
		if len(came) > 0 {
			t.Errorf("%s got more than there were", where)
		}
	}
	wantAll("the first, alone", old)
	second, mid := open()
	if err := Steer(second, 2); err != nil {
		t.Fatal(err)
	}
	wantAll("the second", mid)
	if len(old) > 0 {
		t.Errorf("the first got %d", len(old))
	}
	second.Close()
	wantAll("the first, again", old)
	third, last := open()
	if err := Steer(third, 2); err != nil {
		t.Fatal(err)
	}
	first.Close()
	wantAll("the third", last)
}
