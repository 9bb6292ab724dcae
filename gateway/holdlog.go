package gateway

import (
	"log/slog"
	"sync"

	"ashwood.example/ashwood/internal/metrics"
	"ashwood.example/ashwood/internal/release"
)

// holdReason is why an engine may have come to hold something for a request.
type holdReason string

// The reasons.
const (
	holdAttempt     holdReason = "attempt"     // the request was written to it
	holdReservation holdReason = "reservation" // a place was asked for there
)

// unsettledEvery is the least time in ms between two log lines on holds that are released while
// an attempt is out: with many engines silent or slow there are many.
const unsettledEvery = 10000

// holdLog keeps what engines may hold for requests, for records and metrics alone: nothing is
// decided by it. It holds an entry until the hold ends, as holds and the release ledger do.
type holdLog struct {
	log     *slog.Logger
	clock   Clock
	metrics *metrics.Counters

	mu     sync.Mutex
	open   map[release.Key]openHold
	untold int     // holds released while an attempt was out, since the last line on them
	nextAt float64 // ms, from when on there may be another
}

type openHold struct {
	since  float64
	reason holdReason
}

func newHoldLog(log *slog.Logger, c Clock, set *metrics.Counters) *holdLog {
	return &holdLog{log: log, clock: c, metrics: set, open: map[release.Key]openHold{}}
}

// began notes that an engine may hold something for a request from now on.
func (l *holdLog) began(k release.Key, reason holdReason) {
	l.mu.Lock()
	_, known := l.open[k]
	if !known {
		l.open[k] = openHold{since: l.clock.Now(), reason: reason}
	}
	l.mu.Unlock()
	if !known {
		l.log.Debug("hold", "id", k.Request, "engine", k.Engine, "state", "began", "reason", string(reason))
	}
}

// ended notes that the engine holds nothing for the request any more, as far as can be known.
func (l *holdLog) ended(k release.Key, how metrics.HoldEnd) {
	now := l.clock.Now()
	l.mu.Lock()
	hold, known := l.open[k]
	delete(l.open, k)
	l.mu.Unlock()
	if known {
		l.metrics.HoldEnded(how)
		l.log.Debug("hold", "id", k.Request, "engine", k.Engine, "state", "ended", "reason", string(hold.reason),
			"why", how.String(), "ms", now-hold.since)
	}
}

// unsettled tells that holds are being released while an attempt for their request is out, of
// which its engine has given no sign yet. Lines are bounded in rate, and tell the count since the last.
func (l *holdLog) unsettled(k release.Key, holds int) {
	l.metrics.HoldsReleasedUnanswered(holds)
	now := l.clock.Now()
	l.mu.Lock()
	l.untold += holds
	count := l.untold
	due := now >= l.nextAt
	if due {
		l.nextAt, l.untold = now+unsettledEvery, 0
	}
	l.mu.Unlock()
	if due {
		l.log.Info("holds released while an attempt was out and unanswered", "count", count,
			"last_id", k.Request, "last_attempt_at", k.Engine)
	}
}

// figures are how many holds there are, and for how many ms the oldest has stood.
func (l *holdLog) figures() (open int, oldest float64) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, hold := range l.open {
		oldest = max(oldest, now-hold.since)
	}
	return len(l.open), oldest
}
