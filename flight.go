package ashwood

import (
	"container/heap"
	"context"
	"slices"
)

// flight is a request that the router has admitted and not finished.
type flight struct {
	ctx            context.Context
	changed        chan struct{} // receives a value when a field below has changed
	nextStep       Step          // Kind 0 = not known yet
	reserveNext    Server        // decode server to ask for a reservation while a prefill is in flight
	releasePending bool
	done           bool
	clientLeft     bool // before the answer had begun
	mayHaveRun     bool // at a server that decodes
	mayBeInPrefill bool // at a server that has not shown the end of it
	inFlight       int  // attempts
	sentAt         []float64
	cancels        []context.CancelFunc
}

// waitForStep returns a flight's next step once there is one.
func (r *Router) waitForStep(id RequestID, flight *flight) Step {
	for {
		if step := r.takeStep(id, flight); step.Kind != 0 {
			return step
		}
		select {
		case <-flight.changed:
		case <-flight.ctx.Done():
		}
	}
}

// takeStep returns a flight's next step, or one without a kind as long as there is none.
func (r *Router) takeStep(id RequestID, flight *flight) Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkDisconnect(id, flight)
	step := flight.nextStep
	switch {
	case step.Kind != 0:
	case flight.done:
		step.Kind = StepDone
	case flight.releasePending:
		step.Kind = StepRelease
	default:
		return step
	}
	step.Release = flight.releasePending
	flight.nextStep, flight.releasePending = Step{}, false
	if flight.done && flight.inFlight == 0 {
		r.removeFlight(id, flight)
	}
	return step
}

// removeFlight forgets a flight that has ended, but for the id of one that must not run again: it may have run, or a server may be
// at it still. A client that got an answer in the second case may try again.
func (r *Router) removeFlight(id RequestID, flight *flight) {
	delete(r.flights, id)
	if flight.mayHaveRun || flight.clientLeft && flight.mayBeInPrefill {
		r.ran.add(id, r.clock.Now())
	}
}

// recordRun records whether an attempt that has ended may have run, or may be running still.
func (f *flight) recordRun(decodes bool, status Status) {
	switch {
	case provesNotRun(status):
	case decodes:
		f.mayHaveRun = true
	case status == StatusConnectionLost || status == StatusCancelled || status == StatusTimedOut:
		f.mayBeInPrefill = true
	}
}

// decodes reports whether an attempt was at a server that may produce the client's answer.
func (r *Router) decodes(id RequestID, attempt int) bool {
	request := r.scheduler.requests[id]
	return request != nil && attempt < len(request.attempts) && request.attempts[attempt].decodes
}

// checkDisconnect reports to the scheduler if a request's client has left. A step that has
// not been taken is dropped.
func (r *Router) checkDisconnect(id RequestID, flight *flight) {
	if flight.done || flight.ctx.Err() == nil {
		return
	}
	flight.done, flight.clientLeft = true, true
	r.handle(ClientDisconnected{id})
	r.dropStep(id, flight)
}

// dropStep drops a step that has not been taken, and reports its attempt as never sent.
func (r *Router) dropStep(id RequestID, flight *flight) {
	step := flight.nextStep
	flight.nextStep = Step{}
	if step.Kind != StepSend {
		return
	}
	flight.inFlight--
	flight.cancels[step.Attempt]()
	r.handle(Outcome{ID: id, Attempt: step.Attempt, Server: step.Engine.ID, Status: StatusNotSent, RequestDone: true})
}

// handle passes an event to the scheduler and turns its actions into steps.
func (r *Router) handle(e Event) {
	for _, a := range r.scheduler.Handle(r.now(), e, nil) {
		switch a := a.(type) {
		case Send:
			r.startAttempt(a)
		case Reserve:
			if flight := r.flights[a.ID]; flight != nil {
				server := r.scheduler.servers[a.Server].Server
				if flight.nextStep.Kind == StepSend {
					flight.nextStep.ReserveAt = server
				} else {
					flight.reserveNext = server
				}
			}
		case Release:
			if flight := r.flights[a.ID]; flight != nil {
				flight.releasePending = true
				flight.notify()
			}
		case Cancel:
			if flight := r.flights[a.ID]; flight != nil {
				flight.cancels[a.Attempt]()
			}
		case Refuse:
			r.finish(a.ID, Step{Kind: StepRefuse, RetryAfter: millis(a.RetryAfter), Reason: a.Reason})
		case Fail:
			r.finish(a.ID, Step{Kind: StepFail, Reason: a.Reason})
		case SetTimer:
			r.pruneTimers()
			heap.Push(&r.timers, a)
			if r.timers[0] == a {
				select {
				case r.wake <- struct{}{}:
				default:
				}
			}
		case Probe:
			r.probe(r.scheduler.servers[a.Server].Server)
		}
	}
}

// startAttempt makes the scheduler's Send action the next step of a flight.
func (r *Router) startAttempt(send Send) {
	flight := r.flights[send.ID]
	ctx, cancel := context.WithCancel(flight.ctx)
	server := r.scheduler.servers[send.Server]
	request := r.scheduler.requests[send.ID]
	nonIdempotent, sendBefore := server.role != RolePrefill && request.class.Effect == SideEffect, 0.0
	if server.role != RolePrefill && request.class.Effect == TokenEffect && request.firstRun != nil {
		sendBefore = millis(request.firstRun.sentAt + request.class.Window)
	}
	flight.nextStep = Step{
		Kind: StepSend, Attempt: len(flight.sentAt), Engine: server.Server, Prefill: server.role == RolePrefill,
		NonIdempotent: nonIdempotent, SendBefore: sendBefore, Timeout: millis(send.Timeout), Context: ctx,
	}
	flight.sentAt, flight.cancels, flight.inFlight =
		append(flight.sentAt, r.clock.Now()), append(flight.cancels, cancel), flight.inFlight+1
	flight.notify()
}

// finish gives a flight its final step.
func (r *Router) finish(id RequestID, step Step) {
	flight := r.flights[id]
	if flight == nil {
		return
	}
	flight.done = true
	r.dropStep(id, flight) // a node that shuts down gives up requests whose attempts are in flight
	flight.nextStep = step
	flight.notify()
}

// notify wakes waitForStep.
func (f *flight) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// maxStaleTimers is how many timers of ended requests the heap may hold beside as many as are pending.
const maxStaleTimers = 256

// pruneTimers removes the timers of ended requests once they are the greater part of the heap: a client sets how
// long its request's timer runs, however soon the request ends.
func (r *Router) pruneTimers() {
	if len(r.timers) <= 2*len(r.scheduler.timers)+maxStaleTimers {
		return
	}
	r.timers = slices.DeleteFunc(r.timers, func(timer SetTimer) bool {
		_, pending := r.scheduler.timers[timer.Token]
		return !pending
	})
	heap.Init(&r.timers)
}

// timerHeap orders timers by expiry.
type timerHeap []SetTimer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].At < h[j].At || h[i].At == h[j].At && h[i].Token < h[j].Token
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(SetTimer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
