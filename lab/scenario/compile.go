package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ashwood.example/ashwood/lab/engine"
)

// The kinds of faults that are not the model's.
const (
	Burst                = "burst"            // the load grows by Factor
	DiscoveryLate        = "list-late"        // news comes Factor ms later
	DiscoverySilent      = "list-silent"      // the agent does not answer
	DiscoveryContradicts = "list-contradicts" // boxes that drain or are gone are told as up again, until the end
)

// Plan is a scenario with all that chance settles, but the load, drawn from its
// seed. Times are ms from the begin.
type Plan struct {
	*Scenario
	Engine          engine.Config
	EngineFaults    []engine.Fault // faults of boxes
	DiscoveryFaults []FaultWindow
	Bursts          []FaultWindow
}

// Window is a stretch of time with a factor. Gateway is -1 for all.
type FaultWindow struct {
	Kind     string
	From, To float64
	Factor   float64
	Gateway  int
}

// On tells whether a time lies in the window.
func (w FaultWindow) Contains(at float64) bool { return at >= w.From && at < w.To }

// Compile draws boxes and faults. Two calls give the same.
func (s *Scenario) Compile() (*Plan, error) {
	p := &Plan{Scenario: s, Engine: engine.DefaultConfig()}
	p.Engine.Seed = s.Seed
	p.Engine.Classes = nil
	for _, c := range s.Load.Classes {
		p.Engine.Classes = append(p.Engine.Classes, engine.Class{
			Name: c.Name, PrefillTokens: c.NewTokens + 0.15*c.PrefixTokens, OutputTokens: c.OutTokens, OutputSigma: c.OutSigma,
		})
	}
	known := map[string]engine.Kind{}
	for _, k := range p.Engine.Kinds {
		known[k.Name] = k
	}
	p.Engine.Kinds = nil
	for i, k := range s.Fleet.Kinds {
		kind, err := k.figures(known)
		if err != nil {
			return nil, fmt.Errorf("fleet.kind[%d].%w", i, err)
		}
		p.Engine.Kinds = append(p.Engine.Kinds, kind)
	}
	p.place()
	if err := p.Engine.Validate(); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(s.Seed, 0xfa017))
	for i, f := range s.Faults {
		if err := p.fault(f, r); err != nil {
			return nil, fmt.Errorf("fault[%d].%w", i, err)
		}
	}
	return p, nil
}

// figures gives a kind its defaults and what the file says instead.
func (k Kind) figures(known map[string]engine.Kind) (engine.Kind, error) {
	out, ok := known[k.Name]
	if !ok {
		switch k.Role {
		case "":
			return out, fmt.Errorf("role: it is missing, and %q is no kind with defaults", k.Name)
		case string(engine.RolePrefill):
			out = known["prefill"]
		default:
			out = known["decode-a"]
		}
		out.Name = k.Name
	} else if k.Role != "" && engine.Role(k.Role) != out.Role {
		return out, fmt.Errorf("role: %q has another role", k.Name)
	}
	set(&out.Slots, k.Slots)
	set(&out.MaxQueue, k.Queue)
	set(&out.MemoryTokens, k.MemoryTokens)
	set(&out.PrefillPerS, k.ReadPerS)
	set(&out.StepMs, k.StepMs)
	set(&out.PerSeqMs, k.PerSeqMs)
	set(&out.Speed, k.Speed)
	set(&out.SpeedCV, k.SpeedCV)
	set(&out.ColdCapacity, k.ColdFrom)
	set(&out.WarmUpMs, k.ColdMs)
	set(&out.MaxConns, k.Conns)
	set(&out.DropExpired, k.DropExpired)
	set(&out.ErrorRate, k.ErrorRate)
	if k.Cancel != nil {
		out.Cancel = engine.CancelMode(*k.Cancel)
	}
	return out, nil
}

func set[T any](to *T, v *T) {
	if v != nil {
		*to = *v
	}
}

// place deals the boxes out over cells, so that each cell has about the same mix.
// Cells lie in the zones in turn.
func (p *Plan) place() {
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

// fault draws the boxes that a fault hits.
func (p *Plan) fault(f Fault, r *rand.Rand) error {
	w := FaultWindow{Kind: f.Kind, From: f.AtS * 1000, To: (f.AtS + f.LenS) * 1000, Factor: f.Factor, Gateway: -1}
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
	boxes := f.Boxes
	if len(boxes) == 0 {
		for _, b := range p.Engine.Engines {
			if (f.OfKind == "" || b.Kind == f.OfKind) && (f.OfZone == "" || b.Zone == f.OfZone) && (f.OfCell == nil || b.Cell == *f.OfCell) {
				boxes = append(boxes, b.ID)
			}
		}
		if len(boxes) == 0 {
			return fmt.Errorf("of_kind, of_zone, of_cell: no box matches")
		}
		share := f.Share
		if share == 0 {
			return fmt.Errorf("share: it is missing, and no boxes are named")
		}
		r.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
		boxes = boxes[:min(len(boxes), max(1, int(math.Round(share*float64(len(boxes))))))]
	}
	for i, id := range boxes {
		if !p.has(id) {
			return fmt.Errorf("boxes[%d]: there is no box %q", i, id)
		}
	}
	p.EngineFaults = append(p.EngineFaults, engine.Fault{
		Kind: engine.FaultKind(f.Kind), Engines: boxes, Start: w.From, Duration: w.To - w.From, Factor: f.Factor,
	})
	return nil
}

func (p *Plan) has(id string) bool {
	for _, b := range p.Engine.Engines {
		if b.ID == id {
			return true
		}
	}
	return false
}

// Settings is the settings object of a gateway's configuration on this plan, in
// the platform's form.
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
		aims, paces = append(aims, c.AimMsPerK*1000), append(paces, c.TokenMs)
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

// Prefix names one of the beginnings that a class's sessions share, and gives its
// length in tokens; 0 is the one most used. Both belong to the scenario's seed.
func (p *Plan) Prefix(class, k int) (name string, tokens int) {
	r := rand.New(rand.NewPCG(p.Seed, uint64(class)<<32|uint64(k)))
	return fmt.Sprintf("%04x%012x", class+1, k+1), max(1, int(p.Load.Classes[class].PrefixTokens*(0.6+0.8*r.Float64())))
}

// Zone is where a gateway stands.
func (p *Plan) Zone(gateway int) string { return p.Fleet.Zones[gateway%len(p.Fleet.Zones)] }
