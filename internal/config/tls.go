package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// tlsFiles are PEM files, read at the start, that secure one kind of connection.
type tlsFiles struct {
	CA          string `toml:"ca"`          // whose certificates the other side may show
	Certificate string `toml:"certificate"` // what this side shows
	Key         string `toml:"key"`
	ServerName  string `toml:"server_name"` // which the other side's certificate must name, in place of its address
}

// server gives the credentials of a listener. With a CA, clients must show a
// certificate. Without files, connections are in plain text.
func (f *tlsFiles) server(key string) (credentials.TransportCredentials, error) {
	if f == nil {
		return insecure.NewCredentials(), nil
	}
	if f.Certificate == "" {
		return nil, fmt.Errorf("config: %s.certificate is missing", key)
	}
	if f.ServerName != "" {
		return nil, fmt.Errorf("config: %s.server_name: a listener has none", key)
	}
	cfg, pool, err := f.load(key)
	if err != nil {
		return nil, err
	}
	if pool != nil {
		cfg.ClientCAs, cfg.ClientAuth = pool, tls.RequireAndVerifyClientCert
	}
	return credentials.NewTLS(cfg), nil
}

// client gives the credentials of connections to others. Without a CA, the
// system's roots are trusted.
func (f *tlsFiles) client(key string) (credentials.TransportCredentials, error) {
	if f == nil {
		return insecure.NewCredentials(), nil
	}
	cfg, pool, err := f.load(key)
	if err != nil {
		return nil, err
	}
	cfg.RootCAs, cfg.ServerName = pool, f.ServerName
	return credentials.NewTLS(cfg), nil
}

func (f *tlsFiles) load(key string) (*tls.Config, *x509.CertPool, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if (f.Certificate == "") != (f.Key == "") {
		return nil, nil, fmt.Errorf("config: %s.certificate and %[1]s.key: one is missing", key)
	}
	if f.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
		if err != nil {
			return nil, nil, fmt.Errorf("config: %s.certificate, %[1]s.key: %w", key, err)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	if f.CA == "" {
		return cfg, nil, nil
	}
	pem, err := os.ReadFile(f.CA)
	pool := x509.NewCertPool()
	if err == nil && !pool.AppendCertsFromPEM(pem) {
		err = errors.New("no certificate in it")
	}
	if err != nil {
		return nil, nil, fmt.Errorf("config: %s.ca: %w", key, err)
	}
	return cfg, pool, nil
}
