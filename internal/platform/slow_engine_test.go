package platform

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// writeSlowly writes a text in pieces, with a pause behind each, as an engine that writes slowly.
func writeSlowly(c net.Conn, text string, piece int, pause time.Duration) {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		<-time.After(pause)
	}
}

// Guards against an answer that is cut off, or repeated, while its engine is still writing the head and the first event slowly.
func TestSend_EngineWritesHeadSlowly(t *testing.T) {
	for name, script := range map[string]struct{ prefill, decode string }{
		"prefill":              {prefillResponse, ""},
		"decode":               {"", fullStream()},
		"prefill with chunks":  {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n" + encodeChunk(`{"cached_tokens":16}`) + "0\r\n\r\n", ""},
		"decode with a length": {"", lengthHead(len(firstEvent+lastEvents)) + firstEvent + lastEvents},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			attempts := 0
			slowly := func(text, other string, s engineRequest) string {
				if s.Method == "DELETE" {
					return releasedResponse
				}
				mu.Lock()
				attempts++
				mu.Unlock()
				if text == "" {
					return other
				}
				writeSlowly(s.conn, text, 1, 8*time.Millisecond)
				return ""
			}
			c := startAndDial(t, scriptedEngine(t, "r1", "reader", func(s engineRequest) string { return slowly(script.prefill, prefillResponse, s) }),
				scriptedEngine(t, "w1", "writer", scriptDecode(func(s engineRequest) string { return slowly(script.decode, fullStream(), s) })))
			r, body, err := roundTrip(t, c, requestText("order", "", "{}"))
			if r.StatusCode != 200 || body != firstEvent+lastEvents || err != nil || attempts != 2 {
				t.Errorf("%s, %q, %v after %d attempts, want 2", r.Status, body, err, attempts)
			}
		})
	}
}
