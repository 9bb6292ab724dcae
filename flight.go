package ashwood

import (
	"container/heap"
	"context"
)

// flight is a request on its way through the router.
type flight struct {
	ctx            context.Context
	changed        chan struct{} // something below has changed
	nextStep       Step          // the next one; Kind 0 = not known yet
	reserveNext    Server        // a place to ask for while a read is out
	releasePending bool
	done           bool
	inFlight       int // attempts
	sentAt         []float64
	cancels        []context.CancelFunc
}

// wait gives a flight's next step once there is one.
func (t *Router) waitForStep(id RequestID, f *flight) Step {
	for {
		if step := t.takeStep(id, f); step.Kind != 0 {
			return step
		}
		select {
		case <-f.changed:
		case <-f.ctx.Done():
		}
	}
}

// step gives a flight's next step, without a kind as long as there is none.
func (t *Router) takeStep(id RequestID, f *flight) Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkDisconnect(id, f)
	step := f.nextStep
	switch {
	case step.Kind != 0:
	case f.done:
		step.Kind = StepDone
	case f.releasePending:
		step.Kind = StepRelease
	default:
		return step
	}
	step.Release = f.releasePending
	f.nextStep, f.releasePending = Step{}, false
	if f.done && f.inFlight == 0 {
		delete(t.flights, id)
	}
	return step
}

// leave tells the module that a request's client has left. A step not yet
// taken up is dropped, its attempt reported as never sent.
func (t *Router) checkDisconnect(id RequestID, f *flight) {
	if f.done || f.ctx.Err() == nil {
		return
	}
	f.done = true
	t.handle(ClientDisconnected{id})
	t.dropStep(id, f)
}

// drop takes back a step that has not been taken up, and reports its attempt as never sent.
func (t *Router) dropStep(id RequestID, f *flight) {
	step := f.nextStep
	f.nextStep = Step{}
	if step.Kind != StepSend {
		return
	}
	f.inFlight--
	f.cancels[step.Attempt]()
	t.handle(Outcome{ID: id, Attempt: step.Attempt, Server: step.Engine.ID, Status: StatusNotSent, RequestDone: true})
}

// handle puts an event to the module and turns its actions into steps.
func (t *Router) handle(e Event) {
	for _, a := range t.scheduler.Handle(t.now(), e, nil) {
		switch a := a.(type) {
		case Send:
			t.startAttempt(a)
		case Reserve:
			if f := t.flights[a.ID]; f != nil {
				place := t.scheduler.servers[a.Server].Server
				if f.nextStep.Kind == StepSend {
					f.nextStep.ReserveAt = place
				} else {
					f.reserveNext = place
				}
			}
		case Release:
			if f := t.flights[a.ID]; f != nil {
				f.releasePending = true
				f.notify()
			}
		case Cancel:
			if f := t.flights[a.ID]; f != nil {
				f.cancels[a.Attempt]()
			}
		case Refuse:
			t.finish(a.ID, Step{Kind: StepRefuse, RetryAfter: millis(a.RetryAfter), Reason: a.Reason})
		case Fail:
			t.finish(a.ID, Step{Kind: StepFail, Reason: a.Reason})
		case SetTimer:
			heap.Push(&t.timers, a)
			if t.timers[0] == a {
				select {
				case t.wake <- struct{}{}:
				default:
				}
			}
		case Probe:
			t.probe(t.scheduler.servers[a.Server].Server)
		}
	}
}

func (t *Router) startAttempt(a Send) {
	f := t.flights[a.ID]
	ctx, cancel := context.WithCancel(f.ctx)
	v := t.scheduler.servers[a.Server]
	r := t.scheduler.requests[a.ID]
	once, until := v.role != RoleRead && r.class.Effect == SideEffect, 0.0
	if v.role != RoleRead && r.class.Effect == TokenEffect && r.firstRun != nil {
		until = millis(r.firstRun.sentAt + r.class.Window)
	}
	f.nextStep = Step{
		Kind: StepSend, Attempt: len(f.sentAt), Engine: v.Server, Prefill: v.role == RoleRead, NonRepeatable: once, SendBefore: until,
		Timeout: millis(a.Timeout), Context: ctx,
	}
	f.sentAt, f.cancels, f.inFlight = append(f.sentAt, t.clock.Now()), append(f.cancels, cancel), f.inFlight+1
	f.notify()
}

func (t *Router) finish(id RequestID, step Step) {
	f := t.flights[id]
	if f == nil {
		return
	}
	f.done = true
	t.dropStep(id, f) // a node that ends gives up requests whose attempts are out
	f.nextStep = step
	f.notify()
}

func (f *flight) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// timerHeap orders timers by the time that they fall due.
type timerHeap []SetTimer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].At < h[j].At || h[i].At == h[j].At && h[i].Token < h[j].Token
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(SetTimer)) }

// Pop is for container/heap.
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
