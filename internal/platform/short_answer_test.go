package platform

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

const (
	closeHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" // the body ends with the connection
	http10    = "HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	openEvent = "data: {\"a\"" // the beginning of an event
	doneEvent = "data: [DONE]\n\n"
)

func lengthHead(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", length)
}

// Guards against a stream that is ended as whole though its engine has stopped short, in each way in which it can.
func TestStream_StoppedShortIsNoWholeAnswer(t *testing.T) {
	two := firstEvent + firstEvent
	for _, tt := range []struct{ name, answer string }{
		{"chunks that end within an event", streamHead + encodeChunk(firstEvent) + encodeChunk(openEvent) + "0\r\n\r\n"},
		{"chunks that end behind an event's line", streamHead + encodeChunk(firstEvent) + encodeChunk("data: {\"a\":2}\n") + "0\r\n\r\n"},
		{"chunks that end without the last event", streamHead + encodeChunk(two) + "0\r\n\r\n"},
		{"chunks that end within the last event", streamHead + encodeChunk(firstEvent) + encodeChunk("data: [DO") + "0\r\n\r\n"},
		{"a chunk of size 0 before data", streamHead + encodeChunk(firstEvent) + "0\r\n" + firstEvent + "\r\n" + encodeChunk(doneEvent) + "0\r\n\r\n"},
		{"chunks without a last one, closed", streamHead + encodeChunk(two) + "\x00"},
		{"last chunk without its end, closed", streamHead + encodeChunk(two) + "0\r\n\x00"},
		{"a length that ends within an event", lengthHead(len(firstEvent+openEvent)) + firstEvent + openEvent},
		{"a length that is too short for the answer", lengthHead(len(two)) + two + doneEvent},
		{"a length that is too long, closed", lengthHead(len(two)+9) + two + "\x00"},
		{"no length, closed within an event", closeHead + firstEvent + openEvent + "\x00"},
		{"no length, closed without the last event", closeHead + two + "\x00"},
		{"HTTP/1.0, closed within an event", http10 + firstEvent + openEvent + "\x00"},
		{"HTTP/1.0, closed without the last event", http10 + two + "\x00"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(engineRequest) string { return tt.answer })))
			r, body, err := roundTrip(t, c, requestText("order", "", "{}"))
			if r.StatusCode != 200 || !strings.HasPrefix(body, firstEvent) || !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%s, %q, ended with %v", r.Status, body, err)
			}
		})
	}
}

// Guards against a whole answer that is taken for one that has stopped short.
func TestStream_WholeAnswerInAnyForm(t *testing.T) {
	for _, events := range []string{
		firstEvent + doneEvent,
		firstEvent + lastEvents,
		strings.ReplaceAll(firstEvent+lastEvents, "\n", "\r\n"),
		firstEvent + "data:[DONE]\n\n",
		firstEvent + "data: [DONE]",
		firstEvent + "data: [DONE]\n",
		firstEvent + "data: [DONE]\n\n: a comment",
		firstEvent + ": X-Pressure: inflight=3\ndata: [DONE]\n\n",
	} {
		for form, answer := range map[string]string{
			"chunks": streamHead + encodeChunk(events) + "0\r\n\r\n", "length": lengthHead(len(events)) + events, "close": closeHead + events + "\x00",
			"bytes": streamHead + encodeChunk(events[:1]) + encodeChunk(events[1:len(events)-3]) + encodeChunk(events[len(events)-3:]) + "0\r\nX-End: 1\r\n\r\n",
		} {
			t.Run(fmt.Sprintf("%s %q", form, events), func(t *testing.T) {
				c := startAndDial(t, scriptedEngine(t, "r1", "reader", scriptPrefill), scriptedEngine(t, "w1", "writer", scriptDecode(func(engineRequest) string { return answer })))
				if r, body, err := roundTrip(t, c, requestText("order", "", "{}")); r.StatusCode != 200 || body != events || err != nil {
					t.Errorf("%s, %q, %v", r.Status, body, err)
				}
			})
		}
	}
}

// Guards against an answer that stops short behind a hand-over and is ended as whole by the process that has adopted it.
func TestStream_AdoptedAnswerStoppedShort(t *testing.T) {
	for _, tt := range []struct {
		form, before, behind string
		whole                bool
	}{
		{"chunks", firstEvent + openEvent, "0\r\n\r\n", false},
		{"close", firstEvent, "", false},
		{"close", firstEvent + openEvent, ":1}\n\n", false},
		{"close", firstEvent + openEvent, ":1}\n\n" + doneEvent, true},
		{"chunks", firstEvent + doneEvent, "0\r\n\r\n", true},
		{"close", firstEvent + doneEvent, "", true},
	} {
		engine, answer := openStream(t, bodyState{Form: tt.form, Tail: []byte(tt.before)})
		go func() {
			io.WriteString(engine, tt.behind)
			engine.Close()
		}()
		if err := passOn(answer, func(string) {}); errors.Is(err, io.EOF) != tt.whole {
			t.Errorf("%s: %q before and %q behind the hand-over: ended with %v", tt.form, tt.before, tt.behind, err)
		}
	}
}
