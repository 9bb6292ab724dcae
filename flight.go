package ashwood

import (
	"container/heap"
	"context"
)

// flight is a request on its way through the router.
type flight struct {
	ctx     context.Context
	ready   chan struct{} // something below has changed
	step    Step          // the next one; Kind 0 = not known yet
	place   Server        // a place to ask for while a read is out
	release bool
	over    bool
	out     int // attempts
	sent    []float64
	cancel  []context.CancelFunc
}

// wait gives a flight's next step once there is one.
func (t *Router) wait(id RequestID, f *flight) Step {
	for {
		if step := t.step(id, f); step.Kind != 0 {
			return step
		}
		select {
		case <-f.ready:
		case <-f.ctx.Done():
		}
	}
}

// step gives a flight's next step, without a kind as long as there is none.
func (t *Router) step(id RequestID, f *flight) Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave(id, f)
	step := f.step
	switch {
	case step.Kind != 0:
	case f.over:
		step.Kind = StepDone
	case f.release:
		step.Kind = StepRelease
	default:
		return step
	}
	step.Release = f.release
	f.step, f.release = Step{}, false
	if f.over && f.out == 0 {
		delete(t.flights, id)
	}
	return step
}

// leave tells the module that a request's client has left. A step not yet
// taken up is dropped, its attempt reported as never sent.
func (t *Router) leave(id RequestID, f *flight) {
	if f.over || f.ctx.Err() == nil {
		return
	}
	f.over = true
	t.handle(ClientDisconnected{id})
	t.drop(id, f)
}

// drop takes back a step that has not been taken up, and reports its attempt as never sent.
func (t *Router) drop(id RequestID, f *flight) {
	step := f.step
	f.step = Step{}
	if step.Kind != StepSend {
		return
	}
	f.out--
	f.cancel[step.Attempt]()
	t.handle(Outcome{ID: id, Attempt: step.Attempt, Server: step.Engine.ID, Status: StatusNotSent, RequestDone: true})
}

// handle puts an event to the module and turns its actions into steps.
func (t *Router) handle(e Event) {
	for _, a := range t.sched.Handle(t.now(), e, nil) {
		switch a := a.(type) {
		case Send:
			t.send(a)
		case Reserve:
			if f := t.flights[a.ID]; f != nil {
				place := t.sched.servers[a.Server].Server
				if f.step.Kind == StepSend {
					f.step.ReserveAt = place
				} else {
					f.place = place
				}
			}
		case Release:
			if f := t.flights[a.ID]; f != nil {
				f.release = true
				f.signal()
			}
		case Cancel:
			if f := t.flights[a.ID]; f != nil {
				f.cancel[a.Attempt]()
			}
		case Refuse:
			t.final(a.ID, Step{Kind: StepRefuse, RetryAfter: millis(a.RetryAfter), Reason: a.Reason})
		case Fail:
			t.final(a.ID, Step{Kind: StepFail, Reason: a.Reason})
		case SetTimer:
			heap.Push(&t.timers, a)
			if t.timers[0] == a {
				select {
				case t.wake <- struct{}{}:
				default:
				}
			}
		case Probe:
			t.probe(t.sched.servers[a.Server].Server)
		}
	}
}

func (t *Router) send(a Send) {
	f := t.flights[a.ID]
	ctx, cancel := context.WithCancel(f.ctx)
	v := t.sched.servers[a.Server]
	r := t.sched.reqs[a.ID]
	once, until := v.role != RoleRead && r.class.Effect == SideEffect, 0.0
	if v.role != RoleRead && r.class.Effect == TokenEffect && r.ran != nil {
		until = millis(r.ran.sent + r.class.Window)
	}
	f.step = Step{
		Kind: StepSend, Attempt: len(f.sent), Engine: v.Server, Prefill: v.role == RoleRead, NonRepeatable: once, SendBefore: until,
		Timeout: millis(a.Timeout), Context: ctx,
	}
	f.sent, f.cancel, f.out = append(f.sent, t.clock.Now()), append(f.cancel, cancel), f.out+1
	f.signal()
}

func (t *Router) final(id RequestID, step Step) {
	f := t.flights[id]
	if f == nil {
		return
	}
	f.over = true
	t.drop(id, f) // a node that ends gives up requests whose attempts are out
	f.step = step
	f.signal()
}

func (f *flight) signal() {
	select {
	case f.ready <- struct{}{}:
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
