package wire

import (
	"encoding/json"
	"fmt"

	"ashwood.example/ashwood"
)

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
	e := ashwood.MembershipUpdate{Form: form}
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

var listForms = map[string]ashwood.MembershipForm{
	"patch": ashwood.MembershipDelta, "whole": ashwood.MembershipSnapshot,
	"stale_copy": ashwood.MembershipStale, "broken": ashwood.MembershipFailed,
}

var states = map[string]ashwood.ServerState{
	"on": ashwood.StateActive, "fading": ashwood.StateDraining, "off": ashwood.StateRemoved,
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
		MaxOutputTokens: opt(in.Max), TimeLeft: in.Left.duration(), Retry: opt(in.Retry),
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
	return ashwood.AnswerStarted{ID: *in.ID, Attempt: *in.Round, Server: *in.Engine, Latency: opt(in.Wait).duration()}, nil
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
	return ashwood.ReservationResult{ID: *in.ID, Attempt: *in.Round, Server: *in.Engine, Held: *in.Topic == 1}, nil
}

var statuses = map[string]ashwood.Status{
	"served": ashwood.StatusServed, "server_error": ashwood.StatusServerError, "turned_away": ashwood.StatusRejected,
	"no_answer": ashwood.StatusTimedOut, "no_connection": ashwood.StatusConnectFailed,
	"connection_lost": ashwood.StatusConnectionLost, "called_off": ashwood.StatusCancelled,
	"not_sent": ashwood.StatusNotSent, "parsed": ashwood.StatusPrefilled,
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
		ID: *in.ID, Attempt: *in.Round, Server: *in.Engine, Status: st, RequestDone: opt(in.Done),
		Detail: opt(in.Note), Latency: opt(in.Wait).duration(), Report: report(in.Load),
	}, nil
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
	return ashwood.ClientDisconnected{ID: *in.ID}, nil
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
	return ashwood.TimerFired{Token: *in.KeyBack}, nil
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
	return ashwood.ProbeResult{
		Server: *in.Engine, Status: st, Latency: opt(in.Wait).duration(), Report: report(in.Load),
	}, nil
}
