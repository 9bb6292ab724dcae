package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ashwood.example/ashwood/lab/engine"
)

// The kinds of faults that are not faults of engines (those are engine.FaultKind).
const (
	Burst                = "burst"            // the load is multiplied by Factor
	DiscoveryLate        = "list-late"        // membership updates come Factor ms later
	DiscoverySilent      = "list-silent"      // the discovery agent does not answer
	DiscoveryContradicts = "list-contradicts" // draining and removed engines are reported as up until the window ends
)

// Plan is a scenario with everything random, except the load, drawn from its seed.
// Times are ms since the start of the run.
type Plan struct {
	*Scenario
	Engine          engine.Config
	EngineFaults    []engine.Fault // in the order of the file
	DiscoveryFaults []FaultWindow
	Bursts          []FaultWindow
}

// FaultWindow is the time during which a burst or a fault of discovery lasts. Gateway is
// -1 if it concerns all gateways.
type FaultWindow struct {
	Kind     string
	From, To float64
	Factor   float64
	Gateway  int
}

// Contains tells whether a time lies in the window; the end is not part of it.
func (w FaultWindow) Contains(at float64) bool { return at >= w.From && at < w.To }

// Compile places the engines and draws the faults. The result depends only on the
// scenario and its seed.
func (s *Scenario) Compile() (*Plan, error) {
	p := &Plan{Scenario: s, Engine: engine.DefaultConfig()}
	p.Engine.Seed = s.Seed
	p.Engine.Classes = nil
	for _, c := range s.Load.Classes {
		p.Engine.Classes = append(p.Engine.Classes, engine.Class{
			Name: c.Name, PrefillTokens: c.NewTokens + 0.15*c.PrefixTokens, OutputTokens: c.OutTokens, OutputSigma: c.OutSigma,
		})
	}
	defaultKinds := map[string]engine.Kind{}
	for _, k := range p.Engine.Kinds {
		defaultKinds[k.Name] = k
	}
	p.Engine.Kinds = nil
	for i, fileKind := range s.Fleet.Kinds {
		kind, err := fileKind.engineKind(defaultKinds)
		if err != nil {
			return nil, fmt.Errorf("fleet.kind[%d].%w", i, err)
		}
		p.Engine.Kinds = append(p.Engine.Kinds, kind)
	}
	p.placeEngines()
	if err := p.Engine.Validate(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(s.Seed, 0xfa017))
	for i, f := range s.Faults {
		if err := p.addFault(f, rng); err != nil {
			return nil, fmt.Errorf("fault[%d].%w", i, err)
		}
	}
	return p, nil
}

