// Package certificates loads the certificate, key and authorities named in the settings, reloads them while the daemon runs,
// and supplies the TLS configurations of all connections. No other package reads these files.
package certificates

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/settings"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// ErrInvalid means that the files hold no usable certificate, key or authority.
var ErrInvalid = errors.New("certificates: files are not usable")

// reloadInterval is how often the files are reloaded. Replaced files take effect within that time.
const reloadInterval = 10 * time.Second

// Store holds the certificate in use. Load must succeed before the TLS configurations are used.
type Store struct {
	Files settings.TLS
	Timer timer.Clock
	Log   zerolog.Logger

	mu sync.RWMutex
	// current is guarded by mu. Unusable files never replace it.
	current material
}

// material is the content of one valid set of files. raw holds the bytes by which a replacement is detected.
type material struct {
	raw         []byte
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files and uses them if they are valid.
func (s *Store) Load() error {
	loaded, err := readMaterial(s.Files)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = *loaded
	return nil
}

// Run reloads the files at intervals until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	ticks := s.Timer.Every(reloadInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			s.reload()
		}
	}
}

// reload reads the files and replaces the material in use if they are valid and differ.
func (s *Store) reload() {
	loaded, err := readMaterial(s.Files)
	if err != nil {
		s.Log.Error().Err(err).Str("event", "certificate-rejected").Msg("reload certificate files: keeping the certificate in use")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(loaded.raw, s.current.raw) {
		return
	}
	s.current = *loaded
	s.Log.Info().Str("event", "certificate-replaced").Time("expires", loaded.certificate.Leaf.NotAfter).Msg("")
}

// readMaterial reads one set of files. The error of files that cannot be used is marked with ErrInvalid.
func readMaterial(files settings.TLS) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "load %s and %s", files.CertificateFile, files.KeyFile), ErrInvalid)
	}
	authority, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "read %s", files.AuthorityFile), ErrInvalid)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Mark(errors.Newf("%s holds no certificate in PEM form", files.AuthorityFile), ErrInvalid)
	}
	raw := append(bytes.Clone(authority), certificate.Certificate[0]...)
	return &material{raw: raw, certificate: &certificate, authorities: pool}, nil
}

// get returns the material in use.
func (s *Store) get() material {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// Certificate returns the certificate in use.
func (s *Store) Certificate() *tls.Certificate {
	return s.get().certificate
}

// Authorities returns the certificate authorities in use.
func (s *Store) Authorities() *x509.CertPool {
	return s.get().authorities
}

// ServerConfig returns a configuration that requires a client certificate signed by one of the authorities. It uses reloaded
// files for each new connection.
func (s *Store) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.get()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authorities,
				NextProtos:   protocols,
			}, nil
		},
	}
}

// ClientConfig returns a configuration that presents the certificate in use and accepts servers whose certificate is signed by
// one of the authorities for the name in ServerName. The authorities are those at the time of the call.
func (s *Store) ClientConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.get().certificate, nil
		},
		RootCAs:    s.get().authorities,
		NextProtos: protocols,
	}
}

// PeerConfig returns a configuration for connections between daemons, which act both as client and as server.
func (s *Store) PeerConfig() *tls.Config {
	config := s.ClientConfig()
	config.ClientCAs = config.RootCAs
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return s.get().certificate, nil
	}
	return config
}
