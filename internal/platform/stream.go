package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/wire"
)

// engineStream is a streamed answer from an engine. Its bytes are passed on unchanged;
// only the load report in the comment at its end is parsed.
type engineStream struct {
	pool          *connPool
	conn          *engineConn
	body          io.Reader
	stopInterrupt func() bool
	buf           [4096]byte
	firstEvent    []byte // bytes up to the end of the first event, until Next returns them
	tail          []byte // the last bytes read, for the load report
	events        eventScanner
	eventEnded    bool // an event ended in the last piece read
	eventBytes    int  // read since the last event ended
	bufferFilled  bool // the last piece filled the buffer
	reusable      bool
	done          bool
}

const tailBytes = 512

// errStoppedShort ends an answer whose framing has ended and that is not whole.
var errStoppedShort = fmt.Errorf("platform: an answer stopped short: %w", io.ErrUnexpectedEOF) // sent to clients

func (e *Engines) newStream(ctx context.Context, c *engineConn, response *fasthttp.ResponseHeader) *engineStream {
	stream := &engineStream{pool: e.pool, conn: c, reusable: !response.ConnectionClose()}
	stream.stopInterrupt = c.interruptOnDone(ctx)
	switch n := response.ContentLength(); {
	case n == -1:
		stream.body = &chunkedReader{reader: c.reader}
	case n >= 0:
		stream.body = &fixedLengthReader{reader: c.reader, remaining: n}
	default:
		stream.body, stream.reusable = c.reader, false
	}
	return stream
}

// isWhole reports whether an answer whose framing has ended is whole: no event is open, and the terminator has come, with which
// the platform's engines end each answer. The end of the framing alone proves nothing: an engine that fails may end it too.
func (s *engineStream) isWhole() bool { return !s.events.eventOpen() && s.events.hasTerminator() }

// fixedLengthReader reads a body with a known length and returns an error if the connection
// ends earlier.
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
	return n, unexpectedEOF(err)
}

// readFirstEvent reads up to the end of the first event, which may come in pieces. Until it
// is complete nothing has been sent to the client, so a failure fails only this attempt.
func (s *engineStream) readFirstEvent() error {
	var event []byte
	for {
		piece, err := s.Next()
		event = append(event, piece...)
		switch {
		case errors.Is(err, io.EOF) && len(event) == 0:
			return io.ErrUnexpectedEOF // an answer without any event is no answer
		case err != nil && !errors.Is(err, io.EOF):
			return err
		case err != nil || s.eventEnded:
			s.firstEvent, s.eventEnded = event, true
			return nil
		}
	}
}

// Next returns the next bytes of the answer.
func (s *engineStream) Next() ([]byte, error) {
	if piece := s.firstEvent; piece != nil {
		s.firstEvent = nil
		return piece, nil
	}
	if s.done {
		return nil, io.EOF
	}
	piece, err := s.readEvent()
	if len(piece) > 0 {
		return piece, nil // the next call returns the error again
	}
	if err == io.EOF && !s.isWhole() {
		return nil, errStoppedShort
	}
	s.done = err == io.EOF
	return nil, err
}

// readEvent reads up to the end of an event, and with it what has arrived behind. A long event comes in several
// pieces, as the buffer has room. Engines may write in pieces of any size, each of which would cost a write to
// the client otherwise.
func (s *engineStream) readEvent() (piece []byte, err error) {
	n := 0
	for n < len(s.buf) {
		var more int
		more, err = s.body.Read(s.buf[n:])
		if errors.Is(err, errMalformed) {
			return nil, err // nothing of an event with a malformed chunk is passed on
		}
		s.recordPiece(s.buf[n : n+more])
		n += more
		if err != nil || s.eventEnded {
			break
		}
	}
	s.bufferFilled = n == len(s.buf)
	if s.eventBytes > maxEventBytes {
		return nil, fmt.Errorf("%w: an event does not end", errMalformed)
	}
	return s.buf[:n], err
}

// recordPiece notes whether an event ends in a piece and keeps the end of the stream.
func (s *engineStream) recordPiece(piece []byte) {
	s.eventBytes += len(piece)
	if s.eventEnded = s.events.scan(piece); s.eventEnded {
		s.eventBytes = 0
	}
	s.tail = append(s.tail, piece...)
	if extra := len(s.tail) - tailBytes; extra > 0 {
		s.tail = append(s.tail[:0], s.tail[extra:]...)
	}
}

// MadeProgress reports whether an event ended in the last piece that Next returned, or the piece is a good part of a
// long event.
func (s *engineStream) MadeProgress() bool { return s.eventEnded || s.bufferFilled }

// Report returns the load report at the end of the stream, or nil.
func (s *engineStream) Report() ashwood.Report {
	_, line, ok := strings.Cut(string(s.tail), loadReportComment)
	if !ok {
		return nil
	}
	line, _, _ = strings.Cut(line, "\n")
	return wire.ParseReport(line)
}

// abandon cancels an answer of which nothing has been passed on. Another attempt may follow.
func (s *engineStream) abandon() {
	s.stopInterrupt()
	s.pool.abandon(s.conn)
	s.conn = nil
}

// Close returns the connection to the pool after a complete answer. Otherwise it closes the
// connection, which makes the engine stop working on the request.
func (s *engineStream) Close() error {
	if s.conn == nil {
		return nil
	}
	if s.stopInterrupt() && s.done && s.reusable {
		s.pool.put(s.conn, streamReuseDelay)
	} else {
		s.pool.discard(s.conn)
	}
	s.conn = nil
	return nil
}
