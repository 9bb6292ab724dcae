// Package reqlog writes one structured log record for each change of a request's state, so that
// a request can be followed by its id through all processes that handled it. It keeps no state
// of requests itself.
//
// Records have level debug; when that is off, a record costs one check. Their fields are
// bounded: the id and the class, which the client sends, are cut to maxFieldBytes.
package reqlog

import (
	"context"
	"log/slog"
)

// Message is the text of all records.
const Message = "request"

// maxFieldBytes bounds what a client can put into one field of a record.
const maxFieldBytes = 64

// State is a request's state.
type State string

// The states of a request.
const (
	Read          State = "read"           // completely, by a front
	Refused       State = "refused"        // before any attempt, by a limit or a shutdown
	Admitted      State = "admitted"       // by the router
	Attempt       State = "attempt"        // an attempt is about to begin
	Sent          State = "sent"           // the attempt's last byte has been written
	ClientLeft    State = "client left"    // the client has closed its connection or cancelled the request
	ClientUnknown State = "client unknown" // whether the client is still there; the attempt is not made
	Ended         State = "ended"          // by a shutdown, before its answer started
)

// Change is one change of a request's state.
type Change struct {
	ID        string
	Class     string
	State     State
	Attempt   int     // with states Attempt and Sent: number of the attempt, from 0
	Engine    string  // with states Attempt and Sent
	Remaining float64 // ms until the answer must have started, as far as this process knows
	Reason    string  // short; "" = none
}

// Write logs a change, with extra attributes after its own.
func Write(log *slog.Logger, change Change, extra ...slog.Attr) {
	ctx := context.Background()
	if !log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	attrs := []slog.Attr{slog.String("id", Truncate(change.ID)), slog.String("class", Truncate(change.Class)), slog.String("state", string(change.State))}
	if change.Engine != "" {
		attrs = append(attrs, slog.Int("attempt", change.Attempt), slog.String("engine", change.Engine))
	}
	if change.Remaining != 0 {
		attrs = append(attrs, slog.Float64("left_ms", change.Remaining))
	}
	if change.Reason != "" {
		attrs = append(attrs, slog.String("reason", change.Reason))
	}
	log.LogAttrs(ctx, slog.LevelDebug, Message, append(attrs, extra...)...)
}

// Truncate cuts a text that a client has sent to what a record may hold of it.
func Truncate(text string) string { return text[:min(len(text), maxFieldBytes)] }

// WithPhase returns a logger that adds the current phase of the process to each record.
func WithPhase(log *slog.Logger, phase func() string) *slog.Logger {
	return slog.New(phaseHandler{log.Handler(), phase})
}

// phaseHandler adds the phase to each record.
type phaseHandler struct {
	slog.Handler
	phase func() string
}

// Handle implements slog.Handler.
func (h phaseHandler) Handle(ctx context.Context, r slog.Record) error {
	r.AddAttrs(slog.String("phase", h.phase()))
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h phaseHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return phaseHandler{h.Handler.WithAttrs(attrs), h.phase}
}

// WithGroup implements slog.Handler.
func (h phaseHandler) WithGroup(name string) slog.Handler {
	return phaseHandler{h.Handler.WithGroup(name), h.phase}
}
