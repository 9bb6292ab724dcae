package soak

import (
	"fmt"
	"os"
	"testing"
	"time"

	"ashwood.example/ashwood/lab/rehearse"
)

var program string

// TestMain builds the daemon.
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

// small is a story of two prefill engines (0 and 2) and two decode engines (1 and 3) in two
// zones, two gateways and 24 clients, in which nothing goes wrong.
func small() *Story {
	s := &Story{
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
		s.Clients = append(s.Clients, Client{Kind: Steady, Gateway: i % s.Gateways})
	}
	return s
}

// silences are the ways in which engines give no sign for a while with their connections open, and read
// later all that was written to them.
var silences = []struct {
	name   string
	change func(*Story)
}{
	{"decode engines", func(s *Story) { s.Events = silentAt(time.Second, 4*time.Second, 1, 3) }},
	{"one of two decode engines", func(s *Story) { s.Events = silentAt(time.Second, 4*time.Second, 1) }},
	{"prefill engines", func(s *Story) {
		s.BlindPlaces = true
		s.Events = silentAt(time.Second, 4*time.Second, 0, 2)
	}},
	{"decode engines flicker", func(s *Story) {
		const every = 1400 * time.Millisecond
		for at := time.Second; at < s.Length-every; at += every {
			s.Events = append(s.Events, silentAt(at, 1100*time.Millisecond, 1, 3)...)
		}
	}},
	{"clients leave", func(s *Story) {
		s.Events = silentAt(time.Second, 4*time.Second, 1, 3)
		for i := range s.Clients {
			s.Clients[i].Kind = Leaver
		}
	}},
	{"one zone is cut off", func(s *Story) {
		s.Events = []Event{{Kind: Cut, At: time.Second, For: 4 * time.Second, Engines: []int{2, 3}, Gateways: []int{0}}}
	}},
	{"decode engines hang, and releases count at their engine alone", func(s *Story) {
		s.OwnReleases = true
		s.Events = []Event{{Kind: EngineHangs, At: time.Second, For: 4 * time.Second, Engines: []int{1, 3}}}
	}},
	{"all but one vanish, and that hangs", func(s *Story) { s.Events = goneBut(EngineVanishes) }},
	{"all but one are stopped, and that hangs", func(s *Story) { s.Events = goneBut(EngineStops) }},
	{"releases count at their engine alone", func(s *Story) {
		s.OwnReleases = true
		s.Events = silentAt(time.Second, 4*time.Second, 1, 3)
	}},
}

// goneBut has a decode engine take calls and answer none, and all others fall silent a little later: releases reach that one alone.
func goneBut(how EventKind) []Event {
	return []Event{
		{Kind: EngineHangs, At: time.Second, For: 4 * time.Second, Engines: []int{3}},
		{Kind: how, At: 1200 * time.Millisecond, For: 3500 * time.Millisecond, Engines: []int{0, 1, 2}},
	}
}

func silentAt(at, length time.Duration, engines ...int) []Event {
	return []Event{{Kind: EngineStops, At: at, For: length, Engines: engines}}
}

// What engines hold for a request is taken or released in time, although the engine that its
// next attempt was written to gives no sign.
func TestHeldState_SilentEngines(t *testing.T) {
	for _, silence := range silences {
		t.Run(silence.name, func(t *testing.T) {
			t.Parallel()
			s := small()
			silence.change(s)
			playStory(t, s)
		})
	}
}

func playStory(t *testing.T, s *Story) {
	t.Helper()
	rep, err := Play(t.Context(), s, Options{Program: program, LogLevel: "debug"})
	if err != nil {
		t.Fatal(err)
	}
	if rep.Counts.Served == 0 || rep.Counts.Holds == 0 {
		t.Errorf("nothing was served, or nothing held: %+v", rep.Counts)
	}
	if !rep.OK() {
		t.Errorf("%d broken rules:\n%.20000s", len(rep.Breaks), rep)
	}
}
