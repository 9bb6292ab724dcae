package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lab/rules"
	"ashwood.example/ashwood/lab/scenario"
)

// Try is one sending of a request to a gateway: the first or a retry.
type Try struct {
	*Request
	ID        string
	Class     scenario.Class
	Remaining float64 // ms that the client announces to wait for the first token
	Grace     float64 // ms that it waits beyond that
	Retry     bool
}

// Outcome is what a client observed of a try.
type Outcome struct {
	Answer     rules.Answer
	First      float64 // time of the first token on the clock; 0 = none
	End        float64
	Tokens     int
	RetryAfter float64 // ms, with a refusal
	Corrupted  string  // how the answer differs from what the engine sent; "" = it doesn't
}

// Client sends tries to one gateway and reads their answers.
type Client interface {
	// Do sends a try and reads its answer. It calls onSent once the try is written
	// whole. Canceling ctx simulates a client that closes its connection.
	Do(ctx context.Context, t Try, onSent func()) Outcome
	Close()
}

// Watch is notified of each try and its outcome; rules.Checker implements it.
type Watch interface {
	RequestSent(at float64, id, class string, sideEffect bool, gateway int)
	RequestAnswered(at float64, id string, a rules.Answer)
	AnswerCorrupted(at float64, id, what string)
}

// Runner sends the load of a plan.
type Runner struct {
	Plan     *scenario.Plan
	Clients  []Client // by gateway
	Clock    clock.Clock
	Watch    Watch
	Progress func(sent, done int) // called after each request; may be nil
}

// Run sends all requests at their times, counted from begin on the clock, and
// waits for their answers. When ctx ends, no more requests are sent and those in
// flight are canceled.
func (r *Runner) Run(ctx context.Context, begin float64, requests []Request) ([]Result, *Summary) {
	results := make([]Result, len(requests))
	var running sync.WaitGroup
	var mu sync.Mutex
	done := 0
	lag := hdrhistogram.New(1, int64(maxLatencyUs), 3)
	sent := 0
	for i := range requests {
		if waitUntil(ctx, r.Clock, begin+requests[i].At) != nil {
			break
		}
		recordMs(lag, r.Clock.Now()-begin-requests[i].At)
		sent++
		running.Go(func() {
			results[i] = r.runRequest(ctx, begin, &requests[i], i)
			mu.Lock()
			done++
			n := done
			mu.Unlock()
			if r.Progress != nil {
				r.Progress(i+1, n)
			}
		})
	}
	running.Wait()
	results = results[:sent]
	summary := Summarize(r.Plan, results)
	summary.SendLagP99Ms = float64(lag.ValueAtQuantile(99)) / 1000
	return results, summary
}

// runRequest sends a request and its retries and returns the result.
func (r *Runner) runRequest(ctx context.Context, begin float64, request *Request, index int) Result {
	rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(index)|1<<40))
	class, load := r.Plan.Load.Classes[request.Class], r.Plan.Load
	scheduled := begin + request.At
	deadline := scheduled + Deadline(class, *request)
	result := Result{Request: *request, Kind: Failed}
	gateway := r.pickGateway(request.Zone, index)
	backoff := load.BackoffMs
	for result.Tries <= load.Retries {
		now := r.Clock.Now()
		remaining := min(load.TryShare*Deadline(class, *request), deadline-now)
		if remaining <= 0 || ctx.Err() != nil {
			break
		}
		t := Try{Request: request, ID: fmt.Sprintf("%016x", rng.Uint64()), Class: class, Remaining: remaining, Retry: result.Tries > 0}
		result.Tries++
		tryCtx, cancel := context.WithCancel(ctx)
		stop := func() bool { return false }
		if rng.Float64() < load.EarlyCloseShare {
			stop = r.Clock.AfterFunc(remaining*rng.Float64(), cancel)
		}
		outcome := r.Clients[gateway].Do(tryCtx, t, func() {
			r.Watch.RequestSent(r.Clock.Now(), t.ID, class.Name, class.Effect == "side_effect", gateway)
		})
		stop()
		cancel()
		if outcome.Answer != "" {
			r.Watch.RequestAnswered(outcome.End, t.ID, outcome.Answer)
		}
		if outcome.Corrupted != "" {
			r.Watch.AnswerCorrupted(outcome.End, t.ID, outcome.Corrupted)
		}
		result.Tokens, result.Total = outcome.Tokens, outcome.End-scheduled
		if outcome.First > 0 {
			result.First = max(outcome.First-scheduled, math.SmallestNonzeroFloat64)
		}
		retry := false
		switch outcome.Answer {
		case rules.Served:
			scoreAnswer(class, &result)
		case rules.Refused:
			result.Kind, retry = Refused, true
		case rules.Timeout:
			result.Kind, retry = Timeout, class.Effect != "side_effect"
		case rules.Broken:
			result.Kind = Broken
		case rules.ClientLeft:
			result.Kind = Left
		default: // failed, dropped, or no gateway at the address
			result.Kind, retry = Failed, outcome.Answer == "" || class.Effect != "side_effect"
		}
		if !retry {
			break
		}
		pause := backoff * (0.5 + rng.Float64())
		backoff *= 2
		if outcome.RetryAfter > 0 && rng.Float64() < load.HonourShare {
			pause = outcome.RetryAfter
		}
		if waitUntil(ctx, r.Clock, r.Clock.Now()+pause) != nil {
			break
		}
		gateway = r.pickGateway(request.Zone, index+result.Tries)
	}
	return result
}

// pickGateway distributes requests in turn over the gateways of a zone, or over all
// gateways if the zone has none.
func (r *Runner) pickGateway(zone, n int) int {
	var inZone []int
	for g := range r.Clients {
		if g%len(r.Plan.Fleet.Zones) == zone {
			inZone = append(inZone, g)
		}
	}
	if len(inZone) == 0 {
		return n % len(r.Clients)
	}
	return inZone[n%len(inZone)]
}

// waitUntil sleeps until a time on the clock.
func waitUntil(ctx context.Context, c clock.Clock, at float64) error {
	remaining := at - c.Now()
	if remaining <= 0 {
		return ctx.Err()
	}
	reached := make(chan struct{})
	stop := c.AfterFunc(remaining, func() { close(reached) })
	select {
	case <-reached:
		return nil
	case <-ctx.Done():
		stop()
		return ctx.Err()
	}
}
