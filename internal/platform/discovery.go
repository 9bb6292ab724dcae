package platform

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/valyala/fasthttp"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/internal/wire"
)

const (
	watchHold  = 10000.0 // ms that a watch may wait
	watchSlack = 1500.0  // and how much later its answer is given up
	watchPause = 100.0   // after a failed call; a watch goes on for 200
)

// Discovery follows the list of engines.
type Discovery struct {
	addr   string
	clock  clock.Clock
	log    *slog.Logger
	update func(ashwood.ListForm, []ashwood.Server)
	client *fasthttp.HostClient
}

// NewDiscovery makes a follower that tells update of each change.
func NewDiscovery(addr string, c clock.Clock, log *slog.Logger, update func(ashwood.ListForm, []ashwood.Server)) *Discovery {
	return &Discovery{addr: addr, clock: c, log: log, update: update, client: &fasthttp.HostClient{
		Addr: addr, ReadTimeout: clock.Duration(watchHold + watchSlack), WriteTimeout: time.Second,
		MaxIdleConnDuration: time.Minute,
	}}
}

// Run watches until ctx ends, from a version on where a list of that version
// is in hand. A discovery that is silent or gone is asked again; that list stays.
func (d *Discovery) Run(ctx context.Context, from int64, inHand bool) {
	failed := 0 // calls in a row; an outage is logged when it begins and ends
	for ctx.Err() == nil {
		t, err := d.ask(from, inHand)
		if err != nil {
			if failed++; failed == 1 {
				d.log.Warn("discovery: no answer, the list in hand stays", "err", err)
			}
			again := make(chan struct{})
			stop := d.clock.AfterFunc(watchPause, func() { close(again) })
			select {
			case <-again:
			case <-ctx.Done():
				stop()
			}
			continue
		}
		if failed > 0 {
			d.log.Info("discovery: it answers again", "failed", failed)
			failed = 0
		}
		switch {
		case t.Whole:
			d.update(ashwood.ListWhole, t.Engines)
		case len(t.Engines) > 0:
			d.update(ashwood.ListPatch, t.Engines)
		}
		from, inHand = t.Generation, true
	}
}

// ask waits for changes since a version, or gets the whole list without one.
// Version 0 may be waited on like any other: asking for the whole list then
// would be answered at once, again and again.
func (d *Discovery) ask(from int64, inHand bool) (wire.Targets, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	target := fmt.Sprintf("http://%s/api/targets", d.addr)
	if inHand {
		target += fmt.Sprintf("?from=%d&hold_ms=%.0f", from, watchHold)
	}
	req.SetRequestURI(target)
	if err := d.client.Do(req, resp); err != nil {
		return wire.Targets{}, fmt.Errorf("platform: discovery: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return wire.Targets{}, fmt.Errorf("platform: discovery answered %d", resp.StatusCode())
	}
	return wire.DecodeTargets(resp.Body())
}
