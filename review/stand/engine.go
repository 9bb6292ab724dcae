package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a reader or a writer on a socket of its own.
type engine struct {
	id, role, addr string
	world          *world
}

// call is one request that has arrived whole on a connection.
type call struct {
	method, path, id, class string
	prompt, tokens          int
	arrived                 time.Time
}

// engineConn is a gateway's connection to an engine.
type engineConn struct {
	net.Conn
	engine *engine
	calls  chan call
	gone   chan struct{} // closed when the gateway has closed it or ended its sending
	write  sync.Mutex    // one message at a time
}

func (e *engine) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := &engineConn{Conn: nc, engine: e, calls: make(chan call, 64), gone: make(chan struct{})}
		go c.read()
		go c.run()
	}
}

// read parses requests until the gateway closes its side.
func (c *engineConn) read() {
	defer close(c.gone)
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		in := call{method: r.Method, path: r.URL.Path, id: r.Header.Get("X-Txn"), class: r.Header.Get("X-Lane"), arrived: time.Now()}
		for _, label := range strings.Split(r.Header.Get("X-Labels"), ",") {
			name, value, _ := strings.Cut(label, "=")
			switch n, _ := strconv.Atoi(value); name {
			case "prompt_len":
				in.prompt = n
			case "max_out":
				in.tokens = n
			}
		}
		c.calls <- in
	}
}

// run answers the requests one after another.
func (c *engineConn) run() {
	defer c.Close()
	for {
		select {
		case in := <-c.calls:
			if !c.answer(in) {
				return
			}
		case <-c.gone:
			return
		}
	}
}

// answer answers one request, and reports whether the connection stays open.
func (c *engineConn) answer(in call) bool {
	e, w := c.engine, c.engine.world
	switch {
	case in.method == "GET" && (in.path == "/-/load" || in.path == "/-/healthy"):
		body := w.load(e)
		return c.short("probe", in, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pressure: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", body, len(body), body))
	case strings.HasPrefix(in.path, "/bootstrap/rooms/"):
		id := strings.TrimPrefix(in.path, "/bootstrap/rooms/")
		if in.method == "DELETE" {
			w.release(id)
			return c.short("release", in, "HTTP/1.1 204 No Content\r\n\r\n")
		}
		if w.reading(id) {
			return c.short("place", in, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		return c.sleep(300*time.Millisecond) && c.short("place", in, "HTTP/1.1 204 No Content\r\n\r\n")
	case in.id == "" || in.method != "POST":
		return c.short("unknown", in, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	case e.role == "reader":
		return c.readPrompt(in)
	}
	return c.writeAnswer(in)
}

// readPrompt reads a prompt at 15,000 tokens a second.
func (c *engineConn) readPrompt(in call) bool {
	attempt := c.engine.world.begin(in, c.engine)
	if !c.sleep(time.Duration(in.prompt) * time.Second / 15000) {
		attempt.end("the gateway closed the connection")
		return false
	}
	c.engine.world.prefilled(in.id)
	attempt.end("202")
	body := `{"cached_tokens":0}`
	return c.short("read", in, fmt.Sprintf("HTTP/1.1 202 Accepted\r\nX-Pressure: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		c.engine.world.load(c.engine), len(body), body))
}

// short writes a short answer. On the days with spoilt answers, one in five of a reader's comes again
// some milliseconds later.
func (c *engineConn) short(kind string, in call, text string) bool {
	w := c.engine.world
	c.write.Lock()
	_, err := io.WriteString(c.Conn, text)
	c.write.Unlock()
	if twice := map[string]string{"read": "reads", "probe": "probes"}[kind]; c.engine.role == "reader" && twice != "" && twice == w.opts.late && rand.Intn(5) == 0 {
		delay := 5*time.Millisecond + time.Duration(rand.Intn(25))*time.Millisecond
		time.AfterFunc(delay, func() {
			c.write.Lock()
			defer c.write.Unlock()
			_, err := io.WriteString(c.Conn, text)
			w.rec.printf("engine %s: the answer to a %s %s comes a second time, %v after the first, from %s (err %v)", c.engine.id, kind, in.id, delay, c.RemoteAddr(), err)
		})
	}
	return err == nil
}

// sleep waits, and reports whether the gateway's connection is still open.
func (c *engineConn) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.gone:
		return false
	}
}

// writeAnswer streams an answer, if the read state is there.
func (c *engineConn) writeAnswer(in call) bool {
	w := c.engine.world
	attempt := w.begin(in, c.engine)
	if !w.take(in.id) {
		attempt.end("410, no state")
		return c.short("write", in, "HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
	}
	if !c.sleep(20 * time.Millisecond) {
		attempt.end("the gateway closed the connection before the first event")
		return false
	}
	events := in.tokens / 4
	pausedAt := -1
	if w.opts.pause > 0 && events > 2 && rand.Intn(5) == 0 {
		pausedAt = 1 + rand.Intn(events-2)
	}
	w.ran(in.id)
	io.WriteString(c.Conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := range events {
		event := fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s %d\"},\"finish_reason\":null}]}\n\n", in.id, i)
		if i == events-1 {
			event += fmt.Sprintf("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", in.prompt, in.tokens)
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if i == pausedAt {
			half := len(chunk) / 2
			io.WriteString(c.Conn, chunk[:half])
			w.rec.printf("engine %s: %s is silent for %v within event %d", c.engine.id, in.id, w.opts.pause, i)
			if !c.sleep(w.opts.pause) {
				attempt.end(fmt.Sprintf("the gateway closed the connection within event %d of %d", i, events))
				w.cut(in.id)
				return false
			}
			chunk = chunk[half:]
		}
		w.sent(in.id, event)
		if _, err := io.WriteString(c.Conn, chunk); err != nil || !c.sleep(30*time.Millisecond) {
			attempt.end(fmt.Sprintf("the gateway closed the connection after event %d of %d", i, events))
			w.cut(in.id)
			return false
		}
	}
	attempt.end("200, whole")
	_, err := io.WriteString(c.Conn, "0\r\n\r\n")
	return err == nil
}
