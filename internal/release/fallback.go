package release

import (
	"container/list"
	"math"
	"math/rand"
	"slices"

	"ashwood.example/ashwood"
)

// FallbackConfig holds the limits of the search for an engine that takes releases.
type FallbackConfig struct {
	MaxSearchCalls  int                         // calls in flight at engines that may not answer
	PassInterval    float64                     // ms between the starts of two passes over the engines; a random share of up to half is taken off
	MaxAge          float64                     // ms after which a release is given up
	MaxWaiting      int                         // waiting releases; adding one more drops the oldest
	Rand            *rand.Rand                  // randomizes the order of engines and the time between passes
	CalledElsewhere func(ashwood.ServerID) bool // whether an engine is called for other reasons, so that a pass can skip it
	PendingAt       func(Key) bool              // whether a release is pending at the engine itself, which is called for it
}

// Fallback holds the requests whose release no engine has taken, neither one that may hold something nor
// any other. A call at any engine releases what all engines hold for a request, so the releases wait here
// for the first engine that answers. Until then the engines are called in passes, a few at a time and
// each once per pass, with the release that has waited longest. The number of calls therefore does not grow
// with the number of releases. Each waiting release is then sent once, to one of the engines that answer.
//
// It does no I/O and must be used by one goroutine at a time. NextCalls visits each waiting release.
type Fallback struct {
	cfg               FallbackConfig
	waiting           map[ashwood.RequestID]*list.Element // of *waitingRelease
	byAge             list.List                           // the longest waiting first
	responsive        map[ashwood.ServerID]*callTarget    // engines that have answered while releases wait
	unresponsive      map[ashwood.ServerID]*callTarget    // engines whose last release call was written but not answered
	pass              []ashwood.Server                    // engines that the current pass has still to call
	nextPassAt        float64                             // ms; when the next pass may start
	searchCalls       int                                 // calls in flight that belong to a pass
	unresponsiveCalls int                                 // calls in flight at unresponsive engines, without those of a pass
	lastCall          int
}

// waitingRelease is a release that waits for an engine to take it.
type waitingRelease struct {
	request      ashwood.RequestID
	addedAt      float64
	paused       bool               // the request is being sent
	callInFlight int                // id of its call in flight, without those of a pass; 0 = none
	unansweredBy []ashwood.ServerID // engines that got it written and did not answer
}

// callTarget is an engine that can be called with waiting releases.
type callTarget struct {
	server   ashwood.Server
	inFlight int     // calls
	tieBreak float64 // random, so that gateways don't all choose the same of equally loaded engines
}

// minUnresponsiveTries is how many unresponsive engines a release is sent to whatever else is in flight. It is sent to more, one after the
// other, while fewer than MaxSearchCalls calls are in flight that may not be answered: one of those engines may be running although it answers
// no more than a stopped one.
const minUnresponsiveTries = 2

// CallResult is the result of a FallbackCall.
type CallResult int

// Results of calls.
const (
	CallAnswered   CallResult = iota + 1 // the engine answered
	CallUnanswered                       // written, but not known to have arrived
	CallFailed                           // not written
)

// FallbackCall is a release call to make now at an engine that need not hold anything for the request.
type FallbackCall struct {
	Request      ashwood.RequestID
	Engine       ashwood.Server
	search       bool // belongs to a pass: the engine may not answer
	unresponsive bool // the engine did not answer its last release
	id           int
}

// NewFallback returns a Fallback without waiting releases.
func NewFallback(cfg FallbackConfig) *Fallback {
	return &Fallback{cfg: cfg, waiting: map[ashwood.RequestID]*list.Element{}, responsive: map[ashwood.ServerID]*callTarget{}, unresponsive: map[ashwood.ServerID]*callTarget{}}
}

// Len returns the number of waiting releases.
func (f *Fallback) Len() int { return f.byAge.Len() }

// Waiting reports whether a request's release waits.
func (f *Fallback) Waiting(id ashwood.RequestID) bool { return f.waiting[id] != nil }

// Searching reports whether releases wait and no engine is known to answer.
func (f *Fallback) Searching() bool { return f.byAge.Len() > 0 && len(f.responsive) == 0 }

