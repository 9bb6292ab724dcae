package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// Outcomes of a request for its client, as reported to the checker.
const (
	answerServed  = "served"
	answerBroken  = "broken" // a stream that had begun ended without its last chunk
	answerRefused = "refused"
	answerFailed  = "failed"
	answerExempt  = "lost with its process, which the rules allow"
	answerUnread  = "closed unread"
	answerNoCase  = "on a connection opened later than the protocol allows, to a process that could not run"
)

// client sends one request at a time and keeps its connection open between requests.
type client struct {
	testbed      *testbed
	kind         ClientKind
	gateway      *gateway
	rng          *rand.Rand
	name         string
	requestCount int

	conn      net.Conn
	reader    *bufio.Reader
	dialledAt time.Time // when conn was established
	reused    bool      // conn has carried an answer
}

// Behaviour of clients.
const (
	earlyCloseShare     = 0.5 // share of requests that a client of kind ClientClosesEarly abandons
	maxTimeToClose      = 1200 * time.Millisecond
	partialRequestShare = 0.3
	minThinkTime        = 10 * time.Millisecond
	maxThinkTime        = 300 * time.Millisecond
	maxIdleTime         = 2500 * time.Millisecond
	partialRequestStay  = 3500 * time.Millisecond
	answerWaitSlack     = time.Second // beyond the latest time that the rules allow for an answer
	dialTimeout         = 500 * time.Millisecond
	redialWait          = 25 * time.Millisecond // between attempts to connect
	maxBody             = 64 << 10
)

func (tb *testbed) newClient(index int, c Client) *client {
	return &client{
		testbed: tb, kind: c.Kind, gateway: tb.gateways[c.Gateway], name: fmt.Sprintf("%06x%04x", tb.scenario.Seed&0xffffff, index),
		rng: rand.New(rand.NewPCG(tb.scenario.Seed, uint64(index)|1<<33)),
	}
}

func (c *client) durationBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Float64()*float64(high-low))
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.closeConnection()
	if c.kind == ClientFloods {
		c.flood(ctx)
		return
	}
	for ctx.Err() == nil {
		if c.kind == ClientSilent {
			c.holdSilentConnection(ctx)
			continue
		}
		refused := c.sendRequest(ctx)
		if c.kind == ClientReconnects {
			c.closeConnection()
		}
		pause := c.durationBetween(minThinkTime, maxThinkTime)
		switch {
		case c.kind == ClientIdlesLong:
			pause = c.durationBetween(minThinkTime, maxIdleTime)
		case c.kind == ClientRetriesAtOnce && refused:
			pause = time.Millisecond
		}
		sleep(ctx, pause)
	}
}

// holdSilentConnection keeps a connection open and sends nothing, until the gateway closes it.
func (c *client) holdSilentConnection(ctx context.Context) {
	if !c.connect(ctx) {
		return
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	_, _ = c.reader.Peek(1) // returns when the connection ends
	c.closeConnection()
}

func (c *client) closeConnection() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection unless there is one.
func (c *client) connect(ctx context.Context) bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.gateway.listen, dialTimeout)
	if err != nil {
		sleep(ctx, redialWait)
		return false
	}
	c.conn, c.reader, c.dialledAt, c.reused = conn, bufio.NewReader(conn), time.Now(), false
	return true
}

