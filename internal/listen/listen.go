// Package listen keeps servers from ending because one connection could not be accepted: all
// that they have taken would end with them.
package listen

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// retryWait is between tries to accept, so that an error that lasts does not fill a core.
const retryWait = 10 * time.Millisecond

// Persistent gives a listener whose Accept fails only once it has been closed. Of errors in a
// row, the first is logged.
func Persistent(l net.Listener, log *slog.Logger) net.Listener { return &persistent{l, log} }

type persistent struct {
	net.Listener
	log *slog.Logger
}

// Accept is for net.Listener.
func (p *persistent) Accept() (net.Conn, error) {
	for failed := false; ; {
		c, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if !failed {
			failed = true
			p.log.Warn("a connection was not accepted", "err", err)
		}
		time.Sleep(retryWait)
	}
}
