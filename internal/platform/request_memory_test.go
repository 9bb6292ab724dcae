package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"ashwood.example/ashwood/gateway"
)

// inUse returns the bytes that are counted.
func (m *requestMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// holds reports whether the request that began as the nth holds some bytes, and is unfinished.
func (m *requestMemory) holds(nth uint64, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for lease, begun := range m.unfinished {
		if begun == nth {
			return lease.bytes == bytes
		}
	}
	return false
}

// heldHandler is a Handler that takes requests and fails them once released is closed.
type heldHandler struct {
	taken, released chan struct{}
}

func (h heldHandler) Serve(context.Context, *gateway.Request) (gateway.Reply, error) {
	h.taken <- struct{}{}
	<-h.released
	return gateway.Reply{Kind: gateway.Failed}, nil
}

func (heldHandler) RecordRefusal(string) float64 { return 500 }

// chunkedRequest is a request with a chunked body of some bytes, a JSON string, without its last chunk.
func chunkedRequest(bytes int) string {
	head := strings.Replace(requestText("chat", "", ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	return head + encodeChunk(`"`+strings.Repeat("a", bytes-2)+`"`)
}

const lastChunk = "0\r\n\r\n"

// readStatus returns the status of the next answer on a connection, and its Retry-After.
func readStatus(t *testing.T, c net.Conn) string {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.ReadAll(r.Body)
	return fmt.Sprint(r.StatusCode, " ", r.Header.Get("Retry-After"), " ", err)
}

// beginLease begins a request that holds some bytes, and returns the client's end of its connection.
func beginLease(t *testing.T, m *requestMemory, bytes int64) (*requestLease, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close() })
	lease := m.begin(near)
	if err := lease.grow(bytes); err != nil {
		t.Fatal(err)
	}
	return lease, far
}

// Unfinished requests of the largest size pushed the gateway over its memory: the one that holds most is evicted, of equal
// ones the first. Its reader wakes up, and the memory is used again only when it has let go of it. Whole requests stay, and so
// do small ones, which clients go on writing.
func TestRequestMemory_EvictsLargest(t *testing.T) {
	m := newRequestMemory()
	m.setMaxBytes(1000)
	small, _ := beginLease(t, m, 100)
	whole, _ := beginLease(t, m, 400)
	if err := whole.complete(); err != nil {
		t.Fatal(err)
	}
	first, _ := beginLease(t, m, 200)
	second, _ := beginLease(t, m, 200)
	near, _ := net.Pipe()
	third, grown := m.begin(near), make(chan error, 1)
	go func() { grown <- third.grow(200) }()
	if _, err := first.conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the evicted request's read ended with %v, want a timeout", err)
	}
	if err := first.complete(); !errors.Is(err, errEvicted) {
		t.Errorf("the first of the largest: %v, want %v", err, errEvicted)
	}
	if len(grown) > 0 || m.inUse() != 900 {
		t.Errorf("%d bytes counted before the evicted request has let go, want 900", m.inUse())
	}
	first.release()
	if err := <-grown; err != nil || m.inUse() != 900 {
		t.Errorf("%v, %d bytes, want 900", err, m.inUse())
	}
	for name, lease := range map[string]*requestLease{"small": small, "second": second, "third": third} {
		if err := lease.complete(); err != nil {
			t.Errorf("the %s request: %v", name, err)
		}
		lease.release()
	}
	whole.release()
	if m.inUse() != 0 {
		t.Errorf("%d bytes still counted at the end", m.inUse())
	}
}

// Clients that never finish requests of the largest size get 503 and a close as the next ones come; whole requests stay.
func TestLimitMemory_UnfinishedRefused(t *testing.T) {
	const limit = 1 << 20
	handler := heldHandler{make(chan struct{}, 9), make(chan struct{})}
	s, whole := serveAndDial(t, handler)
	s.LimitMemory(limit)
	io.WriteString(whole, chunkedRequest(maxRequestBody)+lastChunk)
	<-handler.taken
	var unfinished []net.Conn
	for i := range 4 {
		c := dialClient(t, whole.RemoteAddr().String())
		io.WriteString(c, chunkedRequest(maxRequestBody))
		unfinished = append(unfinished, c)
		waitFor(t, "the request is read up to its missing end", func() bool { return s.listener.memory.holds(uint64(i+2), maxRequestBody) })
		if i > 1 { // two fit beside the whole one: the third needs its smaller buffer as well while it grows
			if got := readStatus(t, unfinished[i-2]); got != "503 0.500 <nil>" {
				t.Errorf("an unfinished request was answered %q", got)
			}
		}
		if used := s.listener.memory.inUse(); used > limit {
			t.Errorf("%d of %d bytes", used, limit)
		}
	}
	close(handler.released)
	if got := readStatus(t, whole); got != "502  <nil>" {
		t.Errorf("the whole request was answered %q", got)
	}
	unfinished[2].Close()
	unfinished[3].Close()
	shutdownServer(t, s)
	if used := s.listener.memory.inUse(); used != 0 {
		t.Errorf("%d bytes still counted at the end", used)
	}
}

// Whole requests may hold all of the memory: the next one is refused, and one is served when they have ended.
// Shared between two processes, each keeps to half.
func TestLimitMemory_WholeRequestsFillIt(t *testing.T) {
	handler := heldHandler{make(chan struct{}, 9), make(chan struct{})}
	s, first := serveAndDial(t, handler)
	s.LimitMemory(3 * maxRequestBody)
	s.SetProcesses(2)
	io.WriteString(first, chunkedRequest(maxRequestBody)+lastChunk)
	<-handler.taken
	second := dialClient(t, first.RemoteAddr().String())
	io.WriteString(second, chunkedRequest(maxRequestBody)+lastChunk)
	if got := readStatus(t, second); got != "503 0.500 <nil>" {
		t.Errorf("a request without memory was answered %q", got)
	}
	close(handler.released)
	if got := readStatus(t, first); got != "502  <nil>" {
		t.Errorf("the first request was answered %q", got)
	}
	third := dialClient(t, first.RemoteAddr().String())
	io.WriteString(third, chunkedRequest(maxRequestBody)+lastChunk)
	if got := readStatus(t, third); got != "502  <nil>" {
		t.Errorf("a request after them was answered %q", got)
	}
	shutdownServer(t, s)
}

// A body that ends before its announced length, or a chunked one before its last chunk or beyond the largest size,
// reaches no engine, although the gateway reads bodies itself.
func TestReadBody_IncompleteOrTooLarge(t *testing.T) {
	for text, want := range map[string]string{
		strings.Replace(requestText("chat", "", "{}"), "Content-Length: 2", "Content-Length: 20000", 1): "400  <nil>",
		chunkedRequest(10_000):                            "400  <nil>",
		chunkedRequest(maxRequestBody + 1):                "413  <nil>",
		chunkedRequest(maxRequestBody) + encodeChunk("a"): "413  <nil>",
	} {
		handler := &countingHandler{}
		s, c := serveAndDial(t, handler)
		io.WriteString(c, text)
		c.CloseWrite()
		if got := readStatus(t, c); got != want {
			t.Errorf("%.400q: answered %q, want %q", text, got, want)
		}
		if n := handler.requests.Load(); n > 0 {
			t.Errorf("%.400q: %d requests taken", text, n)
		}
		shutdownServer(t, s)
	}
}
