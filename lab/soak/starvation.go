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

// This file records when gateways wait for a processor. A runnable process that gets none is late through no fault of its own. The
// kernel counts that time for each thread; a process that is stopped, blocked or running adds nothing to it.

// starvationInterval is the interval at which the counters are read.
const starvationInterval = 50 * time.Millisecond

// runDelays maps each thread of a process to the time for which it was runnable but not running.
type runDelays map[string]time.Duration

// readRunDelays reads the run delays of a process; nil if the kernel does not report them or the process has exited.
func readRunDelays(pid int) runDelays {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return nil
	}
	delays := runDelays{}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has exited
		}
		fields := bytes.Fields(raw) // ns running, ns waiting to run, number of time slices
		if len(fields) < 2 {
			return nil
		}
		if ns, err := strconv.ParseInt(string(fields[1]), 10, 64); err == nil {
			delays[file] = time.Duration(ns)
		}
	}
	return delays
}

// maxIncrease returns the largest increase of any thread's delay since an earlier reading.
func (d runDelays) maxIncrease(before runDelays) (longest time.Duration) {
	for thread, now := range d {
		longest = max(longest, now-before[thread])
	}
	return longest
}

// kernelHz is the unit of /proc/stat: ticks per second.
const kernelHz = 100

// readStealTime returns the steal time summed over processors: for how long the host of a virtual machine ran other work in its place.
func readStealTime() time.Duration {
	raw, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	const stealField = 8 // in the first line: cpu, user, nice, system, idle, iowait, irq, softirq, steal
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

// watchStarvation records the times for which gateways waited for a processor, until ctx ends.
func (tb *testbed) watchStarvation(ctx context.Context) {
	last, lastSteal := make([]runDelays, len(tb.gateways)), readStealTime()
	for start := time.Now(); sleep(ctx, starvationInterval); {
		now := time.Now()
		for i, g := range tb.gateways {
			g.mu.Lock()
			pid := g.cmd.Process.Pid
			g.mu.Unlock()
			delays := readRunDelays(pid)
			if last[i] != nil {
				tb.checker.recordLateness(lateKind(fmt.Sprintf("gateway %d got a processor", i)), start, delays.maxIncrease(last[i]))
			}
			last[i] = delays
		}
		steal := readStealTime()
		tb.checker.recordLateness(lateHost, start, steal-lastSteal)
		start, lastSteal = now, steal
	}
}
