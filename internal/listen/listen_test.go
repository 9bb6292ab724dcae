package listen

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
)

// script is a listener that gives errors, and is closed behind them.
type script struct {
	net.Listener
	errs []error
}

func (s *script) Accept() (net.Conn, error) {
	err := s.errs[0]
	s.errs = s.errs[1:]
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

func TestPersistent_EndsOnlyByItsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := Persistent(&script{errs: []error{
			syscall.ECONNABORTED, syscall.ENFILE, &net.OpError{Op: "accept", Err: syscall.ENETDOWN}, nil, syscall.EPERM, net.ErrClosed,
		}}, slog.New(slog.DiscardHandler))
		if c, err := l.Accept(); c == nil || err != nil {
			t.Errorf("behind errors that pass: %v, %v", c, err)
		}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("closed: %v", err)
		}
	})
}
