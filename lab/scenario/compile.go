package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ashwood.example/ashwood/lab/engine"
)

// Kinds of faults that the engine model doesn't handle: those of the load and of discovery.
const (
	Burst                = "burst"            // multiplies the load by Factor
	DiscoveryLate        = "list-late"        // membership changes are reported Factor ms later
	DiscoverySilent      = "list-silent"      // the discovery agent does not answer
	DiscoveryContradicts = "list-contradicts" // engines that drain or are gone are reported as up until the fault ends
)

// Plan is a scenario with everything random, except the load, drawn from its seed.
// Times are in ms since the start.
type Plan struct {
	*Scenario
	Engine          engine.Config
	EngineFaults    []engine.Fault // faults of engines
	DiscoveryFaults []Window
	Bursts          []Window
}

// Window is a time span in which a fault of the load or of discovery is active. Gateway is -1 for all.
type Window struct {
	Kind     string
	From, To float64
	Factor   float64
	Gateway  int
}

// Contains reports whether a time lies in the window.
func (w Window) Contains(at float64) bool { return at >= w.From && at < w.To }

// Compile draws engines and faults. Every call gives the same plan.
func (s *Scenario) Compile() (*Plan, error) {
	p := &Plan{Scenario: s, Engine: engine.DefaultConfig()}
	p.Engine.Seed = s.Seed
	p.Engine.Classes = nil
	for _, c := range s.Load.Classes {
		p.Engine.Classes = append(p.Engine.Classes, engine.Class{
			Name: c.Name, PrefillTokens: c.NewTokens + 0.15*c.PrefixTokens, OutputTokens: c.OutputTokens, OutputSigma: c.OutputSigma,
		})
	}
	known := map[string]engine.Kind{}
	for _, k := range p.Engine.Kinds {
		known[k.Name] = k
	}
	p.Engine.Kinds = nil
	for i, k := range s.Fleet.Kinds {
		kind, err := k.engineKind(known)
		if err != nil {
			return nil, fmt.Errorf("fleet.kind[%d].%w", i, err)
		}
		p.Engine.Kinds = append(p.Engine.Kinds, kind)
	}
	p.placeEngines()
	if err := p.Engine.Validate(); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(s.Seed, 0xfa017))
	for i, f := range s.Faults {
		if err := p.addFault(f, r); err != nil {
			return nil, fmt.Errorf("fault[%d].%w", i, err)
		}
	}
	return p, nil
}

// engineKind returns the kind's defaults with the values that the file sets.
func (k Kind) engineKind(known map[string]engine.Kind) (engine.Kind, error) {
	kind, ok := known[k.Name]
	if !ok {
		switch k.Role {
		case "":
			return kind, fmt.Errorf("role: missing, and %q is not a kind with defaults", k.Name)
		case string(engine.RolePrefill):
			kind = known["prefill"]
		default:
			kind = known["decode-a"]
		}
		kind.Name = k.Name
	} else if k.Role != "" && engine.Role(k.Role) != kind.Role {
		return kind, fmt.Errorf("role: %q has another role", k.Name)
	}
	override(&kind.Slots, k.Slots)
	override(&kind.MaxQueue, k.MaxQueue)
	override(&kind.MemoryTokens, k.MemoryTokens)
	override(&kind.PrefillPerS, k.PrefillPerS)
	override(&kind.StepMs, k.StepMs)
	override(&kind.PerSeqMs, k.PerSeqMs)
	override(&kind.Speed, k.Speed)
	override(&kind.SpeedCV, k.SpeedCV)
	override(&kind.ColdCapacity, k.ColdCapacity)
	override(&kind.WarmUpMs, k.WarmUpMs)
	override(&kind.MaxConns, k.MaxConns)
	override(&kind.DropExpired, k.DropExpired)
	override(&kind.ErrorRate, k.ErrorRate)
	if k.Cancel != nil {
		kind.Cancel = engine.CancelMode(*k.Cancel)
	}
	return kind, nil
}

func override[T any](to *T, v *T) {
	if v != nil {
		*to = *v
	}
}

// placeEngines distributes the engines over cells so that each cell has about the same
// mix of kinds. Cells are assigned to the zones in turn.
func (p *Plan) placeEngines() {
	total := 0
	for _, k := range p.Fleet.Kinds {
		total += k.Count
	}
	cells := max((total+p.Fleet.CellSize-1)/p.Fleet.CellSize, min(total, len(p.Fleet.Zones)))
	at := 0
	for _, k := range p.Fleet.Kinds {
		for i := range k.Count {
			cell := at % cells
			at++
			p.Engine.Engines = append(p.Engine.Engines, engine.Spec{
				ID: fmt.Sprintf("%s-%d", k.Name, i+1), Kind: k.Name, Zone: p.Fleet.Zones[cell%len(p.Fleet.Zones)], Cell: cell,
			})
		}
	}
}

