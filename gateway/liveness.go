package gateway

import (
	"log/slog"
	"sync"

	"ashwood.example/ashwood"
)

// silentAfter is how many calls in a row an engine leaves without an answer until operators are
// told that it is silent: a single one may be a lost packet or a busy moment.
const silentAfter = 3

// liveness tells operators which engines have gone silent, and when they are heard again. It
// decides nothing. It holds an entry for each engine that owes an answer, and for no other.
type liveness struct {
	log   *slog.Logger
	clock Clock

	mu      sync.Mutex
	engines map[ashwood.ServerID]*missedAnswers
}

// missedAnswers are the calls in a row that an engine has left without an answer.
type missedAnswers struct {
	count int
	since float64 // when the first of them ended
}

func newLiveness(log *slog.Logger, c Clock) *liveness {
	return &liveness{log: log, clock: c, engines: map[ashwood.ServerID]*missedAnswers{}}
}

// answered notes that an engine has sent something back.
func (l *liveness) answered(id ashwood.ServerID) {
	l.mu.Lock()
	missed := l.engines[id]
	delete(l.engines, id)
	l.mu.Unlock()
	if missed != nil && missed.count >= silentAfter {
		l.log.Info("engine heard again", "engine", id, "unanswered", missed.count, "silent_ms", l.clock.Now()-missed.since)
	}
}

// unanswered notes a call of some kind that an engine has left without an answer.
func (l *liveness) unanswered(id ashwood.ServerID, call string) {
	now := l.clock.Now()
	l.mu.Lock()
	missed := l.engines[id]
	if missed == nil {
		missed = &missedAnswers{since: now}
		l.engines[id] = missed
	}
	missed.count++
	count, since := missed.count, missed.since
	l.mu.Unlock()
	if count == silentAfter {
		l.log.Warn("engine silent", "engine", id, "unanswered", count, "ms", now-since, "last_call", call)
	}
}

// forget drops an engine that has left the list.
func (l *liveness) forget(id ashwood.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.engines, id)
}
