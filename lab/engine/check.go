package engine

import "fmt"

// Check verifies the invariants: an engine's pinned tokens are the sum of its parts,
// never negative, and within its memory together with the cached ones; no more
// slots are taken than it has; each KV state is in one place.
// It scans the fleet and is for tests and simulations.
func (f *Fleet) Check() error {
	const rounding = 1e-3
	for _, eng := range f.ordered {
		sum := 0.0
		for _, list := range [][]*job{eng.running, eng.fetching} {
			for _, j := range list {
				if j.pinned < 0 {
					return fmt.Errorf("%s: job %s pins %v tokens", eng.spec.ID, j.Request, j.pinned)
				}
				sum += j.pinned
			}
		}
		for _, h := range eng.kvStates {
			if h.prefillEngine != eng || h.transferred {
				return fmt.Errorf("%s: the KV state of %s is in two places", eng.spec.ID, h.request)
			}
			sum += h.pinned
		}
		for _, h := range eng.reservations {
			if h.reservedAt != eng {
				return fmt.Errorf("%s: the reservation of %s is at another engine", eng.spec.ID, h.request)
			}
			sum += h.tokens
		}
		if d := sum - eng.pinned; d > rounding || d < -rounding {
			return fmt.Errorf("%s: %v tokens are pinned, the sum of its parts is %v", eng.spec.ID, eng.pinned, sum)
		}
		if total := eng.pinned + eng.cache.used; eng.pinned < -rounding || eng.cache.used < -rounding || total > eng.kind.MemoryTokens+rounding {
			return fmt.Errorf("%s: %v tokens pinned and %v cached, memory has %v", eng.spec.ID, eng.pinned, eng.cache.used, eng.kind.MemoryTokens)
		}
		if eng.slotsTaken() > eng.kind.Slots {
			return fmt.Errorf("%s: %d slots of %d are taken", eng.spec.ID, eng.slotsTaken(), eng.kind.Slots)
		}
	}
	for id, h := range f.holds {
		if h.prefillEngine != nil && h.transferred {
			return fmt.Errorf("the KV state of %s is at %s and at its reservation", id, h.prefillEngine.spec.ID)
		}
		if h.transferred && h.reservedAt == nil {
			return fmt.Errorf("the KV state of %s was transferred without a reservation", id)
		}
		if h.transfer != nil && h.prefillEngine == nil {
			return fmt.Errorf("the transfer of %s has no prefill engine", id)
		}
	}
	return nil
}

// Idle tells whether no engine holds anything: no attempt, KV state, reservation or
// transfer.
func (f *Fleet) Idle() bool {
	if len(f.calls) > 0 || len(f.holds) > 0 {
		return false
	}
	for _, eng := range f.ordered {
		if len(eng.queue)+len(eng.running)+len(eng.fetching)+len(eng.kvStates)+len(eng.reservations) > 0 {
			return false
		}
	}
	return true
}
