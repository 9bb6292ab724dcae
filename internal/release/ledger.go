// Package release is the one owner of what engines may hold for requests that no
// longer want it: it says which engine is to be told for which request, and when
// again. It does no I/O and takes the time as an argument; its caller makes the
// calls and tells what came of them.
//
// What is owed stays owed until an engine that runs has got the call, the engine
// is known to have started anew, or one of the bounds in Config is met. An engine
// that does not answer gets each call once and then one at a time, however many requests it may hold
// something for; once one has got through, the others follow at once.
//
// A release lets go only of what no attempt waits for. Where an attempt has just
// been given up, its engine may see that after the call: such a release is doubtful,
// and is made again a little later.
package release

import (
	"container/list"
	"math"
	"math/rand"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/pacing"
)

// Config bounds what is owed.
type Config struct {
	MinBackoff   float64    // ms from a call that failed to the next at the same engine
	MaxBackoff   float64    // ms, to which that doubles
	MaxAge       float64    // ms after which a release that fails is given up
	RepeatDelays []float64  // ms, from a doubtful release that was made to the next, for each
	MaxPending   int        // releases owed at once; for one more, the oldest is given up
	Rand         *rand.Rand // of the waits
}

// Key names a release: a request, at an engine.
type Key struct {
	Engine  ashwood.ServerID
	Request ashwood.RequestID
}

// Call is a release to be made now.
type Call struct {
	Key
	Engine ashwood.Server
	Try    int // from 0; after a first one, connections that were there then are not to be trusted
	number int // of all calls
}

// End tells why a release is owed no more.
type EndReason int

// The ends of releases.
const (
	Delivered EndReason = iota + 1 // an engine that runs has got the call
	Withdrawn                      // the request was sent there again
	Restarted                      // the engine has started anew, or left the list and takes no call: it holds nothing
	Expired                        // Config.MaxAge has gone by
	Evicted                        // it was the oldest, and more than Config.Most were owed
)

// String names an end in logs.
func (e EndReason) String() string {
	return []string{"none", "made", "withdrawn", "restarted", "too old", "crowded"}[e]
}

// Ended is a release that is owed no more.
type EndedRelease struct {
	Key
	Reason EndReason
	Age    float64 // ms for which it was owed
}

// atOnce bounds the calls that are out at one engine, which holds few connections.
const atOnce = 4

// Ledger holds what is owed. It is used by one goroutine at a time. Owe, Done and
// Withdraw cost a map's look-up, Due a look at each release owed; the fleet's size
// costs nothing.
type Ledger struct {
	cfg     Config
	engines map[ashwood.ServerID]*engine
	order   list.List // of *debt, the longest owed first
	ended   []EndedRelease
	repeats []Repeat
	calls   int
}

type engine struct {
	ashwood.Server
	debts map[ashwood.RequestID]*debt
	pace  pacing.Backoff
	fails int     // calls in a row that did not get through
	next  float64 // not before this time, after a failure
	out   int     // calls
	gone  bool    // it has left the list
}

type debt struct {
	key      Key
	since    float64
	tries    int
	out      int  // the number of its call that is out; 0 = none
	again    bool // it came to hold something more while a call was out
	doubtful bool
	paused   bool    // repeats are not made: the request is on its way
	sentPast int     // the number of the call that was out as the request was sent somewhere; 0 = none
	made     int     // times that a doubtful one has been; its end is told with the first
	passed   int     // repeats that other engines are to make
	from     float64 // the next one is not to be made before
	place    *list.Element
}

// New makes a ledger in which nothing is owed.
func New(cfg Config) *Ledger { return &Ledger{cfg: cfg, engines: map[ashwood.ServerID]*engine{}} }

// Len is the number of releases owed.
func (l *Ledger) Len() int { return l.order.Len() }

