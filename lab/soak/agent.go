package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// agent is the discovery agent of one gateway. It answers long polls with the current membership,
// and answers nothing while a discovery fault is active.
type agent struct {
	testbed  *testbed
	gateway  int
	listener net.Listener
	http     *http.Server

	mu       sync.Mutex
	silences int
	changed  chan struct{} // closed at the next change of the membership or of silences
}

func (tb *testbed) openAgent(gateway int) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	a := &agent{testbed: tb, gateway: gateway, listener: listener, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.targets)
	a.http = &http.Server{Handler: mux}
	tb.background.Go(func() { _ = a.http.Serve(listener) }) // returns when the listener is closed
	return a, nil
}

func (a *agent) addr() string { return a.listener.Addr().String() }

func (a *agent) close() { a.http.Close() }

// notifyWatchers wakes all pending long polls.
func (a *agent) notifyWatchers() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

// changeSilence adds delta to the number of active silences.
func (a *agent) changeSilence(delta int) {
	a.mu.Lock()
	a.silences += delta
	a.mu.Unlock()
	a.notifyWatchers()
}

// targetsReply is the answer of discovery's API: a snapshot of the membership.
type targetsReply struct {
	Generation int64         `json:"generation"`
	Reset      bool          `json:"reset"`
	Instances  []targetEntry `json:"instances"`
}

type targetEntry struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   float64 `json:"startedAtMs"`
}

// membership returns the snapshot for one gateway, with the addresses of its own links.
func (tb *testbed) membership(gateway int) targetsReply {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	reply := targetsReply{Generation: tb.generation, Reset: true}
	for _, e := range tb.engines {
		reply.Instances = append(reply.Instances, targetEntry{
			ID: e.spec.ID, HostPort: e.links[gateway].addr, Zone: zoneName(e.spec.Zone), Kind: kindName(e.spec.Role), Cell: e.spec.Zone,
			Lifecycle: tb.lifecycle[e.index], Weight: 1, Started: tb.startedAt[e.index],
		})
	}
	return reply
}

const maxPollHold = 60 * time.Second

func (a *agent) targets(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	holdMs, err := strconv.ParseFloat(r.URL.Query().Get("hold_ms"), 64)
	if err != nil {
		holdMs = 0
	}
	timer := time.NewTimer(min(time.Duration(holdMs*float64(time.Millisecond)), maxPollHold))
	defer timer.Stop()
	expired := from < 0
	for {
		a.mu.Lock()
		silent, change := a.silences > 0, a.changed
		a.mu.Unlock()
		reply := a.testbed.membership(a.gateway)
		if !silent && (expired || reply.Generation > from) {
			a.write(w, reply)
			return
		}
		select {
		case <-change:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// write sends a reply; from then on the gateway counts as notified of its entries.
func (a *agent) write(w http.ResponseWriter, reply targetsReply) {
	raw, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(raw); err != nil {
		return
	}
	for i, entry := range reply.Instances {
		a.testbed.checker.setDrainKnown(a.gateway, i, entry.Lifecycle != lifecycleUp)
	}
}

// Lifecycles of engines in a reply.
const (
	lifecycleUp       = "up"
	lifecycleDraining = "draining"
)

func zoneName(zone int) string { return string(rune('a' + zone)) }

func kindName(r Role) string {
	return map[Role]string{Prefill: "prefill", Decode: "decode", Mixed: "mixed"}[r]
}

// updateMembership changes an engine's entry and wakes all agents' long polls.
func (tb *testbed) updateMembership(engine int, lifecycle string, started float64) {
	tb.mu.Lock()
	tb.generation++
	tb.lifecycle[engine], tb.startedAt[engine] = lifecycle, started
	agents := append([]*agent(nil), tb.agents...)
	tb.mu.Unlock()
	for _, a := range agents {
		a.notifyWatchers()
	}
}

// gatewaySettings returns the settings object of a gateway's configuration.
func (tb *testbed) gatewaySettings(gateway int) map[string]any {
	type object = map[string]any
	s := tb.scenario
	var lanes []object
	for _, c := range s.Classes {
		lanes = append(lanes, object{
			"name": c.Name, "aim": millis(c.Aim), "deadline": millis(c.Deadline), "worth": 2, "late_share": 0.2, "effect": string(c.Effect), "group": "all",
			"memory_span": 5000, "stream": true,
		})
	}
	return object{
		"siblings": s.Gateways, "my_number": gateway, "locality": zoneName(gateway % s.Zones), "discovery": "automatic",
		"kinds": []string{"prefill", "decode", "mixed"}, "lanes": lanes,
		"family_info": object{
			"early_pairing": s.Reservations, "kind_role": []Role{Prefill, Decode, Mixed}, "release": 500, "tokens_by_kind": []int{280000, 190000, 190000},
			"writers_read": false, "resume": false,
		},
		"ceilings": object{
			"attempts_cap": 6, "cancel": true, "probes": s.Probes, "retry_after": true, "max_retry_after": 500, "connect_timeout": 250, "conn_idle": 15000,
			"second_copies": false,
		},
		"obligations": object{"fall_multiple": slowStartMultiple, "fall": 1000, "start_capacity": coldCapacity, "warm_within": millis(warmUpTime), "ask_every": 10000},
		"report":      object{"how": s.Reports, "fields": []string{"busy_reqs", "pending", "x0", "x1"}},
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// sleep waits for d; it returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
