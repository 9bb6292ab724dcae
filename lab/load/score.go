package load

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"ashwood.example/ashwood/lab/scenario"
)

// Kind tells how a request ended for its client after all its tries.
type Kind string

// The kinds of results.
const (
	InTime  Kind = "in-time"
	Late    Kind = "late" // the first token came after the aim, or the rest too slowly
	Refused Kind = "refused"
	Failed  Kind = "failed"
	Broken  Kind = "broken" // the stream ended early
	Timeout Kind = "timeout"
	Left    Kind = "left" // the client left early
)

// Result is how a request ended, and what it earned.
type Result struct {
	Request
	Kind         Kind
	Tries        int
	FirstTokenMs float64 // ms from the intended time to the first token; 0 = none came
	TotalMs      float64 // ms from the intended time to the end
	Tokens       int
	Earned       float64
}

// gradeAnswer sets what a complete answer earned: full worth if the first token came
// within the aim and the rest at the class's time per token; the late share if it came
// within the deadline and the rest at no more than twice that time per token; else
// nothing.
func gradeAnswer(c scenario.Class, r *Result) {
	pace := 0.0
	if r.Tokens > 1 {
		pace = (r.TotalMs - r.FirstTokenMs) / float64(r.Tokens-1)
	}
	switch {
	case r.FirstTokenMs <= Aim(c, r.Request) && pace <= c.TokenMs:
		r.Kind, r.Earned = InTime, r.Worth
	case r.FirstTokenMs <= Deadline(c, r.Request) && pace <= 2*c.TokenMs:
		r.Kind, r.Earned = Late, r.Worth*c.LateWorth
	default:
		r.Kind, r.Earned = Late, 0
	}
}

// Window holds the results of a time window or a whole run, for one class or for all.
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

// Service is the worth earned, relative to the worth offered; 1 if none was offered.
func (w *Window) Service() float64 {
	if w.Worth == 0 {
		return 1
	}
	return w.Earned / w.Worth
}

// maxUs is the highest latency that histograms hold, in microseconds.
const maxUs = 600e6

func newWindow() *Window {
	return &Window{Kinds: map[Kind]int{}, first: hdrhistogram.New(1, maxUs, 3), total: hdrhistogram.New(1, maxUs, 3)}
}

// add counts a result. Latencies of whole answers are recorded for complete ones only.
func (w *Window) add(r Result) {
	w.Offered++
	w.Kinds[r.Kind]++
	w.Tries += r.Tries
	w.Worth += r.Worth
	w.Earned += r.Earned
	if r.FirstTokenMs > 0 {
		recordMs(w.first, r.FirstTokenMs)
	}
	if r.Kind == InTime || r.Kind == Late {
		recordMs(w.total, r.TotalMs)
	}
}

// recordMs records a latency in ms, clamped to the histogram's range.
func recordMs(h *hdrhistogram.Histogram, ms float64) {
	_ = h.RecordValue(min(max(int64(ms*1000), 1), int64(maxUs))) // cannot fail: the value is clamped to the range
}

// setQuantiles computes the quantiles in ms from the histograms.
func (w *Window) setQuantiles() {
	quantile := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	w.FirstP50, w.FirstP99 = quantile(w.first, 50), quantile(w.first, 99)
	w.TotalP50, w.TotalP99 = quantile(w.total, 50), quantile(w.total, 99)
}

// WindowMs is the length of a time window in a summary.
const WindowMs = 5000.0

// Summary holds a run's metrics: in total, by class, by window, and by both.
type Summary struct {
	Whole       *Window              `json:"whole"`
	Classes     map[string]*Window   `json:"classes"`
	Windows     []*Window            `json:"windows"`
	ByClass     map[string][]*Window `json:"by_class"`
	Service     float64              `json:"service"`
	WorstClass  float64              `json:"worst_class"`
	Worst10s    float64              `json:"worst_10s"`
	Score       float64              `json:"score"` // 0.7 of Service, 0.1 of Worst10s, 0.2 of WorstClass
	IntendedLag float64              `json:"intended_lag_p99_ms"`
}

// Summarize computes a run's metrics from the results of its requests.
func Summarize(p *scenario.Plan, results []Result) *Summary {
	s := &Summary{Whole: newWindow(), Classes: map[string]*Window{}, ByClass: map[string][]*Window{}}
	windowCount := int((p.LengthS*1000 + WindowMs - 1) / WindowMs)
	for range windowCount {
		s.Windows = append(s.Windows, newWindow())
	}
	for _, c := range p.Load.Classes {
		s.Classes[c.Name] = newWindow()
		for range windowCount {
			s.ByClass[c.Name] = append(s.ByClass[c.Name], newWindow())
		}
	}
	for _, r := range results {
		name, index := p.Load.Classes[r.Class].Name, min(int(r.At/WindowMs), windowCount-1)
		for _, w := range []*Window{s.Whole, s.Classes[name], s.Windows[index], s.ByClass[name][index]} {
			w.add(r)
		}
	}
	s.Whole.setQuantiles()
	s.Service, s.WorstClass, s.Worst10s = s.Whole.Service(), 1, 1
	for name, w := range s.Classes {
		w.setQuantiles()
		s.WorstClass = min(s.WorstClass, w.Service())
		for _, w := range s.ByClass[name] {
			w.setQuantiles()
		}
	}
	for i, w := range s.Windows {
		w.setQuantiles()
		pair := Window{Worth: w.Worth, Earned: w.Earned}
		if i+1 < windowCount {
			pair.Worth, pair.Earned = pair.Worth+s.Windows[i+1].Worth, pair.Earned+s.Windows[i+1].Earned
			s.Worst10s = min(s.Worst10s, pair.Service())
		}
	}
	s.Score = 0.7*s.Service + 0.1*s.Worst10s + 0.2*s.WorstClass
	return s
}
