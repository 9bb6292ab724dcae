// Package slowstart counts how many requests one gateway may send, and how much work it has sent,
// to a server in slow start. Its callers decide how much may be sent and when.
package slowstart

import "time"

// maxCredit is the largest number of requests that a Credit holds. It is small because demand that
// shifts to a server suddenly could use up the credits of all gateways at once.
const maxCredit = 1.5

// Credit is the number of requests that a gateway may send to a server, like the tokens of a token
// bucket. Gateways share a budget by earning a fraction of a request each; a whole one permits a send.
type Credit struct {
	requests    float64
	lastElapsed time.Duration
}

// NewCredit returns a credit that starts at now with a number of requests, often a fraction of one.
func NewCredit(now time.Duration, requests float64) Credit {
	return Credit{requests: requests, lastElapsed: now}
}

// Earn adds requests, or a fraction of one, up to maxCredit.
func (c *Credit) Earn(requests float64) { c.requests = min(c.requests+requests, maxCredit) }

// Spend deducts a request that was sent.
func (c *Credit) Spend() { c.requests-- }

// Covers reports whether another request may be sent.
func (c *Credit) Covers() bool { return c.requests >= 1 }

// Elapsed returns the time since the previous call, or since the start if there was none.
func (c *Credit) Elapsed(now time.Duration) time.Duration {
	elapsed := now - c.lastElapsed
	c.lastElapsed = now
	return elapsed
}

// Sends records the work that was sent to a server, with its times. The zero value is empty.
type Sends []send

type send struct {
	at   time.Duration
	work float64
}

// Add records work that is sent now.
func (s *Sends) Add(now time.Duration, work float64) { *s = append(*s, send{now, work}) }

// Within returns the work that was sent within the span before now.
func (s Sends) Within(now, span time.Duration) (work float64) {
	for _, sent := range s {
		if now-sent.at < span {
			work += sent.work
		}
	}
	return work
}
