package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a client's request.
type Request struct {
	ID, Class string
	Remaining time.Duration
	Prompt    int // tokens
	Prefix    string
	Fill      int // bytes of the prompt's text; 0 = a few
}

// Answer is what a client got.
type Answer struct {
	Status int    // 0: no answer
	Body   string // as far as it came
	Whole  bool   // the answer came to its end
	Err    error
}

// Text returns the request as it is written.
func (r Request) Text() string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":40,"messages":[{"role":"user","content":%q}]}`, strings.Repeat("text", max(r.Fill/4, 20)))
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Entity: %s\r\nX-Remaining: %.3f\r\n"+
		"X-Labels: prefix=%s,prompt_len=%d,prefix_len=%d,max_out=40\r\nContent-Length: %d\r\n\r\n%s",
		r.ID, r.Class, "e"+r.ID, r.Remaining.Seconds(), r.Prefix, r.Prompt, r.Prompt/2, len(body), body)
}

// Send sends a request on a new connection and reads the answer. A client gives up after Remaining without a first
// token; patience bounds the rest.
func Send(addr string, r Request, patience time.Duration) Answer {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, r.Text()); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Body: string(body), Whole: err == nil, Err: err}
}
