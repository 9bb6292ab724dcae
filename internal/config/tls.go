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

// tlsFiles names the PEM files, read at startup, for one kind of connection.
type tlsFiles struct {
	CA          string `toml:"ca"`          // signs the certificates that are accepted from the peer
	Certificate string `toml:"certificate"` // presented by this side
	Key         string `toml:"key"`
	ServerName  string `toml:"server_name"` // expected in the peer's certificate instead of its address
}

// serverCredentials returns the credentials of a listener. With a CA, clients must present a
// certificate. Without files, connections are in plain text.
func (f *tlsFiles) serverCredentials(key string) (credentials.TransportCredentials, error) {
	if f == nil {
		return insecure.NewCredentials(), nil
	}
	if f.Certificate == "" {
		return nil, fmt.Errorf("config: %s.certificate is missing", key)
	}
	if f.ServerName != "" {
		return nil, fmt.Errorf("config: %s.server_name: not allowed for a listener", key)
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

// clientCredentials returns the credentials of outgoing connections. Without a CA, the system's
// root certificates are trusted.
func (f *tlsFiles) clientCredentials(key string) (credentials.TransportCredentials, error) {
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

// load reads the certificate, if one is set, and the CA's certificates; the pool is nil without
// a CA.
func (f *tlsFiles) load(key string) (*tls.Config, *x509.CertPool, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if (f.Certificate == "") != (f.Key == "") {
		return nil, nil, fmt.Errorf("config: %s.certificate and %[1]s.key: one is set without the other", key)
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
		err = errors.New("the file holds no certificate")
	}
	if err != nil {
		return nil, nil, fmt.Errorf("config: %s.ca: %w", key, err)
	}
	return cfg, pool, nil
}
