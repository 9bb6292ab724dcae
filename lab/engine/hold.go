package engine

// hold is what the fleet holds for one request: a prefill in flight, a KV state that
// waits at its prefill engine, is in transfer or has been transferred to a
// reservation, and the reservation itself. A KV state is in one place only:
// prefillEngine and transferred are never both set.
type hold struct {
	request       string
	tokens        float64
	cachedTokens  int
	prefill       *job    // in flight
	prefillEngine *engine // whose memory has the KV state
	pinned        float64 // tokens there
	reservedAt    *engine // decode engine that holds a slot and memory
	unreadShare   float64 // share of the prefill that was still to come when the reservation was made
	transferred   bool    // the KV state has arrived at the reservation
	transfer      *transfer
	waiter        *job // the attempt that waits for the KV state
	touchedAt     float64
}

// hasNoState tells whether there is no KV state to fetch.
func (h *hold) hasNoState() bool { return h == nil || h.prefillEngine == nil && !h.transferred }

// Reserve asks a decode engine for a reservation for a request in prefill.
// EventReserved, EventNotReserved or, after 300 ms, EventNoPrefill follows; nothing
// from a hung engine.
func (f *Fleet) Reserve(id, request string) (Call, error) {
	eng, err := f.reachable(id)
	if err != nil {
		return 0, err
	}
	f.lastCall++
	call := f.lastCall
	eng.overheadMs += eng.kind.ProbeMs
	if eng.condition.Hung {
		return call, nil
	}
	answer := func(kind EventKind) { f.emit(Event{Kind: kind, Call: call, Engine: id, Report: f.report(eng)}) }
	h := f.holds[request]
	switch {
	case h == nil || h.prefill == nil || h.prefill.abandoned || eng.kind.Role != RoleDecode:
		incarnation := eng.incarnation
		f.after(reserveTimeout, func() {
			if eng.incarnation == incarnation {
				answer(EventNoPrefill)
			}
		})
	case eng.condition.Draining || eng.condition.Refusing || len(eng.queue) > 0 || eng.slotsTaken() >= eng.kind.Slots || !eng.fits(h.tokens):
		answer(EventNotReserved)
	default:
		f.cancelReservation(h)
		h.reservedAt, h.unreadShare = eng, h.prefill.remainingPrefill()/max(1, h.tokens-h.prefill.cachedTokens)
		eng.reservations = append(eng.reservations, h)
		eng.pinned += h.tokens
		answer(EventReserved)
	}
	return call, nil
}

const reserveTimeout = 300 // ms until a reservation request without a prefill in flight is answered

// Release frees what an engine holds for a request, unless an attempt waits for it.
func (f *Fleet) Release(id, request string) error {
	eng, err := f.reachable(id)
	if err != nil {
		return err
	}
	h := f.holds[request]
	if h == nil || h.waiter != nil {
		return nil
	}
	if h.reservedAt == eng {
		f.cancelReservation(h)
	}
	if h.prefillEngine == eng {
		f.freeState(h)
	}
	f.deleteIfEmpty(h)
	return nil
}

// Held tells whether an engine holds a KV state or a reservation for a request that
// no attempt waits for.
func (f *Fleet) Held(id, request string) bool {
	eng, h := f.engines[id], f.holds[request]
	return h != nil && eng != nil && h.waiter == nil && (h.prefillEngine == eng || h.reservedAt == eng)
}

// cancelReservation frees a reservation, with the KV state if that has been
// transferred to it.
func (f *Fleet) cancelReservation(h *hold) {
	eng := h.reservedAt
	if eng == nil {
		return
	}
	if h.transfer != nil && h.transfer.to == eng && h.waiter == nil {
		f.stopTransfer(h)
	}
	eng.reservations = remove(eng.reservations, h)
	eng.pinned -= h.tokens
	h.reservedAt, h.transferred = nil, false
	f.startStep(eng)
}

