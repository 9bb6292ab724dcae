package limits

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
)

func newLimiter(t testing.TB, cfg Config) *Limiter {
	t.Helper()
	l, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func refusalReason(err error) Reason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

func TestAdmit_EachLimitRefuses(t *testing.T) {
	inFlight := func(n int) Limit { return Limit{InFlight: n} }
	req := Request{Front: "http", Class: "chat", Tenant: "a", Addr: netip.MustParseAddr("::ffff:10.1.2.3"), Tokens: 100}
	for _, c := range []struct {
		cfg    Config
		differ func(*Request) // makes a request that is still admitted
		want   Reason
	}{
		{Config{InFlight: 2}, nil, ReasonTotal},
		{Config{Fronts: map[string]Limit{"http": inFlight(2)}}, func(r *Request) { r.Front = "grpc" }, ReasonFront},
		{Config{Classes: map[string]Limit{"chat": inFlight(2)}}, func(r *Request) { r.Class = "order" }, ReasonClass},
		{Config{Tenants: map[string]Tenant{"a": {Limit: inFlight(2)}}}, func(r *Request) { r.Tenant = "b" }, ReasonTenant},
		{Config{OtherTenants: Tenant{Limit: inFlight(2)}}, func(r *Request) { r.Tenant = "b" }, ReasonTenant},
		{Config{Addresses: []Range{{CIDR: []string{"10.0.0.0/8"}, Limit: inFlight(2)}}}, func(r *Request) { r.Addr = netip.MustParseAddr("11.1.2.3") }, ReasonAddress},
		{Config{Addresses: []Range{{CIDR: []string{"10.0.0.0/8"}, PerAddress: true, Limit: inFlight(2)}}}, func(r *Request) { r.Addr = netip.MustParseAddr("10.9.9.9") }, ReasonAddress},
		{Config{Classes: map[string]Limit{"chat": {TokensPerS: 200}}}, func(r *Request) { r.Class = "order" }, ReasonRate},
		{Config{Addresses: []Range{{CIDR: []string{"10.0.0.0/8"}, PerAddress: true, Limit: Limit{TokensPerS: 100, Burst: 200}}}},
			func(r *Request) { r.Addr = netip.MustParseAddr("10.9.9.9") }, ReasonRate},
	} {
		l := newLimiter(t, c.cfg)
		var tickets []Ticket
		for range 2 {
			tk, err := l.Admit(0, req)
			if err != nil {
				t.Fatalf("%s: %v", c.want, err)
			}
			tickets = append(tickets, tk)
		}
		_, err := l.Admit(0, req)
		if got := refusalReason(err); got != c.want {
			t.Errorf("third request: error %v, want reason %s", err, c.want)
		}
		var refusal *Refusal
		if errors.As(err, &refusal) && (refusal.RetryAfter < minRetryAfter || refusal.RetryAfter > defaultMaxRetryAfter) {
			t.Errorf("%s: RetryAfter %v ms is out of range", c.want, refusal.RetryAfter)
		}
		if c.differ != nil {
			other := req
			c.differ(&other)
			tk, err := l.Admit(0, other)
			if err != nil {
				t.Errorf("%s: request outside the limit: %v", c.want, err)
			}
			l.Release(1, &tk)
		}
		l.Release(10, &tickets[0])
		l.Release(10, &tickets[0]) // the second call has no effect
		if l.InFlight() != 1 {
			t.Errorf("%s: %d in flight, want 1", c.want, l.InFlight())
		}
		if tk, err := l.Admit(2000, req); err != nil {
			t.Errorf("%s: after a release: %v", c.want, err)
		} else {
			l.Release(2001, &tk)
		}
		l.Release(2002, &tickets[1])
		if l.InFlight() != 0 || len(l.tenants.inFlight) != 0 {
			t.Errorf("%s: requests left in flight after all were released", c.want)
		}
	}
}

func TestAdmit_NoLimits(t *testing.T) {
	l := newLimiter(t, Config{})
	for i := range 10000 {
		if _, err := l.Admit(0, Request{Front: "http", Tenant: fmt.Sprint(i), Tokens: 1e6}); err != nil {
			t.Fatal(err)
		}
	}
}

func TestAdmit_TokenRate(t *testing.T) {
	l := newLimiter(t, Config{MaxRetryAfter: 60000, Tenants: map[string]Tenant{"a": {Limit: Limit{TokensPerS: 1000, Burst: 3000}}}})
	admitted := 0.0
	for now := 0.0; now < 60000; now += 10 {
		r := Request{Tenant: "a", Tokens: 400}
		tk, err := l.Admit(now, r)
		if err != nil {
			var refusal *Refusal
			errors.As(err, &refusal)
			if tk, err := l.Admit(now+refusal.RetryAfter+0.01, r); err == nil { // at the time given in RetryAfter
				l.Release(now, &tk)
				admitted += r.Tokens
			} else {
				t.Fatalf("refused at %v with RetryAfter %v ms, and refused again then: %v", now, refusal.RetryAfter, err)
			}
			now += refusal.RetryAfter
			continue
		}
		admitted += r.Tokens
		l.Release(now, &tk)
	}
	if admitted < 62000 || admitted > 64000 {
		t.Errorf("%v tokens in a minute, want 60,000 plus a burst of 3,000", admitted)
	}
	// A request for more tokens than the burst waits for a full bucket; it is not refused forever.
	if _, err := l.Admit(70000, Request{Tenant: "a", Tokens: 1e6}); err != nil {
		t.Error(err)
	}
}

// A refused request takes no tokens: the bucket of its class is as full as before.
func TestAdmit_RefusalTakesNoTokens(t *testing.T) {
	l := newLimiter(t, Config{
		Classes: map[string]Limit{"chat": {TokensPerS: 100}}, Tenants: map[string]Tenant{"poor": {Limit: Limit{TokensPerS: 1}}},
	})
	for range 100 {
		if _, err := l.Admit(0, Request{Class: "chat", Tenant: "poor", Tokens: 50}); err == nil {
			continue // the one burst of the tenant
		}
	}
	if _, err := l.Admit(0, Request{Class: "chat", Tenant: "rich", Tokens: 50}); err != nil {
		t.Error(err)
	}
}

// admittedShares simulates two tenants at a limit of 40 requests in flight, one of them with
// ten times as many requests as the other, and returns the share of each one's requests that
// was admitted.
func admittedShares(t testing.TB, fair bool) (greedy, modest float64) {
	l := newLimiter(t, Config{InFlight: 40, Fair: fair})
	r := rand.New(rand.NewPCG(1, 2))
	type active struct {
		until float64
		tk    Ticket
	}
	var inFlight []active
	requested, admitted := map[string]float64{}, map[string]float64{}
	for now := 0.0; now < 120e3; now += 5 {
		for i := 0; i < len(inFlight); i++ {
			if inFlight[i].until <= now {
				l.Release(now, &inFlight[i].tk)
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				i--
			}
		}
		for tenant, perS := range map[string]float64{"greedy": 120, "modest": 12} {
			if r.Float64() > perS*0.005 {
				continue
			}
			requested[tenant]++
			if tk, err := l.Admit(now, Request{Tenant: tenant}); err == nil {
				admitted[tenant]++
				inFlight = append(inFlight, active{now + r.ExpFloat64()*1000, tk})
			}
		}
	}
	return admitted["greedy"] / requested["greedy"], admitted["modest"] / requested["modest"]
}

func TestAdmit_FairShares(t *testing.T) {
	greedy, modest := admittedShares(t, true)
	t.Logf("fair: %.3f of the greedy tenant's requests admitted, %.3f of the modest one's", greedy, modest)
	if modest < 0.97 {
		t.Errorf("fair: only %.3f of the modest tenant's requests admitted", modest)
	}
	if greedy < 0.1 {
		t.Errorf("fair: capacity unused: only %.3f of the greedy tenant's requests admitted", greedy)
	}
	g, m := admittedShares(t, false)
	t.Logf("not fair: %.3f of the greedy tenant's requests admitted, %.3f of the modest one's", g, m)
	if m > 0.6 {
		t.Errorf("not fair: %.3f of the modest tenant's requests admitted: the load is too low for this test", m)
	}
}

// In any order of requests, no limit is exceeded, and nothing is left when all were released.
func TestLimiter_RandomOrder(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		cfg := Config{
			InFlight: 30, Fair: seed%2 == 0, Fronts: map[string]Limit{"f0": {InFlight: 9}}, Classes: map[string]Limit{"c0": {InFlight: 7}},
			Tenants: map[string]Tenant{"t0": {Limit: Limit{InFlight: 5}, Share: 2}}, OtherTenants: Tenant{Limit: Limit{InFlight: 8}},
			Addresses: []Range{{CIDR: []string{"10.0.0.0/30"}, Limit: Limit{InFlight: 4}}},
		}
		l := newLimiter(t, cfg)
		var tickets []Ticket
		for range 5000 {
			if r.Float64() < 0.4 && len(tickets) > 0 {
				i := r.IntN(len(tickets))
				l.Release(0, &tickets[i])
				tickets = append(tickets[:i], tickets[i+1:]...)
				continue
			}
			tk, err := l.Admit(0, Request{
				Front: fmt.Sprint("f", r.IntN(3)), Class: fmt.Sprint("c", r.IntN(3)), Tenant: fmt.Sprint("t", r.IntN(9)),
				Addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(r.IntN(8))}),
			})
			if err == nil {
				tickets = append(tickets, tk)
			}
			inFlight := map[string]int{}
			for _, tk := range tickets {
				inFlight[tk.request.Front]++
				inFlight[tk.request.Class]++
				inFlight[tk.request.Tenant]++
				if netip.MustParsePrefix("10.0.0.0/30").Contains(tk.request.Addr) {
					inFlight["range"]++
				}
			}
			if len(tickets) > 30 || inFlight["f0"] > 9 || inFlight["c0"] > 7 || inFlight["t0"] > 5 || inFlight["t1"] > 8 || inFlight["range"] > 4 || l.InFlight() != len(tickets) {
				t.Fatalf("seed %d: %d admitted, by group %v, InFlight %d", seed, len(tickets), inFlight, l.InFlight())
			}
		}
		for i := range tickets {
			l.Release(0, &tickets[i])
		}
		if l.InFlight() != 0 || len(l.tenants.inFlight) != 0 || l.addressRanges[0].total.inFlight != 0 {
			t.Fatalf("seed %d: requests left in flight after all were released", seed)
		}
	}
}

