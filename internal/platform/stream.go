package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/wire"
)

// stream is an engine's answer. Its bytes go on as they came; only the load
// report in the comment at its end is read.
type engineStream struct {
	pool          *connPool
	conn          *engineConn
	body          io.Reader
	stopInterrupt func() bool
	buf           [4096]byte
	firstEvent    []byte // up to the end of the first event, read but not passed on
	tail          []byte // the last bytes seen, for the report
	reusable      bool
	done          bool
}

const tailBytes = 512

func (e *Engines) newStream(ctx context.Context, c *engineConn, head *fasthttp.ResponseHeader) *engineStream {
	s := &engineStream{pool: e.pool, conn: c, reusable: !head.ConnectionClose()}
	s.stopInterrupt = c.interruptOnDone(ctx)
	switch n := head.ContentLength(); {
	case n == -1:
		s.body = &chunkedReader{reader: c.reader, startTimeout: func() func() { return e.startTimeout(c, completionTimeout) }}
	case n >= 0:
		s.body = &fixedLengthReader{reader: c.reader, remaining: n}
	default:
		s.body, s.reusable = c.reader, false
	}
	return s
}

// exactly reads a body of a length that was told; less is a broken one.
type fixedLengthReader struct {
	reader    io.Reader
	remaining int
}

func (b *fixedLengthReader) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, unexpected(err)
}

// first reads the answer up to the end of its first event, which may come in pieces: until
// that is whole nothing has been answered, and what breaks is an attempt.
func (s *engineStream) first() error {
	var begun []byte
	for {
		piece, err := s.Next()
		begun = append(begun, piece...)
		switch {
		case errors.Is(err, io.EOF) && len(begun) == 0:
			return io.ErrUnexpectedEOF // an answer without an event is none
		case err != nil && !errors.Is(err, io.EOF):
			return err
		case err != nil || bytes.Contains(begun, []byte("\n\n")) || bytes.Contains(begun, []byte("\r\n\r\n")):
			s.firstEvent = begun
			return nil
		case len(begun) > maxChunk:
			return fmt.Errorf("%w: an event does not end", errSpoilt)
		}
	}
}

// Next gives the next bytes of the answer.
func (s *engineStream) Next() ([]byte, error) {
	if piece := s.firstEvent; piece != nil {
		s.firstEvent = nil
		return piece, nil
	}
	if s.done {
		return nil, io.EOF
	}
	n, err := s.body.Read(s.buf[:])
	if n > 0 && !errors.Is(err, errSpoilt) { // of a chunk that does not fit, nothing goes on
		piece := s.buf[:n]
		s.tail = append(s.tail, piece...)
		if extra := len(s.tail) - tailBytes; extra > 0 {
			s.tail = append(s.tail[:0], s.tail[extra:]...)
		}
		return piece, nil // an error comes again with the next call
	}
	s.done = err == io.EOF
	return nil, err
}

// Report is the load told at the stream's end.
func (s *engineStream) Report() ashwood.Report {
	_, line, ok := strings.Cut(string(s.tail), reportComment)
	if !ok {
		return nil
	}
	line, _, _ = strings.Cut(line, "\n")
	return wire.ParseReport(line)
}

// abandon gives up an answer of which nothing has been passed on: another attempt may follow.
func (s *engineStream) abandon() {
	s.stopInterrupt()
	s.pool.abandon(s.conn)
	s.conn = nil
}

// Close gives the connection back, or closes it to end the engine's work.
func (s *engineStream) Close() error {
	if s.conn == nil {
		return nil
	}
	if s.stopInterrupt() && s.done && s.reusable {
		s.pool.put(s.conn, streamRest)
	} else {
		s.pool.discard(s.conn)
	}
	s.conn = nil
	return nil
}
