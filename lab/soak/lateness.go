package soak

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ashwood.example/ashwood/internal/sockcall"
)

// This file notes how late the soak itself and its machine are. Engines, clients, faults and the checker share one process, and a machine
// with what they judge: a hold that is too long, or an event that comes late, may be their own lateness. It excuses nothing; it is
// printed with what it may explain.

// lateKind is a part of the soak that may be late.
type lateKind string

// The parts.
const (
	lateFault  lateKind = "a fault began"           // behind its time in the story
	lateEngine lateKind = "an engine read a call"   // behind the arrival of its last byte
	lateSweep  lateKind = "the checker's sweep ran" // behind its time
	lateTimer  lateKind = "a timer fired"
	lateClient lateKind = "a client read an event" // behind the arrival of its last byte
	lateEnd    lateKind = "a killed gateway ended"
	lateHost   lateKind = "the host gave processors"
)

// lateMoment is one lateness: what was to happen by at has happened so much later.
type lateMoment struct {
	kind lateKind
	at   time.Time
	by   time.Duration
}

// leastNoted is what is worth a note; it is more than a tick of the kernel's clock.
const leastNoted = 20 * time.Millisecond

// wasLate notes a lateness. The lock is not held.
func (c *checker) wasLate(kind lateKind, at time.Time, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteLate(kind, at, by)
}

// noteLate is wasLate with the lock held.
func (c *checker) noteLate(kind lateKind, at time.Time, by time.Duration) {
	if by >= leastNoted {
		c.lateness = append(c.lateness, lateMoment{kind, at, by})
	}
}

// latenessIn describes, by kind, the worst lateness that lies between two times; the lock is held.
func (c *checker) latenessIn(from, to time.Time) (lines []string) {
	count, worst := map[lateKind]int{}, map[lateKind]lateMoment{}
	for _, m := range c.lateness {
		if m.at.After(to) || m.at.Add(m.by).Before(from) {
			continue
		}
		count[m.kind]++
		if m.by > worst[m.kind].by {
			worst[m.kind] = m
		}
	}
	for kind, m := range worst {
		lines = append(lines, fmt.Sprintf("late: %s late %d times, the worst by %v at %.3f", kind, count[kind], m.by.Round(time.Millisecond), m.at.Sub(c.begun).Seconds()))
	}
	slices.Sort(lines)
	return lines
}

// latenessText describes that of a whole run.
func (c *checker) latenessText() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := c.latenessIn(time.Time{}, time.Now())
	if len(lines) == 0 {
		return fmt.Sprintf("  late: nothing, by %v or more\n", leastNoted)
	}
	return "  " + strings.Join(lines, "\n  ") + "\n"
}

// arrival gives when the last byte that has come on a connection reached this machine, however late it is read here.
// The kernel counts in its ticks.
func arrival(socket syscall.Conn, now time.Time) time.Time {
	info, err := kernelInfo(socket)
	if err != nil {
		return now
	}
	behind := time.Duration(info.Last_data_recv)*time.Millisecond - kernelTick
	return now.Add(-max(behind, 0))
}

// departure gives when the last byte that was written to a connection has left, however late its writer goes on.
func departure(socket syscall.Conn, now time.Time) time.Time {
	info, err := kernelInfo(socket)
	if err != nil {
		return now
	}
	behind := time.Duration(info.Last_data_sent)*time.Millisecond - kernelTick
	return now.Add(-max(behind, 0))
}

// kernelTick is the longest tick of a kernel's clock.
const kernelTick = 10 * time.Millisecond

func kernelInfo(socket syscall.Conn) (info *unix.TCPInfo, err error) {
	err = sockcall.Do(socket, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err
}
