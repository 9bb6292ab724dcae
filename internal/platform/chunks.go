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
	maxChunkLine        = 256
	maxTrailerLines     = 16 // lines after the last chunk
	maxInterimResponses = 8  // 1xx responses before the final one
)

var errMalformed = errors.New("platform: a spoilt answer") // sent to clients

// chunkedReader reads a chunked body. Unlike the standard library's reader it limits the
// size of a chunk and the time for it: startTimeout starts the timeout in which a chunk
// that has begun must be read. Waiting for the next chunk has no limit here.
type chunkedReader struct {
	reader       *bufio.Reader
	startTimeout func() (stop func())
	remaining    int  // bytes of the current chunk still to be read
	ended        bool // the last chunk and the trailers have been read
}

// Read reads bytes of one chunk, all of it if p has room. It returns io.EOF after
// the last chunk and the trailers.
func (c *chunkedReader) Read(p []byte) (n int, err error) {
	if c.ended {
		return 0, io.EOF
	}
	if _, err := c.reader.Peek(1); err != nil {
		return 0, unexpectedEOF(err)
	}
	defer c.startTimeout()()
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
	n, err = io.ReadFull(c.reader, p[:min(len(p), c.remaining)])
	if err != nil {
		return 0, unexpectedEOF(err)
	}
	if c.remaining -= n; c.remaining > 0 {
		return n, nil
	}
	end, err := c.readLine()
	if err == nil && len(end) > 0 {
		err = fmt.Errorf("%w: a chunk goes on beyond its size", errMalformed)
	}
	return n, err
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
