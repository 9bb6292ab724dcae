package wire

import (
	"fmt"
	"time"

	"ashwood.example/ashwood"
)

// Targets is a list of engines, or of changes to it, in discovery's form.
type Targets struct {
	Generation int64
	Snapshot   bool // all engines, not changed ones alone
	Engines    []ashwood.Server
}

var lifecycles = map[string]ashwood.ServerState{
	"up": ashwood.StateActive, "draining": ashwood.StateDraining, "removed": ashwood.StateRemoved,
}

// DecodeTargets reads a list in discovery's form. An engine's id is the same
// at all gateways, its address is this gateway's own.
func DecodeTargets(raw []byte) (Targets, error) {
	const name = "targets"
	var in struct {
		Generation *int64 `json:"generation"`
		Reset      bool   `json:"reset"`
		Instances  []struct {
			ID        *ashwood.ServerID `json:"instanceId"`
			HostPort  *string           `json:"hostPort"`
			Zone      string            `json:"zone"`
			Type      string            `json:"machineType"`
			Cell      int               `json:"cell"`
			Lifecycle *string           `json:"lifecycle"`
			Weight    float64           `json:"weight"`
			Started   ms                `json:"startedAtMs"`
		} `json:"instances"`
	}
	if err := unmarshal(name, raw, &in); err != nil {
		return Targets{}, err
	}
	if in.Generation == nil {
		return Targets{}, missing(name, "generation")
	}
	t := Targets{Generation: *in.Generation, Snapshot: in.Reset}
	for i, e := range in.Instances {
		at := func(key string) string { return fmt.Sprintf("instances[%d].%s", i, key) }
		err := require(name, field{at("instanceId"), e.ID != nil}, field{at("hostPort"), e.HostPort != nil},
			field{at("lifecycle"), e.Lifecycle != nil})
		if err != nil {
			return Targets{}, err
		}
		state, ok := lifecycles[*e.Lifecycle]
		if !ok {
			return Targets{}, unknown(name, at("lifecycle"), *e.Lifecycle)
		}
		t.Engines = append(t.Engines, ashwood.Server{
			ID: *e.ID, Address: *e.HostPort, Zone: e.Zone, Kind: e.Type, Cell: e.Cell, State: state,
			Weight: e.Weight, Started: max(e.Started.duration(), time.Duration(0)),
		})
	}
	return t, nil
}
