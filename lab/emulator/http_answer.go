package emulator

import (
	"bufio"
	"context"
	"fmt"
	"net/http"

	"ashwood.example/ashwood/lab/engine"
)

// httpAnswer writes an attempt's answer in the platform's HTTP form.
type httpAnswer struct {
	writer    http.ResponseWriter
	request   *http.Request
	requestID string
}

func (a httpAnswer) rejected(ev engine.Event, report string) {
	code := http.StatusServiceUnavailable
	switch {
	case ev.Kind == engine.EventNoState:
		code = http.StatusGone
	case ev.Reason == engine.ReasonExpired:
		code = http.StatusGatewayTimeout
	}
	a.writer.Header().Set(headerRejected, "1")
	a.writer.Header().Set(headerLoad, report)
	http.Error(a.writer, ev.Reason, code)
}

func (a httpAnswer) prefilled(ev engine.Event, report string) {
	a.writer.Header().Set(headerLoad, report)
	a.writer.Header().Set("Content-Type", "application/json")
	a.writer.WriteHeader(http.StatusAccepted)
	fmt.Fprintf(a.writer, `{"cached_tokens":%d}`, ev.CachedTokens)
}

func (a httpAnswer) failed(report string) {
	a.writer.Header().Set(headerLoad, report)
	http.Error(a.writer, "error", http.StatusInternalServerError)
}

func (a httpAnswer) tokens(from int, ev engine.Event) {
	if from == 0 {
		a.writer.Header().Set("Content-Type", "text/event-stream")
	}
	fmt.Fprintf(a.writer, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", engine.AnswerText(a.requestID, from, ev.Tokens))
	_ = http.NewResponseController(a.writer).Flush() // if the caller has gone, the context shows it
}

func (a httpAnswer) finished(prompt int, ev engine.Event, report string) {
	fmt.Fprintf(a.writer, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"+
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n"+
		"data: [DONE]\n\n: %s: %s\n\n", prompt, ev.Tokens, ev.CachedTokens, headerLoad, report)
}

func (a httpAnswer) broken() { panic(http.ErrAbortHandler) }

func (a httpAnswer) stall(ctx context.Context) {
	<-ctx.Done()
}

// malformed writes malformed bytes, in place of the head or of the next chunk.
func (a httpAnswer) malformed(fault engine.StreamFault) {
	c, rw, err := http.NewResponseController(a.writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	text := "HTTP/1.1 2\x00\x00 \xff\xfe garbled\r\nX-Load: \x01\r\n"
	if fault == engine.StreamMalformedChunk {
		text = "zz;not a size\r\ngarbled\r\n"
	}
	if _, err := rw.WriteString(text); err == nil {
		_ = rw.Flush()
	}
	_, _ = bufio.NewReader(c).ReadByte() // until the caller closes; nothing more is sent
}
