package platform

import (
	"net"
	"testing"
	"time"
)

// The eviction order: a silent connection first, then one that is idle after an answer, then those with an
// unfinished first request, of which the one that has sent nothing for longest goes first.
func TestEvict_Order(t *testing.T) {
	now := time.Now()
	l := newListener(nil, 6)
	add := func(ageMs, quietMs int, served, reading bool) *clientConn {
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		c := &clientConn{Conn: near, listener: l, acceptedAt: now.Add(-time.Duration(ageMs) * time.Millisecond), served: served}
		c.requestStarted.Store(reading)
		c.lastRead.Store(-int64(time.Duration(quietMs) * time.Millisecond))
		c.waitingElement = l.waiting.PushBack(c)
		l.open++
		return c
	}
	names := map[*clientConn]string{
		add(2000, 60, false, true): "a slow writer", add(1900, 1900, true, true): "a later request begun", add(600, 600, false, false): "silent",
		add(500, 500, true, false): "idle", add(10, 10, false, false): "new", add(400, 390, false, true): "one that has stopped writing",
	}
	for _, want := range []struct{ who, why string }{
		{"silent", "silent"}, {"idle", "idle"}, {"one that has stopped writing", "unfinished"}, {"a slow writer", "unfinished"}, {"new", "unfinished"},
	} {
		c, why := l.evictIfFull(now)
		if names[c] != want.who || why != want.why {
			t.Fatalf("evicted %q as %q, want %q", names[c], why, want.who)
		}
		l.open++ // the new one takes its place
	}
	if c, _ := l.evictIfFull(now); c != nil {
		t.Errorf("evicted %q, which must get an answer", names[c])
	}
	// Shared between two processes, each keeps to half and closes excess connections without a request.
	l = newListener(nil, 6)
	for range 6 {
		add(1000, 1000, true, false)
	}
	if l.share(2); l.open != 3 || l.limit != 3 {
		t.Errorf("shared by two: %d open, limit %d, want 3 of 3", l.open, l.limit)
	}
	if l.share(1); l.limit != 6 {
		t.Errorf("limit %d for a single process, want 6", l.limit)
	}
}
