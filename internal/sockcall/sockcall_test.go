package sockcall

import (
	"errors"
	"net"
	"testing"
)

// Do returns the call's own error; on a closed socket it returns an error without running the call.
func TestDo_Errors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	socket := l.(*net.TCPListener)
	errCall := errors.New("the call failed")
	made := 0
	call := func(int) error {
		made++
		return errCall
	}
	if err := Do(socket, call); !errors.Is(err, errCall) || made != 1 {
		t.Errorf("%d calls, %v; want one call and its error", made, err)
	}
	l.Close()
	if err := Do(socket, call); !errors.Is(err, net.ErrClosed) || made != 1 {
		t.Errorf("on a closed socket: %d calls, %v", made, err)
	}
}
