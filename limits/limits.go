// Package limits decides what is let into the house: how many requests may be
// under way, in all and by front, class, tenant and client address, and how many
// tokens a second they may ask for. It picks no engine and repeats nothing; that
// is the decision module's.
//
// It is pure: a request and the time go in, a decision comes out. It has no
// goroutine, lock or clock, and what it keeps is bounded whatever clients send.
// Each call costs O(1) beside the address ranges, of which each is looked up in
// O(log n) of its prefixes.
package limits

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"go4.org/netipx"
	"golang.org/x/time/rate"
)

// Request is what limits look at.
type Request struct {
	Front  string
	Class  string
	Tenant string
	Addr   netip.Addr // of the client; the zero value belongs to no range
	Tokens float64    // of the prompt and, at most, of the answer
}

// Reason tells which bound a request met.
type Reason string

// The reasons for turning a request away.
const (
	ReasonTotal   Reason = "house"   // too many are under way in all
	ReasonFront   Reason = "front"   // by this front
	ReasonClass   Reason = "class"   // of this class
	ReasonTenant  Reason = "tenant"  // of this tenant
	ReasonAddress Reason = "address" // from this address or range
	ReasonShare   Reason = "share"   // the house is nearly full, and the tenant has its share
	ReasonRate    Reason = "rate"    // too many tokens were asked for
)

// Refusal is the error of a request that was turned away. It has touched no engine.
type Refusal struct {
	Reason     Reason
	RetryAfter float64 // ms
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("limits: turned away: %s; again in %.0f ms", r.Reason, r.RetryAfter)
}

// Bounds of what is kept, and of advice.
const (
	keptKeys        = 4096 // tenants, or addresses of a range, whose rates or shares are kept
	activeFor       = 10e3 // ms that a tenant counts for shares after it last asked
	nearlyFull      = 0.8  // of InFlight, from where on shares bind
	defaultMaxRetry = 500.0
	minRetry        = 20.0
	holdFirst       = 1000.0 // ms that a request is thought to stay before any has left
	holdWeight      = 0.05   // of the newest stay in the running mean
)

// Limiter holds what is under way. It is used by one goroutine at a time.
type Limiter struct {
	cfg     Config
	house   group
	fronts  map[string]*group
	classes map[string]*group
	tenants keyed
	ranges  []addressRange
	active  *simplelru.LRU[string, *activity] // tenants by when they last asked
	shares  float64                           // sum over active
	hold    float64                           // running mean of stays in ms
}

type activity struct{ at, share float64 }

// group is what one limit bounds.
type group struct {
	limit Limit
	in    int
	rate  *rate.Limiter // nil = none
}

// keyed are groups that come and go with their keys.
type keyed struct {
	limit func(key string) Limit
	in    map[string]int // only those with requests under way
	rates *simplelru.LRU[string, *rate.Limiter]
}

type addressRange struct {
	set   *netipx.IPSet
	per   bool
	whole group
	each  keyed
}

// New makes a limiter with nothing under way.
func New(cfg Config) (*Limiter, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.MaxRetryAfter == 0 {
		cfg.MaxRetryAfter = defaultMaxRetry
	}
	l := &Limiter{
		cfg: cfg, house: group{limit: Limit{InFlight: cfg.InFlight}}, fronts: groups(cfg.Fronts), classes: groups(cfg.Classes), hold: holdFirst,
		tenants: newKeyed(func(name string) Limit { return cfg.tenant(name).Limit }),
	}
	l.active = newLRU(func(_ string, a *activity) { l.shares -= a.share })
	for i, r := range cfg.Addresses {
		set, err := r.set()
		if err != nil {
			return nil, fmt.Errorf("%w: addresses[%d].%w", ErrConfig, i, err)
		}
		l.ranges = append(l.ranges, addressRange{
			set: set, per: r.PerAddress, whole: newGroup(r.Limit), each: newKeyed(func(string) Limit { return r.Limit }),
		})
	}
	return l, nil
}

func groups(in map[string]Limit) map[string]*group {
	out := map[string]*group{}
	for name, l := range in {
		g := newGroup(l)
		out[name] = &g
	}
	return out
}

func newGroup(l Limit) group { return group{limit: l, rate: newRate(l)} }

func newRate(l Limit) *rate.Limiter {
	if l.TokensPerS <= 0 {
		return nil
	}
	burst := l.Burst
	if burst == 0 {
		burst = l.TokensPerS
	}
	return rate.NewLimiter(rate.Limit(l.TokensPerS), max(1, int(math.Ceil(burst))))
}

func newKeyed(limit func(string) Limit) keyed {
	return keyed{limit: limit, in: map[string]int{}, rates: newLRU[*rate.Limiter](nil)}
}

func newLRU[V any](gone func(string, V)) *simplelru.LRU[string, V] {
	l, err := simplelru.NewLRU(keptKeys, simplelru.EvictCallback[string, V](gone))
	if err != nil {
		panic(err) // only for a size below one
	}
	return l
}

// bucket is a key's rate, nil for none. A bucket that was let go of for want of
// room begins full again.
func (k *keyed) bucket(key string) *rate.Limiter {
	if b, ok := k.rates.Get(key); ok {
		return b
	}
	b := newRate(k.limit(key))
	if b != nil {
		k.rates.Add(key, b)
	}
	return b
}

// Ticket is a request's place in the house, to be given back once.
type Ticket struct {
	r      Request
	at     float64
	inside bool
}

