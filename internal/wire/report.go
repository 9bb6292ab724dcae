package wire

import (
	"math"
	"strconv"
	"strings"

	"ashwood.example/ashwood"
)

var reportNames = map[string]string{
	"busy_reqs": ashwood.ReportInFlight, "pending": ashwood.ReportQueue, "x0": ashwood.ReportMemory,
	"x1": ashwood.ReportWaiting,
}

// textNames are the names of the same values on sockets, where reports hold "the
// fields that the settings name": those of the simulator, or of the page's example.
var textNames = map[string]string{
	"inflight": ashwood.ReportInFlight, "queue": ashwood.ReportQueue, "x0": ashwood.ReportMemory,
	"x1": ashwood.ReportWaiting, "busy_reqs": ashwood.ReportInFlight, "pending": ashwood.ReportQueue,
}

// ParseReport reads a load report in the form name=value,name=value. What it
// does not know it skips; of a report that can't be read it believes nothing.
func ParseReport(text string) (r ashwood.Report) {
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || err != nil || v < 0 || v > maxLoad || math.IsNaN(v) {
			return nil
		}
		if known, ok := textNames[strings.TrimSpace(name)]; ok {
			if r == nil {
				r = ashwood.Report{}
			}
			r[known] = bounded(known, v)
		}
	}
	return r
}

// maxLoad is beyond any figure of a load report.
const maxLoad = 1e9

// bounded keeps a share within 1: of an engine that tells more, no more than all is held.
func bounded(name string, value float64) float64 {
	if name == ashwood.ReportMemory {
		return min(value, 1)
	}
	return value
}

func report(load map[string]*float64) ashwood.Report {
	var r ashwood.Report
	for wire, name := range reportNames {
		if v := load[wire]; v != nil {
			if r == nil {
				r = ashwood.Report{}
			}
			r[name] = bounded(name, *v)
		}
	}
	return r
}
