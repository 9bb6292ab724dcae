package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand"
	"slices"
	"sync"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/metrics"
	"ashwood.example/ashwood/internal/release"
)

// Times of releases, in milliseconds, and limits. The release rule allows 500 ms and a small margin
// (see docs/design/release.md).
const (
	holderTimeout          = 100   // for the holders to answer, before substitutes are tried as well
	releaseCallTimeout     = 300   // for one call, including the connect
	releaseBackoffMin      = 50    // from a failed call to the next one at that engine; doubles with each failure
	releaseBackoffMax      = 200   // maximum of this backoff, or in a large fleet releaseBackoffPerNode times the number of gateways
	releaseBackoffPerNode  = 1.5   // so that all gateways together make no more than about 700 calls per second to one engine
	releaseMaxAge          = 60000 // after which an engine that takes no call is assumed to be gone
	releaseShutdownTimeout = 2000  // for pending releases when the gateway stops
	releaseShutdownMax     = 3500  // maximum of this timeout: the remaining lifetime of a process that is asked to stop
	releaseShutdownGrace   = 500   // for pending releases after the answer deadline: the process is killed 700 ms after that
	maxPendingReleases     = 8192  // beyond this number, the oldest is given up
	substituteRounds       = 2     // rounds of substitutes for one request, holderTimeout apart, before all engines are tried in turn
	substitutesPerRound    = 2
	maxRecentlyAnswered    = 32  // remembered engines that answered last
	firstRepeatDelay       = 150 // from an uncertain release that was delivered to its first repeat
	secondRepeatDelay      = 300 // from there to the second and last repeat, within the time that the release rule allows
	searchInterval         = 400 // minimum from one pass over all engines to the next, while none takes releases
	searchConcurrency      = 6   // calls in flight in a pass: fewer than the sockets reserved for releases at the smallest limits
)

// releaser makes all release calls for holds that no request needs any more. Its ledger and its fallback
// decide which calls to make now; calls run concurrently.
type releaser struct {
	gateway *Gateway

	mu     sync.Mutex
	ledger *release.Ledger
	// fallback holds the releases that no engine has taken, and fallbackCalls their calls in flight.
	fallback         *release.Fallback
	fallbackCalls    map[release.FallbackCall]context.CancelCauseFunc
	onEnd            map[release.Key][]func(release.EndReason) // callbacks for the end of a release
	holderCalls      map[release.Key]context.CancelCauseFunc   // calls in flight that the ledger asked for
	recentlyAnswered []ashwood.Server                          // engines that have answered and not failed since, the latest first
	listed           map[ashwood.ServerID]ashwood.Server       // engines that accept new work by the last membership update
	zone             string                                    // zone of this gateway
	rand             *rand.Rand
	stopTimer        func() bool   // stops the timer of the next dispatch
	idle             chan struct{} // closed when the gateway stops and no release is pending
}

func newReleaser(g *Gateway, settings ashwood.Settings, seed int64) *releaser {
	random := rand.New(rand.NewSource(seed))
	backoffForFleet := releaseBackoffPerNode * float64(settings.Nodes)
	ledger := release.New(release.Config{
		MinBackoff: releaseBackoffMin, MaxBackoff: max(releaseBackoffMax, backoffForFleet), MaxAge: releaseMaxAge, MaxPending: maxPendingReleases,
		RepeatDelays: []float64{firstRepeatDelay, secondRepeatDelay}, Rand: random,
	})
	return &releaser{
		gateway: g, zone: settings.Zone, rand: random, listed: map[ashwood.ServerID]ashwood.Server{}, onEnd: map[release.Key][]func(release.EndReason){},
		holderCalls: map[release.Key]context.CancelCauseFunc{}, fallbackCalls: map[release.FallbackCall]context.CancelCauseFunc{}, stopTimer: func() bool { return true },
		ledger: ledger,
		fallback: release.NewFallback(release.FallbackConfig{
			MaxSearchCalls: searchConcurrency, PassInterval: max(searchInterval, backoffForFleet), MaxAge: releaseMaxAge, MaxWaiting: maxPendingReleases, Rand: random, CalledElsewhere: ledger.HasPending, PendingAt: ledger.Undelivered,
		}),
	}
}

// enqueue makes a release pending at each of the engines until it has ended. It then calls onEnd
// without holding a lock. For uncertain, see package release.
func (r *releaser) enqueue(id ashwood.RequestID, engines []ashwood.Server, uncertain bool, onEnd func(release.EndReason)) {
	r.mu.Lock()
	for _, engine := range engines {
		key := release.Key{Engine: engine.ID, Request: id}
		r.ledger.Add(r.gateway.clock.Now(), engine, id, uncertain)
		r.onEnd[key] = append(r.onEnd[key], onEnd)
	}
	r.dispatchAndUnlock()
}

