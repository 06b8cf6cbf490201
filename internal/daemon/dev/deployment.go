// Package dev runs a whole fleet in one process: daemons, a fake platform and fake upstreams, modeled on one of the two
// deployments that the project targets. It is meant for development, tests and demonstrations, not for production.
package dev

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Shape names the deployment that a fleet is modeled on.
type Shape string

const (
	// Ceibal has four failure domains, 3 ms apart, and workers with 6 slots.
	Ceibal Shape = "ceibal"
	// Nadif has three failure domains, 5 ms apart, and workers with 2 slots.
	Nadif Shape = "nadif"
)

// ErrUnknownShape means that no deployment has the given name.
var ErrUnknownShape = errors.New("dev: unknown shape, expected \"ceibal\" or \"nadif\"")

// deployment describes the failure domains, services and upstreams of a Shape.
type deployment struct {
	region      fleet.Region
	domains     []fleet.FailureDomain
	slots       int
	connections int
	services    []serviceShape
	// example is the path of a request with a key, for the printed usage and for tests.
	example string
}

// serviceShape describes one service of a deployment.
type serviceShape struct {
	name    fleet.ServiceName
	workers int
	key     string
	// routes lists the routes, each with the delivery guarantee of its requests.
	routes []routeEntry
	// serviceTime is how long a fake upstream takes for one request.
	serviceTime time.Duration
}

// newDeployment returns the deployment of a shape.
func newDeployment(shape Shape) (*deployment, error) {
	read := routeEntry{Method: "GET", Path: "/{rest:.*}", Delivery: "idempotent"}
	switch shape {
	case Ceibal:
		return &deployment{
			region: "montevideo", domains: []fleet.FailureDomain{"centro", "pocitos", "cerro", "carrasco"},
			slots: 6, connections: 130, example: "/catalogue/plans/18-de-julio",
			services: []serviceShape{
				{name: "catalogue", workers: 15, key: "path:2", routes: []routeEntry{read}, serviceTime: 4 * time.Millisecond},
				{name: "dispatch", workers: 10, serviceTime: 8 * time.Millisecond, routes: []routeEntry{
					{Method: "POST", Path: "/{rest:.*}", Delivery: "at-most-once"}, read,
				}},
				{name: "archive", workers: 10, routes: []routeEntry{read}, serviceTime: 10 * time.Millisecond},
				{name: "sensors", workers: 10, routes: []routeEntry{read}, serviceTime: 2 * time.Millisecond},
			},
		}, nil
	case Nadif:
		return &deployment{
			region: "ma-south", domains: []fleet.FailureDomain{"agadir-a", "agadir-b", "taroudant-c"},
			slots: 2, connections: 45, example: "/stock/items/bleach-5l",
			services: []serviceShape{
				{name: "stock", workers: 15, key: "path:2", routes: []routeEntry{read}, serviceTime: 4 * time.Millisecond},
				{name: "orders", workers: 5, serviceTime: 8 * time.Millisecond, routes: []routeEntry{
					{Method: "POST", Path: "/{rest:.*}", Delivery: "at-most-once"}, read,
				}},
				{name: "documents", workers: 5, routes: []routeEntry{read}, serviceTime: 10 * time.Millisecond},
				{name: "accounts", workers: 10, routes: []routeEntry{read}, serviceTime: 3 * time.Millisecond},
			},
		}, nil
	}
	return nil, errors.Wrapf(ErrUnknownShape, "%q", string(shape))
}

// configurationDocument is the TOML form of a configuration, and the types below are its entries.
type configurationDocument struct {
	Services []serviceEntry `toml:"services"`
	Tenants  []tenantEntry  `toml:"tenants"`
}

type serviceEntry struct {
	Name        string          `toml:"name"`
	Key         string          `toml:"key,omitempty"`
	Partitions  int             `toml:"partitions,omitempty"`
	Guard       string          `toml:"guard,omitempty"`
	Authority   string          `toml:"authority,omitempty"`
	Slots       int             `toml:"slots"`
	Connections int             `toml:"connections"`
	Upstreams   []upstreamEntry `toml:"upstreams"`
	Routes      []routeEntry    `toml:"routes"`
}

type upstreamEntry struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Region  string `toml:"region"`
	Domain  string `toml:"domain"`
}

type routeEntry struct {
	Method   string `toml:"method"`
	Path     string `toml:"path"`
	Delivery string `toml:"delivery"`
}

type tenantEntry struct {
	Name  string `toml:"name"`
	Share int    `toml:"share"`
}

// devAuthorityDuration is short, so that an outage of the table ends the authority of an unguarded service within seconds.
const devAuthorityDuration = "4s"

// devPartitions is the number of partitions of a keyed service, small enough to print the whole map.
const devPartitions = 256

// configurationText returns the TOML text of the configuration for upstreams that already listen. An empty guard leaves the
// default.
func (d *deployment) configurationText(upstreams []fleet.Upstream, guard fleet.Guard) ([]byte, error) {
	doc := configurationDocument{Tenants: []tenantEntry{{Name: "interactive", Share: 4}, {Name: "batch", Share: 1}}}
	for _, service := range d.services {
		entry := serviceEntry{
			Name: string(service.name), Key: service.key, Slots: d.slots, Connections: d.connections, Routes: service.routes,
		}
		if service.key != "" {
			entry.Partitions, entry.Guard = devPartitions, string(guard)
			if guard == fleet.GuardNone {
				entry.Authority = devAuthorityDuration
			}
		}
		for _, upstream := range upstreams {
			if upstream.Service == service.name {
				entry.Upstreams = append(entry.Upstreams, upstreamEntry{
					ID: string(upstream.ID), Address: upstream.Address.String(),
					Region: string(upstream.Locality.Region), Domain: string(upstream.Locality.Domain),
				})
			}
		}
		doc.Services = append(doc.Services, entry)
	}
	var encoded bytes.Buffer
	err := toml.NewEncoder(&encoded).Encode(doc)
	return encoded.Bytes(), errors.Wrap(err, "write configuration")
}

// upstreamID returns the identifier of the upstream with the given index, starting at zero.
func upstreamID(service fleet.ServiceName, index int) fleet.UpstreamID {
	return fleet.UpstreamID(fmt.Sprintf("%s-%02d", service, index+1))
}
