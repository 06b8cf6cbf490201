package document

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/tomlfile"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker validates the values of a document and keeps the first error.
type checker struct {
	file     string
	text     []byte
	firstErr *tomlfile.InvalidError
}

// addError records an error in the value at key, unless one has been recorded before.
func (c *checker) addError(key, format string, args ...any) {
	if c.firstErr == nil {
		c.firstErr = tomlfile.Invalid(c.file, c.text, key, fmt.Sprintf(format, args...))
	}
}

func (c *checker) checkName(key, value string) {
	if !namePattern.MatchString(value) {
		c.addError(key, "expected a name of lower-case letters, digits and hyphens, at most 63 long, not %q", value)
	}
}

// checkUpTo requires a number from 1 to limit.
func (c *checker) checkUpTo(key string, value, limit int) {
	if value < 1 || value > limit {
		c.addError(key, "expected a number from 1 to %d, not %d", limit, value)
	}
}

// checkDuration requires a duration above zero and up to limit.
func (c *checker) checkDuration(key string, value, limit time.Duration) {
	if value <= 0 || value > limit {
		c.addError(key, "expected a duration above 0s and up to %s, not %s", limit, value)
	}
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func durationOrDefault(value tomlfile.Duration, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return time.Duration(value)
}

// service returns the service that raw declares, with defaults for what is missing.
func (c *checker) service(path string, raw *fileService) Service {
	result := Service{
		Name:           fleet.ServiceName(raw.Name),
		Key:            raw.Key.source,
		Guard:          raw.Guard.guard,
		Timeout:        durationOrDefault(raw.Timeout, defaultTimeout),
		LatencyTarget:  durationOrDefault(raw.Target, defaultTarget),
		Slots:          orDefault(raw.Slots, defaultSlots),
		MaxConnections: orDefault(raw.Connections, defaultConnections),
		QueueLimit:     orDefault(raw.QueueLimit, defaultQueueLimit),
	}
	c.checkName(path+".name", raw.Name)
	c.checkDuration(path+".timeout", result.Timeout, maxTimeout)
	c.checkDuration(path+".target", result.LatencyTarget, maxTimeout)
	c.checkUpTo(path+".slots", result.Slots, maxSlots)
	c.checkUpTo(path+".connections", result.MaxConnections, maxConnections)
	c.checkUpTo(path+".queue-limit", result.QueueLimit, maxConnections)
	c.applyKeyed(path, raw, &result)
	for i := range raw.Upstreams {
		result.Upstreams = append(result.Upstreams, c.upstream(fmt.Sprintf("%s.upstreams[%d]", path, i), &raw.Upstreams[i]))
	}
	for i, route := range raw.Routes {
		result.Routes = append(result.Routes, c.route(fmt.Sprintf("%s.routes[%d]", path, i), route))
	}
	return result
}

// applyKeyed checks and sets the values that only a keyed service has.
func (c *checker) applyKeyed(path string, raw *fileService, result *Service) {
	if !result.Keyed() {
		if raw.Partitions != 0 {
			c.addError(path+".partitions", "only a service with a key has partitions")
		}
		return
	}
	result.AuthorityDuration = durationOrDefault(raw.Authority, defaultAuthority)
	c.checkDuration(path+".authority", result.AuthorityDuration, maxTimeout)
	if result.AuthorityDuration < minAuthority {
		c.addError(path+".authority", "expected a duration of at least %s, not %s", minAuthority, result.AuthorityDuration)
	}
	result.Partitions = orDefault(raw.Partitions, defaultPartitions)
	c.checkUpTo(path+".partitions", result.Partitions, MaxPartitions)
	if result.Guard == "" {
		result.Guard = fleet.GuardFenced
	}
}

func (c *checker) upstream(path string, raw *fileUpstream) Upstream {
	c.checkName(path+".id", raw.ID)
	c.checkName(path+".region", raw.Region)
	c.checkName(path+".domain", raw.Domain)
	if !raw.Address.IsValid() || raw.Address.Port() == 0 {
		c.addError(path+".address", "expected an IP address and a port such as \"127.0.0.1:8080\"")
	}
	return Upstream{
		ID: fleet.UpstreamID(raw.ID), Address: raw.Address, Drained: raw.Drained,
		Locality: fleet.Locality{Region: fleet.Region(raw.Region), Domain: fleet.FailureDomain(raw.Domain)},
	}
}

var methods = map[string]bool{
	"*": true, http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

func (c *checker) route(path string, raw fileRoute) Route {
	if !methods[raw.Method] {
		c.addError(path+".method", "expected an HTTP method in capitals or \"*\", not %q", raw.Method)
	}
	if !strings.HasPrefix(raw.Path, "/") {
		c.addError(path+".path", "expected a path pattern that begins with \"/\", not %q", raw.Path)
	}
	if raw.Delivery.delivery == "" {
		c.addError(path+".delivery", "expected \"idempotent\", \"non-idempotent\" or \"at-most-once\"")
	}
	return Route{Method: raw.Method, Path: raw.Path, Delivery: raw.Delivery.delivery}
}

// pin returns the pin that raw declares. The services of doc must be set.
func (c *checker) pin(path string, raw filePin, doc *Document) Pin {
	service := doc.FindService(fleet.ServiceName(raw.Service))
	switch {
	case service == nil || !service.Keyed():
		c.addError(path+".service", "expected the name of a service with a key, not %q", raw.Service)
	case raw.Key == "":
		c.addError(path+".key", "expected the key to be pinned")
	case !service.hasUpstream(fleet.UpstreamID(raw.Upstream)):
		c.addError(path+".upstream", "expected the id of an upstream of %q, not %q", raw.Service, raw.Upstream)
	}
	return Pin{Service: fleet.ServiceName(raw.Service), Key: raw.Key, Upstream: fleet.UpstreamID(raw.Upstream)}
}

func (s *Service) hasUpstream(id fleet.UpstreamID) bool {
	for _, upstream := range s.Upstreams {
		if upstream.ID == id {
			return true
		}
	}
	return false
}

// checkUnique rejects names, addresses and pins that are declared more than once.
func (c *checker) checkUnique(doc *Document) {
	seen := make(map[string]bool)
	requireUnique := func(key, kind, name string) {
		if seen[kind+" "+name] {
			c.addError(key, "%s %q is declared twice", kind, name)
		}
		seen[kind+" "+name] = true
	}
	for i := range doc.Services {
		service := &doc.Services[i]
		requireUnique(fmt.Sprintf("services[%d].name", i), "service", string(service.Name))
		for j, upstream := range service.Upstreams {
			path := fmt.Sprintf("services[%d].upstreams[%d]", i, j)
			requireUnique(path+".id", "upstream", string(upstream.ID))
			requireUnique(path+".address", "address", upstream.Address.String())
		}
	}
	for i, tenant := range doc.Tenants {
		requireUnique(fmt.Sprintf("tenants[%d].name", i), "tenant", string(tenant.Name))
	}
	for i, pin := range doc.Pins {
		requireUnique(fmt.Sprintf("pins[%d].key", i), "pin", string(pin.Service)+" "+pin.Key)
	}
}
