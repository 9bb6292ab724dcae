// Package prefix provides an LRU table of the prompt prefixes in the prefix caches of servers:
// runs of leading blocks, limited in the number of blocks and in age. The cost of looking up or
// recording a prompt does not depend on the size of the table. It makes no routing decisions.
package prefix

import (
	"container/list"
	"time"
)

// Key identifies a run: a prefix shared by sessions, or what follows it in one session.
type Key struct {
	Hash       uint64
	PerSession bool // the run belongs to one session, not to a shared prefix
}

// Part is a run of a prompt's leading blocks.
type Part struct {
	Key
	Blocks int
}

// ServerRuns indexes the runs of one server by key. A Table fills it.
type ServerRuns map[Key]*list.Element

// run is a table entry: a run that one server has probably cached.
type run struct {
	Part
	server    ServerRuns
	confirmed int     // how many of its blocks come from finished prefills
	uses      float64 // prompts sent to the server that begin with it
	lastUsed  time.Duration
}

// Table holds the runs of all servers.
type Table struct {
	MaxBlocks int
	Expiry    time.Duration // since last use

	runs   list.List // of *run, most recently used first
	blocks int
	uses   float64
}

// Len returns the number of runs, Blocks the number of their blocks, and TotalUses how often
// prompts were sent to a server that begin with one of its shared runs.
func (t *Table) Len() int           { return t.runs.Len() }
func (t *Table) Blocks() int        { return t.blocks }
func (t *Table) TotalUses() float64 { return t.uses }

// Match counts the leading blocks of a prompt that a server has probably cached, and how many of
// these are confirmed by a finished prefill.
func (t *Table) Match(now time.Duration, server ServerRuns, prompt []Part) (blocks, confirmed int) {
	for _, part := range prompt {
		found := run{}
		if e := server[part.Key]; e != nil && now-e.Value.(*run).lastUsed < t.Expiry {
			found = *e.Value.(*run)
		}
		if confirmed == blocks {
			confirmed += min(found.confirmed, part.Blocks)
		}
		if blocks += min(found.Blocks, part.Blocks); found.Blocks < part.Blocks {
			break
		}
	}
	return blocks, confirmed
}

// Record notes that a prompt was sent to a server or, if confirmed is set, that its prefill there
// has finished. It also drops expired runs and those beyond MaxBlocks, so that the table does not
// grow with time.
func (t *Table) Record(now time.Duration, server ServerRuns, prompt []Part, confirmed bool) {
	for _, part := range prompt {
		if part.Blocks == 0 {
			continue
		}
		if server[part.Key] == nil {
			server[part.Key] = t.runs.PushFront(&run{Part: Part{Key: part.Key}, server: server})
		}
		t.runs.MoveToFront(server[part.Key])
		e := server[part.Key].Value.(*run)
		t.blocks += max(part.Blocks-e.Blocks, 0)
		if e.Blocks, e.lastUsed = max(e.Blocks, part.Blocks), now; confirmed {
			e.confirmed = max(e.confirmed, part.Blocks)
		} else if !part.PerSession {
			e.uses++
			t.uses++
		}
	}
	for e := t.runs.Back(); e != nil; e = t.runs.Back() {
		if t.blocks <= t.MaxBlocks && now-e.Value.(*run).lastUsed < t.Expiry {
			break
		}
		t.remove(e)
	}
}

// UsesOf returns how many prompts were sent to a server that begin with a run.
func (t *Table) UsesOf(server ServerRuns, key Key) float64 {
	if e := server[key]; e != nil {
		return e.Value.(*run).uses
	}
	return 0
}

// DropOlderThan drops the runs of a server that were last used before a time.
func (t *Table) DropOlderThan(server ServerRuns, before time.Duration) {
	for _, e := range server {
		if e.Value.(*run).lastUsed < before {
			t.remove(e)
		}
	}
}

func (t *Table) remove(e *list.Element) {
	r := t.runs.Remove(e).(*run)
	t.blocks, t.uses = t.blocks-r.Blocks, t.uses-r.uses
	delete(r.server, r.Key)
}