// Failing tells whether the last call at an engine has not got through.
func (l *Ledger) Failing(id ashwood.ServerID) bool {
	e := l.engines[id]
	return e != nil && e.fails > 0
}

// Owes tells whether an engine has to be told of any release, and is called for it. For repeats that are paused it is not.
func (l *Ledger) HasPending(id ashwood.ServerID) bool {
	e := l.engines[id]
	if e == nil {
		return false
	}
	for _, d := range e.debts {
		if !d.waits() {
			return true
		}
	}
	return false
}

// Unmade tells whether a release is owed that no engine has taken yet.
func (l *Ledger) Undelivered(k Key) bool {
	d := l.find(k)
	return d != nil && d.made == 0
}

// Owe notes that an engine has to be told. Owed already, it is owed for what it
// may have come to hold since as well. Doubtful says that an attempt or a call for
// a place was given up which an engine may not have seen to end yet.
func (l *Ledger) Add(now float64, v ashwood.Server, id ashwood.RequestID, doubtful bool) {
	e := l.engines[v.ID]
	if e == nil {
		e = &engine{debts: map[ashwood.RequestID]*debt{}, pace: pacing.Backoff{Initial: l.cfg.MinBackoff, Max: l.cfg.MaxBackoff, Rand: l.cfg.Rand}}
		l.engines[v.ID] = e
	}
	e.Server, e.gone = v, false
	if d := e.debts[id]; d != nil {
		d.since, d.again, d.from = now, d.out > 0, now
		d.doubtful, d.made, d.passed, d.paused = d.doubtful || doubtful, 0, 0, false
		d.tries = 0 // the calls of before told of nothing that has come to be held since
		l.order.MoveToBack(d.place)
		return
	}
	if l.order.Len() >= l.cfg.MaxPending {
		l.end(l.order.Front().Value.(*debt), now, Evicted)
		l.engines[v.ID] = e // its last debt may have been the oldest
	}
	d := &debt{key: Key{v.ID, id}, since: now, from: now, doubtful: doubtful}
	d.place = l.order.PushBack(d)
	e.debts[id] = d
}

// Withdraw tells that a request is being sent to an engine again, and whether a
// release was owed there: it must not overtake what is sent now.
func (l *Ledger) Withdraw(now float64, k Key) bool {
	d := l.find(k)
	if d != nil {
		l.end(d, now, Withdrawn)
	}
	return d != nil
}

// Started tells that an engine has started anew at a time in ms: what was owed
// before is held no more.
func (l *Ledger) EngineRestarted(now float64, id ashwood.ServerID, at float64) {
	if e := l.engines[id]; e != nil {
		for _, d := range e.debts {
			if d.since < at {
				l.end(d, now, Restarted)
			}
		}
	}
}

// Left tells that an engine has left the list. It may still run and hold
// something: it is told as long as it takes calls, and forgotten when it does not.
func (l *Ledger) EngineRemoved(id ashwood.ServerID) {
	if e := l.engines[id]; e != nil {
		e.gone = true
	}
}

// Missing tells of a whole list: an engine that is not on it has left.
func (l *Ledger) MarkAbsent(there map[ashwood.ServerID]bool) {
	for id := range l.engines {
		if !there[id] {
			l.EngineRemoved(id)
		}
	}
}

// Due gives the calls to be made now, and in how many ms to ask again if nothing
// else happens before; +Inf = not before. At an engine that does not answer, further tries go to
// the release tried least: the first try of each is made all the same, as an engine may run, take
// calls and answer none.
func (l *Ledger) NextCalls(now float64) (calls []Call, next float64) {
	next = math.Inf(1)
	again := map[*engine]*debt{}
	for p := l.order.Front(); p != nil; p = p.Next() {
		d := p.Value.(*debt)
		e := l.engines[d.key.Engine]
		switch {
		case d.out > 0 || e.out >= atOnce || d.waits():
		case now < d.from:
			next = min(next, d.from-now)
		case e.fails == 0 || d.tries == 0:
			calls = append(calls, l.call(e, d))
		case e.out > 0:
		case now < e.next:
			next = min(next, e.next-now)
		case again[e] == nil || d.tries < again[e].tries:
			again[e] = d
		}
	}
	for p := l.order.Front(); p != nil && len(again) > 0; p = p.Next() {
		d := p.Value.(*debt)
		e := l.engines[d.key.Engine]
		if again[e] == d {
			delete(again, e)
			if e.out == 0 {
				calls = append(calls, l.call(e, d))
			}
		}
	}
	return calls, next
}

