package main

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"

	"ashwood.example/ashwood/internal/admin"
)

// phase is the phase of the process, as the admin server and log records report it.
type phase struct{ atomic.Pointer[string] }

func (p *phase) set(name string) { p.Store(&name) }

func (p *phase) current() string { return *p.Load() }

// The admin server holds one caller for every socketsPerCaller allowed sockets, within these
// bounds.
const socketsPerCaller, minCallers, maxCallers = 32, 4, 16

// openAdmin starts the admin server at an address; without an address it returns nil.
func openAdmin(addr string, sockets int, p *phase, vars func() string, log *slog.Logger) (*admin.Server, net.Addr, error) {
	if addr == "" {
		return nil, nil, nil
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, fmt.Errorf("mgmt: %w", err)
	}
	server := admin.New(log, map[string]admin.Handler{
		"check": func() string {
			if current := p.current(); current != serving {
				return "NO " + current + "\n"
			}
			return "YES\n"
		},
		"vars": vars,
	}, min(max(sockets/socketsPerCaller, minCallers), maxCallers))
	go server.Serve(listener)
	return server, listener.Addr(), nil
}

// The phases of a process.
const (
	starting = "starting"
	serving  = "serving"
	stopping = "stopping"
)

// metricsReply returns the reply to vars: a front's metrics, then END.
func metricsReply(f front) string {
	var reply strings.Builder
	reply.WriteString("YES\n")
	if err := f.writeMetrics(&reply); err != nil {
		return fmt.Sprintf("NO %v\n", err)
	}
	reply.WriteString("END\n")
	return reply.String()
}
