package pacing

import "math/rand"

// Times of calls for lists, in milliseconds. What a gateway missed counts as told 6 s
// after its watch fell silent (2 s after the wait of a call that may wait, if that is
// later), whether or not it arrived, and whatever calls failed, were refused or given up,
// a change does 6 s after discovery had it and could be reached; a send must end 1 s after
// that. Whatever the number of gateways, the wait behind a call, or a call that stays silent
// with the wait behind it, has to end within that and leave time for the next to be answered.
const (
	WatchHold  = 2000.0 // that a watch may wait
	WatchSlack = 1000.0 // and how much later its answer is given up
	agentHold  = 200.0  // that a call may wait at an agent that has been silent
	agentSlack = 300.0  // and how much later that is given up
	agentFirst = 100.0  // from a failed call at an agent to the next; a watch goes on for 200
	agentLast  = 200.0  //
	callEvery  = 40.0   // between the calls of all gateways, at a discovery that they share
	silentMost = 2000.0 // from a silent call there to the next
	failedMost = 4500.0 // from one that it failed
)

// Reopen says how calls for lists follow one another. An agent of the gateway's own
// costs nobody and has the news from the moment that it answers again: it is asked
// again at once, with calls that wait little until one is answered. A discovery that
// all gateways share would be kept busy with calls that it fails, so that none is
// answered any more: those are spread by the fleet's size. A call that it left silent
// is opened anew sooner, as the rule has it.
type Reopen struct {
	gateways       int
	shared         bool
	most           float64 // of a wait after a failed call at a shared discovery
	silent, failed Backoff
	doubt          bool // the last call was not answered
}

// NewReopen is for one of so many gateways. Shared says that discovery has to be asked
// and serves them all. askMs is how long what is listed may go unasked for; 0 = not told.
func NewReopen(gateways int, shared bool, askMs float64, r *rand.Rand) *Reopen {
	if !shared {
		b := Backoff{Initial: agentFirst, Max: agentLast, Rand: r}
		return &Reopen{silent: b, failed: b}
	}
	p := &Reopen{gateways: gateways, shared: true, most: failedMost, silent: Backoff{Rand: r}, failed: Backoff{Rand: r}}
	if askMs > 0 {
		p.most = min(p.most, askMs)
	}
	p.SetProcesses(1)
	return p
}

// Share says how many processes make calls in the place of one gateway: each makes its part
// of them at a discovery that all gateways share, as far as the rule bears longer waits.
func (p *Reopen) SetProcesses(processes int) {
	if !p.shared {
		return
	}
	first := min(max(agentFirst, float64(p.gateways*processes)*callEvery), p.most)
	p.failed.Initial, p.failed.Max = first, min(4*first, p.most)
	p.silent.Initial = min(first, silentMost)
	p.silent.Max = min(4*p.silent.Initial, silentMost)
}

// Call gives how long the next call may wait at discovery, and after how long in all,
// without an answer, it is given up.
func (p *Reopen) Call() (hold, patience float64) {
	if p.doubt && !p.shared {
		return agentHold, agentHold + agentSlack
	}
	return WatchHold, WatchHold + WatchSlack
}

// Answered tells that a call was; the next one follows at once.
func (p *Reopen) Answered() {
	p.doubt = false
	p.silent.Reset()
	p.failed.Reset()
}

// Failed tells that a call was not answered, or not with a list, and gives the ms until
// the next. Silent says that nothing was heard in the time given.
func (p *Reopen) Failed(silent bool) (wait float64) {
	p.doubt = true
	if silent {
		return p.silent.Next()
	}
	return p.failed.Next()
}
