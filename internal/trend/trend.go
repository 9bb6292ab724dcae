// Package trend provides estimators that give recent observations more weight: a line
// fitted to latencies, a rate of work and a timeout. Each takes a few words of memory
// and a few operations per observation, whatever the traffic. It makes no decisions.
package trend

import (
	"math"
	"time"
)

// minLineWeight is the smallest weight of a new observation in a LatencyLine.
const minLineWeight = 0.05

// LatencyLine estimates the latency of a stage for similar work: a straight line, fitted
// with decaying weights, of the latency over the tokens that were queued at the server
// when a request joined the queue. It also estimates the mean error around the line, as
// transport protocols do for their retransmission timeouts.
type LatencyLine struct {
	Count     float64       // observations
	Mean      float64       // mean latency, in ns
	MeanError float64       // mean absolute error, in ns
	Last      time.Duration // time of the latest observation

	meanX, meanXX, meanXY float64
}

// Expect returns the latency in ns to expect with this number of tokens queued ahead, at least a quarter of
// the mean. It is 0 before the first observation.
func (l *LatencyLine) Expect(tokens float64) float64 {
	slope := 0.0
	if variance := l.meanXX - l.meanX*l.meanX; variance > 0 {
		slope = max(0, (l.meanXY-l.meanX*l.Mean)/variance)
	}
	return max(l.Mean+slope*(tokens-l.meanX), l.Mean/4)
}

// Observe adds a latency that was observed with this number of tokens queued ahead.
func (l *LatencyLine) Observe(now, latency time.Duration, tokens float64) {
	l.Count++
	l.Last = now
	weight, observed := max(1/l.Count, minLineWeight), float64(latency)
	l.MeanError += weight * (math.Abs(observed-l.Expect(tokens)) - l.MeanError)
	l.meanX += weight * (tokens - l.meanX)
	l.Mean += weight * (observed - l.Mean)
	l.meanXX += weight * (tokens*tokens - l.meanXX)
	l.meanXY += weight * (tokens*observed - l.meanXY)
}

// Rate is the rate of work per second, as a decaying average over about eight windows.
type Rate struct {
	sum  float64
	last time.Duration
}

// Add counts work and returns the rate per second. All calls on one Rate must use
// the same window.
func (r *Rate) Add(now, window time.Duration, work float64) float64 {
	r.sum = r.sum*math.Exp(-float64(now-r.last)/float64(8*window)) + work
	r.last = now
	return r.sum / (8 * window).Seconds()
}

// FleetTotal estimates the sum over all nodes of a quantity at one server. own is this
// node's value there, mean the mean of its values over the servers, and each the value of
// one request. The other nodes are assumed to be at the mean, and to share this node's
// deviation from it only as far as the mean is based on more than about one request per
// server: with many nodes, one request in flight is chance.
func FleetTotal(nodes int, own, mean, each float64) float64 {
	shrinkage := max(1-2/float64(nodes), 0)
	confidence := mean / max(mean+each*shrinkage, math.SmallestNonzeroFloat64)
	return own + float64(nodes-1)*(mean+confidence*(own-mean))
}
