package pacing

import (
	"fmt"
	"math/rand"
	"testing"
)

// simulateOutage simulates one gateway's calls through an outage of discovery from one time to
// another. It returns when the gateway receives an update that discovery has from the time changed
// on, and when the last call before that fell silent. A call that is open when the outage begins,
// or made during it, gets no response until its timeout; if fails is set, it fails at once.
func simulateOutage(schedule *WatchSchedule, from, to, changed float64, fails bool) (received, silent float64) {
	for now := 0.0; ; {
		wait, timeout := schedule.NextTimeouts()
		end := now + wait
		switch {
		case now < to && end > from && !(fails && now < from): // the outage affects the call
			callEnd := now + timeout
			if fails {
				callEnd = now
			} else if silent == 0 || now > from {
				silent = max(now, from)
			}
			now = callEnd + schedule.Failed(!fails)
		default:
			if fails && now < from && end > from { // the begin of the outage breaks the call
				now = from + schedule.Failed(false)
				continue
			}
			schedule.Succeeded()
			if end >= changed {
				return max(now, changed), silent
			}
			now = end
		}
	}
}

// For any number of gateways and any length of the outage, with an agent or a shared discovery
// service: an update that an agent has is received within the 1 s that a drain leaves once the
// 6 s after the watch fell silent are over. With a shared service, a call without a response is
// repeated, and the update received, within these 6 s.
func TestWatchSchedule_UpdateDeadlineAfterOutage(t *testing.T) {
	const noticeTime, grace, responseTime = 6000.0, 1000.0, 1500.0 // that a shared discovery service may take to answer
	for _, gateways := range []int{1, 4, 80, 300, 350, 1024} {
		for _, shared := range []bool{false, true} {
			for _, fails := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d gateways, shared %v, failing %v", gateways, shared, fails), func(t *testing.T) {
					for seed := range int64(200) {
						r := rand.New(rand.NewSource(seed))
						from := 3000 + 4000*r.Float64()
						to := from + 1000 + 19000*r.Float64()
						changed := from + (to+3000-from)*r.Float64()
						schedule := NewWatchSchedule(gateways, shared, 10000, r)
						schedule.SetProcesses(1 + int(seed)%2)
						received, silent := simulateOutage(schedule, from, to, changed, fails)
						// From the earliest time at which the update can be received to the time by which it counts as received.
						deadline := max(changed, to)
						switch {
						case !shared: // the agent has it from the end of the outage
							if silent > 0 {
								deadline = max(deadline, from+noticeTime)
							}
							deadline += grace
						case fails: // whatever calls failed: 6 s after discovery had it and was reachable
							deadline += noticeTime + grace - responseTime
						default: // each repeated call may fall silent again
							deadline = max(deadline, silent+noticeTime) + grace
						}
						if received > deadline {
							t.Fatalf("seed %d: outage from %.0f to %.0f, update at %.0f received at %.0f, deadline %.0f", seed, from, to, changed, received, deadline)
						}
					}
				})
			}
		}
	}
}

// A shared discovery service that fails calls gets a limited rate of calls from the whole fleet, for
// any number of gateways up to the one at which the longest delay is reached, also while each
// gateway has several processes. An agent of a gateway's own is called soon by both processes.
func TestWatchSchedule_FailedCallRate(t *testing.T) {
	for _, gateways := range []int{4, 80, 300} {
		for _, processes := range []int{1, 2, 3} {
			schedule, sum := NewWatchSchedule(gateways, true, 10000, rand.New(rand.NewSource(7))), 0.0
			schedule.SetProcesses(processes)
			const calls = 50
			for range calls {
				sum += schedule.Failed(false)
			}
			maxRate := 45.0
			if n := float64(gateways * processes); n > maxFailedDelay/sharedCallInterval { // the longest delay limits the rate
				maxRate = n / (maxFailedDelay / 2) * 1000
			}
			if rate := float64(gateways*processes) * calls / sum * 1000; rate > maxRate {
				t.Errorf("%d gateways of %d processes make %.0f calls per second", gateways, processes, rate)
			}
		}
	}
	agent := NewWatchSchedule(300, false, 10000, rand.New(rand.NewSource(7)))
	agent.SetProcesses(2)
	for call := range 2 {
		if wait := agent.Failed(true); wait > agentMaxDelay {
			t.Errorf("failed call %d: delay %v ms with an agent of the gateway's own", call, wait)
		}
	}
}
