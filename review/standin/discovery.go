package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of discovery's list.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Type      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// Discovery is the agent of one gateway: it answers at once with what it has, and holds watches.
type Discovery struct {
	Addr string

	mu         sync.Mutex
	generation int64
	all        []Instance
	changed    map[int64][]Instance // by the generation that brought them
	news       chan struct{}
}

// StartDiscovery serves a list.
func StartDiscovery(list []Instance) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), generation: 1, all: list, changed: map[int64][]Instance{}, news: make(chan struct{})}
	go http.Serve(l, http.HandlerFunc(d.serve))
	return d, nil
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.ParseFloat(r.URL.Query().Get("hold_ms"), 64)
	d.mu.Lock()
	if err != nil {
		defer d.mu.Unlock()
		json.NewEncoder(w).Encode(Object{"generation": d.generation, "reset": true, "instances": d.all})
		return
	}
	if from >= d.generation {
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-r.Context().Done():
		case <-time.After(time.Duration(hold * float64(time.Millisecond))):
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	changes := []Instance{}
	for generation := from + 1; generation <= d.generation; generation++ {
		changes = append(changes, d.changed[generation]...)
	}
	json.NewEncoder(w).Encode(Object{"generation": d.generation, "reset": false, "instances": changes})
}
