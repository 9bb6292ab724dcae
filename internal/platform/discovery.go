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

const maxList = 4 << 20 // bytes of a list

// Discovery follows the list of engines.
type Discovery struct {
	clock  clock.Clock
	log    *slog.Logger
	update func(ashwood.MembershipForm, []ashwood.Server)
	from   int64 // the version in hand
	inHand bool
	pace   *pacing.Reopen
	shares atomic.Int32 // processes that ask in the place of one gateway; 0 = 1

	mu    sync.Mutex
	addr  string
	moved context.CancelFunc // ends what is being asked of the old address
}

// NewDiscovery makes a follower.
func NewDiscovery(addr string, c clock.Clock, log *slog.Logger) *Discovery {
	d := &Discovery{addr: addr, clock: c, log: log, moved: func() {}}
	d.Configure(ashwood.Settings{}, 0)
	return d
}

// Fleet says how many gateways there are, whether lists are pushed to an agent of this
// one's own or asked for at a discovery that serves all, and the seed from which its
// waits are drawn. It is to be called before Run.
func (d *Discovery) Configure(set ashwood.Settings, seed int64) {
	d.pace = pacing.NewReopen(set.Nodes, set.Subscribe, clock.Millis(set.Rules.ResubscribeWithin), rand.New(rand.NewSource(seed)))
}

// Share says how many processes, this one among them, ask in the place of one gateway.
func (d *Discovery) SetProcesses(processes int) { d.shares.Store(int32(processes)) }

// Known says which version of the list is in hand, so that Run watches from there.
func (d *Discovery) ResumeFrom(version int64) { d.from, d.inHand = version, true }

// Move has discovery asked at another address from now on. The list in hand
// stays until that has answered with one of its own.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.log.Info("discovery: moved", "from", d.addr, "to", addr)
	d.addr = addr
	d.moved()
}

// leg gives the address to ask and a context that ends when it is left.
func (d *Discovery) leg(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.moved = context.WithCancel(ctx)
	return ctx, d.addr
}

// Run tells update of each change until ctx ends, from the version in hand on. At
// an address moved to, versions may be others: the whole list is asked for there.
func (d *Discovery) Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) {
	d.update = update
	for inHand := d.inHand; ctx.Err() == nil; inHand = false {
		leg, addr := d.leg(ctx)
		d.follow(leg, addr, d.from, inHand)
	}
}

// follow watches at one address until ctx ends. A discovery that is silent or
// gone is asked again; the list in hand stays.
func (d *Discovery) follow(ctx context.Context, addr string, from int64, inHand bool) {
	client := &fasthttp.HostClient{
		Addr: addr, ReadTimeout: clock.Duration(pacing.WatchHold + pacing.WatchSlack), WriteTimeout: time.Second,
		MaxIdleConnDuration: time.Minute, MaxResponseBodySize: maxList, MaxIdemponentCallAttempts: 1,
		DialTimeout: func(addr string, patience time.Duration) (net.Conn, error) {
			dialer := net.Dialer{Timeout: min(patience, clock.Duration(pacing.WatchSlack))}
			c, err := dialer.DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return legConn{c, context.AfterFunc(ctx, func() { c.Close() })}, nil
		},
	}
	failed := 0 // calls in a row; an outage is logged when it begins and ends
	for ctx.Err() == nil {
		begun := d.clock.Now()
		hold, patience := d.pace.Call()
		t, err := askList(client, from, inHand, hold, patience)
		d.log.Debug("list", "from", from, "watch", inHand, "generation", t.Generation, "whole", t.Snapshot, "entries", len(t.Engines),
			"ms", d.clock.Now()-begun, "err", err)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failed++; failed == 1 {
				d.log.Warn("discovery: no answer, the list in hand stays", "err", err)
			}
			d.pace.SetProcesses(max(int(d.shares.Load()), 1))
			clock.Wait(ctx, d.clock, d.pace.Failed(silent(err)))
			continue
		}
		if failed > 0 {
			d.log.Info("discovery: it answers again", "failed", failed)
			failed = 0
		}
		d.pace.Answered()
		switch {
		case t.Snapshot:
			d.update(ashwood.MembershipSnapshot, t.Engines)
		case len(t.Engines) > 0:
			d.update(ashwood.MembershipDelta, t.Engines)
		}
		from, inHand = t.Generation, true
	}
}

// legConn is closed with its leg: a watch waits long, and fasthttp has no way
// to call one off.
type legConn struct {
	net.Conn
	stop func() bool
}

func (c legConn) Close() error {
	c.stop()
	return c.Conn.Close()
}

// silent tells an error for want of any answer from a discovery that said no.
func silent(err error) bool {
	var timeout net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout()
}

// askList waits for changes since a version, or gets the whole list without one. It
// may wait hold ms at discovery and is given up after patience ms.
// Version 0 may be waited on like any other: asking for the whole list then
// would be answered at once, again and again.
func askList(client *fasthttp.HostClient, from int64, inHand bool, hold, patience float64) (wire.Targets, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	target := fmt.Sprintf("http://%s/api/targets", client.Addr)
	if inHand {
		target += fmt.Sprintf("?from=%d&hold_ms=%.0f", from, hold)
	}
	req.SetRequestURI(target)
	req.SetTimeout(clock.Duration(patience))
	if err := client.Do(req, resp); err != nil {
		return wire.Targets{}, fmt.Errorf("platform: discovery: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return wire.Targets{}, fmt.Errorf("platform: discovery answered %d", resp.StatusCode())
	}
	t, err := wire.DecodeTargets(resp.Body())
	if err != nil {
		return wire.Targets{}, fmt.Errorf("platform: discovery: %w", err)
	}
	return t, once(t)
}

// once tells of a whole list that names an engine twice: which entry holds can't be
// known. Among changes, where one may follow the other, the later one does.
func once(t wire.Targets) error {
	seen := map[ashwood.ServerID]bool{}
	for _, v := range t.Engines {
		if t.Snapshot && seen[v.ID] {
			return fmt.Errorf("platform: discovery: the whole list names %q twice", v.ID)
		}
		seen[v.ID] = true
	}
	return nil
}
