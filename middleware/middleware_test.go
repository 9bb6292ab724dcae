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

func settings() ashwood.Settings {
	return ashwood.Settings{
		Kinds:   []ashwood.Kind{{Name: "r", Role: ashwood.RoleRead}, {Name: "w", Role: ashwood.RoleWrite}},
		Classes: []ashwood.Class{{Name: "chat", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: ashwood.Pure}},
	}
}

func engine(t *testing.T, kind string, h http.HandlerFunc) ashwood.Server {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return ashwood.Server{ID: ashwood.ServerID(kind), Kind: kind, State: ashwood.StateActive, Address: strings.TrimPrefix(s.URL, "http://")}
}

func route(t *testing.T, list []ashwood.Server) *router.Router {
	t.Helper()
	r, err := router.New(router.Config{Settings: settings()}, router.WithSource(router.Static(list)))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

// start runs a Fiber application with the middleware and gives its address.
func start(t *testing.T, list ...ashwood.Server) string {
	t.Helper()
	r := route(t, list)
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

func post(t *testing.T, ctx context.Context, url string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, "POST", url+"/v1/chat/completions", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Txn": "9b1f", "X-Lane": "chat", "X-Remaining": "4.5", "X-Labels": "prompt_len=64"} {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

func TestFiberApplicationRoutes(t *testing.T) {
	url := start(t, engine(t, "r", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`)
	}), engine(t, "w", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "data: one\n\n")
		w.(http.Flusher).Flush()
		io.WriteString(w, "data: [DONE]\n\n")
	}))
	res, body, err := post(t, context.Background(), url)
	if err != nil || res.StatusCode != 200 || body != "data: one\n\ndata: [DONE]\n\n" {
		t.Errorf("%v, %q, %v", res, body, err)
	}
	other, err := http.Get(url + "/other")
	if err != nil || other.StatusCode != 200 {
		t.Errorf("the application's own route: %v, %v", other, err)
	}
}

// A client that leaves a Fiber application ends its attempt too.
func TestLeavingClientIsNoticed(t *testing.T) {
	reading, ended := make(chan struct{}), make(chan struct{})
	url := start(t, engine(t, "r", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			return
		}
		io.Copy(io.Discard, r.Body)
		close(reading)
		<-r.Context().Done()
		close(ended)
	}))
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-reading
		leave()
	}()
	if _, _, err := post(t, ctx, url); err == nil {
		t.Error("an answer came")
	}
	<-ended
}

// The guards of the platform's wire hold in a Fiber application too, one that
// sets no limits itself.
func TestBadClientsAreGivenUp(t *testing.T) {
	addr := strings.TrimPrefix(start(t, engine(t, "r", func(http.ResponseWriter, *http.Request) {
		t.Error("a bad request came to an engine")
	})), "http://")
	const fields = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: 9b1f\r\nX-Lane: chat\r\nX-Remaining: 4.5\r\nX-Labels: prompt_len=64\r\n"
	for name, text := range map[string]string{
		"silent": "", "half": fields, "two lengths": fields + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"no number": strings.Replace(fields, "4.5", "NaN", 1) + "Content-Length: 2\r\n\r\n{}",
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, text)
		if got, err := io.ReadAll(c); bytes.HasPrefix(got, []byte("HTTP/1.1 2")) {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
}
