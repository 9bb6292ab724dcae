// Package standin holds what the cases of the second review share: the platform, discovery, engines and clients
// that stand in for the real ones, and the record of what they saw. It speaks to the gateway over sockets alone.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record writes what was sent, answered and run, each line with the ms since the start.
type Record struct {
	mu       sync.Mutex
	file     *os.File
	started  time.Time
	breaches int
}

// NewRecord creates the record of a case, or ends the process if it can't.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	return &Record{file: file, started: time.Now()}
}

// Now returns the ms since the start.
func (r *Record) Now() float64 { return float64(time.Since(r.started).Microseconds()) / 1000 }

// Log writes a line.
func (r *Record) Log(format string, args ...any) {
	line := fmt.Sprintf("%10.1f  %s\n", r.Now(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.WriteString(line)
}

// Broken writes a line about a broken rule, also to standard output.
func (r *Record) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Log("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.breaches++; r.breaches <= 10 {
		fmt.Println("BROKEN", text)
	}
}

// Finish closes the record and returns the exit code that follows from it.
func (r *Record) Finish() int {
	r.mu.Lock()
	n := r.breaches
	r.mu.Unlock()
	r.Log("end: %d breaches", n)
	r.file.Close()
	if n > 0 {
		fmt.Printf("the rule was broken %d times\n", n)
		return ExitBroken
	}
	fmt.Println("the rule held")
	return ExitHeld
}

// Trouble reports whether the disruption is to be played: the environment does not say TROUBLE=0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// NotRun says why a case could not run, and returns its exit code.
func NotRun(err error) int {
	fmt.Println("the case could not run:", err)
	return ExitNotRun
}
