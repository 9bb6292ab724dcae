// Package release is the only owner of pending releases: KV state and reservations
// that engines may hold for requests which no longer need them. It decides which
// engine gets a release call for which request, and when to retry. It does no I/O and
// takes the time as an argument; its caller makes the calls and reports their results.
//
// A release stays pending until a running engine has received the call, the engine
// is known to have restarted, or a limit in Config is reached. An engine that does
// not answer gets each call once, and after that only one call at a time, however many
// requests it may hold something for. Once a call gets through, the others follow at once.
//
// An engine drops only what no attempt is waiting for. If an attempt has just been
// abandoned, its engine may notice that only after the release call. Such a release is
// uncertain, and is repeated a little later.
package release

import (
	"container/list"
	"math"
	"math/rand"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/pacing"
)

// Config holds the retry timing and limits of a Ledger.
type Config struct {
	MinBackoff   float64    // ms between a failed call and the next one at the same engine
	MaxBackoff   float64    // ms; the backoff doubles up to this
	MaxAge       float64    // ms after which a release whose calls fail is given up
	RepeatDelays []float64  // ms to wait after each delivery of an uncertain release before the next one
	MaxPending   int        // pending releases; adding one more evicts the oldest
	Rand         *rand.Rand // source of the backoff jitter
}

// Key identifies a release by its engine and request.
type Key struct {
	Engine  ashwood.ServerID
	Request ashwood.RequestID
}

// Call is a release call that the caller has to make now.
type Call struct {
	Key
	Engine ashwood.Server
	Try    int // counted from 0; a retry must not use a connection that existed during an earlier try
	id     int // unique within the ledger
}

// EndReason says why a release is no longer pending.
type EndReason int

// Reasons for which a release ends.
const (
	Delivered EndReason = iota + 1 // a running engine has received the call
	Withdrawn                      // the request was sent to the engine again
	Restarted                      // the engine restarted, or left the membership and takes no call: it holds nothing
	Expired                        // older than Config.MaxAge
	Evicted                        // the oldest when Config.MaxPending was exceeded
)

// String returns the reason as it appears in logs.
func (r EndReason) String() string {
	return []string{"none", "made", "withdrawn", "restarted", "too old", "crowded"}[r]
}

// EndedRelease is a release that is no longer pending.
type EndedRelease struct {
	Key
	Reason EndReason
	Age    float64 // ms for which it was pending
}

// maxCallsPerEngine limits the calls in flight at one engine, which accepts few connections.
const maxCallsPerEngine = 4

// Ledger holds the pending releases. It must be used by one goroutine at a time. Add,
// Done and Withdraw cost a map lookup; NextCalls visits each pending release. The cost
// does not depend on the size of the fleet.
type Ledger struct {
	cfg      Config
	engines  map[ashwood.ServerID]*engineState
	byAge    list.List // of *pendingRelease, the oldest first
	ended    []EndedRelease
	repeats  []Repeat
	lastCall int
}

// engineState holds the pending releases of one engine and the backoff of its calls.
type engineState struct {
	ashwood.Server
	pending  map[ashwood.RequestID]*pendingRelease
	backoff  pacing.Backoff
	failures int     // consecutive calls that did not get through
	retryAt  float64 // ms; no retry before this time after a failure
	inFlight int     // calls
	removed  bool    // left the membership
}

type pendingRelease struct {
	key           Key
	addedAt       float64
	tries         int
	callInFlight  int  // id of its call in flight; 0 = none
	renewed       bool // the engine may have come to hold more during the call in flight
	uncertain     bool
	paused        bool    // repeats wait because the request is being sent to an engine
	callAtArrival int     // id of the call in flight when the request reached an engine; 0 = none
	deliveries    int     // how often an uncertain release has been delivered; its end is reported with the first
	passedOn      int     // repeats handed to other engines
	notBefore     float64 // ms; no call before this time
	element       *list.Element
}

// New returns an empty ledger.
func New(cfg Config) *Ledger { return &Ledger{cfg: cfg, engines: map[ashwood.ServerID]*engineState{}} }

// Len returns the number of pending releases.
func (l *Ledger) Len() int { return l.byAge.Len() }

// Failing reports whether the last call to an engine did not get through.
func (l *Ledger) Failing(id ashwood.ServerID) bool {
	e := l.engines[id]
	return e != nil && e.failures > 0
}

