package pacing

import (
	"container/heap"
	"math"
	"math/rand"
	"testing"
)

// callEvent is a moment at which a gateway makes a call or gives one up.
type callEvent struct {
	at       float64
	gateway  int
	timedOut bool
}

type eventQueue []callEvent

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(callEvent)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulateOverload simulates gateways that all call one service at time 0. The service
// handles one call at a time, for serviceTime ms each, and does not notice that a caller has
// given up after timeout ms. It returns when the last gateway was answered, and the number of calls.
func simulateOverload(gateways int, serviceTime, timeout, until float64, wait func(gateway int) float64) (last float64, calls int) {
	var queue eventQueue
	for gateway := range gateways {
		heap.Push(&queue, callEvent{0, gateway, false})
	}
	free, pending := 0.0, gateways
	for len(queue) > 0 && pending > 0 {
		e := heap.Pop(&queue).(callEvent)
		if e.at > until {
			return math.Inf(1), calls
		}
		if e.timedOut {
			heap.Push(&queue, callEvent{e.at + wait(e.gateway), e.gateway, false})
			continue
		}
		calls++
		if free = max(free, e.at) + serviceTime; free > e.at+timeout {
			heap.Push(&queue, callEvent{e.at + timeout, e.gateway, true})
		} else {
			pending, last = pending-1, free
		}
	}
	return last, calls
}

// Eighty gateways start at once and call a discovery service that can answer 16 calls per
// second. With short retry delays the service is busy with calls that have already been given
// up. With delays that grow with the number of gateways all calls are answered.
func TestBackoff_OverloadedService(t *testing.T) {
	const gateways, serviceTime, timeout = 80, 1000.0 / 16, 2000.0
	fixedLast, fixedCalls := simulateOverload(gateways, serviceTime, timeout, 30000, func(int) float64 { return 100 })
	if !math.IsInf(fixedLast, 1) {
		t.Errorf("with a fixed delay of 100 ms all were answered after %.0f ms and %d calls: the simulated load is too light", fixedLast, fixedCalls)
	}
	for seed := range int64(20) {
		var backoffs [gateways]Backoff
		for i := range backoffs {
			backoffs[i] = Backoff{Initial: 40 * gateways, Max: 10000, Rand: rand.New(rand.NewSource(seed<<8 + int64(i)))}
		}
		last, calls := simulateOverload(gateways, serviceTime, timeout, 30000, func(gateway int) float64 { return backoffs[gateway].Next() })
		if last > 20000 || calls > 4*gateways {
			t.Errorf("seed %d: the last of %d gateways was answered after %.0f ms and %d calls in all", seed, gateways, last, calls)
		}
	}
}

func TestBackoff_DoublesToMaxAndResets(t *testing.T) {
	b := Backoff{Initial: 100, Max: 500, Rand: rand.New(rand.NewSource(1))}
	for range 2 {
		for n, maxWait := range []float64{100, 200, 400, 500, 500} {
			if got := b.Next(); got < maxWait/2 || got > maxWait {
				t.Errorf("failure %d: delay %.0f ms, want half to all of %.0f", n+1, got, maxWait)
			}
		}
		b.Reset()
	}
}
