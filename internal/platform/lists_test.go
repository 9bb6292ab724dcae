package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
)

func membershipEntries(n int, id func(int) string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `,{"instanceId":%q,"hostPort":"127.0.0.1:9","zone":"a","machineType":"r","cell":%d,"lifecycle":"up","weight":1,"startedAtMs":0}`, id(i), i/8)
	}
	return b.String()[1:]
}

// A membership response that can't be used is logged with the reason, and the current
// membership stays. A snapshot of 1,024 engines is accepted.
func TestDiscovery_UnusableMembership(t *testing.T) {
	name := func(i int) string { return fmt.Sprint("s", i) }
	valid := `{"generation":1,"reset":true,"instances":[` + membershipEntries(1024, name) + `]}`
	for logged, invalid := range map[string]string{
		`contains engine \"s0\" twice`: `{"generation":2,"reset":true,"instances":[` + membershipEntries(1024, func(i int) string { return name(i % 1017) }) + `]}`,
		"unexpected end of JSON":       valid[:len(valid)/2],
		"body size exceeds":            valid + strings.Repeat(" ", maxMembershipBytes),
	} {
		calls := make(chan int, 100)
		requests := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests++
			calls <- requests
			switch {
			case requests == 1:
				io.WriteString(w, valid)
			case requests == 2:
				io.WriteString(w, invalid)
			default:
				<-r.Context().Done()
			}
		}))
		var mu sync.Mutex
		var log bytes.Buffer
		c := clock.NewManual(0)
		d := NewDiscovery(strings.TrimPrefix(server.URL, "http://"), c, slog.New(slog.NewTextHandler(writerFunc(func(b []byte) {
			mu.Lock()
			defer mu.Unlock()
			log.Write(b)
		}), nil)))
		ctx, cancel := context.WithCancel(context.Background())
		var updates []int
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx, func(_ ashwood.MembershipForm, list []ashwood.Server) { updates = append(updates, len(list)) })
		}()
		for n := 0; n < 3; {
			select {
			case n = <-calls:
			default:
				c.Advance(10)
			}
		}
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
		if len(updates) != 1 || updates[0] != 1024 {
			t.Errorf("%s: updates with %v engines, want one with 1024", logged, updates)
		}
		if !strings.Contains(log.String(), logged) {
			t.Errorf("the log does not contain %q: %.300s", logged, log.String())
		}
	}
}

type writerFunc func([]byte)

func (w writerFunc) Write(b []byte) (int, error) {
	w(b)
	return len(b), nil
}
