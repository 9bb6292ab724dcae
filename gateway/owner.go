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

// Times of releases, in milliseconds, and their bounds. The rule on what is held
// gives 500 ms and a little more (see docs/design/release.md).
const (
	releaseWait     = 100   // for the engines that hold, before another is asked as well
	releaseTry      = 300   // for one call: to connect, and to be answered
	releaseFirst    = 50    // from a call that failed to the next at that engine; doubles
	releaseLast     = 200   // to this, or in a large fleet to releaseEach for each gateway
	releaseEach     = 1.5   // so that a fleet makes no more than some 700 calls a second at one engine
	releaseAge      = 60000 // after which an engine that takes no call is taken to be gone
	releaseStop     = 2000  // for what is owed when the gateway ends
	releaseStopMost = 3500  // for it at the most: what a process that is told to end has to live
	releaseRest     = 500   // for it behind the time by which all have their answer: the kill is 700 ms behind that
	releaseMost     = 8192  // owed at once
	rounds          = 2     // times that others are told for one request, releaseWait apart, before all are asked in turn
	atATime         = 2     // of them
	heardMost       = 32    // engines remembered as heard
	againFirst      = 150   // from a doubtful release that was made to the next
	againNext       = 300   // and to the last one, within the rule's time
	searchEvery     = 400   // at least, from one pass over the engines to the next, while none takes releases
	searchAtOnce    = 6     // calls of a pass: fewer than the sockets kept for releases, at the smallest limits
)

// owner is the one owner of what is held and wanted no more: it makes the calls
// that its ledger asks for, each beside all others.
type owner struct {
	g *Gateway

	mu     sync.Mutex
	ledger *release.Ledger
	// fallback holds what no engine has taken, and found the calls out for it.
	fallback *release.Fallback
	asked    map[release.FallbackCall]context.CancelCauseFunc
	ended    map[release.Key][]func(release.EndReason) // to be called when a release is owed no more
	calls    map[release.Key]context.CancelCauseFunc   // those out
	recent   []ashwood.Server                          // that have answered, and nothing failed since, the latest first
	listed   map[ashwood.ServerID]ashwood.Server       // that may be sent to, as last told
	zone     string                                    // of this gateway
	rand     *rand.Rand
	stop     func() bool   // the timer of the next call
	idle     chan struct{} // closed when nothing is owed and the gateway ends
}

func newOwner(g *Gateway, set ashwood.Settings, seed int64) *owner {
	random := rand.New(rand.NewSource(seed))
	fleetWait := releaseEach * float64(set.Nodes)
	ledger := release.New(release.Config{
		MinBackoff: releaseFirst, MaxBackoff: max(releaseLast, fleetWait), MaxAge: releaseAge, MaxPending: releaseMost,
		RepeatDelays: []float64{againFirst, againNext}, Rand: random,
	})
	return &owner{
		g: g, zone: set.Zone, rand: random, listed: map[ashwood.ServerID]ashwood.Server{}, ended: map[release.Key][]func(release.EndReason){},
		calls: map[release.Key]context.CancelCauseFunc{}, asked: map[release.FallbackCall]context.CancelCauseFunc{}, stop: func() bool { return true },
		ledger: ledger,
		fallback: release.NewFallback(release.FallbackConfig{
			MaxSearchCalls: searchAtOnce, PassInterval: max(searchEvery, fleetWait), MaxAge: releaseAge, MaxWaiting: releaseMost, Rand: random, CalledElsewhere: ledger.HasPending, PendingAt: ledger.Undelivered,
		}),
	}
}

// owe has an engine told, from now on until it has been. ended is called, holding
// no lock, once that is over. For doubtful, see release.Ledger.Owe.
func (o *owner) owe(id ashwood.RequestID, engines []ashwood.Server, doubtful bool, ended func(release.EndReason)) {
	o.mu.Lock()
	for _, v := range engines {
		k := release.Key{Engine: v.ID, Request: id}
		o.ledger.Add(o.g.clock.Now(), v, id, doubtful)
		o.ended[k] = append(o.ended[k], ended)
	}
	o.act()
}

