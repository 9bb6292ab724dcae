package limits

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
)

func limiter(t testing.TB, cfg Config) *Limiter {
	t.Helper()
	l, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func reason(err error) Reason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

func TestEachBoundTurnsAway(t *testing.T) {
	in := func(n int) Limit { return Limit{InFlight: n} }
	req := Request{Front: "http", Class: "chat", Tenant: "a", Addr: netip.MustParseAddr("::ffff:10.1.2.3"), Tokens: 100}
	for _, c := range []struct {
		cfg  Config
		then func(*Request) // what a request differs in that is let in all the same
		want Reason
	}{
		{Config{InFlight: 2}, nil, ReasonTotal},
		{Config{Fronts: map[string]Limit{"http": in(2)}}, func(r *Request) { r.Front = "grpc" }, ReasonFront},
		{Config{Classes: map[string]Limit{"chat": in(2)}}, func(r *Request) { r.Class = "order" }, ReasonClass},
		{Config{Tenants: map[string]Tenant{"a": {Limit: in(2)}}}, func(r *Request) { r.Tenant = "b" }, ReasonTenant},
		{Config{OtherTenants: Tenant{Limit: in(2)}}, func(r *Request) { r.Tenant = "b" }, ReasonTenant},
		{Config{Addresses: []Range{{CIDR: []string{"10.0.0.0/8"}, Limit: in(2)}}}, func(r *Request) { r.Addr = netip.MustParseAddr("11.1.2.3") }, ReasonAddress},
		{Config{Addresses: []Range{{CIDR: []string{"10.0.0.0/8"}, PerAddress: true, Limit: in(2)}}}, func(r *Request) { r.Addr = netip.MustParseAddr("10.9.9.9") }, ReasonAddress},
		{Config{Classes: map[string]Limit{"chat": {TokensPerS: 200}}}, func(r *Request) { r.Class = "order" }, ReasonRate},
		{Config{Addresses: []Range{{CIDR: []string{"10.0.0.0/8"}, PerAddress: true, Limit: Limit{TokensPerS: 100, Burst: 200}}}},
			func(r *Request) { r.Addr = netip.MustParseAddr("10.9.9.9") }, ReasonRate},
	} {
		l := limiter(t, c.cfg)
		var tickets []Ticket
		for range 2 {
			tk, err := l.Admit(0, req)
			if err != nil {
				t.Fatalf("%s: %v", c.want, err)
			}
			tickets = append(tickets, tk)
		}
		_, err := l.Admit(0, req)
		if got := reason(err); got != c.want {
			t.Errorf("%v, want %s", err, c.want)
		}
		var refusal *Refusal
		if errors.As(err, &refusal) && (refusal.RetryAfter < minRetry || refusal.RetryAfter > defaultMaxRetry) {
			t.Errorf("%s: to return in %v ms", c.want, refusal.RetryAfter)
		}
		if c.then != nil {
			other := req
			c.then(&other)
			tk, err := l.Admit(0, other)
			if err != nil {
				t.Errorf("%s: another one: %v", c.want, err)
			}
			l.Release(1, &tk)
		}
		l.Release(10, &tickets[0])
		l.Release(10, &tickets[0]) // again, which does nothing
		if l.InFlight() != 1 {
			t.Errorf("%s: %d are in the house", c.want, l.InFlight())
		}
		if tk, err := l.Admit(2000, req); err != nil {
			t.Errorf("%s: after one has left: %v", c.want, err)
		} else {
			l.Release(2001, &tk)
		}
		l.Release(2002, &tickets[1])
		if l.InFlight() != 0 || len(l.tenants.in) != 0 {
			t.Errorf("%s: something is left", c.want)
		}
	}
}

func TestWithoutLimitsAllComeIn(t *testing.T) {
	l := limiter(t, Config{})
	for i := range 10000 {
		if _, err := l.Admit(0, Request{Front: "http", Tenant: fmt.Sprint(i), Tokens: 1e6}); err != nil {
			t.Fatal(err)
		}
	}
}

func TestRatesCountTokensAndTellWhen(t *testing.T) {
	l := limiter(t, Config{MaxRetryAfter: 60000, Tenants: map[string]Tenant{"a": {Limit: Limit{TokensPerS: 1000, Burst: 3000}}}})
	admitted := 0.0
	for now := 0.0; now < 60000; now += 10 {
		r := Request{Tenant: "a", Tokens: 400}
		tk, err := l.Admit(now, r)
		if err != nil {
			var refusal *Refusal
			errors.As(err, &refusal)
			if tk, err := l.Admit(now+refusal.RetryAfter+0.01, r); err == nil { // at the time that was told
				l.Release(now, &tk)
				admitted += r.Tokens
			} else {
				t.Fatalf("at %v it was told to come in %v ms: %v", now, refusal.RetryAfter, err)
			}
			now += refusal.RetryAfter
			continue
		}
		admitted += r.Tokens
		l.Release(now, &tk)
	}
	if admitted < 62000 || admitted > 64000 {
		t.Errorf("%v tokens in a minute, 60,000 and a burst of 3,000 are wanted", admitted)
	}
	// One that asks for more than a burst waits for a full one, and is not shut out.
	if _, err := l.Admit(70000, Request{Tenant: "a", Tokens: 1e6}); err != nil {
		t.Error(err)
	}
}

// Refusals use up nothing: a class's bucket is as full as before.
func TestWhatIsTurnedAwayUsesUpNothing(t *testing.T) {
	l := limiter(t, Config{
		Classes: map[string]Limit{"chat": {TokensPerS: 100}}, Tenants: map[string]Tenant{"poor": {Limit: Limit{TokensPerS: 1}}},
	})
	for range 100 {
		if _, err := l.Admit(0, Request{Class: "chat", Tenant: "poor", Tokens: 50}); err == nil {
			continue // its one burst
		}
	}
	if _, err := l.Admit(0, Request{Class: "chat", Tenant: "rich", Tokens: 50}); err != nil {
		t.Error(err)
	}
}

// serve plays two tenants in virtual time against a house of 40, one asking ten
// times as much as the other, and gives what share of its requests each got in.
func serve(t testing.TB, fair bool) (greedy, modest float64) {
	l := limiter(t, Config{InFlight: 40, Fair: fair})
	r := rand.New(rand.NewPCG(1, 2))
	type stay struct {
		until float64
		tk    Ticket
	}
	var inside []stay
	asked, let := map[string]float64{}, map[string]float64{}
	for now := 0.0; now < 120e3; now += 5 {
		for i := 0; i < len(inside); i++ {
			if inside[i].until <= now {
				l.Release(now, &inside[i].tk)
				inside = append(inside[:i], inside[i+1:]...)
				i--
			}
		}
		for tenant, perS := range map[string]float64{"greedy": 120, "modest": 12} {
			if r.Float64() > perS*0.005 {
				continue
			}
			asked[tenant]++
			if tk, err := l.Admit(now, Request{Tenant: tenant}); err == nil {
				let[tenant]++
				inside = append(inside, stay{now + r.ExpFloat64()*1000, tk})
			}
		}
	}
	return let["greedy"] / asked["greedy"], let["modest"] / asked["modest"]
}

func TestATenantTenTimesOverLeavesTheOtherItsShare(t *testing.T) {
	greedy, modest := serve(t, true)
	t.Logf("fair: the greedy tenant got %.3f of its requests in, the modest one %.3f", greedy, modest)
	if modest < 0.97 {
		t.Errorf("the modest tenant got %.3f in", modest)
	}
	if greedy < 0.1 {
		t.Errorf("the house stands empty: the greedy one got %.3f in", greedy)
	}
	g, m := serve(t, false)
	t.Logf("without shares: %.3f and %.3f", g, m)
	if m > 0.6 {
		t.Errorf("without shares the modest tenant got %.3f in: the test shows nothing", m)
	}
}

// Whatever comes, no bound is passed, and nothing is left when all have left.
func TestBoundsHoldUnderAnyOrder(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		cfg := Config{
			InFlight: 30, Fair: seed%2 == 0, Fronts: map[string]Limit{"f0": {InFlight: 9}}, Classes: map[string]Limit{"c0": {InFlight: 7}},
			Tenants: map[string]Tenant{"t0": {Limit: Limit{InFlight: 5}, Share: 2}}, OtherTenants: Tenant{Limit: Limit{InFlight: 8}},
			Addresses: []Range{{CIDR: []string{"10.0.0.0/30"}, Limit: Limit{InFlight: 4}}},
		}
		l := limiter(t, cfg)
		var inside []Ticket
		for range 5000 {
			if r.Float64() < 0.4 && len(inside) > 0 {
				i := r.IntN(len(inside))
				l.Release(0, &inside[i])
				inside = append(inside[:i], inside[i+1:]...)
				continue
			}
			tk, err := l.Admit(0, Request{
				Front: fmt.Sprint("f", r.IntN(3)), Class: fmt.Sprint("c", r.IntN(3)), Tenant: fmt.Sprint("t", r.IntN(9)),
				Addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(r.IntN(8))}),
			})
			if err == nil {
				inside = append(inside, tk)
			}
			in := map[string]int{}
			for _, tk := range inside {
				in[tk.r.Front]++
				in[tk.r.Class]++
				in[tk.r.Tenant]++
				if netip.MustParsePrefix("10.0.0.0/30").Contains(tk.r.Addr) {
					in["range"]++
				}
			}
			if len(inside) > 30 || in["f0"] > 9 || in["c0"] > 7 || in["t0"] > 5 || in["t1"] > 8 || in["range"] > 4 || l.InFlight() != len(inside) {
				t.Fatalf("seed %d: %d inside, %v, counted %d", seed, len(inside), in, l.InFlight())
			}
		}
		for i := range inside {
			l.Release(0, &inside[i])
		}
		if l.InFlight() != 0 || len(l.tenants.in) != 0 || l.ranges[0].whole.in != 0 {
			t.Fatalf("seed %d: something is left", seed)
		}
	}
}

