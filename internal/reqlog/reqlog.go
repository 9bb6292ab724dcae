// Package reqlog writes one structured record for each change of a request's state, so that a
// request can be followed by its id through all processes that had it.
//
// Records are of level debug: with that level off, a record costs one check. Their fields are
// bounded: an id and a class as the client sent them are cut to maxField bytes.
package reqlog

import (
	"context"
	"log/slog"
)

// Message is the text of all records.
const Message = "request"

// maxField bounds what a client can put into one field of a record, in bytes.
const maxField = 64

// State is what a request has come to.
type State string

// The states of a request.
const (
	Read     State = "read"     // whole, by a front
	Refused  State = "refused"  // before any attempt, by a limit or a shutdown
	Admitted State = "admitted" // by the router
	Attempt  State = "attempt"  // one is about to begin
	Sent     State = "sent"     // the attempt's last byte has been written
	Ended    State = "ended"    // by a shutdown, before its answer had begun
)

// Change is one change of a request's state.
type Change struct {
	ID        string
	Class     string
	State     State
	Attempt   int     // with Attempt and Sent: its number, from 0
	Engine    string  // with Attempt and Sent
	Remaining float64 // ms until its answer must have begun, as far as this process knows
	Reason    string  // why, in a word or two; "" = nothing to say
}

// Write writes a change, with further attributes behind its own.
func Write(log *slog.Logger, c Change, more ...slog.Attr) {
	ctx := context.Background()
	if !log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	attrs := []slog.Attr{slog.String("id", cut(c.ID)), slog.String("class", cut(c.Class)), slog.String("state", string(c.State))}
	if c.Engine != "" {
		attrs = append(attrs, slog.Int("attempt", c.Attempt), slog.String("engine", c.Engine))
	}
	if c.Remaining != 0 {
		attrs = append(attrs, slog.Float64("left_ms", c.Remaining))
	}
	if c.Reason != "" {
		attrs = append(attrs, slog.String("reason", c.Reason))
	}
	log.LogAttrs(ctx, slog.LevelDebug, Message, append(attrs, more...)...)
}

func cut(text string) string { return text[:min(len(text), maxField)] }

// WithPhase gives a logger each of whose lines tells the process's phase at its moment.
func WithPhase(log *slog.Logger, phase func() string) *slog.Logger {
	return slog.New(phaseHandler{log.Handler(), phase})
}

// phaseHandler adds the phase to each line.
type phaseHandler struct {
	slog.Handler
	phase func() string
}

// Handle is for slog.
func (h phaseHandler) Handle(ctx context.Context, r slog.Record) error {
	r.AddAttrs(slog.String("phase", h.phase()))
	return h.Handler.Handle(ctx, r)
}

// WithAttrs is for slog.
func (h phaseHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return phaseHandler{h.Handler.WithAttrs(attrs), h.phase}
}

// WithGroup is for slog.
func (h phaseHandler) WithGroup(name string) slog.Handler {
	return phaseHandler{h.Handler.WithGroup(name), h.phase}
}
