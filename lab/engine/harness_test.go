package engine

import (
	"testing"
)

// plain is a fleet whose times are easy to reckon: one reader and two writers
// in a cell, without chance, at a token a ms out of the port.
func plain(t *testing.T, change func(*Config)) *Fleet {
	t.Helper()
	cfg := DefaultConfig()
	for i := range cfg.Kinds {
		k := &cfg.Kinds[i]
		k.Speed, k.SpeedCV, k.ErrorRate, k.PairsMsPerM, k.PerSeqMs, k.ContextMsPerK, k.ProbeMs, k.HandshakeMs, k.FullTax = 1, 0, 0, 0, 0, 0, 0, 0, 0
		k.StepMs = 10
	}
	cfg.Kinds[0].PrefillPerS, cfg.Kinds[0].Chunk, cfg.Kinds[0].StepMs = 1000, 1e6, 0
	cfg.Links.NearPerS, cfg.Links.FlowsAhead = 1000, 0.5
	cfg.Reports.Noise = 0
	for i := range cfg.Classes {
		cfg.Classes[i].OutputSigma, cfg.Classes[i].OutputTokens = 0, 10
	}
	cfg.Engines = []Spec{{"r", "prefill", "a", 0}, {"w1", "decode-a", "a", 0}, {"w2", "decode-a", "a", 0}}
	if change != nil {
		change(&cfg)
	}
	f, err := New(cfg, 0)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func order(id string, tokens float64) Job {
	return Job{Request: id, Class: "send-order", Prompt: Prompt{Session: id, Tokens: tokens}, MaxOut: 500, Remaining: 6000}
}

// until advances a fleet to a time, step by step, and gives the events.
func until(t *testing.T, f *Fleet, at float64) (list []Event) {
	t.Helper()
	for f.Next() <= at {
		f.Advance(f.Next())
		if err := f.Check(); err != nil {
			t.Fatalf("at %v: %v", f.Now(), err)
		}
		list = append(list, f.Take()...)
	}
	f.Advance(at)
	return append(list, f.Take()...)
}

func send(t *testing.T, f *Fleet, box string, j Job) Call {
	t.Helper()
	c, err := f.Send(box, j)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func of(list []Event, c Call) (kinds []EventKind) {
	for _, e := range list {
		if e.Call == c {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

func last(list []Event, c Call) (found Event) {
	for _, e := range list {
		if e.Call == c {
			found = e
		}
	}
	return found
}
