package platform

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a begun answer that is cut off while its engine is still writing a long event slowly.
func TestStream_LongEventWrittenSlowly(t *testing.T) {
	event := "data: {\"a\":\"" + strings.Repeat("x", 40<<10) + "\"}\n\n"
	synctest.Test(t, func(t *testing.T) {
		engine, answer := openStream(t, bodyState{Form: "chunks"})
		var writer sync.WaitGroup
		defer writer.Wait()
		writer.Go(func() {
			writeSlowly(engine, encodeChunk(firstEvent)+encodeChunk(event)+encodeChunk(doneEvent)+"0\r\n\r\n", 2<<10, time.Second)
			engine.Close()
		})
		var got strings.Builder
		err := passOn(answer, func(piece string) { got.WriteString(piece) })
		answer.Close() // unblocks an engine that still writes
		if !errors.Is(err, io.EOF) || got.String() != firstEvent+event+doneEvent {
			t.Errorf("%d of %d bytes, ended with %v", got.Len(), len(firstEvent+event+doneEvent), err)
		}
	})
}

// Guards against an event without end that is passed on for as long as its engine goes on writing.
func TestStream_EndlessEventAtFullSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, answer := openStream(t, bodyState{Form: "chunks"})
		go func() {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(engine, encodeChunk(strings.Repeat("x", 4<<10)))
			}
		}()
		got := 0
		err := passOn(answer, func(piece string) { got += len(piece) })
		answer.Close()
		if err == nil || errors.Is(err, io.EOF) || got > maxEventBytes+8<<10 {
			t.Errorf("%d bytes passed on, ended with %v", got, err)
		}
	})
}
