package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/internal/wire"
	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/scenario"
)

// smallFleet has a prefill engine and a decode engine in one zone.
const smallFleet = `name = "x"
length_s = 600
gateways = 1
[fleet]
zones = ["a"]
[[fleet.kind]]
name = "prefill"
count = 1
error_rate = 0.0
[[fleet.kind]]
name = "decode-a"
count = 1
error_rate = 0.0
[discovery]
notice_ms = [0, 0]
silent_notice_ms = [0, 0]
add_ms = [0, 0]
spread_ms = 0
`

func openEmulator(t *testing.T, text string, grpc bool) *Emulator {
	t.Helper()
	s, err := scenario.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := s.Compile()
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(Config{Plan: p, GRPC: grpc})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		if err := e.Close(); err != nil {
			t.Error(err)
		}
	})
	return e
}

func postAttempt(t *testing.T, addr, id string) (*http.Response, error) {
	t.Helper()
	body := `{"metadata":{"class":"case-chat","session":"s","prefix":"","prompt_len":300,"prefix_len":0},"model":"chat","max_tokens":50,"messages":[]}`
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Txn", id)
	req.Header.Set("X-Remaining", "10.000")
	return http.DefaultClient.Do(req)
}

func requestStatus(t *testing.T, method, url string) int {
	t.Helper()
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func TestHTTP_EngineProtocol(t *testing.T) {
	e := openEmulator(t, smallFleet, false)
	engines := e.Engines(0)
	prefill, decode := engines[0].HTTP, engines[1].HTTP
	const id = "00112233445566aa"
	resp, err := postAttempt(t, decode, id)
	if err != nil || resp.StatusCode != http.StatusGone || resp.Header.Get("X-Turned-Away") != "1" {
		t.Fatalf("decode engine without a KV state: %v, %v", resp, err)
	}
	resp.Body.Close()
	if resp, err = postAttempt(t, prefill, id); err != nil || resp.StatusCode != http.StatusAccepted {
		t.Fatalf("prefill: %v, %v", resp, err)
	}
	var kept struct {
		Cached *int `json:"cached_tokens"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&kept); err != nil || kept.Cached == nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if report := wire.ParseReport(resp.Header.Get("X-Pressure")); len(report) != 4 {
		t.Errorf("load report %q does not have 4 values", resp.Header.Get("X-Pressure"))
	}
	if got := requestStatus(t, http.MethodPost, "http://"+decode+"/bootstrap/rooms/"+id); got != http.StatusNoContent {
		t.Errorf("reservation after the prefill's end: status %d", got)
	}
	resp, err = postAttempt(t, decode, id)
	if err != nil || resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "text/event-stream" {
		t.Fatalf("answer: %v, %v", resp, err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(text), "data: [DONE]\n\n: X-Pressure: inflight=") || !strings.Contains(string(text), engine.AnswerText(id, 0, 1)) {
		t.Fatalf("answer %s, error %v", text, err)
	}
	if n := e.HoldCount(); n != 0 {
		t.Errorf("%d requests are still held", n)
	}
	if got := requestStatus(t, http.MethodDelete, "http://"+decode+"/bootstrap/rooms/"+id); got != http.StatusNoContent {
		t.Errorf("release: status %d", got)
	}
	for path, want := range map[string]int{"/-/load": 200, "/-/healthy": 200, "/v1/chat/completions": 404} {
		if got := requestStatus(t, http.MethodGet, "http://"+prefill+path); got != want {
			t.Errorf("%s: status %d, want %d", path, got, want)
		}
	}
	resp, err = http.Post("http://"+prefill+"/v1/x", "", strings.NewReader("{"))
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("request without an id: %v, %v", resp, err)
	}
	if b := e.Rules().Violations(); len(b) != 0 || len(e.Stats().Malformed) != 0 {
		t.Errorf("violations %+v, stats %+v", b, e.Stats())
	}
}

// getTargets asks the agent, as a gateway does.
func getTargets(t *testing.T, e *Emulator, query string) wire.Targets {
	t.Helper()
	resp, err := http.Get("http://" + e.DiscoveryAddr(0) + "/api/targets" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	list, err := wire.DecodeTargets(raw)
	if err != nil {
		t.Fatalf("decode %s: %v", raw, err)
	}
	return list
}

func TestDiscovery_CrashAndReturn(t *testing.T) {
	e := openEmulator(t, smallFleet+"[[fault]]\nkind = \"crash\"\nat_s = 0\nlen_s = 0.3\nboxes = [\"prefill-1\"]\n", false)
	snapshot := getTargets(t, e, "")
	if !snapshot.Snapshot || len(snapshot.Engines) != 2 {
		t.Fatalf("snapshot %+v", snapshot)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	watch := func(from int64) wire.Targets { return getTargets(t, e, fmt.Sprintf("?from=%d&hold_ms=20000", from)) }
	removed := watch(snapshot.Generation)
	if len(removed.Engines) != 1 || removed.Snapshot || removed.Engines[0].ID != "prefill-1" || removed.Generation <= snapshot.Generation {
		t.Fatalf("delta after the crash: %+v", removed)
	}
	restarted := watch(removed.Generation)
	if len(restarted.Engines) != 1 || restarted.Engines[0].Started == 0 {
		t.Fatalf("delta after the restart: %+v", restarted)
	}
	if resp, err := postAttempt(t, e.Engines(0)[0].HTTP, "00112233445566bb"); err != nil || resp.StatusCode != http.StatusAccepted {
		t.Fatalf("attempt at the engine's old address: %v, %v", resp, err)
	}
	if got := getTargets(t, e, fmt.Sprintf("?from=%d&hold_ms=10", restarted.Generation)); len(got.Engines) != 0 || got.Generation != restarted.Generation {
		t.Errorf("watch without a change: %+v", got)
	}
	if resp, err := http.Get("http://" + e.DiscoveryAddr(0) + "/api/targets?from=x"); err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("from=x: %v, %v", resp, err)
	}
}

func TestHTTP_MalformedAnswers(t *testing.T) {
	for kind, want := range map[string]string{"spoil-head": "malformed HTTP", "spoil-chunk": "invalid byte in chunk length", "break": "unexpected EOF"} {
		e := openEmulator(t, smallFleet+"[[fault]]\nkind = \""+kind+"\"\nat_s = 0\nlen_s = 500\nboxes = [\"decode-a-1\"]\nfactor = 1.0\n", false)
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		engines := e.Engines(0)
		const id = "00112233445566cc"
		if resp, err := postAttempt(t, engines[0].HTTP, id); err != nil || resp.StatusCode != http.StatusAccepted {
			t.Fatal(resp, err)
		}
		resp, err := postAttempt(t, engines[1].HTTP, id)
		if err == nil {
			_, err = io.Copy(io.Discard, bufio.NewReader(resp.Body))
			resp.Body.Close()
		}
		if err == nil || !strings.Contains(err.Error(), want) && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: the answer ended with the wrong error: %v", kind, err)
		}
	}
}

func TestGRPC_BoxService(t *testing.T) {
	e := openEmulator(t, smallFleet, true)
	engines := e.Engines(0)
	dial := func(addr string) ashwoodpb.BoxClient {
		cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cc.Close() })
		return ashwoodpb.NewBoxClient(cc)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, metadataRemaining, "9000")
	prefill, decode := dial(engines[0].GRPC), dial(engines[1].GRPC)
	req := &ashwoodpb.GenerateRequest{RequestId: "00112233445566dd", Class: "case-chat", Session: "s", PromptTokens: 300, MaxTokens: 50}
	var trailer metadata.MD
	stream, err := decode.Write(ctx, req)
	if err == nil {
		_, err = stream.Recv()
	}
	if status.Code(err) != codes.FailedPrecondition || len(stream.Trailer().Get(trailerRejected)) != 1 {
		t.Fatalf("decode engine without a KV state: %v", err)
	}
	if _, err := prefill.Read(ctx, req, grpc.Trailer(&trailer)); err != nil || wire.ParseReport(strings.Join(trailer.Get(trailerLoad), "")) == nil {
		t.Fatalf("prefill: %v, %v", err, trailer)
	}
	if stream, err = decode.Write(ctx, req); err != nil {
		t.Fatal(err)
	}
	text := ""
	for {
		piece, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		text += piece.GetText()
	}
	if want := engine.AnswerText(req.GetRequestId(), 0, len(text)/4); text != want || text == "" {
		t.Errorf("answer %q, want %q", text, want)
	}
	if _, err := decode.Release(ctx, &ashwoodpb.RoomRequest{RequestId: req.GetRequestId()}); err != nil {
		t.Error(err)
	}
	if _, err := prefill.Load(ctx, &ashwoodpb.LoadRequest{}); err != nil {
		t.Error(err)
	}
	if _, err := prefill.Read(ctx, &ashwoodpb.GenerateRequest{RequestId: "x"}); status.Code(err) != codes.InvalidArgument {
		t.Errorf("request without a class: %v", err)
	}
	if b := e.Rules().Violations(); len(b) != 0 {
		t.Errorf("violations %+v", b)
	}
}
