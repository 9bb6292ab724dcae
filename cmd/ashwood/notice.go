package main

import (
	"context"
	"math"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lifecycle"
	"ashwood.example/ashwood/router"
)

// Times of the heartbeat, in ms: by it a process sees that it was stopped or held up.
const (
	beatEvery = 100.0
	// A beat that comes so long behind the one before shows a gap. A shorter one delays the
	// notice of a signal by as much: with it, requests are taken for at most 650 ms from the
	// signal on, and those of the first 700 ms are not held against a process that is killed.
	beatLate = 150.0
	// signalWait is for how long behind a gap nothing is taken on: a signal that came in it
	// may not have been seen yet. It takes far less than a millisecond.
	signalWait = 20.0
)

// notice tells when this process was told to end.
//
// The platform counts from the moment in which it sends the signal. A process that was stopped
// or held up gets its signals late: one that comes with the end of such a gap may have been
// sent at any time in it, and the earliest counts.
type notice struct {
	context.Context // ends when the process is told

	clock clock.Clock
	mu    sync.Mutex
	last  float64 // the last beat
	gap   float64 // the beat before the latest gap
	over  float64 // the end of that gap
	told  float64 // +Inf = not yet
	stop  func() bool
	heard []func() // called when it is told, before the context ends
}

// noticeSignals begins to wait for SIGTERM and interrupts. close ends that.
func noticeSignals(c clock.Clock) (n *notice, close func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	n = newNotice(ctx, c)
	go func() {
		select {
		case <-signals:
			n.hear(cancel)
		case <-ctx.Done():
		}
	}()
	return n, func() {
		signal.Stop(signals)
		cancel()
		n.close()
	}
}

// hear takes a signal in: whoever promises anything knows of it before anybody else.
func (n *notice) hear(end context.CancelFunc) {
	for _, f := range n.tell() {
		f()
	}
	end()
}

func newNotice(ctx context.Context, c clock.Clock) *notice {
	n := &notice{Context: ctx, clock: c, last: c.Now(), told: math.Inf(1)}
	n.stop = c.AfterFunc(beatEvery, n.beat)
	return n
}

// beat notes that the process runs.
func (n *notice) beat() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.look(n.clock.Now())
	if math.IsInf(n.told, 1) {
		n.stop = n.clock.AfterFunc(beatEvery, n.beat)
	}
}

// look notes a gap before now, if there is one.
func (n *notice) look(now float64) {
	if now-n.last > beatLate {
		n.gap, n.over = n.last, now
	}
	n.last = now
}

// tell notes that a signal has come, and gives who is to hear of it.
func (n *notice) tell() (heard []func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.look(now)
	n.told = now
	if n.over > 0 && now-n.over < beatEvery {
		n.told = n.gap
	}
	return n.heard
}

// subscribe has f called with what the process has left to live, once it is told; at once
// where it has been.
func (n *notice) subscribe(set ashwood.Settings, f func(lifecycle.Lifetime)) {
	n.mu.Lock()
	told := !math.IsInf(n.told, 1)
	n.heard = append(n.heard, func() { f(n.lifetime(set)) })
	n.mu.Unlock()
	if told {
		f(n.lifetime(set))
	}
}

// settle waits, right behind a gap, until a signal that came in it has been seen.
func (n *notice) settle() {
	n.mu.Lock()
	now := n.clock.Now()
	n.look(now)
	left := n.over + signalWait - now
	n.mu.Unlock()
	if left > 0 {
		// It ends early where the process is told, which is what it waits for.
		_ = clock.Wait(n, n.clock, left)
	}
}

// settled is a router that takes nothing on before the process knows whether it is to end.
type settled struct {
	*router.Router
	notice *notice
}

// Serve is for fronts.
func (s settled) Serve(ctx context.Context, req *gateway.Request) (gateway.Reply, error) {
	s.notice.settle()
	return s.Router.Serve(ctx, req)
}

// lifetime is what the process has left to live, as far as it knows.
func (n *notice) lifetime(set ashwood.Settings) lifecycle.Lifetime {
	n.mu.Lock()
	defer n.mu.Unlock()
	if math.IsInf(n.told, 1) {
		return lifecycle.Unlimited()
	}
	longest := 0.0
	for _, class := range set.Classes {
		longest = max(longest, clock.Millis(class.Deadline))
	}
	return lifecycle.AfterSignal(n.told, longest)
}

func (n *notice) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop()
	n.told = min(n.told, n.clock.Now()) // no further beat
}
