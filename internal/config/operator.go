package config

import (
	"errors"
	"fmt"
	"net"
	"slices"

	"github.com/BurntSushi/toml"
	"google.golang.org/grpc/credentials"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/xds"
	"ashwood.example/ashwood/limits"
)

// Operator is what an operator's file adds to the platform's configuration:
// the gRPC front, which is off without one, what is let in, and how to log.
type Operator struct {
	GRPC   *GRPC
	Log    Log
	Limits limits.Config // of what each front's house lets in
}

// GRPC sets up the gRPC front. Its boxes come from a list or over xDS.
type GRPC struct {
	Listen         string
	Credentials    credentials.TransportCredentials // shown to clients
	Boxes          []ashwood.Server
	BoxCredentials credentials.TransportCredentials // shown to boxes
	XDS            *xds.Config
}

// LoadOperator reads the file that ASHWOOD_OPERATOR names, if it does.
func LoadOperator(getenv func(string) string, c Config) (Operator, error) {
	log, err := envLog(getenv)
	if err != nil {
		return Operator{}, err
	}
	path := getenv("ASHWOOD_OPERATOR")
	if path == "" {
		return Operator{Log: log}, nil
	}
	var in struct {
		Log struct {
			Level string `toml:"level"`
			Form  string `toml:"form"`
		} `toml:"log"`
		Limits limits.Config `toml:"limits"`
		GRPC   *struct {
			Listen string `toml:"listen"`
			Boxes  []struct {
				ID      string  `toml:"id"`
				Address string  `toml:"address"`
				Kind    string  `toml:"kind"`
				Zone    string  `toml:"zone"`
				Cell    int     `toml:"cell"`
				Weight  float64 `toml:"weight"`
			} `toml:"boxes"`
			XDS *struct {
				xds.Config
				TLS *tlsFiles `toml:"tls"`
			} `toml:"xds"`
			TLS    *tlsFiles `toml:"tls"`
			BoxTLS *tlsFiles `toml:"box_tls"`
		} `toml:"grpc"`
	}
	md, err := toml.DecodeFile(path, &in)
	if err != nil {
		return Operator{}, fmt.Errorf("config: ASHWOOD_OPERATOR: %w", err)
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return Operator{}, fmt.Errorf("config: %s: unknown key", extra[0])
	}
	if err := log.set(in.Log.Level, in.Log.Form); err != nil {
		return Operator{}, err
	}
	if _, err := limits.New(in.Limits); err != nil {
		return Operator{}, fmt.Errorf("config: limits: %w", err)
	}
	if in.GRPC == nil {
		return Operator{Log: log, Limits: in.Limits}, nil
	}
	g := &GRPC{Listen: in.GRPC.Listen}
	if err := address("grpc.listen", g.Listen); err != nil {
		return Operator{}, err
	}
	if g.Credentials, err = in.GRPC.TLS.server("grpc.tls"); err != nil {
		return Operator{}, err
	}
	if g.BoxCredentials, err = in.GRPC.BoxTLS.client("grpc.box_tls"); err != nil {
		return Operator{}, err
	}
	if (len(in.GRPC.Boxes) > 0) == (in.GRPC.XDS != nil) {
		return Operator{}, errors.New("config: grpc.boxes and grpc.xds: one of the two is wanted")
	}
	for i, b := range in.GRPC.Boxes {
		at := func(key string) string { return fmt.Sprintf("grpc.boxes[%d].%s", i, key) }
		if b.ID == "" {
			return Operator{}, fmt.Errorf("config: %s is missing", at("id"))
		}
		if err := address(at("address"), b.Address); err != nil {
			return Operator{}, err
		}
		if !slices.ContainsFunc(c.Settings.Kinds, func(k ashwood.Kind) bool { return k.Name == b.Kind }) {
			return Operator{}, fmt.Errorf("config: %s: unknown value %q", at("kind"), b.Kind)
		}
		if b.Weight == 0 {
			b.Weight = 1
		}
		g.Boxes = append(g.Boxes, ashwood.Server{
			ID: ashwood.ServerID(b.ID), Address: b.Address, Kind: b.Kind, Zone: b.Zone, Cell: b.Cell,
			Weight: b.Weight, State: ashwood.StateActive,
		})
	}
	if x := in.GRPC.XDS; x != nil {
		if err := address("grpc.xds.server", x.Server); err != nil {
			return Operator{}, err
		}
		if x.Credentials, err = x.TLS.client("grpc.xds.tls"); err != nil {
			return Operator{}, err
		}
		g.XDS = &x.Config
		if x.Node == "" {
			x.Node = c.Name
		}
	}
	return Operator{GRPC: g, Log: log, Limits: in.Limits}, nil
}

// address checks a host:port.
func address(key, value string) error {
	if value == "" {
		return fmt.Errorf("config: %s is missing", key)
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("config: %s: %w", key, err)
	}
	return nil
}
