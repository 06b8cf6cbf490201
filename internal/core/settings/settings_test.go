package settings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/settings"
)

const valid = `host = "entry-1"
region = "montevideo"
domain = "centro"
peer-address = "127.0.0.1:7001"
caller-address = "127.0.0.1:8001"
operator-address = "127.0.0.1:9001"
platform-address = "127.0.0.1:9900"
[tls]
certificate = "cert.pem"
key = "key.pem"
authority = "ca.pem"
`

// Guards against accepting invalid settings, and against an error that does not state the line, the key and what was
// expected.
func TestParseErrors(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "host =", "hosst =", "s.toml:1: hosst: unknown key"},
		{"bad address", "127.0.0.1:8001", "localhost:8001", "s.toml:5: caller-address: "},
		{"no port", "127.0.0.1:8001", "127.0.0.1:0", "s.toml:5: caller-address: expected an IP address and a port"},
		{"missing address", "peer-address = \"127.0.0.1:7001\"\n", "", "s.toml: peer-address: expected an IP address"},
		{"duration without a unit", "[tls]", "stop-timeout = \"30\"\n[tls]", "s.toml:8: stop-timeout: expected a duration with a unit"},
		{"number out of range", "[tls]", "peer-count = 99\n[tls]", "s.toml:8: peer-count: expected a number from 1 to 32"},
		{"empty certificate", "cert.pem", "", "s.toml:9: tls.certificate: expected a text"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse("s.toml", []byte(strings.Replace(valid, test.old, test.replacement, 1)))
			is.True(err != nil) // invalid settings are rejected
			if !strings.HasPrefix(err.Error(), test.want) {
				t.Fatalf("got %q, want prefix %q", err, test.want)
			}
		})
	}
}

// Guards against a valid file for which optional settings do not get their defaults.
func TestParseDefaults(t *testing.T) {
	is := is.New(t)
	got, err := settings.Parse("s.toml", []byte(valid))
	is.NoErr(err)
	is.Equal(got.StopTimeout, settings.DefaultStopTimeout)
	is.Equal(got.PeerCount, settings.DefaultPeerCount)
	is.Equal(got.Host.PeerAddress.String(), "127.0.0.1:7001")
}
