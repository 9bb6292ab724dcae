// Package wire translates between the JSON wire of a batch and the events and
// actions of package ashwood. It decides nothing.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

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

func decodeMembers(raw []byte) (Message, error) {
	const name = "SYNC"
	var in struct {
		Form    *string `json:"form"`
		Records []struct {
			Engine    *ashwood.ServerID `json:"engine"`
			Zone      *string           `json:"region_part"`
			Type      *string           `json:"type"`
			Bay       *int              `json:"bay"`
			Lifecycle *string           `json:"lifecycle"`
			Weight    *float64          `json:"weight"`
			Started   *ms               `json:"start_time"`
		} `json:"records"`
	}
	if err := unmarshal(name, raw, &in); err != nil {
		return nil, err
	}
	if in.Form == nil {
		return nil, missing(name, "form")
	}
	form, ok := listForms[*in.Form]
	if !ok {
		return nil, unknown(name, "form", *in.Form)
	}
	e := ashwood.Members{Form: form}
	for _, r := range in.Records {
		if err := require(name, field{"engine", r.Engine != nil}, field{"lifecycle", r.Lifecycle != nil}); err != nil {
			return nil, err
		}
		state, ok := states[*r.Lifecycle]
		if !ok {
			return nil, unknown(name, "lifecycle", *r.Lifecycle)
		}
		e.Entries = append(e.Entries, ashwood.Server{
			ID: *r.Engine, Zone: opt(r.Zone), Kind: opt(r.Type), Cell: opt(r.Bay),
			State: state, Weight: opt(r.Weight), Started: opt(r.Started).duration(),
		})
	}
	return e, nil
}

var listForms = map[string]ashwood.ListForm{
	"patch": ashwood.ListPatch, "whole": ashwood.ListWhole,
	"stale_copy": ashwood.ListStale, "broken": ashwood.ListBroken,
}

var states = map[string]ashwood.ServerState{
	"on": ashwood.StateOn, "fading": ashwood.StateFading, "off": ashwood.StateOff,
}

// tenantName is a tenant's name; sites without tenants may write 0.
type tenantName string

// UnmarshalJSON takes a string, null or the number 0.
func (t *tenantName) UnmarshalJSON(raw []byte) error {
	if string(raw) == "0" || string(raw) == "null" {
		return nil
	}
	return json.Unmarshal(raw, (*string)(t))
}

func decodeRequest(raw []byte) (Message, error) {
	const name = "CALL"
	var in struct {
		ID       *ashwood.RequestID `json:"tid"`
		Talk     *uint64            `json:"talk"`
		Again    *bool              `json:"again"`
		Customer tenantName         `json:"customer"`
		Estimate *float64           `json:"estimate"`
		Shared   *float64           `json:"shared_len"`
		Left     *ms                `json:"time_left"`
		Prefix   *uint64            `json:"shared_prefix"`
		Retry    *bool              `json:"again_by_client"`
		Prompt   *float64           `json:"prompt_tokens"`
		Max      *float64           `json:"n_max"`
		Service  *string            `json:"service"`
	}
	if err := unmarshal(name, raw, &in); err != nil {
		return nil, err
	}
	err := require(name, field{"tid", in.ID != nil}, field{"service", in.Service != nil},
		field{"time_left", in.Left != nil})
	if err != nil {
		return nil, err
	}
	if err := notNegative(name, "prompt_tokens", opt(in.Prompt)); err != nil {
		return nil, err
	}
	return ashwood.Request{
		ID: *in.ID, Class: *in.Service, Tenant: string(in.Customer), Session: opt(in.Talk),
		Prefix: opt(in.Prefix), PrefixTokens: opt(in.Shared), PromptTokens: opt(in.Prompt),
		MaxOut: opt(in.Max), TimeLeft: in.Left.duration(), Retry: opt(in.Retry),
	}, nil
}

// attemptLine holds the fields that name an attempt.
type attemptLine struct {
	ID      *ashwood.RequestID  `json:"tid"`
	Round   *int                `json:"round_no"`
	Engine  *ashwood.ServerID   `json:"engine"`
	Wait    *ms                 `json:"wait_time"`
	Topic   *int                `json:"topic"`
	Done    *bool               `json:"done_flag"`
	Note    *float64            `json:"note"`
	Status  *string             `json:"disposition"`
	Load    map[string]*float64 `json:"load"`
	KeyBack *uint64             `json:"key_back"`
}

func decodeAttempt(name string, raw []byte) (in attemptLine, err error) {
	if err = unmarshal(name, raw, &in); err == nil {
		err = require(name, field{"tid", in.ID != nil}, field{"round_no", in.Round != nil},
			field{"engine", in.Engine != nil})
	}
	return in, err
}

