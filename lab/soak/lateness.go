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

// This file records how late the soak process and its machine are. Engines, clients, faults and the checker share one process, and one
// machine with the gateways: a hold that lasts too long, or an event that is read late, may be due to their own lateness. A recorded
// lateness excuses nothing; it is printed with the violations that it may explain.

// lateKind names a part of the soak process, or of its machine, that may be late. The text is printed.
type lateKind string

// The kinds of lateness.
const (
	lateFault  lateKind = "a fault began"           // after its time in the scenario
	lateEngine lateKind = "an engine read a call"   // after the arrival of its last byte
	lateSweep  lateKind = "the checker's sweep ran" // after its scheduled time
	lateTimer  lateKind = "a timer fired"
	lateClient lateKind = "a client read an event" // after the arrival of its last byte
	lateEnd    lateKind = "a killed gateway ended"
	lateHost   lateKind = "the host gave processors"
)

// latenessRecord is one lateness: what was to happen at the time at happened later by delay.
type latenessRecord struct {
	kind  lateKind
	at    time.Time
	delay time.Duration
}

// minLateness is the smallest lateness that is recorded; it exceeds a tick of the kernel's clock.
const minLateness = 20 * time.Millisecond

// recordLateness records a lateness. The caller does not hold the lock.
func (c *checker) recordLateness(kind lateKind, at time.Time, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLatenessLocked(kind, at, by)
}

// recordLatenessLocked is recordLateness for callers that hold the lock.
func (c *checker) recordLatenessLocked(kind lateKind, at time.Time, by time.Duration) {
	if by >= minLateness {
		c.lateness = append(c.lateness, latenessRecord{kind, at, by})
	}
}

// describeLateness describes, by kind, the worst lateness between two times. The caller holds the lock.
func (c *checker) describeLateness(from, to time.Time) (lines []string) {
	count, worst := map[lateKind]int{}, map[lateKind]latenessRecord{}
	for _, m := range c.lateness {
		if m.at.After(to) || m.at.Add(m.delay).Before(from) {
			continue
		}
		count[m.kind]++
		if m.delay > worst[m.kind].delay {
			worst[m.kind] = m
		}
	}
	for kind, m := range worst {
		lines = append(lines, fmt.Sprintf("late: %s late %d times, the worst by %v at %.3f", kind, count[kind], m.delay.Round(time.Millisecond), m.at.Sub(c.start).Seconds()))
	}
	slices.Sort(lines)
	return lines
}

// latenessText describes the lateness of the whole run.
func (c *checker) latenessText() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := c.describeLateness(time.Time{}, time.Now())
	if len(lines) == 0 {
		return fmt.Sprintf("  late: nothing, by %v or more\n", minLateness)
	}
	return "  " + strings.Join(lines, "\n  ") + "\n"
}

// lastArrival returns when the last byte received on a connection reached this machine, independent of when it is read.
// The kernel reports the time in ticks; the result is late by at most one of them.
func lastArrival(socket syscall.Conn, now time.Time) time.Time {
	info, err := kernelInfo(socket)
	if err != nil {
		return now
	}
	behind := time.Duration(info.Last_data_recv)*time.Millisecond - kernelTick
	return now.Add(-max(behind, 0))
}

// lastDeparture returns when the last byte written to a connection was sent, independent of when its writer resumes.
func lastDeparture(socket syscall.Conn, now time.Time) time.Time {
	info, err := kernelInfo(socket)
	if err != nil {
		return now
	}
	behind := time.Duration(info.Last_data_sent)*time.Millisecond - kernelTick
	return now.Add(-max(behind, 0))
}

// kernelTick is the longest tick of a kernel's clock (100 Hz).
const kernelTick = 10 * time.Millisecond

func kernelInfo(socket syscall.Conn) (info *unix.TCPInfo, err error) {
	err = sockcall.Do(socket, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err
}
