// Package handover lets the processes that serve one gateway's address know of one another
// while a new version takes an old one's place: which there are, how far each has come, and
// what each has taken note of. They meet in a folder; nothing is sent.
//
// Each process holds a file there, locked for as long as it lives: the kernel drops the lock
// however the process ends, so that a stale file is told from a living process without a
// clock. What a file says is read whole or believed not at all.
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

// State is how far a process has come.
type State string

// The states, in their order.
const (
	Starting State = "starting"
	Serving  State = "serving" // it takes clients
	Leaving  State = "leaving" // it finishes what it has taken
)

// Member is a living process of the gateway.
type Member struct {
	Name      string  `json:"name"`
	StartedAt float64 `json:"since"` // ms of its start, by the machine's clock
	State     State   `json:"state"`
	// Sees are the members that it had taken note of, itself among them.
	Noted []string `json:"sees"`
}

const (
	fileSuffix = ".member"
	fileBytes  = 4096 // a file's whole length; more members than fit are not told
	maxMembers = 64   // looked at; a folder with more is not ours
)

// Group is this process's place among the members. Its methods may be called from several
// goroutines.
type Group struct {
	dir string

	mu   sync.Mutex
	file *os.File
	self Member
}

// Join takes a place in the folder for an address under dir, as a process that starts.
// Since is the ms of its start. The error says why there is none; the process can serve alone.
func Join(dir, address, name string, since float64) (*Group, error) {
	h := fnv.New64a()
	h.Write([]byte(address))
	g := &Group{dir: filepath.Join(dir, fmt.Sprintf("ashwood-%016x", h.Sum64())), self: Member{Name: name, StartedAt: since, State: Starting}}
	if err := os.MkdirAll(g.dir, 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	// The file gets its name once it is locked: before, it would look stale.
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

func (g *Group) path(name string) string { return filepath.Join(g.dir, name+fileSuffix) }

// Leave gives the place up.
func (g *Group) Leave() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return errors.Join(os.Remove(g.path(g.self.Name)), g.file.Close())
}

// Tell says how far this process has come.
func (g *Group) SetState(s State) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.State = s
	return g.write()
}

// Self is this process as the others are told of it.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Note says which members this process has taken note of, once it acts on it.
func (g *Group) NoteMembers(members []Member) error {
	sees := make([]string, len(members))
	for i, m := range members {
		sees[i] = m.Name
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(sees, g.self.Noted) {
		return nil
	}
	g.self.Noted = sees
	return g.write()
}

// write has the file say what this process is, in one call and always at the same length.
func (g *Group) write() error {
	raw, err := json.Marshal(g.self)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(raw) > fileBytes {
		return fmt.Errorf("handover: %d members are too many to tell of", len(g.self.Noted))
	}
	text := append(raw, strings.Repeat(" ", fileBytes-len(raw))...)
	if _, err := g.file.WriteAt(text, 0); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Members gives the living processes, this one among them, oldest first. Files of those
// that have ended are taken away. One whose file can't be read lives all the same.
func (g *Group) Members() ([]Member, error) {
	self := g.Self()
	entries, err := os.ReadDir(g.dir)
	if err != nil {
		return []Member{self}, fmt.Errorf("handover: %w", err)
	}
	members := []Member{self}
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), fileSuffix)
		if !ok || name == self.Name || len(members) == maxMembers {
			continue
		}
		if m, alive := g.look(name); alive {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Name, b.Name))
	})
	return members, nil
}

// look reads another's file, and takes it away if nobody holds it any more.
func (g *Group) look(name string) (m Member, alive bool) {
	f, err := os.Open(g.path(name))
	if err != nil {
		return m, false // it has just left
	}
	defer f.Close()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		os.Remove(g.path(name))
		return m, false
	}
	raw := make([]byte, fileBytes)
	n, _ := f.ReadAt(raw, 0)
	if json.Unmarshal(raw[:n], &m) != nil {
		m = Member{State: Starting}
	}
	m.Name = name // whatever it says
	return m, true
}
