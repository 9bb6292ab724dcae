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

// parseFastHTTP parses a request that fasthttp has read.
func parseFastHTTP(request *fasthttp.Request) (*gateway.Request, error) {
	header := &request.Header
	if err := checkFraming(header); err != nil {
		return nil, err
	}
	req, err := ParseRequest(string(header.Method()), string(header.RequestURI()), request.Body(), func(name string) (values []string) {
		for _, v := range header.PeekAll(name) {
			values = append(values, string(v))
		}
		return values
	})
	if err == nil {
		for name, value := range header.All() {
			forwardHeader(req, string(name), string(value))
		}
	}
	return req, err
}

// forwardHeader adds a header to those sent to the engine. Headers are forwarded unchanged (an
// idempotency key, for example), except the hop-by-hop ones and those that the gateway sets itself,
// listed below; others that a Connection header names are forwarded too. A header that is not valid as
// one line is dropped.
func forwardHeader(req *gateway.Request, name, value string) {
	if !notForwarded[strings.ToLower(name)] && httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value) {
		req.Header = append(req.Header, [2]string{name, value})
	}
}

// notForwarded are the headers that are not sent to the engine.
var notForwarded = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true, "proxy-authorization": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "expect": true, "content-length": true, "host": true,
	strings.ToLower(headerID): true, strings.ToLower(headerRemaining): true,
}

// ParseRequest extracts the fields that routing decisions need. It is strict: a request that is malformed
// or ambiguous reaches no engine. header returns all values of a name.
func ParseRequest(method, target string, body []byte, header func(name string) []string) (*gateway.Request, error) {
	req := &gateway.Request{Method: method, Target: target, Body: body}
	if !json.Valid(req.Body) { // cut off, or sent with a wrong length
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
	if strings.Trim(string(req.ID), ".") == "" || len(req.ID) > maxIDLength || strings.ContainsFunc(string(req.ID), isInvalidInID) {
		return nil, fmt.Errorf("header %s: %.80q is no request id", headerID, req.ID)
	}
	if req.Class == "" {
		return nil, fmt.Errorf("header %s is missing", headerClass)
	}
	remaining, err := parseNumber(fields[headerRemaining])
	if err != nil || remaining > maxRemainingSeconds {
		return nil, fmt.Errorf("header %s: %w", headerRemaining, cmp.Or(err, errTooLong))
	}
	req.Remaining = remaining * 1000
	req.Session = gateway.AffinityKey(fields[headerSession])
	return req, parseLabels(req, fields[headerLabels])
}

// parseLabels reads the labels that describe a prompt.
func parseLabels(req *gateway.Request, text string) (err error) {
	for _, label := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(label), "=")
		var field *float64
		switch name {
		case "prefix":
			req.Prefix = gateway.AffinityKey(value)
		case "prompt_len":
			field = &req.PromptTokens
		case "prefix_len":
			field = &req.PrefixTokens
		case "max_out":
			field = &req.MaxOutputTokens
		}
		if field != nil {
			if *field, err = parseNumber(value); err != nil {
				return fmt.Errorf("header %s: %s: %w", headerLabels, name, err)
			}
		}
	}
	return nil
}

const (
	maxIDLength         = 128
	maxRemainingSeconds = 86400 // one day
)

var errTooLong = fmt.Errorf("longer than %d seconds", maxRemainingSeconds)

// checkFraming rejects a request whose end is ambiguous: its body may hide another request.
func checkFraming(h *fasthttp.RequestHeader) error {
	lengths, encodings := 0, 0
	for line := range bytes.Lines(h.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			lengths++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			encodings++
		}
	}
	if lengths+encodings > 1 {
		return errors.New("more than one header tells the body's length")
	}
	return nil
}

// isInvalidInID reports whether a rune may not occur in a request id, which becomes part of a path.
func isInvalidInID(r rune) bool {
	return !(r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || strings.ContainsRune("-_.:~", r))
}

// parseNumber parses a plain decimal number, without sign or exponent.
func parseNumber(text string) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v > 1e9 || strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("%.80q is no number from 0 to 1e9", text)
	}
	return v, nil
}
