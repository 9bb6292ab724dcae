package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"
)

// orderText is an order as sent on a connection.
func orderText(id string, body string) string { return requestText(id, "send-order", body) }

func requestText(id, class, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: 6.000\r\nX-Labels: prompt_len=64,max_out=9\r\nContent-Length: %d\r\n\r\n%s",
		id, class, len(body), body)
}

// attemptsOf returns how often a request has reached the prefill and the decode engine.
func (f *gatewayFixture) attemptsOf(id string) (prefill, decode int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.prefillAttempts[id], f.decodeAttempts[id]
}

// closeNoticedWithin is the time from a client's close on in which the gateway has noticed it. No attempt may begin later than 0.1 s
// behind the close; the rest is for a busy machine.
const closeNoticedWithin = 500 * time.Millisecond

// isConnected reports whether the other side of a client's connection is open, from the kernel's table of sockets.
func isConnected(t *testing.T, listen string, c net.Conn) bool {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Skipf("no /proc here: %v", err)
	}
	server, err := netip.ParseAddrPort(listen)
	if err != nil {
		t.Fatal(err)
	}
	const loopback = "0100007F"
	ends := fmt.Sprintf("%s:%04X %s:%04X ", loopback, server.Port(), loopback, c.LocalAddr().(*net.TCPAddr).Port)
	_, state, found := strings.Cut(string(table), ends)
	const timeWait = "06"
	return found && !strings.HasPrefix(state, timeWait)
}

// Guards against requests sent on after their client has closed its connection, where more was sent ahead than the gateway
// reads while a request is served: the close stands behind it.
func TestLeave_MuchUnreadAtClose(t *testing.T) {
	const ahead = 2000 // of orders with a body of 16 KiB each
	for _, sendsAhead := range []int{1, 20, ahead} {
		t.Run(fmt.Sprint(sendsAhead, " orders ahead"), func(t *testing.T) {
			f := newGatewayFixture(t)
			f.finishPrefill = make(chan struct{})
			f.startProcess().waitReady()
			c, err := net.Dial("tcp", f.listenAddr)
			if err != nil {
				t.Fatal(err)
			}
			body := `"` + strings.Repeat("x", 16<<10) + `"`
			io.WriteString(c, orderText("first", body))
			if id := <-f.started; id != "first" {
				t.Fatalf("%s reached the prefill engine", id)
			}
			var text strings.Builder
			for i := range sendsAhead {
				text.WriteString(orderText(fmt.Sprint("ahead", i), body))
			}
			c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)) // the gateway may stop reading
			written, _ := io.WriteString(c, text.String())
			t.Logf("%d of %d bytes written ahead", written, text.Len())
			c.Close()
			<-time.After(closeNoticedWithin)
			close(f.finishPrefill) // an attempt at the decode engine would follow
			waitFor(t, "the gateway closes the connection", func() bool { return !isConnected(t, f.listenAddr, c) })
			if _, decode := f.attemptsOf("first"); decode > 0 {
				t.Error("the first order went to the decode engine")
			}
			for i := range sendsAhead {
				if prefill, decode := f.attemptsOf(fmt.Sprint("ahead", i)); prefill+decode > 0 {
					t.Fatalf("order %d, sent ahead of the close, reached an engine", i)
				}
			}
		})
	}
}

// Guards against a request that runs twice where it comes again, with its id, after its client has left.
func TestLeave_RequestComesAgain(t *testing.T) {
	for _, class := range []string{"send-order", "case-chat"} {
		for _, stage := range []string{"prefill", "answer", "answered"} {
			t.Run(class+", left at "+stage, func(t *testing.T) {
				f := newGatewayFixture(t)
				if stage == "prefill" {
					f.finishPrefill = make(chan struct{})
				}
				f.startProcess().waitReady()
				text := requestText("again", class, "{}")
				c, err := net.Dial("tcp", f.listenAddr)
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(c, text)
				<-f.started
				if stage == "answered" {
					close(f.nextPiece)
					response, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						t.Fatal(err)
					}
					f.checkAnswer(response)
				}
				c.Close()
				for range 3 { // while the first ends, and after that
					if status := sendAgain(t, f.listenAddr, text); status != http.StatusConflict {
						t.Errorf("it came again and was answered %d, want %d", status, http.StatusConflict)
					}
				}
				wantDecode := 1
				if stage == "prefill" {
					wantDecode = 0
				}
				if prefill, decode := f.attemptsOf("again"); prefill != 1 || decode != wantDecode {
					t.Errorf("sent to the prefill engine %d times, to the decode engine %d times", prefill, decode)
				}
			})
		}
	}
}

// sendAgain sends a request on a new connection and returns the status of its answer.
func sendAgain(t *testing.T, listen, text string) int {
	t.Helper()
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, text)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode
}

// Guards against a client without a final answer that goes on sending behind its request and stays.
func TestLeave_ClientThatStaysIsAnswered(t *testing.T) {
	const answeredWithin = 2 * time.Second // of the 5 s for which it would wait
	fleet := &refusingFleet{arrivals: map[string][]time.Time{}}
	_, listen, _ := startProgram(t, configJSON(startDiscovery(t, fleet.start(t)), "null"), "")
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(answeredWithin))
	io.WriteString(c, postText("stays", "send-order", "prompt_len=64,max_out=9", "{}"))
	go sendAtFullSpeed("\x00")(c, time.Now().Add(answeredWithin))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("answered %v, %v", response, err)
	}
}
