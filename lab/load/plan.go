// Package load sends the requests of a scenario's clients to gateways and scores
// the answers. It is open loop: all first tries are drawn in advance, a late answer
// never delays the next request, and latency counts from the drawn time. It starts
// no gateways and doesn't check the engines' side.
package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/scenario"
)

// Request is a drawn request, before any retry.
type Request struct {
	At           float64 // ms since the start of the run
	Class        int     // index into the scenario's classes
	Session      string
	Prefix       string // name of the prefix shared with other sessions, "" = none
	PromptTokens int
	PrefixTokens int
	OutputTokens int // actual length of its answer
	MaxOutput    int
	Estimate     float64 // rough estimate of the answer's duration in ms
	Zone         int
	Worth        float64
}

// Bounds of what is drawn.
const (
	maxContext     = 32000
	warmUpMs       = 120e3 // sessions are drawn from this long before the start on
	assumedTokenMs = 25.0  // assumed time of a token, to place a session's next turn
)

// Draw returns all requests of a scenario, ordered by time.
func Draw(p *scenario.Plan) []Request {
	d := drawer{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0x10ad))}
	length := p.LengthS * 1000
	for i, c := range p.Load.Classes {
		perMs := p.Load.RatePerS * c.Share / d.shares() / 1000
		d.sessions(i, perMs/c.Turns, -warmUpMs, length)
		for _, w := range p.Bursts {
			if extra := w.Factor - 1; extra > 0 {
				d.burst(i, perMs*extra, w)
			}
		}
	}
	d.requests = slices.DeleteFunc(d.requests, func(r Request) bool { return r.At < 0 || r.At >= length })
	slices.SortStableFunc(d.requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return d.requests
}

// drawer draws the requests of a plan. The order of its draws is fixed by the seed.
type drawer struct {
	plan         *scenario.Plan
	rng          *rand.Rand
	sessionCount int
	requests     []Request
	secondRates  map[int]float64 // rate of each second relative to the mean
}

func (d *drawer) shares() (sum float64) {
	for _, c := range d.plan.Load.Classes {
		sum += c.Share
	}
	return sum
}

// secondRate returns the rate of the second at a time relative to the mean, the same for all classes.
func (d *drawer) secondRate(at float64) float64 {
	if d.secondRates == nil {
		d.secondRates = map[int]float64{}
		r := rand.New(rand.NewPCG(d.plan.Seed, 0x5ec))
		cv := d.plan.Load.BurstCV
		sigma := math.Sqrt(math.Log(1 + cv*cv))
		for s := -int(warmUpMs / 1000); s <= int(d.plan.LengthS); s++ {
			d.secondRates[s] = math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
		}
	}
	if v, ok := d.secondRates[int(math.Floor(at/1000))]; ok {
		return v
	}
	return 1
}

// sessions draws a class's sessions and their turns.
func (d *drawer) sessions(class int, perMs, from, to float64) {
	const maxRate = 6.0 // highest rate of a second, relative to the mean; higher ones are capped
	for at := from; ; {
		at += d.rng.ExpFloat64() / (perMs * maxRate)
		if at >= to {
			return
		}
		if d.rng.Float64()*maxRate > d.secondRate(at) {
			continue
		}
		turns := 1
		for d.rng.Float64() < 1-1/d.plan.Load.Classes[class].Turns {
			turns++
		}
		d.session(class, at, turns, turns)
	}
}

// burst draws the additional requests of a burst: single turns of sessions that began before.
func (d *drawer) burst(class int, perMs float64, w scenario.Window) {
	for at := w.From; ; {
		at += d.rng.ExpFloat64() / perMs
		if at >= w.To {
			return
		}
		turns := 1
		for d.rng.Float64() < 1-1/d.plan.Load.Classes[class].Turns {
			turns++
		}
		d.session(class, at, 1+d.rng.IntN(turns), 1)
	}
}

// session draws a session's turns and adds the last sent of them as requests. The
// first request that is added comes at the given time.
func (d *drawer) session(class int, at float64, turns, sent int) {
	c := d.plan.Load.Classes[class]
	d.sessionCount++
	session := Request{Class: class, Session: fmt.Sprintf("%08x%08x", d.plan.Seed&0xffffffff, d.sessionCount), MaxOutput: c.MaxOutput, Zone: d.zone()}
	if c.Prefixes > 0 && d.rng.Float64() < c.PrefixShare {
		k := zipf(d.rng, c.Prefixes, c.PrefixZipf)
		session.Prefix, session.PrefixTokens = d.plan.Prefix(class, k)
	}
	model := d.plan.Engine.Classes[class]
	promptTokens := session.PrefixTokens
	for turn := range turns {
		promptTokens += d.tokens(c.NewTokens, c.NewSigma)
		if promptTokens > maxContext {
			return
		}
		request := session
		request.At, request.PromptTokens = at, promptTokens
		request.OutputTokens = engine.AnswerTokens(d.plan.Engine.Seed, model, request.Session, promptTokens, c.MaxOutput)
		request.Estimate = float64(request.OutputTokens) * c.TokenMs * math.Exp(0.5*d.rng.NormFloat64())
		mean := c.PrefixTokens*c.PrefixShare + (c.NewTokens+c.OutputTokens)*(c.Turns+1)/2
		request.Worth = c.Worth * (float64(promptTokens)/max(1, mean) + float64(request.OutputTokens)/max(1, c.OutputTokens)) / 2
		if turn >= turns-sent {
			d.requests = append(d.requests, request)
			at += 300 + float64(request.OutputTokens)*assumedTokenMs + d.rng.ExpFloat64()*c.ThinkMs
		}
		promptTokens += request.OutputTokens
	}
}

func (d *drawer) tokens(mean, sigma float64) int {
	return max(1, int(math.Round(mean*math.Exp(sigma*d.rng.NormFloat64()-sigma*sigma/2))))
}

func (d *drawer) zone() int {
	draw := d.rng.Float64()
	for i, share := range d.plan.Load.ZoneShares {
		if draw < share {
			return i
		}
		draw -= share
	}
	return len(d.plan.Load.ZoneShares) - 1
}

// zipf draws an index below n with weights falling as 1/(i+1)^s.
func zipf(r *rand.Rand, n int, s float64) int {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -s)
	}
	at := r.Float64() * sum
	for i := range n {
		if at -= math.Pow(float64(i+1), -s); at < 0 {
			return i
		}
	}
	return n - 1
}

// Deadline returns for how long in ms a client waits for the first token, over all
// its tries; it grows with the prompt, at twice the rate of the aim.
func Deadline(c scenario.Class, r Request) float64 {
	return c.DeadlineMs + 2*c.AimMsPerKTokens*float64(r.PromptTokens)/1000
}

// Aim returns the time in ms within which the first token earns the full worth.
func Aim(c scenario.Class, r Request) float64 {
	return c.AimMs + c.AimMsPerKTokens*float64(r.PromptTokens)/1000
}
