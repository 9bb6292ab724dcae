package soak

import (
	"fmt"
	"os"
	"testing"
	"time"

	"ashwood.example/ashwood/lab/rehearse"
)

var program string

// TestMain builds the gateway's binary.
func TestMain(m *testing.M) {
	code, err := rehearse.WithDaemon(func(path string) int {
		program = path
		return m.Run()
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// smallScenario has two prefill engines (0 and 2) and two decode engines (1 and 3) in two
// zones, two gateways, 24 clients and no faults.
func smallScenario() *FaultScenario {
	s := &FaultScenario{
		Seed: 40, Length: 7 * time.Second, Zones: 2, Gateways: 2, Reservations: true, Probes: true, Reports: "inline", Sockets: 1024,
		Classes: []Class{
			{Name: "rate-check", Effect: Pure, Aim: 800 * time.Millisecond, Deadline: 4 * time.Second},
			{Name: "case-chat", Effect: Pure, Aim: 3 * time.Second, Deadline: 9 * time.Second},
			{Name: "send-order", Effect: SideEffect, Aim: 1200 * time.Millisecond, Deadline: 6 * time.Second},
		},
	}
	for i, role := range []Role{Prefill, Decode, Prefill, Decode} {
		s.Engines = append(s.Engines, Engine{ID: fmt.Sprintf("e%d", i), Role: role, Zone: i / 2})
	}
	for i := range 24 {
		s.Clients = append(s.Clients, Client{Kind: ClientSteady, Gateway: i % s.Gateways})
	}
	return s
}

// silences are faults in which engines are silent for a while with their connections open, and read
// afterwards all that was written to them.
var silences = []struct {
	name   string
	change func(*FaultScenario)
}{
	{"decode engines", func(s *FaultScenario) { s.Events = silentAt(time.Second, 4*time.Second, 1, 3) }},
	{"one of two decode engines", func(s *FaultScenario) { s.Events = silentAt(time.Second, 4*time.Second, 1) }},
	{"prefill engines", func(s *FaultScenario) {
		s.BlindReservations = true
		s.Events = silentAt(time.Second, 4*time.Second, 0, 2)
	}},
	{"decode engines flicker", func(s *FaultScenario) {
		const every = 1400 * time.Millisecond
		for at := time.Second; at < s.Length-every; at += every {
			s.Events = append(s.Events, silentAt(at, 1100*time.Millisecond, 1, 3)...)
		}
	}},
	{"clients close early", func(s *FaultScenario) {
		s.Events = silentAt(time.Second, 4*time.Second, 1, 3)
		for i := range s.Clients {
			s.Clients[i].Kind = ClientClosesEarly
		}
	}},
	{"one zone cut off", func(s *FaultScenario) {
		s.Events = []Event{{Kind: NetworkCut, At: time.Second, Duration: 4 * time.Second, Engines: []int{2, 3}, Gateways: []int{0}}}
	}},
	{"decode engines hang, releases are local", func(s *FaultScenario) {
		s.LocalReleases = true
		s.Events = []Event{{Kind: EngineHangs, At: time.Second, Duration: 4 * time.Second, Engines: []int{1, 3}}}
	}},
	{"all but one unreachable, that one hangs", func(s *FaultScenario) { s.Events = allButOneSilent(EngineUnreachable) }},
	{"all but one stopped, that one hangs", func(s *FaultScenario) { s.Events = allButOneSilent(EngineStops) }},
	{"dead connections", func(s *FaultScenario) { deadPrefillConnections(s, 0) }},
	{"dead connections, late reservations", func(s *FaultScenario) { deadPrefillConnections(s, 150*time.Millisecond) }},
	{"releases are local", func(s *FaultScenario) {
		s.LocalReleases = true
		s.Events = silentAt(time.Second, 4*time.Second, 1, 3)
	}},
}

// deadPrefillConnections makes connections to prefill engines dead, again and again, although the engines work on all others: a
// reservation was kept for a prefill that never arrived, since its engine gave signs. Decode engines hold a reservation also for a
// prefill that they don't know, and answer late by delay.
func deadPrefillConnections(s *FaultScenario, delay time.Duration) {
	const every, end = 200 * time.Millisecond, 6 * time.Second
	s.UnknownHeld = true
	s.Events = []Event{{Kind: EngineAnswersLate, At: time.Second, Duration: end - time.Second, Engines: []int{1, 3}, Delay: delay}}
	for at := time.Second; at < end; at += every {
		s.Events = append(s.Events, Event{Kind: ConnectionsDead, At: at, Duration: every / 2, Engines: []int{0, 2}, Share: 0.3})
	}
}

// allButOneSilent makes a decode engine accept calls without answering, and silences all others a little later: releases reach only that one.
func allButOneSilent(kind EventKind) []Event {
	return []Event{
		{Kind: EngineHangs, At: time.Second, Duration: 4 * time.Second, Engines: []int{3}},
		{Kind: kind, At: 1200 * time.Millisecond, Duration: 3500 * time.Millisecond, Engines: []int{0, 1, 2}},
	}
}

func silentAt(at, length time.Duration, engines ...int) []Event {
	return []Event{{Kind: EngineStops, At: at, Duration: length, Engines: engines}}
}

// Holds of a request are taken or released in time although the engine to which its next attempt
// was written is silent.
func TestHolds_SilentEngines(t *testing.T) {
	for _, silence := range silences {
		t.Run(silence.name, func(t *testing.T) {
			t.Parallel()
			s := smallScenario()
			silence.change(s)
			playScenario(t, s)
		})
	}
}

func playScenario(t *testing.T, s *FaultScenario) {
	t.Helper()
	report, err := Play(t.Context(), s, Options{Program: program, LogLevel: "debug"})
	if err != nil {
		t.Fatal(err)
	}
	if report.Counts.Served == 0 || report.Counts.Holds == 0 {
		t.Errorf("no request was served, or there was no hold: %+v", report.Counts)
	}
	if !report.OK() {
		t.Errorf("%d violations:\n%.20000s", len(report.Violations), report)
	}
}