// addFault adds a fault to the plan and draws the engines that it hits.
func (p *Plan) addFault(f Fault, r *rand.Rand) error {
	w := Window{Kind: f.Kind, From: f.StartS * 1000, To: (f.StartS + f.DurationS) * 1000, Factor: f.Factor, Gateway: -1}
	if f.Gateway != nil {
		w.Gateway = *f.Gateway
	}
	switch f.Kind {
	case Burst:
		p.Bursts = append(p.Bursts, w)
		return nil
	case DiscoveryLate, DiscoverySilent, DiscoveryContradicts:
		p.DiscoveryFaults = append(p.DiscoveryFaults, w)
		return nil
	}
	engines := f.Engines
	if len(engines) == 0 {
		for _, b := range p.Engine.Engines {
			if (f.OfKind == "" || b.Kind == f.OfKind) && (f.OfZone == "" || b.Zone == f.OfZone) && (f.OfCell == nil || b.Cell == *f.OfCell) {
				engines = append(engines, b.ID)
			}
		}
		if len(engines) == 0 {
			return fmt.Errorf("of_kind, of_zone, of_cell: no engine matches")
		}
		share := f.Share
		if share == 0 {
			return fmt.Errorf("share: missing, and boxes names no engines")
		}
		r.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
		engines = engines[:min(len(engines), max(1, int(math.Round(share*float64(len(engines))))))]
	}
	for i, id := range engines {
		if !p.hasEngine(id) {
			return fmt.Errorf("boxes[%d]: there is no engine %q", i, id)
		}
	}
	p.EngineFaults = append(p.EngineFaults, engine.Fault{
		Kind: engine.FaultKind(f.Kind), Engines: engines, Start: w.From, Duration: w.To - w.From, Factor: f.Factor,
	})
	return nil
}

func (p *Plan) hasEngine(id string) bool {
	for _, b := range p.Engine.Engines {
		if b.ID == id {
			return true
		}
	}
	return false
}

// Settings returns the settings object of a gateway's configuration for this plan, in
// the platform's format.
func (p *Plan) Settings(gateway int) map[string]any {
	var kinds, roles []string
	var tokens []float64
	for _, k := range p.Engine.Kinds {
		kinds, roles, tokens = append(kinds, k.Name), append(roles, string(k.Role)), append(tokens, k.MemoryTokens)
	}
	var lanes []map[string]any
	var aims, paces []float64
	for _, c := range p.Load.Classes {
		lanes = append(lanes, map[string]any{
			"name": c.Name, "aim": c.AimMs, "deadline": c.DeadlineMs, "worth": c.Worth, "late_share": c.LateWorth,
			"effect": c.Effect, "group": "all", "memory_span": 5000, "stream": true,
		})
		aims, paces = append(aims, c.AimMsPerKTokens*1000), append(paces, c.TokenMs)
	}
	coldest, longest := 1.0, 0.0
	for _, k := range p.Engine.Kinds {
		coldest, longest = min(coldest, k.ColdCapacity), max(longest, k.WarmUpMs)
	}
	return map[string]any{
		"siblings": p.Gateways, "my_number": gateway, "locality": p.Zone(gateway), "localities": p.Fleet.Zones,
		"kinds": kinds, "lanes": lanes, "discovery": "automatic", "worth_by": "work", "weights": "nominal", "service_type": "twostage",
		"clients": map[string]any{"marks_retry": false},
		"family_info": map[string]any{
			"aim_us_per_1000_prompt_tokens": aims, "token_aim": paces, "early_pairing": true, "kind_role": roles, "far_price": 0.02,
			"release": 500, "resume": false, "tokens_by_kind": tokens, "writers_read": false,
		},
		"ceilings": map[string]any{
			"attempts_cap": 6, "cancel": true, "conn_idle": 15000, "connect_timeout": 250, "max_retry_after": 500, "peers": false,
			"probes": true, "retry_after": true, "second_copies": false, "multiplex": 100,
		},
		"obligations": map[string]any{
			"answer_slack": 16, "ask_every": 10000, "drain_grace": 1000, "fall": p.Engine.Cold.WindowMs,
			"fall_multiple": p.Engine.Cold.Multiple, "start_capacity": coldest, "warm_within": longest,
		},
		"report": map[string]any{"fields": []string{"busy_reqs", "pending", "x0", "x1"}, "how": "inline"},
	}
}

// Prefix returns the name and the length in tokens of one of the prefixes that a
// class's sessions share; index 0 is the most used one. Only the length depends on the seed.
func (p *Plan) Prefix(class, k int) (name string, tokens int) {
	r := rand.New(rand.NewPCG(p.Seed, uint64(class)<<32|uint64(k)))
	return fmt.Sprintf("%04x%012x", class+1, k+1), max(1, int(p.Load.Classes[class].PrefixTokens*(0.6+0.8*r.Float64())))
}

// Zone returns the zone of a gateway.
func (p *Plan) Zone(gateway int) string { return p.Fleet.Zones[gateway%len(p.Fleet.Zones)] }
