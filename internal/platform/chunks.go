package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits of what an engine may send; what goes beyond them is spoilt. The
// platform's bodies hold 256 KiB at most.
const (
	maxChunk            = 256 << 10
	maxChunkLine        = 256
	maxTrailers         = 16 // lines behind the last chunk
	maxInterimResponses = 8  // 1xx answers before the one that counts
)

var errSpoilt = errors.New("platform: a spoilt answer")

// chunks reads a chunked body. Unlike the standard library's reader it bounds a
// chunk, and each wait within one: begin starts the time in which what has begun
// must come. Between chunks it waits as long as the engine writes nothing.
type chunkedReader struct {
	reader       *bufio.Reader
	startTimeout func() (stop func())
	remaining    int  // bytes of the chunk being read
	ended        bool // the last chunk and the lines behind have been read
}

// Read gives bytes of one chunk, the whole of it where p has room. The error
// is io.EOF after the last chunk.
func (c *chunkedReader) Read(p []byte) (n int, err error) {
	if c.ended {
		return 0, io.EOF
	}
	if _, err := c.reader.Peek(1); err != nil {
		return 0, unexpected(err)
	}
	defer c.startTimeout()()
	if c.remaining == 0 {
		if c.remaining, err = c.size(); err != nil {
			return 0, err
		}
		if c.remaining == 0 {
			if err := c.trailers(); err != nil {
				return 0, err
			}
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err = io.ReadFull(c.reader, p[:min(len(p), c.remaining)])
	if err != nil {
		return 0, unexpected(err)
	}
	if c.remaining -= n; c.remaining > 0 {
		return n, nil
	}
	end, err := c.line()
	if err == nil && len(end) > 0 {
		err = fmt.Errorf("%w: a chunk goes on beyond its size", errSpoilt)
	}
	return n, err
}

func (c *chunkedReader) size() (int, error) {
	line, err := c.line()
	if err != nil {
		return 0, err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 32)
	if err != nil || n > maxChunk {
		return 0, fmt.Errorf("%w: chunk size %.40q", errSpoilt, digits)
	}
	return int(n), nil
}

func (c *chunkedReader) trailers() error {
	for range maxTrailers {
		if line, err := c.line(); err != nil || len(line) == 0 {
			return err
		}
	}
	return fmt.Errorf("%w: no end behind the last chunk", errSpoilt)
}

// line gives a line without its end.
func (c *chunkedReader) line() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull), err == nil && len(line) > maxChunkLine:
		return nil, fmt.Errorf("%w: a line of a chunk does not end", errSpoilt)
	case err != nil:
		return nil, unexpected(err)
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// unexpected is what the end of a connection means within a body.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