// sendRequest sends one request and reads its answer; refused reports a refusal.
func (c *client) sendRequest(ctx context.Context) (refused bool) {
	class := c.testbed.scenario.Classes[c.rng.IntN(len(c.testbed.scenario.Classes))]
	c.requestCount++
	id := fmt.Sprintf("%s%06x", c.name, c.requestCount)
	text := c.requestText(id, class)
	if !c.connect(ctx) {
		return false
	}
	if c.kind == ClientStopsMidRequest && c.rng.Float64() < partialRequestShare {
		c.sendPartialRequest(ctx, text)
		return false
	}
	for range 2 { // once more if the gateway closed the connection just as the request was sent
		if !c.connect(ctx) {
			c.testbed.checker.requestEnded(id, answerUnread, time.Now())
			return false
		}
		c.testbed.checker.requestBegun(id, class, c.gateway.index)
		if _, err := io.WriteString(c.conn, text); err != nil {
			c.closeConnection()
			continue
		}
		writtenAt := lastDeparture(c.conn.(syscall.Conn), time.Now())
		c.testbed.checker.requestWritten(id, writtenAt, writtenAt.Sub(c.dialledAt), c.reused)
		outcome := c.awaitAnswer(ctx, id, class, writtenAt)
		if outcome != answerUnread {
			if outcome != "" {
				c.testbed.checker.requestEnded(id, outcome, time.Now())
			}
			return outcome == answerRefused
		}
		c.closeConnection()
	}
	c.testbed.checker.requestEnded(id, answerUnread, time.Now())
	return false
}

