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

func TestDoAnswers(t *testing.T) {
	f := newFleet()
	r := start(t, f, Config{}, WithSource(boxes))
	f.pieces <- "one "
	f.pieces <- "two"
	close(f.pieces)
	a, err := r.Do(context.Background(), request("x", "order"))
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
		t.Errorf("%q, %d in flight", text, r.InFlight())
	}
	if _, err := r.Do(context.Background(), request("y", "odd")); !errors.Is(err, ErrUnknownClass) {
		t.Errorf("a class that is not there: %v", err)
	}
	if r.InFlight() != 0 {
		t.Errorf("%d in flight after an error", r.InFlight())
	}
}

func TestDoTellsErrorsApart(t *testing.T) {
	f := newFleet()
	f.writing = make(chan struct{})
	r := start(t, f, Config{Limits: limits.Config{InFlight: 1}}, WithSource(boxes))
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() {
		_, err := r.Do(ctx, request("x", "order"))
		first <- err
	}()
	until(t, f, "write")
	_, err := r.Do(context.Background(), request("y", "chat"))
	var refused *RefusedError
	var limit *limits.Refusal
	if !errors.As(err, &refused) || !errors.As(err, &limit) || limit.Reason != limits.ReasonTotal || refused.RetryAfter <= 0 {
		t.Errorf("a full house: %v", err)
	}
	cancel()
	if err := <-first; !errors.Is(err, ErrClientGone) {
		t.Errorf("a caller that leaves: %v", err)
	}
	short := request("z", "order")
	short.Remaining = 50
	_, err = r.Do(context.Background(), short)
	var failed *FailedError
	if !errors.As(err, &failed) || !errors.Is(err, ErrDeadline) {
		t.Errorf("no first token in time: %v", err)
	}
}

// A host stops while a request is in each of its states. Each gets its one
// answer, nothing is held anywhere when Shutdown returns, and no order is sent
// twice.
func TestStopInEveryState(t *testing.T) {
	for _, c := range []struct {
		state string
		set   func(f *fleet)
		reach []string
	}{
		{"waiting for an engine", func(*fleet) {}, nil},
		{"a read out", func(f *fleet) { f.reading = make(chan struct{}) }, []string{"read"}},
		{"a place held", func(f *fleet) { f.reading = make(chan struct{}) }, []string{"place"}},
		{"a write out", func(f *fleet) { f.writing = make(chan struct{}) }, []string{"write"}},
		{"half streamed", func(f *fleet) { f.pieces <- "one" }, []string{"write"}},
	} {
		t.Run(c.state, func(t *testing.T) {
			f := newFleet()
			c.set(f)
			f.letting = make(chan struct{})
			var opts []Option
			if len(c.reach) > 0 {
				opts = append(opts, WithSource(boxes))
			}
			r := start(t, f, Config{}, opts...)
			type end struct {
				begun bool
				err   error
			}
			ended := make(chan end, 1)
			begun := make(chan struct{})
			go func() {
				a, err := r.Do(context.Background(), request("x", "order"))
				if err != nil {
					ended <- end{false, err}
					return
				}
				close(begun)
				var last error
				for _, err := range a.Pieces() {
					last = err
				}
				ended <- end{true, last}
			}()
			until(t, f, c.reach...)
			if c.state == "half streamed" {
				<-begun
			}
			for r.InFlight() == 0 && len(c.reach) == 0 && len(ended) == 0 {
				runtime.Gosched()
			}
			ctx, cancel := context.WithCancelCause(context.Background())
			out := errors.New("out of patience")
			stopped := make(chan error, 1)
			go func() { stopped <- r.Shutdown(ctx) }()
			for p := r.Phase(); p == lifecycle.Running; p = r.Phase() {
				runtime.Gosched()
			}
			cancel(out)
			if f.holds() > 0 { // it does not return while a release is out
				until(t, f, "release")
				for range 10000 {
					runtime.Gosched()
				}
				if len(stopped) > 0 {
					t.Error("Shutdown has returned while something is held")
				}
			}
			close(f.letting)
			err := <-stopped
			got := <-ended
			var refused *RefusedError
			switch {
			case len(c.reach) == 0: // without engines it may have been refused before the stop
				if !errors.As(got.err, &refused) && !errors.Is(got.err, ErrShuttingDown) {
					t.Errorf("its answer: %v", got.err)
				}
			case !errors.Is(got.err, ErrShuttingDown) || got.begun != (c.state == "half streamed"):
				t.Errorf("its answer: begun %v, %v", got.begun, got.err)
			case !errors.Is(err, out) || !strings.Contains(err.Error(), "1 requests were ended"):
				t.Errorf("Shutdown: %v", err)
			}
			if n := f.holds(); n != 0 {
				t.Errorf("%d are held when Shutdown has returned", n)
			}
			if !f.closed || r.Phase() != lifecycle.Stopped || f.sends["x"] > 1 {
				t.Errorf("closed %v, %s, %d sends", f.closed, r.Phase(), f.sends["x"])
			}
			if _, err := r.Do(context.Background(), request("late", "chat")); !errors.As(err, &refused) || !errors.Is(err, ErrShuttingDown) {
				t.Errorf("after the stop: %v", err)
			}
		})
	}
}

