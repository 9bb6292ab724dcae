// Package admin implements the line protocol of the admin server, which operators call on an
// address of its own. Each connection carries one line, the name of a call; the first line of
// the reply starts with YES or NO. The package owns connections and their bounds; the calls
// are handlers that the program supplies.
package admin

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"strings"
	"sync"
	"time"
	"unicode/utf8"
)

// Bounds on a caller.
const (
	maxLineBytes = 128             // including the line's end
	lineTimeout  = 2 * time.Second // for the whole line, counted from the start of the connection
	writeTimeout = time.Second     // for sending the reply
)

// Handler returns the complete reply to a call.
type Handler func() string

// Server answers calls by name.
type Server struct {
	log         *slog.Logger
	handlers    map[string]Handler
	lineTimeout time.Duration
	maxCallers  int // at the same time

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	callers  list.List // of net.Conn, oldest first
	running  sync.WaitGroup
}

// New returns a server with these handlers by name of call. Beyond maxCallers, each new caller
// has the oldest one closed.
func New(log *slog.Logger, handlers map[string]Handler, maxCallers int) *Server {
	return &Server{log: log, handlers: handlers, lineTimeout: lineTimeout, maxCallers: max(maxCallers, 1)}
}

// Serve answers calls on a listener until Close. After an error from Accept, such as no free
// file descriptor, it retries.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		listener.Close()
	}
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.log.Warn("mgmt: accepting a caller failed, retrying", "err", err)
			time.Sleep(10 * time.Millisecond) // a lasting error must not make this a busy loop
			continue
		}
		element := s.addCaller(conn)
		s.running.Go(func() { s.serveCaller(conn, element) })
	}
}

// Close closes the listener and all callers, and waits for running calls.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	for element := s.callers.Front(); element != nil; element = element.Next() {
		element.Value.(net.Conn).Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// addCaller adds a caller, and closes the oldest one if there are too many.
func (s *Server) addCaller(conn net.Conn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers.Len() >= s.maxCallers {
		s.callers.Remove(s.callers.Front()).(net.Conn).Close()
	}
	return s.callers.PushBack(conn)
}

// serveCaller reads one line and writes the reply to it.
func (s *Server) serveCaller(conn net.Conn, element *list.Element) {
	defer func() {
		if panicked := recover(); panicked != nil {
			s.log.Error("panic", "value", panicked, "stack", string(debug.Stack()))
		}
		s.mu.Lock()
		s.callers.Remove(element) // no effect if addCaller has removed it
		s.mu.Unlock()
		conn.Close()
	}()
	conn.SetReadDeadline(time.Now().Add(s.lineTimeout))
	line, err := readLine(conn)
	if err != nil && line == "" && errors.Is(err, io.EOF) {
		return // the caller left without sending anything
	}
	reply := s.reply(line, err)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	io.WriteString(conn, reply)
}

func (s *Server) reply(line string, err error) string {
	if err != nil {
		return fmt.Sprintf("NO %v\n", err)
	}
	handler := s.handlers[line]
	if handler == nil {
		return fmt.Sprintf("NO unknown call %.40q\n", line)
	}
	return handler()
}

var (
	errLineTooLong    = fmt.Errorf("a line has %d bytes at most", maxLineBytes)
	errLineTimeout    = errors.New("the line did not end in time")
	errLineIncomplete = fmt.Errorf("the line has no end: %w", io.EOF)
	errLineNotText    = errors.New("the line is no text")
)

// readLine reads one line and returns it without its end.
func readLine(conn net.Conn) (string, error) {
	raw, err := bufio.NewReaderSize(io.LimitReader(conn, maxLineBytes), maxLineBytes).ReadSlice('\n')
	var netErr net.Error
	switch {
	case err == nil:
	case errors.As(err, &netErr) && netErr.Timeout():
		return "", errLineTimeout
	case len(raw) >= maxLineBytes:
		return "", errLineTooLong
	case errors.Is(err, io.EOF) && len(raw) > 0:
		return string(raw), errLineIncomplete
	default:
		return "", err
	}
	line := bytes.TrimRight(raw, "\r\n")
	if !utf8.Valid(line) || bytes.ContainsFunc(line, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return "", errLineNotText
	}
	return strings.TrimSpace(string(line)), nil
}
