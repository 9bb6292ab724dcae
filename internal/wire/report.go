package wire

import (
	"math"
	"strconv"
	"strings"

	"ashwood.example/ashwood"
)

// loadFieldNames maps the field names of load reports in the simulator's messages.
var loadFieldNames = map[string]string{
	"busy_reqs": ashwood.ReportInFlight, "pending": ashwood.ReportQueue, "x0": ashwood.ReportMemory,
	"x1": ashwood.ReportWaiting,
}

// textReportNames maps the names of the same values in text reports from engines, which hold "the
// fields that the settings name": either the simulator's names or those of the operators' example.
var textReportNames = map[string]string{
	"inflight": ashwood.ReportInFlight, "queue": ashwood.ReportQueue, "x0": ashwood.ReportMemory,
	"x1": ashwood.ReportWaiting, "busy_reqs": ashwood.ReportInFlight, "pending": ashwood.ReportQueue,
}

// ParseReport parses a load report in the form name=value,name=value. It skips unknown
// names and returns nil for a malformed report.
func ParseReport(text string) (r ashwood.Report) {
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || err != nil || v < 0 || v > maxReportValue || math.IsNaN(v) {
			return nil
		}
		if known, ok := textReportNames[strings.TrimSpace(name)]; ok {
			if r == nil {
				r = ashwood.Report{}
			}
			r[known] = clampMemoryShare(known, v)
		}
	}
	return r
}

// maxReportValue is above any valid value of a load report.
const maxReportValue = 1e9

// clampMemoryShare limits the memory share to 1: an engine can't use more than all of its memory, whatever it reports.
func clampMemoryShare(name string, value float64) float64 {
	if name == ashwood.ReportMemory {
		return min(value, 1)
	}
	return value
}

func decodeLoad(load map[string]*float64) ashwood.Report {
	var r ashwood.Report
	for wire, name := range loadFieldNames {
		if v := load[wire]; v != nil {
			if r == nil {
				r = ashwood.Report{}
			}
			r[name] = clampMemoryShare(name, *v)
		}
	}
	return r
}
