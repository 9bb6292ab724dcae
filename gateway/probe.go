package gateway

import (
	"context"

	"ashwood.example/ashwood"
)

// probe asks an engine for its load report and passes the outcome to the decision module.
func (g *Gateway) probe(engine ashwood.Server) {
	status, report := g.probeWithin(engine, probeTimeout)
	g.router.ReportProbeResult(engine.ID, status, report)
}

// probeWithin probes an engine and cancels the probe after timeout ms.
func (g *Gateway) probeWithin(engine ashwood.Server, timeout float64) (ashwood.Status, ashwood.Report) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer g.clock.AfterFunc(timeout, cancel)()
	startedAt := g.clock.Now()
	status, report := g.transport.Probe(ctx, engine)
	switch {
	case showsEngineRuns(status):
		g.releaser.engineAnswered(engine)
	case status == ashwood.StatusNotSent && ctx.Err() == nil: // the probe failed on this machine
	default:
		g.releaser.noteUnanswered(engine, "probe", false)
	}
	g.log.Debug("probe", "engine", engine.ID, "kind", engine.Kind, "status", status, "ms", g.clock.Now()-startedAt, "report", report)
	return status, report
}

// prefillArrived reports whether a prefill attempt has certainly reached its engine: the engine has sent something
// back at least arrivalTimeout after the last byte was written, or answers a probe before the time by. Where probes are not
// allowed, prefillKnown decides: by the protocol, an engine that holds a reservation knows of its prefill.
func (g *Gateway) prefillArrived(attempt *inFlightAttempt, prefillKnown bool, by float64) bool {
	switch {
	case g.router.LastResponseAt(attempt.engine.ID) >= attempt.writtenAt+arrivalTimeout:
		return true
	case !g.probesAllowed:
		return prefillKnown
	}
	status, report := g.probeWithin(attempt.engine, max(min(probeTimeout, by-g.clock.Now()), 0))
	if showsEngineRuns(status) {
		g.router.ReportProbeResult(attempt.engine.ID, status, report) // so that the decision module need not probe it as well
	}
	return showsEngineRuns(status)
}
