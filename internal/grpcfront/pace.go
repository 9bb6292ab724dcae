package grpcfront

import (
	"time"

	"golang.org/x/time/rate"
)

// This file bounds how fast a client's calls are read. Refusals, errors, health checks and calls that are cancelled
// at once cost their client nothing, so that one client could take all of the processor. While a connection has had too
// many of them, no further call is read from it.

const (
	// quickCallsPerConn is how many calls a second may end without an engine's work on any connection, and as many at once.
	quickCallsPerConn = 20
	// quickCallsPerFront is how many more of them a second all connections may have.
	quickCallsPerFront = 500
	// maxReadPause in ms bounds the pause before the next call of a connection is read.
	maxReadPause = 1000.0
	// manyFieldsPause in ms is the pause behind a call with too much metadata, which costs most as it is parsed.
	manyFieldsPause = 100.0
	// closeCheckInterval in ms is how often a paused connection is checked for its client's close.
	closeCheckInterval = 50.0
)

// connPace is the pace of one connection's calls.
type connPace struct {
	quick       *rate.Limiter
	pausedUntil float64 // ms of the clock; guarded by callTracker.mu
}

func newConnPace() connPace {
	return connPace{quick: rate.NewLimiter(quickCallsPerConn, quickCallsPerConn)}
}

// limiterTime converts ms of the clock for the limiters.
func limiterTime(ms float64) time.Time { return time.UnixMicro(int64(ms * 1000)) }

// countQuickCall counts a call that ended without an engine's work. The caller holds t.mu.
func (t *callTracker) countQuickCall(conn *clientConn) {
	nowMs := t.clock.Now()
	now := limiterTime(nowMs)
	if conn.pace.quick.AllowN(now, 1) {
		return
	}
	reservation := t.quick.ReserveN(now, 1)
	pause := min(float64(reservation.DelayFrom(now))/float64(time.Millisecond), maxReadPause)
	if pause == maxReadPause {
		reservation.CancelAt(now)
	}
	conn.pace.pausedUntil = max(conn.pace.pausedUntil, nowMs+pause)
}

// pauseReading has the next call of a connection wait for some ms.
func (t *callTracker) pauseReading(conn *clientConn, pause float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn.pace.pausedUntil = max(conn.pace.pausedUntil, t.clock.Now()+pause)
}

// awaitPace waits until a further call of a connection may begin. It is called by the goroutine that reads from the
// connection, and reports whether the client is still there: calls that were sent before a close may be read behind it.
func (t *callTracker) awaitPace(conn *clientConn) (present bool) {
	t.mu.Lock()
	pause := conn.pace.pausedUntil - t.clock.Now()
	t.mu.Unlock()
	for pause > 0 && !conn.peerClosed() {
		step := min(pause, closeCheckInterval)
		over := make(chan struct{})
		t.clock.AfterFunc(step, func() { close(over) })
		<-over
		pause -= step
	}
	return !conn.peerClosed()
}
