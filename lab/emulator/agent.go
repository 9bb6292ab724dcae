package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"

	"ashwood.example/ashwood/lab/news"
)

// agent is the discovery agent on one gateway's machine.
type agent struct {
	emulator *Emulator
	gateway  int
	addr     string
	server   *http.Server
}

const maxWatchWait = 60000.0 // ms; longest time that a watch may wait

func (e *Emulator) startAgent(ip string, gateway int) (*agent, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("emulator: discovery: %w", err)
	}
	a := &agent{emulator: e, gateway: gateway, addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.serveTargets)
	a.server = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return e.ctx }}
	e.runServer(func() error {
		if err := a.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return a, nil
}

func (a *agent) close() error { return a.server.Close() }

type targetJSON struct {
	ID        string         `json:"instanceId"`
	HostPort  string         `json:"hostPort"`
	Zone      string         `json:"zone"`
	Kind      string         `json:"machineType"`
	Cell      int            `json:"cell"`
	Lifecycle news.Lifecycle `json:"lifecycle"`
	Weight    float64        `json:"weight"`
	StartedAt float64        `json:"startedAtMs"`
}

type targetsJSON struct {
	Generation int64        `json:"generation"`
	Reset      bool         `json:"reset"`
	Instances  []targetJSON `json:"instances"`
}

// serveTargets answers with a snapshot of the membership, or waits for changes after
// a version.
func (a *agent) serveTargets(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var until float64
	from := int64(-1)
	if q.Has("from") {
		var err error
		hold := 0.0
		if from, err = strconv.ParseInt(q.Get("from"), 10, 64); err == nil && q.Has("hold_ms") {
			hold, err = strconv.ParseFloat(q.Get("hold_ms"), 64)
		}
		if err != nil || !(hold >= 0) {
			http.Error(w, "from and hold_ms are numbers", http.StatusBadRequest)
			return
		}
		until = a.emulator.clock.Now() + math.Min(hold, maxWatchWait)
	}
	for {
		out, fresh, silent, changed := a.currentAnswer(from)
		now := a.emulator.clock.Now()
		if !silent && (fresh || now >= until) {
			w.Header().Set("Content-Type", "application/json")
			raw, err := json.Marshal(out)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			_, _ = w.Write(raw) // if the gateway has gone, it asks again
			a.emulator.removeWaiter(changed)
			return
		}
		wait := until - now
		if silent {
			wait = silenceCheckInterval
		}
		expired := make(chan struct{})
		stop := a.emulator.clock.AfterFunc(wait, func() { close(expired) })
		select {
		case <-changed:
		case <-expired:
		case <-r.Context().Done():
			stop()
			a.emulator.removeWaiter(changed)
			return
		}
		stop()
		a.emulator.removeWaiter(changed)
	}
}

const silenceCheckInterval = 200.0 // ms between checks whether the agent is still silent

// currentAnswer returns what the agent would answer now; changed is closed with the
// next membership update.
func (a *agent) currentAnswer(from int64) (out targetsJSON, fresh, silent bool, changed chan struct{}) {
	d := &a.emulator.discovery
	d.Lock()
	defer d.Unlock()
	changed = make(chan struct{})
	d.waiters[changed] = struct{}{}
	silent = d.Silent(a.emulator.clock.Now(), a.gateway)
	version, list, ok := d.Delta(a.gateway, from)
	if !ok {
		version, list = d.Snapshot(a.gateway)
		out.Reset = true
	}
	out.Generation, out.Instances = version, a.instances(list)
	return out, out.Reset || version > from, silent, changed
}

func (a *agent) instances(list []news.Entry) []targetJSON {
	out := make([]targetJSON, 0, len(list))
	for _, entry := range list {
		ep := a.emulator.endpoints[a.gateway][a.emulator.engineIndex[entry.Engine.ID]]
		out = append(out, targetJSON{
			ID: entry.Engine.ID, HostPort: ep.http.addr, Zone: entry.Engine.Zone, Kind: entry.Engine.Kind, Cell: entry.Engine.Cell, Lifecycle: entry.Lifecycle, Weight: 1,
			StartedAt: math.Floor(entry.StartedAt),
		})
	}
	return out
}

func (e *Emulator) removeWaiter(c chan struct{}) {
	e.discovery.Lock()
	defer e.discovery.Unlock()
	delete(e.discovery.waiters, c)
}

// advanceDiscovery delivers expired membership updates, and sets the timer for the
// next one.
func (e *Emulator) advanceDiscovery() {
	d := &e.discovery
	d.Lock()
	defer d.Unlock()
	if e.ctx.Err() != nil {
		return
	}
	now := e.clock.Now()
	for _, notification := range d.Advance(now) {
		if !e.followsDiscovery {
			continue
		}
		e.rules.GatewayNotified(now, notification.Agent, notification.Entry.Engine.ID, notification.Entry.Lifecycle != news.Up, notification.Entry.StartedAt)
	}
	for c := range d.waiters {
		close(c)
		delete(d.waiters, c)
	}
	if d.stop != nil {
		d.stop()
	}
	if at, ok := d.NextUpdateAt(); ok {
		d.stop = e.clock.AfterFunc(max(0, at-now), e.advanceDiscovery)
	}
}
