package limits

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"go4.org/netipx"
)

// Limit bounds what belongs together. Zero values bound nothing.
type Limit struct {
	InFlight   int     `toml:"in_flight"`    // requests under way
	TokensPerS float64 `toml:"tokens_per_s"` // prompt and most answer tokens asked for
	Burst      float64 `toml:"burst"`        // tokens that may be asked for at once; 0 = those of a second
}

// Tenant is a tenant's limit, and its part when the house is full.
type Tenant struct {
	Limit
	Share float64 `toml:"share"` // against the other tenants' shares; 0 = 1
}

// Range bounds clients by their addresses.
type Range struct {
	CIDR       []string `toml:"cidr"`        // prefixes, such as 10.0.0.0/8
	PerAddress bool     `toml:"per_address"` // the limit is each address's own, not that of all together
	Limit
}

// Config sets limits up. The zero value lets everything in.
type Config struct {
	InFlight int               `toml:"in_flight"` // requests under way in all
	Fronts   map[string]Limit  `toml:"fronts"`
	Classes  map[string]Limit  `toml:"classes"`
	Tenants  map[string]Tenant `toml:"tenants"`
	// OtherTenants is the limit of each tenant that Tenants does not name.
	OtherTenants Tenant  `toml:"other_tenants"`
	Addresses    []Range `toml:"addresses"`
	// Fair keeps tenants to their shares of InFlight once the house is nearly full.
	Fair          bool    `toml:"fair"`
	MaxRetryAfter float64 `toml:"max_retry_after_ms"` // 0 = 500
}

// ErrConfig is the error of limits that can't be; its text names the key.
var ErrConfig = errors.New("limits: faulty")

func (c Config) tenant(name string) Tenant {
	t, ok := c.Tenants[name]
	if !ok {
		t = c.OtherTenants
	}
	if t.Share == 0 {
		t.Share = 1
	}
	return t
}

func (c Config) validate() error {
	check := func(key string, l Limit) error {
		bad := func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) || v < 0 }
		switch {
		case l.InFlight < 0:
			return fmt.Errorf("%w: %s.in_flight: %d is below zero", ErrConfig, key, l.InFlight)
		case bad(l.TokensPerS):
			return fmt.Errorf("%w: %s.tokens_per_s: %v is no rate", ErrConfig, key, l.TokensPerS)
		case bad(l.Burst):
			return fmt.Errorf("%w: %s.burst: %v is no number of tokens", ErrConfig, key, l.Burst)
		case l.Burst > 0 && l.TokensPerS == 0:
			return fmt.Errorf("%w: %s.burst: there is no tokens_per_s", ErrConfig, key)
		}
		return nil
	}
	var errs []error
	if c.InFlight < 0 {
		errs = append(errs, fmt.Errorf("%w: in_flight: %d is below zero", ErrConfig, c.InFlight))
	}
	if c.Fair && c.InFlight == 0 {
		errs = append(errs, fmt.Errorf("%w: fair: there is no in_flight to share", ErrConfig))
	}
	if !(c.MaxRetryAfter >= 0) || math.IsInf(c.MaxRetryAfter, 0) {
		errs = append(errs, fmt.Errorf("%w: max_retry_after_ms: %v is no time", ErrConfig, c.MaxRetryAfter))
	}
	for name, l := range c.Fronts {
		errs = append(errs, check("fronts."+name, l))
	}
	for name, l := range c.Classes {
		errs = append(errs, check("classes."+name, l))
	}
	tenants := map[string]Tenant{"other_tenants": c.OtherTenants}
	for name, t := range c.Tenants {
		tenants["tenants."+name] = t
	}
	for key, t := range tenants {
		errs = append(errs, check(key, t.Limit))
		if !(t.Share >= 0) || math.IsInf(t.Share, 0) {
			errs = append(errs, fmt.Errorf("%w: %s.share: %v is no share", ErrConfig, key, t.Share))
		}
	}
	for i, r := range c.Addresses {
		key := fmt.Sprintf("addresses[%d]", i)
		errs = append(errs, check(key, r.Limit))
		if len(r.CIDR) == 0 {
			errs = append(errs, fmt.Errorf("%w: %s.cidr is missing", ErrConfig, key))
		}
	}
	return errors.Join(errs...)
}

func (r Range) set() (*netipx.IPSet, error) {
	var b netipx.IPSetBuilder
	for i, text := range r.CIDR {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, fmt.Errorf("cidr[%d]: %w", i, err)
		}
		b.AddPrefix(p.Masked())
	}
	return b.IPSet()
}
