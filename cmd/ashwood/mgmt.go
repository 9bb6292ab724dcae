package main

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"

	"ashwood.example/ashwood/internal/door"
)

// phase is how far the process has come, as operators are told.
type phase struct{ atomic.Pointer[string] }

func (p *phase) set(word string) { p.Store(&word) }

// Callers that the door holds at once, by the sockets that the machine allows.
const socketsACaller, leastCallers, mostCallers = 32, 4, 16

// openDoor opens the operators' door at an address; without one it gives nil.
func openDoor(addr string, sockets int, p *phase, vars func() string, log *slog.Logger) (*door.Door, net.Addr, error) {
	if addr == "" {
		return nil, nil, nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, fmt.Errorf("mgmt: %w", err)
	}
	d := door.New(log, map[string]door.Call{
		"check": func() string {
			if word := *p.Load(); word != serving {
				return "NO " + word + "\n"
			}
			return "YES\n"
		},
		"vars": vars,
	}, min(max(sockets/socketsACaller, leastCallers), mostCallers))
	go d.Serve(l)
	return d, l.Addr(), nil
}

// The phases of a process.
const (
	starting = "starting"
	serving  = "serving"
	stopping = "stopping"
)

// figuresReply is the reply to vars: what the platform's front counts, then END.
func figuresReply(f front) string {
	var b strings.Builder
	b.WriteString("YES\n")
	if err := f.vars(&b); err != nil {
		return fmt.Sprintf("NO %v\n", err)
	}
	b.WriteString("END\n")
	return b.String()
}
