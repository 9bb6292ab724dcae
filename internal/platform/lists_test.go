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

func entries(n int, id func(int) string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `,{"instanceId":%q,"hostPort":"127.0.0.1:9","zone":"a","machineType":"r","cell":%d,"lifecycle":"up","weight":1,"startedAtMs":0}`, id(i), i/8)
	}
	return b.String()[1:]
}

// A list that can't be used is told of in the log, with what is wrong, and the one
// in hand stays; 1,024 engines are no trouble.
func TestUnusableListsLeaveTheOneInHand(t *testing.T) {
	name := func(i int) string { return fmt.Sprint("s", i) }
	good := `{"generation":1,"reset":true,"instances":[` + entries(1024, name) + `]}`
	for said, bad := range map[string]string{
		`names \"s0\" twice`:     `{"generation":2,"reset":true,"instances":[` + entries(1024, func(i int) string { return name(i % 1017) }) + `]}`,
		"unexpected end of JSON": good[:len(good)/2],
		"body size exceeds":      good + strings.Repeat(" ", maxList),
	} {
		calls := make(chan int, 100)
		asked := 0
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked++
			calls <- asked
			switch {
			case asked == 1:
				io.WriteString(w, good)
			case asked == 2:
				io.WriteString(w, bad)
			default:
				<-r.Context().Done()
			}
		}))
		var mu sync.Mutex
		var log bytes.Buffer
		c := clock.NewManual(0)
		d := NewDiscovery(strings.TrimPrefix(s.URL, "http://"), c, slog.New(slog.NewTextHandler(writer(func(b []byte) {
			mu.Lock()
			defer mu.Unlock()
			log.Write(b)
		}), nil)))
		ctx, cancel := context.WithCancel(context.Background())
		var lists []int
		over := make(chan struct{})
		go func() {
			defer close(over)
			d.Run(ctx, func(_ ashwood.MembershipForm, list []ashwood.Server) { lists = append(lists, len(list)) })
		}()
		for n := 0; n < 3; {
			select {
			case n = <-calls:
			default:
				c.Advance(10)
			}
		}
		cancel()
		<-over
		s.CloseClientConnections()
		s.Close()
		if len(lists) != 1 || lists[0] != 1024 {
			t.Errorf("%s: lists of %v", said, lists)
		}
		if !strings.Contains(log.String(), said) {
			t.Errorf("%q is not in the log: %.300s", said, log.String())
		}
	}
}

type writer func([]byte)

func (w writer) Write(b []byte) (int, error) {
	w(b)
	return len(b), nil
}
