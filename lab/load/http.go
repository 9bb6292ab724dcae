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

// silenceMs is how long a client waits for the next piece of a begun answer.
const silenceMs = 30000.0

// HTTP is a client of the platform's protocol.
type HTTP struct {
	url   string
	clock clock.Clock
	http  *http.Transport
	text  []byte // from which prompts are cut
}

// NewHTTP makes a client of the gateway at an address, with so many connections
// at most; further tries wait for one.
func NewHTTP(addr string, connections int, c clock.Clock) *HTTP {
	return &HTTP{
		url: "http://" + addr + "/v1/chat/completions", clock: c,
		http: &http.Transport{
			MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		},
		text: bytes.Repeat([]byte("a prompt's text, four letters a token. "), (maxBody+64)/39),
	}
}

// maxBody is the most that the platform takes.
const maxBody = 256 << 10

// Close ends idle connections.
func (h *HTTP) Close() { h.http.CloseIdleConnections() }

// Body is a request's JSON, with four characters for each token of its prompt.
func (h *HTTP) Body(t Try) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"metadata":{"class":%q,"session":%q,"prefix":%q,"prompt_len":%d,"prefix_len":%d},"model":"chat","stream":true,"max_tokens":%d,"messages":[`,
		t.Class.Name, t.Session, t.SharedPrefix, t.PromptTokens, t.SharedPrefixTokens, t.MaxOut)
	shared := min(4*t.SharedPrefixTokens, maxBody/2)
	if shared > 0 {
		fmt.Fprintf(&b, `{"role":"system","content":"%s"},`, h.text[:shared])
	}
	b.WriteString(`{"role":"user","content":"`)
	b.Write(h.text[:min(4*(t.PromptTokens-t.SharedPrefixTokens), maxBody/2-1024)])
	b.WriteString(`"}]}`)
	return b.Bytes()
}

func (h *HTTP) request(ctx context.Context, t Try, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // nothing is sent again but by Do
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

// Do sends a try. A connection that the gateway closed just as the request was
// written to it is replaced once, as the protocol has clients do.
func (h *HTTP) Do(ctx context.Context, t Try, asked func()) Outcome {
	body := h.Body(t)
	tctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := h.clock.AfterFunc(t.Remaining+t.Grace, func() { cancel(errTimeout) })
	var told atomic.Bool
	once := func() {
		if told.CompareAndSwap(false, true) {
			asked()
		}
	}
	var resp *http.Response
	var err error
	for range 2 {
		reused, wrote := false, false
		var req *http.Request
		if req, err = h.request(httptrace.WithClientTrace(tctx, &httptrace.ClientTrace{
			GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
			WroteRequest: func(i httptrace.WroteRequestInfo) { wrote = i.Err == nil; once() },
		}), t, body); err != nil {
			break
		}
		if resp, err = h.http.RoundTrip(req); err == nil || !reused || tctx.Err() != nil {
			if err != nil && !wrote && tctx.Err() == nil {
				stop()
				return Outcome{EndedAt: h.clock.Now()} // no gateway there: it was never asked
			}
			break
		}
	}
	inTime := stop()
	out := Outcome{EndedAt: h.clock.Now()}
	if err != nil {
		switch {
		case !told.Load():
		case ctx.Err() != nil:
			out.Answer = rules.ClientLeft
		case !inTime || errors.Is(context.Cause(tctx), errTimeout):
			out.Answer = rules.Timeout
		default:
			out.Answer = rules.Dropped
		}
		return out
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return h.stream(tctx, cancel, t, resp.Body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		out.Answer = rules.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			out.RetryAfter = s * 1000
		}
	default:
		out.Answer = rules.Failure
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)) // for the connection to be used again
	return out
}

var errTimeout = errors.New("load: the client's time is up")

// stream reads an answer's events to their end.
func (h *HTTP) stream(ctx context.Context, cancel context.CancelCauseFunc, t Try, body io.Reader) (out Outcome) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 64<<10)
	check := checker{id: t.ID}
	for {
		stop := h.clock.AfterFunc(silenceMs, func() { cancel(errTimeout) })
		more := lines.Scan()
		stop()
		if !more {
			break
		}
		check.line(lines.Bytes())
		if out.FirstTokenAt == 0 && check.tokens > 0 {
			out.FirstTokenAt = h.clock.Now()
		}
	}
	out.EndedAt, out.Tokens, out.Corruption = h.clock.Now(), check.tokens, check.spoilt
	switch err := lines.Err(); {
	case err == nil && check.whole:
		out.Answer = rules.Served
	case err == nil: // the last chunk came, and the answer was not whole
		out.Answer = rules.Served
		out.Corruption = "an answer that is not whole ended with the last chunk"
	case errors.Is(context.Cause(ctx), context.Canceled):
		out.Answer = rules.ClientLeft
	default:
		out.Answer = rules.Broken
	}
	return out
}

// checker compares an answer's tokens with what its engine sent.
type checker struct {
	id     string
	tokens int
	spoilt string
	whole  bool // its end has come
}

// Check compares a whole answer's text with what its engine sent, and counts its tokens.
func Check(id string, text []byte) (tokens int, spoilt string) {
	c := checker{id: id}
	for line := range bytes.Lines(text) {
		c.line(bytes.TrimSpace(line))
	}
	if !c.whole && c.spoilt == "" {
		c.spoilt = "the answer is not whole"
	}
	return c.tokens, c.spoilt
}

// line takes in a line of an answer.
func (c *checker) line(line []byte) {
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	if !ok {
		return
	}
	if string(data) == "[DONE]" {
		c.whole = true
		return
	}
	if _, rest, ok := bytes.Cut(data, []byte(`"content":"`)); ok {
		text, _, _ := bytes.Cut(rest, []byte(`"`))
		c.add(string(text))
	}
	if _, rest, ok := bytes.Cut(data, []byte(`"completion_tokens":`)); ok {
		n, _, _ := bytes.Cut(rest, []byte(","))
		c.told(string(n))
	}
}

func (c *checker) add(text string) {
	n := len(text) / 4
	if want := engine.AnswerText(c.id, c.tokens, n); text != want && c.spoilt == "" {
		c.spoilt = fmt.Sprintf("tokens from %d on are %.24q, the engine sent %.24q", c.tokens, text, want)
	}
	c.tokens += n
}

func (c *checker) told(n string) {
	if n = strings.TrimSpace(n); n != strconv.Itoa(c.tokens) && c.spoilt == "" {
		c.spoilt = fmt.Sprintf("%d tokens came, the engine tells of %s", c.tokens, n)
	}
}
