// Package load sends a scenario's load to gateways, as its clients would, and scores
// the answers. The load is open-loop: all first tries are drawn in advance, a late
// answer never delays the next request, and latency counts from the intended time
// that was drawn. It starts no gateways or engines, and leaves it to its Observer to
// decide whether an answer violates a rule.
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

// Request is a request as drawn, before its first try.
type Request struct {
	At                 float64 // ms since the start of the run
	Class              int     // index into the scenario's classes
	Session            string
	SharedPrefix       string // prefix shared with other sessions, "" = none
	PromptTokens       int
	SharedPrefixTokens int
	OutputTokens       int // length of its answer
	MaxOut             int
	Estimate           float64 // the client's rough estimate of the answer's duration in ms
	Zone               int
	Worth              float64
}

// Constants of the draw.
const (
	maxContextTokens = 32000
	leadInMs         = 120e3 // sessions are drawn from this long before the start, so that some are under way
	tokenPaceMs      = 25.0  // assumed time per token, for when a session's next turn comes
)

// Draw returns all requests of a scenario, ordered by their times. It depends only on
// the plan and its seed.
func Draw(p *scenario.Plan) []Request {
	d := drawer{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0x10ad))}
	length := p.LengthS * 1000
	for i, c := range p.Load.Classes {
		perMs := p.Load.RatePerS * c.Share / d.totalShare() / 1000
		d.drawSessions(i, perMs/c.Turns, -leadInMs, length)
		for _, w := range p.Bursts {
			if extra := w.Factor - 1; extra > 0 {
				d.drawBurst(i, perMs*extra, w)
			}
		}
	}
	d.requests = slices.DeleteFunc(d.requests, func(r Request) bool { return r.At < 0 || r.At >= length })
	slices.SortStableFunc(d.requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return d.requests
}

// drawer draws the requests of a plan.
type drawer struct {
	plan         *scenario.Plan
	rng          *rand.Rand
	sessionCount int
	requests     []Request
	rateFactors  map[int]float64 // by second, relative to the mean
}

// totalShare is the sum of the classes' shares, by which they are normalized.
func (d *drawer) totalShare() (sum float64) {
	for _, c := range d.plan.Load.Classes {
		sum += c.Share
	}
	return sum
}

// rateFactor is the request rate in the second of a time, relative to the mean; it is
// the same for all classes.
func (d *drawer) rateFactor(at float64) float64 {
	if d.rateFactors == nil {
		d.rateFactors = map[int]float64{}
		r := rand.New(rand.NewPCG(d.plan.Seed, 0x5ec))
		cv := d.plan.Load.BurstCV
		sigma := math.Sqrt(math.Log(1 + cv*cv))
		for second := -int(leadInMs / 1000); second <= int(d.plan.LengthS); second++ {
			d.rateFactors[second] = math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
		}
	}
	if v, ok := d.rateFactors[int(math.Floor(at/1000))]; ok {
		return v
	}
	return 1
}

// drawSessions draws a class's sessions and their turns by thinning a Poisson process of
// the highest rate.
func (d *drawer) drawSessions(class int, perMs, from, to float64) {
	const maxFactor = 6.0 // rates above this multiple of the mean are capped
	for at := from; ; {
		at += d.rng.ExpFloat64() / (perMs * maxFactor)
		if at >= to {
			return
		}
		if d.rng.Float64()*maxFactor > d.rateFactor(at) {
			continue
		}
		turns := 1
		for d.rng.Float64() < 1-1/d.plan.Load.Classes[class].Turns {
			turns++
		}
		d.drawSession(class, at, turns, turns)
	}
}

// drawBurst draws a burst's additional requests: single turns of sessions that began
// earlier.
func (d *drawer) drawBurst(class int, perMs float64, window scenario.FaultWindow) {
	for at := window.From; ; {
		at += d.rng.ExpFloat64() / perMs
		if at >= window.To {
			return
		}
		turns := 1
		for d.rng.Float64() < 1-1/d.plan.Load.Classes[class].Turns {
			turns++
		}
		d.drawSession(class, at, 1+d.rng.IntN(turns), 1)
	}
}

// drawSession draws a session's turns and adds the last kept of them to the requests,
// the first of these at the given time. The turns before only lengthen the context.
func (d *drawer) drawSession(class int, at float64, turns, kept int) {
	c := d.plan.Load.Classes[class]
	d.sessionCount++
	common := Request{Class: class, Session: fmt.Sprintf("%08x%08x", d.plan.Seed&0xffffffff, d.sessionCount), MaxOut: c.MaxOut, Zone: d.drawZone()}
	if c.Prefixes > 0 && d.rng.Float64() < c.PrefixShare {
		rank := drawZipf(d.rng, c.Prefixes, c.PrefixZipf)
		common.SharedPrefix, common.SharedPrefixTokens = d.plan.Prefix(class, rank)
	}
	model := d.plan.Engine.Classes[class]
	contextTokens := common.SharedPrefixTokens
	for turn := range turns {
		contextTokens += d.drawTokens(c.NewTokens, c.NewSigma)
		if contextTokens > maxContextTokens {
			return
		}
		request := common
		request.At, request.PromptTokens = at, contextTokens
		request.OutputTokens = engine.AnswerTokens(d.plan.Engine.Seed, model, request.Session, contextTokens, c.MaxOut)
		request.Estimate = float64(request.OutputTokens) * c.TokenMs * math.Exp(0.5*d.rng.NormFloat64())
		meanContext := c.PrefixTokens*c.PrefixShare + (c.NewTokens+c.OutTokens)*(c.Turns+1)/2
		request.Worth = c.Worth * (float64(contextTokens)/max(1, meanContext) + float64(request.OutputTokens)/max(1, c.OutTokens)) / 2
		if turn >= turns-kept {
			d.requests = append(d.requests, request)
			at += 300 + float64(request.OutputTokens)*tokenPaceMs + d.rng.ExpFloat64()*c.ThinkMs
		}
		contextTokens += request.OutputTokens
	}
}

// drawTokens draws a log-normal number of tokens with the given mean, at least 1.
func (d *drawer) drawTokens(mean, sigma float64) int {
	return max(1, int(math.Round(mean*math.Exp(sigma*d.rng.NormFloat64()-sigma*sigma/2))))
}

// drawZone draws a zone's index by the zones' shares.
func (d *drawer) drawZone() int {
	at := d.rng.Float64()
	for i, share := range d.plan.Load.ZoneShares {
		if at < share {
			return i
		}
		at -= share
	}
	return len(d.plan.Load.ZoneShares) - 1
}

// drawZipf draws an index i below n with weight 1/(i+1)^exponent.
func drawZipf(rng *rand.Rand, n int, exponent float64) int {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
	}
	at := rng.Float64() * sum
	for i := range n {
		if at -= math.Pow(float64(i+1), -exponent); at < 0 {
			return i
		}
	}
	return n - 1
}

// Deadline is the time in ms that a client waits for the first token, over all its
// tries. It grows with the prompt, twice as fast as the aim.
func Deadline(c scenario.Class, r Request) float64 {
	return c.DeadlineMs + 2*c.AimMsPerK*float64(r.PromptTokens)/1000
}

// Aim is the time in ms to the first token that earns full worth.
func Aim(c scenario.Class, r Request) float64 {
	return c.AimMs + c.AimMsPerK*float64(r.PromptTokens)/1000
}
