package pacing

import (
	"container/heap"
	"math"
	"math/rand"
	"testing"
)

// event is a moment at which a gateway calls or learns what came of its call.
type event struct {
	at     float64
	who    int
	answer bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// flood plays gateways that all call one service at the time 0. It takes calls
// in turn, each for serve ms, and does not notice that a caller has given up
// after patience ms. It gives when the last gateway was answered, and the calls made.
func flood(gateways int, serve, patience, until float64, wait func(who int) float64) (last float64, calls int) {
	var due events
	for who := range gateways {
		heap.Push(&due, event{0, who, false})
	}
	free, waiting := 0.0, gateways
	for len(due) > 0 && waiting > 0 {
		e := heap.Pop(&due).(event)
		if e.at > until {
			return math.Inf(1), calls
		}
		if e.answer {
			heap.Push(&due, event{e.at + wait(e.who), e.who, false})
			continue
		}
		calls++
		if free = max(free, e.at) + serve; free > e.at+patience {
			heap.Push(&due, event{e.at + patience, e.who, true})
		} else {
			waiting, last = waiting-1, free
		}
	}
	return last, calls
}

// Eighty gateways start at once and ask a discovery that can answer 16 calls a
// second. What they ask again at once keeps it busy with calls that nobody waits
// for any more. With waits that follow from their number all get in.
func TestFleetGetsInToAnOverbookedService(t *testing.T) {
	const gateways, serve, patience = 80, 1000.0 / 16, 2000.0
	fixed, asked := flood(gateways, serve, patience, 30000, func(int) float64 { return 100 })
	if !math.IsInf(fixed, 1) {
		t.Errorf("with a fixed wait of 100 ms all were in after %.0f ms and %d calls: the model is too easy", fixed, asked)
	}
	for seed := range int64(20) {
		var b [gateways]Backoff
		for i := range b {
			b[i] = Backoff{Initial: 40 * gateways, Max: 10000, Rand: rand.New(rand.NewSource(seed<<8 + int64(i)))}
		}
		last, calls := flood(gateways, serve, patience, 30000, func(who int) float64 { return b[who].Next() })
		if last > 20000 || calls > 4*gateways {
			t.Errorf("seed %d: the last of %d gateways was answered after %.0f ms and %d calls in all", seed, gateways, last, calls)
		}
	}
}

func TestBackoffDoublesUpToItsLastAndBeginsAnew(t *testing.T) {
	b := Backoff{Initial: 100, Max: 500, Rand: rand.New(rand.NewSource(1))}
	for range 2 {
		for n, most := range []float64{100, 200, 400, 500, 500} {
			if got := b.Next(); got < most/2 || got > most {
				t.Errorf("failure %d: waits %.0f ms, of %.0f", n+1, got, most)
			}
		}
		b.Reset()
	}
}
