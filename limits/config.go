package limits

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"go4.org/netipx"
)

// Limit limits a group of requests. Zero values set no limit.
type Limit struct {
	InFlight   int     `toml:"in_flight"`    // requests in flight
	TokensPerS float64 `toml:"tokens_per_s"` // prompt tokens and maximum output tokens
	Burst      float64 `toml:"burst"`        // token bucket size; 0 = the tokens of one second
}

// Tenant is a tenant's limit, and its share when the gateway is nearly full.
type Tenant struct {
	Limit
	Share float64 `toml:"share"` // relative to the other tenants' shares; 0 = 1
}

// Range limits the clients of an address range.
type Range struct {
	CIDR       []string `toml:"cidr"`        // prefixes, such as 10.0.0.0/8
	PerAddress bool     `toml:"per_address"` // each address has the limit for itself; otherwise the range shares it
	Limit
}

// Config configures a Limiter. The zero value admits all requests.
type Config struct {
	InFlight int               `toml:"in_flight"` // all requests in flight
	Fronts   map[string]Limit  `toml:"fronts"`
	Classes  map[string]Limit  `toml:"classes"`
	Tenants  map[string]Tenant `toml:"tenants"`
	// OtherTenants is the limit of each tenant that is not in Tenants.
	OtherTenants Tenant  `toml:"other_tenants"`
	Addresses    []Range `toml:"addresses"`
	// Fair limits each tenant to its share of InFlight once the gateway is nearly full.
	Fair          bool    `toml:"fair"`
	MaxRetryAfter float64 `toml:"max_retry_after_ms"` // 0 = 500
}

// ErrConfig is the error of an invalid configuration. Errors that wrap it name the key.
var ErrConfig = errors.New("limits: invalid configuration")

func (c Config) tenant(name string) Tenant {
	tenant, ok := c.Tenants[name]
	if !ok {
		tenant = c.OtherTenants
	}
	if tenant.Share == 0 {
		tenant.Share = 1
	}
	return tenant
}

func (c Config) validate() error {
	checkLimit := func(key string, l Limit) error {
		invalid := func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) || v < 0 }
		switch {
		case l.InFlight < 0:
			return fmt.Errorf("%w: %s.in_flight: %d is below zero", ErrConfig, key, l.InFlight)
		case invalid(l.TokensPerS):
			return fmt.Errorf("%w: %s.tokens_per_s: %v is not a valid rate", ErrConfig, key, l.TokensPerS)
		case invalid(l.Burst):
			return fmt.Errorf("%w: %s.burst: %v is not a valid number of tokens", ErrConfig, key, l.Burst)
		case l.Burst > 0 && l.TokensPerS == 0:
			return fmt.Errorf("%w: %s.burst: tokens_per_s is not set", ErrConfig, key)
		}
		return nil
	}
	var errs []error
	if c.InFlight < 0 {
		errs = append(errs, fmt.Errorf("%w: in_flight: %d is below zero", ErrConfig, c.InFlight))
	}
	if c.Fair && c.InFlight == 0 {
		errs = append(errs, fmt.Errorf("%w: fair: in_flight is not set", ErrConfig))
	}
	if !(c.MaxRetryAfter >= 0) || math.IsInf(c.MaxRetryAfter, 0) {
		errs = append(errs, fmt.Errorf("%w: max_retry_after_ms: %v is not a valid duration", ErrConfig, c.MaxRetryAfter))
	}
	for name, l := range c.Fronts {
		errs = append(errs, checkLimit("fronts."+name, l))
	}
	for name, l := range c.Classes {
		errs = append(errs, checkLimit("classes."+name, l))
	}
	tenants := map[string]Tenant{"other_tenants": c.OtherTenants}
	for name, t := range c.Tenants {
		tenants["tenants."+name] = t
	}
	for key, t := range tenants {
		errs = append(errs, checkLimit(key, t.Limit))
		if !(t.Share >= 0) || math.IsInf(t.Share, 0) {
			errs = append(errs, fmt.Errorf("%w: %s.share: %v is not a valid share", ErrConfig, key, t.Share))
		}
	}
	for i, r := range c.Addresses {
		key := fmt.Sprintf("addresses[%d]", i)
		errs = append(errs, checkLimit(key, r.Limit))
		if len(r.CIDR) == 0 {
			errs = append(errs, fmt.Errorf("%w: %s.cidr is missing", ErrConfig, key))
		}
	}
	return errors.Join(errs...)
}

func (r Range) ipSet() (*netipx.IPSet, error) {
	var builder netipx.IPSetBuilder
	for i, text := range r.CIDR {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, fmt.Errorf("cidr[%d]: %w", i, err)
		}
		builder.AddPrefix(prefix.Masked())
	}
	return builder.IPSet()
}
