package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"ashwood.example/ashwood"
)

// Reply is one line of output.
type Reply struct {
	Parts []ReplyPart `json:"parts"`
}

// ReplyPart holds what one instance wants done.
type ReplyPart struct {
	Instance int   `json:"i"`
	Out      []any `json:"out"`
}

type command struct {
	Cmd     string            `json:"cmd"`
	ID      ashwood.RequestID `json:"tid,omitempty"`
	Engine  ashwood.ServerID  `json:"engine,omitempty"`
	Round   *int              `json:"round_no,omitempty"`
	Within  *float64          `json:"within,omitempty"`
	Pause   *float64          `json:"pause,omitempty"`
	When    *float64          `json:"when,omitempty"`
	KeyBack *uint64           `json:"key_back,omitempty"`
	On      *bool             `json:"on,omitempty"`
}

// EncodeReply writes one line of output, without its end.
func EncodeReply(r Reply) ([]byte, error) {
	if r.Parts == nil {
		r.Parts = []ReplyPart{}
	}
	return json.Marshal(r)
}

func millis(d time.Duration) *float64 {
	v := float64(d.Microseconds()) / 1000
	return &v
}

// EncodeAction gives the wire form of an action.
func EncodeAction(a ashwood.Action) (any, error) {
	switch a := a.(type) {
	case ashwood.Send:
		return command{Cmd: "RELAY", ID: a.ID, Engine: a.Server, Within: millis(a.Timeout)}, nil
	case ashwood.Reserve:
		return command{Cmd: "SET_ASIDE", ID: a.ID, Engine: a.Server}, nil
	case ashwood.Release:
		return command{Cmd: "UNHOLD", ID: a.ID}, nil
	case ashwood.Cancel:
		return command{Cmd: "REVOKE", ID: a.ID, Round: &a.Attempt}, nil
	case ashwood.Refuse:
		return command{Cmd: "PUSH_BACK", ID: a.ID, Pause: millis(a.RetryAfter)}, nil
	case ashwood.Fail:
		return command{Cmd: "DROP_REQUEST", ID: a.ID}, nil
	case ashwood.SetTimer:
		return command{Cmd: "AFTER", When: millis(a.At), KeyBack: &a.Token}, nil
	case ashwood.Probe:
		return command{Cmd: "POLL", Engine: a.Server}, nil
	case ashwood.Watch:
		on := true
		return command{Cmd: "SUBSCRIBE", On: &on}, nil
	}
	return nil, fmt.Errorf("wire: no message for action %T", a)
}
