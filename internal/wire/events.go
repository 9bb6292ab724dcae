package wire

import (
	"encoding/json"
	"fmt"

	"ashwood.example/ashwood"
)

func decodeMembershipUpdate(raw []byte) (Message, error) {
	const name = "SYNC"
	var in struct {
		Form    *string `json:"form"`
		Records []struct {
			Engine    *ashwood.ServerID `json:"engine"`
			Zone      *string           `json:"region_part"`
			Kind      *string           `json:"type"`
			Cell      *int              `json:"bay"`
			Lifecycle *string           `json:"lifecycle"`
			Weight    *float64          `json:"weight"`
			Started   *milliseconds     `json:"start_time"`
		} `json:"records"`
	}
	if err := unmarshalObject(name, raw, &in); err != nil {
		return nil, err
	}
	if in.Form == nil {
		return nil, missingField(name, "form")
	}
	form, ok := membershipForms[*in.Form]
	if !ok {
		return nil, unknownValue(name, "form", *in.Form)
	}
	update := ashwood.MembershipUpdate{Form: form}
	for _, record := range in.Records {
		if err := require(name, requiredField{"engine", record.Engine != nil}, requiredField{"lifecycle", record.Lifecycle != nil}); err != nil {
			return nil, err
		}
		state, ok := serverStates[*record.Lifecycle]
		if !ok {
			return nil, unknownValue(name, "lifecycle", *record.Lifecycle)
		}
		update.Entries = append(update.Entries, ashwood.Server{
			ID: *record.Engine, Zone: valueOrZero(record.Zone), Kind: valueOrZero(record.Kind), Cell: valueOrZero(record.Cell),
			State: state, Weight: valueOrZero(record.Weight), Started: valueOrZero(record.Started).duration(),
		})
	}
	return update, nil
}

var membershipForms = map[string]ashwood.MembershipForm{
	"patch": ashwood.MembershipDelta, "whole": ashwood.MembershipSnapshot,
	"stale_copy": ashwood.MembershipStale, "broken": ashwood.MembershipFailed,
}

var serverStates = map[string]ashwood.ServerState{
	"on": ashwood.StateActive, "fading": ashwood.StateDraining, "off": ashwood.StateRemoved,
}

// tenantName is a tenant's name; sites without tenants may send 0.
type tenantName string

// UnmarshalJSON accepts a string, null or the number 0.
func (t *tenantName) UnmarshalJSON(raw []byte) error {
	if string(raw) == "0" || string(raw) == "null" {
		return nil
	}
	return json.Unmarshal(raw, (*string)(t))
}

func decodeRequest(raw []byte) (Message, error) {
	const name = "CALL"
	var in struct {
		ID              *ashwood.RequestID `json:"tid"`
		Session         *uint64            `json:"talk"`
		Again           *bool              `json:"again"`
		Tenant          tenantName         `json:"customer"`
		Estimate        *float64           `json:"estimate"`
		PrefixTokens    *float64           `json:"shared_len"`
		TimeLeft        *milliseconds      `json:"time_left"`
		Prefix          *uint64            `json:"shared_prefix"`
		Retry           *bool              `json:"again_by_client"`
		PromptTokens    *float64           `json:"prompt_tokens"`
		MaxOutputTokens *float64           `json:"n_max"`
		Class           *string            `json:"service"`
	}
	if err := unmarshalObject(name, raw, &in); err != nil {
		return nil, err
	}
	err := require(name, requiredField{"tid", in.ID != nil}, requiredField{"service", in.Class != nil},
		requiredField{"time_left", in.TimeLeft != nil})
	if err != nil {
		return nil, err
	}
	if err := requireNotNegative(name, "prompt_tokens", valueOrZero(in.PromptTokens)); err != nil {
		return nil, err
	}
	return ashwood.Request{
		ID: *in.ID, Class: *in.Class, Tenant: string(in.Tenant), Session: valueOrZero(in.Session),
		Prefix: valueOrZero(in.Prefix), PrefixTokens: valueOrZero(in.PrefixTokens), PromptTokens: valueOrZero(in.PromptTokens),
		MaxOutputTokens: valueOrZero(in.MaxOutputTokens), TimeLeft: in.TimeLeft.duration(), Retry: valueOrZero(in.Retry),
	}, nil
}

