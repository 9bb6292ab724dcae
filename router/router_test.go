package router

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/lifecycle"
	"ashwood.example/ashwood/limits"
)

func TestDo_Served(t *testing.T) {
	f := newFakeFleet()
	r := startRouter(t, f, Config{}, WithSource(testEngines))
	f.pieces <- "one "
	f.pieces <- "two"
	close(f.pieces)
	a, err := r.Do(context.Background(), newRequest("x", "order"))
	if err != nil {
		t.Fatal(err)
	}
	text := ""
	for piece, err := range a.Pieces() {
		if err != nil {
			t.Fatal(err)
		}
		text += string(piece)
	}
	if text != "one two" || r.InFlight() != 0 {
		t.Errorf("answer %q, %d in flight", text, r.InFlight())
	}
	if _, err := r.Do(context.Background(), newRequest("y", "odd")); !errors.Is(err, ErrUnknownClass) {
		t.Errorf("unknown class: error %v", err)
	}
	if r.InFlight() != 0 {
		t.Errorf("%d in flight after an error", r.InFlight())
	}
}

func TestDo_Errors(t *testing.T) {
	f := newFakeFleet()
	f.decodeGate = make(chan struct{})
	r := startRouter(t, f, Config{Limits: limits.Config{InFlight: 1}}, WithSource(testEngines))
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() {
		_, err := r.Do(ctx, newRequest("x", "order"))
		first <- err
	}()
	waitForCalls(t, f, "decode")
	_, err := r.Do(context.Background(), newRequest("y", "chat"))
	var refused *RefusedError
	var limit *limits.Refusal
	if !errors.As(err, &refused) || !errors.As(err, &limit) || limit.Reason != limits.ReasonTotal || refused.RetryAfter <= 0 {
		t.Errorf("at the total limit: error %v", err)
	}
	cancel()
	if err := <-first; !errors.Is(err, ErrClientGone) {
		t.Errorf("cancelled caller: error %v", err)
	}
	short := newRequest("z", "order")
	short.Remaining = 50
	_, err = r.Do(context.Background(), short)
	var failed *FailedError
	if !errors.As(err, &failed) || !errors.Is(err, ErrDeadline) {
		t.Errorf("no first token before the deadline: error %v", err)
	}
}

// Shutdown runs out of time while a request is in each of its states. Each request gets
// exactly one answer, no engine holds anything when Shutdown returns, and no request with a
// side effect is sent twice.
func TestShutdown_EveryRequestState(t *testing.T) {
	for _, c := range []struct {
		state   string
		prepare func(f *fakeFleet)
		calls   []string
	}{
		{"waiting for an engine", func(*fakeFleet) {}, nil},
		{"prefill in flight", func(f *fakeFleet) { f.prefillGate = make(chan struct{}) }, []string{"prefill"}},
		{"reservation held", func(f *fakeFleet) { f.prefillGate = make(chan struct{}) }, []string{"reserve"}},
		{"decode in flight", func(f *fakeFleet) { f.decodeGate = make(chan struct{}) }, []string{"decode"}},
		{"partly streamed", func(f *fakeFleet) { f.pieces <- "one" }, []string{"decode"}},
	} {
		t.Run(c.state, func(t *testing.T) {
			f := newFakeFleet()
			c.prepare(f)
			f.releaseGate = make(chan struct{})
			var opts []Option
			if len(c.calls) > 0 {
				opts = append(opts, WithSource(testEngines))
			}
			r := startRouter(t, f, Config{}, opts...)
			type result struct {
				started bool
				err     error
			}
			results := make(chan result, 1)
			started := make(chan struct{})
			go func() {
				a, err := r.Do(context.Background(), newRequest("x", "order"))
				if err != nil {
					results <- result{false, err}
					return
				}
				close(started)
				var last error
				for _, err := range a.Pieces() {
					last = err
				}
				results <- result{true, last}
			}()
			waitForCalls(t, f, c.calls...)
			if c.state == "partly streamed" {
				<-started
			}
			for r.InFlight() == 0 && len(c.calls) == 0 && len(results) == 0 {
				runtime.Gosched()
			}
			ctx, cancel := context.WithCancelCause(context.Background())
			errDeadline := errors.New("shutdown deadline")
			stopped := make(chan error, 1)
			go func() { stopped <- r.Shutdown(ctx) }()
			for p := r.Phase(); p == lifecycle.Running; p = r.Phase() {
				runtime.Gosched()
			}
			cancel(errDeadline)
			if f.countHeld() > 0 { // Shutdown must not return while a release is in flight
				waitForCalls(t, f, "release")
				for range 10000 {
					runtime.Gosched()
				}
				if len(stopped) > 0 {
					t.Error("Shutdown returned while an engine has a hold")
				}
			}
			close(f.releaseGate)
			err := <-stopped
			got := <-results
			var refused *RefusedError
			switch {
			case len(c.calls) == 0: // without engines it may have been refused before the shutdown
				if !errors.As(got.err, &refused) && !errors.Is(got.err, ErrShuttingDown) {
					t.Errorf("answer: error %v", got.err)
				}
			case !errors.Is(got.err, ErrShuttingDown) || got.started != (c.state == "partly streamed"):
				t.Errorf("answer: started %v, error %v", got.started, got.err)
			case !errors.Is(err, errDeadline) || !strings.Contains(err.Error(), "1 requests were ended"):
				t.Errorf("Shutdown: error %v", err)
			}
			if n := f.countHeld(); n != 0 {
				t.Errorf("%d holds left after Shutdown", n)
			}
			if !f.closed || r.Phase() != lifecycle.Stopped || f.decodeSends["x"] > 1 {
				t.Errorf("transport closed %v, phase %s, %d sends", f.closed, r.Phase(), f.decodeSends["x"])
			}
			if _, err := r.Do(context.Background(), newRequest("late", "chat")); !errors.As(err, &refused) || !errors.Is(err, ErrShuttingDown) {
				t.Errorf("request after the shutdown: error %v", err)
			}
		})
	}
}

