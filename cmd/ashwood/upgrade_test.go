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

// A started answer must survive its process: a newer process continues it and then keeps the
// client's connection. A third process does the same for the second.
func TestHandover_ConsecutiveUpgrades(t *testing.T) {
	fixture := newGatewayFixture(t)
	current := fixture.startProcess().waitReady()
	c := newClient(t)
	response, err := fixture.sendOrder(c, "a1")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"b", "c"} { // two upgrades during one answer
		newer := fixture.startProcess().waitReady()
		waitFor(t, "the older process sees the newer one serve", func() bool { return current.logContains("newer_one_serves=true") })
		current.sigterm()
		waitFor(t, "the older process hands over", func() bool { return current.logContains("a newer process goes on") })
		fixture.nextPiece <- struct{}{}
		current.waitForExit()
		waitFor(t, name+" takes over the answer", func() bool { return newer.logContains("msg=adopted") })
		if got := newer.callAdmin("vars"); !strings.Contains(got, "app.open_requests:1|g\n") {
			t.Errorf("%s: %s", name, got)
		}
		current = newer
	}
	close(fixture.nextPiece)
	fixture.checkAnswer(response)
	reused := false
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+fixture.listenAddr+"/-/ready", nil)
	if r, err := c.Do(req); err != nil || r.StatusCode != 200 || !reused {
		t.Errorf("on the same connection (reused: %v): %v, %v", reused, r, err)
	}
	if got := current.callAdmin("vars"); !strings.Contains(got, "app.fulfilled.send-order:1|c\n") || !strings.Contains(got, "app.open_requests:0|g\n") {
		t.Error(got)
	}
	fixture.checkSentOnce(1)
}

// During an upgrade, every request on a new connection must be answered and none sent twice. A
// kept connection must close after its next answer.
func TestUpgrade_NoRequestRefused(t *testing.T) {
	fixture := newGatewayFixture(t)
	close(fixture.nextPiece)
	old := fixture.startProcess().waitReady()
	kept := newClient(t)
	response, err := fixture.sendOrder(kept, "kept-1")
	if err != nil {
		t.Fatal(err)
	}
	fixture.checkAnswer(response)
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
				c := &http.Client{Transport: &http.Transport{}, Timeout: testTimeout}
				response, err := fixture.sendOrder(c, fmt.Sprintf("w%d-%d", who, n))
				if err != nil {
					t.Errorf("refused: %v", err)
					return
				}
				fixture.checkAnswer(response)
				c.CloseIdleConnections()
				mu.Lock()
				sent++
				mu.Unlock()
			}
		})
	}
	fresh := fixture.startProcess().waitReady()
	waitFor(t, "the old process sees the new one serve", func() bool { return old.logContains("newer_one_serves=true") })
	if response, err = fixture.sendOrder(kept, "kept-2"); err != nil {
		t.Fatal(err)
	}
	fixture.checkAnswer(response)
	if !response.Close {
		t.Error("no Connection: close on a kept connection")
	}
	old.sigterm()
	old.waitForExit()
	mu.Lock()
	before := sent
	mu.Unlock()
	waitFor(t, "requests are served after the old process exits", func() bool { mu.Lock(); defer mu.Unlock(); return sent > before+20 })
	halt()
	fixture.checkSentOnce(sent + 1)
	if got := fresh.callAdmin("vars"); !strings.Contains(got, "app.faulted.send-order:0|c\n") || !strings.Contains(got, "app.throttled.send-order:0|c\n") {
		t.Error(got)
	}
}

