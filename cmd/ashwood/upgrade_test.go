package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// An answer that has begun outlives the process that began it: the newer one goes on with
// it and then keeps the client's connection. A third does the same for the second.
func TestAnswersOutliveTheirProcess(t *testing.T) {
	s := newSite(t)
	a := s.begin().ready()
	c := client(t)
	r, err := s.send(c, "a1")
	if err != nil {
		t.Fatal(err)
	}
	for _, next := range []string{"b", "c"} { // an upgrade on top of an upgrade
		b := s.begin().ready()
		until(t, "the older process yields", func() bool { return a.logged("newer_one_serves=true") })
		a.term()
		until(t, "the older process has an heir", func() bool { return a.logged("a newer process goes on") })
		s.step <- struct{}{}
		a.ended()
		until(t, next+" takes the answer over", func() bool { return b.logged("msg=adopted") })
		if got := b.ask("vars"); !strings.Contains(got, "app.open_requests:1|g\n") {
			t.Errorf("%s: %s", next, got)
		}
		a = b
	}
	close(s.step)
	s.whole(r)
	reused := false
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+s.listen+"/-/ready", nil)
	if r, err := c.Do(req); err != nil || r.StatusCode != 200 || !reused {
		t.Errorf("on the same connection (reused: %v): %v, %v", reused, r, err)
	}
	if got := a.ask("vars"); !strings.Contains(got, "app.fulfilled.send-order:1|c\n") || !strings.Contains(got, "app.open_requests:0|g\n") {
		t.Error(got)
	}
	s.once(1)
}

// While one process takes another's place, every request on a new connection is answered,
// and none is sent twice; a kept connection is told to close after its answer.
func TestNobodyIsTurnedBackWhileVersionsChange(t *testing.T) {
	s := newSite(t)
	close(s.step)
	old := s.begin().ready()
	kept := client(t)
	r, err := s.send(kept, "kept-1")
	if err != nil {
		t.Fatal(err)
	}
	s.whole(r)
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	halt := sync.OnceFunc(func() {
		close(stop)
		all.Wait()
	})
	defer halt()
	sent := 1
	for who := range 8 {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				c := &http.Client{Transport: &http.Transport{}, Timeout: patience}
				r, err := s.send(c, fmt.Sprintf("w%d-%d", who, n))
				if err != nil {
					t.Errorf("turned back: %v", err)
					return
				}
				s.whole(r)
				c.CloseIdleConnections()
				mu.Lock()
				sent++
				mu.Unlock()
			}
		})
	}
	fresh := s.begin().ready()
	until(t, "the old process yields", func() bool { return old.logged("newer_one_serves=true") })
	if r, err = s.send(kept, "kept-2"); err != nil {
		t.Fatal(err)
	}
	s.whole(r)
	if !r.Close {
		t.Error("a kept connection is not told to close")
	}
	old.term()
	old.ended()
	mu.Lock()
	before := sent
	mu.Unlock()
	until(t, "requests after the old process's end", func() bool { mu.Lock(); defer mu.Unlock(); return sent > before+20 })
	halt()
	s.once(sent + 1)
	if got := fresh.ask("vars"); !strings.Contains(got, "app.faulted.send-order:0|c\n") || !strings.Contains(got, "app.throttled.send-order:0|c\n") {
		t.Error(got)
	}
}

// A new process that is killed, before its yes or after, leaves the old one as it was; an
// old one that is killed outright leaves a file that disturbs nobody.
func TestEitherProcessMayBeKilled(t *testing.T) {
	s := newSite(t)
	close(s.step)
	if err := os.WriteFile(filepath.Join(s.tmp, "ashwood-stale"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	old := s.begin().ready()
	answered := func(id string, closes bool) {
		t.Helper()
		r, err := s.send(client(t), id)
		if err != nil {
			t.Fatal(err)
		}
		if s.whole(r); r.Close != closes {
			t.Errorf("%s: the connection closes: %v", id, r.Close)
		}
	}
	early := s.begin()
	until(t, "the old process sees the new one", func() bool { return old.logged("count=2") })
	early.cmd.Process.Kill()
	<-early.done
	until(t, "the old process is alone", func() bool { return old.logged("count=1") })
	answered("k1", false)
	late := s.begin().ready()
	until(t, "the old process yields", func() bool { return old.logged("newer_one_serves=true") })
	for n := range 12 { // new connections come to the newer one alone
		answered(fmt.Sprint("n", n), false)
	}
	if got := late.ask("vars"); !strings.Contains(got, "app.fulfilled.send-order:12|c\n") {
		t.Error(got)
	}
	late.cmd.Process.Kill()
	<-late.done
	until(t, "the old process has taken all back", func() bool { return strings.Count(old.text(), "count=1") >= 2 })
	answered("k2", false)
	fresh := s.begin().ready()
	old.cmd.Process.Kill()
	<-old.done
	until(t, "the new process is alone", func() bool { return fresh.logged("count=1") })
	answered("k3", false)
	s.once(15)
	entries, err := filepath.Glob(filepath.Join(s.tmp, "ashwood-*", "*.member"))
	if err != nil || len(entries) != 1 {
		t.Errorf("files left: %v, %v", entries, err)
	}
}

// What has no answer when the old process's time is up is ended, and nothing stays held.
func TestWhatHasNotBegunIsEndedBeforeTheKill(t *testing.T) {
	s := newSite(t)
	s.reads = make(chan struct{})
	old := s.begin().ready()
	answer := make(chan *http.Response, 1)
	go func() {
		r, err := s.send(client(t), "held")
		if err != nil {
			t.Error(err)
		}
		answer <- r
	}()
	<-s.begun // the read is out, and stays so
	s.begin().ready()
	until(t, "the old process yields", func() bool { return old.logged("newer_one_serves=true") })
	old.term()
	r := <-answer
	if r == nil || r.StatusCode < 500 {
		t.Fatalf("%v", r)
	}
	r.Body.Close()
	old.ended()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freed["held"] == 0 || s.sends["held"] > 0 {
		t.Errorf("released %d times, sent %d times", s.freed["held"], s.sends["held"])
	}
}

// An answer that was handed over is its new process's alone: when that is killed, the client
// sees it broken, without the last chunk, and nobody sends the order again.
func TestAnAnswerDiesWithTheProcessThatHasIt(t *testing.T) {
	s := newSite(t)
	old := s.begin().ready()
	r, err := s.send(client(t), "d1")
	if err != nil {
		t.Fatal(err)
	}
	fresh := s.begin().ready()
	old.term()
	until(t, "the old process has an heir", func() bool { return old.logged("a newer process goes on") })
	s.step <- struct{}{}
	until(t, "the answer is taken over", func() bool { return fresh.logged("msg=adopted") })
	old.ended()
	fresh.cmd.Process.Kill()
	<-fresh.done
	body, err := io.ReadAll(r.Body)
	r.Body.Close()
	if err == nil || !strings.HasPrefix(strings.Join(pieces, ""), string(body)) || len(body) == 0 {
		t.Errorf("%q, %v", body, err)
	}
	s.once(1)
}
