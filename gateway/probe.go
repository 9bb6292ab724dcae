package gateway

import (
	"context"

	"ashwood.example/ashwood"
)

// probe asks an engine for its load, for the decisions.
func (g *Gateway) probe(v ashwood.Server) {
	status, report := g.ask(v, probeWait)
	g.router.ReportProbeResult(v.ID, status, report)
}

// ask probes an engine in so many ms at most.
func (g *Gateway) ask(v ashwood.Server, ms float64) (ashwood.Status, ashwood.Report) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer g.clock.AfterFunc(ms, cancel)()
	begun := g.clock.Now()
	status, report := g.transport.Probe(ctx, v)
	switch {
	case answered(status):
		g.owner.heard(v)
	case status == ashwood.StatusNotSent && ctx.Err() == nil: // this machine could not ask
	default:
		g.owner.unheard(v, "probe", false)
	}
	g.log.Debug("probe", "engine", v.ID, "kind", v.Kind, "status", status, "ms", g.clock.Now()-begun, "report", report)
	return status, report
}

// arrived tells whether a read has surely reached its engine: that has sent something back well
// after the last byte was written, or answers a probe now, by a time. Where probes are not allowed, an
// engine that holds a place for the read knows of it, by the protocol.
func (g *Gateway) arrived(out *outAttempt, known bool, by float64) bool {
	switch {
	case g.router.LastResponseAt(out.engine.ID) >= out.written+arrivalWait:
		return true
	case !g.probes:
		return known
	}
	status, report := g.ask(out.engine, max(min(probeWait, by-g.clock.Now()), 0))
	if answered(status) {
		g.router.ReportProbeResult(out.engine.ID, status, report) // it need not be probed for the decisions as well
	}
	return answered(status)
}
