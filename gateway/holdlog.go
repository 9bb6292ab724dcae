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

// holdLog keeps what engines may hold for requests, for records and metrics alone: nothing is
// decided by it. It holds an entry until the hold ends, as holds and the release ledger do.
type holdLog struct {
	log     *slog.Logger
	clock   Clock
	metrics *metrics.Set

	mu   sync.Mutex
	open map[release.Key]openHold
}

type openHold struct {
	since  float64
	reason holdReason
}

func newHoldLog(log *slog.Logger, c Clock, set *metrics.Set) *holdLog {
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
