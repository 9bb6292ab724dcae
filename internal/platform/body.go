package platform

import (
	"cmp"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// firstBodyBuffer is the size in bytes of the buffer in which the reading of a body begins.
const firstBodyBuffer = 8 << 10

// A body may come in chunks of a single byte, which cost far more than they bring. Where many are small, others get the
// processor in pauses, so short that the largest body of such chunks is still read within readTimeout.
const (
	smallPieceBytes     = 64
	smallPiecesPerPause = 4096
	smallPiecesPause    = 5 * time.Millisecond
)

// readBody reads the body of a request whose header has been read. The server's library does not do it: it would
// reserve the length that a client announces, and twice the size of a chunked body, without a limit over all
// clients.
func readBody(request *fasthttp.Request, lease *requestLease) error {
	stream := request.BodyStream()
	if stream == nil {
		return lease.complete()
	}
	length := request.Header.ContentLength() // negative for a chunked body
	if length > maxRequestBody {
		return fasthttp.ErrBodyTooLarge
	}
	body, err := readCounted(stream, length, lease)
	if err := cmp.Or(lease.complete(), err); err != nil { // an evicted request fails with a timeout
		return err
	}
	request.SetBodyRaw(body)
	return nil
}

// readCounted reads a stream of at most maxRequestBody bytes to its end. Its buffer grows with the bytes that have
// come, and the lease with it. length is the stream's length; negative = unknown.
func readCounted(stream io.Reader, length int, lease *requestLease) ([]byte, error) {
	limit := maxRequestBody
	if length >= 0 {
		limit = length
	}
	var body []byte
	smallPieces := 0
	for {
		if len(body) == limit {
			return body, expectEnd(stream)
		}
		if len(body) == cap(body) {
			size := min(max(2*cap(body), firstBodyBuffer), limit)
			if err := lease.grow(int64(size)); err != nil {
				return nil, err
			}
			old := cap(body)
			body = append(make([]byte, 0, size), body...)
			lease.shrink(int64(old))
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n < smallPieceBytes {
			if smallPieces++; smallPieces%smallPiecesPerPause == 0 {
				time.Sleep(smallPiecesPause)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && len(body) < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// expectEnd reads the end of a stream from which as many bytes have been read as it may have.
func expectEnd(stream io.Reader) error {
	var next [1]byte
	n, err := stream.Read(next[:])
	switch {
	case n > 0:
		return fasthttp.ErrBodyTooLarge
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}
