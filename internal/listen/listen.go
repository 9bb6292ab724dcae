// Package listen wraps listeners so that a server does not end because one Accept failed: all
// requests in progress would end with it. It opens no listeners itself.
package listen

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// retryInterval is the pause after a failed Accept; without it, a lasting error would use a
// whole core.
const retryInterval = 10 * time.Millisecond

// RetryAccept returns a listener whose Accept fails only after the listener is closed. Of
// consecutive errors, the first is logged.
func RetryAccept(l net.Listener, log *slog.Logger) net.Listener { return &retryListener{l, log} }

type retryListener struct {
	net.Listener
	log *slog.Logger
}

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for logged := false; ; {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if !logged {
			logged = true
			l.log.Warn("accepting a connection failed, retrying", "err", err)
		}
		time.Sleep(retryInterval)
	}
}