// With 50,000 tenants and addresses, no more than maxKeys of each are kept.
func TestLimiter_BoundedState(t *testing.T) {
	l := newLimiter(t, Config{
		InFlight: 10, Fair: true, OtherTenants: Tenant{Limit: Limit{TokensPerS: 10}},
		Addresses: []Range{{CIDR: []string{"::/0"}, PerAddress: true, Limit: Limit{TokensPerS: 10}}},
	})
	for i := range 50000 {
		addr := netip.AddrFrom16([16]byte{byte(i >> 16), byte(i >> 8), byte(i)})
		tk, err := l.Admit(float64(i), Request{Tenant: fmt.Sprint(i), Addr: addr, Tokens: 1})
		if err == nil {
			l.Release(float64(i), &tk)
		}
	}
	if a, b, c := l.activeTenants.Len(), l.tenants.buckets.Len(), l.addressRanges[0].byAddress.buckets.Len(); a > maxKeys || b > maxKeys || c > maxKeys {
		t.Errorf("kept: %d active tenants, %d tenant buckets, %d address buckets", a, b, c)
	}
	if len(l.tenants.inFlight)+len(l.addressRanges[0].byAddress.inFlight) != 0 || l.activeShares > float64(maxKeys)+0.5 {
		t.Errorf("%d keys in flight, sum of shares %v", len(l.tenants.inFlight), l.activeShares)
	}
}

