package engine

import "math"

// link carries KV states; all transfers on it share its rate evenly. A transfer's
// work is its tokens times how much longer one takes than on a link of the same
// zone.
//
// Each call costs O(transfers on the link).
type link struct {
	tokensPerMs float64
	advancedAt  float64     // time up to which work is counted
	transfers   []*transfer // in the order of their start
	slowFactor  float64     // 1 = full rate
	epoch       int         // of the timer for the next completion; older timers are ignored
}

// transfer is a KV state on its way to a decode engine.
type transfer struct {
	hold      *hold
	to        *engine
	link      *link
	remaining float64 // work
}

func newLink(tokensPerMs float64) *link { return &link{tokensPerMs: tokensPerMs, slowFactor: 1} }

// advance counts what has been transferred up to now.
func (l *link) advance(now float64) {
	if n := len(l.transfers); n > 0 {
		transferred := (now - l.advancedAt) * l.tokensPerMs / l.slowFactor / float64(n)
		for _, t := range l.transfers {
			t.remaining -= transferred
		}
	}
	l.advancedAt = now
}

// nextDone returns the time of the next completion, +Inf without a transfer.
func (l *link) nextDone() float64 {
	minRemaining := math.Inf(1)
	for _, t := range l.transfers {
		minRemaining = min(minRemaining, t.remaining)
	}
	if math.IsInf(minRemaining, 1) {
		return minRemaining
	}
	return l.advancedAt + max(minRemaining, 0)*float64(len(l.transfers))*l.slowFactor/l.tokensPerMs
}

// add starts a transfer; the caller has advanced the link.
func (l *link) add(t *transfer) {
	t.link = l
	l.transfers = append(l.transfers, t)
}

// remove takes a transfer off the link; the caller has advanced the link.
func (l *link) remove(t *transfer) {
	for i, other := range l.transfers {
		if other == t {
			l.transfers = append(l.transfers[:i], l.transfers[i+1:]...)
			return
		}
	}
}

// completed returns the transfers that are complete; the caller has advanced the
// link. What is left for less than a microsecond counts as complete: times since
// 1970 are no finer, and a completion that rounds to the present would be scheduled
// again for ever.
func (l *link) completed() (list []*transfer) {
	const resolutionMs = 1e-3 // ms
	for _, t := range l.transfers {
		if t.remaining <= l.tokensPerMs*resolutionMs {
			list = append(list, t)
		}
	}
	return list
}
