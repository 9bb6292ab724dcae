// Package admin answers operators on an address of their own: each connection carries one
// line, and the reply is lines of which the first starts with YES or NO. It knows no engine
// and decides nothing.
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

// Bounds of what a caller may do.
const (
	maxLine   = 128             // bytes, with the line's end
	lineWait  = 2 * time.Second // for the line, from the connection's begin
	replyWait = time.Second     // for the reply to be taken
)

// Call answers one call with its whole reply.
type Call func() string

// Server serves calls by their names.
type Server struct {
	log   *slog.Logger
	calls map[string]Call
	wait  time.Duration // for a line
	most  int           // callers at once

	mu      sync.Mutex
	l       net.Listener
	closed  bool
	waiting list.List // of net.Conn, longest first
	running sync.WaitGroup
}

// New makes a server for these calls and at most so many callers at once: for one more, the
// one that has waited longest is closed.
func New(log *slog.Logger, calls map[string]Call, most int) *Server {
	return &Server{log: log, calls: calls, wait: lineWait, most: max(most, 1)}
}

// Serve answers on a listener until Close. A caller that fails to be accepted, for want of
// a descriptor say, is waited for: the server stays.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.l = l
	closed := s.closed
	s.mu.Unlock()
	if closed {
		l.Close()
	}
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.log.Warn("mgmt: a caller was not accepted", "err", err)
			time.Sleep(10 * time.Millisecond) // or this would be the busiest loop of all
			continue
		}
		place := s.enter(c)
		s.running.Go(func() { s.answer(c, place) })
	}
}

// Close ends the server and its calls.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.l != nil {
		s.l.Close()
	}
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) enter(c net.Conn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting.Len() >= s.most {
		s.waiting.Remove(s.waiting.Front()).(net.Conn).Close()
	}
	return s.waiting.PushBack(c)
}

func (s *Server) answer(c net.Conn, place *list.Element) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic", "value", p, "stack", string(debug.Stack()))
		}
		s.mu.Lock()
		s.waiting.Remove(place) // nothing, if it has been removed
		s.mu.Unlock()
		c.Close()
	}()
	c.SetReadDeadline(time.Now().Add(s.wait))
	line, err := readLine(c)
	if err != nil && line == "" && errors.Is(err, io.EOF) {
		return // it has left without a word
	}
	reply := s.reply(line, err)
	c.SetWriteDeadline(time.Now().Add(replyWait))
	io.WriteString(c, reply)
}

func (s *Server) reply(line string, err error) string {
	if err != nil {
		return fmt.Sprintf("NO %v\n", err)
	}
	call := s.calls[line]
	if call == nil {
		return fmt.Sprintf("NO unknown call %.40q\n", line)
	}
	return call()
}

var (
	errLong  = fmt.Errorf("a line has %d bytes at most", maxLine)
	errSlow  = errors.New("the line did not end in time")
	errShort = fmt.Errorf("the line has no end: %w", io.EOF)
	errText  = errors.New("the line is no text")
)

// readLine reads up to the line's end, which is not part of it.
func readLine(c net.Conn) (string, error) {
	raw, err := bufio.NewReaderSize(io.LimitReader(c, maxLine), maxLine).ReadSlice('\n')
	var timeout net.Error
	switch {
	case err == nil:
	case errors.As(err, &timeout) && timeout.Timeout():
		return "", errSlow
	case len(raw) >= maxLine:
		return "", errLong
	case errors.Is(err, io.EOF) && len(raw) > 0:
		return string(raw), errShort
	default:
		return "", err
	}
	line := bytes.TrimRight(raw, "\r\n")
	if !utf8.Valid(line) || bytes.ContainsFunc(line, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return "", errText
	}
	return strings.TrimSpace(string(line)), nil
}
