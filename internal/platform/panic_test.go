package platform

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
)

// panickingHandler is a handler that panics for one class of requests.
type panickingHandler struct{}

func (panickingHandler) Serve(_ context.Context, req *gateway.Request) (gateway.Reply, error) {
	if req.Class == "chat" {
		panic("a fault in the handler")
	}
	return gateway.Reply{Kind: gateway.Refused}, nil
}

func (panickingHandler) RecordRefusal(string) float64 { return 0 }

// panickingStream panics after the given number of pieces.
type panickingStream struct{ pieces int }

func (s *panickingStream) Next() ([]byte, error) {
	if s.pieces--; s.pieces < 0 {
		panic("a fault in a stream")
	}
	return []byte("data: {}\n\n"), nil
}

func (s *panickingStream) Report() ashwood.Report { return nil }

func (s *panickingStream) Close() error { return nil }

type panickingStreamHandler struct{ pieces int }

func (h panickingStreamHandler) Serve(context.Context, *gateway.Request) (gateway.Reply, error) {
	return gateway.Reply{Kind: gateway.Served, Stream: &panickingStream{pieces: h.pieces}}, nil
}

func (panickingStreamHandler) RecordRefusal(string) float64 { return 0 }

// A request that was read is answered although its handler panics, and so is the next one on the same
// connection.
func TestPanic_InHandler(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	l := listen(t)
	s := NewServer(panickingHandler{}, log, 50)
	go s.Serve(l)
	t.Cleanup(func() { shutdownServer(t, s) })
	c := dialClient(t, l.Addr().String())
	for i, want := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusInternalServerError} {
		class := "chat"
		if want == http.StatusServiceUnavailable {
			class = "order"
		}
		if r, _, err := roundTrip(t, c, requestText(class, "", "{}")); err != nil || r.StatusCode != want {
			t.Errorf("request %d: %v, %v, want %d", i, r, err, want)
		}
	}
	host := httptest.NewServer(&NetHTTP{Handler: panickingHandler{}, Log: log})
	defer host.Close()
	req, err := http.NewRequest(http.MethodPost, host.URL, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Txn", "9b1f")
	req.Header.Set("X-Lane", "chat")
	req.Header.Set("X-Remaining", "15.000")
	r, err := http.DefaultClient.Do(req)
	if err != nil || r.StatusCode != http.StatusInternalServerError {
		t.Errorf("net/http: %v, %v", r, err)
	}
}

// An answer whose stream panics ends its client's connection without the last chunk, so that the part
// sent is not taken for a whole answer.
func TestPanic_InStream(t *testing.T) {
	for pieces := range 2 {
		l := listen(t)
		s := NewServer(panickingStreamHandler{pieces}, slog.New(slog.DiscardHandler), 50)
		go s.Serve(l)
		c := dialClient(t, l.Addr().String())
		if _, err := io.WriteString(c, requestText("chat", "", "{}")); err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(c)
		if err != nil || strings.Count(string(text), "data: {}") != pieces || strings.HasSuffix(string(text), "0\r\n\r\n") {
			t.Errorf("%d pieces: %q, %v", pieces, text, err)
		}
		shutdownServer(t, s)
	}
}
