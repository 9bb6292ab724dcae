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
type stream struct {
	pool  *pool
	c     *conn
	body  io.Reader
	stop  func() bool
	buf   [4096]byte
	begun []byte // up to the end of the first event, read but not passed on
	tail  []byte // the last bytes seen, for the report
	keep  bool
	done  bool
}

const tailBytes = 512

func (e *Engines) newStream(ctx context.Context, c *conn, head *fasthttp.ResponseHeader) *stream {
	s := &stream{pool: e.pool, c: c, keep: !head.ConnectionClose()}
	s.stop = c.endWith(ctx)
	switch n := head.ContentLength(); {
	case n == -1:
		s.body = &chunks{br: c.br, begin: func() func() { return e.within(c, wholeWait) }}
	case n >= 0:
		s.body = &exactly{r: c.br, left: n}
	default:
		s.body, s.keep = c.br, false
	}
	return s
}

// exactly reads a body of a length that was told; less is a broken one.
type exactly struct {
	r    io.Reader
	left int
}

func (b *exactly) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, unexpected(err)
}

// first reads the answer up to the end of its first event, which may come in pieces: until
// that is whole nothing has been answered, and what breaks is an attempt.
func (s *stream) first() error {
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
			s.begun = begun
			return nil
		case len(begun) > maxChunk:
			return fmt.Errorf("%w: an event does not end", errSpoilt)
		}
	}
}

// Next gives the next bytes of the answer.
func (s *stream) Next() ([]byte, error) {
	if piece := s.begun; piece != nil {
		s.begun = nil
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
func (s *stream) Report() ashwood.Report {
	_, line, ok := strings.Cut(string(s.tail), reportComment)
	if !ok {
		return nil
	}
	line, _, _ = strings.Cut(line, "\n")
	return wire.ParseReport(line)
}

// abandon gives up an answer of which nothing has been passed on: another attempt may follow.
func (s *stream) abandon() {
	s.stop()
	s.pool.abandon(s.c)
	s.c = nil
}

// Close gives the connection back, or closes it to end the engine's work.
func (s *stream) Close() error {
	if s.c == nil {
		return nil
	}
	if s.stop() && s.done && s.keep {
		s.pool.put(s.c, streamRest)
	} else {
		s.pool.discard(s.c)
	}
	s.c = nil
	return nil
}
