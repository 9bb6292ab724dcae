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

// How a request ends for its client, as the checker is told.
const (
	answerServed  = "served"
	answerBroken  = "broken" // a begun stream ended without its last chunk
	answerRefused = "refused"
	answerFailed  = "failed"
	answerExempt  = "lost with its process, which the rules allow"
	answerUnread  = "closed unread"
	answerNoCase  = "on a new connection that the protocol has no more, to a process that could not run"
)

// client is one client. It has one request out at a time, and keeps its connection.
type client struct {
	world   *world
	kind    ClientKind
	gateway *gateway
	rng     *rand.Rand
	name    string
	count   int

	conn    net.Conn
	in      *bufio.Reader
	dialled time.Time // when conn came up
	reused  bool      // conn has brought an answer
}

// Behaviour of clients.
const (
	leaveShare   = 0.5 // of a leaver's requests
	mostStay     = 1200 * time.Millisecond
	halfWayShare = 0.3
	leastThink   = 10 * time.Millisecond
	mostThink    = 300 * time.Millisecond
	mostRest     = 2500 * time.Millisecond
	halfWayStay  = 3500 * time.Millisecond
	waitSlack    = time.Second // beyond what the rules give an answer, until it is missing
	dialWait     = 500 * time.Millisecond
	noGateway    = 25 * time.Millisecond // between tries to connect
	mostBody     = 64 << 10
)

func (w *world) newClient(index int, c Client) *client {
	return &client{
		world: w, kind: c.Kind, gateway: w.gateways[c.Gateway], name: fmt.Sprintf("%06x%04x", w.story.Seed&0xffffff, index),
		rng: rand.New(rand.NewPCG(w.story.Seed, uint64(index)|1<<33)),
	}
}

func (c *client) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Float64()*float64(most-least))
}

// run asks until the run ends.
func (c *client) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.kind == CrowdIdle {
			c.idle(ctx)
			continue
		}
		again := c.ask(ctx)
		if c.kind == Newcomer {
			c.hangUp()
		}
		pause := c.between(leastThink, mostThink)
		switch {
		case c.kind == Rester:
			pause = c.between(leastThink, mostRest)
		case c.kind == Retrier && again:
			pause = time.Millisecond
		}
		sleep(ctx, pause)
	}
}

// idle holds a connection that says nothing, until the gateway closes it.
func (c *client) idle(ctx context.Context) {
	if !c.connect(ctx) {
		return
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	_, _ = c.in.Peek(1) // its end is all that is waited for
	c.hangUp()
}

func (c *client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect makes sure of a connection.
func (c *client) connect(ctx context.Context) bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.gateway.listen, dialWait)
	if err != nil {
		sleep(ctx, noGateway)
		return false
	}
	c.conn, c.in, c.dialled, c.reused = conn, bufio.NewReader(conn), time.Now(), false
	return true
}

// ask sends one request and sees to its answer; again tells of a refusal.
func (c *client) ask(ctx context.Context) (again bool) {
	class := c.world.story.Classes[c.rng.IntN(len(c.world.story.Classes))]
	c.count++
	id := fmt.Sprintf("%s%06x", c.name, c.count)
	text := c.request(id, class)
	if !c.connect(ctx) {
		return false
	}
	if c.kind == HalfWay && c.rng.Float64() < halfWayShare {
		c.stopHalfWay(ctx, text)
		return false
	}
	for range 2 { // once more where the end of a connection crossed it
		if !c.connect(ctx) {
			c.world.check.answered(id, answerUnread, time.Now())
			return false
		}
		c.world.check.asks(id, class, c.gateway.index)
		if _, err := io.WriteString(c.conn, text); err != nil {
			c.hangUp()
			continue
		}
		written := departure(c.conn.(syscall.Conn), time.Now())
		c.world.check.asked(id, written, written.Sub(c.dialled), c.reused)
		how := c.answer(ctx, id, class, written)
		if how != answerUnread {
			if how != "" {
				c.world.check.answered(id, how, time.Now())
			}
			return how == answerRefused
		}
		c.hangUp()
	}
	c.world.check.answered(id, answerUnread, time.Now())
	return false
}

