// Package config is the one place where the program's configuration is read,
// checked and given its defaults. Errors name the faulty key.
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

// Defaults of what a deployment may leave out.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 64
	minMemoryMB     = 32
)

// Limits are what the gateway's machine allows it.
type Limits struct {
	Cores    float64
	MemoryMB float64
	Sockets  int
}

// Config is all that a gateway is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Mgmt      string // where operators ask; none = off
	Seed      int64
	Limits    Limits
	Known     wire.Targets // the list as this gateway last had it
	Settings  ashwood.Settings
}

// Load reads the platform's configuration: the file that ROUTER_CONFIG names,
// with ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_MGMT for what it leaves out.
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
	var in struct {
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
	if err := json.Unmarshal(raw, &in); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return Config{}, fmt.Errorf("config: %s: %s in place of %s", wrong.Field, wrong.Value, wrong.Type)
		}
		return Config{}, fmt.Errorf("config: %w", err)
	}
	c := Config{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery, Mgmt: in.Mgmt}
	for _, f := range []struct {
		key, env string
		value    *string
	}{
		{"name", "ROUTER_NAME", &c.Name}, {"listen", "ROUTER_LISTEN", &c.Listen},
		{"discovery", "ROUTER_DISCOVERY", &c.Discovery}, {"mgmt", "ROUTER_MGMT", &c.Mgmt},
	} {
		if *f.value == "" {
			*f.value = getenv(f.env)
		}
	}
	if c.Name == "" {
		return Config{}, errors.New("config: name is missing")
	}
	if err := errors.Join(address("listen", c.Listen), address("discovery", c.Discovery)); err != nil {
		return Config{}, err
	}
	if c.Mgmt != "" {
		if err := address("mgmt", c.Mgmt); err != nil {
			return Config{}, err
		}
	}
	if in.Seed != "" {
		seed, err := strconv.ParseUint(in.Seed, 16, 64)
		if err != nil {
			return Config{}, fmt.Errorf("config: seed: %q is no hexadecimal number of 64 bits", in.Seed)
		}
		c.Seed = int64(seed)
	}
	var err error
	if c.Limits, err = machine(in.Limits.Cores, in.Limits.MemoryMB, in.Limits.Sockets); err != nil {
		return Config{}, err
	}
	if len(in.Known) > 0 && string(in.Known) != "null" {
		if c.Known, err = wire.DecodeTargets(in.Known); err != nil {
			return Config{}, fmt.Errorf("config: known: %w", err)
		}
	}
	if len(in.Settings) == 0 {
		return Config{}, errors.New("config: settings is missing")
	}
	if c.Settings, err = wire.DecodeSettings(in.Settings); err != nil {
		return Config{}, fmt.Errorf("config: settings: %w", err)
	}
	return c, nil
}

func machine(cores, memory *float64, sockets *int) (Limits, error) {
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
		return l, fmt.Errorf("config: limits.cores: %v is not above zero", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return l, fmt.Errorf("config: limits.memory_mb: %v is under %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return l, fmt.Errorf("config: limits.sockets: %d is under %d", l.Sockets, minSockets)
	}
	return l, nil
}
