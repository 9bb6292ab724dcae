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

// Times of a planned restart as the platform makes it, from SIGTERM on. With the longest
// deadline of the tests' settings (15 s) the process lives for 3.7 s.
const (
	exemptFor = 700 * time.Millisecond  // what is read until then may go unanswered by the rules
	killAfter = 3700 * time.Millisecond // SIGKILL
)

// outcome is what a client saw of one request by the time its gateway was dead.
type outcome struct {
	sent   time.Time // its last byte was written; zero = the connection had ended before
	status int       // of a whole answer; 0 = none
	unread bool      // the connection ended cleanly with no answer: it is sent anew elsewhere
	err    error
}

// settled tells whether a request that was read as long after SIGTERM is in good order.
func (o outcome) settled() bool { return o.sent.IsZero() || o.status != 0 || o.unread }

// result reads what comes of a request to the end of its connection.
func (c *raw) result(sent time.Time) outcome {
	o := outcome{sent: sent}
	if _, err := c.in.Peek(1); err == io.EOF {
		o.unread = true
		return o
	}
	r, err := http.ReadResponse(c.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(r.Body)
	}
	if err == nil && r.StatusCode == http.StatusOK && string(body) != strings.Join(pieces, "") {
		err = fmt.Errorf("an answer of another's or in part: %q", body)
	}
	if o.err = err; err == nil {
		o.status = r.StatusCode
	}
	return o
}

// shutdown is one planned restart: a process that is told to end and killed when its time is up.
type shutdown struct {
	t       *testing.T
	process *process
	told    time.Time
	life    time.Duration // from SIGTERM to SIGKILL
	clients sync.WaitGroup
	mu      sync.Mutex
	results map[string]outcome
}

// stop tells a process to end; kill is to be called before the test ends.
func (p *process) stop() *shutdown {
	d := &shutdown{t: p.t, process: p, told: time.Now(), life: killAfter, results: map[string]outcome{}}
	p.term()
	return d
}

// at has a client write text at a time after SIGTERM, and notes what comes of it.
func (d *shutdown) at(after time.Duration, id string, c *raw, text string) {
	d.clients.Go(func() {
		<-time.After(time.Until(d.told.Add(after)))
		var o outcome
		if _, err := io.WriteString(c, text); err != nil {
			o.err = err // it had been ended, and that was seen: nothing was taken
		} else {
			o = c.result(time.Now())
		}
		d.note(id, o)
	})
}

// follow notes what comes of a request that has been written already.
func (d *shutdown) follow(id string, c *raw) {
	d.clients.Go(func() { d.note(id, c.result(d.told)) })
}

func (d *shutdown) note(id string, o outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results[id] = o
}

// lateClients are pairs of connections: one that has brought nothing, and one that has brought
// all of a request but its last byte.
func (s *site) lateClients(pairs int) [][2]*raw {
	s.t.Helper()
	clients := make([][2]*raw, pairs)
	for i := range clients {
		clients[i] = [2]*raw{s.raw(), s.raw()}
		text := orderText(fmt.Sprint("half-", i))
		clients[i][1].write(text[:len(text)-1])
	}
	return clients
}

// writeLate has them write the rest, a pair every so often, once that counts by the rules.
func (d *shutdown) writeLate(clients [][2]*raw, every time.Duration) {
	for i, c := range clients {
		after := exemptFor + 50*time.Millisecond + time.Duration(i)*every
		id := fmt.Sprint("silent-", i)
		d.at(after, id, c[0], orderText(id))
		d.at(after, fmt.Sprint("half-", i), c[1], "}")
	}
}

// kill ends the process as the platform does, waits for its clients, and gives what they saw.
func (d *shutdown) kill() map[string]outcome {
	d.t.Helper()
	select {
	case <-d.process.done:
	case <-time.After(time.Until(d.told.Add(d.life))):
		d.process.cmd.Process.Signal(syscall.SIGKILL)
		<-d.process.done
	}
	d.clients.Wait()
	return d.results
}

