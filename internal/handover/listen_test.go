package handover

import (
	"net"
	"testing"
)

// With two listeners on an address, every new connection goes to the one that opened last.
// Once that one is closed, all go to the remaining listener, and then to a third one that opens.
func TestSteer_NewestListener(t *testing.T) {
	var addr string
	open := func() (net.Listener, chan net.Conn) {
		l, err := Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		accepted := make(chan net.Conn, 99)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted <- c
			}
		}()
		return l, accepted
	}
	addr = "127.0.0.1:0"
	first, firstConns := open()
	addr = first.Addr().String()
	wantAll := func(where string, accepted chan net.Conn) {
		t.Helper()
		for range 40 {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			select {
			case s := <-accepted:
				defer s.Close()
			case <-t.Context().Done():
			}
		}
		if len(accepted) > 0 {
			t.Errorf("%s got more connections than were opened", where)
		}
	}
	wantAll("the first, alone", firstConns)
	second, secondConns := open()
	if err := Steer(second, 2); err != nil {
		t.Fatal(err)
	}
	wantAll("the second", secondConns)
	if len(firstConns) > 0 {
		t.Errorf("the first got %d connections, want 0", len(firstConns))
	}
	second.Close()
	wantAll("the first, again", firstConns)
	third, thirdConns := open()
	if err := Steer(third, 2); err != nil {
		t.Fatal(err)
	}
	first.Close()
	wantAll("the third", thirdConns)
}
