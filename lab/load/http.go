package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ashwood.example/ashwood/internal/clock"
	"ashwood.example/ashwood/lab/engine"
	"ashwood.example/ashwood/lab/rules"
)

// answerSilenceMs is for how long a client waits for the next part of an answer that has begun.
const answerSilenceMs = 30000.0

// HTTP is a client of the platform's protocol.
type HTTP struct {
	url        string
	clock      clock.Clock
	transport  *http.Transport
	promptText []byte // prompts are prefixes of it
}

// NewHTTP returns a client of the gateway at an address that keeps at most the given
// number of connections; further tries wait for one.
func NewHTTP(addr string, connections int, c clock.Clock) *HTTP {
	return &HTTP{
		url: "http://" + addr + "/v1/chat/completions", clock: c,
		transport: &http.Transport{
			MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		},
		promptText: bytes.Repeat([]byte("a prompt's text, four letters a token. "), (maxBody+64)/39),
	}
}

// maxBody is the largest request body that the platform accepts, in bytes.
const maxBody = 256 << 10

// Close closes idle connections.
func (h *HTTP) Close() { h.transport.CloseIdleConnections() }

// Body returns a request's JSON, with four characters for each token of its prompt.
func (h *HTTP) Body(t Try) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"metadata":{"class":%q,"session":%q,"prefix":%q,"prompt_len":%d,"prefix_len":%d},"model":"chat","stream":true,"max_tokens":%d,"messages":[`,
		t.Class.Name, t.Session, t.Prefix, t.PromptTokens, t.PrefixTokens, t.MaxOutput)
	shared := min(4*t.PrefixTokens, maxBody/2)
	if shared > 0 {
		fmt.Fprintf(&b, `{"role":"system","content":"%s"},`, h.promptText[:shared])
	}
	b.WriteString(`{"role":"user","content":"`)
	b.Write(h.promptText[:min(4*(t.PromptTokens-t.PrefixTokens), maxBody/2-1024)])
	b.WriteString(`"}]}`)
	return b.Bytes()
}

func (h *HTTP) request(ctx context.Context, t Try, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // only Do sends a request again
	labels := fmt.Sprintf("prompt_len=%d,prefix_len=%d,max_out=%d", t.PromptTokens, t.PrefixTokens, t.MaxOutput)
	if t.Prefix != "" {
		labels = "prefix=" + t.Prefix + "," + labels
	}
	for name, value := range map[string]string{
		"Content-Type": "application/json", "X-Txn": t.ID, "X-Lane": t.Class.Name, "X-Entity": t.Session, "X-Labels": labels,
		"X-Remaining": strconv.FormatFloat(t.Remaining/1000, 'f', 3, 64), "X-Estimate": strconv.FormatFloat(t.Estimate*1000, 'f', 0, 64),
	} {
		req.Header.Set(name, value)
	}
	return req, nil
}

// Do sends a try and reads its answer. If the gateway closes an idle connection just
// as the request is written to it, Do sends the request once more on another one, as
// the protocol asks of clients.
func (h *HTTP) Do(ctx context.Context, t Try, onSent func()) Outcome {
	body := h.Body(t)
	tryCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := h.clock.AfterFunc(t.Remaining+t.Grace, func() { cancel(errTimeout) })
	var sent atomic.Bool
	notifySent := func() {
		if sent.CompareAndSwap(false, true) {
			onSent()
		}
	}
	var resp *http.Response
	var err error
	for range 2 {
		reused, wrote := false, false
		var req *http.Request
		if req, err = h.request(httptrace.WithClientTrace(tryCtx, &httptrace.ClientTrace{
			GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
			WroteRequest: func(i httptrace.WroteRequestInfo) { wrote = i.Err == nil; notifySent() },
		}), t, body); err != nil {
			break
		}
		if resp, err = h.transport.RoundTrip(req); err == nil || !reused || tryCtx.Err() != nil {
			if err != nil && !wrote && tryCtx.Err() == nil {
				stop()
				return Outcome{End: h.clock.Now()} // no gateway at the address: the request was never sent
			}
			break
		}
	}
	inTime := stop()
	out := Outcome{End: h.clock.Now()}
	if err != nil {
		switch {
		case !sent.Load():
		case ctx.Err() != nil:
			out.Answer = rules.ClientLeft
		case !inTime || errors.Is(context.Cause(tryCtx), errTimeout):
			out.Answer = rules.Timeout
		default:
			out.Answer = rules.Dropped
		}
		return out
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return h.stream(tryCtx, cancel, t, resp.Body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		out.Answer = rules.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			out.RetryAfter = s * 1000
		}
	default:
		out.Answer = rules.Failure
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)) // so that the connection can be reused
	return out
}

