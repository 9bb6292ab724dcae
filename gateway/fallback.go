package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/release"
)

// This file makes the calls for fallback releases: those that no engine has taken and that any engine may
// take. release.Fallback decides which calls are made.

// searching reports whether releases are pending for any engine that answers, and no such engine is known.
func (r *releaser) searching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fallback.Searching()
}

// enqueueFallback makes a release pending for the first engine that takes it; the caller holds the lock. The
// releases at the holders stay pending. The engines in unanswered were sent this release and did not answer.
func (r *releaser) enqueueFallback(id ashwood.RequestID, unanswered []ashwood.ServerID) {
	if r.fallback.Len() == 0 {
		r.gateway.log.Info("no holder takes the release; trying all engines in turn", "id", id, "engines", len(r.listed))
	}
	r.fallback.Add(r.gateway.clock.Now(), id, unanswered)
}

// moveRepeatsToFallback has other engines take the repeats that their own engines could not take, since a release
// at any engine has all engines drop their holds. The caller holds the lock.
func (r *releaser) moveRepeatsToFallback() {
	for _, repeat := range r.ledger.TakeRepeats() {
		if r.fallback.Waiting(repeat.Request) {
			continue
		}
		r.enqueueFallback(repeat.Request, nil)
		r.fallback.Pause(repeat.Request, repeat.Paused)
		if engine, ok := r.lastAnswering(); ok { // it is tried before any search for an engine
			r.fallback.Answered(engine)
		}
	}
}

// lastAnswering returns the listed engine that answered last, of those that take releases. The caller holds the lock.
func (r *releaser) lastAnswering() (ashwood.Server, bool) {
	for _, engine := range r.recentlyAnswered {
		if _, listed := r.listed[engine.ID]; listed && !r.ledger.Failing(engine.ID) {
			return engine, true
		}
	}
	return ashwood.Server{}, false
}

// startFallbackCalls starts the fallback calls to make now and returns the ms until the next check. The caller
// holds the lock.
func (r *releaser) startFallbackCalls() (next float64) {
	calls, next := r.fallback.NextCalls(r.gateway.clock.Now(), r.candidates)
	for _, call := range calls {
		ctx, cancel := context.WithCancelCause(context.Background())
		r.fallbackCalls[call] = cancel
		r.gateway.runInBackground(func() { r.callSubstitute(ctx, cancel, call) })
	}
	return next
}

// candidates returns the listed engines that answered last, the latest first, and all listed engines. The caller
// holds the lock.
func (r *releaser) candidates() (latest, all []ashwood.Server) {
	for _, engine := range r.recentlyAnswered {
		if _, ok := r.listed[engine.ID]; ok {
			latest = append(latest, engine)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.listed)) {
		all = append(all, r.listed[id])
	}
	return latest, all
}

// callSubstitute makes one release call to an engine that need not hold anything for the request.
func (r *releaser) callSubstitute(ctx context.Context, cancel context.CancelCauseFunc, call release.FallbackCall) {
	err := r.callRelease(ctx, cancel, call.Engine, call.Request, 1, holderTimeout)
	r.mu.Lock()
	delete(r.fallbackCalls, call)
	outcome := release.CallAnswered
	switch {
	case err == nil:
		r.dropFallback(call.Request)
	case errors.Is(err, ErrUnanswered):
		outcome = release.CallUnanswered
	default:
		outcome = release.CallFailed
		if context.Cause(ctx) != errWithdrawn && !errors.Is(err, ErrLocalFailure) { // a call that was cancelled or failed here says nothing about its engine
			r.fallback.Unreachable(call.Engine.ID)
		}
	}
	r.fallback.Done(call, outcome)
	r.dispatchAndUnlock()
}

// dropFallback removes a request's fallback release and cancels its calls in flight. It reports whether
// there was one. The caller holds the lock.
func (r *releaser) dropFallback(id ashwood.RequestID) bool {
	pending := r.fallback.Drop(id)
	if pending {
		r.cancelFallbackCalls(id)
	}
	return pending
}

// cancelFallbackCalls cancels the fallback calls in flight for a request. The caller holds the lock.
func (r *releaser) cancelFallbackCalls(id ashwood.RequestID) {
	for call, cancel := range r.fallbackCalls {
		if call.Request == id {
			cancel(errWithdrawn)
		}
	}
}

// pauseFallback holds back a request's fallback release while an attempt is being written or is on its way, since
// a release must not overtake it. With paused false it resumes the release: the attempt was not written, or gives
// no sign of having arrived. It reports whether a fallback release is pending.
func (r *releaser) pauseFallback(id ashwood.RequestID, paused bool) bool {
	r.mu.Lock()
	if !r.fallback.Pause(id, paused) {
		r.mu.Unlock()
		return false
	}
	if paused {
		r.cancelFallbackCalls(id)
	}
	r.dispatchAndUnlock()
	return true
}

// attemptArrived records that a request's attempt has arrived, or that its answer has begun: earlier holds now belong to
// that attempt, and uncertain releases are not repeated.
func (r *releaser) attemptArrived(id ashwood.RequestID, unconfirmed []ashwood.Server) {
	r.mu.Lock()
	if pending := r.dropFallback(id); !pending && len(unconfirmed) == 0 {
		r.mu.Unlock()
		return
	}
	for _, engine := range unconfirmed {
		r.ledger.RequestArrived(r.gateway.clock.Now(), release.Key{Engine: engine.ID, Request: id})
	}
	r.dispatchAndUnlock()
}
