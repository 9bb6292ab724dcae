package release

import (
	"container/list"
	"math"
	"math/rand"
	"slices"

	"ashwood.example/ashwood"
)

// FallbackConfig bounds the search for an engine that takes releases.
type FallbackConfig struct {
	MaxSearchCalls  int                         // calls out at engines that may not answer
	PassInterval    float64                     // ms from the begin of one pass over the engines to the next; half of it is drawn
	MaxAge          float64                     // ms after which a release is given up
	MaxWaiting      int                         // releases that wait; for one more, the oldest is given up
	Rand            *rand.Rand                  // of the order of engines, and of the waits
	CalledElsewhere func(ashwood.ServerID) bool // whether an engine is called for other reasons, and need not be asked
	PendingAt       func(Key) bool              // whether a release is owed to the engine itself, which is called for it
}

// Fallback holds the requests whose release no engine has taken: neither one that may hold something nor
// any other. As a call at any engine releases what all hold for a request, they wait here
// for the first engine that answers. Until then the engines are asked in passes, a few at a time and
// each once a pass, with the release that has waited longest, so that the calls don't grow with the
// releases. Each release that waits is then told once, to one of the engines that answer.
//
// It does no I/O, and is used by one goroutine at a time. Due costs a look at each release that waits.
type Fallback struct {
	cfg       FallbackConfig
	waiting   map[ashwood.RequestID]*list.Element // of *fallback
	order     list.List                           // the longest waiting first
	answering map[ashwood.ServerID]*callee        // engines that have answered since a release began to wait
	mute      map[ashwood.ServerID]*callee        // engines at which the last release was written and not answered
	pass      []ashwood.Server                    // engines still to be asked in this one
	passFrom  float64                             // ms, when the next pass may begin
	asking    int                                 // calls out of a pass
	muteOut   int                                 // calls out at mute engines, but for those of a pass
	calls     int
}

type fallback struct {
	id     ashwood.RequestID
	since  float64
	paused bool               // the request is being sent
	out    int                // number of its call that is out, but for those of a pass; 0 = none
	mute   []ashwood.ServerID // engines that it was written to without an answer
}

// callee is an engine that releases are told to.
type callee struct {
	server ashwood.Server
	out    int     // calls
	rank   float64 // among those with as many, drawn, so that gateways don't all choose one
}

// muteAtOnce is how many engines a release is told to without an answer whatever else is out. More are told, one behind the other, while
// fewer than AtOnce calls are that may not be answered: one of them may run, and answers no more than those that are stopped.
const muteAtOnce = 2

// CallEnd is what came of a call.
type CallResult int

// The ends of calls.
const (
	CallAnswered   CallResult = iota + 1 // the engine has answered
	CallUnanswered                       // it was written, and is not known to have arrived
	CallFailed                           // it was not written
)

// FallbackCall is a release to be made now at an engine that need not hold anything for the request.
type FallbackCall struct {
	Request ashwood.RequestID
	Engine  ashwood.Server
	search  bool // the engine may not answer
	mute    bool // it has left the last one without an answer
	number  int
}

// NewFallback makes a Fallback in which nothing waits.
func NewFallback(cfg FallbackConfig) *Fallback {
	return &Fallback{cfg: cfg, waiting: map[ashwood.RequestID]*list.Element{}, answering: map[ashwood.ServerID]*callee{}, mute: map[ashwood.ServerID]*callee{}}
}

// Len is the number of releases that wait.
func (f *Fallback) Len() int { return f.order.Len() }

// Waits tells whether a request's release does.
func (f *Fallback) Waiting(id ashwood.RequestID) bool { return f.waiting[id] != nil }

// Searching tells whether releases wait and no engine is known to answer.
func (f *Fallback) Searching() bool { return f.order.Len() > 0 && len(f.answering) == 0 }

// Wait has a release wait for an engine that takes it; unanswered are engines that it has been written to without an answer.
func (f *Fallback) Add(now float64, id ashwood.RequestID, unanswered []ashwood.ServerID) {
	f.Drop(id)
	if f.order.Len() >= f.cfg.MaxWaiting {
		f.Drop(f.order.Front().Value.(*fallback).id)
	}
	f.waiting[id] = f.order.PushBack(&fallback{id: id, since: now, mute: unanswered})
}

// Drop tells that a release need not be made any more. It gives whether it waited.
func (f *Fallback) Drop(id ashwood.RequestID) bool {
	p := f.waiting[id]
	if p == nil {
		return false
	}
	delete(f.waiting, id)
	f.order.Remove(p)
	if f.order.Len() == 0 {
		clear(f.answering)
		f.pass = nil
	}
	return true
}

// Abandon drops all that waits, where the caller will make no more calls.
func (f *Fallback) Abandon() {
	for f.order.Len() > 0 {
		f.Drop(f.order.Front().Value.(*fallback).id)
	}
}

// Pause has a release wait while its request is being sent, which it must not overtake, and no longer.
// It gives whether it waits.
func (f *Fallback) Pause(id ashwood.RequestID, paused bool) bool {
	p := f.waiting[id]
	if p == nil {
		return false
	}
	p.Value.(*fallback).paused = paused
	return true
}

// Answered tells that an engine has answered a call of any kind.
func (f *Fallback) Answered(v ashwood.Server) {
	delete(f.mute, v.ID)
	if f.order.Len() > 0 && f.answering[v.ID] == nil {
		f.answering[v.ID] = f.callee(v)
	}
}

