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

// Try is one try of a request: one message to a gateway, with an id of its own.
type Try struct {
	*Request
	ID        string
	Class     scenario.Class
	Remaining float64 // ms that the client states it waits for the first token
	Grace     float64 // ms that it waits beyond that
	Retry     bool
}

// Outcome is what a client observed of a try. Its Answer is "" if the request reached no gateway.
type Outcome struct {
	Answer       rules.Answer
	FirstTokenAt float64 // time on the clock; 0 = no token came
	EndedAt      float64
	Tokens       int
	RetryAfter   float64 // ms to wait, of a refusal
	Corruption   string  // how the answer differs from what the engine sent, "" = not at all
}

// Client sends tries to one gateway and reads their answers.
type Client interface {
	// Do sends a try and waits for its outcome. It calls sent once the request has
	// been written completely. Canceling ctx means that the client leaves early.
	Do(ctx context.Context, t Try, sent func()) Outcome
	Close()
}

// Observer is notified of each try and its answer; rules.Checker implements it.
type Observer interface {
	RequestSent(at float64, id, class string, sideEffect bool, gateway int)
	RequestAnswered(at float64, id string, a rules.Answer)
	AnswerCorrupted(at float64, id, what string)
}

// Runner sends a plan's load.
type Runner struct {
	Plan     *scenario.Plan
	Clients  []Client // one for each gateway, by its number
	Clock    clock.Clock
	Observer Observer
	Progress func(sent, done int) // called after each request, from several goroutines; may be nil
}

// Run sends all requests at their times, counted from start on the clock, and waits
// for their answers. When ctx ends, nothing more is sent and requests in flight are
// abandoned.
func (r *Runner) Run(ctx context.Context, start float64, requests []Request) ([]Result, *Summary) {
	results := make([]Result, len(requests))
	var pending sync.WaitGroup
	var mu sync.Mutex
	done := 0
	lag := hdrhistogram.New(1, int64(maxUs), 3)
	sent := 0
	for i := range requests {
		if waitUntil(ctx, r.Clock, start+requests[i].At) != nil {
			break
		}
		recordMs(lag, r.Clock.Now()-start-requests[i].At)
		sent++
		pending.Go(func() {
			results[i] = r.runRequest(ctx, start, &requests[i], i)
			mu.Lock()
			done++
			n := done
			mu.Unlock()
			if r.Progress != nil {
				r.Progress(i+1, n)
			}
		})
	}
	pending.Wait()
	results = results[:sent]
	s := Summarize(r.Plan, results)
	s.IntendedLag = float64(lag.ValueAtQuantile(99)) / 1000
	return results, s
}

// runRequest sends a request's first try and its retries. Side effects are retried only
// if they were refused or reached no gateway, since they may have run otherwise.
// Answers that have begun are never retried.
func (r *Runner) runRequest(ctx context.Context, start float64, req *Request, index int) Result {
	rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(index)|1<<40))
	class, settings := r.Plan.Load.Classes[req.Class], r.Plan.Load
	intendedAt := start + req.At
	deadline := intendedAt + Deadline(class, *req)
	result := Result{Request: *req, Kind: Failed}
	gateway := r.pickGateway(req.Zone, index)
	backoff := settings.BackoffMs
	for result.Tries <= settings.Retries {
		now := r.Clock.Now()
		remaining := min(settings.TryShare*Deadline(class, *req), deadline-now)
		if remaining <= 0 || ctx.Err() != nil {
			break
		}
		try := Try{Request: req, ID: fmt.Sprintf("%016x", rng.Uint64()), Class: class, Remaining: remaining, Retry: result.Tries > 0}
		result.Tries++
		tryCtx, cancel := context.WithCancel(ctx)
		stop := func() bool { return false }
		if rng.Float64() < settings.Impatient {
			stop = r.Clock.AfterFunc(remaining*rng.Float64(), cancel)
		}
		outcome := r.Clients[gateway].Do(tryCtx, try, func() {
			r.Observer.RequestSent(r.Clock.Now(), try.ID, class.Name, class.Effect == "side_effect", gateway)
		})
		stop()
		cancel()
		if outcome.Answer != "" {
			r.Observer.RequestAnswered(outcome.EndedAt, try.ID, outcome.Answer)
		}
		if outcome.Corruption != "" {
			r.Observer.AnswerCorrupted(outcome.EndedAt, try.ID, outcome.Corruption)
		}
		result.Tokens, result.TotalMs = outcome.Tokens, outcome.EndedAt-intendedAt
		if outcome.FirstTokenAt > 0 {
			result.FirstTokenMs = max(outcome.FirstTokenAt-intendedAt, math.SmallestNonzeroFloat64)
		}
		retry := false
		switch outcome.Answer {
		case rules.Served:
			gradeAnswer(class, &result)
		case rules.Refused:
			result.Kind, retry = Refused, true
		case rules.Timeout:
			result.Kind, retry = Timeout, class.Effect != "side_effect"
		case rules.Broken:
			result.Kind = Broken
		case rules.ClientLeft:
			result.Kind = Left
		default: // failed, dropped, or no gateway was reachable
			result.Kind, retry = Failed, outcome.Answer == "" || class.Effect != "side_effect"
		}
		if !retry {
			break
		}
		pause := backoff * (0.5 + rng.Float64())
		backoff *= 2
		if outcome.RetryAfter > 0 && rng.Float64() < settings.Honour {
			pause = outcome.RetryAfter
		}
		if waitUntil(ctx, r.Clock, r.Clock.Now()+pause) != nil {
			break
		}
		gateway = r.pickGateway(req.Zone, index+result.Tries)
	}
	return result
}

// pickGateway spreads requests evenly, by n, over the gateways of a zone, or over all
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

// waitUntil waits until a time on the clock, or returns the error of ctx if it ends first.
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
