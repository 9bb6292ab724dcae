package main

import (
	"context"
	"math"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lifecycle"
	"ashwood.example/ashwood/router"
)

// Times of the heartbeat, in ms. A late heartbeat shows that the process did not run for a
// while: it was stopped (SIGSTOP) or got no CPU.
const (
	heartbeatInterval = 100.0
	// pauseThreshold is the time between two heartbeats beyond which the process counts as
	// paused. A shorter pause goes undetected and delays the notice of a signal by as much:
	// requests are then accepted for at most 650 ms after the signal, while those of the first
	// 700 ms are not held against a process that is killed.
	pauseThreshold = 150.0
	// signalDelay is how long after a pause no request is accepted: a signal that was sent
	// during the pause may not have been delivered yet. Delivery takes far less than 1 ms.
	signalDelay = 20.0
)

// shutdownNotice records when this process was asked to shut down.
//
// The platform counts from the moment at which it sends the signal. A paused process receives
// its signals late: one that arrives as a pause ends may have been sent at any time during the
// pause, so the start of the pause counts.
type shutdownNotice struct {
	context.Context // cancelled when the process is asked to shut down

	clock       clock.Clock
	mu          sync.Mutex
	lastBeat    float64
	pauseStart  float64 // the last heartbeat before the latest pause
	pauseEnd    float64 // the end of that pause; 0 = none yet
	signaledAt  float64 // when the signal counts as sent; +Inf = none yet
	stopTimer   func() bool
	subscribers []func() // called on a signal, before the context is cancelled
}

// watchSignals waits for SIGTERM or an interrupt until close is called.
func watchSignals(c clock.Clock) (n *shutdownNotice, close func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	n = newShutdownNotice(ctx, c)
	go func() {
		select {
		case <-signals:
			n.handleSignal(cancel)
		case <-ctx.Done():
		}
	}()
	return n, func() {
		signal.Stop(signals)
		cancel()
		n.close()
	}
}

// handleSignal records a signal and calls the subscribers before it cancels the context: a
// front must know its deadline before anything else reacts to the shutdown.
func (n *shutdownNotice) handleSignal(end context.CancelFunc) {
	for _, notify := range n.recordSignal() {
		notify()
	}
	end()
}

// newShutdownNotice starts the heartbeat. ctx is the context that is cancelled on a signal.
func newShutdownNotice(ctx context.Context, c clock.Clock) *shutdownNotice {
	n := &shutdownNotice{Context: ctx, clock: c, lastBeat: c.Now(), signaledAt: math.Inf(1)}
	n.stopTimer = c.AfterFunc(heartbeatInterval, n.heartbeat)
	return n
}

// heartbeat records that the process is running and schedules the next heartbeat.
func (n *shutdownNotice) heartbeat() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detectPause(n.clock.Now())
	if math.IsInf(n.signaledAt, 1) {
		n.stopTimer = n.clock.AfterFunc(heartbeatInterval, n.heartbeat)
	}
}

// detectPause records a pause that ended now, if the last heartbeat is too long ago.
func (n *shutdownNotice) detectPause(now float64) {
	if now-n.lastBeat > pauseThreshold {
		n.pauseStart, n.pauseEnd = n.lastBeat, now
	}
	n.lastBeat = now
}

// recordSignal records that a signal has arrived and returns the subscribers to call.
func (n *shutdownNotice) recordSignal() (subscribers []func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.detectPause(now)
	n.signaledAt = now
	if n.pauseEnd > 0 && now-n.pauseEnd < heartbeatInterval {
		n.signaledAt = n.pauseStart
	}
	return n.subscribers
}

// subscribe has notify called with the process's remaining lifetime when it is asked to shut
// down, or at once if it has been already.
func (n *shutdownNotice) subscribe(settings ashwood.Settings, notify func(lifecycle.Lifetime)) {
	n.mu.Lock()
	signaled := !math.IsInf(n.signaledAt, 1)
	n.subscribers = append(n.subscribers, func() { notify(n.lifetime(settings)) })
	n.mu.Unlock()
	if signaled {
		notify(n.lifetime(settings))
	}
}

// waitForPendingSignal waits, right after a pause, until a signal sent during the pause has
// been delivered.
func (n *shutdownNotice) waitForPendingSignal() {
	n.mu.Lock()
	now := n.clock.Now()
	n.detectPause(now)
	remaining := n.pauseEnd + signalDelay - now
	n.mu.Unlock()
	if remaining > 0 {
		// The error only says that the signal arrived, which is what this waits for.
		_ = clock.Wait(n, n.clock, remaining)
	}
}

// signalCheckedRouter is a router that, after a pause, accepts no request until a signal sent
// during the pause has been delivered.
type signalCheckedRouter struct {
	*router.Router
	notice *shutdownNotice
}

// Serve serves a request after waiting for a pending signal; fronts call it.
func (s signalCheckedRouter) Serve(ctx context.Context, req *gateway.Request) (gateway.Reply, error) {
	s.notice.waitForPendingSignal()
	return s.Router.Serve(ctx, req)
}

// lifetime returns the process's remaining lifetime, unlimited before a signal.
func (n *shutdownNotice) lifetime(settings ashwood.Settings) lifecycle.Lifetime {
	n.mu.Lock()
	defer n.mu.Unlock()
	if math.IsInf(n.signaledAt, 1) {
		return lifecycle.Unlimited()
	}
	longestDeadline := 0.0
	for _, class := range settings.Classes {
		longestDeadline = max(longestDeadline, clock.Millis(class.Deadline))
	}
	return lifecycle.AfterSignal(n.signaledAt, longestDeadline)
}

// close stops the heartbeat.
func (n *shutdownNotice) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopTimer()
	n.signaledAt = min(n.signaledAt, n.clock.Now()) // a running heartbeat must not schedule another
}
