package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/release"
)

// This file releases at substitutes: other engines that take a release in place of holders that cannot be reached.

// releaseInBackground releases at engines without blocking the request.
func (r *releaser) releaseInBackground(id ashwood.RequestID, engines []ashwood.Server, uncertain bool) {
	if len(engines) > 0 {
		r.gateway.runInBackground(r.startRelease(id, engines, uncertain))
	}
}

// startRelease enqueues a release at engines. The caller must call the returned function, which waits until
// the release was delivered or holderTimeout has passed. By the protocol, a call at any engine releases
// what all engines hold: if none of these could be reached in time, substitutes are tried, and
// the releases at the engines themselves stay pending.
func (r *releaser) startRelease(id ashwood.RequestID, engines []ashwood.Server, uncertain bool) (wait func()) {
	ends, timedOut := make(chan release.EndReason, len(engines)), make(chan struct{})
	timeout := float64(holderTimeout)
	if r.allFailing(engines) {
		timeout = 0
	}
	stop := r.gateway.clock.AfterFunc(timeout, func() { close(timedOut) })
	r.enqueue(id, engines, uncertain, func(end release.EndReason) { ends <- end })
	return func() {
		defer stop()
		r.awaitReleases(id, engines, ends, timedOut)
	}
}

// awaitReleases waits for releases and, if they time out, releases at substitutes.
func (r *releaser) awaitReleases(id ashwood.RequestID, engines []ashwood.Server, ends <-chan release.EndReason, timedOut <-chan struct{}) {
	delivered, pending := false, len(engines)
	for waiting := true; waiting && pending > 0; {
		select {
		case end := <-ends:
			delivered = delivered || isConclusive(end)
			pending--
		case <-timedOut:
			waiting = false
		}
	}
	if delivered || pending == 0 || anyConclusive(ends) {
		return
	}
	taken, unanswered := r.releaseAtSubstitutes(id, engines, ends)
	if taken {
		return
	}
	r.mu.Lock()
	if !anyConclusive(ends) && slices.ContainsFunc(engines, func(engine ashwood.Server) bool {
		return r.ledger.Undelivered(release.Key{Engine: engine.ID, Request: id})
	}) {
		r.enqueueFallback(id, unanswered)
	}
	r.dispatchAndUnlock()
}

// isConclusive reports whether after such an end nothing is left to release at any engine. The end of an engine that
// restarted is not conclusive: it holds nothing itself, but others may.
func isConclusive(end release.EndReason) bool {
	return end == release.Delivered || end == release.Withdrawn
}

// anyConclusive reports whether one of the releases that have ended so far is conclusive.
func anyConclusive(ends <-chan release.EndReason) bool {
	for {
		select {
		case end := <-ends:
			if isConclusive(end) {
				return true
			}
		default:
			return false
		}
	}
}

// releaseAtSubstitutes releases at a few substitutes and reports whether any engine, a holder included, has taken the
// release. If none has, it returns the substitutes to which the call was written without an answer. While a search for any
// answering engine is under way, it leaves the request to that search.
func (r *releaser) releaseAtSubstitutes(id ashwood.RequestID, engines []ashwood.Server, ends <-chan release.EndReason) (delivered bool, unanswered []ashwood.ServerID) {
	excluded, silentZones := map[ashwood.ServerID]bool{}, map[string]bool{}
	targets := engines
	for round := 0; round < substituteRounds && !r.searching(); round++ {
		for _, engine := range targets {
			excluded[engine.ID], silentZones[engine.Zone] = true, true
		}
		targets = r.substitutes(substitutesPerRound, excluded, silentZones)
		errs := make([]error, len(targets))
		var calls sync.WaitGroup
		for i, engine := range targets {
			calls.Go(func() {
				ctx, cancel := context.WithCancelCause(context.Background())
				errs[i] = r.callRelease(ctx, cancel, engine, id, round, holderTimeout)
			})
		}
		calls.Wait()
		if anyConclusive(ends) || slices.Contains(errs, nil) {
			return true, nil
		}
		for i, err := range errs {
			if errors.Is(err, ErrUnanswered) {
				unanswered = append(unanswered, targets[i].ID)
			}
		}
		if len(targets) == 0 {
			break
		}
	}
	return false, unanswered
}

// substitutes returns up to limit engines that are not excluded, at most one per zone. It prefers engines that
// answered last, in zones without a silent engine, then any other engines in such zones, this gateway's own
// zone first. Only if there are none, it takes engines in any zone.
func (r *releaser) substitutes(limit int, excluded map[ashwood.ServerID]bool, silentZones map[string]bool) (found []ashwood.Server) {
	var recent, rest []ashwood.Server
	r.mu.Lock()
	for _, engine := range r.recentlyAnswered {
		if _, ok := r.listed[engine.ID]; ok && !r.ledger.Failing(engine.ID) {
			recent = append(recent, engine)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.listed)) {
		if !r.ledger.Failing(id) {
			rest = append(rest, r.listed[id])
		}
	}
	r.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	r.mu.Unlock()
	slices.SortStableFunc(rest, func(a, b ashwood.Server) int {
		rank := map[bool]int{true: 0, false: 1}
		return rank[a.Zone == r.zone] - rank[b.Zone == r.zone]
	})
	usedZones := map[string]bool{}
	for _, pass := range []struct {
		from    []ashwood.Server
		anyZone bool
	}{{recent, false}, {rest, false}, {recent, true}, {rest, true}} {
		if pass.anyZone && len(found) > 0 {
			break
		}
		for _, engine := range pass.from {
			if len(found) < limit && !excluded[engine.ID] && (pass.anyZone || !silentZones[engine.Zone] && !usedZones[engine.Zone]) {
				found = append(found, engine)
				excluded[engine.ID], usedZones[engine.Zone] = true, true
			}
		}
	}
	return found
}

// allFailing reports whether the last call to each of these engines failed.
func (r *releaser) allFailing(engines []ashwood.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(engines, func(engine ashwood.Server) bool { return !r.ledger.Failing(engine.ID) })
}
