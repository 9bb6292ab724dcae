// Package door answers operators on an address of their own: each connection carries one
// line, and the reply is lines of which the first starts with YES or NO. It knows no engine
// and decides nothing.
package door

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

// Door serves calls by their names.
type Door struct {
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

// New makes a door for these calls and at most so many callers at once: for one more, the
// one that has waited longest is closed.
func New(log *slog.Logger, calls map[string]Call, most int) *Door {
	return &Door{log: log, calls: calls, wait: lineWait, most: max(most, 1)}
}

// Serve answers on a listener until Close. A caller that fails to be accepted, for want of
// a descriptor say, is waited for: the door stays.
func (d *Door) Serve(l net.Listener) error {
	d.mu.Lock()
	d.l = l
	closed := d.closed
	d.mu.Unlock()
	if closed {
		l.Close()
	}
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			d.log.Warn("mgmt: a caller was not accepted", "err", err)
			time.Sleep(10 * time.Millisecond) // or this would be the busiest loop of all
			continue
		}
		place := d.enter(c)
		d.running.Go(func() { d.answer(c, place) })
	}
}

// Close ends the door and its calls.
func (d *Door) Close() {
	d.mu.Lock()
	d.closed = true
	if d.l != nil {
		d.l.Close()
	}
	for e := d.waiting.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	d.mu.Unlock()
	d.running.Wait()
}

func (d *Door) enter(c net.Conn) *list.Element {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting.Len() >= d.most {
		d.waiting.Remove(d.waiting.Front()).(net.Conn).Close()
	}
	return d.waiting.PushBack(c)
}

func (d *Door) answer(c net.Conn, place *list.Element) {
	defer func() {
		if p := recover(); p != nil {
			d.log.Error("panic", "value", p, "stack", string(debug.Stack()))
		}
		d.mu.Lock()
		d.waiting.Remove(place) // nothing, if it has been removed
		d.mu.Unlock()
		c.Close()
	}()
	c.SetReadDeadline(time.Now().Add(d.wait))
	line, err := readLine(c)
	if err != nil && line == "" && errors.Is(err, io.EOF) {
		return // it has left without a word
	}
	reply := d.reply(line, err)
	c.SetWriteDeadline(time.Now().Add(replyWait))
	io.WriteString(c, reply)
}

func (d *Door) reply(line string, err error) string {
	if err != nil {
		return fmt.Sprintf("NO %v\n", err)
	}
	call := d.calls[line]
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
