package gateway

import (
	"log/slog"
	"sync"

	"ashwood.example/ashwood"
)

// silentThreshold is the number of unanswered calls in a row after which an engine is logged as
// silent: a single one may be due to a lost packet or a busy moment.
const silentThreshold = 3

// liveness logs which engines stop answering and when they answer again. It decides nothing.
// It keeps an entry only for engines that left their last call unanswered.
type liveness struct {
	log   *slog.Logger
	clock Clock

	mu      sync.Mutex
	engines map[ashwood.ServerID]*missedAnswers
}

// missedAnswers counts the calls in a row that an engine has not answered.
type missedAnswers struct {
	count int
	since float64 // when the first of them ended
}

func newLiveness(log *slog.Logger, clock Clock) *liveness {
	return &liveness{log: log, clock: clock, engines: map[ashwood.ServerID]*missedAnswers{}}
}

// answered records that an engine has sent something back.
func (l *liveness) answered(id ashwood.ServerID) {
	l.mu.Lock()
	missed := l.engines[id]
	delete(l.engines, id)
	l.mu.Unlock()
	if missed != nil && missed.count >= silentThreshold {
		l.log.Info("engine answers again", "engine", id, "unanswered", missed.count, "silent_ms", l.clock.Now()-missed.since)
	}
}

// unanswered records a call that an engine has not answered; call names its kind.
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
	if count == silentThreshold {
		l.log.Warn("engine silent", "engine", id, "unanswered", count, "ms", now-since, "last_call", call)
	}
}

// forget drops an engine that has left the membership.
func (l *liveness) forget(id ashwood.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.engines, id)
}
