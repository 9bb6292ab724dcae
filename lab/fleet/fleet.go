// Package fleet counts what gateways did over a whole fleet, from their debug
// logs: what one does may be fine alone and do harm when all do it.
package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"
)

// ErrEmpty says that a folder's logs tell of nothing that could be counted.
var ErrEmpty = errors.New("fleet: no debug line of a gateway")

// Names of statuses, places and states, by the numbers that logs hold.
var (
	statuses = []string{"", "served", "error", "turned-away", "no-answer", "no-connection", "lost", "called-off", "not-sent", "read"}
	places   = []string{"", "held", "refused", "unknown", "unasked"}
	kinds    = map[string]string{"served": "served", "refused": "refused", "failed": "failed", "gone": "gone"}
)

// maxLine bounds a log's line in bytes.
const maxLine = 1 << 20

// Counts are numbers of events by name, such as "attempt read" or "list failed".
type Counts map[string]int

// Engine is what all gateways did with one engine.
type Engine struct {
	ID, Kind, Zone, Cell string
	Counts               Counts
	Cold                 []float64 // seconds of the day of sends while it was cold
	Late                 float64   // ms at most from the news that it is to get nothing more to a send
}

// Fleet is the sum over gateways.
type Fleet struct {
	Gateways int
	Seconds  []Counts // by second from the first line on
	Engines  map[string]*Engine
	Skipped  int    // lines that could not be read
	Example  string // the first of them, cut short
	cold     time.Duration
	first    float64 // ms since 1970
	lines    []line
}

// line is a log line that counts.
type line struct {
	gateway int
	at      float64 // ms since 1970
	msg     string
	value   map[string]string
}

var pair = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// wanted are the messages counted, and what each must tell.
var wanted = map[string][]string{
	"attempt": {"engine", "status", "ms"}, "answer": {"kind"}, "probe": {"engine", "status"}, "place": {"engine", "answer"},
	"list": {"err"}, "connect": {"address", "err"}, "news": {"engine", "state", "started"},
	"release": {"engine", "try", "err"}, "release given up": {"engine", "why"},
}

// Read counts the logs of a folder, a file (*.log) for each gateway. For cold
// after its start, an engine counts as cold.
func Read(dir string, cold time.Duration) (*Fleet, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%w: %s holds no *.log", ErrEmpty, dir)
	}
	f := &Fleet{Engines: map[string]*Engine{}, cold: cold}
	for _, path := range paths {
		r, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
		err = f.add(r)
		r.Close()
		if err != nil {
			return nil, fmt.Errorf("fleet: %s: %w", path, err)
		}
	}
	if len(f.lines) == 0 {
		return nil, fmt.Errorf("%w in %d files of %s: gateways log them with ASHWOOD_LOG=debug", ErrEmpty, len(paths), dir)
	}
	f.count()
	return f, nil
}

// add takes in one gateway's log.
func (f *Fleet) add(r io.Reader) error {
	gateway := f.Gateways
	f.Gateways++
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLine)
	for in.Scan() {
		text := in.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		value := map[string]string{}
		for _, m := range pair.FindAllStringSubmatch(text, -1) {
			value[m[1]] = strings.Trim(m[2], `"`)
		}
		at, err := time.Parse(time.RFC3339Nano, value["time"])
		keys, known := wanted[value["msg"]]
		whole := err == nil && value["msg"] != ""
		for _, k := range keys {
			_, has := value[k]
			whole = whole && has
		}
		switch {
		case !whole:
			if f.Skipped++; f.Example == "" {
				f.Example = text[:min(len(text), 120)]
			}
		case known:
			f.lines = append(f.lines, line{gateway, float64(at.UnixMicro()) / 1000, value["msg"], value})
		}
	}
	return in.Err()
}

// number reads a figure; what is none counts as 0.
func number(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0
	}
	return v
}

func name(names []string, s string) string {
	if n, err := strconv.Atoi(s); err == nil && n > 0 && n < len(names) {
		return names[n]
	}
	return "unknown"
}

// count sums the lines up in the order of their times.
func (f *Fleet) count() {
	sort.SliceStable(f.lines, func(i, j int) bool { return f.lines[i].at < f.lines[j].at })
	f.first = f.lines[0].at
	address := map[string]string{}      // to engine
	off := map[int]map[string]float64{} // by gateway: when it was told that an engine is to get nothing more
	started := map[string]float64{}     // as told to any gateway first
	for _, l := range f.lines {
		v := l.value
		for n := int((l.at - f.first) / 1000); len(f.Seconds) <= n; {
			f.Seconds = append(f.Seconds, Counts{})
		}
		var what string
		e := f.engine(v["engine"])
		switch l.msg {
		case "news":
			e.Kind, e.Zone, e.Cell, address[v["address"]] = v["kind"], v["zone"], v["cell"], e.ID
			if s := number(v["started"]); s > started[e.ID] {
				started[e.ID] = s
			}
			if off[l.gateway] == nil {
				off[l.gateway] = map[string]float64{}
			}
			if v["state"] == "1" {
				delete(off[l.gateway], e.ID)
			} else if _, told := off[l.gateway][e.ID]; !told {
				off[l.gateway][e.ID] = l.at
			}
			continue
		case "attempt":
			what = "attempt " + name(statuses, v["status"])
			if sent := l.at - number(v["ms"]); v["status"] != "8" { // not sent
				if told, ok := off[l.gateway][e.ID]; ok {
					e.Late = max(e.Late, sent-told)
				}
				if s := started[e.ID]; s > 0 && sent >= s && sent-s < float64(f.cold.Milliseconds()) {
					e.Cold = append(e.Cold, (sent-f.first)/1000)
					f.Seconds[len(f.Seconds)-1]["cold send"]++
				}
			}
		case "answer":
			if what = kinds[v["kind"]]; v["why"] != "" {
				what += " " + v["why"]
			}
			e = nil
		case "probe":
			what = "probe " + name(statuses, v["status"])
		case "place":
			what = "place " + name(places, v["answer"])
		case "release":
			if what = "release made"; v["err"] != "<nil>" {
				what = "release failed"
			}
			if v["try"] != "0" {
				f.Seconds[len(f.Seconds)-1]["release repeated"]++
				e.Counts["release repeated"]++
			}
		case "release given up":
			what = l.msg
		case "list", "connect":
			if what = l.msg + " ok"; v["err"] != "<nil>" {
				what = l.msg + " failed"
			}
			if e = nil; l.msg == "connect" {
				e = f.Engines[address[v["address"]]]
			}
		}
		f.Seconds[len(f.Seconds)-1][what]++
		if e != nil {
			e.Counts[what]++
		}
	}
	delete(f.Engines, "")
}

func (f *Fleet) engine(id string) *Engine {
	if f.Engines[id] == nil {
		f.Engines[id] = &Engine{ID: id, Counts: Counts{}}
	}
	return f.Engines[id]
}

// Peak is the most sends within a second while it was cold.
func (e *Engine) Peak() (most int) {
	at := append([]float64(nil), e.Cold...)
	sort.Float64s(at)
	first := 0
	for i := range at {
		for at[i]-at[first] >= 1 {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