// settled checks that each request had its answer, or was left unread, when its gateway ended.
func (d *shutdown) settled(results map[string]outcome) {
	d.t.Helper()
	for id, o := range results {
		if !o.settled() {
			d.t.Errorf("%s, written %v after SIGTERM, has no answer: %v", id, o.sent.Sub(d.told).Round(time.Millisecond), o.err)
		}
	}
}

// Requests that come late in a shutdown, on whatever connection is still open, have their
// answer when the process is killed, or were not read: none is sent on and left.
func TestShutdown_RequestsReadLate(t *testing.T) {
	for _, c := range []struct {
		name  string
		hangs bool // prefill engines take requests and answer none
	}{{"streams outlast the process", false}, {"engines hang", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			if c.hangs {
				s.reads = make(chan struct{})
			}
			p := s.begin().ready()
			late := s.lateClients(12)
			d := p.stop()
			d.writeLate(late, 150*time.Millisecond)
			results := d.kill()
			d.settled(results)
			s.mu.Lock()
			defer s.mu.Unlock()
			for id, o := range results {
				if n := s.readsOut[id] + s.sends[id]; n > 0 {
					t.Errorf("%s was sent to engines %d times, %v after SIGTERM", id, n, o.sent.Sub(d.told))
				}
			}
		})
	}
}

// Requests that wait for an answer when the process is told to end have one before it is
// killed, though no newer process takes over, and what was held for them is released.
func TestShutdown_RequestsThatWait(t *testing.T) {
	const requests = 8
	s := newSite(t)
	s.reads = make(chan struct{})
	p := s.begin().ready()
	clients := make([]*raw, requests)
	for i := range clients {
		clients[i] = s.raw()
		clients[i].write(orderText(fmt.Sprint("wait-", i)))
		<-s.begun
	}
	d := p.stop()
	for i, c := range clients {
		d.follow(fmt.Sprint("wait-", i), c)
	}
	results := d.kill()
	d.settled(results)
	if want := fmt.Sprintf("refused_late=0 given_up=%d active=0", requests); !p.logged(want) {
		t.Errorf("the log does not tell %q", want)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range results {
		if o.status == http.StatusOK || s.freed[id] == 0 || s.sends[id] > 0 {
			t.Errorf("%s: status %d, released %d times, sent on %d times", id, o.status, s.freed[id], s.sends[id])
		}
	}
}

// With short deadlines the platform kills sooner: what waits, and what has come in part, has its
// answer by then.
func TestShutdown_ShortDeadlines(t *testing.T) {
	s := newSite(t)
	s.reads = make(chan struct{})
	s.deadline = 800
	p := s.begin().ready()
	waiting := s.waiting("waits", 4)
	half := s.raw()
	half.write(orderText("half")[:60])
	until(t, "its connection is accepted", func() bool {
		r, err := client(t).Get("http://" + s.listen + "/-/ready")
		return err == nil && r.Body.Close() == nil
	})
	d := p.stop()
	d.life = 1500 * time.Millisecond
	for id, c := range waiting {
		d.follow(id, c)
	}
	d.follow("half", half)
	results := d.kill()
	d.settled(results)
	if half := results["half"]; half.status != http.StatusRequestTimeout {
		t.Errorf("what has come in part: %+v", half)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range waiting {
		if s.freed[id] == 0 || s.sends[id] > 0 {
			t.Errorf("%s: released %d times, sent on %d times", id, s.freed[id], s.sends[id])
		}
	}
}

// Connections that wait in the system's queue when a process that was stopped finds itself told to
// end are accepted first: their clients, who have written requests, see an answer or a clean end.
func TestShutdown_ConnectionsInTheQueue(t *testing.T) {
	const clients = 12
	s := newSite(t)
	close(s.step)
	p := s.begin().ready()
	p.cmd.Process.Signal(syscall.SIGSTOP)
	d := p.stop()
	for i := range clients {
		id := fmt.Sprint("queued-", i)
		c := s.raw()
		c.write(orderText(id))
		d.follow(id, c)
	}
	d.clients.Go(func() {
		<-time.After(time.Until(d.told.Add(exemptFor)))
		p.cmd.Process.Signal(syscall.SIGCONT)
	})
	for id, o := range d.kill() {
		if !o.settled() {
			t.Errorf("%s: %v", id, o.err)
		}
	}
}
