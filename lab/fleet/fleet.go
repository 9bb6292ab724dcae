// Package fleet sums up what all gateways did to a fleet of engines, from their debug
// logs: behaviour that is harmless in one gateway may overload an engine when all
// gateways show it. It only reads logs.
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

// ErrEmpty is returned if the logs of a directory contain nothing that could be counted.
var ErrEmpty = errors.New("fleet: no debug line of a gateway")

// Names of statuses and answers to reservations by the numbers that logs hold, and names of outcomes.
var (
	statuses           = []string{"", "served", "error", "turned-away", "no-answer", "no-connection", "lost", "called-off", "not-sent", "read"}
	reservationAnswers = []string{"", "held", "refused", "unknown", "unasked"}
	outcomes           = map[string]string{"served": "served", "refused": "refused", "failed": "failed", "gone": "gone"}
)

// maxLine is the longest log line that is read, in bytes.
const maxLine = 1 << 20

// Counts holds numbers of events by name, such as "attempt read" or "list failed".
type Counts map[string]int

// Engine sums up what all gateways did to one engine.
type Engine struct {
	ID, Kind, Zone, Cell string
	Counts               Counts
	ColdSends            []float64 // attempts sent to it while it was cold, in seconds since the first line
	MaxLateMs            float64   // longest time from a gateway's notification that it drains or is gone to an attempt
}

// Fleet sums up the logs of all gateways.
type Fleet struct {
	Gateways     int
	Seconds      []Counts // by second since the first line
	Engines      map[string]*Engine
	Skipped      int    // lines that could not be parsed
	FirstSkipped string // the first of them, truncated
	coldTime     time.Duration
	startMs      float64 // ms since 1970
	lines        []line
}

// line is a log line with a message that is counted.
type line struct {
	gateway int
	atMs    float64 // ms since 1970
	msg     string
	values  map[string]string
}

var keyValue = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// requiredKeys lists the messages that are counted, and the keys that each must have.
var requiredKeys = map[string][]string{
	"attempt": {"engine", "status", "ms"}, "answer": {"kind"}, "probe": {"engine", "status"}, "place": {"engine", "answer"},
	"list": {"err"}, "connect": {"address", "err"}, "news": {"engine", "state", "started"},
	"release": {"engine", "try", "err"}, "release given up": {"engine", "why"},
}

// Read counts the logs of a directory, one file (*.log) for each gateway. An engine
// counts as cold for coldTime after its start.
func Read(dir string, coldTime time.Duration) (*Fleet, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%w: %s holds no *.log", ErrEmpty, dir)
	}
	f := &Fleet{Engines: map[string]*Engine{}, coldTime: coldTime}
	for _, path := range paths {
		r, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
		err = f.addLog(r)
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

// addLog parses one gateway's log.
func (f *Fleet) addLog(r io.Reader) error {
	gateway := f.Gateways
	f.Gateways++
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		values := map[string]string{}
		for _, m := range keyValue.FindAllStringSubmatch(text, -1) {
			values[m[1]] = strings.Trim(m[2], `"`)
		}
		at, err := time.Parse(time.RFC3339Nano, values["time"])
		keys, known := requiredKeys[values["msg"]]
		complete := err == nil && values["msg"] != ""
		for _, k := range keys {
			_, has := values[k]
			complete = complete && has
		}
		switch {
		case !complete:
			if f.Skipped++; f.FirstSkipped == "" {
				f.FirstSkipped = text[:min(len(text), 120)]
			}
		case known:
			f.lines = append(f.lines, line{gateway, float64(at.UnixMicro()) / 1000, values["msg"], values})
		}
	}
	return scanner.Err()
}

// parseNumber parses a number; anything else counts as 0.
func parseNumber(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0
	}
	return v
}

// nameOf returns the name for a logged number.
func nameOf(names []string, s string) string {
	if n, err := strconv.Atoi(s); err == nil && n > 0 && n < len(names) {
		return names[n]
	}
	return "unknown"
}

// count counts the lines of all gateways in the order of their times.
func (f *Fleet) count() {
	sort.SliceStable(f.lines, func(i, j int) bool { return f.lines[i].atMs < f.lines[j].atMs })
	f.startMs = f.lines[0].atMs
	engineAt := map[string]string{}             // from address to engine
	noWorkSince := map[int]map[string]float64{} // by gateway and engine: when it was notified that the engine drains or is gone
	started := map[string]float64{}             // by engine: the latest start that any gateway was notified of
	for _, line := range f.lines {
		values := line.values
		for n := int((line.atMs - f.startMs) / 1000); len(f.Seconds) <= n; {
			f.Seconds = append(f.Seconds, Counts{})
		}
		var event string
		engine := f.engine(values["engine"])
		switch line.msg {
		case "news":
			engine.Kind, engine.Zone, engine.Cell, engineAt[values["address"]] = values["kind"], values["zone"], values["cell"], engine.ID
			if s := parseNumber(values["started"]); s > started[engine.ID] {
				started[engine.ID] = s
			}
			if noWorkSince[line.gateway] == nil {
				noWorkSince[line.gateway] = map[string]float64{}
			}
			if values["state"] == "1" {
				delete(noWorkSince[line.gateway], engine.ID)
			} else if _, notified := noWorkSince[line.gateway][engine.ID]; !notified {
				noWorkSince[line.gateway][engine.ID] = line.atMs
			}
			continue
		case "attempt":
			event = "attempt " + nameOf(statuses, values["status"])
			if sent := line.atMs - parseNumber(values["ms"]); values["status"] != "8" { // not sent
				if since, ok := noWorkSince[line.gateway][engine.ID]; ok {
					engine.MaxLateMs = max(engine.MaxLateMs, sent-since)
				}
				if s := started[engine.ID]; s > 0 && sent >= s && sent-s < float64(f.coldTime.Milliseconds()) {
					engine.ColdSends = append(engine.ColdSends, (sent-f.startMs)/1000)
					f.Seconds[len(f.Seconds)-1]["cold send"]++
				}
			}
		case "answer":
			if event = outcomes[values["kind"]]; values["why"] != "" {
				event += " " + values["why"]
			}
			engine = nil
		case "probe":
			event = "probe " + nameOf(statuses, values["status"])
		case "place":
			event = "place " + nameOf(reservationAnswers, values["answer"])
		case "release":
			if event = "release made"; values["err"] != "<nil>" {
				event = "release failed"
			}
			if values["try"] != "0" {
				f.Seconds[len(f.Seconds)-1]["release repeated"]++
				engine.Counts["release repeated"]++
			}
		case "release given up":
			event = line.msg
		case "list", "connect":
			if event = line.msg + " ok"; values["err"] != "<nil>" {
				event = line.msg + " failed"
			}
			if engine = nil; line.msg == "connect" {
				engine = f.Engines[engineAt[values["address"]]]
			}
		}
		f.Seconds[len(f.Seconds)-1][event]++
		if engine != nil {
			engine.Counts[event]++
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

// PeakColdSends returns the largest number of attempts sent to it within a second while it was cold.
func (e *Engine) PeakColdSends() (largest int) {
	times := append([]float64(nil), e.ColdSends...)
	sort.Float64s(times)
	first := 0
	for i := range times {
		for times[i]-times[first] >= 1 {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}
