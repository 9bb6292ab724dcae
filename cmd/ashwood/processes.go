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
	refreshInterval    = 250.0  // between two looks at the group's other processes
	acknowledgeTimeout = 1000.0 // a new process waits this long for the others to see it
	// A new process waits this long for a membership newer than the configured one. Discovery
	// sends what it has at once.
	membershipTimeout = 300.0
)

// processGroup tracks the processes that serve the gateway's address, this one included:
// usually one, two while a new version replaces an old one. It divides the machine's limits
// among them, and hands started answers from an older process to a newer one.
type processGroup struct {
	clock       clock.Clock
	log         *slog.Logger
	group       *handover.Group // nil without a shared folder
	memoryBytes int64           // what all processes together may use
	fronts      []front         // whose limits are divided; set by watch

	plan    handover.Plan
	watcher sync.WaitGroup
	cancel  context.CancelFunc
}

// joinProcessGroup registers this process in the folder that the platform lets processes
// share, and sees the others there before any limit is divided. Without dir the process is
// alone.
func joinProcessGroup(dir, listen string, memory int64, c clock.Clock, log *slog.Logger) *processGroup {
	g := &processGroup{clock: c, log: log, memoryBytes: memory, plan: handover.Plan{Processes: 1}, cancel: func() {}}
	if dir == "" {
		return g
	}
	now := c.Now()
	group, err := handover.Join(dir, listen, fmt.Sprintf("%d-%.0f", os.Getpid(), now*1000), now)
	if err != nil {
		log.Warn("upgrade: can't register with the other processes of this address, serving as if alone", "err", err)
		return g
	}
	g.group = group
	g.refresh()
	return g
}

// alone reports whether no other process serves the address.
func (g *processGroup) alone() bool { return g.plan.Processes == 1 }

// awaitReady waits until the others have seen this process, and until it has received a
// membership from discovery: the configured one may be as old as the configuration. Both
// waits are bounded.
func (g *processGroup) awaitReady(ctx context.Context, received <-chan struct{}) {
	if g.alone() {
		return
	}
	startedAt := g.clock.Now()
	for ctx.Err() == nil && g.clock.Now()-startedAt < acknowledgeTimeout {
		if members, _ := g.group.Members(); handover.NotedByAll(g.group.Self().Name, members) {
			break
		}
		clock.Wait(ctx, g.clock, refreshInterval/10)
	}
	timeout := make(chan struct{})
	defer g.clock.AfterFunc(membershipTimeout, func() { close(timeout) })()
	select {
	case <-received:
	case <-timeout:
	case <-ctx.Done():
	}
	g.log.Info("upgrade: waited for the other processes", "processes", g.plan.Processes, "ms", g.clock.Now()-startedAt)
}

// watch refreshes the view of the other processes until leave, and applies this process's
// share to its fronts.
func (g *processGroup) watch(fronts []front) {
	g.fronts = fronts
	g.applyShare()
	if g.group == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.watcher.Go(func() {
		for ctx.Err() == nil {
			clock.Wait(ctx, g.clock, refreshInterval)
			g.refresh()
		}
	})
}

// refresh reads which processes there are, applies a change of this process's share and
// acknowledges them.
func (g *processGroup) refresh() {
	members, err := g.group.Members()
	if err != nil {
		g.log.Warn("upgrade: can't read which other processes there are", "err", err)
		return
	}
	if plan := handover.MakePlan(g.group.Self().Name, members); plan != g.plan {
		g.plan = plan
		g.applyShare()
		g.log.Info("upgrade: processes of this gateway", "count", plan.Processes, "newer_one_serves", plan.Superseded)
	}
	if err := g.group.NoteMembers(members); err != nil {
		g.log.Warn("upgrade: can't publish this process's state", "err", err)
	}
}

// applyShare limits this process to its share of the machine.
func (g *processGroup) applyShare() {
	debug.SetMemoryLimit(g.memoryBytes / int64(g.plan.Processes))
	for _, f := range g.fronts {
		f.setProcesses(g.plan.Processes)
		f.disableKeepAlives(g.plan.Superseded)
	}
}

// announce publishes this process's state to the others.
func (g *processGroup) announce(s handover.State) {
	if g.group == nil {
		return
	}
	if err := g.group.SetState(s); err != nil {
		g.log.Warn("upgrade: can't publish this process's state", "err", err)
	}
}

// receiveStreams accepts started answers from older processes and passes them to a front,
// until stop is called.
func (g *processGroup) receiveStreams(f front) (stop func()) {
	if g.group == nil {
		return func() {}
	}
	stop, err := g.group.Receive(func(message []byte, conns []net.Conn) {
		if err := f.adopt(message, conns[0], conns[1]); err != nil {
			g.log.Error("upgrade: taking over an answer failed, the answer is lost", "err", err)
		}
	})
	if err != nil {
		g.log.Warn("upgrade: can't receive answers from older processes", "err", err)
		return func() {}
	}
	return stop
}

// handOverStreams hands the answers that have started, and those that will, to a newer process
// that serves, if there is one.
func (g *processGroup) handOverStreams(fronts []front) {
	if g.group == nil {
		return
	}
	members, err := g.group.Members()
	if err != nil {
		g.log.Warn("upgrade: can't read which other processes there are", "err", err)
	}
	successor, ok := handover.Successor(g.group.Self().Name, members)
	if !ok {
		return
	}
	g.log.Info("upgrade: a newer process goes on with what has begun", "name", successor)
	for _, f := range fronts {
		f.setHandover(func(message []byte, client, engine syscall.Conn) error {
			err := g.group.Send(successor, message, client, engine)
			if err != nil {
				g.log.Warn("upgrade: handing over an answer failed, this process finishes it", "err", err)
			}
			return err
		})
	}
}

// leave stops watching and removes this process from the group.
func (g *processGroup) leave() {
	g.cancel()
	g.watcher.Wait()
	if g.group != nil {
		if err := g.group.Leave(); err != nil {
			g.log.Warn("upgrade: can't remove this process from the group", "err", err)
		}
	}
}

// firstUpdateSource is a source that closes received after its first membership update.
type firstUpdateSource struct {
	router.Source
	once     sync.Once
	received chan struct{}
}

// Run runs the source and watches for its first update.
func (s *firstUpdateSource) Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) error {
	return s.Source.Run(ctx, func(form ashwood.MembershipForm, servers []ashwood.Server) {
		update(form, servers)
		s.once.Do(func() { close(s.received) })
	})
}
