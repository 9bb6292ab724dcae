package wire

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ashwood.example/ashwood"
)

const millisecond = time.Millisecond

func TestDecodeMessage_Events(t *testing.T) {
	tests := []struct {
		in   string
		want Message
	}{
		{`{"cmd":"STOP"}`, Stop{}},
		{`{"cmd":"DATAGRAM","by":2,"content":"aGkgNw=="}`, nil},
		{`{"cmd":"HANGUP","tid":"q","extra":1}`, ashwood.ClientDisconnected{ID: "q"}},
		{`{"cmd":"RING","key_back":77}`, ashwood.TimerFired{Token: 77}},
		{`{"cmd":"SYNC","form":"broken","generation":null,"records":null}`, ashwood.MembershipUpdate{Form: ashwood.MembershipFailed}},
		{`{"cmd":"SYNC","form":"patch","records":[{"engine":"s:1","region_part":"a","type":"k","bay":3,` +
			`"lifecycle":"fading","weight":1.5,"start_time":6100.5}]}`,
			ashwood.MembershipUpdate{Form: ashwood.MembershipDelta, Entries: []ashwood.Server{{ID: "s:1", Zone: "a", Kind: "k",
				Cell: 3, State: ashwood.StateDraining, Weight: 1.5, Started: 6100500 * time.Microsecond}}}},
		{`{"cmd":"CALL","tid":"q","talk":9,"again":false,"customer":"t","estimate":null,"shared_len":120,` +
			`"time_left":240.25,"shared_prefix":8,"again_by_client":true,"prompt_tokens":180,"n_max":25,"service":"c"}`,
			ashwood.Request{ID: "q", Class: "c", Tenant: "t", Session: 9, Prefix: 8, PrefixTokens: 120,
				PromptTokens: 180, MaxOutputTokens: 25, TimeLeft: 240250 * time.Microsecond, Retry: true}},
		{`{"cmd":"CALL","tid":"q","customer":0,"time_left":1,"service":"c"}`,
			ashwood.Request{ID: "q", Class: "c", TimeLeft: millisecond}},
		{`{"cmd":"HEAD_RECEIVED","tid":"q","round_no":1,"engine":"s","wait_time":9.25}`,
			ashwood.AnswerStarted{ID: "q", Attempt: 1, Server: "s", Latency: 9250 * time.Microsecond}},
		{`{"cmd":"PLACE_NOTE","tid":"q","round_no":0,"engine":"s","topic":1,"level":0}`,
			ashwood.ReservationResult{ID: "q", Server: "s", Held: true}},
		{`{"cmd":"PLACE_NOTE","tid":"q","round_no":0,"engine":"s","topic":2,"level":0}`,
			ashwood.ReservationResult{ID: "q", Server: "s"}},
		{`{"cmd":"FINISHED","tid":"q","done_flag":true,"note":64,"round_no":2,"engine":"s","wait_time":18.5,` +
			`"disposition":"parsed","load":{"busy_reqs":7,"x0":0.4,"new_key":1,"pending":null}}`,
			ashwood.Outcome{ID: "q", Attempt: 2, Server: "s", Status: ashwood.StatusPrefilled, RequestDone: true, Detail: 64,
				Latency: 18500 * time.Microsecond,
				Report:  ashwood.Report{ashwood.ReportInFlight: 7, ashwood.ReportMemory: 0.4}}},
		{`{"cmd":"CHECKED","disposition":"no_answer","engine":"s","wait_time":250,"load":null}`,
			ashwood.ProbeResult{Server: "s", Status: ashwood.StatusTimedOut, Latency: 250 * millisecond}},
	}
	for _, tt := range tests {
		got, err := decodeMessage([]byte(tt.in))
		if err != nil || !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s\n got %#v, %v\nwant %#v", tt.in, got, err, tt.want)
		}
	}
}

func TestDecodeMessage_Statuses(t *testing.T) {
	for word, want := range statuses {
		m, err := decodeMessage([]byte(`{"cmd":"FINISHED","tid":"q","round_no":0,"engine":"s","disposition":"` + word + `"}`))
		if o, ok := m.(ashwood.Outcome); err != nil || !ok || o.Status != want {
			t.Errorf("%s: %#v, %v", word, m, err)
		}
	}
	if len(statuses) != 9 {
		t.Errorf("%d statuses, want 9", len(statuses))
	}
}

