package platform

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

// maxClientWait is how long a client may be left waiting behind an engine's last event (PROTOCOL, Figures).
const maxClientWait = 5 * time.Second

// openStream returns a begun answer of which the test is the engine: it writes what follows, in this body form.
func openStream(t *testing.T, state bodyState) (engine net.Conn, answer gateway.Stream) {
	t.Helper()
	c := clock.System()
	engines := NewEngines(testSettings(), c, 5)
	g, err := gateway.New(testSettings(), 1, engines, c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	engine, gatewaySide := net.Pipe()
	live := gateway.HandoverState{ID: "q", Class: "order"}
	answer, err = g.Adopt(t.Context(), live, func(ctx context.Context, _ gateway.Transport) (gateway.Stream, error) {
		return engines.adoptStream(ctx, gatewaySide, ashwood.Server{ID: "w1"}, state)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		answer.Close()
		engine.Close()
		engines.Close()
	})
	return engine, answer
}

// passOn reads an answer to its end, as a front does; got receives its pieces.
func passOn(answer gateway.Stream, got func(string)) error {
	for {
		piece, err := answer.Next()
		if err != nil {
			return err
		}
		got(string(piece))
	}
}

// Guards against an answer that is cut off because its engine falls silent, for less time than clients wait, at any byte of
// a begun stream; and against events held back until the silence ends.
func TestStream_SilenceAtAnyByte(t *testing.T) {
	const event = "data: {\"a\":2}\n\n"
	text := event + event + "data: [DONE]\r\n\r\n"
	for _, tt := range []struct {
		state bodyState
		bytes string
	}{
		{bodyState{Form: "chunks"}, encodeChunk(event+"data") + encodeChunk(strings.TrimPrefix(text, event+"data")) + "0\r\nX-More: 1\r\n\r\n"},
		{bodyState{Form: "length", Left: len(text)}, text},
		{bodyState{Form: "close"}, text},
	} {
		for at := range len(tt.bytes) {
			synctest.Test(t, func(t *testing.T) {
				engine, answer := openStream(t, tt.state)
				var got strings.Builder
				ended := make(chan error, 1)
				go func() {
					err := passOn(answer, func(piece string) { got.WriteString(piece) })
					answer.Close() // unblocks an engine that still writes
					ended <- err
				}()
				io.WriteString(engine, tt.bytes[:at])
				synctest.Wait()
				whole := strings.Count(strings.ReplaceAll(tt.bytes[:at], "\r", ""), "\n\n")
				if n := strings.Count(strings.ReplaceAll(got.String(), "\r", ""), "\n\n"); n < min(whole, 3) {
					t.Errorf("%s, silent behind byte %d: %d events passed on of %d written", tt.state.Form, at, n, whole)
				}
				time.Sleep(maxClientWait * 8 / 10) // of the bubble's clock
				io.WriteString(engine, tt.bytes[at:])
				engine.Close()
				if err := <-ended; !errors.Is(err, io.EOF) || got.String() != text {
					t.Errorf("%s, silent behind byte %d: %q, ended with %v", tt.state.Form, at, got.String(), err)
				}
			})
		}
	}
}

// Guards against a client left waiting for good by an engine that goes on sending bytes of an event that never ends.
func TestStream_EndlessEvent(t *testing.T) {
	for _, drip := range []string{"0", encodeChunk("x")} { // a chunk's size, an event
		synctest.Test(t, func(t *testing.T) {
			engine, answer := openStream(t, bodyState{Form: "chunks"})
			go io.WriteString(engine, encodeChunk(firstEvent))
			if piece, err := answer.Next(); string(piece) != firstEvent || err != nil {
				t.Fatal(string(piece), err)
			}
			begun := time.Now()
			var writer sync.WaitGroup
			writer.Go(func() {
				for time.Since(begun) < 2*maxClientWait {
					if _, err := io.WriteString(engine, drip); err != nil {
						return
					}
					time.Sleep(maxClientWait / 10) // of the bubble's clock
				}
			})
			err := passOn(answer, func(string) {})
			endedAt := time.Now()
			answer.Close()
			writer.Wait()
			if waited := endedAt.Sub(begun); waited >= maxClientWait || err == nil || errors.Is(err, io.EOF) {
				t.Errorf("bytes %s: ended after %v with %v", strconv.Quote(drip), waited, err)
			}
		})
	}
}

// Guards against a write to the client for every piece of an event: engines may write pieces of any size.
func TestStream_SmallPieces(t *testing.T) {
	const events = 5
	synctest.Test(t, func(t *testing.T) {
		engine, answer := openStream(t, bodyState{Form: "chunks"})
		go func() {
			for _, b := range []byte(strings.Repeat(encodeChunk(firstEvent), events) + encodeChunk(doneEvent) + "0\r\n\r\n") {
				engine.Write([]byte{b})
			}
		}()
		var pieces []string
		if err := passOn(answer, func(piece string) { pieces = append(pieces, piece) }); !errors.Is(err, io.EOF) {
			t.Error(err)
		}
		if len(pieces) != events+1 || strings.Join(pieces, "") != strings.Repeat(firstEvent, events)+doneEvent {
			t.Errorf("%d pieces for %d events: %q", len(pieces), events+1, pieces)
		}
	})
}
