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

// small is a reader and a writer in one zone.
const small = `name = "x"
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

func open(t *testing.T, text string, grpc bool) *Emulator {
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

func attempt(t *testing.T, addr, id string) (*http.Response, error) {
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

func ask(t *testing.T, method, url string) int {
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

func TestEngineProtocol(t *testing.T) {
	e := open(t, small, false)
	boxes := e.Engines(0)
	reader, writer := boxes[0].HTTP, boxes[1].HTTP
	const id = "00112233445566aa"
	resp, err := attempt(t, writer, id)
	if err != nil || resp.StatusCode != http.StatusGone || resp.Header.Get("X-Turned-Away") != "1" {
		t.Fatalf("a writer without a state: %v, %v", resp, err)
	}
	resp.Body.Close()
	if resp, err = attempt(t, reader, id); err != nil || resp.StatusCode != http.StatusAccepted {
		t.Fatalf("a read: %v, %v", resp, err)
	}
	var kept struct {
		Cached *int `json:"cached_tokens"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&kept); err != nil || kept.Cached == nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if report := wire.ParseReport(resp.Header.Get("X-Pressure")); len(report) != 4 {
		t.Errorf("report %q", resp.Header.Get("X-Pressure"))
	}
	if got := ask(t, http.MethodPost, "http://"+writer+"/bootstrap/rooms/"+id); got != http.StatusNoContent {
		t.Errorf("a place asked for when the read has ended: %d", got)
	}
	resp, err = attempt(t, writer, id)
	if err != nil || resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "text/event-stream" {
		t.Fatalf("an answer: %v, %v", resp, err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(text), "data: [DONE]\n\n: X-Pressure: inflight=") || !strings.Contains(string(text), engine.AnswerText(id, 0, 1)) {
		t.Fatalf("%s, %v", text, err)
	}
	if n := e.HoldCount(); n != 0 {
		t.Errorf("%d are held", n)
	}
	if got := ask(t, http.MethodDelete, "http://"+writer+"/bootstrap/rooms/"+id); got != http.StatusNoContent {
		t.Errorf("a release: %d", got)
	}
	for path, want := range map[string]int{"/-/load": 200, "/-/healthy": 200, "/v1/chat/completions": 404} {
		if got := ask(t, http.MethodGet, "http://"+reader+path); got != want {
			t.Errorf("%s: %d, want %d", path, got, want)
		}
	}
	resp, err = http.Post("http://"+reader+"/v1/x", "", strings.NewReader("{"))
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("no id: %v, %v", resp, err)
	}
	if b := e.Rules().Violations(); len(b) != 0 || len(e.Stats().Malformed) != 0 {
		t.Errorf("%+v, %+v", b, e.Stats())
	}
}

// targets asks the agent, as a gateway does.
func targets(t *testing.T, e *Emulator, query string) wire.Targets {
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
		t.Fatalf("%s: %v", raw, err)
	}
	return list
}

func TestCrashIsToldAndComesBack(t *testing.T) {
	e := open(t, small+"[[fault]]\nkind = \"crash\"\nat_s = 0\nlen_s = 0.3\nboxes = [\"prefill-1\"]\n", false)
	list := targets(t, e, "")
	if !list.Snapshot || len(list.Engines) != 2 {
		t.Fatalf("%+v", list)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	watch := func(from int64) wire.Targets { return targets(t, e, fmt.Sprintf("?from=%d&hold_ms=20000", from)) }
	gone := watch(list.Generation)
	if len(gone.Engines) != 1 || gone.Snapshot || gone.Engines[0].ID != "prefill-1" || gone.Generation <= list.Generation {
		t.Fatalf("%+v", gone)
	}
	back := watch(gone.Generation)
	if len(back.Engines) != 1 || back.Engines[0].Started == 0 {
		t.Fatalf("%+v", back)
	}
	if resp, err := attempt(t, e.Engines(0)[0].HTTP, "00112233445566bb"); err != nil || resp.StatusCode != http.StatusAccepted {
		t.Fatalf("at its old address: %v, %v", resp, err)
	}
	if got := targets(t, e, fmt.Sprintf("?from=%d&hold_ms=10", back.Generation)); len(got.Engines) != 0 || got.Generation != back.Generation {
		t.Errorf("a watch without news: %+v", got)
	}
	if resp, err := http.Get("http://" + e.DiscoveryAddr(0) + "/api/targets?from=x"); err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("from=x: %v, %v", resp, err)
	}
}

func TestSpoiltAnswers(t *testing.T) {
	for kind, want := range map[string]string{"spoil-head": "malformed HTTP", "spoil-chunk": "invalid byte in chunk length", "break": "unexpected EOF"} {
		e := open(t, small+"[[fault]]\nkind = \""+kind+"\"\nat_s = 0\nlen_s = 500\nboxes = [\"decode-a-1\"]\nfactor = 1.0\n", false)
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		boxes := e.Engines(0)
		const id = "00112233445566cc"
		if resp, err := attempt(t, boxes[0].HTTP, id); err != nil || resp.StatusCode != http.StatusAccepted {
			t.Fatal(resp, err)
		}
		resp, err := attempt(t, boxes[1].HTTP, id)
		if err == nil {
			_, err = io.Copy(io.Discard, bufio.NewReader(resp.Body))
			resp.Body.Close()
		}
		if err == nil || !strings.Contains(err.Error(), want) && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: %v", kind, err)
		}
	}
}

func TestBoxService(t *testing.T) {
	e := open(t, small, true)
	boxes := e.Engines(0)
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
	ctx = metadata.AppendToOutgoingContext(ctx, metaLeft, "9000")
	reader, writer := dial(boxes[0].GRPC), dial(boxes[1].GRPC)
	req := &ashwoodpb.GenerateRequest{RequestId: "00112233445566dd", Class: "case-chat", Session: "s", PromptTokens: 300, MaxTokens: 50}
	var trailer metadata.MD
	stream, err := writer.Write(ctx, req)
	if err == nil {
		_, err = stream.Recv()
	}
	if status.Code(err) != codes.FailedPrecondition || len(stream.Trailer().Get(trailerAway)) != 1 {
		t.Fatalf("a writer without a state: %v", err)
	}
	if _, err := reader.Read(ctx, req, grpc.Trailer(&trailer)); err != nil || wire.ParseReport(strings.Join(trailer.Get(trailerLoad), "")) == nil {
		t.Fatalf("a read: %v, %v", err, trailer)
	}
	if stream, err = writer.Write(ctx, req); err != nil {
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
		t.Errorf("the answer %q, want %q", text, want)
	}
	if _, err := writer.Release(ctx, &ashwoodpb.RoomRequest{RequestId: req.GetRequestId()}); err != nil {
		t.Error(err)
	}
	if _, err := reader.Load(ctx, &ashwoodpb.LoadRequest{}); err != nil {
		t.Error(err)
	}
	if _, err := reader.Read(ctx, &ashwoodpb.GenerateRequest{RequestId: "x"}); status.Code(err) != codes.InvalidArgument {
		t.Errorf("no class: %v", err)
	}
	if b := e.Rules().Violations(); len(b) != 0 {
		t.Errorf("%+v", b)
	}
}