var errTimeout = errors.New("load: the client's timeout has expired")

// stream reads the events of an answer to its end.
func (h *HTTP) stream(ctx context.Context, cancel context.CancelCauseFunc, t Try, body io.Reader) (out Outcome) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 64<<10)
	check := answerChecker{id: t.ID}
	for {
		stop := h.clock.AfterFunc(answerSilenceMs, func() { cancel(errTimeout) })
		more := lines.Scan()
		stop()
		if !more {
			break
		}
		check.addLine(lines.Bytes())
		if out.First == 0 && check.tokens > 0 {
			out.First = h.clock.Now()
		}
	}
	out.End, out.Tokens, out.Corrupted = h.clock.Now(), check.tokens, check.corrupted
	switch err := lines.Err(); {
	case err == nil && check.complete:
		out.Answer = rules.Served
	case err == nil: // the last chunk arrived before the answer's end
		out.Answer = rules.Served
		out.Corrupted = "an incomplete answer ended with the last chunk"
	case errors.Is(context.Cause(ctx), context.Canceled):
		out.Answer = rules.ClientLeft
	default:
		out.Answer = rules.Broken
	}
	return out
}

// answerChecker compares an answer's tokens with those that its engine sent, which follow from the request's id.
type answerChecker struct {
	id        string
	tokens    int
	corrupted string
	complete  bool // its end has been read
}

// CheckAnswer compares the text of a whole answer with what its engine sent, and counts its tokens.
// corrupted describes the first difference; "" = none.
func CheckAnswer(id string, text []byte) (tokens int, corrupted string) {
	c := answerChecker{id: id}
	for line := range bytes.Lines(text) {
		c.addLine(bytes.TrimSpace(line))
	}
	if !c.complete && c.corrupted == "" {
		c.corrupted = "the answer is incomplete"
	}
	return c.tokens, c.corrupted
}

// addLine processes a line of an answer.
func (c *answerChecker) addLine(line []byte) {
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	if !ok {
		return
	}
	if string(data) == "[DONE]" {
		c.complete = true
		return
	}
	if _, rest, ok := bytes.Cut(data, []byte(`"content":"`)); ok {
		text, _, _ := bytes.Cut(rest, []byte(`"`))
		c.addText(string(text))
	}
	if _, rest, ok := bytes.Cut(data, []byte(`"completion_tokens":`)); ok {
		n, _, _ := bytes.Cut(rest, []byte(","))
		c.checkTokenCount(string(n))
	}
}

// addText compares the next tokens with those that the engine sent.
func (c *answerChecker) addText(text string) {
	n := len(text) / 4
	if want := engine.AnswerText(c.id, c.tokens, n); text != want && c.corrupted == "" {
		c.corrupted = fmt.Sprintf("tokens from %d on are %.24q, the engine sent %.24q", c.tokens, text, want)
	}
	c.tokens += n
}

// checkTokenCount compares the engine's token count with the tokens received.
func (c *answerChecker) checkTokenCount(n string) {
	if n = strings.TrimSpace(n); n != strconv.Itoa(c.tokens) && c.corrupted == "" {
		c.corrupted = fmt.Sprintf("%d tokens received, the engine reports %s", c.tokens, n)
	}
}
