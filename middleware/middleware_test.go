package middleware

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/router"
)

func testSettings() ashwood.Settings {
	return ashwood.Settings{
		Kinds:   []ashwood.Kind{{Name: "r", Role: ashwood.RolePrefill}, {Name: "w", Role: ashwood.RoleDecode}},
		Classes: []ashwood.Class{{Name: "chat", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: ashwood.Pure}},
	}
}

func startEngine(t *testing.T, kind string, h http.HandlerFunc) ashwood.Server {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return ashwood.Server{ID: ashwood.ServerID(kind), Kind: kind, State: ashwood.StateActive, Address: strings.TrimPrefix(s.URL, "http://")}
}

func startRouter(t *testing.T, engines []ashwood.Server) *router.Router {
	t.Helper()
	r, err := router.New(router.Config{Settings: testSettings()}, router.WithSource(router.Static(engines)))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

// startFiber runs a Fiber application with the middleware and returns its URL.
func startFiber(t *testing.T, engines ...ashwood.Server) string {
	t.Helper()
	r := startRouter(t, engines)
	app := fiber.New()
	app.Get("/other", func(c fiber.Ctx) error { return c.SendString("other") })
	app.Post("/v1/chat/completions", Fiber(r))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go app.Listener(Listener(l), fiber.ListenConfig{DisableStartupMessage: true})
	t.Cleanup(func() { app.Shutdown() })
	return "http://" + l.Addr().String()
}

func postRequest(t *testing.T, ctx context.Context, url string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, "POST", url+"/v1/chat/completions", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"X-Txn": "9b1f", "X-Lane": "chat", "X-Remaining": "4.5", "X-Labels": "prompt_len=64"} {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

func TestFiber_Routes(t *testing.T) {
	url := startFiber(t, startEngine(t, "r", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`)
	}), startEngine(t, "w", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "data: one\n\n")
		w.(http.Flusher).Flush()
		io.WriteString(w, "data: [DONE]\n\n")
	}))
	res, body, err := postRequest(t, context.Background(), url)
	if err != nil || res.StatusCode != 200 || body != "data: one\n\ndata: [DONE]\n\n" {
		t.Errorf("response %v, body %q, error %v", res, body, err)
	}
	other, err := http.Get(url + "/other")
	if err != nil || other.StatusCode != 200 {
		t.Errorf("the application's own route: response %v, error %v", other, err)
	}
}

// When a client of a Fiber application disconnects, its attempt is cancelled at the engine.
func TestFiber_ClientDisconnects(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	url := startFiber(t, startEngine(t, "r", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			return
		}
		io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(cancelled)
	}))
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		<-started
		disconnect()
	}()
	if _, _, err := postRequest(t, ctx, url); err == nil {
		t.Error("the disconnected client got an answer")
	}
	<-cancelled
}

// A Fiber application that sets no timeouts itself still rejects malformed and incomplete
// requests of the platform's protocol.
func TestFiber_MalformedRequests(t *testing.T) {
	addr := strings.TrimPrefix(startFiber(t, startEngine(t, "r", func(http.ResponseWriter, *http.Request) {
		t.Error("a malformed request reached an engine")
	})), "http://")
	const fields = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: 9b1f\r\nX-Lane: chat\r\nX-Remaining: 4.5\r\nX-Labels: prompt_len=64\r\n"
	for name, text := range map[string]string{
		"nothing sent": "", "incomplete request": fields, "two body lengths": fields + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"remaining time is not a number": strings.Replace(fields, "4.5", "NaN", 1) + "Content-Length: 2\r\n\r\n{}",
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, text)
		if got, err := io.ReadAll(c); bytes.HasPrefix(got, []byte("HTTP/1.1 2")) {
			t.Errorf("%s: response %q, error %v", name, got, err)
		}
	}
}