func TestNew_InvalidConfig(t *testing.T) {
	for _, c := range []struct {
		cfg  Config
		want string
	}{
		{Config{InFlight: -1}, "in_flight: -1"},
		{Config{Fair: true}, "fair: in_flight is not set"},
		{Config{Classes: map[string]Limit{"chat": {TokensPerS: -2}}}, "classes.chat.tokens_per_s: -2"},
		{Config{Tenants: map[string]Tenant{"a": {Limit: Limit{Burst: 5}}}}, "tenants.a.burst: tokens_per_s is not set"},
		{Config{OtherTenants: Tenant{Share: -1}}, "other_tenants.share: -1"},
		{Config{Addresses: []Range{{}}}, "addresses[0].cidr is missing"},
		{Config{Addresses: []Range{{CIDR: []string{"10.0.0.0/8", "x"}}}}, "addresses[0].cidr[1]"},
	} {
		if _, err := New(c.cfg); !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want it to contain %q", err, c.want)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	for name, cfg := range map[string]Config{
		"none": {},
		"all": {
			InFlight: 1000, Fair: true, Fronts: map[string]Limit{"http": {InFlight: 500}}, Classes: map[string]Limit{"chat": {InFlight: 500, TokensPerS: 1e9}},
			OtherTenants: Tenant{Limit: Limit{InFlight: 100, TokensPerS: 1e9}},
			Addresses:    []Range{{CIDR: []string{"10.0.0.0/8", "192.168.0.0/16"}, PerAddress: true, Limit: Limit{InFlight: 100, TokensPerS: 1e9}}},
		},
	} {
		b.Run(name, func(b *testing.B) {
			l := newLimiter(b, cfg)
			r := Request{Front: "http", Class: "chat", Tenant: "a", Addr: netip.MustParseAddr("10.1.2.3"), Tokens: 1000}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tk, err := l.Admit(float64(i), r)
				if err != nil {
					b.Fatal(err)
				}
				l.Release(float64(i)+0.5, &tk)
			}
		})
	}
}