func TestDecodeMessage_NewInstance(t *testing.T) {
	in := `{"cmd":"NEW_INSTANCE","prng":5,"setup":{"siblings":2,"my_number":1,"locality":"a","kinds":["r","w"],
	"lanes":[{"name":"c","aim":1000,"deadline":5000,"worth":2,"late_share":0.3,"effect":"token","group":"zone",
	"memory_span":4000}],"tenants":[{"name":"t","share":0.5,"allowance_per_s":7}],"over_share_worth":0.1,
	"worth_by":"work","discovery":"subscribe","family_info":{"early_pairing":true,"kind_role":["read","both"],
	"aim_us_per_1000_prompt_tokens":[60000],"tokens_by_kind":[10,20],"release":500,"resume":true,"token_aim":[50],
	"writers_read":true},"ceilings":{"attempts_cap":4,"cancel":true,"second_copies":true,"probes":true,
	"retry_after":true,"max_retry_after":2000,"connect_timeout":250},"obligations":{"fall_multiple":3,"fall":1500,
	"start_capacity":0.26,"warm_within":14000,"ask_every":10000},"report":{"how":"on_probe","fields":["x0"]}}}`
	got, err := decodeMessage([]byte(in))
	want := &Start{Seed: 5, Settings: ashwood.Settings{
		Node: 1, Nodes: 2, Zone: "a", OverShareWorth: 0.1, WorthByWork: true, Subscribe: true,
		Reports: ashwood.ReportProbe, ReportFields: []string{"x0"}, Reservations: true, DecodeCanPrefill: true, Resume: true,
		Kinds: []ashwood.Kind{{Name: "r", Role: ashwood.RolePrefill, MemoryTokens: 10},
			{Name: "w", Role: ashwood.RoleMixed, MemoryTokens: 20}},
		Classes: []ashwood.Class{{Name: "c", Aim: time.Second, Deadline: 5 * time.Second, Worth: 2, LateShare: 0.3,
			Effect: ashwood.TokenEffect, Group: ashwood.ScopeZone, Window: 4 * time.Second, TokenAim: 50 * millisecond,
			AimPer1K: 60 * millisecond}},
		Tenants: []ashwood.Tenant{{Name: "t", Share: 0.5, QuotaPerSec: 7}},
		Limits: ashwood.Limits{MaxAttempts: 4, Cancel: true, Hedging: true, Probes: true, RetryAfter: true,
			MaxRetryAfter: 2 * time.Second, ConnectTimeout: 250 * millisecond},
		Rules: ashwood.Rules{SlowStartMultiple: 3, SlowStartWindow: 1500 * millisecond, SlowStartCapacity: 0.26, SlowStartDuration: 14 * time.Second,
			ReleaseTimeout: 500 * millisecond, ResubscribeWithin: 10 * time.Second},
	}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v, %v\nwant %+v", got, err, want)
	}
}

func TestDecodeBatch_MalformedLines(t *testing.T) {
	batch := func(event string) string { return `{"ts":1,"parts":[{"i":0,"events":[` + event + `]}]}` }
	tests := []struct{ in, message, field string }{
		{`{`, "batch", ""},
		{`null`, "batch", ""},
		{`{"parts":[]}`, "batch", "ts"},
		{`{"ts":1}`, "batch", "parts"},
		{`{"ts":"x","parts":[]}`, "batch", "ts"},
		{`{"ts":1,"parts":[{"events":[]}]}`, "batch", "i"},
		{batch(`{}`), "event", "cmd"},
		{batch(`{"cmd":"BOO"}`), "BOO", ""},
		{batch(`{"cmd":"RING"}`), "RING", "key_back"},
		{batch(`{"cmd":"RING","key_back":-1}`), "RING", "key_back"},
		{batch(`{"cmd":"HANGUP"}`), "HANGUP", "tid"},
		{batch(`{"cmd":"CALL","tid":"q","service":"c"}`), "CALL", "time_left"},
		{batch(`{"cmd":"CALL","tid":7}`), "CALL", "tid"},
		{batch(`{"cmd":"CALL","tid":"q","service":"c","time_left":1,"prompt_tokens":-2}`), "CALL", "prompt_tokens"},
		{batch(`{"cmd":"SYNC","form":"half"}`), "SYNC", "form"},
		{batch(`{"cmd":"SYNC","form":"patch","records":[{"engine":"s","lifecycle":"up"}]}`), "SYNC", "lifecycle"},
		{batch(`{"cmd":"SYNC","form":"patch","records":[{"lifecycle":"on"}]}`), "SYNC", "engine"},
		{batch(`{"cmd":"FINISHED","tid":"q","round_no":0,"engine":"s"}`), "FINISHED", "disposition"},
		{batch(`{"cmd":"FINISHED","tid":"q","round_no":0,"engine":"s","disposition":"odd"}`), "FINISHED", "disposition"},
		{batch(`{"cmd":"HEAD_RECEIVED","tid":"q","engine":"s"}`), "HEAD_RECEIVED", "round_no"},
		{batch(`{"cmd":"PLACE_NOTE","tid":"q","round_no":0,"engine":"s","topic":3}`), "PLACE_NOTE", "topic"},
		{batch(`{"cmd":"CHECKED","disposition":"served"}`), "CHECKED", "engine"},
		{batch(`{"cmd":"NEW_INSTANCE","prng":1}`), "NEW_INSTANCE", "setup"},
		{batch(`{"cmd":"NEW_INSTANCE","prng":1,"setup":{"kinds":["x"]}}`), "NEW_INSTANCE", "kind_role"},
		{batch(`{"cmd":"NEW_INSTANCE","prng":1,"setup":{"report":{"how":"odd"}}}`), "NEW_INSTANCE", "report.how"},
	}
	for _, tt := range tests {
		_, err := DecodeBatch([]byte(tt.in))
		if err == nil || !strings.Contains(err.Error(), tt.message) || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("%s: error %v, want it to name %q and %q", tt.in, err, tt.message, tt.field)
		}
	}
}

