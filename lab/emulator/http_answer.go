package emulator

import (
	"bufio"
	"context"
	"fmt"
	"net/http"

	"ashwood.example/ashwood/lab/engine"
)

// httpAnswer writes an attempt's answer in the platform's form.
type httpAnswer struct {
	w  http.ResponseWriter
	r  *http.Request
	id string
}

func (a httpAnswer) away(ev engine.Event, report string) {
	code := http.StatusServiceUnavailable
	switch {
	case ev.Kind == engine.EventNoState:
		code = http.StatusGone
	case ev.Why == engine.WhyExpired:
		code = http.StatusGatewayTimeout
	}
	a.w.Header().Set(headerAway, "1")
	a.w.Header().Set(headerLoad, report)
	http.Error(a.w, ev.Why, code)
}

func (a httpAnswer) read(ev engine.Event, report string) {
	a.w.Header().Set(headerLoad, report)
	a.w.Header().Set("Content-Type", "application/json")
	a.w.WriteHeader(http.StatusAccepted)
	fmt.Fprintf(a.w, `{"cached_tokens":%d}`, ev.Kept)
}

func (a httpAnswer) failed(report string) {
	a.w.Header().Set(headerLoad, report)
	http.Error(a.w, "error", http.StatusInternalServerError)
}

func (a httpAnswer) tokens(from int, ev engine.Event) {
	if from == 0 {
		a.w.Header().Set("Content-Type", "text/event-stream")
	}
	fmt.Fprintf(a.w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", engine.AnswerText(a.id, from, ev.Tokens))
	_ = http.NewResponseController(a.w).Flush() // a caller that has gone shows in the context
}

func (a httpAnswer) end(prompt int, ev engine.Event, report string) {
	fmt.Fprintf(a.w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"+
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n"+
		"data: [DONE]\n\n: %s: %s\n\n", prompt, ev.Tokens, ev.Kept, headerLoad, report)
}

func (a httpAnswer) lost() { panic(http.ErrAbortHandler) }

func (a httpAnswer) hold(ctx context.Context) {
	<-ctx.Done()
}

// spoil writes what can't be read, in place of a head or of the next chunk.
func (a httpAnswer) spoil(fate engine.Fate) {
	c, rw, err := http.NewResponseController(a.w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	text := "HTTP/1.1 2\x00\x00 \xff\xfe garbled\r\nX-Load: \x01\r\n"
	if fate == engine.FateSpoilChunk {
		text = "zz;not a size\r\ngarbled\r\n"
	}
	if _, err := rw.WriteString(text); err == nil {
		_ = rw.Flush()
	}
	_, _ = bufio.NewReader(c).ReadByte() // until the caller closes; nothing more is sent
}
