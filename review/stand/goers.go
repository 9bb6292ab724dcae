package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"time"
)

// goesAfter is how long a client that sends much stays.
const goesAfter = 50 * time.Millisecond

// goLimit is how long after a client's close an attempt may begin.
const goLimit = 100 * time.Millisecond

// sendMuchAndGo sends a request and much behind it on the same connection, and closes it.
func sendMuchAndGo(w *world, listen string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	w.with(id, func(r *request) { r.class = "case-chat" })
	c, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return
	}
	const prompt = 3000
	body := fmt.Sprintf(`{"model":"chat","messages":[{"role":"user","content":%q}]}`, strings.Repeat("abcd", prompt))
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %s\r\nX-Lane: case-chat\r\nX-Entity: %016x\r\nX-Remaining: 15.000\r\nX-Labels: prompt_len=%d,max_out=80\r\nContent-Length: %d\r\n\r\n%s",
		id, rand.Uint64(), prompt, len(body), body)
	behind := strings.Repeat(strings.Replace(text, id, fmt.Sprintf("%016x", rand.Uint64()), 1), w.opts.behind/len(text)+1)
	w.rec.printf("client: %s sends a request and %d bytes behind it to %s", id, len(behind), listen)
	c.SetWriteDeadline(time.Now().Add(goesAfter))
	n, err := io.WriteString(c, text+behind)
	time.Sleep(goesAfter)
	c.Close()
	w.with(id, func(r *request) { r.left = time.Now() })
	w.rec.printf("client: %s has closed its connection after %d bytes (err %v)", id, n, err)
}
