// Package limits is the gateway's admission control: it limits the requests in flight, in total
// and by front, class, tenant and client address, and the tokens per second that they may ask
// for. It doesn't choose engines or retry requests; the decision module does.
//
// It is pure: a request and the time go in, a decision comes out. It has no goroutine, lock or
// clock, and its memory is bounded whatever clients send. A call costs O(1) plus, for each
// address range, O(log n) in the number of its prefixes.
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

// Request holds the properties of a request that limits depend on.
type Request struct {
	Front  string
	Class  string
	Tenant string
	Addr   netip.Addr // of the client; the zero value is in no range
	Tokens float64    // prompt tokens plus maximum output tokens
}

// Reason says which limit refused a request.
type Reason string

// The reasons of refusals.
const (
	ReasonTotal   Reason = "house"   // too many requests in flight in total
	ReasonFront   Reason = "front"   // too many of this front
	ReasonClass   Reason = "class"   // too many of this class
	ReasonTenant  Reason = "tenant"  // too many of this tenant
	ReasonAddress Reason = "address" // too many from this address or range
	ReasonShare   Reason = "share"   // the gateway is nearly full and the tenant uses its share
	ReasonRate    Reason = "rate"    // too many tokens per second
)

// Refusal is the error of a request that a limit refused. It was sent to no engine.
type Refusal struct {
	Reason     Reason
	RetryAfter float64 // ms
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("limits: refused by the %s limit; retry after %.0f ms", r.Reason, r.RetryAfter)
}

// Bounds of the state that is kept, and of retry times.
const (
	maxKeys              = 4096 // tenants, or addresses of a range, whose token buckets or shares are kept
	activeTenantWindow   = 10e3 // ms after its last request in which a tenant counts for shares
	fairnessThreshold    = 0.8  // fraction of Config.InFlight from which shares apply
	defaultMaxRetryAfter = 500.0
	minRetryAfter        = 20.0
	initialDuration      = 1000.0 // ms, the assumed duration of a request before any has ended
	durationWeight       = 0.05   // of the latest duration in the moving average
)

// Limiter admits requests and counts those in flight. It must not be used by two goroutines at
// once.
type Limiter struct {
	cfg           Config
	total         limitedGroup
	fronts        map[string]*limitedGroup
	classes       map[string]*limitedGroup
	tenants       keyedGroups
	addressRanges []addressRange
	activeTenants *simplelru.LRU[string, *activity] // tenants in order of their last request
	activeShares  float64                           // sum of the shares in activeTenants
	meanDuration  float64                           // moving average of requests' durations in ms
}

// activity is the last request and the share of an active tenant.
type activity struct{ lastRequestAt, share float64 }

// limitedGroup is a group of requests with a limit of its own.
type limitedGroup struct {
	limit    Limit
	inFlight int
	bucket   *rate.Limiter // nil = none
}

// keyedGroups are groups by tenant or address. They exist only while they are used.
type keyedGroups struct {
	limitOf  func(key string) Limit
	inFlight map[string]int // only keys with requests in flight
	buckets  *simplelru.LRU[string, *rate.Limiter]
}

// addressRange is a Range with its requests in flight.
type addressRange struct {
	prefixes   *netipx.IPSet
	perAddress bool
	total      limitedGroup
	byAddress  keyedGroups
}

// New makes a Limiter with no request in flight.
func New(cfg Config) (*Limiter, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.MaxRetryAfter == 0 {
		cfg.MaxRetryAfter = defaultMaxRetryAfter
	}
	l := &Limiter{
		cfg: cfg, total: limitedGroup{limit: Limit{InFlight: cfg.InFlight}}, fronts: newGroups(cfg.Fronts), classes: newGroups(cfg.Classes), meanDuration: initialDuration,
		tenants: newKeyedGroups(func(name string) Limit { return cfg.tenant(name).Limit }),
	}
	l.activeTenants = newLRU(func(_ string, a *activity) { l.activeShares -= a.share })
	for i, configured := range cfg.Addresses {
		prefixes, err := configured.ipSet()
		if err != nil {
			return nil, fmt.Errorf("%w: addresses[%d].%w", ErrConfig, i, err)
		}
		l.addressRanges = append(l.addressRanges, addressRange{
			prefixes: prefixes, perAddress: configured.PerAddress, total: newGroup(configured.Limit), byAddress: newKeyedGroups(func(string) Limit { return configured.Limit }),
		})
	}
	return l, nil
}