// Add queues a release until an engine takes it. unansweredBy are the engines that got it written and did not answer.
func (f *Fallback) Add(now float64, id ashwood.RequestID, unansweredBy []ashwood.ServerID) {
	f.Drop(id)
	if f.byAge.Len() >= f.cfg.MaxWaiting {
		f.Drop(f.byAge.Front().Value.(*waitingRelease).request)
	}
	f.waiting[id] = f.byAge.PushBack(&waitingRelease{request: id, addedAt: now, unansweredBy: unansweredBy})
}

// Drop removes a release that is no longer needed. It reports whether the release was waiting.
func (f *Fallback) Drop(id ashwood.RequestID) bool {
	item := f.waiting[id]
	if item == nil {
		return false
	}
	delete(f.waiting, id)
	f.byAge.Remove(item)
	if f.byAge.Len() == 0 {
		clear(f.responsive)
		f.pass = nil
	}
	return true
}

// Abandon drops all waiting releases; the caller makes no more calls.
func (f *Fallback) Abandon() {
	for f.byAge.Len() > 0 {
		f.Drop(f.byAge.Front().Value.(*waitingRelease).request)
	}
}

// Pause sets whether a release is held back, which it must be while its request is being sent, so as not to
// overtake it. It reports whether the release is waiting here.
func (f *Fallback) Pause(id ashwood.RequestID, paused bool) bool {
	item := f.waiting[id]
	if item == nil {
		return false
	}
	item.Value.(*waitingRelease).paused = paused
	return true
}

// Answered records that an engine has answered a call of any kind.
func (f *Fallback) Answered(server ashwood.Server) {
	delete(f.unresponsive, server.ID)
	if f.byAge.Len() > 0 && f.responsive[server.ID] == nil {
		f.responsive[server.ID] = f.newTarget(server)
	}
}

// Unanswered records that an engine has not answered a call of any kind; written says that it was a release call which was written to it.
func (f *Fallback) Unanswered(server ashwood.Server, written bool) {
	delete(f.responsive, server.ID)
	if written && f.unresponsive[server.ID] == nil {
		f.unresponsive[server.ID] = f.newTarget(server)
	}
}

// Unreachable records that no connection to an engine can be opened, or that it has left the membership.
func (f *Fallback) Unreachable(id ashwood.ServerID) {
	delete(f.responsive, id)
	delete(f.unresponsive, id)
}

// RetainOnly forgets the unresponsive engines that are not in a membership snapshot.
func (f *Fallback) RetainOnly(present map[ashwood.ServerID]bool) {
	for id := range f.unresponsive {
		if !present[id] {
			f.Unreachable(id)
		}
	}
}

func (f *Fallback) newTarget(server ashwood.Server) *callTarget {
	return &callTarget{server: server, tieBreak: f.cfg.Rand.Float64()}
}

// NextCalls returns the calls to make now, and after how many ms to ask again if nothing else happens before that;
// +Inf = never. candidates returns the engines that may be called: those that answered last, which are called first, and all.
func (f *Fallback) NextCalls(now float64, candidates func() (answeredLast, all []ashwood.Server)) (calls []FallbackCall, next float64) {
	f.expire(now)
	var oldestReady *waitingRelease // the longest waiting one that may be sent now
	for item := f.byAge.Front(); item != nil; item = item.Next() {
		w := item.Value.(*waitingRelease)
		if w.paused || w.callInFlight > 0 {
			continue
		}
		if oldestReady == nil {
			oldestReady = w
		}
		e := f.chooseTarget(w)
		if e == nil {
			continue
		}
		e.inFlight++
		call := f.newCall(w, e.server, false)
		if call.unresponsive = f.unresponsive[e.server.ID] == e; call.unresponsive {
			f.unresponsiveCalls++
		}
		w.callInFlight = call.id
		calls = append(calls, call)
	}
	if oldestReady == nil || len(f.responsive) > 0 {
		return calls, math.Inf(1)
	}
	searchCalls, next := f.search(now, oldestReady, candidates)
	return append(calls, searchCalls...), next
}

