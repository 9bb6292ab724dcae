// Package wire translates between JSON and the types of package ashwood: a simulator's
// batches of events and actions, settings, discovery's membership updates and load reports.
// It makes no decisions and does no I/O.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"ashwood.example/ashwood"
)

// Batch is one line of input: messages for several instances at one time.
type Batch struct {
	Now   time.Duration
	Parts []Part
}

// Part holds the messages for one instance, in order.
type Part struct {
	Instance int
	Messages []Message
}

// Message is a *Start, a Stop or an ashwood.Event. Messages that the decision
// module does not use are left out of a Part.
type Message any

// Start creates an instance, or replaces it.
type Start struct {
	Seed     int64
	Settings ashwood.Settings
}

// Stop removes an instance.
type Stop struct{}

// milliseconds is a time on the wire.
type milliseconds float64

func (m milliseconds) duration() time.Duration {
	return time.Duration(math.Round(float64(m)*1000)) * time.Microsecond
}

type batchLine struct {
	Timestamp *milliseconds `json:"ts"`
	Parts     *[]partLine   `json:"parts"`
}

type partLine struct {
	Instance *int              `json:"i"`
	Events   []json.RawMessage `json:"events"`
}

// DecodeBatch decodes one line of input.
func DecodeBatch(line []byte) (Batch, error) {
	var in batchLine
	if err := unmarshalObject("batch", line, &in); err != nil {
		return Batch{}, err
	}
	if in.Timestamp == nil {
		return Batch{}, missingField("batch", "ts")
	}
	if in.Parts == nil {
		return Batch{}, missingField("batch", "parts")
	}
	b := Batch{Now: in.Timestamp.duration(), Parts: make([]Part, 0, len(*in.Parts))}
	for _, p := range *in.Parts {
		if p.Instance == nil {
			return Batch{}, missingField("batch", "i")
		}
		part := Part{Instance: *p.Instance}
		for _, raw := range p.Events {
			m, err := decodeMessage(raw)
			if err != nil {
				return Batch{}, err
			}
			if m != nil {
				part.Messages = append(part.Messages, m)
			}
		}
		b.Parts = append(b.Parts, part)
	}
	return b, nil
}

type messageHeader struct {
	Cmd *string `json:"cmd"`
}

func decodeMessage(raw []byte) (Message, error) {
	var h messageHeader
	if err := unmarshalObject("event", raw, &h); err != nil {
		return nil, err
	}
	if h.Cmd == nil {
		return nil, missingField("event", "cmd")
	}
	decode, ok := messageDecoders[*h.Cmd]
	if !ok {
		return nil, fmt.Errorf("wire: unknown message %q", *h.Cmd)
	}
	return decode(raw)
}

var messageDecoders = map[string]func([]byte) (Message, error){
	"NEW_INSTANCE":  decodeStart,
	"STOP":          func([]byte) (Message, error) { return Stop{}, nil },
	"SYNC":          decodeMembershipUpdate,
	"CALL":          decodeRequest,
	"HEAD_RECEIVED": decodeAnswerStarted,
	"PLACE_NOTE":    decodeReservationResult,
	"FINISHED":      decodeOutcome,
	"HANGUP":        decodeClientDisconnected,
	"RING":          decodeTimerFired,
	"CHECKED":       decodeProbeResult,
	"DATAGRAM":      func([]byte) (Message, error) { return nil, nil },
}

func unmarshalObject(message string, raw []byte, into any) error {
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return fmt.Errorf("wire: %s: null instead of an object", message)
	}
	if !utf8.Valid(raw) { // encoding/json would replace the invalid bytes, which changes names
		return fmt.Errorf("wire: %s: not in UTF-8", message)
	}
	err := json.Unmarshal(raw, into)
	var wrong *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrong):
		return fmt.Errorf("wire: %s: field %q: %s instead of %s", message, wrong.Field, wrong.Value, wrong.Type)
	}
	return fmt.Errorf("wire: %s: %w", message, err)
}

func missingField(message, field string) error {
	return fmt.Errorf("wire: %s: field %q is missing", message, field)
}

func unknownValue(message, field, value string) error {
	return fmt.Errorf("wire: %s: field %q: unknown value %q", message, field, value)
}

// requiredField is a field's name and whether the message has it.
type requiredField struct {
	name    string
	present bool
}

func require(message string, fields ...requiredField) error {
	for _, f := range fields {
		if !f.present {
			return missingField(message, f.name)
		}
	}
	return nil
}

func valueOrZero[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}

func requireNotNegative(message, name string, values ...float64) error {
	for _, v := range values {
		if v < 0 {
			return fmt.Errorf("wire: %s: field %q is negative", message, name)
		}
	}
	return nil
}
