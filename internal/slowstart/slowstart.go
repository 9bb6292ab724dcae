// Package slowstart counts what one gateway may send, and has sent, to a server in slow start.
// How much that is, and when, is decided by its callers.
package slowstart

import "time"

// maxCredit is how many requests a Credit holds at most. Little is kept, since demand that turns
// to a server at once would use up what all gateways have kept.
const maxCredit = 1.5

// Credit is the requests that a gateway may send to a server. Callers share a budget by earning
// parts of a request each; a whole one is worth a send.
type Credit struct {
	requests float64
	last     time.Duration
}

// NewCredit is a credit that begins at a time with a part of a request.
func NewCredit(now time.Duration, requests float64) Credit {
	return Credit{requests: requests, last: now}
}

// Earn adds requests, or a part of one.
func (c *Credit) Earn(requests float64) { c.requests = min(c.requests+requests, maxCredit) }

// Spend takes off a request that was sent.
func (c *Credit) Spend() { c.requests-- }

// Covers tells whether another request may be sent.
func (c *Credit) Covers() bool { return c.requests >= 1 }

// Elapsed is the time since it was last asked for, or since the beginning.
func (c *Credit) Elapsed(now time.Duration) time.Duration {
	elapsed := now - c.last
	c.last = now
	return elapsed
}

// Sends is the work that was sent to a server, by time. The zero value is empty.
type Sends []send

type send struct {
	at   time.Duration
	work float64
}

// Add notes work that is sent now.
func (s *Sends) Add(now time.Duration, work float64) { *s = append(*s, send{now, work}) }

// Within is the work that was sent within a span up to now.
func (s Sends) Within(now, span time.Duration) (work float64) {
	for _, sent := range s {
		if now-sent.at < span {
			work += sent.work
		}
	}
	return work
}
