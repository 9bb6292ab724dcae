package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Times of a planned restart by the platform, from SIGTERM on. With the longest deadline in the
// tests' settings (15 s), the process is killed after 3.7 s.
const (
	exemptPeriod = 700 * time.Millisecond  // requests read until then may go unanswered
	killAfter    = 3700 * time.Millisecond // SIGKILL
)

// outcome is the result of one request as its client saw it by the time the gateway was killed.
type outcome struct {
	sentAt       time.Time // when the last byte was written; zero = the connection had closed before
	status       int       // of a complete answer; 0 = none
	closedUnread bool      // the connection closed cleanly without an answer: the client sends the request elsewhere
	err          error
}

// resolved reports whether a request written that long after SIGTERM got an answer, or was
// provably not accepted.
func (o outcome) resolved() bool { return o.sentAt.IsZero() || o.status != 0 || o.closedUnread }

// readOutcome reads the answer to a request, or the end of its connection.
func (c *rawClient) readOutcome(sent time.Time) outcome {
	o := outcome{sentAt: sent}
	if _, err := c.reader.Peek(1); err == io.EOF {
		o.closedUnread = true
		return o
	}
	response, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	if err == nil && response.StatusCode == http.StatusOK && string(body) != strings.Join(answerPieces, "") {
		err = fmt.Errorf("a wrong or incomplete answer: %q", body)
	}
	if o.err = err; err == nil {
		o.status = response.StatusCode
	}
	return o
}

// plannedRestart is one planned restart: a process gets SIGTERM, and SIGKILL when its time is up.
type plannedRestart struct {
	t          *testing.T
	process    *process
	signaledAt time.Time
	killDelay  time.Duration // from SIGTERM to SIGKILL
	clients    sync.WaitGroup
	mu         sync.Mutex
	results    map[string]outcome
}

// startRestart sends SIGTERM; killAndCollect must be called before the test ends.
func (p *process) startRestart() *plannedRestart {
	r := &plannedRestart{t: p.t, process: p, signaledAt: time.Now(), killDelay: killAfter, results: map[string]outcome{}}
	p.sigterm()
	return r
}

// writeAt has a client write text at a time after SIGTERM, and records the outcome.
func (r *plannedRestart) writeAt(after time.Duration, id string, c *rawClient, text string) {
	r.clients.Go(func() {
		<-time.After(time.Until(r.signaledAt.Add(after)))
		var o outcome
		if _, err := io.WriteString(c, text); err != nil {
			o.err = err // the client saw the connection closed: nothing was accepted
		} else {
			o = c.readOutcome(time.Now())
		}
		r.record(id, o)
	})
}

// awaitOutcome records the outcome of a request that has been written already.
func (r *plannedRestart) awaitOutcome(id string, c *rawClient) {
	r.clients.Go(func() { r.record(id, c.readOutcome(r.signaledAt)) })
}

func (r *plannedRestart) record(id string, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[id] = o
}

// openLateClients opens pairs of connections: one that has carried nothing, and one that has
// carried all but the last byte of a request.
func (f *gatewayFixture) openLateClients(pairCount int) [][2]*rawClient {
	f.t.Helper()
	clients := make([][2]*rawClient, pairCount)
	for i := range clients {
		clients[i] = [2]*rawClient{f.dial(), f.dial()}
		text := orderRequest(fmt.Sprint("half-", i))
		clients[i][1].write(text[:len(text)-1])
	}
	return clients
}

// writeLateRequests has late clients write the rest of their requests, one pair per interval,
// beginning after the period in which requests may go unanswered.
func (r *plannedRestart) writeLateRequests(clients [][2]*rawClient, interval time.Duration) {
	for i, c := range clients {
		after := exemptPeriod + 50*time.Millisecond + time.Duration(i)*interval
		id := fmt.Sprint("silent-", i)
		r.writeAt(after, id, c[0], orderRequest(id))
		r.writeAt(after, fmt.Sprint("half-", i), c[1], "}")
	}
}

// killAndCollect kills the process when its time is up, as the platform does, waits for the
// clients and returns their outcomes.
func (r *plannedRestart) killAndCollect() map[string]outcome {
	r.t.Helper()
	select {
	case <-r.process.done:
	case <-time.After(time.Until(r.signaledAt.Add(r.killDelay))):
		r.process.cmd.Process.Signal(syscall.SIGKILL)
		<-r.process.done
	}
	r.clients.Wait()
	return r.results
}

// checkResolved checks that each request was answered or left unread when the gateway ended.
func (r *plannedRestart) checkResolved(results map[string]outcome) {
	r.t.Helper()
	for id, o := range results {
		if !o.resolved() {
			r.t.Errorf("%s, written %v after SIGTERM, has no answer: %v", id, o.sentAt.Sub(r.signaledAt).Round(time.Millisecond), o.err)
		}
	}
}

