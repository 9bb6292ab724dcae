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

// Try is one sending of a request to a gateway.
type Try struct {
	*Request
	ID        string
	Class     scenario.Class
	Remaining float64 // ms that the client says it will wait for the first token
	Grace     float64 // and for how much longer it does
	Retry     bool
}

// Outcome is what a client saw of a try.
type Outcome struct {
	Answer       rules.Answer
	FirstTokenAt float64 // time of the first token on the clock; 0 = none
	EndedAt      float64
	Tokens       int
	RetryAfter   float64 // ms, with a refusal
	Corruption   string  // what came that no engine sent
}

// Client sends tries to one gateway and reads their answers.
type Client interface {
	// Do sends a try. Asked is called once it is written whole. Canceling ctx is
	// the client's leaving.
	Do(ctx context.Context, t Try, asked func()) Outcome
	Close()
}

// Watch is told of each try; rules.Checker is one.
type Watch interface {
	RequestSent(at float64, id, class string, sideEffect bool, gateway int)
	RequestAnswered(at float64, id string, a rules.Answer)
	AnswerCorrupted(at float64, id, what string)
}

// Runner sends a plan's load.
type Runner struct {
	Plan     *scenario.Plan
	Clients  []Client // by gateway
	Clock    clock.Clock
	Watch    Watch
	Progress func(sent, done int) // called now and then; may be nil
}

// Run sends all requests at their times, counted from begin on the clock, and
// waits for their answers. When ctx ends, nothing more is sent and what is out
// is given up.
func (r *Runner) Run(ctx context.Context, begin float64, list []Request) ([]Result, *Summary) {
	results := make([]Result, len(list))
	var all sync.WaitGroup
	var mu sync.Mutex
	done := 0
	lag := hdrhistogram.New(1, int64(maxUs), 3)
	sent := 0
	for i := range list {
		if wait(ctx, r.Clock, begin+list[i].At) != nil {
			break
		}
		record(lag, r.Clock.Now()-begin-list[i].At)
		sent++
		all.Go(func() {
			results[i] = r.request(ctx, begin, &list[i], i)
			mu.Lock()
			done++
			n := done
			mu.Unlock()
			if r.Progress != nil {
				r.Progress(i+1, n)
			}
		})
	}
	all.Wait()
	results = results[:sent]
	s := Summarize(r.Plan, results)
	s.IntendedLag = float64(lag.ValueAtQuantile(99)) / 1000
	return results, s
}

// request takes a first try and its retries to their end.
func (r *Runner) request(ctx context.Context, begin float64, req *Request, n int) Result {
	rng := rand.New(rand.NewPCG(r.Plan.Seed, uint64(n)|1<<40))
	class, l := r.Plan.Load.Classes[req.Class], r.Plan.Load
	due := begin + req.At
	deadline := due + Deadline(class, *req)
	res := Result{Request: *req, Kind: Failed}
	gateway := r.gateway(req.Zone, n)
	backoff := l.BackoffMs
	for res.Tries <= l.Retries {
		now := r.Clock.Now()
		left := min(l.TryShare*Deadline(class, *req), deadline-now)
		if left <= 0 || ctx.Err() != nil {
			break
		}
		t := Try{Request: req, ID: fmt.Sprintf("%016x", rng.Uint64()), Class: class, Remaining: left, Retry: res.Tries > 0}
		res.Tries++
		tctx, cancel := context.WithCancel(ctx)
		stop := func() bool { return false }
		if rng.Float64() < l.Impatient {
			stop = r.Clock.AfterFunc(left*rng.Float64(), cancel)
		}
		out := r.Clients[gateway].Do(tctx, t, func() {
			r.Watch.RequestSent(r.Clock.Now(), t.ID, class.Name, class.Effect == "side_effect", gateway)
		})
		stop()
		cancel()
		if out.Answer != "" {
			r.Watch.RequestAnswered(out.EndedAt, t.ID, out.Answer)
		}
		if out.Corruption != "" {
			r.Watch.AnswerCorrupted(out.EndedAt, t.ID, out.Corruption)
		}
		res.Tokens, res.Total = out.Tokens, out.EndedAt-due
		if out.FirstTokenAt > 0 {
			res.First = max(out.FirstTokenAt-due, math.SmallestNonzeroFloat64)
		}
		again := false
		switch out.Answer {
		case rules.Served:
			judge(class, &res)
		case rules.Refused:
			res.Kind, again = Refused, true
		case rules.Timeout:
			res.Kind, again = Timeout, class.Effect != "side_effect"
		case rules.Broken:
			res.Kind = Broken
		case rules.ClientLeft:
			res.Kind = Left
		default: // failed, dropped, or no gateway there
			res.Kind, again = Failed, out.Answer == "" || class.Effect != "side_effect"
		}
		if !again {
			break
		}
		pause := backoff * (0.5 + rng.Float64())
		backoff *= 2
		if out.RetryAfter > 0 && rng.Float64() < l.Honour {
			pause = out.RetryAfter
		}
		if wait(ctx, r.Clock, r.Clock.Now()+pause) != nil {
			break
		}
		gateway = r.gateway(req.Zone, n+res.Tries)
	}
	return res
}

// gateway deals requests out over the gateways of a zone, or over all where the
// zone has none.
func (r *Runner) gateway(zone, n int) int {
	var here []int
	for g := range r.Clients {
		if g%len(r.Plan.Fleet.Zones) == zone {
			here = append(here, g)
		}
	}
	if len(here) == 0 {
		return n % len(r.Clients)
	}
	return here[n%len(here)]
}

// wait sleeps until a time on the clock.
func wait(ctx context.Context, c clock.Clock, at float64) error {
	left := at - c.Now()
	if left <= 0 {
		return ctx.Err()
	}
	due := make(chan struct{})
	stop := c.AfterFunc(left, func() { close(due) })
	select {
	case <-due:
		return nil
	case <-ctx.Done():
		stop()
		return ctx.Err()
	}
}