func TestShutdown_ActiveRequestsFinish(t *testing.T) {
	f := newFakeFleet()
	f.pieces <- "one"
	draining, refusing := make(chan struct{}), make(chan struct{})
	r := startRouter(t, f, Config{DrainMs: 1}, WithSource(testEngines), WithStopHooks(func() { close(draining) }, func() { close(refusing) }))
	a, err := r.Do(context.Background(), newRequest("x", "order"))
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 2)
	for range 2 { // the second call waits for the same shutdown
		go func() { stopped <- r.Shutdown(context.Background()) }()
	}
	<-draining
	<-refusing
	var refused *RefusedError
	if _, err := r.Do(context.Background(), newRequest("y", "chat")); !errors.As(err, &refused) || !errors.Is(err, ErrShuttingDown) || refused.RetryAfter <= 0 {
		t.Errorf("request while the router stops: error %v", err)
	}
	close(f.pieces)
	for _, err := range a.Pieces() {
		if err != nil {
			t.Error(err)
		}
	}
	for range 2 {
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	}
}

// blockedSource is a source that never reports a membership and returns late.
type blockedSource struct {
	started  chan struct{}
	returned chan struct{}
}

func (s blockedSource) Run(ctx context.Context, _ func(ashwood.MembershipForm, []ashwood.Server)) error {
	close(s.started)
	<-ctx.Done()
	for range 10000 {
		runtime.Gosched()
	}
	close(s.returned)
	return ctx.Err()
}

func TestShutdown_DuringFirstDiscovery(t *testing.T) {
	source := blockedSource{make(chan struct{}), make(chan struct{})}
	r := startRouter(t, newFakeFleet(), Config{}, WithSource(source))
	<-source.started
	if err := r.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	select {
	case <-source.returned:
	default:
		t.Error("Shutdown returned before its source")
	}
	if err := r.Start(); !errors.Is(err, lifecycle.ErrStopping) {
		t.Errorf("Start after Shutdown: error %v", err)
	}
}

// Two routers run in one process: stopping one under load does not affect the other.
func TestTwoRouters_OneStops(t *testing.T) {
	fa, fb := newFakeFleet(), newFakeFleet()
	close(fa.pieces)
	close(fb.pieces)
	a := startRouter(t, fa, Config{Limits: limits.Config{InFlight: 8}}, WithSource(testEngines))
	b := startRouter(t, fb, Config{}, WithSource(testEngines))
	const n = 300
	counts := func(r *Router) (served, refused, other int) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for i := range n {
			all.Go(func() {
				answer, err := r.Do(context.Background(), newRequest(fmt.Sprint(i), "order")) // both routers get the same ids
				var refusal *RefusedError
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					served++
					answer.Close()
				case errors.As(err, &refusal):
					refused++
				default:
					other++
				}
			})
		}
		all.Wait()
		return served, refused, other
	}
	var all sync.WaitGroup
	all.Go(func() {
		if s, r, o := counts(a); s+r != n || o != 0 {
			t.Errorf("stopped router: %d served, %d refused, %d others", s, r, o)
		}
	})
	all.Go(func() {
		if s, r, o := counts(b); s != n || r != 0 || o != 0 {
			t.Errorf("running router: %d served, %d refused, %d others", s, r, o)
		}
	})
	all.Go(func() {
		waitForCalls(t, fa, "prefill")
		if err := a.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	})
	all.Wait()
	if fb.closed {
		t.Error("the running router's transport was closed")
	}
}

// A thousand starts and shutdowns leak no goroutine.
func TestStartStop_NoGoroutineLeak(t *testing.T) {
	cycles := 1000
	if testing.Short() {
		cycles = 100
	}
	before := runtime.NumGoroutine()
	for i := range cycles {
		f := newFakeFleet()
		close(f.pieces)
		r, err := New(Config{Settings: testSettings()}, WithSource(testEngines),
			WithTransport(func(ashwood.Settings, gateway.Clock) (Transport, error) { return f, nil }))
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
		if i%10 == 0 {
			if a, err := r.Do(context.Background(), newRequest("x", "chat")); err != nil {
				t.Fatal(err)
			} else {
				a.Close()
			}
		}
		if err := r.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	// A goroutine that has returned is counted until the runtime has descheduled it.
	for i := 0; runtime.NumGoroutine() > before && i < 1e6; i++ {
		runtime.Gosched()
	}
	if after := runtime.NumGoroutine(); after > before {
		buf := make([]byte, 1<<16)
		t.Errorf("%d goroutines before, %d after: %s", before, after, buf[:runtime.Stack(buf, true)])
	}
}

func TestNew_InvalidConfig(t *testing.T) {
	for _, c := range []struct {
		cfg  Config
		want string
	}{
		{Config{Settings: testSettings(), DrainMs: -1}, "router: DrainMs: -1"},
		{Config{Settings: testSettings(), Limits: limits.Config{InFlight: -1}}, "router: limits: invalid configuration: in_flight: -1"},
		{Config{}, "router: settings: "},
	} {
		if _, err := New(c.cfg); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want it to contain %q", err, c.want)
		}
	}
}
