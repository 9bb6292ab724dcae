// Package trend holds decaying estimates: a straight line through what was
// observed, and a rate of work. Each costs a few words and a few operations an
// observation, whatever the traffic. Nothing is decided here.
package trend

import (
	"math"
	"time"
)

// lineWeight is the least weight of a new observation in a Line.
const lineWeight = 0.05

// Line is what a stage takes for like work: a decaying straight line of latency
// over the tokens that waited at the server when a request joined them, and the
// mean error around it, as transports learn their time-outs.
type LatencyLine struct {
	Count     float64       // observations
	Mean      float64       // mean latency, in ns
	MeanError float64       // mean error, in ns
	Last      time.Duration // time of the latest observation

	x, xx, xy float64
}

// Expect is the latency in ns to expect behind so many tokens, 0 before any observation.
func (p *LatencyLine) Expect(tokens float64) float64 {
	slope := 0.0
	if v := p.xx - p.x*p.x; v > 0 {
		slope = max(0, (p.xy-p.x*p.Mean)/v)
	}
	return max(p.Mean+slope*(tokens-p.x), p.Mean/4)
}

// Observe takes in a latency behind so many tokens.
func (p *LatencyLine) Observe(now, latency time.Duration, tokens float64) {
	p.Count++
	p.Last = now
	w, y := max(1/p.Count, lineWeight), float64(latency)
	p.MeanError += w * (math.Abs(y-p.Expect(tokens)) - p.MeanError)
	p.x += w * (tokens - p.x)
	p.Mean += w * (y - p.Mean)
	p.xx += w * (tokens*tokens - p.xx)
	p.xy += w * (tokens*y - p.xy)
}

// Rate is a decaying count of work, per second over some eight windows.
type Rate struct {
	sum  float64
	last time.Duration
}

// Add counts work and gives the rate per second. One Rate is always asked with
// the same window.
func (t *Rate) Add(now, window time.Duration, work float64) float64 {
	t.sum = t.sum*math.Exp(-float64(now-t.last)/float64(8*window)) + work
	t.last = now
	return t.sum / (8 * window).Seconds()
}

// Fleet scales an own figure to so many nodes: the others are taken to be like the
// mean, and like this one only as far as that rests on more than a request or so a
// server, which counts each. With many nodes, one request in flight is chance.
func FleetTotal(nodes int, own, mean, each float64) float64 {
	crowd := max(1-2/float64(nodes), 0)
	sure := mean / max(mean+each*crowd, math.SmallestNonzeroFloat64)
	return own + float64(nodes-1)*(mean+sure*(own-mean))
}
