// Package settings reads the settings file of a daemon. A daemon knows its own address and failure domain only from
// there; everything that is the same for all daemons is configuration and lives in package document.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/tomlfile"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	Host fleet.Host
	// Callers is the TCP address on which HTTP requests of callers are accepted.
	Callers netip.AddrPort
	// Operators is the TCP address of the operator API and of the metrics.
	Operators netip.AddrPort
	TLS       TLS
	// Platform is the address of the platform's table service, object store and host list.
	Platform netip.AddrPort
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// BalancerGrace is how long the balancer may take to see that the daemon is not ready.
	BalancerGrace time.Duration
	// PeerCount is the number of peers to which the daemon keeps connections.
	PeerCount int
	LogLevel  string
}

// TLS names the files of the certificate, its private key and the authorities that sign peers and operators.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

type file struct {
	Host          string            `toml:"host"`
	Region        string            `toml:"region"`
	Domain        string            `toml:"domain"`
	Peer          netip.AddrPort    `toml:"peer-address"`
	Callers       netip.AddrPort    `toml:"caller-address"`
	Operators     netip.AddrPort    `toml:"operator-address"`
	Platform      netip.AddrPort    `toml:"platform-address"`
	StopTimeout   tomlfile.Duration `toml:"stop-timeout"`
	BalancerGrace tomlfile.Duration `toml:"balancer-grace"`
	PeerCount     int               `toml:"peer-count"`
	LogLevel      string            `toml:"log-level"`
	TLS           struct {
		Certificate string `toml:"certificate"`
		Key         string `toml:"key"`
		Authority   string `toml:"authority"`
	} `toml:"tls"`
}

// Defaults of the settings that may be left out.
const (
	DefaultStopTimeout   = 30 * time.Second
	DefaultBalancerGrace = 3 * time.Second
	DefaultPeerCount     = 6
	DefaultLogLevel      = "info"

	maxStopTimeout = 10 * time.Minute
	maxPeerCount   = 32
)

// Load reads and checks the settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse reads settings from text. The error names file, line, key and what was expected.
func Parse(name string, text []byte) (*Settings, error) {
	raw := file{
		StopTimeout:   tomlfile.Duration(DefaultStopTimeout),
		BalancerGrace: tomlfile.Duration(DefaultBalancerGrace),
		PeerCount:     DefaultPeerCount,
		LogLevel:      DefaultLogLevel,
	}
	if err := tomlfile.Decode(name, text, &raw); err != nil {
		return nil, err
	}
	if problem := raw.check(name, text); problem != nil {
		return nil, problem
	}
	return raw.settings(), nil
}

func (f *file) settings() *Settings {
	place := fleet.Locality{Region: fleet.Region(f.Region), Domain: fleet.FailureDomain(f.Domain)}
	return &Settings{
		Host:          fleet.Host{ID: fleet.HostID(f.Host), Locality: place, Peer: f.Peer},
		Callers:       f.Callers,
		Operators:     f.Operators,
		TLS:           TLS{Certificate: f.TLS.Certificate, Key: f.TLS.Key, Authority: f.TLS.Authority},
		Platform:      f.Platform,
		StopTimeout:   time.Duration(f.StopTimeout),
		BalancerGrace: time.Duration(f.BalancerGrace),
		PeerCount:     f.PeerCount,
		LogLevel:      f.LogLevel,
	}
}

func (f *file) check(name string, text []byte) error {
	for _, required := range []struct{ key, value string }{
		{"host", f.Host},
		{"region", f.Region},
		{"domain", f.Domain},
		{"tls.certificate", f.TLS.Certificate},
		{"tls.key", f.TLS.Key},
		{"tls.authority", f.TLS.Authority},
	} {
		if required.value == "" {
			return tomlfile.Invalid(name, text, required.key, "expected a text, but it is missing or empty")
		}
	}
	for _, address := range []struct {
		key   string
		value netip.AddrPort
	}{
		{"peer-address", f.Peer},
		{"caller-address", f.Callers},
		{"operator-address", f.Operators},
		{"platform-address", f.Platform},
	} {
		if !address.value.IsValid() || address.value.Port() == 0 {
			return tomlfile.Invalid(name, text, address.key, "expected an IP address and a port such as \"10.0.0.7:8080\"")
		}
	}
	if f.StopTimeout <= 0 || time.Duration(f.StopTimeout) > maxStopTimeout {
		return tomlfile.Invalid(name, text, "stop-timeout", "expected a duration above 0s and up to 10m")
	}
	if f.BalancerGrace < 0 || f.BalancerGrace > f.StopTimeout {
		return tomlfile.Invalid(name, text, "balancer-grace", "expected a duration from 0s up to stop-timeout")
	}
	if f.PeerCount < 1 || f.PeerCount > maxPeerCount {
		return tomlfile.Invalid(name, text, "peer-count", "expected a number from 1 to 32")
	}
	switch f.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	}
	return tomlfile.Invalid(name, text, "log-level", "expected \"debug\", \"info\", \"warn\" or \"error\"")
}
