package main

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"

	"ashwood.example/ashwood/internal/admin"
)

// phase is how far the process has come, as operators are told.
type phase struct{ atomic.Pointer[string] }

func (p *phase) set(word string) { p.Store(&word) }

func (p *phase) word() string { return *p.Load() }

// Callers that the admin server holds at once, by the sockets that the machine allows.
const socketsACaller, leastCallers, mostCallers = 32, 4, 16

// openAdmin serves operators at an address; without one it gives nil.
func openAdmin(addr string, sockets int, p *phase, vars func() string, log *slog.Logger) (*admin.Server, net.Addr, error) {
	if addr == "" {
		return nil, nil, nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, fmt.Errorf("mgmt: %w", err)
	}
	server := admin.New(log, map[string]admin.Call{
		"check": func() string {
			if word := p.word(); word != serving {
				return "NO " + word + "\n"
			}
			return "YES\n"
		},
		"vars": vars,
	}, min(max(sockets/socketsACaller, leastCallers), mostCallers))
	go server.Serve(l)
	return server, l.Addr(), nil
}

// The phases of a process.
const (
	starting = "starting"
	serving  = "serving"
	stopping = "stopping"
)

// metricsReply is the reply to vars: what the platform's front counts, then END.
func metricsReply(f front) string {
	var b strings.Builder
	b.WriteString("YES\n")
	if err := f.vars(&b); err != nil {
		return fmt.Sprintf("NO %v\n", err)
	}
	b.WriteString("END\n")
	return b.String()
}