// call begins a call.
func (l *Ledger) call(e *engine, d *debt) Call {
	l.calls++
	d.out, e.out = l.calls, e.out+1
	c := Call{Key: d.key, Engine: e.Server, Try: max(d.tries, e.fails), number: l.calls}
	d.tries++
	return c
}

// Void tells that a call was ended by its caller: it says nothing of its engine.
func (l *Ledger) Discard(c Call) {
	if l.back(c) == nil {
		return
	}
	if d := l.find(c.Key); d != nil && d.out == c.number {
		d.out = 0
	}
	l.forget(c.Key.Engine)
}

// back takes a call out of those at its engine.
func (l *Ledger) back(c Call) *engine {
	e := l.engines[c.Key.Engine]
	if e != nil {
		e.out = max(e.out-1, 0)
	}
	return e
}

// forget drops an engine that is owed nothing.
func (l *Ledger) forget(id ashwood.ServerID) {
	if e := l.engines[id]; e != nil && len(e.debts) == 0 && e.out == 0 {
		delete(l.engines, id)
	}
}

// Done tells whether a call has got through to an engine that runs. A call of
// a release that was withdrawn since counts for its engine alone.
func (l *Ledger) Done(now float64, c Call, made bool) {
	e := l.back(c)
	if e == nil {
		return
	}
	if made {
		e.fails, e.next = 0, 0
		e.pace.Reset()
	} else if now >= e.next { // calls that failed together count as one failure
		e.fails++
		e.next = now + e.pace.Next()
	}
	d := l.find(c.Key)
	if d == nil || d.out != c.number {
		l.forget(c.Key.Engine)
		return
	}
	again := d.again
	d.out, d.again = 0, false
	if again {
		d.tries = 0 // as an engine that hangs has taken the call and not what came after it
	}
	switch {
	case made && again:
	case made && d.doubtful && d.sentPast != c.number && d.made < len(l.cfg.RepeatDelays):
		l.repeat(d, now)
	case made:
		l.end(d, now, Delivered)
	case e.gone:
		l.end(d, now, Restarted)
	case now-d.since >= l.cfg.MaxAge:
		l.end(d, now, Expired)
	default:
		l.passOn(d)
	}
}

// Abandon ends all that is owed, where the caller will make no more calls.
func (l *Ledger) Abandon(now float64) {
	for l.order.Len() > 0 {
		l.end(l.order.Front().Value.(*debt), now, Expired)
	}
}

// Ended gives what has ended since the last call of it.
func (l *Ledger) TakeEnded() []EndedRelease {
	ended := l.ended
	l.ended = nil
	return ended
}

func (l *Ledger) find(k Key) *debt {
	if e := l.engines[k.Engine]; e != nil {
		return e.debts[k.Request]
	}
	return nil
}

func (l *Ledger) end(d *debt, now float64, why EndReason) {
	e := l.engines[d.key.Engine]
	l.order.Remove(d.place)
	delete(e.debts, d.key.Request)
	l.forget(d.key.Engine)
	switch {
	case d.made == 0:
		l.ended = append(l.ended, EndedRelease{d.key, why, now - d.since})
	case why == Restarted: // it holds nothing; another may hold what the first call has left
		l.repeats = append(l.repeats, Repeat{d.key.Request, d.paused})
	}
}
