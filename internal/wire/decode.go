// Package wire translates between the JSON wire of a batch and the events and
// actions of package ashwood. It decides nothing.
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

// Batch is one line of input.
type Batch struct {
	Now   time.Duration
	Parts []Part
}

// Part holds the messages for one instance, in their order.
type Part struct {
	Instance int
	Messages []Message
}

// Message is one of *Start, Stop and a ashwood.Event. Messages that the
// library has no use for are left out of a Part.
type Message any

// Start begins an instance.
type Start struct {
	Seed     int64
	Settings ashwood.Settings
}

// Stop kills an instance.
type Stop struct{}

// ms is a time in milliseconds on the wire.
type ms float64

func (m ms) duration() time.Duration {
	return time.Duration(math.Round(float64(m)*1000)) * time.Microsecond
}

type batchLine struct {
	TS    *ms         `json:"ts"`
	Parts *[]partLine `json:"parts"`
}

type partLine struct {
	I      *int              `json:"i"`
	Events []json.RawMessage `json:"events"`
}

// DecodeBatch reads one line of input.
func DecodeBatch(line []byte) (Batch, error) {
	var in batchLine
	if err := unmarshal("batch", line, &in); err != nil {
		return Batch{}, err
	}
	if in.TS == nil {
		return Batch{}, missing("batch", "ts")
	}
	if in.Parts == nil {
		return Batch{}, missing("batch", "parts")
	}
	b := Batch{Now: in.TS.duration(), Parts: make([]Part, 0, len(*in.Parts))}
	for _, p := range *in.Parts {
		if p.I == nil {
			return Batch{}, missing("batch", "i")
		}
		part := Part{Instance: *p.I}
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

type head struct {
	Cmd *string `json:"cmd"`
}

func decodeMessage(raw []byte) (Message, error) {
	var h head
	if err := unmarshal("event", raw, &h); err != nil {
		return nil, err
	}
	if h.Cmd == nil {
		return nil, missing("event", "cmd")
	}
	decode, ok := decoders[*h.Cmd]
	if !ok {
		return nil, fmt.Errorf("wire: unknown message %q", *h.Cmd)
	}
	return decode(raw)
}

var decoders = map[string]func([]byte) (Message, error){
	"NEW_INSTANCE":  decodeStart,
	"STOP":          func([]byte) (Message, error) { return Stop{}, nil },
	"SYNC":          decodeMembers,
	"CALL":          decodeRequest,
	"HEAD_RECEIVED": decodeFirst,
	"PLACE_NOTE":    decodeNote,
	"FINISHED":      decodeOutcome,
	"HANGUP":        decodeGone,
	"RING":          decodeTimer,
	"CHECKED":       decodeProbed,
	"DATAGRAM":      func([]byte) (Message, error) { return nil, nil },
}

func unmarshal(message string, raw []byte, into any) error {
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return fmt.Errorf("wire: %s: null in place of an object", message)
	}
	if !utf8.Valid(raw) { // names would be read as others
		return fmt.Errorf("wire: %s: not in UTF-8", message)
	}
	err := json.Unmarshal(raw, into)
	var wrong *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrong):
		return fmt.Errorf("wire: %s: field %q: %s in place of %s", message, wrong.Field, wrong.Value, wrong.Type)
	}
	return fmt.Errorf("wire: %s: %w", message, err)
}

func missing(message, field string) error {
	return fmt.Errorf("wire: %s: field %q is missing", message, field)
}

func unknown(message, field, value string) error {
	return fmt.Errorf("wire: %s: field %q: unknown value %q", message, field, value)
}

// field pairs a field's name with whether it was given.
type field struct {
	name  string
	given bool
}

func require(message string, fields ...field) error {
	for _, f := range fields {
		if !f.given {
			return missing(message, f.name)
		}
	}
	return nil
}

func opt[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}

func notNegative(message, name string, values ...float64) error {
	for _, v := range values {
		if v < 0 {
			return fmt.Errorf("wire: %s: field %q is below zero", message, name)
		}
	}
	return nil
}
