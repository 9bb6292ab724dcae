// Package handover lets the processes that serve one gateway's address discover each other
// while a new version replaces an old one: which processes there are, their states, and
// which members each has noted. It also shares the address between their listeners and passes
// messages with open connections from one process to another. It does not decide when a
// process starts or stops, and does not know what the messages mean.
//
// Membership is shared through a directory, without messages. Each process holds a file there,
// locked for as long as it lives. The kernel drops the lock however the process ends, so a stale
// file can be distinguished from a living process without a clock. A file's content is used only if it
// can be read as a whole.
package handover

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
)

// State is the lifecycle state of a process.
type State string

// The states, in their order.
const (
	Starting State = "starting"
	Serving  State = "serving" // it accepts clients
	Leaving  State = "leaving" // it finishes the requests that it has accepted
)

// Member is a living process of the gateway.
type Member struct {
	Name      string  `json:"name"`
	StartedAt float64 `json:"since"` // start time in ms, by the machine's clock
	State     State   `json:"state"`
	// Noted holds the names of the members that the process has noted, itself included.
	Noted []string `json:"sees"`
}

const (
	memberFileSuffix = ".member"
	memberFileBytes  = 4096 // fixed length of a file; a list of members that does not fit is an error
	maxMembers       = 64   // read at most; a directory with more was not made by this package
)

// Group is this process's membership among the processes of one address. Its methods may be
// called from several goroutines.
type Group struct {
	dir string

	mu   sync.Mutex
	file *os.File
	self Member
}

// Join registers this process, in state Starting, in the directory for an address under dir.
// startedAt is the process's start time in ms. On an error, the process can still serve alone.
func Join(dir, address, name string, startedAt float64) (*Group, error) {
	h := fnv.New64a()
	h.Write([]byte(address))
	g := &Group{dir: filepath.Join(dir, fmt.Sprintf("ashwood-%016x", h.Sum64())), self: Member{Name: name, StartedAt: startedAt, State: Starting}}
	if err := os.MkdirAll(g.dir, 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	// The file gets its final name once it is locked: without the lock it would look stale.
	f, err := os.CreateTemp(g.dir, "new-")
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	g.file = f
	if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
		if err = g.write(); err == nil {
			err = os.Rename(f.Name(), g.path(name))
		}
	}
	if err != nil {
		os.Remove(f.Name())
		f.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return g, nil
}

func (g *Group) path(name string) string { return filepath.Join(g.dir, name+memberFileSuffix) }

// Leave removes this process from the group.
func (g *Group) Leave() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return errors.Join(os.Remove(g.path(g.self.Name)), g.file.Close())
}

// SetState publishes the state of this process.
func (g *Group) SetState(s State) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.State = s
	return g.write()
}

// Self returns this process as it is published to the others.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// NoteMembers publishes the members that this process has noted, once it acts on them.
func (g *Group) NoteMembers(members []Member) error {
	noted := make([]string, len(members))
	for i, m := range members {
		noted[i] = m.Name
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(noted, g.self.Noted) {
		return nil
	}
	g.self.Noted = noted
	return g.write()
}

// write writes this process's entry to its file, in one call and always with the same length.
func (g *Group) write() error {
	raw, err := json.Marshal(g.self)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(raw) > memberFileBytes {
		return fmt.Errorf("handover: %d noted members do not fit into the member file", len(g.self.Noted))
	}
	text := append(raw, strings.Repeat(" ", memberFileBytes-len(raw))...)
	if _, err := g.file.WriteAt(text, 0); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Members returns the living processes, this one included, oldest first. It removes the files
// of processes that have ended. A process whose file can't be read still counts as living.
func (g *Group) Members() ([]Member, error) {
	self := g.Self()
	entries, err := os.ReadDir(g.dir)
	if err != nil {
		return []Member{self}, fmt.Errorf("handover: %w", err)
	}
	members := []Member{self}
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), memberFileSuffix)
		if !ok || name == self.Name || len(members) == maxMembers {
			continue
		}
		if m, alive := g.readMember(name); alive {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Name, b.Name))
	})
	return members, nil
}

// readMember reads another process's file, and removes it if no process holds its lock.
func (g *Group) readMember(name string) (m Member, alive bool) {
	f, err := os.Open(g.path(name))
	if err != nil {
		return m, false // it has just left
	}
	defer f.Close()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		os.Remove(g.path(name))
		return m, false
	}
	raw := make([]byte, memberFileBytes)
	n, _ := f.ReadAt(raw, 0)
	if json.Unmarshal(raw[:n], &m) != nil {
		m = Member{State: Starting}
	}
	m.Name = name // whatever the file says
	return m, true
}
