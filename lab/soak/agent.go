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

// agent is discovery on one gateway's machine. It answers at once with what it has, and stays
// silent while discovery is.
type agent struct {
	world   *world
	gateway int
	l       net.Listener
	http    *http.Server

	mu     sync.Mutex
	silent int
	change chan struct{} // closed at the next change of any kind
}

func (w *world) openAgent(gateway int) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	a := &agent{world: w, gateway: gateway, l: l, change: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.targets)
	a.http = &http.Server{Handler: mux}
	w.background.Go(func() { _ = a.http.Serve(l) }) // it ends with the listener
	return a, nil
}

func (a *agent) addr() string { return a.l.Addr().String() }

func (a *agent) close() { a.http.Close() }

// news wakes those that watch.
func (a *agent) news() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.change)
	a.change = make(chan struct{})
}

func (a *agent) hush(by int) {
	a.mu.Lock()
	a.silent += by
	a.mu.Unlock()
	a.news()
}

// targetList is a list in discovery's form.
type targetList struct {
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

// list is the whole list as one gateway is told it.
func (w *world) list(gateway int) targetList {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := targetList{Generation: w.generation, Reset: true}
	for _, e := range w.engines {
		out.Instances = append(out.Instances, targetEntry{
			ID: e.spec.ID, HostPort: e.links[gateway].addr, Zone: zoneName(e.spec.Zone), Kind: kindOf(e.spec.Role), Cell: e.spec.Zone,
			Lifecycle: w.lifecycle[e.index], Weight: 1, Started: w.startedAt[e.index],
		})
	}
	return out
}

const mostHold = 60 * time.Second

func (a *agent) targets(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	holdMs, err := strconv.ParseFloat(r.URL.Query().Get("hold_ms"), 64)
	if err != nil {
		holdMs = 0
	}
	until := time.NewTimer(min(time.Duration(holdMs*float64(time.Millisecond)), mostHold))
	defer until.Stop()
	due := from < 0
	for {
		a.mu.Lock()
		silent, change := a.silent > 0, a.change
		a.mu.Unlock()
		list := a.world.list(a.gateway)
		if !silent && (due || list.Generation > from) {
			a.write(w, list)
			return
		}
		select {
		case <-change:
		case <-until.C:
			due = true
		case <-r.Context().Done():
			return
		}
	}
}

// write answers with a list; from then on the gateway counts as told of it.
func (a *agent) write(w http.ResponseWriter, list targetList) {
	raw, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(raw); err != nil {
		return
	}
	for i, entry := range list.Instances {
		a.world.check.drains(a.gateway, i, entry.Lifecycle != lifecycleUp)
	}
}

// Lifecycles of engines in a list.
const (
	lifecycleUp       = "up"
	lifecycleDraining = "draining"
)

func zoneName(zone int) string { return string(rune('a' + zone)) }

func kindOf(r Role) string {
	return map[Role]string{Prefill: "prefill", Decode: "decode", Mixed: "mixed"}[r]
}

// tell changes an engine's entry in all lists.
func (w *world) tell(engine int, lifecycle string, started float64) {
	w.mu.Lock()
	w.generation++
	w.lifecycle[engine], w.startedAt[engine] = lifecycle, started
	agents := append([]*agent(nil), w.agents...)
	w.mu.Unlock()
	for _, a := range agents {
		a.news()
	}
}

// settings is the object that a gateway is configured with.
func (w *world) settings(gateway int) map[string]any {
	type object = map[string]any
	s := w.story
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
		"obligations": object{"fall_multiple": fallMultiple, "fall": 1000, "start_capacity": coldFrom, "warm_within": millis(warmWithin), "ask_every": 10000},
		"report":      object{"how": s.Reports, "fields": []string{"busy_reqs", "pending", "x0", "x1"}},
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// sleep waits, and tells whether the run goes on.
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