func decodeFirst(raw []byte) (Message, error) {
	in, err := decodeAttempt("HEAD_RECEIVED", raw)
	if err != nil {
		return nil, err
	}
	return ashwood.First{ID: *in.ID, Attempt: *in.Round, Server: *in.Engine, Latency: opt(in.Wait).duration()}, nil
}

func decodeNote(raw []byte) (Message, error) {
	const name = "PLACE_NOTE"
	in, err := decodeAttempt(name, raw)
	if err != nil {
		return nil, err
	}
	if in.Topic == nil {
		return nil, missing(name, "topic")
	}
	if *in.Topic != 1 && *in.Topic != 2 {
		return nil, unknown(name, "topic", fmt.Sprint(*in.Topic))
	}
	return ashwood.PlaceNote{ID: *in.ID, Attempt: *in.Round, Server: *in.Engine, Held: *in.Topic == 1}, nil
}

var statuses = map[string]ashwood.Status{
	"served": ashwood.Served, "server_error": ashwood.ServerError, "turned_away": ashwood.TurnedAway,
	"no_answer": ashwood.NoAnswer, "no_connection": ashwood.NoConnection,
	"connection_lost": ashwood.ConnectionLost, "called_off": ashwood.CalledOff,
	"not_sent": ashwood.NotSent, "parsed": ashwood.Parsed,
}

func decodeStatus(name string, in attemptLine) (ashwood.Status, error) {
	if in.Status == nil {
		return 0, missing(name, "disposition")
	}
	st, ok := statuses[*in.Status]
	if !ok {
		return 0, unknown(name, "disposition", *in.Status)
	}
	return st, nil
}

func decodeOutcome(raw []byte) (Message, error) {
	const name = "FINISHED"
	in, err := decodeAttempt(name, raw)
	if err != nil {
		return nil, err
	}
	st, err := decodeStatus(name, in)
	if err != nil {
		return nil, err
	}
	return ashwood.Outcome{
		ID: *in.ID, Attempt: *in.Round, Server: *in.Engine, Status: st, Done: opt(in.Done),
		Note: opt(in.Note), Latency: opt(in.Wait).duration(), Report: report(in.Load),
	}, nil
}

var reportNames = map[string]string{
	"busy_reqs": ashwood.ReportInFlight, "pending": ashwood.ReportQueue, "x0": ashwood.ReportMemory,
}

// textNames are the names of the same values on sockets, where reports hold "the
// fields that the settings name": those of the simulator, or of the page's example.
var textNames = map[string]string{
	"inflight": ashwood.ReportInFlight, "queue": ashwood.ReportQueue, "x0": ashwood.ReportMemory,
	"busy_reqs": ashwood.ReportInFlight, "pending": ashwood.ReportQueue,
}

// ParseReport reads a load report in the form name=value,name=value. What it
// does not know it skips; of a report that can't be read it believes nothing.
func ParseReport(text string) (r ashwood.Report) {
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || err != nil || v < 0 || v > maxLoad || math.IsNaN(v) {
			return nil
		}
		if known, ok := textNames[strings.TrimSpace(name)]; ok {
			if r == nil {
				r = ashwood.Report{}
			}
			r[known] = v
		}
	}
	return r
}

// maxLoad is beyond any figure of a load report.
const maxLoad = 1e9

func report(load map[string]*float64) ashwood.Report {
	var r ashwood.Report
	for wire, name := range reportNames {
		if v := load[wire]; v != nil {
			if r == nil {
				r = ashwood.Report{}
			}
			r[name] = *v
		}
	}
	return r
}

func decodeGone(raw []byte) (Message, error) {
	const name = "HANGUP"
	var in attemptLine
	if err := unmarshal(name, raw, &in); err != nil {
		return nil, err
	}
	if in.ID == nil {
		return nil, missing(name, "tid")
	}
	return ashwood.Gone{ID: *in.ID}, nil
}

func decodeTimer(raw []byte) (Message, error) {
	const name = "RING"
	var in attemptLine
	if err := unmarshal(name, raw, &in); err != nil {
		return nil, err
	}
	if in.KeyBack == nil {
		return nil, missing(name, "key_back")
	}
	return ashwood.Timer{Token: *in.KeyBack}, nil
}

func decodeProbed(raw []byte) (Message, error) {
	const name = "CHECKED"
	var in attemptLine
	if err := unmarshal(name, raw, &in); err != nil {
		return nil, err
	}
	if in.Engine == nil {
		return nil, missing(name, "engine")
	}
	st, err := decodeStatus(name, in)
	if err != nil {
		return nil, err
	}
	return ashwood.Probed{
		Server: *in.Engine, Status: st, Latency: opt(in.Wait).duration(), Report: report(in.Load),
	}, nil
}
