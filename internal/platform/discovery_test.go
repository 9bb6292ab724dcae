package platform

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
)

// Version 0 is a version: asking for the whole list in its place was answered
// at once, and went round without a pause.
func TestDiscoveryWatchesFromTheListInHand(t *testing.T) {
	asked := make(chan string, 9)
	list := func(version int, reset bool, state string) string {
		b := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s","hostPort":"a:1","lifecycle":%q}]}`, version, reset, state)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	const oops = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
	answers := []string{"\x00", list(7, false, "draining"), oops, oops, list(9, true, "up"), ""}
	peer := scriptedEngine(t, "d", "", func(s engineRequest) string {
		asked <- s.Target
		a := answers[0]
		answers = answers[1:]
		return a
	})
	type news struct {
		Form  ashwood.MembershipForm
		State ashwood.ServerState
	}
	told := make(chan news, 9)
	var logged bytes.Buffer
	d := NewDiscovery(peer.Address, clock.System(), slog.New(slog.NewTextHandler(&logged, nil)))
	update := func(f ashwood.MembershipForm, l []ashwood.Server) {
		told <- news{f, l[0].State}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.ResumeFrom(0)
	go d.Run(ctx, update)
	got := []news{<-told, <-told}
	var targets []string
	for range 6 {
		target, _, _ := strings.Cut(<-asked, "&hold_ms=")
		targets = append(targets, target)
	}
	want := []news{{ashwood.MembershipDelta, ashwood.StateDraining}, {ashwood.MembershipSnapshot, ashwood.StateActive}}
	const from = "/api/targets?from="
	if diff := cmp.Diff(want, got) + cmp.Diff([]string{from + "0", from + "0", from + "7", from + "7", from + "7", from + "9"}, targets); diff != "" {
		t.Error(diff)
	}
	// An outage is two lines, not ten a second for as long as it lasts.
	if n := strings.Count(logged.String(), "failed=2"); n != 1 || strings.Count(logged.String(), "no answer") > 2 {
		t.Errorf("logged:\n%s", logged.String())
	}
}

// On a reload discovery moves while a watch waits at the old address. The list
// in hand stays until the new one has answered, with the whole list.
func TestDiscoveryMovesInMidWatch(t *testing.T) {
	asked, speak := make(chan string, 9), make(chan struct{})
	peer := func(name string, answers ...string) ashwood.Server {
		return scriptedEngine(t, name, "", func(s engineRequest) string {
			asked <- name + " " + s.Target
			if len(answers) == 0 {
				return ""
			}
			if name == "new" {
				<-speak
			}
			a := answers[0]
			answers = answers[1:]
			return a
		})
	}
	list := func(id string) string {
		b := fmt.Sprintf(`{"generation":3,"reset":true,"instances":[{"instanceId":%q,"hostPort":"a:1","lifecycle":"up"}]}`, id)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	old, next := peer("old", list("a")), peer("new", list("b"))
	told := make(chan ashwood.ServerID, 9)
	d := NewDiscovery(old.Address, clock.System(), slog.New(slog.DiscardHandler))
	update := func(_ ashwood.MembershipForm, l []ashwood.Server) {
		told <- l[0].ID
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx, update)
	var targets []string
	for range 2 {
		targets = append(targets, <-asked)
	}
	d.SetAddress(next.Address)
	targets = append(targets, <-asked)
	if a := <-told; a != "a" || len(told) > 0 {
		t.Errorf("told of %s, then %d more before the new address spoke", a, len(told))
	}
	close(speak)
	targets = append(targets, <-asked)
	if b := <-told; b != "b" {
		t.Errorf("told of %s", b)
	}
	const from = " /api/targets?from=3&hold_ms=2000"
	want := []string{"old /api/targets", "old" + from, "new /api/targets", "new" + from}
	if diff := cmp.Diff(want, targets); diff != "" {
		t.Error(diff)
	}
}

// A watch may fall silent, or its list stop short, on a connection that stays
// open. Both are asked for again soon, and what had come of a list is not believed.
func TestDiscoveryThatStopsIsAskedAgain(t *testing.T) {
	list := func(state string) string {
		b := fmt.Sprintf(`{"generation":8,"reset":false,"instances":[{"instanceId":"s","hostPort":"a:1","lifecycle":%q}]}`, state)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	answers := []string{"", list("up")[:90], list("draining")}
	peer := scriptedEngine(t, "d", "", func(engineRequest) string {
		a := answers[0]
		if len(answers) > 1 {
			answers = answers[1:]
		}
		return a
	})
	told := make(chan ashwood.ServerState, 99)
	d := NewDiscovery(peer.Address, clock.System(), slog.New(slog.DiscardHandler))
	update := func(_ ashwood.MembershipForm, l []ashwood.Server) {
		told <- l[0].State
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.ResumeFrom(7)
	go d.Run(ctx, update)
	if got := <-told; got != ashwood.StateDraining {
		t.Errorf("told of state %v", got)
	}
}

// hasty is a clock on which waits are over at once, and are told.
type hasty struct {
	clock.Clock
	waits chan float64
}

func (h hasty) AfterFunc(ms float64, f func()) func() bool {
	h.waits <- ms
	return h.Clock.AfterFunc(0, f)
}

// A discovery that is asked serves a whole fleet. The first call is made at once, those after
// failures at waits that follow from its size, from how many processes each gateway has just
// then, and the seed; few gateways wait little, and so does one that has an agent of its own.
func TestCallsForListsAreSpreadOverTheFleet(t *testing.T) {
	const oops, list = "HTTP/1.1 503 Overbooked\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n" + `{"generation":8,"reset":false,"instances":[]}`
	for _, tt := range []struct {
		nodes, processes int       // gateways, and of each
		agent            bool      // lists are pushed to one of its own
		most             []float64 // ms of the waits after four failures, a success, a failure
	}{
		{80, 1, false, []float64{3200, 4500, 4500, 4500, 3200}},
		{80, 2, false, []float64{4500, 4500, 4500, 4500, 4500}},
		{4, 1, false, []float64{160, 320, 640, 640, 160}},
		{1, 1, false, []float64{100, 200, 400, 400, 100}},
		{300, 2, true, []float64{100, 200, 200, 200, 100}},
	} {
		var first []float64
		for seed := range int64(2) {
			answers := []string{oops, oops, oops, oops, list, oops, ""}
			peer := scriptedEngine(t, "d", "", func(engineRequest) string {
				a := answers[0]
				answers = answers[1:]
				return a
			})
			c := hasty{clock.System(), make(chan float64, 9)}
			d := NewDiscovery(peer.Address, c, slog.New(slog.DiscardHandler))
			d.ResumeFrom(7)
			d.Configure(ashwood.Settings{Nodes: tt.nodes, Subscribe: !tt.agent}, seed)
			d.SetProcesses(tt.processes)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go d.Run(ctx, func(ashwood.MembershipForm, []ashwood.Server) {})
			for n, most := range tt.most {
				wait := <-c.waits
				if n == 0 {
					first = append(first, wait)
				}
				if wait < most/2 || wait > most {
					t.Errorf("%d gateways, wait %d: %.0f ms, of %.0f", tt.nodes, n, wait, most)
				}
			}
		}
		if first[0] == first[1] {
			t.Errorf("%d gateways: two seeds wait %v ms alike", tt.nodes, first)
		}
	}
}