// withdraw tells that a request has been sent to an engine, or a place been asked for there.
func (o *owner) withdraw(id ashwood.RequestID, engine ashwood.ServerID) {
	k := release.Key{Engine: engine, Request: id}
	o.mu.Lock()
	if !o.ledger.Withdraw(o.g.clock.Now(), k) {
		o.mu.Unlock()
		return
	}
	if cancel := o.calls[k]; cancel != nil {
		cancel(errWithdrawn)
	}
	o.act()
}

// pauseRepeats has engines that were told in doubt not be told again while an attempt is being written or is on its
// way, which a release must not overtake. What is written may never arrive: the repeats wait, and go on where the attempt gives
// no sign. It tells whether any is owed.
func (o *owner) pauseRepeats(id ashwood.RequestID, told []ashwood.Server, paused bool) (owed bool) {
	if len(told) == 0 {
		return false
	}
	o.mu.Lock()
	for _, v := range told {
		k := release.Key{Engine: v.ID, Request: id}
		if !o.ledger.Pause(k, paused) {
			continue
		}
		owed = true
		if cancel := o.calls[k]; paused && cancel != nil && !o.ledger.Undelivered(k) {
			cancel(errWithdrawn)
		}
	}
	o.act()
	return owed
}

// errWithdrawn ends a call whose request has been sent to the engine again.
var errWithdrawn = errors.New("gateway: the request is there again")

// update follows the list of engines.
func (o *owner) update(form ashwood.MembershipForm, list []ashwood.Server) {
	o.mu.Lock()
	now := o.g.clock.Now()
	if form != ashwood.MembershipDelta {
		clear(o.listed)
	}
	for _, v := range list {
		o.ledger.EngineRestarted(now, v.ID, clock.Millis(v.Started))
		if delete(o.listed, v.ID); v.State == ashwood.StateActive {
			o.listed[v.ID] = v
		}
		if v.State == ashwood.StateRemoved {
			o.ledger.EngineRemoved(v.ID)
			o.fallback.Unreachable(v.ID)
			o.g.live.forget(v.ID)
		}
	}
	if form == ashwood.MembershipSnapshot {
		there := map[ashwood.ServerID]bool{}
		for _, v := range list {
			there[v.ID] = true
		}
		o.ledger.MarkAbsent(there)
		o.fallback.RetainOnly(there)
	}
	o.act()
}

// act makes the calls that are due, with the lock held, which it gives back.
func (o *owner) act() {
	calls, next := o.ledger.NextCalls(o.g.clock.Now())
	ended := o.ledger.TakeEnded()
	var after []func()
	for _, e := range ended {
		for _, tell := range o.ended[e.Key] {
			after = append(after, func() { tell(e.Reason) })
		}
		delete(o.ended, e.Key)
		if e.Reason == release.Delivered { // with which all is released, at whatever engine
			o.dropFallback(e.Request)
		}
	}
	o.passOnRepeats()
	next = min(next, o.askOthers())
	for _, c := range calls {
		ctx, cancel := context.WithCancelCause(context.Background())
		o.calls[c.Key] = cancel
		o.g.spawn(func() { o.call(ctx, cancel, c) })
	}
	o.stop()
	o.stop = func() bool { return true }
	if !math.IsInf(next, 1) {
		o.stop = o.g.clock.AfterFunc(next, func() {
			o.mu.Lock()
			o.act()
		})
	}
	if o.idle != nil && o.ledger.Len() == 0 {
		close(o.idle)
		o.idle = nil
	}
	o.mu.Unlock()
	for _, e := range ended {
		o.report(e)
	}
	for _, f := range after {
		f()
	}
}

// holdEnd is what the end of a release means for what was held.
func holdEnd(e release.EndReason) metrics.HoldEnd {
	switch e {
	case release.Delivered:
		return metrics.HoldReleased
	case release.Withdrawn:
		return metrics.HoldResent
	case release.Restarted:
		return metrics.HoldRestarted
	}
	return metrics.HoldGivenUp
}

