// Package record summarizes a run from gateways' debug logs as a recording (outcomes
// and latency distributions by class) and measures the distance of two recordings.
// It neither runs gateways nor generates load.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Version is the version of the format. Read rejects all others.
const Version = 1

// WindowMs is the length of a recording's windows in ms.
const WindowMs = 5000.0

// Recording is the summary of a run: the outcomes of requests by class and window, and
// the distributions of the times to first tokens and to whole answers.
type Recording struct {
	Version int     `json:"version"`
	Name    string  `json:"name"`
	Source  string  `json:"source"` // free text: what it was recorded from
	LengthS float64 `json:"length_s"`
	Classes []Class `json:"classes"` // sorted by name
}

// Class is the part of a recording for one class of requests.
type Class struct {
	Name    string   `json:"name"`
	Windows []Window `json:"windows"`
	First   Grid     `json:"first_ms"` // from the gateway's receipt of a request to the first token
	Total   Grid     `json:"total_ms"` // from that receipt to the answer's end
}

// Window counts the requests that began within a span of WindowMs.
type Window struct {
	Offered  int     `json:"offered"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"` // failed, broken, or abandoned by the client
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP99 float64 `json:"first_p99_ms"`
}

// Grid is a distribution: the number of its values and its quantiles at
// 0, 1, 2 … 100 percent. Without values there are no quantiles.
type Grid struct {
	N  int64     `json:"n"`
	At []float64 `json:"at"`
}

// Errors of reading recordings.
var (
	ErrVersion = errors.New("record: unsupported version of a recording")
	ErrFormat  = errors.New("record: not a recording")
)

// Read reads a recording as JSON and checks its version and quantiles.
func Read(r io.Reader) (*Recording, error) {
	var recording Recording
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&recording); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if recording.Version != Version {
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrVersion, recording.Version, Version)
	}
	for i, c := range recording.Classes {
		for _, quantiles := range []struct {
			key  string
			grid Grid
		}{{"first_ms", c.First}, {"total_ms", c.Total}} {
			if quantiles.grid.N > 0 != (len(quantiles.grid.At) == quantileCount) || !sort.Float64sAreSorted(quantiles.grid.At) {
				return nil, fmt.Errorf("%w: classes[%d].%s.at: %d quantiles of %d values", ErrFormat, i, quantiles.key, len(quantiles.grid.At), quantiles.grid.N)
			}
		}
	}
	return &recording, nil
}

// Open reads a recording from a file.
func Open(path string) (*Recording, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	defer f.Close()
	recording, err := Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return recording, nil
}

// Write writes the recording as JSON.
func (r *Recording) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// quantileCount is the number of quantiles of a Grid: 0 to 100 percent.
const quantileCount = 101

// maxLatencyUs is the highest latency that is recorded, in microseconds; longer ones count as this.
const maxLatencyUs = int64(600e6)

// Builder builds a recording from the outcomes of single requests.
type Builder struct {
	classes map[string]*classBuilder
	lastMs  float64
}

// classBuilder accumulates the values of one class.
type classBuilder struct {
	windows      []Window
	windowFirst  []*hdrhistogram.Histogram
	first, total *hdrhistogram.Histogram
}

// Outcome is how a request ended.
type Outcome int

// The outcomes of requests.
const (
	Served Outcome = iota + 1
	Refused
	Failed
)

// NewBuilder returns an empty builder.
func NewBuilder() *Builder { return &Builder{classes: map[string]*classBuilder{}} }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUs, 3) }

// window returns a class's builder and the index of the window at a time in ms; it adds both as needed.
func (b *Builder) window(class string, atMs float64) (*classBuilder, int) {
	p := b.classes[class]
	if p == nil {
		p = &classBuilder{first: newHistogram(), total: newHistogram()}
		b.classes[class] = p
	}
	i := max(0, int(atMs/WindowMs))
	for len(p.windows) <= i {
		p.windows = append(p.windows, Window{})
		p.windowFirst = append(p.windowFirst, hdrhistogram.New(1, maxLatencyUs, 2))
	}
	b.lastMs = max(b.lastMs, atMs)
	return p, i
}

// AddAnswer records a request that began at atMs, with its outcome and, if served, the time to its first token.
func (b *Builder) AddAnswer(class string, atMs float64, outcome Outcome, firstMs float64) {
	p, i := b.window(class, atMs)
	w := &p.windows[i]
	w.Offered++
	switch outcome {
	case Served:
		w.Served++
		recordMs(p.first, firstMs)
		recordMs(p.windowFirst[i], firstMs)
	case Refused:
		w.Refused++
	default:
		w.Failed++
	}
}

// AddEnd records the total time of a whole answer to a request that began at atMs.
func (b *Builder) AddEnd(class string, atMs, totalMs float64) {
	p, _ := b.window(class, atMs)
	recordMs(p.total, totalMs)
}

// MarkBroken counts a request that was added as served as failed, as its answer was not whole.
func (b *Builder) MarkBroken(class string, atMs float64) {
	p, i := b.window(class, atMs)
	p.windows[i].Served--
	p.windows[i].Failed++
}

func recordMs(h *hdrhistogram.Histogram, ms float64) {
	_ = h.RecordValue(min(max(int64(ms*1000), 1), maxLatencyUs)) // never fails: the value is clamped to the histogram's range
}

// Recording returns what has been recorded.
func (b *Builder) Recording(name, source string) *Recording {
	r := &Recording{Version: Version, Name: name, Source: source, LengthS: b.lastMs / 1000}
	for class, p := range b.classes {
		for i, h := range p.windowFirst {
			if h.TotalCount() > 0 {
				p.windows[i].FirstP50, p.windows[i].FirstP99 = quantileMs(h, 50), quantileMs(h, 99)
			}
		}
		r.Classes = append(r.Classes, Class{Name: class, Windows: p.windows, First: newGrid(p.first), Total: newGrid(p.total)})
	}
	sort.Slice(r.Classes, func(i, j int) bool { return r.Classes[i].Name < r.Classes[j].Name })
	return r
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func newGrid(h *hdrhistogram.Histogram) Grid {
	g := Grid{N: h.TotalCount()}
	if g.N == 0 {
		return g
	}
	for q := range quantileCount {
		g.At = append(g.At, quantileMs(h, float64(q)))
	}
	g.At[0] = float64(h.Min()) / 1000
	return g
}
