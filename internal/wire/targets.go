package wire

import (
	"fmt"
	"time"

	"ashwood.example/ashwood"
)

// Targets is a membership snapshot or delta in discovery's form.
type Targets struct {
	Generation int64
	Snapshot   bool // Engines holds all engines, not only changed ones
	Engines    []ashwood.Server
}

var lifecycles = map[string]ashwood.ServerState{
	"up": ashwood.StateActive, "draining": ashwood.StateDraining, "removed": ashwood.StateRemoved,
}

// DecodeTargets decodes a membership update in discovery's form. An engine's ID is the
// same at all gateways; its address may differ from gateway to gateway.
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
			Started   milliseconds      `json:"startedAtMs"`
		} `json:"instances"`
	}
	if err := unmarshalObject(name, raw, &in); err != nil {
		return Targets{}, err
	}
	if in.Generation == nil {
		return Targets{}, missingField(name, "generation")
	}
	targets := Targets{Generation: *in.Generation, Snapshot: in.Reset}
	for i, e := range in.Instances {
		at := func(key string) string { return fmt.Sprintf("instances[%d].%s", i, key) }
		err := require(name, requiredField{at("instanceId"), e.ID != nil}, requiredField{at("hostPort"), e.HostPort != nil},
			requiredField{at("lifecycle"), e.Lifecycle != nil})
		if err != nil {
			return Targets{}, err
		}
		state, ok := lifecycles[*e.Lifecycle]
		if !ok {
			return Targets{}, unknownValue(name, at("lifecycle"), *e.Lifecycle)
		}
		targets.Engines = append(targets.Engines, ashwood.Server{
			ID: *e.ID, Address: *e.HostPort, Zone: e.Zone, Kind: e.Type, Cell: e.Cell, State: state,
			Weight: e.Weight, Started: max(e.Started.duration(), time.Duration(0)),
		})
	}
	return targets, nil
}