// A million tenants and addresses leave no more than the caps behind.
func TestWhatIsKeptIsBounded(t *testing.T) {
	l := limiter(t, Config{
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
	if a, b, c := l.active.Len(), l.tenants.rates.Len(), l.ranges[0].each.rates.Len(); a > keptKeys || b > keptKeys || c > keptKeys {
		t.Errorf("%d, %d, %d are kept", a, b, c)
	}
	if len(l.tenants.in)+len(l.ranges[0].each.in) != 0 || l.shares > float64(keptKeys)+0.5 {
		t.Errorf("%d tenants in, shares %v", len(l.tenants.in), l.shares)
	}
}

func TestFaultyLimitsNameTheKey(t *testing.T) {
	for _, c := range []struct {
		cfg  Config
		want string
	}{
		{Config{InFlight: -1}, "in_flight: -1"},
		{Config{Fair: true}, "fair: there is no in_flight"},
		{Config{Classes: map[string]Limit{"chat": {TokensPerS: -2}}}, "classes.chat.tokens_per_s: -2"},
		{Config{Tenants: map[string]Tenant{"a": {Limit: Limit{Burst: 5}}}}, "tenants.a.burst: there is no tokens_per_s"},
		{Config{OtherTenants: Tenant{Share: -1}}, "other_tenants.share: -1"},
		{Config{Addresses: []Range{{}}}, "addresses[0].cidr is missing"},
		{Config{Addresses: []Range{{CIDR: []string{"10.0.0.0/8", "x"}}}}, "addresses[0].cidr[1]"},
	} {
		if _, err := New(c.cfg); !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %s", err, c.want)
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
			l := limiter(b, cfg)
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
