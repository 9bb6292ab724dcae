package platform

import (
	"sync"
	"time"

	"ashwood.example/ashwood/internal/clock"
)

// silenceLimit makes reads from an engine fail once nothing has come for some time. An engine that writes slowly is
// not cut off; one that has stopped within its answer is.
type silenceLimit struct {
	clock   clock.Clock
	conn    *engineConn
	timeout float64 // ms

	mu     sync.Mutex
	waits  int         // number of waits that have begun; a timer of an earlier one does nothing
	cancel func() bool // stops the timer
}

// limitSilence limits how long the engine may be silent, until stop is called. A connection that has exceeded the
// limit can't be used any more. All calls must come from the goroutine that reads from the connection.
func (e *Engines) limitSilence(c *engineConn, timeout float64) (stop func()) {
	limit := &silenceLimit{clock: e.clock, conn: c, timeout: timeout}
	limit.restart()
	c.silence = limit
	return func() {
		c.silence = nil
		limit.stop()
	}
}

// restart begins a new wait: bytes have come.
func (l *silenceLimit) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel()
	}
	l.waits++
	wait := l.waits
	l.cancel = l.clock.AfterFunc(l.timeout, func() { l.expire(wait) })
}

// expire makes the read that is in progress fail, unless its wait has ended: the connection may be in other use then.
func (l *silenceLimit) expire(wait int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if wait == l.waits {
		l.conn.SetDeadline(time.Unix(1, 0))
	}
}

func (l *silenceLimit) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waits++
	l.cancel()
}

// Read reads what has come, and restarts the limit on the engine's silence.
func (c *engineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.silence != nil {
		c.silence.restart()
	}
	return n, err
}
