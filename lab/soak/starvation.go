package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// This file notes when gateways wait for a processor. A process that can run and gets none is late by no fault of its own; the system
// counts that time for each thread, and a process that is stopped, blocked or busy adds nothing to it.

// starvedEvery is how often the counts are read.
const starvedEvery = 50 * time.Millisecond

// runDelays are the times, by thread, for which the threads of a process could run and did not.
type runDelays map[string]time.Duration

// readRunDelays reads them; nil where the system does not tell or the process has ended.
func readRunDelays(pid int) runDelays {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return nil
	}
	delays := runDelays{}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		fields := bytes.Fields(raw) // ns that it ran, ns that it waited to run, turns
		if len(fields) < 2 {
			return nil
		}
		if ns, err := strconv.ParseInt(string(fields[1]), 10, 64); err == nil {
			delays[file] = time.Duration(ns)
		}
	}
	return delays
}

// longest is for how long the thread that has waited longest has done so since earlier counts.
func (d runDelays) longest(before runDelays) (most time.Duration) {
	for thread, now := range d {
		most = max(most, now-before[thread])
	}
	return most
}

// kernelHz is how often a second the system counts the time of its processors.
const kernelHz = 100

// readSteal is for how long, summed over processors, the host of a virtual machine has run others in place of it.
func readSteal() time.Duration {
	raw, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	const stealField = 8 // of the first line: cpu, user, nice, system, idle, iowait, irq, softirq, steal
	line, _, _ := bytes.Cut(raw, []byte("\n"))
	fields := bytes.Fields(line)
	if len(fields) <= stealField {
		return 0
	}
	ticks, err := strconv.ParseInt(string(fields[stealField]), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ticks) * time.Second / kernelHz
}

// watchStarvation notes the times for which gateways waited for a processor, until ctx ends.
func (w *world) watchStarvation(ctx context.Context) {
	last, stolen := make([]runDelays, len(w.gateways)), readSteal()
	for begun := time.Now(); sleep(ctx, starvedEvery); {
		now := time.Now()
		for i, g := range w.gateways {
			g.mu.Lock()
			pid := g.cmd.Process.Pid
			g.mu.Unlock()
			delays := readRunDelays(pid)
			if last[i] != nil {
				w.check.wasLate(lateKind(fmt.Sprintf("gateway %d got a processor", i)), begun, delays.longest(last[i]))
			}
			last[i] = delays
		}
		steal := readSteal()
		w.check.wasLate(lateHost, begun, steal-stolen)
		begun, stolen = now, steal
	}
}
