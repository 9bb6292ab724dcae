package platform

import "bytes"

// terminator is the data of the event with which an engine ends a stream.
const terminator = "[DONE]"

// maxScannedLine is how much of a line is kept: more than a line with the terminator has.
const maxScannedLine = 16

// eventScanner follows a stream of events as its bytes come.
type eventScanner struct {
	line       []byte // the beginning of the current line
	longLine   bool   // the line has more bytes than that
	hasLines   bool   // lines have come since the last blank one
	inEvent    bool   // and among them one of an event
	terminated bool   // the terminator has come
}

// scan follows the bytes of a piece, and reports whether an event ended in it.
func (s *eventScanner) scan(piece []byte) (eventEnded bool) {
	for len(piece) > 0 {
		line, rest, complete := bytes.Cut(piece, []byte("\n"))
		room := maxScannedLine - len(s.line)
		s.line = append(s.line, line[:min(len(line), room)]...)
		s.longLine = s.longLine || len(line) > room
		if !complete {
			return eventEnded
		}
		eventEnded = s.endLine() || eventEnded
		piece = rest
	}
	return eventEnded
}

// endLine takes the current line into account and begins the next one. It reports whether the line ends an event or a
// comment.
func (s *eventScanner) endLine() (eventEnded bool) {
	if s.isBlank() {
		eventEnded = s.hasLines
		s.hasLines, s.inEvent = false, false
	} else {
		s.hasLines = true
		s.inEvent = s.inEvent || s.isField()
		s.terminated = s.terminated || s.isTerminator()
	}
	s.line, s.longLine = s.line[:0], false
	return eventEnded
}

func (s *eventScanner) text() []byte { return bytes.TrimSuffix(s.line, []byte("\r")) }

func (s *eventScanner) isBlank() bool { return len(s.text()) == 0 && !s.longLine }

// isField reports whether the current line belongs to an event that is not complete without a blank line: not a
// comment, and not the terminator, behind which nothing is due.
func (s *eventScanner) isField() bool {
	return !s.isBlank() && s.line[0] != ':' && !s.isTerminator()
}

func (s *eventScanner) isTerminator() bool {
	data, ok := bytes.CutPrefix(s.text(), []byte("data:"))
	return ok && !s.longLine && string(bytes.TrimSpace(data)) == terminator
}

// eventOpen reports whether an event has begun and has not ended.
func (s *eventScanner) eventOpen() bool { return s.inEvent || s.isField() }

// hasTerminator reports whether the terminator has come, with or without the end of its line.
func (s *eventScanner) hasTerminator() bool { return s.terminated || s.isTerminator() }
