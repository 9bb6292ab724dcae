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

// agent is discovery on one gateway's machine.
type agent struct {
	e       *Emulator
	gateway int
	addr    string
	http    *http.Server
}

const maxHold = 60000.0 // ms that a watch may wait

func (e *Emulator) openAgent(ip string, gateway int) (*agent, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("emulator: discovery: %w", err)
	}
	a := &agent{e: e, gateway: gateway, addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.targets)
	a.http = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return e.ctx }}
	e.serve(func() error {
		if err := a.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return a, nil
}

func (a *agent) close() error { return a.http.Close() }

type targetJSON struct {
	ID        string         `json:"instanceId"`
	HostPort  string         `json:"hostPort"`
	Zone      string         `json:"zone"`
	Kind      string         `json:"machineType"`
	Cell      int            `json:"cell"`
	Lifecycle news.Lifecycle `json:"lifecycle"`
	Weight    float64        `json:"weight"`
	Started   float64        `json:"startedAtMs"`
}

type targetsJSON struct {
	Generation int64        `json:"generation"`
	Reset      bool         `json:"reset"`
	Instances  []targetJSON `json:"instances"`
}

// targets answers with the whole list, or waits for changes behind a version.
func (a *agent) targets(w http.ResponseWriter, r *http.Request) {
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
		until = a.e.clock.Now() + math.Min(hold, maxHold)
	}
	for {
		out, news, silent, changed := a.look(from)
		now := a.e.clock.Now()
		if !silent && (news || now >= until) {
			w.Header().Set("Content-Type", "application/json")
			raw, err := json.Marshal(out)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			_, _ = w.Write(raw) // a gateway that has gone asks again
			a.e.forgetWaiter(changed)
			return
		}
		wait := until - now
		if silent {
			wait = silentLook
		}
		due := make(chan struct{})
		stop := a.e.clock.AfterFunc(wait, func() { close(due) })
		select {
		case <-changed:
		case <-due:
		case <-r.Context().Done():
			stop()
			a.e.forgetWaiter(changed)
			return
		}
		stop()
		a.e.forgetWaiter(changed)
	}
}

const silentLook = 200.0 // ms between looks whether a silence is over

// look is what the agent would answer now; changed is closed with the next news.
func (a *agent) look(from int64) (out targetsJSON, fresh, silent bool, changed chan struct{}) {
	l := &a.e.lists
	l.Lock()
	defer l.Unlock()
	changed = make(chan struct{})
	l.waiters[changed] = struct{}{}
	silent = l.Silent(a.e.clock.Now(), a.gateway)
	version, list, ok := l.Delta(a.gateway, from)
	if !ok {
		version, list = l.Snapshot(a.gateway)
		out.Reset = true
	}
	out.Generation, out.Instances = version, a.instances(list)
	return out, out.Reset || version > from, silent, changed
}

func (a *agent) instances(list []news.Entry) []targetJSON {
	out := make([]targetJSON, 0, len(list))
	for _, e := range list {
		v := a.e.views[a.gateway][a.e.boxes[e.Engine.ID]]
		out = append(out, targetJSON{
			ID: e.Engine.ID, HostPort: v.http.addr, Zone: e.Engine.Zone, Kind: e.Engine.Kind, Cell: e.Engine.Cell, Lifecycle: e.Lifecycle, Weight: 1,
			Started: math.Floor(e.StartedAt),
		})
	}
	return out
}

func (e *Emulator) forgetWaiter(c chan struct{}) {
	e.lists.Lock()
	defer e.lists.Unlock()
	delete(e.lists.waiters, c)
}

// advanceLists carries news that is due, and sets the timer for the next.
func (e *Emulator) advanceLists() {
	l := &e.lists
	l.Lock()
	defer l.Unlock()
	if e.ctx.Err() != nil {
		return
	}
	now := e.clock.Now()
	for _, t := range l.Advance(now) {
		if !e.listed {
			continue
		}
		e.rules.GatewayNotified(now, t.Agent, t.Entry.Engine.ID, t.Entry.Lifecycle != news.Up, t.Entry.StartedAt)
	}
	for c := range l.waiters {
		close(c)
		delete(l.waiters, c)
	}
	if l.stop != nil {
		l.stop()
	}
	if at, ok := l.NextUpdateAt(); ok {
		l.stop = e.clock.AfterFunc(max(0, at-now), e.advanceLists)
	}
}