func TestShutdownLetsThoseInsideFinish(t *testing.T) {
	f := newFleet()
	f.pieces <- "one"
	told, shut := make(chan struct{}), make(chan struct{})
	r := start(t, f, Config{DrainMs: 1}, WithSource(boxes), WithStopHooks(func() { close(told) }, func() { close(shut) }))
	a, err := r.Do(context.Background(), request("x", "order"))
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 2)
	for range 2 { // the second one waits for the same stop
		go func() { stopped <- r.Shutdown(context.Background()) }()
	}
	<-told
	<-shut
	var refused *RefusedError
	if _, err := r.Do(context.Background(), request("y", "chat")); !errors.As(err, &refused) || !errors.Is(err, ErrShuttingDown) || refused.RetryAfter <= 0 {
		t.Errorf("after the stop began: %v", err)
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

// silent is discovery that never answers, and takes its time to end.
type silent struct {
	asked chan struct{}
	ended chan struct{}
}

func (s silent) Run(ctx context.Context, _ func(ashwood.MembershipForm, []ashwood.Server)) error {
	close(s.asked)
	<-ctx.Done()
	for range 10000 {
		runtime.Gosched()
	}
	close(s.ended)
	return ctx.Err()
}

func TestShutdownDuringTheFirstDiscovery(t *testing.T) {
	s := silent{make(chan struct{}), make(chan struct{})}
	r := start(t, newFleet(), Config{}, WithSource(s))
	<-s.asked
	if err := r.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	select {
	case <-s.ended:
	default:
		t.Error("Shutdown has returned before its source had ended")
	}
	if err := r.Start(); !errors.Is(err, lifecycle.ErrStopping) {
		t.Errorf("a second start: %v", err)
	}
}

// Two routers in one process: one is stopped in mid-load, the other does not notice.
func TestTwoRoutersShareNothing(t *testing.T) {
	fa, fb := newFleet(), newFleet()
	close(fa.pieces)
	close(fb.pieces)
	a := start(t, fa, Config{Limits: limits.Config{InFlight: 8}}, WithSource(boxes))
	b := start(t, fb, Config{}, WithSource(boxes))
	const n = 300
	counts := func(r *Router) (served, refused, other int) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for i := range n {
			all.Go(func() {
				ans, err := r.Do(context.Background(), request(fmt.Sprint(i), "order")) // the same ids in both
				var no *RefusedError
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					served++
					ans.Close()
				case errors.As(err, &no):
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
			t.Errorf("the one that stops: %d served, %d refused, %d others", s, r, o)
		}
	})
	all.Go(func() {
		if s, r, o := counts(b); s != n || r != 0 || o != 0 {
			t.Errorf("the one that goes on: %d served, %d refused, %d others", s, r, o)
		}
	})
	all.Go(func() {
		until(t, fa, "read")
		if err := a.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	})
	all.Wait()
	if fb.closed {
		t.Error("the other router's connections were closed")
	}
}

// A thousand starts and stops leave no goroutine behind.
func TestStartsAndStopsLeaveNothing(t *testing.T) {
	cycles := 1000
	if testing.Short() {
		cycles = 100
	}
	before := runtime.NumGoroutine()
	for i := range cycles {
		f := newFleet()
		close(f.pieces)
		r, err := New(Config{Settings: settings()}, WithSource(boxes),
			WithTransport(func(ashwood.Settings, gateway.Clock) (Transport, error) { return f, nil }))
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
		if i%10 == 0 {
			if a, err := r.Do(context.Background(), request("x", "chat")); err != nil {
				t.Fatal(err)
			} else {
				a.Close()
			}
		}
		if err := r.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	// A goroutine that has done its last counts until it is off its processor.
	for i := 0; runtime.NumGoroutine() > before && i < 1e6; i++ {
		runtime.Gosched()
	}
	if after := runtime.NumGoroutine(); after > before {
		buf := make([]byte, 1<<16)
		t.Errorf("%d goroutines before, %d after: %s", before, after, buf[:runtime.Stack(buf, true)])
	}
}

func TestFaultyConfigurations(t *testing.T) {
	for _, c := range []struct {
		cfg  Config
		want string
	}{
		{Config{Settings: settings(), DrainMs: -1}, "router: DrainMs: -1"},
		{Config{Settings: settings(), Limits: limits.Config{InFlight: -1}}, "router: limits: faulty: in_flight: -1"},
		{Config{}, "router: settings: "},
	} {
		if _, err := New(c.cfg); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
}
