package engine

import (
	"testing"
)

// newTestFleet returns a fleet whose times are easy to calculate: one prefill engine
// and two decode engines in a cell, without randomness, at one token per ms on the
// local link.
func newTestFleet(t *testing.T, change func(*Config)) *Fleet {
	t.Helper()
	cfg := DefaultConfig()
	for i := range cfg.Kinds {
		k := &cfg.Kinds[i]
		k.Speed, k.SpeedCV, k.ErrorRate, k.AttentionMsPerM, k.PerSeqMs, k.ContextMsPerK, k.ProbeMs, k.HandshakeMs, k.FullConnsCost = 1, 0, 0, 0, 0, 0, 0, 0, 0
		k.StepMs = 10
	}
	cfg.Kinds[0].PrefillPerS, cfg.Kinds[0].Chunk, cfg.Kinds[0].StepMs = 1000, 1e6, 0
	cfg.Links.LocalPerS, cfg.Links.EarlyShare = 1000, 0.5
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

func testJob(id string, tokens float64) Job {
	return Job{Request: id, Class: "send-order", Prompt: Prompt{Session: id, Tokens: tokens}, MaxOutputTokens: 500, Remaining: 6000}
}

// advanceTo advances a fleet to a time, step by step, and returns the events.
func advanceTo(t *testing.T, f *Fleet, at float64) (list []Event) {
	t.Helper()
	for f.NextEventAt() <= at {
		f.Advance(f.NextEventAt())
		if err := f.Check(); err != nil {
			t.Fatalf("at %v: %v", f.Now(), err)
		}
		list = append(list, f.TakeEvents()...)
	}
	f.Advance(at)
	return append(list, f.TakeEvents()...)
}

func send(t *testing.T, f *Fleet, engine string, j Job) Call {
	t.Helper()
	c, err := f.Send(engine, j)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func eventKinds(list []Event, c Call) (kinds []EventKind) {
	for _, e := range list {
		if e.Call == c {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

func lastEvent(list []Event, c Call) (found Event) {
	for _, e := range list {
		if e.Call == c {
			found = e
		}
	}
	return found
}
