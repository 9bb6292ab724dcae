package platform

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// hostConn is a client's connection of a host's own server, whose reader may not see a close: it reads a byte ahead at most, or nothing.
type hostConn struct {
	conn      net.Conn
	shared    bool        // by several requests at once: nothing may be taken from it
	dropped   atomic.Bool // what was sent ahead; the connection is to be closed behind the answer
	lastTaken time.Time   // when bytes were last dropped
}

// maxUnreadByHost is how many bytes may be unread for a close behind them to have arrived: a receive buffer has room for more.
const maxUnreadByHost = 64 << 10

// clientLeft reports whether the client has closed its side or reset the connection. What it has sent ahead is dropped where it is so
// much that a close behind it might have no room.
func (h *hostConn) clientLeft(ctx context.Context) bool {
	raw, err := rawConn(socketOf(h.conn))
	if err != nil {
		return false
	}
	return awaitQuiet(ctx, func() (time.Time, arrival) {
		closed, unread := inspect(raw)
		switch {
		case closed:
			return h.lastTaken, clientLeft
		case h.shared || unread <= maxUnreadByHost:
			return h.lastTaken, arrivedAll
		}
		h.dropped.Store(true)
		_, state := discardArrived(raw, make([]byte, discardBuffer), func() bool { return ctx.Err() != nil })
		h.lastTaken = time.Now()
		return h.lastTaken, state
	})
}

type connKey struct{}

// ConnContext gives the requests of a host's server access to their connection; it is for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// hostConnOf returns the connection of a request; nil where the host's server has no ConnContext.
func hostConnOf(r *http.Request) *hostConn {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return &hostConn{conn: conn, shared: r.ProtoMajor > 1}
}
