package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"ashwood.example/ashwood/internal/metrics"
	"ashwood.example/ashwood/internal/reqlog"
)

// clientWatch knows whether the client of a request is still there.
type clientWatch struct {
	gateway *Gateway
	request *Request
	ctx     context.Context // ends when the client has left
	end     context.CancelCauseFunc
}

// watchClient starts to watch the client of a request. The end of ctx means that it has left.
func (g *Gateway) watchClient(ctx context.Context, request *Request) *clientWatch {
	watch := &clientWatch{gateway: g, request: request}
	watch.ctx, watch.end = context.WithCancelCause(ctx)
	return watch
}

// release ends the watch: the request has ended.
func (w *clientWatch) release() { w.end(nil) }

// presenceTimeout is how many ms a look at the client's connection may take, for example while the client goes on sending. An attempt
// is not made then: its engine must not seem slow for it.
const presenceTimeout = 100

// isPresent asks the connection whether the client is still there: its reader may not have run since. If the client has left, the
// request ends. It returns false if that can't be known within presenceTimeout, or before ctx ends.
func (w *clientWatch) isPresent(ctx context.Context) bool {
	if w.request.ClientLeft == nil || w.ctx.Err() != nil {
		return w.ctx.Err() == nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer w.gateway.clock.AfterFunc(presenceTimeout, cancel)()
	if w.request.ClientLeft(ctx) {
		w.end(ErrClientGone)
		w.log(reqlog.ClientLeft, "found before an attempt")
	} else if ctx.Err() != nil {
		w.log(reqlog.ClientUnknown, "it goes on sending, or its connection is read late")
	}
	return w.ctx.Err() == nil && ctx.Err() == nil
}

func (w *clientWatch) log(state reqlog.State, reason string) {
	reqlog.Write(w.gateway.log, reqlog.Change{ID: string(w.request.ID), Class: w.request.Class, State: state, Reason: reason})
}

// leftByItself reports whether the watched context has ended because the client left, and not because the caller gave the
// request up, for which it has a cause of its own.
func (w *clientWatch) leftByItself() bool {
	cause := context.Cause(w.ctx)
	return errors.Is(cause, ErrClientGone) || errors.Is(cause, context.Canceled) || errors.Is(cause, context.DeadlineExceeded)
}

// departureLogInterval is the minimum time in ms between two log lines on clients that left.
const departureLogInterval = 10000

// departureLog counts and logs clients that left before their answer had begun. It decides nothing.
type departureLog struct {
	log     *slog.Logger
	clock   Clock
	metrics *metrics.Counters

	mu            sync.Mutex
	unloggedCount int
	nextLogAt     float64 // ms of the clock
}

func newDepartureLog(log *slog.Logger, clock Clock, counts *metrics.Counters) *departureLog {
	return &departureLog{log: log, clock: clock, metrics: counts}
}

// record records that a request has ended, some ms after it was accepted, as its client had left. Log lines are rate-limited and
// report the count since the last one.
func (l *departureLog) record(request *Request, after float64) {
	l.metrics.ClientLeft(request.Class)
	now := l.clock.Now()
	l.mu.Lock()
	l.unloggedCount++
	count := l.unloggedCount
	logNow := now >= l.nextLogAt
	if logNow {
		l.nextLogAt, l.unloggedCount = now+departureLogInterval, 0
	}
	l.mu.Unlock()
	if logNow {
		l.log.Info("clients left before their answer", "count", count, "last_id", reqlog.Truncate(string(request.ID)), "last_after_ms", after)
	}
}