// Admit lets a request in, at a time in ms, or turns it away. What is turned away
// has used up nothing. The error is a *Refusal.
func (l *Limiter) Admit(now float64, r Request) (Ticket, error) {
	r.Addr = r.Addr.Unmap()
	l.asks(now, r.Tenant)
	if reason, limit := l.full(r); reason != "" {
		return Ticket{}, &Refusal{reason, l.advice(limit)}
	}
	if wait := l.take(now, r); wait > 0 {
		return Ticket{}, &Refusal{ReasonRate, min(max(wait, minRetry), l.cfg.MaxRetryAfter)}
	}
	l.count(r, 1)
	return Ticket{r, now, true}, nil
}

// Leave gives a place back. A second time it does nothing.
func (l *Limiter) Release(now float64, t *Ticket) {
	if !t.inside {
		return
	}
	t.inside = false
	l.hold += holdWeight * (max(0, now-t.at) - l.hold)
	l.count(t.r, -1)
}

// InFlight is the number of requests in the house.
func (l *Limiter) InFlight() int { return l.house.in }

// asks notes that a tenant asks, which makes it count for shares for a while.
func (l *Limiter) asks(now float64, tenant string) {
	if !l.cfg.Fair {
		return
	}
	for {
		name, a, ok := l.active.GetOldest()
		if !ok || now-a.at < activeFor || l.tenants.in[name] > 0 && name != tenant {
			break
		}
		l.active.Remove(name)
	}
	a, ok := l.active.Get(tenant)
	if !ok {
		a = &activity{share: l.cfg.tenant(tenant).Share}
		l.active.Add(tenant, a)
		l.shares += a.share
	}
	a.at = now
}

// full gives the bound that a request meets, and its size.
func (l *Limiter) full(r Request) (Reason, int) {
	over := func(limit, in int) bool { return limit > 0 && in >= limit }
	if over(l.house.limit.InFlight, l.house.in) {
		return ReasonTotal, l.house.limit.InFlight
	}
	if g := l.fronts[r.Front]; g != nil && over(g.limit.InFlight, g.in) {
		return ReasonFront, g.limit.InFlight
	}
	if g := l.classes[r.Class]; g != nil && over(g.limit.InFlight, g.in) {
		return ReasonClass, g.limit.InFlight
	}
	if limit := l.tenants.limit(r.Tenant).InFlight; over(limit, l.tenants.in[r.Tenant]) {
		return ReasonTenant, limit
	}
	for i := range l.ranges {
		g := &l.ranges[i]
		if !g.set.Contains(r.Addr) {
			continue
		}
		in := g.whole.in
		if g.per {
			in = g.each.in[r.Addr.String()]
		}
		if limit := g.whole.limit.InFlight; over(limit, in) {
			return ReasonAddress, limit
		}
	}
	if l.cfg.Fair && float64(l.house.in) >= nearlyFull*float64(l.cfg.InFlight) {
		part := l.cfg.tenant(r.Tenant).Share / max(l.shares, 1e-9) * float64(l.cfg.InFlight)
		if in := l.tenants.in[r.Tenant]; float64(in) >= max(1, part) {
			return ReasonShare, max(1, int(part))
		}
	}
	return "", 0
}

// take draws a request's tokens from all rates that bind it, or from none. It
// gives how long in ms the request would have to wait.
func (l *Limiter) take(now float64, r Request) (wait float64) {
	var buckets []*rate.Limiter
	add := func(b *rate.Limiter) {
		if b != nil {
			buckets = append(buckets, b)
		}
	}
	if g := l.fronts[r.Front]; g != nil {
		add(g.rate)
	}
	if g := l.classes[r.Class]; g != nil {
		add(g.rate)
	}
	add(l.tenants.bucket(r.Tenant))
	for i := range l.ranges {
		g := &l.ranges[i]
		switch {
		case !g.set.Contains(r.Addr):
		case g.per:
			add(g.each.bucket(r.Addr.String()))
		default:
			add(g.whole.rate)
		}
	}
	if len(buckets) == 0 {
		return 0
	}
	at := instant(now)
	held := make([]*rate.Reservation, 0, len(buckets))
	for _, b := range buckets {
		// What asks for more than a burst waits for a full one.
		res := b.ReserveN(at, min(b.Burst(), max(1, int(math.Ceil(r.Tokens)))))
		held = append(held, res)
		wait = max(wait, float64(res.DelayFrom(at))/float64(time.Millisecond))
	}
	if wait > 0 {
		for _, res := range held {
			res.CancelAt(at)
		}
	}
	return wait
}

// instant is a time in ms as the rates' library wants it.
func instant(ms float64) time.Time { return time.UnixMicro(int64(ms * 1000)) }

func (l *Limiter) count(r Request, by int) {
	l.house.in += by
	if g := l.fronts[r.Front]; g != nil {
		g.in += by
	}
	if g := l.classes[r.Class]; g != nil {
		g.in += by
	}
	l.tenants.count(r.Tenant, by)
	for i := range l.ranges {
		g := &l.ranges[i]
		if !g.set.Contains(r.Addr) {
			continue
		}
		if g.whole.in += by; g.per {
			g.each.count(r.Addr.String(), by)
		}
	}
}

func (k *keyed) count(key string, by int) {
	if k.in[key] += by; k.in[key] == 0 {
		delete(k.in, key)
	}
}

// advice is when a place should be free: with so many places, one is given back
// in a stay's time divided by their number.
func (l *Limiter) advice(places int) float64 {
	return min(max(l.hold/float64(max(1, places)), minRetry), l.cfg.MaxRetryAfter)
}
