package pacing

import (
	"fmt"
	"math/rand"
	"testing"
)

// heardAfter plays one gateway's calls through an outage from a time to another, and
// gives when it first hears what is listed at the time news. A call that is open when the
// outage begins, or made during it, stays silent to its end (or fails at once); the
// moment at which the last call before the news was heard fell silent comes with it.
func heardAfter(p *Reopen, from, to, news float64, fails bool) (heard, silent float64) {
	for now := 0.0; ; {
		hold, patience := p.Call()
		end := now + hold
		switch {
		case now < to && end > from && !(fails && now < from): // it meets the outage
			gone := now + patience
			if fails {
				gone = now
			} else if silent == 0 || now > from {
				silent = max(now, from)
			}
			now = gone + p.Failed(!fails)
		default:
			if fails && now < from && end > from { // broken by the outage's begin
				now = from + p.Failed(false)
				continue
			}
			p.Answered()
			if end >= news {
				return max(now, news), silent
			}
			now = end
		}
	}
}

// However many gateways there are, whichever way lists come and however long discovery
// was down: what an agent has is heard within the second that a drain leaves, once the
// 6 s after the watch fell silent are over; a shared discovery's silent call is opened
// anew, and heard, within them.
func TestNoWaitIsLongerThanTheRuleBears(t *testing.T) {
	const told, grace, answered = 6000.0, 1000.0, 1500.0 // what a discovery that all ask may take to answer
	for _, gateways := range []int{1, 4, 80, 300, 350, 1024} {
		for _, shared := range []bool{false, true} {
			for _, fails := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d gateways, shared %v, failing %v", gateways, shared, fails), func(t *testing.T) {
					for seed := range int64(200) {
						r := rand.New(rand.NewSource(seed))
						from := 3000 + 4000*r.Float64()
						to := from + 1000 + 19000*r.Float64()
						news := from + (to+3000-from)*r.Float64()
						p := NewReopen(gateways, shared, 10000, r)
						p.SetProcesses(1 + int(seed)%2)
						heard, silent := heardAfter(p, from, to, news, fails)
						// What is heard at the earliest, and the time by which it counts as told.
						due := max(news, to)
						switch {
						case !shared: // the agent has it from the outage's end on
							if silent > 0 {
								due = max(due, from+told)
							}
							due += grace
						case fails: // whatever calls failed, 6 s after discovery had it and could be reached
							due += told + grace - answered
						default: // silent calls fall silent anew each time that they are opened
							due = max(due, silent+told) + grace
						}
						if heard > due {
							t.Fatalf("seed %d: down from %.0f to %.0f, news at %.0f heard at %.0f, due at %.0f", seed, from, to, news, heard, due)
						}
					}
				})
			}
		}
	}
}

// A shared discovery that fails calls is asked by the whole fleet no more often than its
// size allows, at any number of gateways up to where the longest wait binds, also while
// each runs twice. An agent of one's own is asked at once by both.
func TestFailedCallsOfAFleetAreSpread(t *testing.T) {
	for _, gateways := range []int{4, 80, 300} {
		for _, processes := range []int{1, 2, 3} {
			p, sum := NewReopen(gateways, true, 10000, rand.New(rand.NewSource(7))), 0.0
			p.SetProcesses(processes)
			const calls = 50
			for range calls {
				sum += p.Failed(false)
			}
			most := 45.0
			if n := float64(gateways * processes); n > failedMost/callEvery { // the longest wait binds
				most = n / (failedMost / 2) * 1000
			}
			if rate := float64(gateways*processes) * calls / sum * 1000; rate > most {
				t.Errorf("%d gateways of %d processes make %.0f calls a second", gateways, processes, rate)
			}
		}
	}
	own := NewReopen(300, false, 10000, rand.New(rand.NewSource(7)))
	own.SetProcesses(2)
	for call := range 2 {
		if wait := own.Failed(true); wait > agentLast {
			t.Errorf("failed call %d: an agent of one's own is waited for, %v ms", call, wait)
		}
	}
}
