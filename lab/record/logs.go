package record

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"time"
)

// A gateway's debug log has a line for each request when its answer begins or is
// given (msg=answer), and one for each stream that ends (msg=end). Benchmarks and
// rehearsals are recorded from the same lines, so that their recordings are comparable.
var (
	answerLine = regexp.MustCompile(`time=(\S+) level=DEBUG msg=answer id=(\S+) class=(\S+) kind=(\S+) ms=(\S+)`)
	endLine    = regexp.MustCompile(`time=(\S+) level=DEBUG msg=end id=(\S+) class=(\S+) status=(\d+) ms=(\S+)`)
)

// servedStatus is the number by which the decision module logs a whole answer.
const servedStatus = "1"

// maxLine is the longest log line that is read, in bytes.
const maxLine = 1 << 20

// loggedRequest is what the log lines of one request contain.
type loggedRequest struct {
	class     string
	beganAt   float64 // when the gateway received it, in ms since 1970
	outcome   string
	firstMs   float64
	endStatus string // status of the end of its stream
	totalMs   float64
}

// FromLogs builds a recording from gateways' debug logs. Times count from the
// first request that any of them received.
func FromLogs(name, source string, logs ...io.Reader) (*Recording, error) {
	requests := map[string]*loggedRequest{}
	var order []string
	for index, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(make([]byte, 0, 64<<10), maxLine)
		for lines.Scan() {
			text := lines.Text()
			if m := answerLine.FindStringSubmatch(text); m != nil {
				at, took, err := parseTimes(m[1], m[5])
				if err != nil {
					return nil, fmt.Errorf("record: log %d: %w", index, err)
				}
				if requests[m[2]] == nil {
					order = append(order, m[2])
				}
				requests[m[2]] = &loggedRequest{class: m[3], beganAt: at - took, outcome: m[4], firstMs: took}
			} else if m := endLine.FindStringSubmatch(text); m != nil {
				_, took, err := parseTimes(m[1], m[5])
				if err != nil {
					return nil, fmt.Errorf("record: log %d: %w", index, err)
				}
				if request := requests[m[2]]; request != nil {
					request.endStatus, request.totalMs = m[4], took
				}
			}
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("record: log %d: %w", index, err)
		}
	}
	if len(order) == 0 {
		return nil, fmt.Errorf("%w: the logs contain no answer; gateways log them at level debug", ErrFormat)
	}
	first := requests[order[0]].beganAt
	for _, request := range requests {
		first = min(first, request.beganAt)
	}
	builder := NewBuilder()
	for _, id := range order {
		request := requests[id]
		at := request.beganAt - first
		switch request.outcome {
		case "served":
			builder.AddAnswer(request.class, at, Served, request.firstMs)
			if request.endStatus == servedStatus {
				builder.AddEnd(request.class, at, request.totalMs)
			} else if request.endStatus != "" {
				builder.MarkBroken(request.class, at)
			}
		case "refused":
			builder.AddAnswer(request.class, at, Refused, 0)
		default:
			builder.AddAnswer(request.class, at, Failed, 0)
		}
	}
	return builder.Recording(name, source), nil
}

// parseTimes parses a line's time, as ms since 1970, and its duration in ms.
func parseTimes(at, took string) (atMs, tookMs float64, err error) {
	parsed, err := time.Parse(time.RFC3339Nano, at)
	if err != nil {
		return 0, 0, err
	}
	tookMs, err = strconv.ParseFloat(took, 64)
	return float64(parsed.UnixMicro()) / 1000, tookMs, err
}
