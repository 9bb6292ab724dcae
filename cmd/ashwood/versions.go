package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"syscall"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/handover"
	"ashwood.example/ashwood/router"
)

// Times of an upgrade, in milliseconds.
const (
	lookEvery = 250.0  // at the other processes
	noteWait  = 1000.0 // for those there to take note of a new one
	listWait  = 300.0  // of a new one, for a list that is newer than the known one: what discovery has is told at once
)

// versions is this process among those that serve the gateway's address: usually alone,
// two while a new version takes an old one's place.
type versions struct {
	clock  clock.Clock
	log    *slog.Logger
	group  *handover.Group // nil where there is no folder to meet in
	memory int64           // bytes that all of them may use
	fronts []front         // to be shared out, from follow on

	plan    handover.Plan
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// joinVersions takes note of the processes there and is noted by them, before anything is
// shared: dir is the folder that the platform lets them share, none = alone.
func joinVersions(dir, listen string, memory int64, c clock.Clock, log *slog.Logger) *versions {
	v := &versions{clock: c, log: log, memory: memory, plan: handover.Plan{Processes: 1}, cancel: func() {}}
	if dir == "" {
		return v
	}
	now := c.Now()
	g, err := handover.Join(dir, listen, fmt.Sprintf("%d-%.0f", os.Getpid(), now*1000), now)
	if err != nil {
		log.Warn("upgrade: this process can't be told from others of its address and serves as if alone", "err", err)
		return v
	}
	v.group = g
	v.look()
	return v
}

// alone tells whether no other process serves the address.
func (v *versions) alone() bool { return v.plan.Processes == 1 }

// await waits until the others have taken note of this process, and until it has heard of
// the engines itself: its list may be as old as its configuration. Both are bounded.
func (v *versions) await(ctx context.Context, heard <-chan struct{}) {
	if v.alone() {
		return
	}
	begun := v.clock.Now()
	for ctx.Err() == nil && v.clock.Now()-begun < noteWait {
		if members, _ := v.group.Members(); handover.NotedByAll(v.group.Self().Name, members) {
			break
		}
		clock.Wait(ctx, v.clock, lookEvery/10)
	}
	timeout := make(chan struct{})
	defer v.clock.AfterFunc(listWait, func() { close(timeout) })()
	select {
	case <-heard:
	case <-timeout:
	case <-ctx.Done():
	}
	v.log.Info("upgrade: taking over beside others", "processes", v.plan.Processes, "ms", v.clock.Now()-begun)
}

// follow keeps looking at the others until stop, and shares out with them.
func (v *versions) follow(fronts []front) {
	v.fronts = fronts
	v.share()
	if v.group == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.running.Go(func() {
		for ctx.Err() == nil {
			clock.Wait(ctx, v.clock, lookEvery)
			v.look()
		}
	})
}

// look takes note of the others and acts on what it sees.
func (v *versions) look() {
	members, err := v.group.Members()
	if err != nil {
		v.log.Warn("upgrade: the others can't be seen", "err", err)
		return
	}
	if plan := handover.MakePlan(v.group.Self().Name, members); plan != v.plan {
		v.plan = plan
		v.share()
		v.log.Info("upgrade: processes of this gateway", "count", plan.Processes, "newer_one_serves", plan.Superseded)
	}
	if err := v.group.NoteMembers(members); err != nil {
		v.log.Warn("upgrade: the others can't be told", "err", err)
	}
}

// share keeps this process to its part.
func (v *versions) share() {
	debug.SetMemoryLimit(v.memory / int64(v.plan.Processes))
	for _, f := range v.fronts {
		f.share(v.plan.Processes)
		f.yield(v.plan.Superseded)
	}
}

// tell has the others know how far this process has come.
func (v *versions) tell(s handover.State) {
	if v.group == nil {
		return
	}
	if err := v.group.SetState(s); err != nil {
		v.log.Warn("upgrade: the others can't be told", "err", err)
	}
}

// receive has older processes hand their begun answers to a front, until the returned
// function is called.
func (v *versions) receive(f front) (stop func()) {
	if v.group == nil {
		return func() {}
	}
	stop, err := v.group.Receive(func(message []byte, conns []net.Conn) {
		if err := f.take(message, conns[0], conns[1]); err != nil {
			v.log.Error("upgrade: an answer is lost", "err", err)
		}
	})
	if err != nil {
		v.log.Warn("upgrade: older processes can't hand their answers over", "err", err)
		return func() {}
	}
	return stop
}

// bequeath has a newer process that serves, if there is one, go on with the answers that
// have begun or will.
func (v *versions) bequeath(fronts []front) {
	if v.group == nil {
		return
	}
	members, err := v.group.Members()
	if err != nil {
		v.log.Warn("upgrade: the others can't be seen", "err", err)
	}
	heir, ok := handover.Successor(v.group.Self().Name, members)
	if !ok {
		return
	}
	v.log.Info("upgrade: a newer process goes on with what has begun", "name", heir)
	for _, f := range fronts {
		f.give(func(message []byte, client, engine syscall.Conn) error {
			err := v.group.Send(heir, message, client, engine)
			if err != nil {
				v.log.Warn("upgrade: an answer stays here", "err", err)
			}
			return err
		})
	}
}

// leave ends it.
func (v *versions) leave() {
	v.cancel()
	v.running.Wait()
	if v.group != nil {
		if err := v.group.Leave(); err != nil {
			v.log.Warn("upgrade: a file stays behind", "err", err)
		}
	}
}

// heard is a source that tells when its first list has come.
type heard struct {
	router.Source
	once  sync.Once
	first chan struct{}
}

func (h *heard) Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) error {
	return h.Source.Run(ctx, func(form ashwood.MembershipForm, list []ashwood.Server) {
		update(form, list)
		h.once.Do(func() { close(h.first) })
	})
}