// A new process that is killed, before it serves or after, must leave the old one as it was. An
// old process that is killed leaves a stale file, which must not matter.
func TestUpgrade_EitherProcessKilled(t *testing.T) {
	fixture := newGatewayFixture(t)
	close(fixture.nextPiece)
	if err := os.WriteFile(filepath.Join(fixture.tempDir, "ashwood-stale"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	old := fixture.startProcess().waitReady()
	answered := func(id string, closes bool) {
		t.Helper()
		response, err := fixture.sendOrder(newClient(t), id)
		if err != nil {
			t.Fatal(err)
		}
		if fixture.checkAnswer(response); response.Close != closes {
			t.Errorf("%s: the connection closes: %v", id, response.Close)
		}
	}
	early := fixture.startProcess()
	waitFor(t, "the old process sees the new one", func() bool { return old.logContains("count=2") })
	early.cmd.Process.Kill()
	<-early.done
	waitFor(t, "the old process is alone", func() bool { return old.logContains("count=1") })
	answered("k1", false)
	late := fixture.startProcess().waitReady()
	waitFor(t, "the old process sees the new one serve", func() bool { return old.logContains("newer_one_serves=true") })
	for n := range 12 { // all new connections go to the newer process
		answered(fmt.Sprint("n", n), false)
	}
	if got := late.callAdmin("vars"); !strings.Contains(got, "app.fulfilled.send-order:12|c\n") {
		t.Error(got)
	}
	late.cmd.Process.Kill()
	<-late.done
	waitFor(t, "the old process is alone again", func() bool { return strings.Count(old.logText(), "count=1") >= 2 })
	answered("k2", false)
	fresh := fixture.startProcess().waitReady()
	old.cmd.Process.Kill()
	<-old.done
	waitFor(t, "the new process is alone", func() bool { return fresh.logContains("count=1") })
	answered("k3", false)
	fixture.checkSentOnce(15)
	entries, err := filepath.Glob(filepath.Join(fixture.tempDir, "ashwood-*", "*.member"))
	if err != nil || len(entries) != 1 {
		t.Errorf("member files left: %v, %v", entries, err)
	}
}

// A request without an answer must be ended when the old process's time is up, and its holds
// must be released.
func TestUpgrade_UnstartedAnswerEnded(t *testing.T) {
	fixture := newGatewayFixture(t)
	fixture.finishPrefill = make(chan struct{})
	old := fixture.startProcess().waitReady()
	answer := make(chan *http.Response, 1)
	go func() {
		response, err := fixture.sendOrder(newClient(t), "held")
		if err != nil {
			t.Error(err)
		}
		answer <- response
	}()
	<-fixture.started // prefill is in flight, and stays so
	fixture.startProcess().waitReady()
	waitFor(t, "the old process sees the new one serve", func() bool { return old.logContains("newer_one_serves=true") })
	old.sigterm()
	r := <-answer
	if r == nil || r.StatusCode < 500 {
		t.Fatalf("%v", r)
	}
	r.Body.Close()
	old.waitForExit()
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	if fixture.releases["held"] == 0 || fixture.decodeAttempts["held"] > 0 {
		t.Errorf("released %d times, sent %d times", fixture.releases["held"], fixture.decodeAttempts["held"])
	}
}

// An answer that was handed over belongs to the newer process alone: when that is killed, the
// client sees a broken answer without its last chunk, and no process sends the order again.
func TestHandover_NewerProcessKilled(t *testing.T) {
	fixture := newGatewayFixture(t)
	old := fixture.startProcess().waitReady()
	response, err := fixture.sendOrder(newClient(t), "d1")
	if err != nil {
		t.Fatal(err)
	}
	fresh := fixture.startProcess().waitReady()
	old.sigterm()
	waitFor(t, "the old process hands over", func() bool { return old.logContains("a newer process goes on") })
	fixture.nextPiece <- struct{}{}
	waitFor(t, "the newer process takes over the answer", func() bool { return fresh.logContains("msg=adopted") })
	old.waitForExit()
	fresh.cmd.Process.Kill()
	<-fresh.done
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err == nil || !strings.HasPrefix(strings.Join(answerPieces, ""), string(body)) || len(body) == 0 {
		t.Errorf("%q, %v", body, err)
	}
	fixture.checkSentOnce(1)
}
