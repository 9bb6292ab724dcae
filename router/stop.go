package router

import (
	"context"
	"fmt"
	"math"
	"time"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lifecycle"
)

// settleMs is how long requests that were ended may take to let go of what they
// hold; releases are repeated for two seconds.
const settleMs = 2500.0

// Shutdown stops the router: for DrainMs requests are still taken, then new ones
// are refused with a time to return, and active ones finish. When ctx ends
// first, they are ended: streams break, requests without an answer fail. What is
// held for them is let go of at every engine before Shutdown returns. The error
// tells that requests had to be ended, with the cause of ctx.
//
// It may be called again, and at the same time; each call's ctx can only make
// the stop shorter.
func (r *Router) Shutdown(ctx context.Context) error {
	if at, ok := ctx.Deadline(); ok { // no attempt is made, and no engine is told a time, beyond it
		r.gw.SetAnswerDeadline(r.clock.Now() + clock.Millis(time.Until(at)))
	}
	r.stop(lifecycle.Times{Drain: r.cfg.DrainMs, Grace: math.Inf(1), Settle: settleMs})
	select {
	case <-r.done:
	case <-ctx.Done():
		r.stop(lifecycle.Times{Settle: settleMs})
		<-r.done
	}
	return r.verdict(context.Cause(ctx))
}

// Close stops the router at once: active requests are ended.
func (r *Router) Close() error {
	r.stop(lifecycle.Times{Settle: settleMs})
	<-r.done
	return r.verdict(ErrShuttingDown)
}

// EndBy tells what the process has left to live, before a Shutdown: from the one time on,
// requests are refused, and by the other, all that have no answer get one, refused where that
// is harmless. No attempt is begun for longer. Answers that have begun go on. Told again, only
// what is sooner counts.
func (r *Router) SetLifetime(l lifecycle.Lifetime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life.Expect(l)
	r.gw.SetAnswerDeadline(l.AnswerBy)
	r.endings = append(r.endings, r.clock.AfterFunc(l.AnswerBy+endAnyway-r.clock.Now(), r.EndUnanswered))
}

func (r *Router) verdict(cause error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.left > 0:
		return fmt.Errorf("router: %d requests were ended, %d of them did not let go in time: %w", r.ended, r.left, cause)
	case r.ended > 0:
		return fmt.Errorf("router: %d requests were ended: %w", r.ended, cause)
	}
	return nil
}

// endAnyway is how many ms behind its time a request without an answer is ended that the
// decisions have not ended: those of an engine's attempts that can't be called off.
const endAnyway = 100.0

// logCounts logs what a shutdown has done to requests so far.
func (r *Router) logCounts(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info(message, "refused_late", r.late, "given_up", r.gaveUp, "active", r.life.Active())
}

// stop begins a stop, or makes one shorter that goes on.
func (r *Router) stop(t lifecycle.Times) {
	r.mu.Lock()
	r.life.Stop(r.clock.Now(), t)
	r.mu.Unlock()
	r.once.Do(func() { go r.carryOut() })
	r.signal()
}

// carryOut does what the router's life says until it is over, and then ends all
// that the router has begun.
func (r *Router) carryOut() {
	defer close(r.done)
	told := false
	for {
		r.mu.Lock()
		do := r.life.Step(r.clock.Now())
		var end []context.CancelCauseFunc
		for _, id := range do.End {
			end = append(end, r.active[id].cancel)
		}
		r.ended += len(end)
		r.mu.Unlock()
		if do.Tell && !told {
			told = true
			r.drained()
		}
		if do.Refuse {
			r.refused()
		}
		for _, cancel := range end {
			cancel(ErrShuttingDown)
		}
		if do.Finished {
			r.mu.Lock()
			r.left = do.Left
			r.mu.Unlock()
			r.logCounts("shutdown: the router is empty")
			break
		}
		due := make(chan struct{})
		stop := func() bool { return true }
		if !math.IsInf(do.Next, 1) {
			stop = r.clock.AfterFunc(max(0, do.Next-r.clock.Now()), func() { close(due) })
		}
		select {
		case <-r.changed:
		case <-due:
		}
		stop()
	}
	r.mu.Lock()
	for _, stop := range r.endings {
		stop()
	}
	r.mu.Unlock()
	r.gw.Wait() // releases go on until they are answered, for two seconds at most
	r.cancel()
	r.running.Wait()
	r.gw.Wait() // probes that the last timers began
	r.transport.Close()
}
