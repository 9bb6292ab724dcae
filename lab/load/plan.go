// Package load asks gateways for what a scenario's clients would. It is open
// loop: all first tries are drawn ahead, a late answer never makes the next one
// later, and latency counts from the time that was drawn.
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

// Request is a first try as it was drawn.
type Request struct {
	At                 float64 // ms from the begin
	Class              int     // index into the scenario's classes
	Session            string
	SharedPrefix       string // the beginning shared with other sessions, "" = none
	PromptTokens       int
	SharedPrefixTokens int
	OutTokens          int // the true length of its answer
	MaxOut             int
	Estimate           float64 // a rough guess of the answer's time in ms
	Zone               int
	Worth              float64
}

// Limits of what is drawn.
const (
	maxContext = 32000
	warmUpMs   = 120e3 // before the begin, from when on sessions are drawn
	paceMs     = 25.0  // a token's time, for when a session's next turn comes
)

// Draw gives all first tries of a scenario in order of their times.
func Draw(p *scenario.Plan) []Request {
	d := drawer{p: p, r: rand.New(rand.NewPCG(p.Seed, 0x10ad))}
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
	d.list = slices.DeleteFunc(d.list, func(r Request) bool { return r.At < 0 || r.At >= length })
	slices.SortStableFunc(d.list, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return d.list
}

type drawer struct {
	p    *scenario.Plan
	r    *rand.Rand
	n    int
	list []Request
	rate map[int]float64 // of a second, against the mean
}

func (d *drawer) shares() (sum float64) {
	for _, c := range d.p.Load.Classes {
		sum += c.Share
	}
	return sum
}

// second is how busy a second is against the mean, alike for all classes.
func (d *drawer) second(at float64) float64 {
	if d.rate == nil {
		d.rate = map[int]float64{}
		r := rand.New(rand.NewPCG(d.p.Seed, 0x5ec))
		cv := d.p.Load.BurstCV
		sigma := math.Sqrt(math.Log(1 + cv*cv))
		for s := -int(warmUpMs / 1000); s <= int(d.p.LengthS); s++ {
			d.rate[s] = math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
		}
	}
	if v, ok := d.rate[int(math.Floor(at/1000))]; ok {
		return v
	}
	return 1
}

// sessions draws a class's sessions and their turns.
func (d *drawer) sessions(class int, perMs, from, to float64) {
	const most = 6.0 // times the mean rate, above which a second is cut off
	for at := from; ; {
		at += d.r.ExpFloat64() / (perMs * most)
		if at >= to {
			return
		}
		if d.r.Float64()*most > d.second(at) {
			continue
		}
		turns := 1
		for d.r.Float64() < 1-1/d.p.Load.Classes[class].Turns {
			turns++
		}
		d.session(class, at, turns, turns)
	}
}

// burst draws what comes beyond the usual: requests of sessions that began before.
func (d *drawer) burst(class int, perMs float64, w scenario.FaultWindow) {
	for at := w.From; ; {
		at += d.r.ExpFloat64() / perMs
		if at >= w.To {
			return
		}
		turns := 1
		for d.r.Float64() < 1-1/d.p.Load.Classes[class].Turns {
			turns++
		}
		d.session(class, at, 1+d.r.IntN(turns), 1)
	}
}

// session draws turns, of which the last so many are asked for; the last of
// them at a time, where one alone is.
func (d *drawer) session(class int, at float64, turns, asked int) {
	c := d.p.Load.Classes[class]
	d.n++
	s := Request{Class: class, Session: fmt.Sprintf("%08x%08x", d.p.Seed&0xffffffff, d.n), MaxOut: c.MaxOut, Zone: d.zone()}
	if c.Prefixes > 0 && d.r.Float64() < c.PrefixShare {
		k := zipf(d.r, c.Prefixes, c.PrefixZipf)
		s.SharedPrefix, s.SharedPrefixTokens = d.p.Prefix(class, k)
	}
	model := d.p.Engine.Classes[class]
	text := s.SharedPrefixTokens
	for turn := range turns {
		text += d.tokens(c.NewTokens, c.NewSigma)
		if text > maxContext {
			return
		}
		r := s
		r.At, r.PromptTokens = at, text
		r.OutTokens = engine.AnswerTokens(d.p.Engine.Seed, model, r.Session, text, c.MaxOut)
		r.Estimate = float64(r.OutTokens) * c.TokenMs * math.Exp(0.5*d.r.NormFloat64())
		mean := c.PrefixTokens*c.PrefixShare + (c.NewTokens+c.OutTokens)*(c.Turns+1)/2
		r.Worth = c.Worth * (float64(text)/max(1, mean) + float64(r.OutTokens)/max(1, c.OutTokens)) / 2
		if turn >= turns-asked {
			d.list = append(d.list, r)
			at += 300 + float64(r.OutTokens)*paceMs + d.r.ExpFloat64()*c.ThinkMs
		}
		text += r.OutTokens
	}
}

func (d *drawer) tokens(mean, sigma float64) int {
	return max(1, int(math.Round(mean*math.Exp(sigma*d.r.NormFloat64()-sigma*sigma/2))))
}

func (d *drawer) zone() int {
	at := d.r.Float64()
	for i, share := range d.p.Load.ZoneShares {
		if at < share {
			return i
		}
		at -= share
	}
	return len(d.p.Load.ZoneShares) - 1
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

// Deadline is how long in ms a client waits for the first token, over all its
// tries; it grows with the prompt, twice as much as the aim.
func Deadline(c scenario.Class, r Request) float64 {
	return c.DeadlineMs + 2*c.AimMsPerK*float64(r.PromptTokens)/1000
}

// Aim is the time in ms within which the first token earns the whole worth.
func Aim(c scenario.Class, r Request) float64 {
	return c.AimMs + c.AimMsPerK*float64(r.PromptTokens)/1000
}