// withdraw drops the pending release at an engine to which the request is sent again, or which is asked for
// a reservation.
func (r *releaser) withdraw(id ashwood.RequestID, engine ashwood.ServerID) {
	key := release.Key{Engine: engine, Request: id}
	r.mu.Lock()
	if !r.ledger.Withdraw(r.gateway.clock.Now(), key) {
		r.mu.Unlock()
		return
	}
	if cancel := r.holderCalls[key]; cancel != nil {
		cancel(errWithdrawn)
	}
	r.dispatchAndUnlock()
}

// pauseRepeats holds back the repeats of uncertain releases while an attempt is being written or is on its way, since a
// release must not overtake it. What is written may never arrive: with paused false the repeats resume if the
// attempt gives no sign of having arrived. It reports whether any repeat is pending.
func (r *releaser) pauseRepeats(id ashwood.RequestID, unconfirmed []ashwood.Server, paused bool) (pending bool) {
	if len(unconfirmed) == 0 {
		return false
	}
	r.mu.Lock()
	for _, engine := range unconfirmed {
		key := release.Key{Engine: engine.ID, Request: id}
		if !r.ledger.Pause(key, paused) {
			continue
		}
		pending = true
		if cancel := r.holderCalls[key]; paused && cancel != nil && !r.ledger.Undelivered(key) {
			cancel(errWithdrawn)
		}
	}
	r.dispatchAndUnlock()
	return pending
}

// errWithdrawn cancels a release call whose request has been sent again.
var errWithdrawn = errors.New("gateway: release withdrawn: the request was sent again")

// updateMembership applies a membership update.
func (r *releaser) updateMembership(form ashwood.MembershipForm, engines []ashwood.Server) {
	r.mu.Lock()
	now := r.gateway.clock.Now()
	if form != ashwood.MembershipDelta {
		clear(r.listed)
	}
	for _, engine := range engines {
		r.ledger.EngineRestarted(now, engine.ID, clock.Millis(engine.Started))
		if delete(r.listed, engine.ID); engine.State == ashwood.StateActive {
			r.listed[engine.ID] = engine
		}
		if engine.State == ashwood.StateRemoved {
			r.ledger.EngineRemoved(engine.ID)
			r.fallback.Unreachable(engine.ID)
			r.gateway.liveness.forget(engine.ID)
		}
	}
	if form == ashwood.MembershipSnapshot {
		listed := map[ashwood.ServerID]bool{}
		for _, engine := range engines {
			listed[engine.ID] = true
		}
		r.ledger.MarkAbsent(listed)
		r.fallback.RetainOnly(listed)
	}
	r.dispatchAndUnlock()
}

// dispatchAndUnlock starts the calls to make now and runs the callbacks of releases that have ended. The caller holds
// the lock, which it releases.
func (r *releaser) dispatchAndUnlock() {
	calls, next := r.ledger.NextCalls(r.gateway.clock.Now())
	ended := r.ledger.TakeEnded()
	var callbacks []func()
	for _, end := range ended {
		for _, onEnd := range r.onEnd[end.Key] {
			callbacks = append(callbacks, func() { onEnd(end.Reason) })
		}
		delete(r.onEnd, end.Key)
		if end.Reason == release.Delivered { // this releases the holds at all engines
			r.dropFallback(end.Request)
		}
	}
	r.moveRepeatsToFallback()
	next = min(next, r.startFallbackCalls())
	for _, call := range calls {
		ctx, cancel := context.WithCancelCause(context.Background())
		r.holderCalls[call.Key] = cancel
		r.gateway.runInBackground(func() { r.callHolder(ctx, cancel, call) })
	}
	r.stopTimer()
	r.stopTimer = func() bool { return true }
	if !math.IsInf(next, 1) {
		r.stopTimer = r.gateway.clock.AfterFunc(next, func() {
			r.mu.Lock()
			r.dispatchAndUnlock()
		})
	}
	if r.idle != nil && r.ledger.Len() == 0 {
		close(r.idle)
		r.idle = nil
	}
	r.mu.Unlock()
	for _, e := range ended {
		r.recordEnd(e)
	}
	for _, callback := range callbacks {
		callback()
	}
}

// holdEndOf translates the end of a release into the end of the hold.
func holdEndOf(end release.EndReason) metrics.HoldEnd {
	switch end {
	case release.Delivered:
		return metrics.HoldReleased
	case release.Withdrawn:
		return metrics.HoldResent
	case release.Restarted:
		return metrics.HoldRestarted
	}
	return metrics.HoldGivenUp
}