// HasPending reports whether any release is pending at an engine, so that it is going to be called. Paused repeats do not count.
func (l *Ledger) HasPending(id ashwood.ServerID) bool {
	e := l.engines[id]
	if e == nil {
		return false
	}
	for _, r := range e.pending {
		if !r.repeatPaused() {
			return true
		}
	}
	return false
}

// Undelivered reports whether a release is pending that no engine has received yet.
func (l *Ledger) Undelivered(k Key) bool {
	r := l.find(k)
	return r != nil && r.deliveries == 0
}

// Add records that an engine needs a release call for a request. A release that is
// already pending is renewed, to cover what the engine may have come to hold since.
// uncertain says that an attempt or a reservation call was abandoned and the engine may
// not have seen its end yet.
func (l *Ledger) Add(now float64, server ashwood.Server, request ashwood.RequestID, uncertain bool) {
	e := l.engines[server.ID]
	if e == nil {
		e = &engineState{pending: map[ashwood.RequestID]*pendingRelease{}, backoff: pacing.Backoff{Initial: l.cfg.MinBackoff, Max: l.cfg.MaxBackoff, Rand: l.cfg.Rand}}
		l.engines[server.ID] = e
	}
	e.Server, e.removed = server, false
	if r := e.pending[request]; r != nil {
		r.addedAt, r.renewed, r.notBefore = now, r.callInFlight > 0, now
		r.uncertain, r.deliveries, r.passedOn, r.paused = r.uncertain || uncertain, 0, 0, false
		r.tries = 0 // earlier calls did not cover what the engine has come to hold since
		l.byAge.MoveToBack(r.element)
		return
	}
	if l.byAge.Len() >= l.cfg.MaxPending {
		l.endRelease(l.byAge.Front().Value.(*pendingRelease), now, Evicted)
		l.engines[server.ID] = e // evicting its only pending release has dropped the engine
	}
	r := &pendingRelease{key: Key{server.ID, request}, addedAt: now, notBefore: now, uncertain: uncertain}
	r.element = l.byAge.PushBack(r)
	e.pending[request] = r
}

// Withdraw drops the release of a request that is being sent to the engine again, since
// it must not overtake what is sent now. It reports whether a release was pending.
func (l *Ledger) Withdraw(now float64, k Key) bool {
	r := l.find(k)
	if r != nil {
		l.endRelease(r, now, Withdrawn)
	}
	return r != nil
}

// EngineRestarted records that an engine restarted at a time in ms: it no longer holds
// anything that was pending before.
func (l *Ledger) EngineRestarted(now float64, engine ashwood.ServerID, startedAt float64) {
	if e := l.engines[engine]; e != nil {
		for _, r := range e.pending {
			if r.addedAt < startedAt {
				l.endRelease(r, now, Restarted)
			}
		}
	}
}

// EngineRemoved records that an engine has left the membership. It may still run and
// hold something, so it is called as long as it takes calls and dropped once it does not.
func (l *Ledger) EngineRemoved(id ashwood.ServerID) {
	if e := l.engines[id]; e != nil {
		e.removed = true
	}
}

// MarkAbsent records a membership snapshot: every engine that is not in it has left.
func (l *Ledger) MarkAbsent(present map[ashwood.ServerID]bool) {
	for id := range l.engines {
		if !present[id] {
			l.EngineRemoved(id)
		}
	}
}

// NextCalls returns the calls to make now, and after how many ms to ask again if nothing
// else happens before that; +Inf = never. At an engine that does not answer, retries go to
// the release with the fewest tries. Each release still gets its first try at once, because
// an engine may run and take calls without answering any.
func (l *Ledger) NextCalls(now float64) (calls []Call, next float64) {
	next = math.Inf(1)
	retries := map[*engineState]*pendingRelease{}
	for item := l.byAge.Front(); item != nil; item = item.Next() {
		r := item.Value.(*pendingRelease)
		e := l.engines[r.key.Engine]
		switch {
		case r.callInFlight > 0 || e.inFlight >= maxCallsPerEngine || r.repeatPaused():
		case now < r.notBefore:
			next = min(next, r.notBefore-now)
		case e.failures == 0 || r.tries == 0:
			calls = append(calls, l.startCall(e, r))
		case e.inFlight > 0:
		case now < e.retryAt:
			next = min(next, e.retryAt-now)
		case retries[e] == nil || r.tries < retries[e].tries:
			retries[e] = r
		}
	}
	for item := l.byAge.Front(); item != nil && len(retries) > 0; item = item.Next() {
		r := item.Value.(*pendingRelease)
		e := l.engines[r.key.Engine]
		if retries[e] == r {
			delete(retries, e)
			if e.inFlight == 0 {
				calls = append(calls, l.startCall(e, r))
			}
		}
	}
	return calls, next
}

