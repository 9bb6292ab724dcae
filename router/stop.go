package router

import (
	"context"
	"fmt"
	"math"
	"time"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lifecycle"
)

// releaseTimeoutMs is how long requests that the shutdown ended may take until the KV state
// and reservations held for them are released; releases are repeated for two seconds.
const releaseTimeoutMs = 2500.0

// Shutdown stops the router: it admits requests for DrainMs longer, then refuses new ones with
// a retry time and lets active ones finish. If ctx ends first, it ends them: streams break
// off, requests without an answer fail. Before Shutdown returns, every engine has released
// what it holds for them. The error says how many requests had to be ended, and wraps the
// cause of ctx.
//
// It may be called more than once, also concurrently; each call's ctx can only shorten the
// shutdown.
func (r *Router) Shutdown(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok { // no attempt, and no remaining time sent to an engine, goes beyond it
		r.gateway.SetAnswerDeadline(r.clock.Now() + clock.Millis(time.Until(deadline)))
	}
	r.stop(lifecycle.Timeouts{Drain: r.cfg.DrainMs, Grace: math.Inf(1), Release: releaseTimeoutMs})
	select {
	case <-r.done:
	case <-ctx.Done():
		r.stop(lifecycle.Timeouts{Release: releaseTimeoutMs})
		<-r.done
	}
	return r.stopError(context.Cause(ctx))
}

// Close stops the router at once and ends the active requests.
func (r *Router) Close() error {
	r.stop(lifecycle.Timeouts{Release: releaseTimeoutMs})
	<-r.done
	return r.stopError(ErrShuttingDown)
}

// SetLifetime announces a coming Shutdown: from lifetime.AdmitUntil on, requests are refused,
// and by lifetime.AnswerBy, each request without an answer gets its reply: refused where a
// retry is safe, else failed. No attempt lasts longer than that. Answers that have started
// continue. Of several calls, the earliest times apply.
func (r *Router) SetLifetime(lifetime lifecycle.Lifetime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.SetLifetime(lifetime)
	r.gateway.SetAnswerDeadline(lifetime.AnswerBy)
	r.answerTimers = append(r.answerTimers, r.clock.AfterFunc(lifetime.AnswerBy+endUnansweredAfter-r.clock.Now(), r.EndUnanswered))
}

// stopError returns the error of Shutdown and Close: nil unless requests had to be ended.
func (r *Router) stopError(cause error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.unreleased > 0:
		return fmt.Errorf("router: %d requests were ended, %d of them not released in time: %w", r.endedByStop, r.unreleased, cause)
	case r.endedByStop > 0:
		return fmt.Errorf("router: %d requests were ended: %w", r.endedByStop, cause)
	}
	return nil
}

// endUnansweredAfter is how many ms after the answer deadline the router itself ends a request
// without an answer: the decision module leaves those whose attempt can't be cancelled.
const endUnansweredAfter = 100.0

// logCounts logs how many requests the shutdown has refused and ended so far, and how many
// are still active.
func (r *Router) logCounts(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logger.Info(message, "refused_late", r.refusedLate, "given_up", r.givenUp, "active", r.machine.Active())
}

// stop starts the shutdown, or shortens the one in progress.
func (r *Router) stop(timeouts lifecycle.Timeouts) {
	r.mu.Lock()
	r.machine.Stop(r.clock.Now(), timeouts)
	r.mu.Unlock()
	r.stopOnce.Do(func() { go r.runStop() })
	r.notifyStop()
}

// runStop carries out the actions of the lifecycle machine until it has stopped. Then it ends
// the router's goroutines, timers and connections.
func (r *Router) runStop() {
	defer close(r.done)
	drainNotified := false
	for {
		r.mu.Lock()
		actions := r.machine.Step(r.clock.Now())
		var cancels []context.CancelCauseFunc
		for _, id := range actions.Cancel {
			cancels = append(cancels, r.active[id].cancel)
		}
		r.endedByStop += len(cancels)
		r.mu.Unlock()
		if actions.NotifyDrain && !drainNotified {
			drainNotified = true
			r.onDrain()
		}
		if actions.RefuseNew {
			r.onRefuse()
		}
		for _, cancel := range cancels {
			cancel(ErrShuttingDown)
		}
		if actions.Finished {
			r.mu.Lock()
			r.unreleased = actions.Unreleased
			r.mu.Unlock()
			r.logCounts("shutdown: router stopped")
			break
		}
		timer := make(chan struct{})
		stop := func() bool { return true }
		if !math.IsInf(actions.NextStepAt, 1) {
			stop = r.clock.AfterFunc(max(0, actions.NextStepAt-r.clock.Now()), func() { close(timer) })
		}
		select {
		case <-r.wakeStop:
		case <-timer:
		}
		stop()
	}
	r.mu.Lock()
	for _, stop := range r.answerTimers {
		stop()
	}
	r.mu.Unlock()
	r.gateway.Wait() // releases are repeated until they are answered, for two seconds at most
	r.cancel()
	r.goroutines.Wait()
	r.gateway.Wait() // probes that the last timers started
	r.transport.Close()
}
