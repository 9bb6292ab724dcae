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

// This file is where others are told in place of engines that can't be reached.

// tell owes a release to engines and sees to it beside the request.
func (o *owner) tell(id ashwood.RequestID, engines []ashwood.Server, doubtful bool) {
	if len(engines) > 0 {
		o.g.spawn(o.settle(id, engines, doubtful))
	}
}

// settle owes a release to engines. What it gives is to be called, and returns once
// they have all got it or one of them is too slow. As the protocol has it, a call releases what is held at
// whatever engine: where none of them could be told in time, others are told in
// their place, and theirs stays owed.
func (o *owner) settle(id ashwood.RequestID, engines []ashwood.Server, doubtful bool) (wait func()) {
	ends, slow := make(chan release.EndReason, len(engines)), make(chan struct{})
	patience := float64(releaseWait)
	if o.failing(engines) {
		patience = 0
	}
	stop := o.g.clock.AfterFunc(patience, func() { close(slow) })
	o.owe(id, engines, doubtful, func(end release.EndReason) { ends <- end })
	return func() {
		defer stop()
		o.awaitReleases(id, engines, ends, slow)
	}
}

// awaitReleases waits for releases, and has other engines told if they are too slow.
func (o *owner) awaitReleases(id ashwood.RequestID, engines []ashwood.Server, ends <-chan release.EndReason, slow <-chan struct{}) {
	told, open := false, len(engines)
	for waiting := true; waiting && open > 0; {
		select {
		case end := <-ends:
			told = told || counts(end)
			open--
		case <-slow:
			waiting = false
		}
	}
	if told || open == 0 || anyCounts(ends) {
		return
	}
	anyTold, unanswered := o.tellOthers(id, engines, ends)
	if anyTold {
		return
	}
	o.mu.Lock()
	if !anyCounts(ends) && slices.ContainsFunc(engines, func(v ashwood.Server) bool { return o.ledger.Undelivered(release.Key{Engine: v.ID, Request: id}) }) {
		o.waitForOthers(id, unanswered)
	}
	o.act()
}

// counts tells whether a release with such an end has let go of what all engines hold, or need not any more. One that has started
// anew holds nothing itself; others may.
func counts(end release.EndReason) bool { return end == release.Delivered || end == release.Withdrawn }

// anyCounts looks at the ends of releases so far.
func anyCounts(ends <-chan release.EndReason) bool {
	for {
		select {
		case end := <-ends:
			if counts(end) {
				return true
			}
		default:
			return false
		}
	}
}

// tellOthers has some engines told in place of these, and tells whether any of all has been; if not, it gives the
// others that it was written to without an answer. While others are being searched for anyway, it leaves the request to that.
func (o *owner) tellOthers(id ashwood.RequestID, engines []ashwood.Server, ends <-chan release.EndReason) (told bool, unanswered []ashwood.ServerID) {
	not, silent := map[ashwood.ServerID]bool{}, map[string]bool{}
	ask := engines
	for n := 0; n < rounds && !o.searching(); n++ {
		for _, v := range ask {
			not[v.ID], silent[v.Zone] = true, true
		}
		ask = o.substitutes(atATime, not, silent)
		errs := make([]error, len(ask))
		var all sync.WaitGroup
		for i, v := range ask {
			all.Go(func() {
				ctx, cancel := context.WithCancelCause(context.Background())
				errs[i] = o.try(ctx, cancel, v, id, n, releaseWait)
			})
		}
		all.Wait()
		if anyCounts(ends) || slices.Contains(errs, nil) {
			return true, nil
		}
		for i, err := range errs {
			if errors.Is(err, ErrUnanswered) {
				unanswered = append(unanswered, ask[i].ID)
			}
		}
		if len(ask) == 0 {
			break
		}
	}
	return false, unanswered
}

// substitutes gives up to n engines to be told in place of those, no two of a zone
// if there are several: the ones heard last, in zones of which none has failed to
// answer, and then any others there, this gateway's own zone first.
func (o *owner) substitutes(n int, not map[ashwood.ServerID]bool, silent map[string]bool) (found []ashwood.Server) {
	var recent, rest []ashwood.Server
	o.mu.Lock()
	for _, v := range o.recent {
		if _, ok := o.listed[v.ID]; ok && !o.ledger.Failing(v.ID) {
			recent = append(recent, v)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		if !o.ledger.Failing(id) {
			rest = append(rest, o.listed[id])
		}
	}
	o.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	o.mu.Unlock()
	slices.SortStableFunc(rest, func(a, b ashwood.Server) int {
		near := map[bool]int{true: 0, false: 1}
		return near[a.Zone == o.zone] - near[b.Zone == o.zone]
	})
	used := map[string]bool{}
	for _, pass := range []struct {
		from     []ashwood.Server
		anywhere bool
	}{{recent, false}, {rest, false}, {recent, true}, {rest, true}} {
		if pass.anywhere && len(found) > 0 {
			break
		}
		for _, v := range pass.from {
			if len(found) < n && !not[v.ID] && (pass.anywhere || !silent[v.Zone] && !used[v.Zone]) {
				found = append(found, v)
				not[v.ID], used[v.Zone] = true, true
			}
		}
	}
	return found
}

// failing tells whether none of these engines took the last call.
func (o *owner) failing(engines []ashwood.Server) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !slices.ContainsFunc(engines, func(v ashwood.Server) bool { return !o.ledger.Failing(v.ID) })
}