// expire drops the releases that have waited too long.
func (f *Fallback) expire(now float64) {
	for item := f.byAge.Front(); item != nil && now-item.Value.(*waitingRelease).addedAt >= f.cfg.MaxAge; item = f.byAge.Front() {
		f.Drop(item.Value.(*waitingRelease).request)
	}
}

// chooseTarget returns an engine to call with a release: one that answers or, if none does, one to which calls can be written; nil = none.
func (f *Fallback) chooseTarget(w *waitingRelease) *callTarget {
	switch {
	case len(f.responsive) > 0:
		return f.leastLoaded(f.responsive, w, nil) // also one that did not answer this release: perhaps only its connection was silent
	case len(w.unansweredBy) < minUnresponsiveTries || f.unresponsiveCalls+f.searchCalls < f.cfg.MaxSearchCalls:
		return f.leastLoaded(f.unresponsive, w, w.unansweredBy)
	}
	return nil
}

// leastLoaded returns the engine with the fewest calls in flight that is neither excluded nor called for the release anyway; nil = none is free.
func (f *Fallback) leastLoaded(engines map[ashwood.ServerID]*callTarget, w *waitingRelease, excluded []ashwood.ServerID) (best *callTarget) {
	for id, e := range engines {
		fewer := best == nil || e.inFlight < best.inFlight || e.inFlight == best.inFlight && e.tieBreak < best.tieBreak
		if e.inFlight < maxCallsPerEngine && fewer && !slices.Contains(excluded, id) && !f.cfg.PendingAt(Key{id, w.request}) {
			best = e
		}
	}
	return best
}

// search calls the next engines of the current pass, or starts a new pass.
func (f *Fallback) search(now float64, w *waitingRelease, candidates func() (answeredLast, all []ashwood.Server)) (calls []FallbackCall, next float64) {
	if len(f.pass) == 0 {
		if now < f.nextPassAt {
			return nil, f.nextPassAt - now
		}
		f.startPass(now, candidates)
	}
	for len(f.pass) > 0 && f.searchCalls < f.cfg.MaxSearchCalls {
		f.searchCalls++
		calls = append(calls, f.newCall(w, f.pass[0], true))
		f.pass = f.pass[1:]
	}
	if len(f.pass) > 0 { // the end of a call starts the next one
		return calls, math.Inf(1)
	}
	return calls, max(f.nextPassAt-now, 0)
}

// startPass starts a pass over the engines that are not called for other reasons.
func (f *Fallback) startPass(now float64, candidates func() (answeredLast, all []ashwood.Server)) {
	answeredLast, all := candidates()
	f.cfg.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	f.pass = nil
	added := map[ashwood.ServerID]bool{}
	for _, server := range slices.Concat(answeredLast, all) {
		if !added[server.ID] && !f.cfg.CalledElsewhere(server.ID) {
			added[server.ID] = true
			f.pass = append(f.pass, server)
		}
	}
	f.nextPassAt = now + f.cfg.PassInterval*(1+f.cfg.Rand.Float64())/2
}

func (f *Fallback) newCall(w *waitingRelease, server ashwood.Server, search bool) FallbackCall {
	f.lastCall++
	return FallbackCall{Request: w.request, Engine: server, search: search, id: f.lastCall}
}

// Done records the result of a call. The first answered call completes its release.
func (f *Fallback) Done(call FallbackCall, result CallResult) {
	if call.search {
		f.searchCalls--
	}
	if call.unresponsive {
		f.unresponsiveCalls--
	}
	for _, engines := range []map[ashwood.ServerID]*callTarget{f.responsive, f.unresponsive} {
		if e := engines[call.Engine.ID]; e != nil && !call.search {
			e.inFlight = max(e.inFlight-1, 0)
		}
	}
	item := f.waiting[call.Request]
	if item == nil {
		return
	}
	w := item.Value.(*waitingRelease)
	if w.callInFlight == call.id {
		w.callInFlight = 0
	}
	switch {
	case result == CallAnswered:
		f.Drop(call.Request)
	case result == CallUnanswered && !slices.Contains(w.unansweredBy, call.Engine.ID):
		w.unansweredBy = append(w.unansweredBy, call.Engine.ID)
	}
}
