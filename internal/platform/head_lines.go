package platform

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

// maxHeadLines bounds the lines of a request's head, with the request line. The server's library needs some 100 bytes for
// each field, however short it is, so that heads of very short fields take many times their size.
const maxHeadLines = 256

// errTooManyFields ends the reading of a request whose head has more than maxHeadLines lines.
var errTooManyFields = errors.New("platform: too many header fields")

// headLines counts the lines of a request's head as its bytes come, before the server's library sees them.
type headLines struct {
	count       int  // complete lines
	lineStarted bool // the current line has bytes other than its end
	ended       bool // the blank line behind the head has come
}

// read takes bytes into account and reports whether the head has too many lines so far. Bytes behind the head don't count.
func (h *headLines) read(p []byte) (tooMany bool) {
	for len(p) > 0 && !h.ended {
		line, rest, complete := bytes.Cut(p, []byte("\n"))
		h.lineStarted = h.lineStarted || len(bytes.TrimSuffix(line, []byte("\r"))) > 0
		if !complete {
			break
		}
		if h.lineStarted {
			h.count++
		}
		h.ended = !h.lineStarted && h.count > 0
		h.lineStarted = false
		p = rest
	}
	return h.count > maxHeadLines
}

// hasTooManyFields reports the same of a head that has been parsed: it may have come together with the request before it.
func hasTooManyFields(header *fasthttp.RequestHeader) bool {
	return bytes.Count(header.RawHeaders(), []byte("\n")) >= maxHeadLines
}
