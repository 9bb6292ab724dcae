package gateway

import (
	"log/slog"
	"sync"

	"ashwood.example/ashwood/internal/metrics"
	"ashwood.example/ashwood/internal/release"
)

// holdReason is why an engine may hold KV state or a reservation for a request.
type holdReason string

// The reasons of holds.
const (
	holdAttempt     holdReason = "attempt"     // the request was written to the engine
	holdReservation holdReason = "reservation" // the engine was asked for a reservation
)

// inFlightLogInterval is the minimum time in ms between two log lines on holds that are released while an
// attempt is in flight: with many silent or slow engines there are many such releases.
const inFlightLogInterval = 10000

// holdLog tracks what engines may hold for requests, for logs and metrics only: nothing is
// decided by it. It keeps an entry until the hold ends, as requestHolds and the release ledger do.
type holdLog struct {
	log     *slog.Logger
	clock   Clock
	metrics *metrics.Counters

	mu            sync.Mutex
	open          map[release.Key]openHold
	unloggedCount int     // holds released while an attempt was in flight, since the last log line
	nextLogAt     float64 // ms of the clock, earliest time of the next log line
}

// openHold is a hold that has not ended.
type openHold struct {
	since  float64
	reason holdReason
}

func newHoldLog(log *slog.Logger, clock Clock, counts *metrics.Counters) *holdLog {
	return &holdLog{log: log, clock: clock, metrics: counts, open: map[release.Key]openHold{}}
}

// began records that an engine may hold something for a request from now on.
func (l *holdLog) began(key release.Key, reason holdReason) {
	l.mu.Lock()
	_, known := l.open[key]
	if !known {
		l.open[key] = openHold{since: l.clock.Now(), reason: reason}
	}
	l.mu.Unlock()
	if !known {
		l.log.Debug("hold", "id", key.Request, "engine", key.Engine, "state", "began", "reason", string(reason))
	}
}

// ended records that the engine holds nothing for the request any more, as far as the gateway can know.
func (l *holdLog) ended(key release.Key, how metrics.HoldEnd) {
	now := l.clock.Now()
	l.mu.Lock()
	hold, known := l.open[key]
	delete(l.open, key)
	l.mu.Unlock()
	if known {
		l.metrics.HoldEnded(how)
		l.log.Debug("hold", "id", key.Request, "engine", key.Engine, "state", "ended", "reason", string(hold.reason),
			"why", how.String(), "ms", now-hold.since)
	}
}

// releasedWithAttemptInFlight records that holds are being released while an attempt of their request is in
// flight and its engine has given no sign of it yet. Log lines are rate-limited and report the count
// since the last one.
func (l *holdLog) releasedWithAttemptInFlight(attempt release.Key, holds int) {
	l.metrics.HoldsReleasedUnanswered(holds)
	now := l.clock.Now()
	l.mu.Lock()
	l.unloggedCount += holds
	count := l.unloggedCount
	logNow := now >= l.nextLogAt
	if logNow {
		l.nextLogAt, l.unloggedCount = now+inFlightLogInterval, 0
	}
	l.mu.Unlock()
	if logNow {
		l.log.Info("holds released while an attempt was in flight and unanswered", "count", count,
			"last_id", attempt.Request, "last_attempt_at", attempt.Engine)
	}
}

// gauges returns the number of open holds and the age of the oldest in ms.
func (l *holdLog) gauges() (open int, oldest float64) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, hold := range l.open {
		oldest = max(oldest, now-hold.since)
	}
	return len(l.open), oldest
}
