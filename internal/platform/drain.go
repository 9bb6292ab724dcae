package platform

import "time"

// This file closes idle connections and the listener while the server drains. For a process that is stopped
// (SIGSTOP) and then killed the system goes on completing handshakes, and taking bytes on connections that are open: nobody
// answers these requests. So nothing is left open for longer than clients are owed it.

// Idle connections are closed in steps, some in each, so that their clients do not all connect anew at once.
const (
	idleStep  = 10 * time.Millisecond
	idleSteps = 10
)

// Drain has each answer close its connection, so that clients go elsewhere, and closes idle
// connections until Shutdown.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.closeIdle.Do(func() { s.idle.Go(s.drainIdle) })
}

// drainIdle closes the connections that are idle behind an answer in the first steps, and later each as it becomes idle: an
// answer that left as the drain began has not announced a close.
func (s *Server) drainIdle() {
	ticker := time.NewTicker(idleStep)
	defer ticker.Stop()
	closed := 0
	for left := idleSteps; ; left = max(left-1, 1) {
		closed += s.in.closeServed(left)
		select {
		case <-s.stopping:
			s.log.Info("shutdown: idle connections are closed", "count", closed)
			return
		case <-ticker.C:
		}
	}
}

// isStopping tells whether Shutdown has begun.
func (s *Server) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// stopDraining ends the closing of idle connections.
func (s *Server) stopDraining() {
	s.closeIdle.Do(func() {})
	s.stopOnce.Do(func() { close(s.stopping) })
	s.idle.Wait()
}

// StopAccepting accepts the connections that wait and closes the listener; those that are open stay.
func (s *Server) StopAccepting() { s.in.stopAccepting() }

// stopAccepting returns once the listener is closed, also where another call closes it.
func (l *listener) stopAccepting() {
	l.stopOnce.Do(func() {
		l.takeQueue()
		if err := l.Close(); err != nil {
			l.log.Warn("shutdown: the listener was not closed", "err", err)
		}
	})
}

// closeServed closes one in so many of the connections that are idle behind an answer, those that have been for longest
// first, and counts them.
func (l *listener) closeServed(of int) (closed int) {
	var idle []*clientConn
	l.mu.Lock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); c.served && !c.reading.Load() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle[:(len(idle)+of-1)/of] {
		if c.closeUnread() {
			closed++
		}
	}
	return closed
}
