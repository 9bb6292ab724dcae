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
type manualClock struct{ now float64 }

func (clock *manualClock) Now() float64 { return clock.now }

func newTestRouter(t *testing.T, settings Settings, servers ...Server) (*Router, *manualClock) {
	t.Helper()
	clock := &manualClock{1e12}
	router, err := NewRouter(settings, 1, clock, func(Server) {})
	if err != nil {
		t.Fatal(err)
	}
	router.Update(ListWhole, servers)
	return router, clock
}

func testCall(id, class string) Call {
	return Call{ID: RequestID(id), Class: class, Session: 1, PromptTokens: 320, Remaining: 3000}
}

// same compares steps, their contexts aside.
func expectStep(t *testing.T, want, got Step) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(Step{}, "Context")); diff != "" {
		t.Fatal(diff)
	}
}

func TestRouter_RequestLifecycle(t *testing.T) {
	router, clock := newTestRouter(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	step, err := router.Pick(context.Background(), testCall("a", "chat"))
	if err != nil {
		t.Fatal(err)
	}
	expectStep(t, Step{Kind: StepSend, Engine: prefillServer("r1"), Reads: true, Timeout: 3000, Place: decodeServer("w1", 0)}, step)
	if _, err := router.Pick(context.Background(), testCall("a", "chat")); !errors.Is(err, ErrDuplicate) {
		t.Error(err)
	}
	if next, ok := router.Place("a", 0, "w1", true); ok {
		t.Errorf("another place at %s", next.ID)
	}
	clock.now += 80.25
	expectStep(t, Step{Kind: StepSend, Attempt: 1, Engine: decodeServer("w1", 0), Timeout: 2919.75},
		router.Report("a", 0, Result{Status: Parsed}))
	if !router.Begun("a", 1) || router.Begun("a", 1) {
		t.Error("an answer begins once")
	}
	expectStep(t, Step{Kind: StepOver}, router.Report("a", 1, Result{Status: Served}))
	if len(router.flights) != 0 || len(router.sched.reqs) != 0 {
		t.Errorf("left: %v, %v", router.flights, router.sched.reqs)
	}
}

// Timers end a request that nobody takes: Pick blocks until Tick runs them.
func TestRouterTick_NoPrefillServer(t *testing.T) {
	settings := testSettings()
	settings.Limits.RetryAfter, settings.Limits.MaxRetryAfter = true, 400*ms
	router, clock := newTestRouter(t, settings)
	steps := make(chan Step)
	go func() {
		step, _ := router.Pick(context.Background(), testCall("a", "chat"))
		steps <- step
	}()
	<-router.Wake()
	for wait := router.Tick(); wait < 1e9; wait = router.Tick() {
		clock.now += wait
	}
	expectStep(t, Step{Kind: StepRefuse, Release: true, RetryAfter: 400, Why: WhyNoReader}, <-steps)
	if clock.now > 1e12+3000 {
		t.Errorf("refused after %v ms", clock.now-1e12)
	}
}

// A call-off reaches a running attempt as a cancelled context, and a client
// that has left is owed no more sends, whenever it leaves.
func TestRouter_ClientLeaves(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	router, _ := newTestRouter(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	step, _ := router.Pick(ctx, testCall("a", "pay"))
	leave()
	<-step.Context.Done()
	if router.Begun("a", 0) {
		t.Error("an answer begins for nobody")
	}
	expectStep(t, Step{Kind: StepOver, Release: true}, router.Report("a", 0, Result{Status: CalledOff}))
	step, _ = router.Pick(ctx, testCall("b", "pay")) // it had left before
	expectStep(t, Step{Kind: StepOver, Release: true}, step)
	if len(router.flights) != 0 || len(router.sched.reqs) != 0 {
		t.Errorf("left: %v, %v", router.flights, router.sched.reqs)
	}
}

// The module calls off a read that is far overdue at a silent server.
func TestRouter_OverduePrefill(t *testing.T) {
	router, clock := newTestRouter(t, testSettings(), prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
	step, _ := router.Pick(context.Background(), testCall("a", "chat"))
	for step.Context.Err() == nil && clock.now < 1e12+2900 {
		clock.now += router.Tick()
	}
	next := router.Report("a", 0, Result{Status: CalledOff})
	if step.Context.Err() == nil || next.Kind != StepSend || next.Engine.ID == step.Engine.ID {
		t.Errorf("after %s: %+v", step.Engine.ID, next)
	}
}

// Stray reports must neither panic nor act.
func TestRouter_StrayReports(t *testing.T) {
	router, _ := newTestRouter(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	expectStep(t, Step{Kind: StepOver}, router.Report("none", 0, Result{Status: Parsed}))
	expectStep(t, Step{Kind: StepOver}, router.Next("none"))
	if _, ok := router.Place("none", 0, "w1", true); ok || router.Begun("none", 0) || router.Accepts("none") {
		t.Error("acted for a request or a server that is not known")
	}
	if _, err := router.Pick(context.Background(), testCall("a", "nosuch")); !errors.Is(err, ErrUnknownClass) {
		t.Error(err)
	}
	if got := duration(0.0004); got != 0 || duration(1.5) != 1500*time.Microsecond {
		t.Errorf("0.0004 ms is %v", got)
	}
}
