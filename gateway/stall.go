package gateway

import "sync"

// stallWatch cancels an answer that has stopped, while the next piece is awaited. The decision module may know
// that from other answers or from a probe. Without any evidence, the answer is cancelled once its next event has
// been awaited for stallTimeout, within the time that its client may wait: an engine may fall silent within an
// event as well as between two. An engine that hangs is not distinguished from an answer that has stopped then.
type stallWatch struct {
	answer   *stream
	since    float64 // ms of the clock, when the wait began
	timeout  float64 // ms from since
	oneEvent bool    // the answer has brought a single event

	mu        sync.Mutex
	stopped   bool
	stopTimer func() bool
}

// watchStall starts a watch for the wait that begins now, at since.
func (s *stream) watchStall(since float64) *stallWatch {
	w := &stallWatch{answer: s, since: since, timeout: stallTimeout - s.eventWait, oneEvent: s.pieceCount == 1}
	s.progress.advance(since) // the previous piece has just been passed on
	w.checkAfter(min(stallSuspectAfter, w.timeout))
	return w
}

// stop ends the watch: the piece has come.
func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.stopTimer()
}

func (w *stallWatch) checkAfter(ms float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopTimer = w.answer.gateway.clock.AfterFunc(ms, w.check)
	}
}

// check cancels the answer if it has stalled, and else schedules the next check.
func (w *stallWatch) check() {
	g := w.answer.gateway
	stalled, shouldProbe := g.router.AnswerStalled(
		w.answer.id, w.answer.attempt, w.answer.engine.ID, w.since, w.answer.progress.at(), w.oneEvent)
	remaining := w.timeout - (g.clock.Now() - w.since)
	if stalled || remaining <= 0 {
		w.answer.cancel(ErrStalled)
		return
	}
	w.checkAfter(min(stallCheckInterval, remaining)) // before the probe, so that whoever sees the probe can rely on the next check
	if shouldProbe {
		g.runInBackground(func() { g.probe(w.answer.engine) })
	}
}
