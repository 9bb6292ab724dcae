package ashwood

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// manualClock is a clock that stands still until a test sets it, in milliseconds.
type manualClock struct{ now float64 }

func (clock *manualClock) Now() float64 { return clock.now }

// newTestRouter returns a router with a snapshot of servers, and its clock at 1e12 ms.
func newTestRouter(t *testing.T, settings Settings, servers ...Server) (*Router, *manualClock) {
	t.Helper()
	clock := &manualClock{1e12}
	router, err := NewRouter(settings, 1, clock, func(Server) {})
	if err != nil {
		t.Fatal(err)
	}
	router.UpdateMembership(MembershipSnapshot, servers)
	return router, clock
}

// testCall returns a request of a class with 3 s left.
func testCall(id, class string) RequestInfo {
	return RequestInfo{ID: RequestID(id), Class: class, Session: 1, PromptTokens: 320, Remaining: 3000}
}

// expectStep compares steps except for their contexts.
func expectStep(t *testing.T, want, got Step) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(Step{}, "Context")); diff != "" {
		t.Fatal(diff)
	}
}

// A request goes through prefill, reservation and decode to its end, and leaves nothing behind.
func TestRouter_RequestLifecycle(t *testing.T) {
	router, clock := newTestRouter(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	step, err := router.Pick(context.Background(), testCall("a", "chat"))
	if err != nil {
		t.Fatal(err)
	}
	expectStep(t, Step{Kind: StepSend, Engine: prefillServer("r1"), Prefill: true, Timeout: 3000, ReserveAt: decodeServer("w1", 0)}, step)
	if _, err := router.Pick(context.Background(), testCall("a", "chat")); !errors.Is(err, ErrDuplicate) {
		t.Error(err)
	}
	if next, ok := router.ReportReservation("a", 0, "w1", true); ok {
		t.Errorf("second reservation at %s, want none after the first was granted", next.ID)
	}
	clock.now += 80.25
	expectStep(t, Step{Kind: StepSend, Attempt: 1, Engine: decodeServer("w1", 0), Timeout: 2919.75},
		router.ReportResult("a", 0, Result{Status: StatusPrefilled}))
	if !router.AnswerStarted("a", 1) || router.AnswerStarted("a", 1) {
		t.Error("Begun doesn't report exactly one beginning of the answer")
	}
	expectStep(t, Step{Kind: StepDone}, router.ReportResult("a", 1, Result{Status: StatusServed}))
	if len(router.flights) != 0 || len(router.scheduler.requests) != 0 {
		t.Errorf("still kept after the end: %v, %v", router.flights, router.scheduler.requests)
	}
}

// A request for which there is no prefill server is refused within its deadline: Pick blocks until Tick runs the timer.
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
	expectStep(t, Step{Kind: StepRefuse, Release: true, RetryAfter: 400, Reason: ReasonNoPrefillServer}, <-steps)
	if clock.now > 1e12+3000 {
		t.Errorf("refused after %v ms, want within 3000", clock.now-1e12)
	}
}

// A client that leaves cancels the context of the attempt in flight, and no further attempt is made for it, whether it
// leaves before or after the call of Pick.
func TestRouter_ClientLeaves(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	router, _ := newTestRouter(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	step, _ := router.Pick(ctx, testCall("a", "pay"))
	leave()
	<-step.Context.Done()
	if router.AnswerStarted("a", 0) {
		t.Error("an answer begins although the client has left")
	}
	expectStep(t, Step{Kind: StepDone, Release: true}, router.ReportResult("a", 0, Result{Status: StatusCancelled}))
	step, _ = router.Pick(ctx, testCall("b", "pay")) // the client left before the call
	expectStep(t, Step{Kind: StepDone, Release: true}, step)
	if len(router.flights) != 0 || len(router.scheduler.requests) != 0 {
		t.Errorf("still kept after the end: %v, %v", router.flights, router.scheduler.requests)
	}
}

// A prefill that is far overdue at a server from which nothing is received is cancelled and goes to another server.
func TestRouter_OverduePrefill(t *testing.T) {
	router, clock := newTestRouter(t, testSettings(), prefillServer("r1"), prefillServer("r2"), decodeServer("w1", 0))
	step, _ := router.Pick(context.Background(), testCall("a", "chat"))
	for step.Context.Err() == nil && clock.now < 1e12+2900 {
		clock.now += router.Tick()
	}
	next := router.ReportResult("a", 0, Result{Status: StatusCancelled})
	if step.Context.Err() == nil || next.Kind != StepSend || next.Engine.ID == step.Engine.ID {
		t.Errorf("after the attempt at %s: next step %+v, want the attempt cancelled and one at another server", step.Engine.ID, next)
	}
}

// Reports on requests that the router doesn't know must neither panic nor lead to a step.
func TestRouter_StrayReports(t *testing.T) {
	router, _ := newTestRouter(t, testSettings(), prefillServer("r1"), decodeServer("w1", 0))
	expectStep(t, Step{Kind: StepDone}, router.ReportResult("none", 0, Result{Status: StatusPrefilled}))
	expectStep(t, Step{Kind: StepDone}, router.Next("none"))
	if _, ok := router.ReportReservation("none", 0, "w1", true); ok || router.AnswerStarted("none", 0) || router.Accepts("none") {
		t.Error("the router acted for an unknown request")
	}
	if _, err := router.Pick(context.Background(), testCall("a", "nosuch")); !errors.Is(err, ErrUnknownClass) {
		t.Error(err)
	}
	if got := duration(0.0004); got != 0 || duration(1.5) != 1500*time.Microsecond {
		t.Errorf("duration of 0.0004 ms is %v, want 0; or that of 1.5 ms is not 1500µs", got)
	}
}