func (c *client) request(id string, class Class) string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"pad":%q}`, strings.Repeat("x", c.rng.IntN(mostBody)))
	tokens := max(len(body)/4, 1)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Entity: %x\r\nX-Remaining: %.3f\r\n"+
		"X-Labels: prefix=%x,prompt_len=%d,prefix_len=%d,max_out=80\r\nContent-Length: %d\r\n\r\n%s",
		id, class.Name, c.rng.Uint32(), class.Deadline.Seconds(), c.rng.IntN(4)+1, tokens, tokens/2, len(body), body)
}

// stopHalfWay writes a part of a request and stays.
func (c *client) stopHalfWay(ctx context.Context, text string) {
	if _, err := io.WriteString(c.conn, text[:1+c.rng.IntN(len(text)-1)]); err == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(halfWayStay)) // without one the client would stay longer
		conn := c.conn
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		_, _ = c.in.Peek(1)
		stop()
	}
	c.hangUp()
}

// answer waits for what comes of a request; "" where nobody is to be told: the client has left,
// or the run is over.
func (c *client) answer(ctx context.Context, id string, class Class, written time.Time) (how string) {
	conn := c.conn
	leave := make(chan struct{})
	if c.kind == Leaver && c.rng.Float64() < leaveShare {
		defer c.leaveAfter(c.between(0, mostStay), id, leave)()
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
	err := c.wait(written.Add(class.Deadline + answerSlack + waitSlack))
	if left() {
		c.hangUp()
		return ""
	}
	if err != nil {
		return c.unanswered(written, err)
	}
	how = c.read(id, written, left)
	if left() {
		c.hangUp()
		return ""
	}
	c.reused = true
	return how
}

// leaveAfter has the client close its connection after a while, having closed leave. cancel prevents that or, where it comes too
// late, waits until the connection is closed: nothing more is to be sent on it.
func (c *client) leaveAfter(d time.Duration, id string, leave chan struct{}) (cancel func()) {
	conn, closed := c.conn, make(chan struct{})
	timer := time.AfterFunc(d, func() {
		defer close(closed)
		c.world.check.leaves(id)
		close(leave)
		conn.Close()
	})
	return func() {
		if !timer.Stop() {
			<-closed
			c.hangUp()
		}
	}
}

// wait waits for an answer's first byte until a time, longer where the gateway is stopped.
func (c *client) wait(until time.Time) error {
	for {
		_ = c.conn.SetReadDeadline(until) // on a closed connection the read tells
		_, err := c.in.Peek(1)
		now := time.Now()
		more := c.world.check.pausedSince(c.gateway.index, until.Add(-longestPauseLook), now)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !now.Before(until.Add(more)) || more == 0 {
			return err
		}
		until = until.Add(more)
	}
}

const longestPauseLook = 30 * time.Second

// unanswered tells what the end of a connection without an answer means.
func (c *client) unanswered(written time.Time, err error) string {
	reused, dialled := c.reused, c.dialled
	c.hangUp()
	switch {
	case c.gateway.exempt(written):
		return answerExempt
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "no answer in time"
	case c.gateway.couldNotRefuse(dialled):
		return answerNoCase
	case c.gateway.killedSince(written):
		return "unanswered at the kill"
	case errors.Is(err, io.EOF):
		return answerUnread
	case !reused && c.world.story.crowded(): // a crowd may have new connections shut unread
		return answerUnread
	}
	return fmt.Sprintf("its connection (used before: %v) ended: %v", reused, err)
}

// event is one of a stream's, as engines write them.
type event struct {
	ID string `json:"id"`
	N  int    `json:"n"`
	Of int    `json:"of"`
	At int64  `json:"at"` // ns of the run
}

// read reads an answer that has begun.
func (c *client) read(id string, written time.Time, left func() bool) string {
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.hangUp()
		if c.gateway.exempt(written) {
			return answerExempt
		}
		return fmt.Sprintf("its answer can't be read: %v", err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, io.LimitReader(r.Body, mostBody))
		if err != nil || r.Close {
			c.hangUp()
		}
		if r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable {
			return answerRefused
		}
		return answerFailed
	}
	how := c.stream(id, r, written, left)
	if how != answerServed || r.Close {
		c.hangUp()
	}
	return how
}

// stream reads a stream's events to their end.
func (c *client) stream(id string, r *http.Response, written time.Time, left func() bool) string {
	lines := bufio.NewScanner(r.Body)
	next, of, whole, heldBack := 0, 0, false, false
	last := time.Now()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(streamSilence)) // on a closed connection the read tells
		if !lines.Scan() {
			break
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		if data == "[DONE]" {
			whole = next == of
			continue
		}
		var e event
		if json.Unmarshal([]byte(data), &e) != nil || e.ID != id || e.N != next {
			return fmt.Sprintf("got what no engine made for it: %.80q", data)
		}
		at := c.world.begun.Add(time.Duration(e.At))
		if now.Sub(at) > eventSlack && c.world.check.pausedSince(c.gateway.index, at, now) == 0 {
			heldBack = true
			c.world.check.eventLate(id, e.N, at, arrival(c.conn.(syscall.Conn), now), now)
		}
		next, of, last = next+1, e.Of, now
	}
	err := lines.Err()
	switch {
	case left():
		return ""
	case err == nil && whole:
		c.world.check.streamed(heldBack)
		return answerServed
	case err == nil:
		return "a stream that is not whole ended with the last chunk"
	case c.gateway.exempt(written):
		return answerExempt
	case errors.Is(err, os.ErrDeadlineExceeded) && c.world.check.pausedSince(c.gateway.index, last, time.Now()) == 0:
		return "left waiting in its stream"
	case c.gateway.killedSince(written):
		return "its stream was cut by the kill"
	}
	c.world.check.broken(id, time.Since(last))
	return answerBroken
}
