package platform

import "time"

// This file closes idle connections and the listener while the server drains. If the process is stopped
// (SIGSTOP) and then killed, the kernel still completes handshakes and takes bytes on open connections,
// and nobody answers these requests. So nothing stays open longer than clients need it.

// Idle connections are closed in steps, so that their clients do not all reconnect at once.
const (
	idleCloseInterval = 10 * time.Millisecond
	idleCloseSteps    = 10
)

// Drain makes each answer close its connection, so that clients go elsewhere, and closes idle
// connections until Shutdown.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.idleCloserOnce.Do(func() { s.idleCloser.Go(s.closeIdleGradually) })
}

// closeIdleGradually closes the connections that are idle after an answer during the first steps, and later
// ones as they become idle: an answer written as the drain began did not announce a close.
func (s *Server) closeIdleGradually() {
	ticker := time.NewTicker(idleCloseInterval)
	defer ticker.Stop()
	closed := 0
	for divisor := idleCloseSteps; ; divisor = max(divisor-1, 1) {
		closed += s.listener.closeIdleFraction(divisor)
		select {
		case <-s.stopping:
			s.log.Info("shutdown: idle connections are closed", "count", closed)
			return
		case <-ticker.C:
		}
	}
}

// isStopping reports whether Shutdown has begun.
func (s *Server) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// stopClosingIdle ends closeIdleGradually.
func (s *Server) stopClosingIdle() {
	s.idleCloserOnce.Do(func() {})
	s.stopOnce.Do(func() { close(s.stopping) })
	s.idleCloser.Wait()
}

// StopAccepting accepts the connections that wait and closes the listener. Open connections stay.
func (s *Server) StopAccepting() { s.listener.stopAccepting() }

// stopAccepting returns once the listener is closed, also when another call closes it.
func (l *listener) stopAccepting() {
	l.stopOnce.Do(func() {
		l.drainQueue()
		if err := l.Close(); err != nil {
			l.log.Warn("shutdown: closing the listener failed", "err", err)
		}
	})
}

// closeIdleFraction closes one in divisor of the connections that are idle after an answer, the longest
// idle first, and counts them.
func (l *listener) closeIdleFraction(divisor int) (closed int) {
	var idle []*clientConn
	l.mu.Lock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); c.served && !c.requestStarted.Load() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle[:(len(idle)+divisor-1)/divisor] {
		if c.closeIfNoRequest() {
			closed++
		}
	}
	return closed
}
