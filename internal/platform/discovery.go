package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/pacing"
	"ashwood.example/ashwood/internal/wire"
)

// maxMembershipBytes is the largest response body accepted from discovery.
const maxMembershipBytes = 4 << 20

// Discovery follows the membership that the discovery service reports, by long polling.
type Discovery struct {
	clock         clock.Clock
	log           *slog.Logger
	update        func(ashwood.MembershipForm, []ashwood.Server)
	generation    int64 // of the current membership
	hasMembership bool
	schedule      *pacing.WatchSchedule
	processes     atomic.Int32 // that call discovery on behalf of this gateway; 0 counts as 1

	mu          sync.Mutex
	addr        string
	cancelWatch context.CancelFunc // cancels the call to the old address
}

// NewDiscovery returns a Discovery for the service at addr. Run starts it.
func NewDiscovery(addr string, c clock.Clock, log *slog.Logger) *Discovery {
	d := &Discovery{addr: addr, clock: c, log: log, cancelWatch: func() {}}
	d.Configure(ashwood.Settings{}, 0)
	return d
}

// Configure sets the number of gateways, whether this gateway polls a discovery service that all
// gateways share (Settings.Subscribe) or an agent of its own, to which membership is pushed, and
// the seed of its random delays. It must be called before Run.
func (d *Discovery) Configure(settings ashwood.Settings, seed int64) {
	d.schedule = pacing.NewWatchSchedule(settings.Nodes, settings.Subscribe, clock.Millis(settings.Rules.ResubscribeWithin), rand.New(rand.NewSource(seed)))
}

// Share sets how many processes, including this one, poll on behalf of one gateway.
func (d *Discovery) SetProcesses(processes int) { d.processes.Store(int32(processes)) }

// ResumeFrom sets the version of the membership that the gateway already has, so that Run
// watches for changes from there.
func (d *Discovery) ResumeFrom(version int64) { d.generation, d.hasMembership = version, true }

// SetAddress makes Run poll another address from now on. The current membership
// stays until that address has returned its own.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.log.Info("discovery: moved", "from", d.addr, "to", addr)
	d.addr = addr
	d.cancelWatch()
}

// currentAddress returns the address to poll and a context that ends when SetAddress replaces it.
func (d *Discovery) currentAddress(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.cancelWatch = context.WithCancel(ctx)
	return ctx, d.addr
}

// Run calls update for each membership update until ctx ends, starting from the current
// version. Another address may count versions differently, so after SetAddress it fetches
// a whole snapshot.
func (d *Discovery) Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) {
	d.update = update
	for hasMembership := d.hasMembership; ctx.Err() == nil; hasMembership = false {
		addressCtx, addr := d.currentAddress(ctx)
		d.watchAddress(addressCtx, addr, d.generation, hasMembership)
	}
}

// watchAddress long-polls one address until ctx ends. If the service is silent or
// unreachable, it retries; the current membership stays.
func (d *Discovery) watchAddress(ctx context.Context, addr string, generation int64, hasMembership bool) {
	client := &fasthttp.HostClient{
		Addr: addr, ReadTimeout: clock.Duration(pacing.WatchWait + pacing.WatchSlack), WriteTimeout: time.Second,
		MaxIdleConnDuration: time.Minute, MaxResponseBodySize: maxMembershipBytes, MaxIdemponentCallAttempts: 1,
		DialTimeout: func(addr string, timeout time.Duration) (net.Conn, error) {
			dialer := net.Dialer{Timeout: min(timeout, clock.Duration(pacing.WatchSlack))}
			conn, err := dialer.DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return contextConn{conn, context.AfterFunc(ctx, func() { conn.Close() })}, nil
		},
	}
	failures := 0 // consecutive failed calls; an outage is logged only at its begin and its end
	for ctx.Err() == nil {
		start := d.clock.Now()
		wait, timeout := d.schedule.NextTimeouts()
		targets, err := fetchMembership(client, generation, hasMembership, wait, timeout)
		d.log.Debug("list", "from", generation, "watch", hasMembership, "generation", targets.Generation, "whole", targets.Snapshot, "entries", len(targets.Engines),
			"ms", d.clock.Now()-start, "err", err)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failures++; failures == 1 {
				d.log.Warn("discovery: call failed, keeping the current membership", "err", err)
			}
			d.schedule.SetProcesses(max(int(d.processes.Load()), 1))
			clock.Wait(ctx, d.clock, d.schedule.Failed(isTimeout(err)))
			continue
		}
		if failures > 0 {
			d.log.Info("discovery: reachable again", "failed", failures)
			failures = 0
		}
		d.schedule.Succeeded()
		switch {
		case targets.Snapshot:
			d.update(ashwood.MembershipSnapshot, targets.Engines)
		case len(targets.Engines) > 0:
			d.update(ashwood.MembershipDelta, targets.Engines)
		}
		generation, hasMembership = targets.Generation, true
	}
}

// contextConn is a connection that is closed when a context ends: a watch may wait for
// seconds, and fasthttp has no way to cancel one.
type contextConn struct {
	net.Conn
	detach func() bool
}

func (c contextConn) Close() error {
	c.detach()
	return c.Conn.Close()
}

// isTimeout reports whether a call got no response in time, rather than a failure.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &netErr) && netErr.Timeout()
}

// fetchMembership waits for the changes since a version, or gets a whole snapshot if there
// is no version yet. Discovery may hold the call for wait ms; it is given up after timeout ms.
// Version 0 is a version like any other: a request for the whole snapshot instead would be
// answered at once, and repeated without a pause.
func fetchMembership(client *fasthttp.HostClient, generation int64, hasMembership bool, wait, timeout float64) (wire.Targets, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	target := fmt.Sprintf("http://%s/api/targets", client.Addr)
	if hasMembership {
		target += fmt.Sprintf("?from=%d&hold_ms=%.0f", generation, wait)
	}
	req.SetRequestURI(target)
	req.SetTimeout(clock.Duration(timeout))
	if err := client.Do(req, resp); err != nil {
		return wire.Targets{}, fmt.Errorf("platform: discovery: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return wire.Targets{}, fmt.Errorf("platform: discovery answered %d", resp.StatusCode())
	}
	targets, err := wire.DecodeTargets(resp.Body())
	if err != nil {
		return wire.Targets{}, fmt.Errorf("platform: discovery: %w", err)
	}
	return targets, checkUnique(targets)
}

// checkUnique refuses a snapshot that contains an engine twice, because it is unknown which
// entry is valid. A delta may contain several changes of an engine: the last one is valid.
func checkUnique(targets wire.Targets) error {
	seen := map[ashwood.ServerID]bool{}
	for _, engine := range targets.Engines {
		if targets.Snapshot && seen[engine.ID] {
			return fmt.Errorf("platform: discovery: the snapshot contains engine %q twice", engine.ID)
		}
		seen[engine.ID] = true
	}
	return nil
}
