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

// checker keeps the first fault that it meets.
type checker struct {
	file  string
	text  []byte
	first *tomlfile.InvalidError
}

func (c *checker) fail(key, format string, args ...any) {
	if c.first == nil {
		c.first = tomlfile.Invalid(c.file, c.text, key, fmt.Sprintf(format, args...))
	}
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.fail(key, "expected a name of lower-case letters, digits and hyphens, at most 63 long, not %q", value)
	}
}

func (c *checker) upTo(key string, value, high int) {
	if value < 1 || value > high {
		c.fail(key, "expected a number from 1 to %d, not %d", high, value)
	}
}

func (c *checker) duration(key string, value, high time.Duration) {
	if value <= 0 || value > high {
		c.fail(key, "expected a duration above 0s and up to %s, not %s", high, value)
	}
}

func orDefault(value, standard int) int {
	if value == 0 {
		return standard
	}
	return value
}

func orDuration(value tomlfile.Duration, standard time.Duration) time.Duration {
	if value == 0 {
		return standard
	}
	return time.Duration(value)
}

func (c *checker) service(path string, raw *fileService) Service {
	result := Service{
		Name:          fleet.ServiceName(raw.Name),
		Key:           raw.Key.source,
		Guard:         raw.Guard.guard,
		Timeout:       orDuration(raw.Timeout, defaultTimeout),
		LatencyTarget: orDuration(raw.Target, defaultTarget),
		Slots:         orDefault(raw.Slots, defaultSlots),
		Connections:   orDefault(raw.Connections, defaultConnections),
		QueueLimit:    orDefault(raw.QueueLimit, defaultQueueLimit),
	}
	c.name(path+".name", raw.Name)
	c.duration(path+".timeout", result.Timeout, maxTimeout)
	c.duration(path+".target", result.LatencyTarget, maxTimeout)
	c.upTo(path+".slots", result.Slots, maxSlots)
	c.upTo(path+".connections", result.Connections, maxConnections)
	c.upTo(path+".queue-limit", result.QueueLimit, maxConnections)
	c.keyed(path, raw, &result)
	for i := range raw.Upstreams {
		result.Upstreams = append(result.Upstreams, c.upstream(fmt.Sprintf("%s.upstreams[%d]", path, i), &raw.Upstreams[i]))
	}
	for i, route := range raw.Routes {
		result.Routes = append(result.Routes, c.route(fmt.Sprintf("%s.routes[%d]", path, i), route))
	}
	return result
}

func (c *checker) keyed(path string, raw *fileService, result *Service) {
	if !result.Keyed() {
		if raw.Partitions != 0 {
			c.fail(path+".partitions", "only a service with a key has partitions")
		}
		return
	}
	result.Authority = orDuration(raw.Authority, defaultAuthority)
	c.duration(path+".authority", result.Authority, maxTimeout)
	if result.Authority < minAuthority {
		c.fail(path+".authority", "expected a duration of at least %s, not %s", minAuthority, result.Authority)
	}
	result.Partitions = orDefault(raw.Partitions, defaultPartitions)
	c.upTo(path+".partitions", result.Partitions, MaxPartitions)
	if result.Guard == "" {
		result.Guard = fleet.GuardFenced
	}
}

func (c *checker) upstream(path string, raw *fileUpstream) Upstream {
	c.name(path+".id", raw.ID)
	c.name(path+".region", raw.Region)
	c.name(path+".domain", raw.Domain)
	if !raw.Address.IsValid() || raw.Address.Port() == 0 {
		c.fail(path+".address", "expected an IP address and a port such as \"127.0.0.1:8080\"")
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
		c.fail(path+".method", "expected an HTTP method in capitals or \"*\", not %q", raw.Method)
	}
	if !strings.HasPrefix(raw.Path, "/") {
		c.fail(path+".path", "expected a path pattern that begins with \"/\", not %q", raw.Path)
	}
	if raw.Delivery.delivery == "" {
		c.fail(path+".delivery", "expected \"idempotent\", \"non-idempotent\" or \"at-most-once\"")
	}
	return Route{Method: raw.Method, Path: raw.Path, Delivery: raw.Delivery.delivery}
}

func (c *checker) pin(path string, raw filePin, doc *Document) Pin {
	service := doc.FindService(fleet.ServiceName(raw.Service))
	switch {
	case service == nil || !service.Keyed():
		c.fail(path+".service", "expected the name of a service with a key, not %q", raw.Service)
	case raw.Key == "":
		c.fail(path+".key", "expected the key to be pinned")
	case !service.has(fleet.UpstreamID(raw.Upstream)):
		c.fail(path+".upstream", "expected the id of an upstream of %q, not %q", raw.Service, raw.Upstream)
	}
	return Pin{Service: fleet.ServiceName(raw.Service), Key: raw.Key, Upstream: fleet.UpstreamID(raw.Upstream)}
}

func (s *Service) has(id fleet.UpstreamID) bool {
	for _, upstream := range s.Upstreams {
		if upstream.ID == id {
			return true
		}
	}
	return false
}

// unique refuses names that stand twice.
func (c *checker) unique(doc *Document) {
	seen := make(map[string]bool)
	once := func(key, kind, name string) {
		if seen[kind+" "+name] {
			c.fail(key, "%s %q is declared twice", kind, name)
		}
		seen[kind+" "+name] = true
	}
	for i := range doc.Services {
		service := &doc.Services[i]
		once(fmt.Sprintf("services[%d].name", i), "service", string(service.Name))
		for j, upstream := range service.Upstreams {
			path := fmt.Sprintf("services[%d].upstreams[%d]", i, j)
			once(path+".id", "upstream", string(upstream.ID))
			once(path+".address", "address", upstream.Address.String())
		}
	}
	for i, tenant := range doc.Tenants {
		once(fmt.Sprintf("tenants[%d].name", i), "tenant", string(tenant.Name))
	}
	for i, pin := range doc.Pins {
		once(fmt.Sprintf("pins[%d].key", i), "pin", string(pin.Service)+" "+pin.Key)
	}
}