// recordEnd logs how a release has ended, as a warning if it was given up.
func (r *releaser) recordEnd(ended release.EndedRelease) {
	r.gateway.holdLog.ended(ended.Key, holdEndOf(ended.Reason))
	switch ended.Reason {
	case release.Expired, release.Evicted:
		r.gateway.log.Warn("release given up", // the engine may continue to hold something
			"id", ended.Request, "engine", ended.Engine, "why", ended.Reason.String(), "ms", ended.Age)
	default:
		r.gateway.log.Debug("released", "id", ended.Request, "engine", ended.Engine, "end", ended.Reason.String(), "ms", ended.Age)
	}
}

// callHolder makes one call that the ledger asked for. A call that is cancelled here says nothing about its engine.
func (r *releaser) callHolder(ctx context.Context, cancel context.CancelCauseFunc, call release.Call) {
	err := r.callRelease(ctx, cancel, call.Engine, call.Request, call.Try, releaseCallTimeout)
	r.mu.Lock()
	delete(r.holderCalls, call.Key)
	if err != nil && context.Cause(ctx) == errWithdrawn {
		r.ledger.Discard(call)
	} else {
		r.ledger.Done(r.gateway.clock.Now(), call, err == nil)
	}
	if err == nil && !r.ledger.Undelivered(call.Key) { // this releases the holds at all engines
		r.dropFallback(call.Request)
	}
	r.dispatchAndUnlock()
}

// callRelease makes one release call and cancels it after timeout ms. Its caller must then dispatch the next calls.
func (r *releaser) callRelease(ctx context.Context, cancel context.CancelCauseFunc, engine ashwood.Server, id ashwood.RequestID, try int, timeout float64) error {
	defer cancel(nil)
	defer r.gateway.clock.AfterFunc(timeout, func() { cancel(nil) })()
	startedAt := r.gateway.clock.Now()
	err := r.gateway.transport.Release(ctx, engine, id, try > 0)
	if err == nil {
		r.noteAnswer(engine)
	} else if context.Cause(ctx) != errWithdrawn && !errors.Is(err, ErrLocalFailure) {
		r.noteUnanswered(engine, "release", errors.Is(err, ErrUnanswered))
	}
	r.gateway.log.Debug("release", "id", id, "engine", engine.ID, "try", try, "ms", r.gateway.clock.Now()-startedAt, "err", err)
	return err
}

// engineAnswered records an answer of an engine and sends it the pending fallback releases.
func (r *releaser) engineAnswered(engine ashwood.Server) {
	r.noteAnswer(engine)
	r.mu.Lock()
	if r.fallback.Len() == 0 {
		r.mu.Unlock()
		return
	}
	r.dispatchAndUnlock()
}

// noteAnswer records an answer of an engine.
func (r *releaser) noteAnswer(engine ashwood.Server) {
	r.gateway.liveness.answered(engine.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fallback.Answered(engine)
	for i, old := range r.recentlyAnswered {
		if old.ID == engine.ID {
			copy(r.recentlyAnswered[1:i+1], r.recentlyAnswered[:i])
			r.recentlyAnswered[0] = engine
			return
		}
	}
	if r.recentlyAnswered = append(r.recentlyAnswered, engine); len(r.recentlyAnswered) > maxRecentlyAnswered {
		r.recentlyAnswered = r.recentlyAnswered[:maxRecentlyAnswered]
	}
	copy(r.recentlyAnswered[1:], r.recentlyAnswered)
	r.recentlyAnswered[0] = engine
}

// noteUnanswered records that an engine has not answered a call; call names its kind. written is true for
// a release that was written to the engine.
func (r *releaser) noteUnanswered(engine ashwood.Server, call string, written bool) {
	r.gateway.liveness.unanswered(engine.ID, call)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fallback.Unanswered(engine, written)
	r.recentlyAnswered = slices.DeleteFunc(r.recentlyAnswered, func(old ashwood.Server) bool { return old.ID == engine.ID })
}

// undelivered returns those of the engines that have not taken a pending release for a request.
func (r *releaser) undelivered(id ashwood.RequestID, engines []ashwood.Server) (undelivered []ashwood.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, engine := range engines {
		if r.ledger.Undelivered(release.Key{Engine: engine.ID, Request: id}) {
			undelivered = append(undelivered, engine)
		}
	}
	return undelivered
}

// waitUntilIdle waits until no release is pending.
func (r *releaser) waitUntilIdle() {
	idle := make(chan struct{})
	r.mu.Lock()
	r.idle = idle
	r.dispatchAndUnlock()
	<-idle
}

// abandon gives up all pending releases.
func (r *releaser) abandon() {
	r.mu.Lock()
	r.ledger.Abandon(r.gateway.clock.Now())
	for _, cancel := range r.holderCalls {
		cancel(nil)
	}
	r.fallback.Abandon()
	for _, cancel := range r.fallbackCalls {
		cancel(nil)
	}
	r.dispatchAndUnlock()
}
