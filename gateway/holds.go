package gateway

import (
	"maps"
	"math"
	"slices"
	"sync"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/metrics"
	"ashwood.example/ashwood/internal/release"
)

// holds are the engines that may hold a state or a place for a request that still
// wants them.
type holds struct {
	owner *owner
	id    ashwood.RequestID

	letting  sync.Mutex // held while overdue lets go
	mu       sync.Mutex
	engines  map[ashwood.ServerID]ashwood.Server
	late     []ashwood.Server // places answered after the read
	told     []ashwood.Server // in doubt, while the request goes on
	doubtful bool             // an engine may not have seen an attempt or a call to end
	begun    bool             // the answer has
	over     bool             // the request has its final answer
	stop     func() bool      // the timer of what is held while no attempt is out
	due      float64          // when that is to be let go of; +Inf = not at all
}

func (o *owner) holds(id ashwood.RequestID) *holds {
	return &holds{owner: o, id: id, engines: map[ashwood.ServerID]ashwood.Server{}, stop: func() bool { return true }, due: math.Inf(1)}
}

// idle tells that no attempt is out from now on. What is held is let go of when
// its time is up, whatever the request does meanwhile: the time keeps running
// while connections fail to come up. A writer that then finds no state says so, and it is read anew.
func (h *holds) idle() {
	limit := h.owner.g.holdTime
	if limit <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stop()
	h.due = h.owner.g.clock.Now() + limit
	h.stop = h.owner.g.clock.AfterFunc(limit, func() {
		h.owner.g.spawn(h.overdue)
	})
}

// sent notes an engine that an attempt is out at.
func (h *holds) sent(v ashwood.Server) {
	h.mu.Lock()
	h.stop()
	h.due = math.Inf(1)
	h.mu.Unlock()
	h.add(v, holdAttempt)
}

// overdue lets go of what has been held for as long as it may. It comes before a send
// too, which waits for one that is under way; a timer that fires late finds nothing due.
func (h *holds) overdue() {
	h.letting.Lock()
	defer h.letting.Unlock()
	h.mu.Lock()
	due := h.owner.g.clock.Now() >= h.due
	if due {
		h.due = math.Inf(1)
	}
	h.mu.Unlock()
	if due {
		h.release(false)
	}
}

// add notes an engine. After the final answer it is to be told at once.
func (h *holds) add(v ashwood.Server, why holdReason) {
	h.mu.Lock()
	over, doubtful, told := h.over, h.doubtful, h.told
	if !over {
		h.engines[v.ID] = v
	}
	h.mu.Unlock()
	if !over {
		h.owner.withdraw(h.id, v.ID, told)
	}
	h.owner.g.holdLog.began(h.key(v.ID), why)
	if over {
		h.owner.tell(h.id, []ashwood.Server{v}, doubtful)
	}
}

func (h *holds) key(engine ashwood.ServerID) release.Key {
	return release.Key{Engine: engine, Request: h.id}
}

// doubt tells that an attempt or a call for a place was given up: its engine may
// see that only after a release.
func (h *holds) doubt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.doubtful = true
}

// addLate notes a writer whose place was answered only after the read. The call
// may have come there after the answer's first token, which then did not let go
// of the place: it is let go of by itself once the answer has begun.
func (h *holds) addLate(v ashwood.Server) {
	h.mu.Lock()
	begun, doubtful := h.begun, h.doubtful
	if !begun {
		h.late = append(h.late, v)
	}
	h.mu.Unlock()
	if begun {
		h.owner.g.holdLog.began(h.key(v.ID), holdReservation)
		h.owner.tell(h.id, []ashwood.Server{v}, doubtful)
	} else {
		h.add(v, holdReservation)
	}
}

// begin tells that the answer has begun, with which all else that is held goes.
func (h *holds) begin() {
	h.mu.Lock()
	late, doubtful := h.late, h.doubtful
	h.begun, h.late, h.told = true, nil, nil
	h.stop()
	taken := slices.Collect(maps.Keys(h.engines))
	h.mu.Unlock()
	for _, engine := range taken {
		h.owner.g.holdLog.ended(h.key(engine), metrics.HoldTaken)
	}
	h.owner.tell(h.id, late, doubtful)
}

// take empties the set, for its engines to be told. Those told in doubt while the
// request went on are told again at its end.
func (h *holds) take(final bool) (engines []ashwood.Server, doubtful bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over = h.over || final
	if final {
		h.stop()
		for _, v := range h.told {
			h.engines[v.ID] = v
		}
	}
	engines = slices.Collect(maps.Values(h.engines))
	clear(h.engines)
	if doubtful = h.doubtful; doubtful && !final {
		h.told = append(h.told, engines...)
		h.doubtful = false
	}
	return engines, doubtful
}

// release has all engines told that may hold something. While the request goes on,
// its next send waits a little, so that the release does not overtake it.
func (h *holds) release(final bool) {
	engines, doubtful := h.take(final)
	if len(engines) == 0 {
		return
	}
	if final {
		h.owner.tell(h.id, engines, doubtful)
	} else {
		h.owner.settle(h.id, engines, doubtful)()
	}
}
