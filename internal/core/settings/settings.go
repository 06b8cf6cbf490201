// Package settings reads the settings file of a daemon. The file contains what differs between daemons, such as addresses
// and the failure domain. What is the same for all daemons is in the configuration; see package document.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/tomlfile"
)

// Settings contains the validated settings of one daemon.
type Settings struct {
	Host fleet.Host
	// CallerAddress is the TCP address at which the daemon accepts HTTP requests of callers.
	CallerAddress netip.AddrPort
	// OperatorAddress is the TCP address of the operator API and of the metrics.
	OperatorAddress netip.AddrPort
	TLS             TLS
	// PlatformAddress is the address of the platform's table service, object store and host list.
	PlatformAddress netip.AddrPort
	// StopTimeout is the maximum duration of a graceful stop.
	StopTimeout time.Duration
	// BalancerGrace is how long the load balancer may take to notice that the daemon is not ready.
	BalancerGrace time.Duration
	// PeerCount is the number of peers to which the daemon keeps connections.
	PeerCount int
	LogLevel  string
}

// TLS contains the paths of the certificate, of its private key, and of the certificates of the authorities that sign peers
// and operators.
type TLS struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// settingsFile is the content of the settings file.
type settingsFile struct {
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

// Load reads and validates the settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	return Parse(path, text)
}

// Parse parses and validates settings. The error states the file, the line, the key and what was expected.
func Parse(name string, text []byte) (*Settings, error) {
	raw := settingsFile{
		StopTimeout:   tomlfile.Duration(DefaultStopTimeout),
		BalancerGrace: tomlfile.Duration(DefaultBalancerGrace),
		PeerCount:     DefaultPeerCount,
		LogLevel:      DefaultLogLevel,
	}
	if err := tomlfile.Decode(name, text, &raw); err != nil {
		return nil, err
	}
	if invalid := raw.validate(name, text); invalid != nil {
		return nil, invalid
	}
	return raw.settings(), nil
}

func (f *settingsFile) settings() *Settings {
	locality := fleet.Locality{Region: fleet.Region(f.Region), Domain: fleet.FailureDomain(f.Domain)}
	return &Settings{
		Host:            fleet.Host{ID: fleet.HostID(f.Host), Locality: locality, PeerAddress: f.Peer},
		CallerAddress:   f.Callers,
		OperatorAddress: f.Operators,
		TLS:             TLS{CertificateFile: f.TLS.Certificate, KeyFile: f.TLS.Key, AuthorityFile: f.TLS.Authority},
		PlatformAddress: f.Platform,
		StopTimeout:     time.Duration(f.StopTimeout),
		BalancerGrace:   time.Duration(f.BalancerGrace),
		PeerCount:       f.PeerCount,
		LogLevel:        f.LogLevel,
	}
}

// validate returns an error for the first invalid value, or nil.
func (f *settingsFile) validate(name string, text []byte) error {
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
