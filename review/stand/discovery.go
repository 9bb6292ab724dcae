package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// startDiscovery serves a list that never changes, and returns its address.
func startDiscovery(w *world) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", "application/json")
		if r.URL.Query().Get("from") != "7" {
			io.WriteString(rw, w.instances())
			return
		}
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(hold) * time.Millisecond):
			io.WriteString(rw, `{"generation":7,"reset":false,"instances":[]}`)
		case <-r.Context().Done():
		}
	})
	go http.Serve(l, mux)
	return l.Addr().String(), nil
}
