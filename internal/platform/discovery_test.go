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

// Version 0 is a version like any other. Requests for the whole snapshot in its place were
// answered at once and repeated without a pause.
func TestDiscovery_WatchFromKnownGeneration(t *testing.T) {
	requests := make(chan string, 9)
	membershipResponse := func(version int, reset bool, state string) string {
		body := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s","hostPort":"a:1","lifecycle":%q}]}`, version, reset, state)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	const serverError = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
	responses := []string{"\x00", membershipResponse(7, false, "draining"), serverError, serverError, membershipResponse(9, true, "up"), ""}
	peer := scriptedEngine(t, "d", "", func(s engineRequest) string {
		requests <- s.Target
		response := responses[0]
		responses = responses[1:]
		return response
	})
	type membershipUpdate struct {
		Form  ashwood.MembershipForm
		State ashwood.ServerState
	}
	updates := make(chan membershipUpdate, 9)
	var logged bytes.Buffer
	d := NewDiscovery(peer.Address, clock.System(), slog.New(slog.NewTextHandler(&logged, nil)))
	update := func(f ashwood.MembershipForm, l []ashwood.Server) {
		updates <- membershipUpdate{f, l[0].State}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.ResumeFrom(0)
	go d.Run(ctx, update)
	got := []membershipUpdate{<-updates, <-updates}
	var targets []string
	for range 6 {
		target, _, _ := strings.Cut(<-requests, "&hold_ms=")
		targets = append(targets, target)
	}
	want := []membershipUpdate{{ashwood.MembershipDelta, ashwood.StateDraining}, {ashwood.MembershipSnapshot, ashwood.StateActive}}
	const from = "/api/targets?from="
	if diff := cmp.Diff(want, got) + cmp.Diff([]string{from + "0", from + "0", from + "7", from + "7", from + "7", from + "9"}, targets); diff != "" {
		t.Error(diff)
	}
	// An outage logs two lines, not ten per second while it lasts.
	if n := strings.Count(logged.String(), "failed=2"); n != 1 || strings.Count(logged.String(), "call failed") > 2 {
		t.Errorf("logged:\n%s", logged.String())
	}
}

// A reload changes the discovery address while a watch waits at the old one. The current
// membership stays until the new address has returned a snapshot.
func TestDiscovery_AddressChangeDuringWatch(t *testing.T) {
	requests, respond := make(chan string, 9), make(chan struct{})
	peer := func(name string, responses ...string) ashwood.Server {
		return scriptedEngine(t, name, "", func(s engineRequest) string {
			requests <- name + " " + s.Target
			if len(responses) == 0 {
				return ""
			}
			if name == "new" {
				<-respond
			}
			response := responses[0]
			responses = responses[1:]
			return response
		})
	}
	snapshot := func(id string) string {
		body := fmt.Sprintf(`{"generation":3,"reset":true,"instances":[{"instanceId":%q,"hostPort":"a:1","lifecycle":"up"}]}`, id)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	old, replacement := peer("old", snapshot("a")), peer("new", snapshot("b"))
	updates := make(chan ashwood.ServerID, 9)
	d := NewDiscovery(old.Address, clock.System(), slog.New(slog.DiscardHandler))
	update := func(_ ashwood.MembershipForm, l []ashwood.Server) {
		updates <- l[0].ID
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx, update)
	var targets []string
	for range 2 {
		targets = append(targets, <-requests)
	}
	d.SetAddress(replacement.Address)
	targets = append(targets, <-requests)
	if a := <-updates; a != "a" || len(updates) > 0 {
		t.Errorf("first update has engine %s, then %d more updates before the new address responded", a, len(updates))
	}
	close(respond)
	targets = append(targets, <-requests)
	if b := <-updates; b != "b" {
		t.Errorf("update from the new address has engine %s, want b", b)
	}
	const from = " /api/targets?from=3&hold_ms=2000"
	want := []string{"old /api/targets", "old" + from, "new /api/targets", "new" + from}
	if diff := cmp.Diff(want, targets); diff != "" {
		t.Error(diff)
	}
}

// A watch may get no response, or a truncated one, on a connection that stays open.
// Both calls are repeated soon, and a truncated response is not applied.
func TestDiscovery_SilentOrTruncatedResponse(t *testing.T) {
	delta := func(state string) string {
		body := fmt.Sprintf(`{"generation":8,"reset":false,"instances":[{"instanceId":"s","hostPort":"a:1","lifecycle":%q}]}`, state)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	responses := []string{"", delta("up")[:90], delta("draining")}
	peer := scriptedEngine(t, "d", "", func(engineRequest) string {
		response := responses[0]
		if len(responses) > 1 {
			responses = responses[1:]
		}
		return response
	})
	states := make(chan ashwood.ServerState, 99)
	d := NewDiscovery(peer.Address, clock.System(), slog.New(slog.DiscardHandler))
	update := func(_ ashwood.MembershipForm, l []ashwood.Server) {
		states <- l[0].State
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.ResumeFrom(7)
	go d.Run(ctx, update)
	if got := <-states; got != ashwood.StateDraining {
		t.Errorf("first update has state %v, want draining", got)
	}
}

// immediateClock is a clock on which every wait ends at once. It reports each wait.
type immediateClock struct {
	clock.Clock
	waits chan float64
}

func (h immediateClock) AfterFunc(ms float64, f func()) func() bool {
	h.waits <- ms
	return h.Clock.AfterFunc(0, f)
}

// A shared discovery service serves the whole fleet. The first call is made at once. The delays
// after failed calls depend on the number of gateways, on the processes that each has at that
// moment, and on the seed. They are short with few gateways and with an agent of the gateway's own.
func TestDiscovery_RetryDelaysByFleetSize(t *testing.T) {
	const unavailable, emptyDelta = "HTTP/1.1 503 Overbooked\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n" + `{"generation":8,"reset":false,"instances":[]}`
	for _, tt := range []struct {
		nodes, processes int       // gateways, and processes of each
		agent            bool      // each gateway has an agent of its own
		maxWaits         []float64 // longest waits in ms: after four failures, then after a success and a failure
	}{
		{80, 1, false, []float64{3200, 4500, 4500, 4500, 3200}},
		{80, 2, false, []float64{4500, 4500, 4500, 4500, 4500}},
		{4, 1, false, []float64{160, 320, 640, 640, 160}},
		{1, 1, false, []float64{100, 200, 400, 400, 100}},
		{300, 2, true, []float64{100, 200, 200, 200, 100}},
	} {
		var firstWaits []float64
		for seed := range int64(2) {
			responses := []string{unavailable, unavailable, unavailable, unavailable, emptyDelta, unavailable, ""}
			peer := scriptedEngine(t, "d", "", func(engineRequest) string {
				response := responses[0]
				responses = responses[1:]
				return response
			})
			c := immediateClock{clock.System(), make(chan float64, 9)}
			d := NewDiscovery(peer.Address, c, slog.New(slog.DiscardHandler))
			d.ResumeFrom(7)
			d.Configure(ashwood.Settings{Nodes: tt.nodes, Subscribe: !tt.agent}, seed)
			d.SetProcesses(tt.processes)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go d.Run(ctx, func(ashwood.MembershipForm, []ashwood.Server) {})
			for n, maxWait := range tt.maxWaits {
				wait := <-c.waits
				if n == 0 {
					firstWaits = append(firstWaits, wait)
				}
				if wait < maxWait/2 || wait > maxWait {
					t.Errorf("%d gateways, wait %d: %.0f ms, want half to all of %.0f", tt.nodes, n, wait, maxWait)
				}
			}
		}
		if firstWaits[0] == firstWaits[1] {
			t.Errorf("%d gateways: two seeds give the same first wait: %v ms", tt.nodes, firstWaits)
		}
	}
}