// attemptFields holds the fields of all messages about attempts, disconnects, timers and probes.
type attemptFields struct {
	ID          *ashwood.RequestID  `json:"tid"`
	Attempt     *int                `json:"round_no"`
	Engine      *ashwood.ServerID   `json:"engine"`
	Latency     *milliseconds       `json:"wait_time"`
	Topic       *int                `json:"topic"`
	RequestDone *bool               `json:"done_flag"`
	Detail      *float64            `json:"note"`
	Status      *string             `json:"disposition"`
	Load        map[string]*float64 `json:"load"`
	TimerToken  *uint64             `json:"key_back"`
}

func decodeAttemptFields(name string, raw []byte) (in attemptFields, err error) {
	if err = unmarshalObject(name, raw, &in); err == nil {
		err = require(name, requiredField{"tid", in.ID != nil}, requiredField{"round_no", in.Attempt != nil},
			requiredField{"engine", in.Engine != nil})
	}
	return in, err
}

func decodeAnswerStarted(raw []byte) (Message, error) {
	in, err := decodeAttemptFields("HEAD_RECEIVED", raw)
	if err != nil {
		return nil, err
	}
	return ashwood.AnswerStarted{ID: *in.ID, Attempt: *in.Attempt, Server: *in.Engine, Latency: valueOrZero(in.Latency).duration()}, nil
}

func decodeReservationResult(raw []byte) (Message, error) {
	const name = "PLACE_NOTE"
	in, err := decodeAttemptFields(name, raw)
	if err != nil {
		return nil, err
	}
	if in.Topic == nil {
		return nil, missingField(name, "topic")
	}
	if *in.Topic != 1 && *in.Topic != 2 {
		return nil, unknownValue(name, "topic", fmt.Sprint(*in.Topic))
	}
	return ashwood.ReservationResult{ID: *in.ID, Attempt: *in.Attempt, Server: *in.Engine, Held: *in.Topic == 1}, nil
}

var statuses = map[string]ashwood.Status{
	"served": ashwood.StatusServed, "server_error": ashwood.StatusServerError, "turned_away": ashwood.StatusRejected,
	"no_answer": ashwood.StatusTimedOut, "no_connection": ashwood.StatusConnectFailed,
	"connection_lost": ashwood.StatusConnectionLost, "called_off": ashwood.StatusCancelled,
	"not_sent": ashwood.StatusNotSent, "parsed": ashwood.StatusPrefilled,
}

func decodeStatus(name string, in attemptFields) (ashwood.Status, error) {
	if in.Status == nil {
		return 0, missingField(name, "disposition")
	}
	st, ok := statuses[*in.Status]
	if !ok {
		return 0, unknownValue(name, "disposition", *in.Status)
	}
	return st, nil
}

func decodeOutcome(raw []byte) (Message, error) {
	const name = "FINISHED"
	in, err := decodeAttemptFields(name, raw)
	if err != nil {
		return nil, err
	}
	st, err := decodeStatus(name, in)
	if err != nil {
		return nil, err
	}
	return ashwood.Outcome{
		ID: *in.ID, Attempt: *in.Attempt, Server: *in.Engine, Status: st, RequestDone: valueOrZero(in.RequestDone),
		Detail: valueOrZero(in.Detail), Latency: valueOrZero(in.Latency).duration(), Report: decodeLoad(in.Load),
	}, nil
}

func decodeClientDisconnected(raw []byte) (Message, error) {
	const name = "HANGUP"
	var in attemptFields
	if err := unmarshalObject(name, raw, &in); err != nil {
		return nil, err
	}
	if in.ID == nil {
		return nil, missingField(name, "tid")
	}
	return ashwood.ClientDisconnected{ID: *in.ID}, nil
}

func decodeTimerFired(raw []byte) (Message, error) {
	const name = "RING"
	var in attemptFields
	if err := unmarshalObject(name, raw, &in); err != nil {
		return nil, err
	}
	if in.TimerToken == nil {
		return nil, missingField(name, "key_back")
	}
	return ashwood.TimerFired{Token: *in.TimerToken}, nil
}

func decodeProbeResult(raw []byte) (Message, error) {
	const name = "CHECKED"
	var in attemptFields
	if err := unmarshalObject(name, raw, &in); err != nil {
		return nil, err
	}
	if in.Engine == nil {
		return nil, missingField(name, "engine")
	}
	st, err := decodeStatus(name, in)
	if err != nil {
		return nil, err
	}
	return ashwood.ProbeResult{
		Server: *in.Engine, Status: st, Latency: valueOrZero(in.Latency).duration(), Report: decodeLoad(in.Load),
	}, nil
}
