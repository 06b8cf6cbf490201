package document

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/tomlfile"
)

// Limits and defaults of a service's values.
const (
	MaxPartitions      = 65536
	defaultPartitions  = 4096
	defaultAuthority   = 30 * time.Second
	defaultTimeout     = 2 * time.Second
	defaultTarget      = 500 * time.Millisecond
	defaultSlots       = 6
	defaultConnections = 130
	defaultQueueLimit  = 64
	maxTimeout         = 10 * time.Minute
	// minAuthority leaves enough time for two renewals that fail.
	minAuthority   = 2 * time.Second
	maxSlots       = 4096
	maxConnections = 65536
)

// fileDocument and the other file types are the TOML form of a document, before it is checked.
type fileDocument struct {
	Services []fileService `toml:"services"`
	Tenants  []fileTenant  `toml:"tenants"`
	Pins     []filePin     `toml:"pins"`
}

type fileService struct {
	Name        string            `toml:"name"`
	Key         keyText           `toml:"key"`
	Partitions  int               `toml:"partitions"`
	Guard       guardText         `toml:"guard"`
	Authority   tomlfile.Duration `toml:"authority"`
	Timeout     tomlfile.Duration `toml:"timeout"`
	Target      tomlfile.Duration `toml:"target"`
	Slots       int               `toml:"slots"`
	Connections int               `toml:"connections"`
	QueueLimit  int               `toml:"queue-limit"`
	Upstreams   []fileUpstream    `toml:"upstreams"`
	Routes      []fileRoute       `toml:"routes"`
}

type fileUpstream struct {
	ID      string         `toml:"id"`
	Address netip.AddrPort `toml:"address"`
	Region  string         `toml:"region"`
	Domain  string         `toml:"domain"`
	Drained bool           `toml:"drained"`
}

type fileRoute struct {
	Method   string       `toml:"method"`
	Path     string       `toml:"path"`
	Delivery deliveryText `toml:"delivery"`
}

type fileTenant struct {
	Name  string `toml:"name"`
	Share int    `toml:"share"`
}

type filePin struct {
	Service  string `toml:"service"`
	Key      string `toml:"key"`
	Upstream string `toml:"upstream"`
}

// keyText is the TOML form of a KeySource.
type keyText struct{ source KeySource }

// UnmarshalText parses "header:NAME", "path:N" or "query:NAME".
func (k *keyText) UnmarshalText(text []byte) error {
	kind, rest, _ := strings.Cut(string(text), ":")
	switch kind {
	case "header":
		if rest != "" {
			k.source = KeyHeader{Name: rest}
			return nil
		}
	case "query":
		if rest != "" {
			k.source = KeyQuery{Name: rest}
			return nil
		}
	case "path":
		if segment, err := strconv.Atoi(rest); err == nil && segment > 0 {
			k.source = KeyPath{Segment: segment}
			return nil
		}
	}
	return errors.Newf("expected \"header:NAME\", \"path:N\" (N from 1) or \"query:NAME\", not %q", text)
}

// guardText is the TOML form of a fleet.Guard. It is a struct because the TOML library assigns string types without calling
// UnmarshalText.
type guardText struct{ guard fleet.Guard }

// UnmarshalText parses the name of a guard.
func (g *guardText) UnmarshalText(text []byte) error {
	switch value := fleet.Guard(text); value {
	case fleet.GuardFenced, fleet.GuardNone:
		g.guard = value
		return nil
	}
	return errors.Newf("expected \"fenced\" or \"none\", not %q", text)
}

// deliveryText is the TOML form of a Delivery.
type deliveryText struct{ delivery Delivery }

// UnmarshalText parses the name of a delivery.
func (d *deliveryText) UnmarshalText(text []byte) error {
	switch value := Delivery(text); value {
	case Idempotent, NonIdempotent, AtMostOnce:
		d.delivery = value
		return nil
	}
	return errors.Newf("expected \"idempotent\", \"non-idempotent\" or \"at-most-once\", not %q", text)
}

// Parse parses and checks a document. The error states the file, the line, the key and what was expected.
func Parse(file string, text []byte) (*Document, error) {
	var raw fileDocument
	if err := tomlfile.Decode(file, text, &raw); err != nil {
		return nil, err
	}
	check := &checker{file: file, text: text}
	result := &Document{}
	for i := range raw.Services {
		result.Services = append(result.Services, check.service(fmt.Sprintf("services[%d]", i), &raw.Services[i]))
	}
	for i, tenant := range raw.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		check.checkName(path+".name", tenant.Name)
		check.checkUpTo(path+".share", tenant.Share, 1000)
		result.Tenants = append(result.Tenants, Tenant{Name: fleet.TenantName(tenant.Name), Share: tenant.Share})
	}
	for i, pin := range raw.Pins {
		result.Pins = append(result.Pins, check.pin(fmt.Sprintf("pins[%d]", i), pin, result))
	}
	check.checkUnique(result)
	if check.firstErr != nil {
		return nil, check.firstErr
	}
	return result, nil
}
