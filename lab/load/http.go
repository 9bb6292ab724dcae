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

// maxEventGapMs is how long a client waits for the next line of an answer that has begun.
const maxEventGapMs = 30000.0

// HTTP is a client of the gateway's HTTP/1.1 front, the platform's protocol.
type HTTP struct {
	url        string
	clock      clock.Clock
	http       *http.Transport
	promptText []byte // filler that prompts are cut from
}

// NewHTTP returns a client of the gateway at an address that opens at most the given
// number of connections; further tries wait for a free one.
func NewHTTP(addr string, connections int, c clock.Clock) *HTTP {
	return &HTTP{
		url: "http://" + addr + "/v1/chat/completions", clock: c,
		http: &http.Transport{
			MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		},
		promptText: bytes.Repeat([]byte("a prompt's text, four letters a token. "), (maxBodyBytes+64)/39),
	}
}

// maxBodyBytes is the largest request body that the platform accepts.
const maxBodyBytes = 256 << 10

// Close closes idle connections.
func (h *HTTP) Close() { h.http.CloseIdleConnections() }

// Body returns a request's JSON body, with four characters for each token of its prompt.
func (h *HTTP) Body(t Try) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"metadata":{"class":%q,"session":%q,"prefix":%q,"prompt_len":%d,"prefix_len":%d},"model":"chat","stream":true,"max_tokens":%d,"messages":[`,
		t.Class.Name, t.Session, t.SharedPrefix, t.PromptTokens, t.SharedPrefixTokens, t.MaxOut)
	shared := min(4*t.SharedPrefixTokens, maxBodyBytes/2)
	if shared > 0 {
		fmt.Fprintf(&b, `{"role":"system","content":"%s"},`, h.promptText[:shared])
	}
	b.WriteString(`{"role":"user","content":"`)
	b.Write(h.promptText[:min(4*(t.PromptTokens-t.SharedPrefixTokens), maxBodyBytes/2-1024)])
	b.WriteString(`"}]}`)
	return b.Bytes()
}

func (h *HTTP) newRequest(ctx context.Context, t Try, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // only Do may send a request again
	labels := fmt.Sprintf("prompt_len=%d,prefix_len=%d,max_out=%d", t.PromptTokens, t.SharedPrefixTokens, t.MaxOut)
	if t.SharedPrefix != "" {
		labels = "prefix=" + t.SharedPrefix + "," + labels
	}
	for name, value := range map[string]string{
		"Content-Type": "application/json", "X-Txn": t.ID, "X-Lane": t.Class.Name, "X-Entity": t.Session, "X-Labels": labels,
		"X-Remaining": strconv.FormatFloat(t.Remaining/1000, 'f', 3, 64), "X-Estimate": strconv.FormatFloat(t.Estimate*1000, 'f', 0, 64),
	} {
		req.Header.Set(name, value)
	}
	return req, nil
}

// Do sends a try and reads its answer; see Client. If the gateway closes a reused
// connection while the request is written to it, Do sends the try once more on
// another one, as the protocol requires of clients.
func (h *HTTP) Do(ctx context.Context, t Try, sent func()) Outcome {
	body := h.Body(t)
	tryCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := h.clock.AfterFunc(t.Remaining+t.Grace, func() { cancel(errTimeout) })
	var notified atomic.Bool
	notifySent := func() {
		if notified.CompareAndSwap(false, true) {
			sent()
		}
	}
	var resp *http.Response
	var err error
	for range 2 {
		reused, wrote := false, false
		var req *http.Request
		if req, err = h.newRequest(httptrace.WithClientTrace(tryCtx, &httptrace.ClientTrace{
			GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
			WroteRequest: func(i httptrace.WroteRequestInfo) { wrote = i.Err == nil; notifySent() },
		}), t, body); err != nil {
			break
		}
		if resp, err = h.http.RoundTrip(req); err == nil || !reused || tryCtx.Err() != nil {
			if err != nil && !wrote && tryCtx.Err() == nil {
				stop()
				return Outcome{EndedAt: h.clock.Now()} // no gateway is reachable, so the request was never sent
			}
			break
		}
	}
	beforeTimeout := stop()
	out := Outcome{EndedAt: h.clock.Now()}
	if err != nil {
		switch {
		case !notified.Load():
		case ctx.Err() != nil:
			out.Answer = rules.ClientLeft
		case !beforeTimeout || errors.Is(context.Cause(tryCtx), errTimeout):
			out.Answer = rules.Timeout
		default:
			out.Answer = rules.Dropped
		}
		return out
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return h.readStream(tryCtx, cancel, t, resp.Body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		out.Answer = rules.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			out.RetryAfter = s * 1000
		}
	default:
		out.Answer = rules.Failure
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)) // lets the connection be reused
	return out
}

var errTimeout = errors.New("load: the client's timeout expired")

// readStream reads an answer's events to the end of the stream.
func (h *HTTP) readStream(ctx context.Context, cancel context.CancelCauseFunc, t Try, body io.Reader) (out Outcome) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 64<<10)
	check := checker{id: t.ID}
	for {
		stop := h.clock.AfterFunc(maxEventGapMs, func() { cancel(errTimeout) })
		more := lines.Scan()
		stop()
		if !more {
			break
		}
		check.addLine(lines.Bytes())
		if out.FirstTokenAt == 0 && check.tokens > 0 {
			out.FirstTokenAt = h.clock.Now()
		}
	}
	out.EndedAt, out.Tokens, out.Corruption = h.clock.Now(), check.tokens, check.corruption
	switch err := lines.Err(); {
	case err == nil && check.complete:
		out.Answer = rules.Served
	case err == nil: // the last chunk came, but no [DONE] event
		out.Answer = rules.Served
		out.Corruption = "the body ended properly, but the answer is incomplete"
	case errors.Is(context.Cause(ctx), context.Canceled):
		out.Answer = rules.ClientLeft
	default:
		out.Answer = rules.Broken
	}
	return out
}

// checker compares an answer's tokens with those that its engine sent.
type checker struct {
	id         string
	tokens     int
	corruption string
	complete   bool // [DONE] was received
}

// Check compares the events of a complete answer with what its engine sent. It returns
// the number of tokens and what is wrong with them, "" if nothing is.
func Check(id string, text []byte) (tokens int, corruption string) {
	c := checker{id: id}
	for line := range bytes.Lines(text) {
		c.addLine(bytes.TrimSpace(line))
	}
	if !c.complete && c.corruption == "" {
		c.corruption = "the answer is incomplete"
	}
	return c.tokens, c.corruption
}

// addLine processes a line of an answer's event stream.
func (c *checker) addLine(line []byte) {
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

// addText compares the next piece of an answer with what the engine sent.
func (c *checker) addText(text string) {
	n := len(text) / 4
	if want := engine.AnswerText(c.id, c.tokens, n); text != want && c.corruption == "" {
		c.corruption = fmt.Sprintf("tokens from %d on are %.24q, but the engine sent %.24q", c.tokens, text, want)
	}
	c.tokens += n
}

// checkTokenCount compares the engine's own count with the tokens received.
func (c *checker) checkTokenCount(n string) {
	if n = strings.TrimSpace(n); n != strconv.Itoa(c.tokens) && c.corruption == "" {
		c.corruption = fmt.Sprintf("%d tokens were received, the engine reports %s", c.tokens, n)
	}
}
