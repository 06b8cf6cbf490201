// Package certificates loads the certificate, key and authorities named in the settings and replaces them while the
// daemon runs. It gives TLS configurations to the edges; none of them reads files of its own.
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

// reloadInterval is how often the files are read again; a replacement takes effect within that time.
const reloadInterval = 10 * time.Second

// Store holds the certificate in use. Load has to succeed before the configurations are used.
type Store struct {
	Files settings.TLS
	Timer timer.Clock
	Log   zerolog.Logger

	mu sync.RWMutex
	// current is guarded by mu. A set of files that cannot be used never replaces it.
	current material
}

// material is the content of one consistent set of files.
type material struct {
	raw         []byte
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files and takes them into use if they are valid.
func (s *Store) Load() error {
	loaded, err := read(s.Files)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = *loaded
	return nil
}

// Run takes replaced files into use until ctx ends.
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

func (s *Store) reload() {
	loaded, err := read(s.Files)
	if err != nil {
		s.Log.Error().Err(err).Str("event", "certificate-rejected").Msg("keeping the certificate in use")
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

func read(files settings.TLS) (*material, error) {
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

func (s *Store) get() material {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// Certificate returns the certificate in use.
func (s *Store) Certificate() *tls.Certificate {
	return s.get().certificate
}

// Authorities returns the authorities in use.
func (s *Store) Authorities() *x509.CertPool {
	return s.get().authorities
}

// Server returns a configuration that asks every client for a certificate signed by one of the authorities.
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

// Client returns a configuration that presents the certificate and accepts servers whose certificate is signed by one
// of the authorities for the name in ServerName. It reflects the files at the time of the call.
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

// Peer returns a configuration for connections between daemons, which are both client and server of each other.
func (s *Store) PeerConfig() *tls.Config {
	config := s.ClientConfig()
	config.ClientCAs = config.RootCAs
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return s.get().certificate, nil
	}
	return config
}
