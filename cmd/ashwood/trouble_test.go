package main

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// engineFault is what decode engines do with a request in place of an answer.
type engineFault string

const (
	engineAnswers engineFault = ""
	engineHangs   engineFault = "hangs"
	engineResets  engineFault = "resets"
	engineRefuses engineFault = "turns away"
)

// answer carries the fault out, and tells whether there is one.
func (f engineFault) answer(w http.ResponseWriter, r *http.Request) bool {
	switch f {
	case engineHangs:
		<-r.Context().Done()
	case engineResets:
		panic(http.ErrAbortHandler)
	case engineRefuses:
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return f != engineAnswers
}

// trouble is what happens to a process around the time at which it is told to end.
type trouble struct {
	name   string
	before func(s *site, p *process)  // SIGTERM
	after  func(d *shutdown, s *site) // it, in a goroutine of its own
	stops  time.Duration              // for which the process is stopped, the signal within
}

var troubles = []trouble{
	{name: "none"},
	{name: "a newer process", before: func(s *site, p *process) {
		s.begin().ready()
		until(s.t, "the older process yields", func() bool { return p.logged("newer_one_serves=true") })
	}},
	{name: "told twice", after: func(d *shutdown, _ *site) {
		d.wait(900 * time.Millisecond)
		d.process.term()
	}},
	{name: "told during a reload", before: func(_ *site, p *process) { p.cmd.Process.Signal(syscall.SIGHUP) }},
	{name: "new configurations while it ends", after: func(d *shutdown, _ *site) {
		for _, after := range []time.Duration{50, 400, 1200, 2500} {
			d.wait(after * time.Millisecond)
			d.process.cmd.Process.Signal(syscall.SIGHUP)
		}
	}},
	{name: "held up for 0.15 s", after: func(d *shutdown, _ *site) {
		for _, after := range []time.Duration{400, 900, 2900} {
			d.wait(after * time.Millisecond)
			d.process.hold(150 * time.Millisecond)
		}
	}},
	{name: "told while it is stopped", stops: 1200 * time.Millisecond},
	{name: "a crowd that says nothing", before: func(s *site, _ *process) {
		for range 300 {
			s.raw()
		}
	}},
	{name: "discovery is away", before: func(s *site, _ *process) { s.discoveryAway() }},
}

// wait waits until a time after SIGTERM.
func (d *shutdown) wait(after time.Duration) { <-time.After(time.Until(d.told.Add(after))) }

// hold stops a process for a while.
func (p *process) hold(while time.Duration) {
	p.cmd.Process.Signal(syscall.SIGSTOP)
	<-time.After(while)
	p.cmd.Process.Signal(syscall.SIGCONT)
}

// waiting starts n requests, each of which has come to an engine when it returns.
func (s *site) waiting(what string, n int) map[string]*raw {
	clients := map[string]*raw{}
	for i := range n {
		id := fmt.Sprint(what, "-", i)
		clients[id] = s.raw()
		clients[id].write(orderText(id))
	}
	until(s.t, what+" are at engines", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for id := range clients {
			if s.sends[id] == 0 && s.readsOut[id] == 0 {
				return false
			}
		}
		return true
	})
	return clients
}

// Whatever happens around the time at which a process is told to end, and whatever engines do:
// what waited has its answer when the process is killed, and its releases; what comes late has
// an answer or was not read, and is sent nowhere; no order is sent twice.
func TestShutdown_Troubles(t *testing.T) {
	for _, trouble := range troubles {
		for _, engines := range []struct {
			name  string
			fault engineFault
			hangs bool // at prefill
		}{
			{"prefill hangs", engineAnswers, true},
			{"decode hangs", engineHangs, false},
			{"decode resets", engineResets, false},
			{"decode turns away", engineRefuses, false},
			{"streams stop", engineAnswers, false},
		} {
			t.Run(trouble.name+"/"+engines.name, func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.fault = engines.fault
				if engines.hangs {
					s.reads = make(chan struct{})
				}
				playTrouble(t, s, trouble, engines.name == "streams stop")
			})
		}
	}
}

func playTrouble(t *testing.T, s *site, trouble trouble, streams bool) {
	p := s.begin().ready()
	waiting := s.waiting("waits", 3)
	late := s.lateClients(5)
	r, err := client(t).Get("http://" + s.listen + "/-/ready") // those before it have been accepted then
	if err != nil || r.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", r, err)
	}
	r.Body.Close()
	if trouble.before != nil {
		trouble.before(s, p)
	}
	if trouble.stops > 0 {
		p.cmd.Process.Signal(syscall.SIGSTOP)
	}
	d := p.stop()
	if trouble.stops > 0 {
		d.clients.Go(func() {
			d.wait(trouble.stops)
			p.cmd.Process.Signal(syscall.SIGCONT)
		})
	}
	if trouble.after != nil {
		d.clients.Go(func() { trouble.after(d, s) })
	}
	for id, c := range waiting {
		d.follow(id, c)
	}
	d.writeLate(late, 400*time.Millisecond)
	results := d.kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range results {
		late := !strings.HasPrefix(id, "waits")
		switch {
		case !late && streams: // begun before, and cut by the kill: nobody can finish it
		case !o.settled():
			t.Errorf("%s, written %v after SIGTERM, has no answer: %v", id, o.sent.Sub(d.told), o.err)
		case late && s.sends[id]+s.readsOut[id] > 0:
			t.Errorf("%s, written %v after SIGTERM, was sent to an engine", id, o.sent.Sub(d.told))
		case !late && s.freed[id] == 0:
			t.Errorf("%s: nothing was released for it", id)
		}
		if s.sends[id] > 1 && s.fault != engineRefuses {
			t.Errorf("order %s was sent %d times", id, s.sends[id])
		}
	}
}

// A process that is told to end before it serves ends, and takes no client.
func TestShutdown_ToldBeforeReady(t *testing.T) {
	s := newSite(t)
	old := s.begin().ready()
	s.silent = true
	early := s.begin() // it waits for the older process to take note of it, and for a list
	until(t, "the older process sees the new one", func() bool { return old.logged("count=2") })
	early.term()
	early.ended()
	if early.logged("msg=serving") || !early.logged("told to end before it served") {
		t.Error("it has served")
	}
	until(t, "the older process is alone", func() bool { return old.logged("count=1") })
	close(s.step)
	r, err := s.send(client(t), "after")
	if err != nil {
		t.Fatal(err)
	}
	s.whole(r)
	s.once(1)
}

// A new configuration that comes while the process ends is still read: what was taken goes on,
// and engines still drain.
func TestShutdown_NewConfigurationIsRead(t *testing.T) {
	s := newSite(t)
	p := s.begin().ready()
	waiting := s.waiting("streams", 1)
	d := p.stop()
	d.follow("streams-0", waiting["streams-0"])
	until(t, "that it is told to end", func() bool { return p.logged("shutdown: told to end") })
	config, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	moved := discoveryKey.ReplaceAll(config, fmt.Appendf(nil, `"discovery":%q`, s.discovery()))
	if err := os.WriteFile(p.config, moved, 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	until(t, "that discovery has moved", func() bool { return p.logged("discovery: moved") })
	close(s.step)
	d.settled(d.kill())
	s.once(1)
}

var discoveryKey = regexp.MustCompile(`"discovery":"127[^"]*"`)
