// Package config reads the program's configuration, checks it and applies defaults: the
// platform's JSON file and an operator's TOML file. Errors name the faulty key. The settings and
// the known membership are decoded by package wire.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/wire"
)

// Defaults and minimums of the machine's limits.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 64
	minMemoryMB     = 32
)

// Limits are the resources that the machine allows the gateway.
type Limits struct {
	Cores    float64
	MemoryMB float64
	Sockets  int
}

// Config is the platform's configuration of a gateway.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	AdminAddress    string // of the admin server; "" = off
	Seed            int64
	Limits          Limits
	KnownMembership wire.Targets // as this gateway last had it
	Settings        ashwood.Settings
}

// Load reads the platform's configuration: the file that ROUTER_CONFIG names,
// with ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_MGMT for keys that it omits.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("config: ROUTER_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("config: ROUTER_CONFIG: %w", err)
	}
	return parse(raw, getenv)
}

func parse(raw []byte, getenv func(string) string) (Config, error) {
	var input struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Mgmt      string `json:"mgmt"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    *float64 `json:"cores"`
			MemoryMB *float64 `json:"memory_mb"`
			Sockets  *int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &input); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return Config{}, fmt.Errorf("config: %s: got %s, want %s", typeErr.Field, typeErr.Value, typeErr.Type)
		}
		return Config{}, fmt.Errorf("config: %w", err)
	}
	c := Config{Name: input.Name, Listen: input.Listen, Discovery: input.Discovery, AdminAddress: input.Mgmt}
	for _, field := range []struct {
		key, env string
		value    *string
	}{
		{"name", "ROUTER_NAME", &c.Name}, {"listen", "ROUTER_LISTEN", &c.Listen},
		{"discovery", "ROUTER_DISCOVERY", &c.Discovery}, {"mgmt", "ROUTER_MGMT", &c.AdminAddress},
	} {
		if *field.value == "" {
			*field.value = getenv(field.env)
		}
	}
	if c.Name == "" {
		return Config{}, errors.New("config: name is missing")
	}
	if err := errors.Join(checkAddress("listen", c.Listen), checkAddress("discovery", c.Discovery)); err != nil {
		return Config{}, err
	}
	if c.AdminAddress != "" {
		if err := checkAddress("mgmt", c.AdminAddress); err != nil {
			return Config{}, err
		}
	}
	if input.Seed != "" {
		seed, err := strconv.ParseUint(input.Seed, 16, 64)
		if err != nil {
			return Config{}, fmt.Errorf("config: seed: %q is not a hexadecimal number of 64 bits", input.Seed)
		}
		c.Seed = int64(seed)
	}
	var err error
	if c.Limits, err = machineLimits(input.Limits.Cores, input.Limits.MemoryMB, input.Limits.Sockets); err != nil {
		return Config{}, err
	}
	if len(input.Known) > 0 && string(input.Known) != "null" {
		if c.KnownMembership, err = wire.DecodeTargets(input.Known); err != nil {
			return Config{}, fmt.Errorf("config: known: %w", err)
		}
	}
	if len(input.Settings) == 0 {
		return Config{}, errors.New("config: settings is missing")
	}
	if c.Settings, err = wire.DecodeSettings(input.Settings); err != nil {
		return Config{}, fmt.Errorf("config: settings: %w", err)
	}
	return c, nil
}

// machineLimits applies the defaults to the limits that are set and checks them.
func machineLimits(cores, memory *float64, sockets *int) (Limits, error) {
	l := Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}
	if cores != nil {
		l.Cores = *cores
	}
	if memory != nil {
		l.MemoryMB = *memory
	}
	if sockets != nil {
		l.Sockets = *sockets
	}
	switch {
	case l.Cores <= 0 || math.IsInf(l.Cores, 0):
		return l, fmt.Errorf("config: limits.cores: %v is not a finite number above zero", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return l, fmt.Errorf("config: limits.memory_mb: %v is below the minimum of %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return l, fmt.Errorf("config: limits.sockets: %d is below the minimum of %d", l.Sockets, minSockets)
	}
	return l, nil
}