// startCall counts a call as in flight and returns it.
func (l *Ledger) startCall(e *engineState, r *pendingRelease) Call {
	l.lastCall++
	r.callInFlight, e.inFlight = l.lastCall, e.inFlight+1
	call := Call{Key: r.key, Engine: e.Server, Try: max(r.tries, e.failures), id: l.lastCall}
	r.tries++
	return call
}

// Discard drops a call that its caller ended, which says nothing about the engine.
func (l *Ledger) Discard(call Call) {
	if l.callReturned(call) == nil {
		return
	}
	if r := l.find(call.Key); r != nil && r.callInFlight == call.id {
		r.callInFlight = 0
	}
	l.dropIfUnused(call.Key.Engine)
}

// callReturned removes a call from those in flight at its engine.
func (l *Ledger) callReturned(call Call) *engineState {
	e := l.engines[call.Key.Engine]
	if e != nil {
		e.inFlight = max(e.inFlight-1, 0)
	}
	return e
}

// dropIfUnused drops an engine without pending releases or calls in flight.
func (l *Ledger) dropIfUnused(id ashwood.ServerID) {
	if e := l.engines[id]; e != nil && len(e.pending) == 0 && e.inFlight == 0 {
		delete(l.engines, id)
	}
}

// Done records whether a call was delivered to a running engine. If its release was
// withdrawn meanwhile, the result counts only for the engine.
func (l *Ledger) Done(now float64, call Call, delivered bool) {
	e := l.callReturned(call)
	if e == nil {
		return
	}
	if delivered {
		e.failures, e.retryAt = 0, 0
		e.backoff.Reset()
	} else if now >= e.retryAt { // calls that fail together count as one failure
		e.failures++
		e.retryAt = now + e.backoff.Next()
	}
	r := l.find(call.Key)
	if r == nil || r.callInFlight != call.id {
		l.dropIfUnused(call.Key.Engine)
		return
	}
	renewed := r.renewed
	r.callInFlight, r.renewed = 0, false
	if renewed {
		r.tries = 0 // a hung engine has received this call only, not the release renewed after it
	}
	switch {
	case delivered && renewed:
	case delivered && r.uncertain && r.callAtArrival != call.id && r.deliveries < len(l.cfg.RepeatDelays):
		l.scheduleRepeat(r, now)
	case delivered:
		l.endRelease(r, now, Delivered)
	case e.removed:
		l.endRelease(r, now, Restarted)
	case now-r.addedAt >= l.cfg.MaxAge:
		l.endRelease(r, now, Expired)
	default:
		l.passOn(r)
	}
}

// Abandon ends all pending releases; the caller makes no more calls.
func (l *Ledger) Abandon(now float64) {
	for l.byAge.Len() > 0 {
		l.endRelease(l.byAge.Front().Value.(*pendingRelease), now, Expired)
	}
}

// TakeEnded returns the releases that have ended since its last call.
func (l *Ledger) TakeEnded() []EndedRelease {
	ended := l.ended
	l.ended = nil
	return ended
}

func (l *Ledger) find(k Key) *pendingRelease {
	if e := l.engines[k.Engine]; e != nil {
		return e.pending[k.Request]
	}
	return nil
}

func (l *Ledger) endRelease(r *pendingRelease, now float64, reason EndReason) {
	e := l.engines[r.key.Engine]
	l.byAge.Remove(r.element)
	delete(e.pending, r.key.Request)
	l.dropIfUnused(r.key.Engine)
	switch {
	case r.deliveries == 0:
		l.ended = append(l.ended, EndedRelease{r.key, reason, now - r.addedAt})
	case reason == Restarted: // it holds nothing, but another engine may hold what the first delivery did not drop
		l.repeats = append(l.repeats, Repeat{r.key.Request, r.paused})
	}
}
