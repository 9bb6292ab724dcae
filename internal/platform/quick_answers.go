package platform

import (
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// This file bounds what clients get answered without an engine's work: refusals, errors and readiness checks. Such
// an answer costs the client nothing, so that one client could take all of the processor. Beyond the bounds the answer
// closes the connection, and its client has to wait until the gateway accepts another.

// Answers without an engine's work, a second and at once, after which a connection is kept.
const (
	quickAnswersPerConn  = 20  // of one connection
	quickAnswersPerFront = 500 // of all connections
)

// newQuickAnswerLimit returns a limit of so many answers a second, and as many at once.
func newQuickAnswerLimit(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// mayKeepAfterQuickAnswer counts an answer without an engine's work, and reports whether the connection may be kept.
func (c *clientConn) mayKeepAfterQuickAnswer() bool {
	if c.quickAnswers == nil {
		c.quickAnswers = newQuickAnswerLimit(quickAnswersPerConn)
	}
	now := time.Now()
	return c.quickAnswers.AllowN(now, 1) && c.listener.quickAnswers.AllowN(now, 1)
}

// closeBehindAnswer has the connection closed behind the answer and logs the reason.
func (c *clientConn) closeBehindAnswer(ctx *fasthttp.RequestCtx, reason string) {
	c.listener.log.Debug("connection closed behind an answer", "why", reason, "status", ctx.Response.StatusCode(), "client", c.Conn.RemoteAddr())
	ctx.SetConnectionClose()
}

// limitQuickAnswers closes the connection with an answer without an engine's work if it, or all connections together,
// have had too many of these, or if no further request can be read from it. conn is nil where the host's listener is not
// wrapped.
func limitQuickAnswers(ctx *fasthttp.RequestCtx, conn *clientConn) {
	if conn == nil {
		return
	}
	switch {
	case conn.hasDroppedAhead():
		conn.closeBehindAnswer(ctx, "sent-ahead")
	case !conn.mayKeepAfterQuickAnswer():
		conn.closeBehindAnswer(ctx, "quick-answers")
	}
}
