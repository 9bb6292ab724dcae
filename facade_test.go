package ashwood

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// stopped is a clock that tests set.
type stopped struct{ now float64 }

func (c *stopped) Now() float64 { return c.now }

func newRouter(t *testing.T, set Settings, list ...Server) (*Router, *stopped) {
	t.Helper()
	c := &stopped{1e12}
	r, err := NewRouter(set, 1, c, func(Server) {})
	if err != nil {
		t.Fatal(err)
	}
	r.Update(MembershipSnapshot, list)
	return r, c
}

func call(id, class string) RequestInfo {
	return RequestInfo{ID: RequestID(id), Class: class, Session: 1, PromptTokens: 320, Remaining: 3000}
}

// same compares steps, their contexts aside.
func same(t *testing.T, want, got Step) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(Step{}, "Context")); diff != "" {
		t.Fatal(diff)
	}
}

func TestRouterTakesARequestThroughItsLife(t *testing.T) {
	r, c := newRouter(t, settings(), reader("r1"), writer("w1", 0))
	step, err := r.Pick(context.Background(), call("a", "chat"))
	if err != nil {
		t.Fatal(err)
	}
	same(t, Step{Kind: StepSend, Engine: reader("r1"), Prefill: true, Timeout: 3000, ReserveAt: writer("w1", 0)}, step)
	if _, err := r.Pick(context.Background(), call("a", "chat")); !errors.Is(err, ErrDuplicate) {
		t.Error(err)
	}
	if next, ok := r.ReportReservation("a", 0, "w1", true); ok {
		t.Errorf("another place at %s", next.ID)
	}
	c.now += 80.25
	same(t, Step{Kind: StepSend, Attempt: 1, Engine: writer("w1", 0), Timeout: 2919.75},
		r.ReportResult("a", 0, Result{Status: StatusPrefilled}))
	if !r.AnswerStarted("a", 1) || r.AnswerStarted("a", 1) {
		t.Error("an answer begins once")
	}
	same(t, Step{Kind: StepDone}, r.ReportResult("a", 1, Result{Status: StatusServed}))
	if len(r.flights) != 0 || len(r.scheduler.requests) != 0 {
		t.Errorf("left: %v, %v", r.flights, r.scheduler.requests)
	}
}

// Timers end a request that nobody takes: Pick blocks until Tick runs them.
func TestTickRefusesInTime(t *testing.T) {
	set := settings()
	set.Limits.RetryAfter, set.Limits.MaxRetryAfter = true, 400*ms
	r, c := newRouter(t, set)
	steps := make(chan Step)
	go func() {
		step, _ := r.Pick(context.Background(), call("a", "chat"))
		steps <- step
	}()
	<-r.Wake()
	for wait := r.Tick(); wait < 1e9; wait = r.Tick() {
		c.now += wait
	}
	same(t, Step{Kind: StepRefuse, Release: true, RetryAfter: 400, Reason: ReasonNoPrefillServer}, <-steps)
	if c.now > 1e12+3000 {
		t.Errorf("refused after %v ms", c.now-1e12)
	}
}

// A call-off reaches a running attempt as a cancelled context, and a client
// that has left is owed no more sends, whenever it leaves.
func TestClientLeaves(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	r, _ := newRouter(t, settings(), reader("r1"), writer("w1", 0))
	step, _ := r.Pick(ctx, call("a", "pay"))
	leave()
	<-step.Context.Done()
	if r.AnswerStarted("a", 0) {
		t.Error("an answer begins for nobody")
	}
	same(t, Step{Kind: StepDone, Release: true}, r.ReportResult("a", 0, Result{Status: StatusCancelled}))
	step, _ = r.Pick(ctx, call("b", "pay")) // it had left before
	same(t, Step{Kind: StepDone, Release: true}, step)
	if len(r.flights) != 0 || len(r.scheduler.requests) != 0 {
		t.Errorf("left: %v, %v", r.flights, r.scheduler.requests)
	}
}

// The module calls off a read that is far overdue at a silent server.
func TestOverdueReadIsCalledOff(t *testing.T) {
	r, c := newRouter(t, settings(), reader("r1"), reader("r2"), writer("w1", 0))
	step, _ := r.Pick(context.Background(), call("a", "chat"))
	for step.Context.Err() == nil && c.now < 1e12+2900 {
		c.now += r.Tick()
	}
	next := r.ReportResult("a", 0, Result{Status: StatusCancelled})
	if step.Context.Err() == nil || next.Kind != StepSend || next.Engine.ID == step.Engine.ID {
		t.Errorf("after %s: %+v", step.Engine.ID, next)
	}
}

// Stray reports must neither panic nor act.
func TestStrayReports(t *testing.T) {
	r, _ := newRouter(t, settings(), reader("r1"), writer("w1", 0))
	same(t, Step{Kind: StepDone}, r.ReportResult("none", 0, Result{Status: StatusPrefilled}))
	same(t, Step{Kind: StepDone}, r.Next("none"))
	if _, ok := r.ReportReservation("none", 0, "w1", true); ok || r.AnswerStarted("none", 0) || r.Accepts("none") {
		t.Error("acted for a request or a server that is not known")
	}
	if _, err := r.Pick(context.Background(), call("a", "nosuch")); !errors.Is(err, ErrUnknownClass) {
		t.Error(err)
	}
	if got := duration(0.0004); got != 0 || duration(1.5) != 1500*time.Microsecond {
		t.Errorf("0.0004 ms is %v", got)
	}
}
