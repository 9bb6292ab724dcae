package platform

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a body of many lines that is taken for a head, in a request sent ahead of the answer before it, whose head
// has come with that.
func TestHeadLines_BodyOfRequestSentAhead(t *testing.T) {
	c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(engineRequest) string { return fullStream() })))
	lines := "[1" + strings.Repeat(",\n1", 2*maxHeadLines) + "]"
	second := withID(requestText("chat", "", lines), "second")
	head, body, _ := strings.Cut(second, "\r\n\r\n")
	io.WriteString(c, requestText("chat", "", "{}")+head+"\r\n\r\n")
	reader := bufio.NewReader(c)
	for n := range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(response.Body); response.StatusCode != 200 || err != nil {
			t.Errorf("answer %d: %s, %q, %v", n, response.Status, text, err)
		}
		if n == 0 {
			io.WriteString(c, body)
		}
	}
}

// A head of too many lines ends with 431, however it arrives; one of as many as are allowed is served.
func TestHeadLines_Limit(t *testing.T) {
	const own = 9 // lines of a request's head, with the request line and those of the fields below
	for _, tt := range []struct{ lines, status int }{{maxHeadLines - own, 200}, {maxHeadLines + 1, 431}} {
		c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(engineRequest) string { return fullStream() })))
		first := withID(requestText("chat", "", "{}"), "first")
		text := requestText("chat", strings.Repeat("a:\r\n", tt.lines), "{}")
		io.WriteString(c, first+text) // in one piece, so that the second is counted once it is parsed
		reader := bufio.NewReader(c)
		for n, want := range []int{200, tt.status} {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, response.Body)
			if response.StatusCode != want {
				t.Errorf("%d lines, answer %d: %s, want %d", tt.lines, n, response.Status, want)
			}
		}
		alone := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(engineRequest) string { return fullStream() })))
		if response, _, err := roundTrip(t, alone, text); response.StatusCode != tt.status || err != nil {
			t.Errorf("%d lines, alone: %s, %v, want %d", tt.lines, response.Status, err, tt.status)
		}
	}
}