// freeState frees a KV state at its prefill engine.
func (f *Fleet) freeState(h *hold) {
	eng := h.prefillEngine
	if eng == nil {
		return
	}
	f.stopTransfer(h)
	eng.kvStates = remove(eng.kvStates, h)
	eng.pinned -= h.pinned
	h.prefillEngine, h.pinned = nil, 0
	f.startStep(eng)
}

// releaseAll frees all that is held for a request.
func (f *Fleet) releaseAll(h *hold) {
	f.cancelReservation(h)
	f.freeState(h)
	if j := h.waiter; j != nil {
		f.failFetch(j)
	}
	f.deleteIfEmpty(h)
}

func (f *Fleet) deleteIfEmpty(h *hold) {
	if h.prefill == nil && h.reservedAt == nil && h.prefillEngine == nil && h.waiter == nil && f.holds[h.request] == h {
		delete(f.holds, h.request)
	}
}

// scheduleExpiry frees a hold that no attempt has used for StateTTLMs, as when its
// gateway has died.
func (f *Fleet) scheduleExpiry(h *hold) {
	h.touchedAt = f.now
	var check func()
	check = func() {
		if f.holds[h.request] != h {
			return
		}
		if h.prefill != nil || h.waiter != nil {
			h.touchedAt = f.now
		}
		if remaining := h.touchedAt + f.cfg.StateTTLMs - f.now; remaining > 0 {
			f.after(remaining, check)
			return
		}
		f.releaseAll(h)
	}
	f.after(f.cfg.StateTTLMs, check)
}

// startTransfer starts to transfer so many tokens of a KV state to a decode engine.
func (f *Fleet) startTransfer(h *hold, to *engine, tokens float64) {
	from := h.prefillEngine
	l, work := from.uplink, tokens
	switch {
	case from.spec.Zone == to.spec.Zone && from.spec.Cell == to.spec.Cell:
		l = from.localLink
	case from.spec.Zone != to.spec.Zone:
		work *= f.cfg.Links.CrossZoneFactor
	}
	l.advance(f.now)
	h.transfer = &transfer{hold: h, to: to, remaining: work}
	l.add(h.transfer)
	f.scheduleLink(l)
}

// stopTransfer ends a transfer that is not complete.
func (f *Fleet) stopTransfer(h *hold) {
	t := h.transfer
	if t == nil {
		return
	}
	h.transfer = nil
	t.link.advance(f.now)
	t.link.remove(t)
	f.scheduleLink(t.link)
}

// scheduleLink sets the timer for the next transfer that completes on a link.
func (f *Fleet) scheduleLink(l *link) {
	l.epoch++
	if len(l.transfers) == 0 {
		return
	}
	epoch := l.epoch
	f.after(l.nextDone()-f.now, func() {
		if l.epoch != epoch {
			return
		}
		l.advance(f.now)
		for _, t := range l.completed() {
			l.remove(t)
			f.transferDone(t)
		}
		f.scheduleLink(l)
	})
}

// transferDone completes a transfer and frees the prefill engine's memory.
func (f *Fleet) transferDone(t *transfer) {
	h := t.hold
	h.transfer = nil
	f.freeState(h)
	if j := h.waiter; j != nil && j.engine == t.to && len(j.engine.fetching) > 0 {
		f.startDecode(j)
		return
	}
	h.transferred = true
}

// EnginesHolding lists the engines that hold a KV state or a reservation for a
// request which no attempt waits for.
func (f *Fleet) EnginesHolding(request string) (ids []string) {
	h := f.holds[request]
	if h == nil || h.waiter != nil || h.prefill != nil {
		return nil
	}
	if h.prefillEngine != nil {
		ids = append(ids, h.prefillEngine.spec.ID)
	}
	if h.reservedAt != nil {
		ids = append(ids, h.reservedAt.spec.ID)
	}
	return ids
}

// HoldCount returns the number of requests for which something is held or in flight.
func (f *Fleet) HoldCount() int { return len(f.holds) }
