package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	crowdTime  = 4 * time.Second
	shortField = "a:\r\n"
	// manyFields fill a head of the largest size, 4 KiB.
	manyFields = 930
	longEvents = 2000 // of a long answer, each of 2 KB
)

// crowds are what each client of a crowd does on a connection, until the gateway closes it or a few seconds are over.
var crowds = []struct {
	name   string
	client func(c net.Conn, id string)
}{
	{"heads of short fields, unfinished", func(c net.Conn, _ string) {
		io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"+strings.Repeat(shortField, manyFields))
		io.Copy(io.Discard, c)
	}},
	{"heads of short fields, stopped in the body", func(c net.Conn, id string) {
		io.WriteString(c, crowdHead(id, maxBody, manyFields)+strings.Repeat(" ", maxBody/2))
		io.Copy(io.Discard, c)
	}},
	{"heads of short fields, answers read slowly", func(c net.Conn, id string) { readSlowly(c, crowdHead("long"+id, 2, manyFields)+"{}") }},
	{"answers read slowly", func(c net.Conn, id string) { readSlowly(c, crowdHead("long"+id, 2, 0)+"{}") }},
	{"bodies written slowly", func(c net.Conn, id string) {
		io.WriteString(c, crowdHead(id, maxBody, 0))
		for err := error(nil); err == nil; {
			_, err = io.WriteString(c, strings.Repeat(" ", maxBody/40))
			<-time.After(100 * time.Millisecond)
		}
	}},
	{"stopped half way through the body", func(c net.Conn, id string) {
		io.WriteString(c, crowdHead(id, maxBody, 0)+strings.Repeat(" ", maxBody/2))
		io.Copy(io.Discard, c)
	}},
}

// crowdHead is the head of an order with a body of some length, and with a number of short fields beside its own.
func crowdHead(id string, length, fields int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: case-chat\r\nX-Remaining: 4.000\r\nX-Labels: prompt_len=64,max_out=9\r\n%sContent-Length: %d\r\n\r\n",
		id, strings.Repeat(shortField, fields), length)
}

// readSlowly sends a request and reads its answer at 1 KB a second.
func readSlowly(c net.Conn, request string) {
	c.(*net.TCPConn).SetReadBuffer(2048)
	io.WriteString(c, request)
	var piece [100]byte
	for err := error(nil); err == nil; {
		_, err = c.Read(piece[:])
		<-time.After(100 * time.Millisecond)
	}
}

// startLongAnswers starts engines whose answers to requests with an id that begins with long are long.
func startLongAnswers(t *testing.T) (membership string) {
	prefill := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`)
	})
	decode := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/bootstrap/") {
			w.WriteHeader(http.StatusConflict)
			return
		}
		io.Copy(io.Discard, r.Body)
		events := 1
		if strings.HasPrefix(r.Header.Get("X-Txn"), "long") {
			events = longEvents
		}
		for err := error(nil); events > 0 && err == nil; events-- {
			_, err = fmt.Fprintf(w, "data: {\"pad\":%q}\n\n", strings.Repeat("x", 2000))
		}
		io.WriteString(w, "data: [DONE]\n\n")
	})
	return `{"generation":3,"reset":true,"instances":[` + instanceJSON("r", prefill, "prefill") + "," + instanceJSON("w", decode, "decode") + `]}`
}

// Guards against crowds that take the gateway over its memory: heads of very many short fields, answers read slowly, bodies
// written slowly or half.
func TestMemory_SlowCrowds(t *testing.T) {
	const memory = 32
	sockets := 256.0
	for _, crowd := range shortened(crowds) {
		t.Run(crowd.name, func(t *testing.T) {
			text := configJSON(startDiscovery(t, startLongAnswers(t)), "null")
			text = strings.Replace(text, `"memory_mb":192,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%.0f`, memory, sockets), 1)
			cmd, listen, _ := startProgram(t, text, "")
			connections := int(sockets * clientSocketShare)
			started := time.Now()
			runCrowd(connections, connections, func() {
				for time.Since(started) < crowdTime {
					c, err := net.Dial("tcp", listen)
					if err != nil {
						continue
					}
					c.SetDeadline(started.Add(crowdTime))
					crowd.client(c, c.LocalAddr().String())
					c.Close()
				}
			})
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			response := sendOrderWith(t, client, listen)
			if _, err := io.Copy(io.Discard, response.Body); response.StatusCode != http.StatusOK || err != nil {
				t.Errorf("after the crowd: %s, %v", response.Status, err)
			}
			peak, _ := processUsage(t, cmd.Process.Pid)
			t.Logf("peak %d of %d MB", peak, memory)
			if peak >= memory {
				t.Errorf("%d of %d MB", peak, memory)
			}
		})
	}
}