// Requests that arrive late in a shutdown, on any connection that is still open, must be answered
// before the process is killed or left unread. None may be sent to an engine and then abandoned.
func TestShutdown_LateRequests(t *testing.T) {
	for _, tt := range []struct {
		name  string
		hangs bool // prefill engines take requests and answer none
	}{{"streams outlast the process", false}, {"engines hang", true}} {
		t.Run(tt.name, func(t *testing.T) {
			fixture := newGatewayFixture(t)
			if tt.hangs {
				fixture.finishPrefill = make(chan struct{})
			}
			proc := fixture.startProcess().waitReady()
			late := fixture.openLateClients(12)
			restart := proc.startRestart()
			restart.writeLateRequests(late, 150*time.Millisecond)
			results := restart.killAndCollect()
			restart.checkResolved(results)
			fixture.mu.Lock()
			defer fixture.mu.Unlock()
			for id, o := range results {
				if n := fixture.prefillAttempts[id] + fixture.decodeAttempts[id]; n > 0 {
					t.Errorf("%s was sent to engines %d times, %v after SIGTERM", id, n, o.sentAt.Sub(restart.signaledAt))
				}
			}
		})
	}
}

// Requests that wait for an answer at SIGTERM must get one before the process is killed, even
// without a newer process, and the holds for them must be released.
func TestShutdown_WaitingRequests(t *testing.T) {
	const requests = 8
	fixture := newGatewayFixture(t)
	fixture.finishPrefill = make(chan struct{})
	proc := fixture.startProcess().waitReady()
	clients := make([]*rawClient, requests)
	for i := range clients {
		clients[i] = fixture.dial()
		clients[i].write(orderRequest(fmt.Sprint("wait-", i)))
		<-fixture.started
	}
	restart := proc.startRestart()
	for i, c := range clients {
		restart.awaitOutcome(fmt.Sprint("wait-", i), c)
	}
	results := restart.killAndCollect()
	restart.checkResolved(results)
	if want := fmt.Sprintf("refused_late=0 given_up=%d active=0", requests); !proc.logContains(want) {
		t.Errorf("missing in the log: %q", want)
	}
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	for id, o := range results {
		if o.status == http.StatusOK || fixture.releases[id] == 0 || fixture.decodeAttempts[id] > 0 {
			t.Errorf("%s: status %d, released %d times, sent to decode %d times", id, o.status, fixture.releases[id], fixture.decodeAttempts[id])
		}
	}
}

// With short deadlines the platform kills the process sooner. Waiting and partly received requests
// must be answered by then.
func TestShutdown_ShortDeadlines(t *testing.T) {
	fixture := newGatewayFixture(t)
	fixture.finishPrefill = make(chan struct{})
	fixture.deadline = 800
	proc := fixture.startProcess().waitReady()
	waiting := fixture.startWaiting("waits", 4)
	half := fixture.dial()
	half.write(orderRequest("half")[:60])
	waitFor(t, "the connection is accepted", func() bool {
		r, err := newClient(t).Get("http://" + fixture.listenAddr + "/-/ready")
		return err == nil && r.Body.Close() == nil
	})
	restart := proc.startRestart()
	restart.killDelay = 1500 * time.Millisecond
	for id, c := range waiting {
		restart.awaitOutcome(id, c)
	}
	restart.awaitOutcome("half", half)
	results := restart.killAndCollect()
	restart.checkResolved(results)
	if half := results["half"]; half.status != http.StatusRequestTimeout {
		t.Errorf("partly received request: %+v", half)
	}
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	for id := range waiting {
		if fixture.releases[id] == 0 || fixture.decodeAttempts[id] > 0 {
			t.Errorf("%s: released %d times, sent to decode %d times", id, fixture.releases[id], fixture.decodeAttempts[id])
		}
	}
}

// Connections that wait in the kernel's accept queue when a stopped process continues and receives
// SIGTERM must be accepted: their clients, which have written requests, get an answer or a clean
// close.
func TestShutdown_QueuedConnections(t *testing.T) {
	const clients = 12
	fixture := newGatewayFixture(t)
	close(fixture.nextPiece)
	proc := fixture.startProcess().waitReady()
	proc.cmd.Process.Signal(syscall.SIGSTOP)
	restart := proc.startRestart()
	for i := range clients {
		id := fmt.Sprint("queued-", i)
		c := fixture.dial()
		c.write(orderRequest(id))
		restart.awaitOutcome(id, c)
	}
	restart.clients.Go(func() {
		<-time.After(time.Until(restart.signaledAt.Add(exemptPeriod)))
		proc.cmd.Process.Signal(syscall.SIGCONT)
	})
	for id, o := range restart.killAndCollect() {
		if !o.resolved() {
			t.Errorf("%s: %v", id, o.err)
		}
	}
}
