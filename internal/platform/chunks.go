package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits on what an engine may send. Responses beyond them count as malformed. The
// platform's bodies have at most 256 KiB.
const (
	maxChunkSize        = 256 << 10
	maxEventBytes       = 256 << 10
	maxChunkLine        = 256
	maxTrailerLines     = 16 // lines after the last chunk
	maxInterimResponses = 8  // 1xx responses before the final one
)

var errMalformed = errors.New("platform: a spoilt answer") // sent to clients

// chunkedReader reads a chunked body. Unlike the standard library's reader it limits the
// size of a chunk, and it returns what has arrived of a chunk without waiting for the rest.
// It has no time limits: whoever waits for the answer knows how long a silence may last.
type chunkedReader struct {
	reader       *bufio.Reader
	remaining    int  // bytes of the current chunk still to be read
	lineBreakDue bool // the line break behind the current chunk's data is still to be read
	ended        bool // the last chunk and the trailers have been read
}

// Read reads what has arrived of one chunk. It returns io.EOF after the last chunk and the trailers.
func (c *chunkedReader) Read(p []byte) (n int, err error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.lineBreakDue {
		if err := c.readLineBreak(); err != nil {
			return 0, err
		}
	}
	if c.remaining == 0 {
		if c.remaining, err = c.readSize(); err != nil {
			return 0, err
		}
		if c.remaining == 0 {
			if err := c.skipTrailers(); err != nil {
				return 0, err
			}
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err = c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	c.lineBreakDue = c.remaining == 0
	if err != nil {
		return n, unexpectedEOF(err)
	}
	if c.lineBreakDue && c.lineIsBuffered() {
		err = c.readLineBreak()
	}
	return n, err
}

// lineIsBuffered reports whether the next line can be read without waiting.
func (c *chunkedReader) lineIsBuffered() bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return bytes.IndexByte(buffered, '\n') >= 0
}

// readLineBreak reads the line break behind a chunk's data.
func (c *chunkedReader) readLineBreak() error {
	line, err := c.readLine()
	if err == nil && len(line) > 0 {
		err = fmt.Errorf("%w: a chunk goes on beyond its size", errMalformed)
	}
	c.lineBreakDue = err != nil
	return err
}

func (c *chunkedReader) readSize() (int, error) {
	line, err := c.readLine()
	if err != nil {
		return 0, err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 32)
	if err != nil || n > maxChunkSize {
		return 0, fmt.Errorf("%w: chunk size %.40q", errMalformed, digits)
	}
	return int(n), nil
}

func (c *chunkedReader) skipTrailers() error {
	for range maxTrailerLines {
		if line, err := c.readLine(); err != nil || len(line) == 0 {
			return err
		}
	}
	return fmt.Errorf("%w: no end behind the last chunk", errMalformed)
}

// readLine returns a line without its line break.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull), err == nil && len(line) > maxChunkLine:
		return nil, fmt.Errorf("%w: a line of a chunk does not end", errMalformed)
	case err != nil:
		return nil, unexpectedEOF(err)
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// unexpectedEOF turns io.EOF, the end of the connection within a body, into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