func newGroups(limits map[string]Limit) map[string]*limitedGroup {
	groups := map[string]*limitedGroup{}
	for name, l := range limits {
		g := newGroup(l)
		groups[name] = &g
	}
	return groups
}

func newGroup(l Limit) limitedGroup { return limitedGroup{limit: l, bucket: newBucket(l)} }

func newBucket(l Limit) *rate.Limiter {
	if l.TokensPerS <= 0 {
		return nil
	}
	burst := l.Burst
	if burst == 0 {
		burst = l.TokensPerS
	}
	return rate.NewLimiter(rate.Limit(l.TokensPerS), max(1, int(math.Ceil(burst))))
}

func newKeyedGroups(limit func(string) Limit) keyedGroups {
	return keyedGroups{limitOf: limit, inFlight: map[string]int{}, buckets: newLRU[*rate.Limiter](nil)}
}

func newLRU[V any](onEvict func(string, V)) *simplelru.LRU[string, V] {
	l, err := simplelru.NewLRU(maxKeys, simplelru.EvictCallback[string, V](onEvict))
	if err != nil {
		panic(err) // the only error is a size below one
	}
	return l
}

// bucketOf returns the token bucket of a key; nil = no limit. A bucket that was evicted starts
// full again.
func (k *keyedGroups) bucketOf(key string) *rate.Limiter {
	if b, ok := k.buckets.Get(key); ok {
		return b
	}
	b := newBucket(k.limitOf(key))
	if b != nil {
		k.buckets.Add(key, b)
	}
	return b
}

// Ticket is the admission of a request. It must be released when the request ends.
type Ticket struct {
	request    Request
	admittedAt float64
	inFlight   bool
}

// Admit admits a request at time now, in ms, or refuses it with a *Refusal. A refused request
// takes no tokens.
func (l *Limiter) Admit(now float64, request Request) (Ticket, error) {
	request.Addr = request.Addr.Unmap()
	l.markActive(now, request.Tenant)
	if reason, limit := l.reachedLimit(request); reason != "" {
		return Ticket{}, &Refusal{reason, l.retryAfter(limit)}
	}
	if wait := l.takeTokens(now, request); wait > 0 {
		return Ticket{}, &Refusal{ReasonRate, min(max(wait, minRetryAfter), l.cfg.MaxRetryAfter)}
	}
	l.countInFlight(request, 1)
	return Ticket{request, now, true}, nil
}

