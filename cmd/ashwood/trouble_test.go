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

// engineFault is what the decode engine does with a request instead of answering it.
type engineFault string

const (
	engineAnswers engineFault = ""
	engineHangs   engineFault = "hangs"
	engineResets  engineFault = "resets"
	engineRejects engineFault = "rejects"
)

// answer acts out the fault and reports whether there is one.
func (f engineFault) answer(w http.ResponseWriter, r *http.Request) bool {
	switch f {
	case engineHangs:
		<-r.Context().Done()
	case engineResets:
		panic(http.ErrAbortHandler)
	case engineRejects:
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return f != engineAnswers
}

// disturbance is what happens to a process around SIGTERM.
type disturbance struct {
	name         string
	before       func(fixture *gatewayFixture, p *process)              // called before SIGTERM
	after        func(restart *plannedRestart, fixture *gatewayFixture) // called after SIGTERM, in a goroutine of its own
	stopDuration time.Duration                                          // how long the process is stopped; SIGTERM is sent within that time
}

var disturbances = []disturbance{
	{name: "none"},
	{name: "a newer process", before: func(fixture *gatewayFixture, p *process) {
		fixture.startProcess().waitReady()
		waitFor(fixture.t, "the older process sees the newer one serve", func() bool { return p.logContains("newer_one_serves=true") })
	}},
	{name: "second SIGTERM", after: func(restart *plannedRestart, _ *gatewayFixture) {
		restart.waitUntil(900 * time.Millisecond)
		restart.process.sigterm()
	}},
	{name: "SIGTERM during a reload", before: func(_ *gatewayFixture, p *process) { p.cmd.Process.Signal(syscall.SIGHUP) }},
	{name: "reloads during shutdown", after: func(restart *plannedRestart, _ *gatewayFixture) {
		for _, after := range []time.Duration{50, 400, 1200, 2500} {
			restart.waitUntil(after * time.Millisecond)
			restart.process.cmd.Process.Signal(syscall.SIGHUP)
		}
	}},
	{name: "stopped for 0.15 s, three times", after: func(restart *plannedRestart, _ *gatewayFixture) {
		for _, after := range []time.Duration{400, 900, 2900} {
			restart.waitUntil(after * time.Millisecond)
			restart.process.stopAndContinue(150 * time.Millisecond)
		}
	}},
	{name: "SIGTERM while stopped", stopDuration: 1200 * time.Millisecond},
	{name: "many silent connections", before: func(fixture *gatewayFixture, _ *process) {
		for range 300 {
			fixture.dial()
		}
	}},
	{name: "discovery is down", before: func(fixture *gatewayFixture, _ *process) { fixture.stopDiscovery() }},
}

// waitUntil waits until a time after SIGTERM.
func (r *plannedRestart) waitUntil(after time.Duration) {
	<-time.After(time.Until(r.signaledAt.Add(after)))
}

// stopAndContinue stops a process (SIGSTOP) for a while and returns once it has been continued.
func (p *process) stopAndContinue(while time.Duration) {
	p.cmd.Process.Signal(syscall.SIGSTOP)
	<-time.After(while)
	p.cmd.Process.Signal(syscall.SIGCONT)
}

// startWaiting starts n requests and returns once each has reached an engine.
func (f *gatewayFixture) startWaiting(what string, n int) map[string]*rawClient {
	clients := map[string]*rawClient{}
	for i := range n {
		id := fmt.Sprint(what, "-", i)
		clients[id] = f.dial()
		clients[id].write(orderRequest(id))
	}
	waitFor(f.t, what+": requests reach engines", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for id := range clients {
			if f.decodeAttempts[id] == 0 && f.prefillAttempts[id] == 0 {
				return false
			}
		}
		return true
	})
	return clients
}

// Whatever happens around SIGTERM, and whatever engines do: a waiting request must be answered
// and released before the process is killed; a late request must be answered or left unread, and
// not sent to an engine; no order is sent twice.
func TestShutdown_Disturbances(t *testing.T) {
	for _, disturbance := range disturbances {
		for _, engines := range []struct {
			name  string
			fault engineFault
			hangs bool // at prefill
		}{
			{"prefill hangs", engineAnswers, true},
			{"decode hangs", engineHangs, false},
			{"decode resets", engineResets, false},
			{"decode rejects", engineRejects, false},
			{"streams stall", engineAnswers, false},
		} {
			t.Run(disturbance.name+"/"+engines.name, func(t *testing.T) {
				t.Parallel()
				fixture := newGatewayFixture(t)
				fixture.decodeFault = engines.fault
				if engines.hangs {
					fixture.finishPrefill = make(chan struct{})
				}
				runDisturbance(t, fixture, disturbance, engines.name == "streams stall")
			})
		}
	}
}