func (c *client) requestText(id string, class Class) string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"pad":%q}`, strings.Repeat("x", c.rng.IntN(maxBody)))
	tokens := max(len(body)/4, 1)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Entity: %x\r\nX-Remaining: %.3f\r\n"+
		"X-Labels: prefix=%x,prompt_len=%d,prefix_len=%d,max_out=80\r\nContent-Length: %d\r\n\r\n%s",
		id, class.Name, c.rng.Uint32(), class.Deadline.Seconds(), c.rng.IntN(4)+1, tokens, tokens/2, len(body), body)
}

// sendPartialRequest writes a part of a request and keeps the connection open.
func (c *client) sendPartialRequest(ctx context.Context, text string) {
	if _, err := io.WriteString(c.conn, text[:1+c.rng.IntN(len(text)-1)]); err == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(partialRequestStay)) // without a deadline the client would wait longer
		conn := c.conn
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		_, _ = c.reader.Peek(1)
		stop()
	}
	c.closeConnection()
}

// awaitAnswer waits for a request's answer and returns its outcome, or "" if there is none to report:
// the client has closed its connection, or the run is over.
func (c *client) awaitAnswer(ctx context.Context, id string, class Class, writtenAt time.Time) (outcome string) {
	conn := c.conn
	leave := make(chan struct{})
	switch {
	case c.kind == ClientClosesEarly && c.rng.Float64() < earlyCloseShare:
		defer c.closeAfter(c.durationBetween(0, maxTimeToClose), id, leave)()
	case c.kind == ClientFloodsAndLeaves:
		defer c.closeConnection() // whatever is answered, no further request can be read from it
		defer c.closeAfter(c.durationBetween(0, maxTimeToClose), id, leave)()
		go floodAhead(conn)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	left := func() bool {
		select {
		case <-leave:
			return true
		case <-ctx.Done():
			return true
		default:
			return false
		}
	}
	err := c.awaitFirstByte(writtenAt.Add(class.Deadline + answerSlack + answerWaitSlack))
	if left() {
		c.closeConnection()
		return ""
	}
	if err != nil {
		return c.classifyUnanswered(writtenAt, err)
	}
	outcome = c.readAnswer(id, writtenAt, left)
	if left() {
		c.closeConnection()
		return ""
	}
	c.reused = true
	return outcome
}

// closeAfter closes leave and then the client's connection after d. cancel prevents that or, if it comes too late, waits until the
// connection is closed, as nothing more may be sent on it.
func (c *client) closeAfter(d time.Duration, id string, leave chan struct{}) (cancel func()) {
	conn, closed := c.conn, make(chan struct{})
	timer := time.AfterFunc(d, func() {
		defer close(closed)
		c.testbed.checker.clientLeft(id)
		close(leave)
		conn.Close()
	})
	return func() {
		if !timer.Stop() {
			<-closed
			c.closeConnection()
		}
	}
}

// awaitFirstByte waits for an answer's first byte until a deadline, which moves by the time for which the gateway was paused.
func (c *client) awaitFirstByte(deadline time.Time) error {
	for {
		_ = c.conn.SetReadDeadline(deadline) // on a closed connection the read fails
		_, err := c.reader.Peek(1)
		now := time.Now()
		pausedFor := c.testbed.checker.pausedBetween(c.gateway.index, deadline.Add(-pauseLookBack), now)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !now.Before(deadline.Add(pausedFor)) || pausedFor == 0 {
			return err
		}
		deadline = deadline.Add(pausedFor)
	}
}

// pauseLookBack is how far before an answer's deadline pauses of its gateway are considered.
const pauseLookBack = 30 * time.Second

// classifyUnanswered returns the outcome of a request whose connection ended, or whose deadline passed, without an answer.
func (c *client) classifyUnanswered(writtenAt time.Time, err error) string {
	reused, dialledAt := c.reused, c.dialledAt
	c.closeConnection()
	switch {
	case c.gateway.exempt(writtenAt):
		return answerExempt
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "no answer in time"
	case c.gateway.couldNotRefuse(dialledAt):
		return answerNoCase
	case c.gateway.killedSince(writtenAt):
		return "unanswered at the kill"
	case errors.Is(err, io.EOF):
		return answerUnread
	case !reused && c.testbed.scenario.hasSilentClients(): // with silent clients the gateway may close new connections unread
		return answerUnread
	}
	return fmt.Sprintf("its connection (used before: %v) ended: %v", reused, err)
}

// event is one event of a stream, as engines write it.
type event struct {
	ID string `json:"id"`
	N  int    `json:"n"`
	Of int    `json:"of"`
	At int64  `json:"at"` // when it was written, in ns since the start
}

// readAnswer reads an answer whose first byte has arrived.
func (c *client) readAnswer(id string, writtenAt time.Time, left func() bool) string {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.closeConnection()
		if c.gateway.exempt(writtenAt) {
			return answerExempt
		}
		return fmt.Sprintf("its answer is malformed: %v", err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody))
		if err != nil || r.Close {
			c.closeConnection()
		}
		if r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable {
			return answerRefused
		}
		return answerFailed
	}
	outcome := c.readStream(id, r, writtenAt, left)
	if outcome != answerServed || r.Close {
		c.closeConnection()
	}
	return outcome
}

// readStream reads the events of a stream to its end.
func (c *client) readStream(id string, r *http.Response, writtenAt time.Time, left func() bool) string {
	lines := bufio.NewScanner(r.Body)
	next, total, whole, heldBack := 0, 0, false, false
	lastEventAt := time.Now()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(maxStreamSilence)) // on a closed connection the read fails
		if !lines.Scan() {
			break
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		if data == "[DONE]" {
			whole = next == total
			continue
		}
		var e event
		if json.Unmarshal([]byte(data), &e) != nil || e.ID != id || e.N != next {
			if !lines.Scan() && lines.Err() != nil {
				break // the stream broke within this event
			}
			return fmt.Sprintf("received an event that no engine wrote for it: %.80q", data)
		}
		eventWrittenAt := c.testbed.start.Add(time.Duration(e.At))
		if now.Sub(eventWrittenAt) > maxEventDelay && c.testbed.checker.pausedBetween(c.gateway.index, eventWrittenAt, now) == 0 {
			heldBack = true
			c.testbed.checker.recordLateEvent(id, e.N, eventWrittenAt, lastArrival(c.conn.(syscall.Conn), now), now)
		}
		next, total, lastEventAt = next+1, e.Of, now
	}
	err := lines.Err()
	switch {
	case left():
		return ""
	case err == nil && whole:
		c.testbed.checker.streamFinished(heldBack)
		return answerServed
	case err == nil:
		return "an incomplete stream ended with the last chunk"
	case c.gateway.exempt(writtenAt):
		return answerExempt
	case errors.Is(err, os.ErrDeadlineExceeded) && c.testbed.checker.pausedBetween(c.gateway.index, lastEventAt, time.Now()) == 0:
		return "its stream stopped without an end"
	case c.gateway.killedSince(writtenAt):
		return "its stream was cut by the kill"
	}
	c.testbed.checker.streamBroken(id, time.Since(lastEventAt))
	return answerBroken
}