// Release ends the admission of a request. Calling it again has no effect.
func (l *Limiter) Release(now float64, t *Ticket) {
	if !t.inFlight {
		return
	}
	t.inFlight = false
	l.meanDuration += durationWeight * (max(0, now-t.admittedAt) - l.meanDuration)
	l.countInFlight(t.request, -1)
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int { return l.total.inFlight }

// markActive records a request of a tenant, which counts for shares for activeTenantWindow.
func (l *Limiter) markActive(now float64, tenant string) {
	if !l.cfg.Fair {
		return
	}
	for {
		name, a, ok := l.activeTenants.GetOldest()
		if !ok || now-a.lastRequestAt < activeTenantWindow || l.tenants.inFlight[name] > 0 && name != tenant {
			break
		}
		l.activeTenants.Remove(name)
	}
	a, ok := l.activeTenants.Get(tenant)
	if !ok {
		a = &activity{share: l.cfg.tenant(tenant).Share}
		l.activeTenants.Add(tenant, a)
		l.activeShares += a.share
	}
	a.lastRequestAt = now
}

// reachedLimit returns the first limit of requests in flight that a request has reached, and
// its size.
func (l *Limiter) reachedLimit(request Request) (Reason, int) {
	reached := func(limit, inFlight int) bool { return limit > 0 && inFlight >= limit }
	if reached(l.total.limit.InFlight, l.total.inFlight) {
		return ReasonTotal, l.total.limit.InFlight
	}
	if g := l.fronts[request.Front]; g != nil && reached(g.limit.InFlight, g.inFlight) {
		return ReasonFront, g.limit.InFlight
	}
	if g := l.classes[request.Class]; g != nil && reached(g.limit.InFlight, g.inFlight) {
		return ReasonClass, g.limit.InFlight
	}
	if limit := l.tenants.limitOf(request.Tenant).InFlight; reached(limit, l.tenants.inFlight[request.Tenant]) {
		return ReasonTenant, limit
	}
	for i := range l.addressRanges {
		g := &l.addressRanges[i]
		if !g.prefixes.Contains(request.Addr) {
			continue
		}
		inFlight := g.total.inFlight
		if g.perAddress {
			inFlight = g.byAddress.inFlight[request.Addr.String()]
		}
		if limit := g.total.limit.InFlight; reached(limit, inFlight) {
			return ReasonAddress, limit
		}
	}
	if l.cfg.Fair && float64(l.total.inFlight) >= fairnessThreshold*float64(l.cfg.InFlight) {
		share := l.cfg.tenant(request.Tenant).Share / max(l.activeShares, 1e-9) * float64(l.cfg.InFlight)
		if inFlight := l.tenants.inFlight[request.Tenant]; float64(inFlight) >= max(1, share) {
			return ReasonShare, max(1, int(share))
		}
	}
	return "", 0
}

// takeTokens takes a request's tokens from all of its token buckets, or from none if the
// request would have to wait. It returns that wait in ms.
func (l *Limiter) takeTokens(now float64, request Request) (wait float64) {
	var buckets []*rate.Limiter
	add := func(bucket *rate.Limiter) {
		if bucket != nil {
			buckets = append(buckets, bucket)
		}
	}
	if g := l.fronts[request.Front]; g != nil {
		add(g.bucket)
	}
	if g := l.classes[request.Class]; g != nil {
		add(g.bucket)
	}
	add(l.tenants.bucketOf(request.Tenant))
	for i := range l.addressRanges {
		g := &l.addressRanges[i]
		switch {
		case !g.prefixes.Contains(request.Addr):
		case g.perAddress:
			add(g.byAddress.bucketOf(request.Addr.String()))
		default:
			add(g.total.bucket)
		}
	}
	if len(buckets) == 0 {
		return 0
	}
	at := bucketTime(now)
	reservations := make([]*rate.Reservation, 0, len(buckets))
	for _, bucket := range buckets {
		// A request for more tokens than the bucket holds waits for a full bucket.
		reservation := bucket.ReserveN(at, min(bucket.Burst(), max(1, int(math.Ceil(request.Tokens)))))
		reservations = append(reservations, reservation)
		wait = max(wait, float64(reservation.DelayFrom(at))/float64(time.Millisecond))
	}
	if wait > 0 {
		for _, reservation := range reservations {
			reservation.CancelAt(at)
		}
	}
	return wait
}

// bucketTime converts a time in ms for the token buckets.
func bucketTime(ms float64) time.Time { return time.UnixMicro(int64(ms * 1000)) }

func (l *Limiter) countInFlight(request Request, delta int) {
	l.total.inFlight += delta
	if g := l.fronts[request.Front]; g != nil {
		g.inFlight += delta
	}
	if g := l.classes[request.Class]; g != nil {
		g.inFlight += delta
	}
	l.tenants.countInFlight(request.Tenant, delta)
	for i := range l.addressRanges {
		g := &l.addressRanges[i]
		if !g.prefixes.Contains(request.Addr) {
			continue
		}
		if g.total.inFlight += delta; g.perAddress {
			g.byAddress.countInFlight(request.Addr.String(), delta)
		}
	}
}

func (k *keyedGroups) countInFlight(key string, delta int) {
	if k.inFlight[key] += delta; k.inFlight[key] == 0 {
		delete(k.inFlight, key)
	}
}

// retryAfter estimates when the next of limit requests in flight ends: their mean duration
// divided by their number.
func (l *Limiter) retryAfter(limit int) float64 {
	return min(max(l.meanDuration/float64(max(1, limit)), minRetryAfter), l.cfg.MaxRetryAfter)
}
