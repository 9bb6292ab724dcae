package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// rawClient is a client's connection on which a test writes requests in pieces.
type rawClient struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

func (f *gatewayFixture) dial() *rawClient {
	f.t.Helper()
	c, err := net.Dial("tcp", f.listenAddr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &rawClient{c.(*net.TCPConn), f.t, bufio.NewReader(c)}
}

func orderRequest(id string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: send-order\r\nX-Remaining: 25.0\r\n"+
		"X-Labels: prompt_len=64,max_out=9\r\nContent-Length: 2\r\n\r\n{}", id)
}

func (c *rawClient) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Error(err)
	}
}

// readAnswer reads one complete answer; false means that the connection closed cleanly before
// one.
func (c *rawClient) readAnswer(what string) (answered bool) {
	c.t.Helper()
	if _, err := c.reader.Peek(1); err == io.EOF {
		return false
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Errorf("%s: %v", what, err)
		return false
	}
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != 200 || string(body) != strings.Join(answerPieces, "") || err != nil {
		c.t.Errorf("%s: %s, %q, %v", what, response.Status, body, err)
	}
	return true
}

// A process receives SIGTERM twice, and a reload, while requests are at every stage. Each
// accepted request must get one complete answer; a connection whose request was not read must
// close cleanly, so that the client may send it again; no request is sent twice.
func TestShutdown_RequestsAtEveryStage(t *testing.T) {
	fixture := newGatewayFixture(t)
	fixture.finishPrefill = make(chan struct{}, 9)
	proc := fixture.startProcess().waitReady()
	awaitStart := func(id string) {
		t.Helper()
		for {
			select {
			case got := <-fixture.started:
				if got == id {
					return
				}
			case <-time.After(testTimeout):
				t.Fatalf("request %s did not reach an engine", id)
			}
		}
	}

	idle := fixture.dial()
	streaming := fixture.dial()
	streaming.write(orderRequest("c1"))
	awaitStart("c1") // at the prefill engine
	fixture.finishPrefill <- struct{}{}
	awaitStart("c1") // at the decode engine, which waits for nextPiece after the first event
	halfSent := fixture.dial()
	text := orderRequest("a1")
	halfSent.write(text[:len(text)-1])
	waiting := fixture.dial()
	waiting.write(orderRequest("b1"))
	awaitStart("b1")
	pipelined := fixture.dial()
	pipelined.write(orderRequest("d1") + orderRequest("d2"))
	awaitStart("d1")

	proc.sigterm()
	waitFor(t, "the process shuts down", func() bool { return !strings.HasPrefix(proc.callAdmin("check"), "YES") })
	proc.cmd.Process.Signal(syscall.SIGHUP)
	proc.sigterm()
	halfSent.write(text[len(text)-1:])
	awaitStart("a1")
	idle.write(orderRequest("e1")) // on a connection that was open before and has carried nothing
	close(fixture.finishPrefill)
	close(fixture.nextPiece)
	orders := 4
	for what, c := range map[string]*rawClient{"half sent": halfSent, "waiting": waiting, "streaming": streaming, "first of two pipelined": pipelined} {
		if !c.readAnswer(what) {
			t.Errorf("%s: no answer", what)
		}
	}
	if pipelined.readAnswer("second of two pipelined") {
		orders++
	}
	if idle.readAnswer("on an unused connection") {
		orders++
	}
	proc.waitForExit()
	fixture.checkSentOnce(orders)
}

// Requests that arrive on idle keep-alive connections during a shutdown must be answered
// completely, refused without being sent to an engine, or left unread with a clean close. None
// is reset and none is sent twice.
func TestShutdown_IdleConnections(t *testing.T) {
	const clients = 40
	fixture := newGatewayFixture(t)
	close(fixture.nextPiece)
	proc := fixture.startProcess().waitReady()
	idleClients := make([]*rawClient, clients)
	for i := range idleClients {
		idleClients[i] = fixture.dial()
		idleClients[i].write(orderRequest(fmt.Sprintf("f%d", i)))
		idleClients[i].readAnswer("before SIGTERM")
	}
	proc.sigterm()
	orders, done := clients, make(chan bool, clients)
	for i, c := range idleClients {
		go func() { // spread over the time in which requests are accepted, and beyond its end
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			if _, err := io.WriteString(c, orderRequest(fmt.Sprintf("g%d", i))); err != nil {
				done <- false // the client saw the connection closed: nothing was accepted
				return
			}
			outcome := c.readOutcome(time.Now())
			if outcome.err != nil || !outcome.closedUnread && outcome.status != http.StatusOK && outcome.status != http.StatusServiceUnavailable {
				t.Errorf("during shutdown: %+v", outcome)
			}
			done <- outcome.status == http.StatusOK // the count below shows that no other request was sent to an engine
		}()
	}
	for range idleClients {
		if <-done {
			orders++
		}
	}
	proc.waitForExit()
	fixture.checkSentOnce(orders)
}