// Unanswered tells that an engine has not answered a call of some kind, and whether that was a release which was written to it.
func (f *Fallback) Unanswered(v ashwood.Server, written bool) {
	delete(f.answering, v.ID)
	if written && f.mute[v.ID] == nil {
		f.mute[v.ID] = f.callee(v)
	}
}

// Unreachable tells that no connection to an engine comes up, or that it has left the list.
func (f *Fallback) Unreachable(id ashwood.ServerID) {
	delete(f.answering, id)
	delete(f.mute, id)
}

// Keep forgets the engines that a whole list does not name.
func (f *Fallback) RetainOnly(named map[ashwood.ServerID]bool) {
	for id := range f.mute {
		if !named[id] {
			f.Unreachable(id)
		}
	}
}

func (f *Fallback) callee(v ashwood.Server) *callee {
	return &callee{server: v, rank: f.cfg.Rand.Float64()}
}

// Due gives the calls to be made now, and in how many ms to ask again if nothing else happens before;
// +Inf = not before. candidates gives the engines that may be called: those that answered last, which are asked first, and all.
func (f *Fallback) NextCalls(now float64, candidates func() (latest, all []ashwood.Server)) (calls []FallbackCall, next float64) {
	f.expire(now)
	var first *fallback // that may be made now
	for p := f.order.Front(); p != nil; p = p.Next() {
		w := p.Value.(*fallback)
		if w.paused || w.out > 0 {
			continue
		}
		if first == nil {
			first = w
		}
		e := f.choose(w)
		if e == nil {
			continue
		}
		e.out++
		call := f.call(w, e.server, false)
		if call.mute = f.mute[e.server.ID] == e; call.mute {
			f.muteOut++
		}
		w.out = call.number
		calls = append(calls, call)
	}
	if first == nil || len(f.answering) > 0 {
		return calls, math.Inf(1)
	}
	asked, next := f.search(now, first, candidates)
	return append(calls, asked...), next
}

// expire gives up what has waited too long.
func (f *Fallback) expire(now float64) {
	for p := f.order.Front(); p != nil && now-p.Value.(*fallback).since >= f.cfg.MaxAge; p = f.order.Front() {
		f.Drop(p.Value.(*fallback).id)
	}
}

// choose gives an engine to be told of a release: one that answers or, where none does, one that lets calls be written.
func (f *Fallback) choose(w *fallback) *callee {
	switch {
	case len(f.answering) > 0:
		return f.idlest(f.answering, w, nil) // also one that was told without an answer: its connection alone may have been silent
	case len(w.mute) < muteAtOnce || f.muteOut+f.asking < f.cfg.MaxSearchCalls:
		return f.idlest(f.mute, w, w.mute)
	}
	return nil
}

// idlest gives the engine with the fewest calls out, but for some, that is not called for the release anyway; nil = none is free.
func (f *Fallback) idlest(engines map[ashwood.ServerID]*callee, w *fallback, but []ashwood.ServerID) (best *callee) {
	for id, e := range engines {
		fewer := best == nil || e.out < best.out || e.out == best.out && e.rank < best.rank
		if e.out < atOnce && fewer && !slices.Contains(but, id) && !f.cfg.PendingAt(Key{id, w.id}) {
			best = e
		}
	}
	return best
}

// search asks the next engines of a pass.
func (f *Fallback) search(now float64, w *fallback, candidates func() (latest, all []ashwood.Server)) (calls []FallbackCall, next float64) {
	if len(f.pass) == 0 {
		if now < f.passFrom {
			return nil, f.passFrom - now
		}
		f.begin(now, candidates)
	}
	for len(f.pass) > 0 && f.asking < f.cfg.MaxSearchCalls {
		f.asking++
		calls = append(calls, f.call(w, f.pass[0], true))
		f.pass = f.pass[1:]
	}
	if len(f.pass) > 0 { // the end of a call brings the next one
		return calls, math.Inf(1)
	}
	return calls, max(f.passFrom-now, 0)
}

// begin begins a pass over the engines that are not called for other reasons.
func (f *Fallback) begin(now float64, candidates func() (latest, all []ashwood.Server)) {
	latest, all := candidates()
	f.cfg.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	f.pass = nil
	taken := map[ashwood.ServerID]bool{}
	for _, v := range slices.Concat(latest, all) {
		if !taken[v.ID] && !f.cfg.CalledElsewhere(v.ID) {
			taken[v.ID] = true
			f.pass = append(f.pass, v)
		}
	}
	f.passFrom = now + f.cfg.PassInterval*(1+f.cfg.Rand.Float64())/2
}

func (f *Fallback) call(w *fallback, v ashwood.Server, search bool) FallbackCall {
	f.calls++
	return FallbackCall{Request: w.id, Engine: v, search: search, number: f.calls}
}

// Done tells what came of a call. A release is made with the first that is answered.
func (f *Fallback) Done(c FallbackCall, end CallResult) {
	if c.search {
		f.asking--
	}
	if c.mute {
		f.muteOut--
	}
	for _, engines := range []map[ashwood.ServerID]*callee{f.answering, f.mute} {
		if e := engines[c.Engine.ID]; e != nil && !c.search {
			e.out = max(e.out-1, 0)
		}
	}
	p := f.waiting[c.Request]
	if p == nil {
		return
	}
	w := p.Value.(*fallback)
	if w.out == c.number {
		w.out = 0
	}
	switch {
	case end == CallAnswered:
		f.Drop(c.Request)
	case end == CallUnanswered && !slices.Contains(w.mute, c.Engine.ID):
		w.mute = append(w.mute, c.Engine.ID)
	}
}
