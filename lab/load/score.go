package load

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"ashwood.example/ashwood/lab/scenario"
)

// Kind is how a request ended for its client, after all retries.
type Kind string

// The kinds of ends.
const (
	InTime  Kind = "in-time"
	Late    Kind = "late" // the first token arrived after the aim, or the other tokens too slowly
	Refused Kind = "refused"
	Failed  Kind = "failed"
	Broken  Kind = "broken" // its stream ended early
	Timeout Kind = "timeout"
	Left    Kind = "left" // the client closed its connection early
)

// Result is the result of a request, including its retries.
type Result struct {
	Request
	Kind   Kind
	Tries  int
	First  float64 // ms from the drawn time to the first token; 0 = none arrived
	Total  float64 // ms from the drawn time to the end
	Tokens int
	Earned float64
}

// scoreAnswer sets what an answer has earned: the full worth for a first token within
// the aim and the other tokens at the class's pace, the late share up to the deadline
// and at up to twice the class's time per token.
func scoreAnswer(c scenario.Class, r *Result) {
	pace := 0.0
	if r.Tokens > 1 {
		pace = (r.Total - r.First) / float64(r.Tokens-1)
	}
	switch {
	case r.First <= Aim(c, r.Request) && pace <= c.TokenMs:
		r.Kind, r.Earned = InTime, r.Worth
	case r.First <= Deadline(c, r.Request) && pace <= 2*c.TokenMs:
		r.Kind, r.Earned = Late, r.Worth*c.LateWorth
	default:
		r.Kind, r.Earned = Late, 0
	}
}

// Window sums up the requests of a time span, or of the whole run, of one class or of all.
type Window struct {
	Offered  int          `json:"offered"`
	Kinds    map[Kind]int `json:"kinds"`
	Tries    int          `json:"tries"`
	Worth    float64      `json:"worth"`
	Earned   float64      `json:"earned"`
	FirstP50 float64      `json:"first_p50_ms"`
	FirstP99 float64      `json:"first_p99_ms"`
	TotalP50 float64      `json:"total_p50_ms"`
	TotalP99 float64      `json:"total_p99_ms"`
	first    *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
}

// Service returns the ratio of worth earned to worth offered; 1 if none was offered.
func (w *Window) Service() float64 {
	if w.Worth == 0 {
		return 1
	}
	return w.Earned / w.Worth
}

// maxLatencyUs is the highest latency that is recorded, in microseconds; longer ones count as this.
const maxLatencyUs = 600e6

func newWindow() *Window {
	return &Window{Kinds: map[Kind]int{}, first: hdrhistogram.New(1, maxLatencyUs, 3), total: hdrhistogram.New(1, maxLatencyUs, 3)}
}

func (w *Window) add(r Result) {
	w.Offered++
	w.Kinds[r.Kind]++
	w.Tries += r.Tries
	w.Worth += r.Worth
	w.Earned += r.Earned
	if r.First > 0 {
		recordMs(w.first, r.First)
	}
	if r.Kind == InTime || r.Kind == Late {
		recordMs(w.total, r.Total)
	}
}

func recordMs(h *hdrhistogram.Histogram, ms float64) {
	_ = h.RecordValue(min(max(int64(ms*1000), 1), int64(maxLatencyUs))) // never fails: the value is clamped to the histogram's range
}

func (w *Window) computePercentiles() {
	quantileMs := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	w.FirstP50, w.FirstP99 = quantileMs(w.first, 50), quantileMs(w.first, 99)
	w.TotalP50, w.TotalP99 = quantileMs(w.total, 50), quantileMs(w.total, 99)
}

// WindowMs is the length of a report's windows in ms.
const WindowMs = 5000.0

// Summary holds a run's metrics: overall, by class, by window, and by both.
type Summary struct {
	Overall      *Window              `json:"whole"`
	Classes      map[string]*Window   `json:"classes"`
	Windows      []*Window            `json:"windows"`
	ByClass      map[string][]*Window `json:"by_class"`
	Service      float64              `json:"service"`
	WorstClass   float64              `json:"worst_class"`
	Worst10s     float64              `json:"worst_10s"`
	Score        float64              `json:"score"` // weighted: 0.7 overall service, 0.1 worst 10 s, 0.2 worst class
	SendLagP99Ms float64              `json:"intended_lag_p99_ms"`
}

// Summarize computes a run's metrics from its results.
func Summarize(p *scenario.Plan, results []Result) *Summary {
	summary := &Summary{Overall: newWindow(), Classes: map[string]*Window{}, ByClass: map[string][]*Window{}}
	count := int((p.LengthS*1000 + WindowMs - 1) / WindowMs)
	for range count {
		summary.Windows = append(summary.Windows, newWindow())
	}
	for _, c := range p.Load.Classes {
		summary.Classes[c.Name] = newWindow()
		for range count {
			summary.ByClass[c.Name] = append(summary.ByClass[c.Name], newWindow())
		}
	}
	for _, r := range results {
		name, at := p.Load.Classes[r.Class].Name, min(int(r.At/WindowMs), count-1)
		for _, w := range []*Window{summary.Overall, summary.Classes[name], summary.Windows[at], summary.ByClass[name][at]} {
			w.add(r)
		}
	}
	summary.Overall.computePercentiles()
	summary.Service, summary.WorstClass, summary.Worst10s = summary.Overall.Service(), 1, 1
	for name, w := range summary.Classes {
		w.computePercentiles()
		summary.WorstClass = min(summary.WorstClass, w.Service())
		for _, w := range summary.ByClass[name] {
			w.computePercentiles()
		}
	}
	for i, w := range summary.Windows {
		w.computePercentiles()
		pair := Window{Worth: w.Worth, Earned: w.Earned}
		if i+1 < count {
			pair.Worth, pair.Earned = pair.Worth+summary.Windows[i+1].Worth, pair.Earned+summary.Windows[i+1].Earned
			summary.Worst10s = min(summary.Worst10s, pair.Service())
		}
	}
	summary.Score = 0.7*summary.Service + 0.1*summary.Worst10s + 0.2*summary.WorstClass
	return summary
}
