// Package prefix is the table of what servers keep of prompts: runs of leading
// blocks, latest used first, bounded in blocks and in age. Looking a prompt up and
// noting one costs the same whatever the table holds. Nothing is decided here.
package prefix

import (
	"container/list"
	"time"
)

// Key names a run: a beginning shared by sessions, or what follows it in one.
type Key struct {
	Hash       uint64
	PerSession bool // of a session, not of a shared prefix
}

// Part is a run of a prompt's leading blocks.
type Part struct {
	Key
	Blocks int
}

// Held is what one server keeps, by run. A Table fills it.
type ServerRuns map[Key]*list.Element

// run is an entry of the table.
type run struct {
	Part
	held ServerRuns
	sure int           // of its blocks, those of reads that have finished
	uses float64       // prompts sent there that begin with it
	at   time.Duration // last used
}

// Table is the runs of all servers.
type Table struct {
	MaxBlocks int
	Expiry    time.Duration // since last use

	runs   list.List // of *run, latest used first
	blocks int
	uses   float64
}

// Len is the number of runs, Blocks that of their blocks, and Uses how often
// prompts were sent to a server that begin with one of its shared runs.
func (t *Table) Len() int           { return t.runs.Len() }
func (t *Table) Blocks() int        { return t.blocks }
func (t *Table) TotalUses() float64 { return t.uses }

// Match counts the leading blocks of a prompt that a server holds, and those
// that it surely holds.
func (t *Table) Match(now time.Duration, held ServerRuns, prompt []Part) (blocks, sure int) {
	for _, part := range prompt {
		has := run{}
		if e := held[part.Key]; e != nil && now-e.Value.(*run).at < t.Expiry {
			has = *e.Value.(*run)
		}
		if sure == blocks {
			sure += min(has.sure, part.Blocks)
		}
		if blocks += min(has.Blocks, part.Blocks); has.Blocks < part.Blocks {
			break
		}
	}
	return blocks, sure
}

// Record notes that a server reads a prompt, or, for sure, that it has. What
// has expired is dropped, so that the table does not grow with time.
func (t *Table) Record(now time.Duration, held ServerRuns, prompt []Part, sure bool) {
	for _, part := range prompt {
		if part.Blocks == 0 {
			continue
		}
		if held[part.Key] == nil {
			held[part.Key] = t.runs.PushFront(&run{Part: Part{Key: part.Key}, held: held})
		}
		t.runs.MoveToFront(held[part.Key])
		e := held[part.Key].Value.(*run)
		t.blocks += max(part.Blocks-e.Blocks, 0)
		if e.Blocks, e.at = max(e.Blocks, part.Blocks), now; sure {
			e.sure = max(e.sure, part.Blocks)
		} else if !part.PerSession {
			e.uses++
			t.uses++
		}
	}
	for e := t.runs.Back(); e != nil; e = t.runs.Back() {
		if t.blocks <= t.MaxBlocks && now-e.Value.(*run).at < t.Expiry {
			break
		}
		t.forget(e)
	}
}

// Used is how many prompts were sent to a server that begin with a run.
func (t *Table) UsesOf(held ServerRuns, key Key) float64 {
	if e := held[key]; e != nil {
		return e.Value.(*run).uses
	}
	return 0
}

// Void empties a server's runs that were last used before a time.
func (t *Table) DropOlderThan(held ServerRuns, before time.Duration) {
	for _, e := range held {
		if e.Value.(*run).at < before {
			t.forget(e)
		}
	}
}

func (t *Table) forget(e *list.Element) {
	r := t.runs.Remove(e).(*run)
	t.blocks, t.uses = t.blocks-r.Blocks, t.uses-r.uses
	delete(r.held, r.Key)
}