func TestEncodeAction(t *testing.T) {
	tests := []struct {
		in   ashwood.Action
		want string
	}{
		{ashwood.Send{ID: "q", Server: "s", Timeout: 80500 * time.Microsecond},
			`{"cmd":"RELAY","tid":"q","engine":"s","within":80.5}`},
		{ashwood.Reserve{ID: "q", Server: "s"}, `{"cmd":"SET_ASIDE","tid":"q","engine":"s"}`},
		{ashwood.Release{ID: "q"}, `{"cmd":"UNHOLD","tid":"q"}`},
		{ashwood.Cancel{ID: "q"}, `{"cmd":"REVOKE","tid":"q","round_no":0}`},
		{ashwood.Refuse{ID: "q"}, `{"cmd":"PUSH_BACK","tid":"q","pause":0}`},
		{ashwood.Fail{ID: "q"}, `{"cmd":"DROP_REQUEST","tid":"q"}`},
		{ashwood.SetTimer{At: 5 * millisecond, Token: 3}, `{"cmd":"AFTER","when":5,"key_back":3}`},
		{ashwood.Probe{Server: "s"}, `{"cmd":"POLL","engine":"s"}`},
		{ashwood.Watch{}, `{"cmd":"SUBSCRIBE","on":true}`},
	}
	for _, tt := range tests {
		v, err := EncodeAction(tt.in)
		if err != nil {
			t.Fatal(err)
		}
		got, err := EncodeReply(Reply{Parts: []ReplyPart{{Instance: 4, Out: []any{v}}}})
		if want := `{"parts":[{"i":4,"out":[` + tt.want + `]}]}`; err != nil || string(got) != want {
			t.Errorf("got %s, %v\nwant %s", got, err, want)
		}
	}
	if got, err := EncodeReply(Reply{}); err != nil || string(got) != `{"parts":[]}` {
		t.Errorf("empty reply: %s, %v", got, err)
	}
}

// Engines may send malformed reports, which are ignored as a whole.
func TestParseReport(t *testing.T) {
	two := ashwood.Report{ashwood.ReportInFlight: 7, ashwood.ReportMemory: 0.61}
	for text, want := range map[string]ashwood.Report{
		"inflight=7,x0=0.61,odd=3": two, "busy_reqs=7,pending=2,x0=0.61,x1=4": {
			ashwood.ReportInFlight: 7, ashwood.ReportQueue: 2, ashwood.ReportMemory: 0.61, ashwood.ReportWaiting: 4,
		}, "inflight=7,x0=61": {ashwood.ReportInFlight: 7, ashwood.ReportMemory: 1}, " inflight=7, x0=0.61": two, "": nil, "inflight": nil,
		"inflight=7,x0=": nil, "inflight=7,x0=-0.61": nil, "inflight=7,x0=NaN": nil, "inflight=7,x0=1e300": nil,
	} {
		if diff := cmp.Diff(want, ParseReport(text)); diff != "" {
			t.Errorf("%q: %s", text, diff)
		}
	}
}