// report logs how a release has ended, where not as on any day.
func (o *owner) report(e release.EndedRelease) {
	o.g.holdLog.ended(e.Key, holdEnd(e.Reason))
	switch e.Reason {
	case release.Expired, release.Evicted:
		o.g.log.Warn("release given up", // the engine may go on holding something
			"id", e.Request, "engine", e.Engine, "why", e.Reason.String(), "ms", e.Age)
	default:
		o.g.log.Debug("released", "id", e.Request, "engine", e.Engine, "end", e.Reason.String(), "ms", e.Age)
	}
}

// call makes one call, bounded in time. One that is ended here tells nothing of its engine.
func (o *owner) call(ctx context.Context, cancel context.CancelCauseFunc, c release.Call) {
	err := o.try(ctx, cancel, c.Engine, c.Request, c.Try, releaseTry)
	o.mu.Lock()
	delete(o.calls, c.Key)
	if err != nil && context.Cause(ctx) == errWithdrawn {
		o.ledger.Discard(c)
	} else {
		o.ledger.Done(o.g.clock.Now(), c, err == nil)
	}
	if err == nil && !o.ledger.Undelivered(c.Key) { // with which all is released, at whatever engine
		o.dropFallback(c.Request)
	}
	o.act()
}

// try makes one call in so many ms at most. Its caller has what is due made behind it.
func (o *owner) try(ctx context.Context, cancel context.CancelCauseFunc, v ashwood.Server, id ashwood.RequestID, n int, ms float64) error {
	defer cancel(nil)
	defer o.g.clock.AfterFunc(ms, func() { cancel(nil) })()
	begun := o.g.clock.Now()
	err := o.g.transport.Release(ctx, v, id, n > 0)
	if err == nil {
		o.answered(v)
	} else if context.Cause(ctx) != errWithdrawn && !errors.Is(err, ErrLocalFailure) {
		o.unheard(v, "release", errors.Is(err, ErrUnanswered))
	}
	o.g.log.Debug("release", "id", id, "engine", v.ID, "try", n, "ms", o.g.clock.Now()-begun, "err", err)
	return err
}

// heard tells of an engine that has answered something, and calls it for what no engine has taken.
func (o *owner) heard(v ashwood.Server) {
	o.answered(v)
	o.mu.Lock()
	if o.fallback.Len() == 0 {
		o.mu.Unlock()
		return
	}
	o.act()
}

// answered notes an engine that has answered something.
func (o *owner) answered(v ashwood.Server) {
	o.g.live.answered(v.ID)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fallback.Answered(v)
	for i, old := range o.recent {
		if old.ID == v.ID {
			copy(o.recent[1:i+1], o.recent[:i])
			o.recent[0] = v
			return
		}
	}
	if o.recent = append(o.recent, v); len(o.recent) > heardMost {
		o.recent = o.recent[:heardMost]
	}
	copy(o.recent[1:], o.recent)
	o.recent[0] = v
}

// unheard tells of an engine that has not answered a call of some kind, and whether that was a release which
// has been written to it.
func (o *owner) unheard(v ashwood.Server, call string, written bool) {
	o.g.live.unanswered(v.ID, call)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fallback.Unanswered(v, written)
	o.recent = slices.DeleteFunc(o.recent, func(old ashwood.Server) bool { return old.ID == v.ID })
}

// unmade gives those of some engines that are owed a release for a request which none has taken.
func (o *owner) unmade(id ashwood.RequestID, engines []ashwood.Server) (left []ashwood.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range engines {
		if o.ledger.Undelivered(release.Key{Engine: v.ID, Request: id}) {
			left = append(left, v)
		}
	}
	return left
}

// wait waits until nothing is owed.
func (o *owner) wait() {
	idle := make(chan struct{})
	o.mu.Lock()
	o.idle = idle
	o.act()
	<-idle
}

// abandon gives up what is owed.
func (o *owner) abandon() {
	o.mu.Lock()
	o.ledger.Abandon(o.g.clock.Now())
	for _, cancel := range o.calls {
		cancel(nil)
	}
	o.fallback.Abandon()
	for _, cancel := range o.asked {
		cancel(nil)
	}
	o.act()
}
