package middleware

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/router"
)

// latestAttempt is how long behind a client's close an attempt may begin.
const latestAttempt = 150 * time.Millisecond

// startHost starts a server of a host's own, whose listener is not wrapped, and returns its address.
func startHost(t *testing.T, host string, r *router.Router) (addr string) {
	t.Helper()
	if host == "net/http" {
		s := httptest.NewUnstartedServer(HTTP(r, nil))
		s.Config.ConnContext = ConnContext
		s.Start()
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	app := fiber.New()
	app.Post("/v1/chat/completions", Fiber(r))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if host == "Fiber with Listener" {
		l = Listener(l)
	}
	go app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	t.Cleanup(func() { app.Shutdown() })
	return l.Addr().String()
}

// Guards against attempts for clients of a host's server that have closed behind bytes sent ahead.
func TestLeave_BytesSentAhead(t *testing.T) {
	for _, host := range []string{"net/http", "Fiber", "Fiber with Listener"} {
		for _, ahead := range []int{0, 1, 40_000, 64 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes ahead", host, ahead), func(t *testing.T) {
				t.Parallel()
				started, finish := make(chan struct{}), make(chan struct{})
				var decodes atomic.Int32
				engines := []ashwood.Server{startEngine(t, "r", func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodDelete {
						return
					}
					io.Copy(io.Discard, r.Body)
					close(started)
					<-finish
					w.WriteHeader(http.StatusAccepted)
					io.WriteString(w, `{"cached_tokens":0}`)
				}), startEngine(t, "w", func(_ http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodPost {
						decodes.Add(1)
					}
				})}
				c, err := net.Dial("tcp", startHost(t, host, startRouter(t, engines)))
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: 9b1f\r\nX-Lane: chat\r\nX-Remaining: 4.5\r\nX-Labels: prompt_len=64\r\nContent-Length: 2\r\n\r\n{}")
				<-started
				c.SetWriteDeadline(time.Now().Add(latestAttempt)) // nobody may read
				io.Copy(c, strings.NewReader(strings.Repeat("x", ahead)))
				c.Close()
				<-time.After(latestAttempt)
				close(finish)
				<-time.After(latestAttempt) // in which an attempt would follow
				if n := decodes.Load(); n > 0 {
					t.Errorf("%d attempts at the decode engine, over %v after the client has left", n, latestAttempt)
				}
			})
		}
	}
}
