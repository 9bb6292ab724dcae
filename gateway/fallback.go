package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/release"
)

// This file makes the calls for releases that no engine has taken; release.Fallback decides on them.

// searching tells whether releases wait for an engine that answers, and none is known.
func (o *owner) searching() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fallback.Searching()
}

// waitForOthers has a release wait for the first engine that takes it; the lock is held. The holders'
// own stay owed. To some engines it has been written without an answer.
func (o *owner) waitForOthers(id ashwood.RequestID, unanswered []ashwood.ServerID) {
	if o.fallback.Len() == 0 {
		o.g.log.Info("engines that hold take no release; all are asked in turn", "id", id, "engines", len(o.listed))
	}
	o.fallback.Add(o.g.clock.Now(), id, unanswered)
}

// passOnRepeats has other engines make the repeats that could not be made at their own, as any engine releases what all hold; the
// lock is held.
func (o *owner) passOnRepeats() {
	for _, r := range o.ledger.TakeRepeats() {
		if o.fallback.Waiting(r.Request) {
			continue
		}
		o.waitForOthers(r.Request, nil)
		o.fallback.Pause(r.Request, r.Paused)
		if v, ok := o.lastHeard(); ok { // it is told before any are searched for
			o.fallback.Answered(v)
		}
	}
}

// lastHeard gives the listed engine that answered last, of those that take releases; the lock is held.
func (o *owner) lastHeard() (ashwood.Server, bool) {
	for _, v := range o.recent {
		if _, listed := o.listed[v.ID]; listed && !o.ledger.Failing(v.ID) {
			return v, true
		}
	}
	return ashwood.Server{}, false
}

// askOthers makes the calls for what waits that are due, with the lock held, and gives in how many ms to look again.
func (o *owner) askOthers() (next float64) {
	calls, next := o.fallback.NextCalls(o.g.clock.Now(), o.candidates)
	for _, c := range calls {
		ctx, cancel := context.WithCancelCause(context.Background())
		o.asked[c] = cancel
		o.g.spawn(func() { o.askOther(ctx, cancel, c) })
	}
	return next
}

// candidates gives the engines of the list that answered last, and all of the list; the lock is held.
func (o *owner) candidates() (latest, all []ashwood.Server) {
	for _, v := range o.recent {
		if _, ok := o.listed[v.ID]; ok {
			latest = append(latest, v)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		all = append(all, o.listed[id])
	}
	return latest, all
}

// askOther makes one call at an engine that need not hold anything for the request.
func (o *owner) askOther(ctx context.Context, cancel context.CancelCauseFunc, c release.FallbackCall) {
	err := o.try(ctx, cancel, c.Engine, c.Request, 1, releaseWait)
	o.mu.Lock()
	delete(o.asked, c)
	end := release.CallAnswered
	switch {
	case err == nil:
		o.dropFallback(c.Request)
	case errors.Is(err, ErrUnanswered):
		end = release.CallUnanswered
	default:
		end = release.CallFailed
		if context.Cause(ctx) != errWithdrawn && !errors.Is(err, ErrLocalFailure) { // a call that was ended or failed here tells nothing of its engine
			o.fallback.Unreachable(c.Engine.ID)
		}
	}
	o.fallback.Done(c, end)
	o.act()
}

// dropFallback ends the wait of a request's release for other engines, and the calls that are out for it; the
// lock is held. It tells whether there was one.
func (o *owner) dropFallback(id ashwood.RequestID) bool {
	waited := o.fallback.Drop(id)
	if waited {
		o.cancelAsked(id)
	}
	return waited
}

func (o *owner) cancelAsked(id ashwood.RequestID) {
	for c, cancel := range o.asked {
		if c.Request == id {
			cancel(errWithdrawn)
		}
	}
}

// pauseFallback has no other engine told to release a request while an attempt is being written or is on its way, which a release
// must not overtake; paused is false where the attempt has not left, or gives no sign. It tells whether a release waits.
func (o *owner) pauseFallback(id ashwood.RequestID, paused bool) bool {
	o.mu.Lock()
	if !o.fallback.Pause(id, paused) {
		o.mu.Unlock()
		return false
	}
	if paused {
		o.cancelAsked(id)
	}
	o.act()
	return true
}

// taken tells that a request's attempt has arrived, or its answer begun: what was held for it before is that attempt's, and
// engines that were told in doubt are not told again.
func (o *owner) taken(id ashwood.RequestID, told []ashwood.Server) {
	o.mu.Lock()
	if waited := o.dropFallback(id); !waited && len(told) == 0 {
		o.mu.Unlock()
		return
	}
	for _, v := range told {
		o.ledger.RequestArrived(o.g.clock.Now(), release.Key{Engine: v.ID, Request: id})
	}
	o.act()
}