func runDisturbance(t *testing.T, fixture *gatewayFixture, disturbance disturbance, streams bool) {
	proc := fixture.startProcess().waitReady()
	waiting := fixture.startWaiting("waits", 3)
	late := fixture.openLateClients(5)
	r, err := newClient(t).Get("http://" + fixture.listenAddr + "/-/ready") // after this answer, the connections above have been accepted
	if err != nil || r.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", r, err)
	}
	r.Body.Close()
	if disturbance.before != nil {
		disturbance.before(fixture, proc)
	}
	if disturbance.stopDuration > 0 {
		proc.cmd.Process.Signal(syscall.SIGSTOP)
	}
	restart := proc.startRestart()
	if disturbance.stopDuration > 0 {
		restart.clients.Go(func() {
			restart.waitUntil(disturbance.stopDuration)
			proc.cmd.Process.Signal(syscall.SIGCONT)
		})
	}
	if disturbance.after != nil {
		restart.clients.Go(func() { disturbance.after(restart, fixture) })
	}
	for id, c := range waiting {
		restart.awaitOutcome(id, c)
	}
	restart.writeLateRequests(late, 400*time.Millisecond)
	results := restart.killAndCollect()
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	for id, o := range results {
		late := !strings.HasPrefix(id, "waits")
		switch {
		case !late && streams: // started before, and broken off by the kill: nobody can finish it
		case !o.resolved():
			t.Errorf("%s, written %v after SIGTERM, has no answer: %v", id, o.sentAt.Sub(restart.signaledAt), o.err)
		case late && fixture.decodeAttempts[id]+fixture.prefillAttempts[id] > 0:
			t.Errorf("%s, written %v after SIGTERM, was sent to an engine", id, o.sentAt.Sub(restart.signaledAt))
		case !late && fixture.releases[id] == 0:
			t.Errorf("%s: no hold was released", id)
		}
		if fixture.decodeAttempts[id] > 1 && fixture.decodeFault != engineRejects {
			t.Errorf("order %s was sent %d times", id, fixture.decodeAttempts[id])
		}
	}
}

// A process that gets SIGTERM before it serves must exit without serving any client.
func TestShutdown_SignalBeforeServing(t *testing.T) {
	fixture := newGatewayFixture(t)
	old := fixture.startProcess().waitReady()
	fixture.silentDiscovery = true
	early := fixture.startProcess() // it waits until the older process has seen it, and for a membership
	waitFor(t, "the older process sees the new one", func() bool { return old.logContains("count=2") })
	early.sigterm()
	early.waitForExit()
	if early.logContains("msg=serving") || !early.logContains("told to end before it served") {
		t.Error("the process served")
	}
	waitFor(t, "the older process is alone", func() bool { return old.logContains("count=1") })
	close(fixture.nextPiece)
	response, err := fixture.sendOrder(newClient(t), "after")
	if err != nil {
		t.Fatal(err)
	}
	fixture.checkAnswer(response)
	fixture.checkSentOnce(1)
}

// A new configuration during shutdown must still be applied: accepted requests continue, and
// engines may drain.
func TestShutdown_ReloadWhileDraining(t *testing.T) {
	fixture := newGatewayFixture(t)
	proc := fixture.startProcess().waitReady()
	waiting := fixture.startWaiting("streams", 1)
	restart := proc.startRestart()
	restart.awaitOutcome("streams-0", waiting["streams-0"])
	waitFor(t, "the process shuts down", func() bool { return proc.logContains("shutdown: told to end") })
	config, err := os.ReadFile(proc.configPath)
	if err != nil {
		t.Fatal(err)
	}
	moved := discoveryKey.ReplaceAll(config, fmt.Appendf(nil, `"discovery":%q`, fixture.startDiscovery()))
	if err := os.WriteFile(proc.configPath, moved, 0o600); err != nil {
		t.Fatal(err)
	}
	proc.cmd.Process.Signal(syscall.SIGHUP)
	waitFor(t, "discovery's address changes", func() bool { return proc.logContains("discovery: moved") })
	close(fixture.nextPiece)
	restart.checkResolved(restart.killAndCollect())
	fixture.checkSentOnce(1)
}

var discoveryKey = regexp.MustCompile(`"discovery":"127[^"]*"`)
