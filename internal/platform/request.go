package platform

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
)

// parseRequest reads a request that fasthttp has taken.
func parseRequest(r *fasthttp.Request) (*gateway.Request, error) {
	h := &r.Header
	if err := framing(h); err != nil {
		return nil, err
	}
	req, err := Parse(string(h.Method()), string(h.RequestURI()), r.Body(), func(name string) (values []string) {
		for _, v := range h.PeekAll(name) {
			values = append(values, string(v))
		}
		return values
	})
	if err == nil {
		for name, value := range h.All() {
			pass(req, string(name), string(value))
		}
	}
	return req, err
}

// pass notes a header for the engine: all go there as they came (a client's key for
// repeats, say), but for those of one connection that are listed below, or that the gateway
// sets itself; others that a Connection header names are passed on all the same. What can't
// be written as a line of its own stays here.
func pass(req *gateway.Request, name, value string) {
	if !ours[strings.ToLower(name)] && httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value) {
		req.Header = append(req.Header, [2]string{name, value})
	}
}

// ours are the headers that are not passed on.
var ours = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true, "proxy-authorization": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "expect": true, "content-length": true, "host": true,
	strings.ToLower(headerID): true, strings.ToLower(headerRemaining): true,
}

// Parse takes out the fields that decisions need. It is strict: what is faulty or
// may be read in two ways reaches no engine. header gives all values of a name.
func Parse(method, target string, body []byte, header func(name string) []string) (*gateway.Request, error) {
	req := &gateway.Request{Method: method, Target: target, Body: body}
	if !json.Valid(req.Body) { // cut off, or behind a length that is wrong
		return nil, errors.New("the body is no JSON")
	}
	fields := map[string]string{}
	for _, name := range []string{headerID, headerClass, headerSession, headerRemaining, headerLabels, headerResent, headerTenant} {
		switch values := header(name); len(values) {
		case 0:
		case 1:
			fields[name] = values[0]
		default:
			return nil, fmt.Errorf("header %s comes %d times", name, len(values))
		}
	}
	req.ID = ashwood.RequestID(fields[headerID])
	req.Class = fields[headerClass]
	req.Tenant = fields[headerTenant]
	req.Retry = fields[headerResent] == "1"
	if strings.Trim(string(req.ID), ".") == "" || len(req.ID) > maxID || strings.ContainsFunc(string(req.ID), notInID) {
		return nil, fmt.Errorf("header %s: %.80q is no request id", headerID, req.ID)
	}
	if req.Class == "" {
		return nil, fmt.Errorf("header %s is missing", headerClass)
	}
	left, err := number(fields[headerRemaining])
	if err != nil || left > maxLeft {
		return nil, fmt.Errorf("header %s: %w", headerRemaining, cmp.Or(err, errTooLong))
	}
	req.Remaining = left * 1000
	req.Session = gateway.AffinityKey(fields[headerSession])
	return req, labels(req, fields[headerLabels])
}

// labels reads what the labels tell of a prompt.
func labels(req *gateway.Request, text string) (err error) {
	for _, label := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(label), "=")
		var into *float64
		switch name {
		case "prefix":
			req.Prefix = gateway.AffinityKey(value)
		case "prompt_len":
			into = &req.PromptTokens
		case "prefix_len":
			into = &req.PrefixTokens
		case "max_out":
			into = &req.MaxOutputTokens
		}
		if into != nil {
			if *into, err = number(value); err != nil {
				return fmt.Errorf("header %s: %s: %w", headerLabels, name, err)
			}
		}
	}
	return nil
}

const (
	maxID   = 128
	maxLeft = 86400 // s
)

var errTooLong = fmt.Errorf("longer than %d seconds", maxLeft)

// framing refuses a request whose end can be seen in two places: its body may
// hide another one.
func framing(h *fasthttp.RequestHeader) error {
	length, encoding := 0, 0
	for line := range bytes.Lines(h.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			length++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			encoding++
		}
	}
	if length+encoding > 1 {
		return errors.New("more than one header tells the body's length")
	}
	return nil
}

// notInID tells what no id has: it becomes part of a path.
func notInID(r rune) bool {
	return !(r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || strings.ContainsRune("-_.:~", r))
}

// number reads a plain decimal number, without sign or exponent.
func number(text string) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v > 1e9 || strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("%.80q is no number from 0 to 1e9", text)
	}
	return v, nil
}