// engineKind returns the kind's defaults with the values of the file in their place.
func (k Kind) engineKind(known map[string]engine.Kind) (engine.Kind, error) {
	kind, ok := known[k.Name]
	if !ok {
		switch k.Role {
		case "":
			return kind, fmt.Errorf("role: missing, and kind %q has no defaults", k.Name)
		case string(engine.RolePrefill):
			kind = known["prefill"]
		default:
			kind = known["decode-a"]
		}
		kind.Name = k.Name
	} else if k.Role != "" && engine.Role(k.Role) != kind.Role {
		return kind, fmt.Errorf("role: kind %q has another role by default", k.Name)
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

// override sets target if the file has a value.
func override[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

// placeEngines spreads the engines round-robin over cells, so that each cell has about
// the same mix of kinds, and the cells round-robin over zones.
func (p *Plan) placeEngines() {
	total := 0
	for _, k := range p.Fleet.Kinds {
		total += k.Count
	}
	cells := max((total+p.Fleet.CellSize-1)/p.Fleet.CellSize, min(total, len(p.Fleet.Zones)))
	placed := 0
	for _, k := range p.Fleet.Kinds {
		for i := range k.Count {
			cell := placed % cells
			placed++
			p.Engine.Engines = append(p.Engine.Engines, engine.Spec{
				ID: fmt.Sprintf("%s-%d", k.Name, i+1), Kind: k.Name, Zone: p.Fleet.Zones[cell%len(p.Fleet.Zones)], Cell: cell,
			})
		}
	}
}

// addFault adds a fault to the plan and, unless its engines are named, draws them.
func (p *Plan) addFault(fault Fault, rng *rand.Rand) error {
	window := FaultWindow{Kind: fault.Kind, From: fault.AtS * 1000, To: (fault.AtS + fault.LenS) * 1000, Factor: fault.Factor, Gateway: -1}
	if fault.Gateway != nil {
		window.Gateway = *fault.Gateway
	}
	switch fault.Kind {
	case Burst:
		p.Bursts = append(p.Bursts, window)
		return nil
	case DiscoveryLate, DiscoverySilent, DiscoveryContradicts:
		p.DiscoveryFaults = append(p.DiscoveryFaults, window)
		return nil
	}
	engines := fault.Engines
	if len(engines) == 0 {
		for _, spec := range p.Engine.Engines {
			if (fault.OfKind == "" || spec.Kind == fault.OfKind) && (fault.OfZone == "" || spec.Zone == fault.OfZone) && (fault.OfCell == nil || spec.Cell == *fault.OfCell) {
				engines = append(engines, spec.ID)
			}
		}
		if len(engines) == 0 {
			return fmt.Errorf("of_kind, of_zone, of_cell: no engine matches")
		}
		share := fault.Share
		if share == 0 {
			return fmt.Errorf("share: missing, and boxes names no engines")
		}
		rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
		engines = engines[:min(len(engines), max(1, int(math.Round(share*float64(len(engines))))))]
	}
	for i, id := range engines {
		if !p.hasEngine(id) {
			return fmt.Errorf("boxes[%d]: there is no engine %q", i, id)
		}
	}
	p.EngineFaults = append(p.EngineFaults, engine.Fault{
		Kind: engine.FaultKind(fault.Kind), Engines: engines, Start: window.From, Duration: window.To - window.From, Factor: fault.Factor,
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
	var classes []map[string]any
	var aimsPer1000, tokenAims []float64
	for _, c := range p.Load.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "aim": c.AimMs, "deadline": c.DeadlineMs, "worth": c.Worth, "late_share": c.LateWorth,
			"effect": c.Effect, "group": "all", "memory_span": 5000, "stream": true,
		})
		aimsPer1000, tokenAims = append(aimsPer1000, c.AimMsPerK*1000), append(tokenAims, c.TokenMs)
	}
	minColdCapacity, maxWarmUp := 1.0, 0.0
	for _, k := range p.Engine.Kinds {
		minColdCapacity, maxWarmUp = min(minColdCapacity, k.ColdCapacity), max(maxWarmUp, k.WarmUpMs)
	}
	return map[string]any{
		"siblings": p.Gateways, "my_number": gateway, "locality": p.Zone(gateway), "localities": p.Fleet.Zones,
		"kinds": kinds, "lanes": classes, "discovery": "automatic", "worth_by": "work", "weights": "nominal", "service_type": "twostage",
		"clients": map[string]any{"marks_retry": false},
		"family_info": map[string]any{
			"aim_us_per_1000_prompt_tokens": aimsPer1000, "token_aim": tokenAims, "early_pairing": true, "kind_role": roles, "far_price": 0.02,
			"release": 500, "resume": false, "tokens_by_kind": tokens, "writers_read": false,
		},
		"ceilings": map[string]any{
			"attempts_cap": 6, "cancel": true, "conn_idle": 15000, "connect_timeout": 250, "max_retry_after": 500, "peers": false,
			"probes": true, "retry_after": true, "second_copies": false, "multiplex": 100,
		},
		"obligations": map[string]any{
			"answer_slack": 16, "ask_every": 10000, "drain_grace": 1000, "fall": p.Engine.Cold.WindowMs,
			"fall_multiple": p.Engine.Cold.Multiple, "start_capacity": minColdCapacity, "warm_within": maxWarmUp,
		},
		"report": map[string]any{"fields": []string{"busy_reqs", "pending", "x0", "x1"}, "how": "inline"},
	}
}

// Prefix returns the name and the length in tokens of one of the prefixes that a class's
// sessions share, by its rank; rank 0 is the most used. The length is drawn from the
// scenario's seed.
func (p *Plan) Prefix(class, rank int) (name string, tokens int) {
	rng := rand.New(rand.NewPCG(p.Seed, uint64(class)<<32|uint64(rank)))
	return fmt.Sprintf("%04x%012x", class+1, rank+1), max(1, int(p.Load.Classes[class].PrefixTokens*(0.6+0.8*rng.Float64())))
}

// Zone returns the zone of a gateway.
func (p *Plan) Zone(gateway int) string { return p.Fleet.Zones[gateway%len(p.Fleet.Zones)] }
