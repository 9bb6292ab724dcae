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

// Operator is what an operator's file adds to the platform's configuration: the gRPC front
// (off without a file), admission limits and logging.
type Operator struct {
	GRPC   *GRPC
	Log    Log
	Limits limits.Config // admission limits, which each front applies on its own
}

// GRPC configures the gRPC front. Its engines come from a static list or over xDS.
type GRPC struct {
	Listen            string
	Credentials       credentials.TransportCredentials // towards clients
	Engines           []ashwood.Server
	EngineCredentials credentials.TransportCredentials // towards engines
	XDS               *xds.Config
}

// LoadOperator reads the file that ASHWOOD_OPERATOR names, if it is set, and checks it against
// the platform's configuration.
func LoadOperator(getenv func(string) string, c Config) (Operator, error) {
	log, err := logFromEnv(getenv)
	if err != nil {
		return Operator{}, err
	}
	path := getenv("ASHWOOD_OPERATOR")
	if path == "" {
		return Operator{Log: log}, nil
	}
	var input struct {
		Log struct {
			Level string `toml:"level"`
			Form  string `toml:"form"`
		} `toml:"log"`
		Limits limits.Config `toml:"limits"`
		GRPC   *struct {
			Listen  string `toml:"listen"`
			Engines []struct {
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
			TLS       *tlsFiles `toml:"tls"`
			EngineTLS *tlsFiles `toml:"box_tls"`
		} `toml:"grpc"`
	}
	metadata, err := toml.DecodeFile(path, &input)
	if err != nil {
		return Operator{}, fmt.Errorf("config: ASHWOOD_OPERATOR: %w", err)
	}
	if extra := metadata.Undecoded(); len(extra) > 0 {
		return Operator{}, fmt.Errorf("config: %s: unknown key", extra[0])
	}
	if err := log.applyTable(input.Log.Level, input.Log.Form); err != nil {
		return Operator{}, err
	}
	if _, err := limits.New(input.Limits); err != nil {
		return Operator{}, fmt.Errorf("config: limits: %w", err)
	}
	if input.GRPC == nil {
		return Operator{Log: log, Limits: input.Limits}, nil
	}
	grpcFront := &GRPC{Listen: input.GRPC.Listen}
	if err := checkAddress("grpc.listen", grpcFront.Listen); err != nil {
		return Operator{}, err
	}
	if grpcFront.Credentials, err = input.GRPC.TLS.serverCredentials("grpc.tls"); err != nil {
		return Operator{}, err
	}
	if grpcFront.EngineCredentials, err = input.GRPC.EngineTLS.clientCredentials("grpc.box_tls"); err != nil {
		return Operator{}, err
	}
	if (len(input.GRPC.Engines) > 0) == (input.GRPC.XDS != nil) {
		return Operator{}, errors.New("config: grpc.boxes and grpc.xds: exactly one of the two must be set")
	}
	for i, engine := range input.GRPC.Engines {
		keyOf := func(key string) string { return fmt.Sprintf("grpc.boxes[%d].%s", i, key) }
		if engine.ID == "" {
			return Operator{}, fmt.Errorf("config: %s is missing", keyOf("id"))
		}
		if err := checkAddress(keyOf("address"), engine.Address); err != nil {
			return Operator{}, err
		}
		if !slices.ContainsFunc(c.Settings.Kinds, func(k ashwood.Kind) bool { return k.Name == engine.Kind }) {
			return Operator{}, fmt.Errorf("config: %s: unknown value %q", keyOf("kind"), engine.Kind)
		}
		if engine.Weight == 0 {
			engine.Weight = 1
		}
		grpcFront.Engines = append(grpcFront.Engines, ashwood.Server{
			ID: ashwood.ServerID(engine.ID), Address: engine.Address, Kind: engine.Kind, Zone: engine.Zone, Cell: engine.Cell,
			Weight: engine.Weight, State: ashwood.StateActive,
		})
	}
	if xdsInput := input.GRPC.XDS; xdsInput != nil {
		if err := checkAddress("grpc.xds.server", xdsInput.Server); err != nil {
			return Operator{}, err
		}
		if xdsInput.Credentials, err = xdsInput.TLS.clientCredentials("grpc.xds.tls"); err != nil {
			return Operator{}, err
		}
		grpcFront.XDS = &xdsInput.Config
		if xdsInput.Node == "" {
			xdsInput.Node = c.Name
		}
	}
	return Operator{GRPC: grpcFront, Log: log, Limits: input.Limits}, nil
}

// checkAddress checks that a key's value is a host:port.
func checkAddress(key, value string) error {
	if value == "" {
		return fmt.Errorf("config: %s is missing", key)
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("config: %s: %w", key, err)
	}
	return nil
}
