package listen

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
)

// scriptedListener returns the errors in turn; nil stands for a connection.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (s *scriptedListener) Accept() (net.Conn, error) {
	err := s.errs[0]
	s.errs = s.errs[1:]
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

func TestRetryAccept_FailsOnlyAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := RetryAccept(&scriptedListener{errs: []error{
			syscall.ECONNABORTED, syscall.ENFILE, &net.OpError{Op: "accept", Err: syscall.ENETDOWN}, nil, syscall.EPERM, net.ErrClosed,
		}}, slog.New(slog.DiscardHandler))
		if c, err := l.Accept(); c == nil || err != nil {
			t.Errorf("after temporary errors: %v, %v", c, err)
		}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("after close: %v", err)
		}
	})
}
